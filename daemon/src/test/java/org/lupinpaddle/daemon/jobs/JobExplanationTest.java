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
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.job.JobKey;
import org.lupinpaddle.core.job.JobProgress;
import org.lupinpaddle.core.job.JobSpec;
import org.lupinpaddle.core.job.JobState;
import org.lupinpaddle.core.job.Policy;
import org.lupinpaddle.core.job.Repeat;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.job.TaskRecord;

/** Tests the output of {@code lupinctl job explain}. */
class JobExplanationTest {

    private static final StepSpec FIRST =
            StepSpec.builder(2, new StepSpec.Need(500, 100, 0)).build();
    private static final StepSpec SECOND = StepSpec.builder(1, new StepSpec.Need(500, 100, 0))
            .after(List.of(0))
            .build();

    private static JobSpec job(Repeat repeat) {
        Policy policy = new Policy(0, 3, 1.5, 500, false);
        return new JobSpec(new JobKey("q", "a"), "clips", "text", List.of(FIRST, SECOND), repeat, policy, 1_000);
    }

    private static JobProgress running(TaskRecord... tasks) {
        return new JobProgress(JobState.RUNNING, List.of(tasks), "", 1_500);
    }

    private static String explain(JobSpec spec, JobProgress progress, String owner, long now) {
        return String.join("\n", JobExplanation.of(spec, progress, false, owner, HallSnapshot.NONE, now));
    }

    @Nested
    class WaitingJob {

        @Test
        void showsTaskPlacementsAndReasonsForWaiting() {
            TaskRecord placed = new TaskRecord(0, 0, 0, 2, 1, false, "w1", "");
            String text = explain(job(Repeat.ONCE), running(placed), "entry-1", 3_000);
            assertTrue(text.contains("placed: 0 on w1 (run 2, 1 failed), 1 wait for a worker with 500"), text);
            assertTrue(text.contains("step 1: 0 of 1 done, 1 wait for step 0"), text);
            assertTrue(text.contains("accepted 2000 ms ago"), text);
        }

        @Test
        void showsWorkerCrashesPerTask() {
            TaskRecord suspect = new TaskRecord(0, 0, 1, 3, 0, false, "", "", 2, 1);
            String text = explain(job(Repeat.ONCE), running(suspect), "entry-1", 3_000);
            assertTrue(text.contains("task 0.0.1: 2 workers crashed while they ran it, 1 more may have"), text);
        }

        @Test
        void showsAServiceWithoutOwner() {
            assertTrue(explain(job(Repeat.ONCE), running(), "", 3_000).contains("nobody owns clips"));
        }

        @Test
        void showsTheRemainingTimeOfARepetition() {
            String text = explain(job(new Repeat(1, 9_000, 0)), running(), "entry-1", 3_000);
            assertTrue(text.contains("wait for their time, in 6000 ms"), text);
        }
    }

    @Nested
    class EndedJob {

        @Test
        void showsTheReason() {
            JobProgress failed = new JobProgress(JobState.FAILED, List.of(), "task 0.0.1 failed 3 times", 2_000);
            List<String> lines =
                    JobExplanation.of(job(Repeat.ONCE), failed, false, "entry-1", HallSnapshot.NONE, 3_000);
            assertTrue(lines.get(0).endsWith("FAILED, task 0.0.1 failed 3 times"), lines.get(0));
            assertEquals(3, lines.size());
        }
    }
}
