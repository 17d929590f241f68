/*
 * Copyright 2026 The lupinpaddle authors
 *
 * Licensed under the Apache License, Version 2.0 (the "License");
 * you may not use this file except in compliance with the License.
 * You may obtain a copy of the License at
 *
 *      http://www.apache.org/licenses/LICENSE-2.0
 *
 * Unless required by applicable law or agreed to in writing, software
 * distributed under the License is distributed on an "AS IS" BASIS,
 * WITHOUT WARRANTIES OR CONDITIONS OF ANY KIND, either express or implied.
 * See the License for the specific language governing permissions and
 * limitations under the License.
 */
package org.lupinpaddle.daemon.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.common.RecordCodec;
import org.lupinpaddle.core.job.JobKey;
import org.lupinpaddle.core.job.JobProgress;
import org.lupinpaddle.core.job.JobState;
import org.lupinpaddle.core.job.SchedulerKeys;
import org.lupinpaddle.core.job.TaskRecord;

class RecoveredJobsTest {

    private static final JobKey OVER = new JobKey("q", "over");
    private static final JobKey LIVE = new JobKey("q", "live");

    private final FakeKeyValueStore store = new FakeKeyValueStore();
    private final DirectLoop loop = new DirectLoop();
    private final long fence = store.set(SchedulerKeys.owner("clips"), "entry-1");
    private final UnreadableEntries unreadable = new UnreadableEntries(new JobMetrics());
    private final RecoveredJobs jobs =
            new RecoveredJobs(new FencedRecordWriter(store, loop, "clips", fence), loop, "clips", unreadable);

    @BeforeEach
    void read() {
        TaskRecord task = new TaskRecord(0, 0, 0, 1, 0, false, "w1", "");
        set(OVER, new JobProgress(JobState.COMPLETED, List.of(), "", 0));
        set(LIVE, new JobProgress(JobState.CANCELLED, List.of(task), "", 0));
        jobs.read(store.range(SchedulerKeys.progress("clips")).join());
    }

    private void set(JobKey job, JobProgress p) {
        store.set(SchedulerKeys.job("clips", job), "job");
        store.set(SchedulerKeys.progress("clips", job), RecordCodec.write(p));
    }

    @Nested
    class FinishedJob {

        @Test
        void isFinished() {
            assertTrue(jobs.isFinished(OVER));
            assertTrue(jobs.isFinished(OVER), "still finished when its record is read again");
        }

        @Test
        void staysFinishedUntilItsRecordsAreRemoved() {
            assertNotNull(jobs.takeProgress(OVER), "a scheduler took the job and has released it");
            store.dropsCommitAnswers = true;
            jobs.removeExpired(List.of(OVER));
            assertTrue(jobs.isFinished(OVER), "the removal is unanswered, so the record may be read again");
            store.dropsCommitAnswers = false;
            jobs.removeExpired(List.of());
            assertFalse(jobs.isFinished(OVER));
            assertEquals("", store.value(SchedulerKeys.job("clips", OVER)));
        }

        /** Guards against an id that stays in use after its job has been removed, so that it is never accepted again. */
        @Test
        void isRemovedWithItsLocationAndCallerId() {
            List<JobKey> all = IntStream.range(0, 40)
                    .mapToObj(i -> new JobKey("q", "over-" + i))
                    .toList();
            all.forEach(k -> store.set(SchedulerKeys.location(k), "clips"));
            all.forEach(k -> store.set(SchedulerKeys.callerId("clips", k.id()), "q"));
            jobs.removeExpired(all);
            all.forEach(k -> assertEquals("", store.value(SchedulerKeys.location(k))));
            all.forEach(k -> assertEquals("", store.value(SchedulerKeys.callerId("clips", k.id()))));
        }
    }

    @Nested
    class EndedJobWithARunningTask {

        @Test
        void isPassedToTheScheduler() {
            assertFalse(jobs.isFinished(LIVE), "the job's task must still be stopped");
            assertNotNull(jobs.takeProgress(LIVE));
        }
    }

    @Nested
    class InvalidCrashCount {

        private static final JobKey COUNTED = new JobKey("q", "counted");

        /** Without the job's other progress it would be started anew, and the error would stay unreported. */
        @Test
        void isPassedToTheSchedulerAndReported() {
            store.set(
                    SchedulerKeys.progress("clips", COUNTED),
                    "{\"state\":\"RUNNING\",\"tasks\":[[0,0,0,3,0,false,\"w1\",\"\",-2]],\"reason\":\"\",\"changedMillis\":0}");
            jobs.read(store.range(SchedulerKeys.progress("clips")).join());
            assertFalse(jobs.isUnreadable(COUNTED));
            assertEquals(1, unreadable.snapshot().size());
            assertEquals(
                    "out-of-range:tasks.crashes",
                    unreadable.snapshot().get(0).why().toString());
        }
    }
}
