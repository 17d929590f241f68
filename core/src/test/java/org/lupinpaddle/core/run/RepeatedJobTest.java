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

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.job.EndKind;
import org.lupinpaddle.core.job.Repeat;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.job.TaskId;

/** Tests jobs with several iterations. */
class RepeatedJobTest {

    private static final StepSpec ONE =
            StepSpec.builder(1, SchedulerDriver.NEED).build();
    private static final StepSpec AFTER =
            StepSpec.builder(1, SchedulerDriver.NEED).after(List.of(0)).build();

    private final SchedulerDriver d = new SchedulerDriver();

    private void submitJob() {
        d.listAndAnswer(SchedulerDriver.workerOnRack("w1", "r1"));
        d.submitRepeated("a", new Repeat(2, 1_000, 2_000), ONE, AFTER);
    }

    private List<TaskId> started() {
        return d.port.starts.stream().map(StartOrder::task).toList();
    }

    private void later(long millis) {
        for (long t = 0; t < millis; t += 1_000) {
            d.advance(Math.min(1_000, millis - t));
            d.answerHold("w1", List.of(), List.of());
        }
        d.completeSaves();
    }

    @Nested
    class AnIteration {

        @Test
        void isNotStartedBeforeItIsDue() {
            submitJob();
            later(999);
            assertTrue(d.port.starts.isEmpty());
            later(1);
            assertEquals(List.of(new TaskId(0, 0, 0)), started());
        }

        @Test
        void doesNotWaitForThePreviousOne() {
            submitJob();
            later(1_000);
            d.scheduler.onStarted(d.lastStart(), OrderOutcome.ACCEPTED);
            d.advance(1_000);
            d.answerHold("w1", List.of(new RunStatus("a", new TaskId(0, 0, 0), 1, "", 50, -1)), List.of());
            d.advance(1_000);
            d.answerHold("w1", List.of(new RunStatus("a", new TaskId(0, 0, 0), 1, "", 60, -1)), List.of());
            d.completeSaves();
            assertEquals(List.of(new TaskId(0, 0, 0), new TaskId(1, 0, 0)), started());
        }

        @Test
        void runsItsStepsInOrder() {
            submitJob();
            later(1_000);
            d.scheduler.onStarted(d.lastStart(), OrderOutcome.ACCEPTED);
            d.advance(100);
            RunResult done = new RunResult(1, "a", new TaskId(0, 0, 0), 1, EndKind.DONE, "");
            d.answerHold("w1", List.of(), List.of(done));
            d.completeSaves();
            d.advance(50);
            d.completeSaves();
            assertEquals(List.of(new TaskId(0, 0, 0), new TaskId(0, 1, 0)), started());
        }
    }
}
