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
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.job.JobKey;
import org.lupinpaddle.core.job.JobSpec;
import org.lupinpaddle.core.job.Policy;
import org.lupinpaddle.core.job.Repeat;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.workspace.QuotaTable;

class LiveJobTest {

    private static final int MAX_STEPS = 100;
    private static final long STEP_MILLIS = 300;

    private static LiveJob job(Repeat repeat, List<StepSpec> steps) {
        Policy policy = new Policy(0, 3, 1, 0, false);
        JobSpec spec = new JobSpec(new JobKey("q", "a"), "clips", "text", steps, repeat, policy, 0);
        LiveJob job = new LiveJob(spec, new QuotaTable("clips").of(null), new RunTimeEstimator());
        IntStream.range(0, repeat.repetitions()).forEach(job::begin);
        return job;
    }

    private static StepSpec step(List<Integer> after) {
        return StepSpec.builder(1, new StepSpec.Need(1_000, 100, 0))
                .estimateMillis(STEP_MILLIS)
                .after(after)
                .build();
    }

    private static List<Integer> range(int from, int to) {
        return IntStream.range(from, to).boxed().toList();
    }

    @Nested
    class CriticalPath {

        /**
         * Guards against a job that stops its owner, and each successor that reads it: walking all paths through these steps
         * took 2^100 calls. The timeout only makes the test fail instead of running without end.
         */
        @Test
        void isFoundForStepsThatDependOnAllEarlierOnes() {
            List<StepSpec> steps = IntStream.range(0, MAX_STEPS)
                    .mapToObj(i -> step(range(0, i)))
                    .toList();
            LiveJob job = assertTimeoutPreemptively(Duration.ofMinutes(1), () -> job(Repeat.ONCE, steps));
            assertEquals(MAX_STEPS * STEP_MILLIS, job.objectiveMillis());
            assertEquals(STEP_MILLIS, job.steps().toList().get(MAX_STEPS - 1).criticalPathMillis);
        }

        /** Guards against the same growth in stages, where each step depends on all steps of the stage before. */
        @Test
        void isFoundForWideStages() {
            List<StepSpec> steps = IntStream.range(0, MAX_STEPS)
                    .mapToObj(i -> step(range(Math.max(0, i / 10 * 10 - 10), i / 10 * 10)))
                    .toList();
            LiveJob job = assertTimeoutPreemptively(Duration.ofMinutes(1), () -> job(Repeat.ONCE, steps));
            assertEquals(10 * STEP_MILLIS, job.objectiveMillis());
        }

        @Test
        void isTheLongestOfSeveral() {
            LiveJob job = job(
                    Repeat.ONCE,
                    List.of(step(List.of(2)), step(List.of()), step(List.of()), step(List.of(0, 1)), step(List.of())));
            assertEquals(
                    List.of(600L, 600L, 900L, 300L, 300L),
                    job.steps().map(s -> s.criticalPathMillis).toList());
        }
    }

    @Test
    void remainingTimeOfAnIterationCoversItsOwnStepsOnly() {
        LiveJob job = job(new Repeat(3, 0, 1_000), List.of(step(List.of()), step(List.of(0))));
        job.steps().toList().get(2).tasks.forEach(t -> t.setPhase(LiveTask.Phase.DONE));
        assertEquals(
                List.of(600L, 300L, 600L),
                job.iterations().stream().map(LiveIteration::remainingMillis).toList());
    }
}
