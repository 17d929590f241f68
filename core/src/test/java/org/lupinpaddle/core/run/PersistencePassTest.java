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
package org.lupinpaddle.core.run;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.job.JobKey;
import org.lupinpaddle.core.job.JobProgress;
import org.lupinpaddle.core.job.JobState;
import org.lupinpaddle.core.job.StepSpec;

/** Tests the size of writes, and records that the store rejects permanently. */
class PersistencePassTest {

    private static final long BATCH_MILLIS = 50;

    private final SchedulerDriver d = new SchedulerDriver();

    private static StepSpec step(int tasks) {
        return StepSpec.builder(tasks, new StepSpec.Need(1, 1, 0)).build();
    }

    private void startTask() {
        d.listWorkers("w1");
        d.answerHold("w1", List.of(), List.of());
    }

    @Nested
    class TheSize {

        /** 15 jobs of 1,000 tasks take 1.2 MB in one call, which exceeds the timeout of a call on a 7 Mbit/s link. */
        @Test
        void ofWritesIsLimitedByTheirTasks() {
            startTask();
            for (int i = 0; i < 15; i++) {
                d.submit("job" + i, step(1_000));
            }
            Set<Integer> sizes = Set.of();
            int written = 0;
            for (int round = 0; round < 15; round++) {
                d.advance(BATCH_MILLIS);
                sizes = d.port.saves.stream().map(List::size).collect(Collectors.toSet());
                written += d.port.saves.stream().mapToInt(List::size).sum();
                assertTrue(Set.of(1).containsAll(sizes), "records in one write: " + sizes);
                d.completeSaves();
            }
            assertTrue(written >= 4, "written: " + written);
        }

        @Test
        void ofWritesOfSmallJobsIsNotLimitedByTasks() {
            startTask();
            for (int i = 0; i < 15; i++) {
                d.submit("job" + i, step(10));
            }
            d.advance(BATCH_MILLIS);
            assertTrue(d.port.saves.stream().anyMatch(s -> s.size() > 10));
        }
    }

    /**
     * Guards against repeating a rejected record forever. A job is cancelled while hundreds of its tasks run, and the
     * store rejects its record. The same record was written again each second, so the results on its workers never
     * became durable, the workers were never reported as empty and their instances could not be maintained. The log
     * showed only {@code progress-rejected}.
     */
    @Nested
    class ARecordRejectedAfterTheEndOfItsJob {

        private static final long RETRY_MILLIS = 1_100;

        @Test
        void isWrittenWithoutItsTasks() {
            startTask();
            d.submit("a", step(300));
            d.advance(BATCH_MILLIS);
            d.completeSaves();
            d.scheduler.onCancel(new JobKey("q", "a"));
            d.advance(BATCH_MILLIS);
            List<SchedulerPort.ProgressWrite> refused = d.port.saves.remove(0);
            assertTrue(refused.get(0).progress().tasks().size() > 100);
            d.scheduler.onSaveRejected(refused);
            d.advance(RETRY_MILLIS);
            SchedulerPort.ProgressWrite again = d.port.saves.remove(0).get(0);
            assertEquals(JobState.CANCELLED, again.progress().state());
            assertTrue(
                    again.progress().tasks().isEmpty(),
                    "workers report running tasks to the next owner, which stops them");
        }
    }

    /** A store with a latency of 250 ms, while a large service changes about 700 records per second. */
    @Nested
    class ASlowStore {

        private static final int JOBS = 400;
        private static final long ANSWER_MILLIS = 250;
        private static final long STEP_MILLIS = 25;

        private int writtenWithin(long millis) {
            int written = 0;
            for (long t = 0; t < millis; t += STEP_MILLIS) {
                d.advance(STEP_MILLIS);
                if (t % ANSWER_MILLIS == 0) {
                    written += d.port.saves.stream().mapToInt(List::size).sum();
                    d.completeSaves();
                }
            }
            return written;
        }

        @Test
        void sustainsTheChangeRateOfALargeService() {
            startTask();
            for (int i = 0; i < JOBS; i++) {
                d.submit("job" + i, step(1));
            }
            assertTrue(writtenWithin(750) >= JOBS, "700 per second are 400 within 600 ms");
        }

        @Test
        void getsNoMoreWritesThanAFastOne() {
            startTask();
            for (int i = 0; i < JOBS; i++) {
                d.submit("job" + i, step(1));
            }
            d.port.saves.clear();
            int before = d.port.saves.size();
            d.advance(STEP_MILLIS);
            assertTrue(d.port.saves.size() - before <= 10, "400 writes per second are 10 in 25 ms");
        }
    }

    @Nested
    class RejectedRecords {

        /** Rejects each write that contains the job, as a store does if its record is too large. */
        private void answerAllBut(String job) {
            List<List<SchedulerPort.ProgressWrite>> all = List.copyOf(d.port.saves);
            d.port.saves.clear();
            for (List<SchedulerPort.ProgressWrite> batch : all) {
                if (batch.stream()
                        .anyMatch(s -> s.job().id().equals(job) && !s.progress().finished())) {
                    d.scheduler.onSaveRejected(batch);
                } else {
                    d.scheduler.onSaved(batch);
                }
            }
        }

        private boolean isStarted(String job) {
            return d.port.starts.stream().anyMatch(s -> s.jobId().equals(job));
        }

        @Test
        void doNotBlockOtherJobs() {
            startTask();
            for (int i = 0; i < 5; i++) {
                d.submit("job" + i, step(1));
            }
            for (int round = 0; round < 10; round++) {
                d.advance(BATCH_MILLIS);
                answerAllBut("job2");
            }
            d.advance(BATCH_MILLIS);
            for (int i = 0; i < 5; i++) {
                assertEquals(i != 2, isStarted("job" + i), "job" + i);
            }
        }

        @Test
        void endTheirJob() {
            startTask();
            d.submit("large", step(2));
            List<SchedulerPort.ProgressWrite> written = new ArrayList<>();
            for (int round = 0; round < 5; round++) {
                d.advance(BATCH_MILLIS);
                d.port.saves.forEach(written::addAll);
                answerAllBut("large");
            }
            JobProgress last = written.get(written.size() - 1).progress();
            assertEquals(JobState.FAILED, last.state());
            assertTrue(last.reason().contains("store"), last.reason());
        }
    }
}
