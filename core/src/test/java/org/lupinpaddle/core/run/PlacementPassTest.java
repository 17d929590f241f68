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
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.job.TaskId;
import org.lupinpaddle.core.placement.Resources;
import org.lupinpaddle.core.placement.WorkerFacts;

/** Tests which task is placed next, and when none is placed. */
class PlacementPassTest {

    private static final TaskId FIRST = new TaskId(0, 0, 0);

    private final SchedulerDriver d = new SchedulerDriver();

    /** Returns a step whose task needs a whole worker. */
    private static StepSpec wholeWorkerStep(long estimateMillis) {
        return StepSpec.builder(1, new StepSpec.Need(4_000, 100, 0))
                .estimateMillis(estimateMillis)
                .build();
    }

    private void fillTheOnlyWorker() {
        d.listWorkers("w1");
        d.answerHold("w1", List.of(), List.of());
        d.submit("busy", wholeWorkerStep(1_000));
        d.completeSaves();
    }

    private void freeTheWorker() {
        RunStatus none = new RunStatus("busy", FIRST, 1, "", 50, -1);
        d.answerHold("w1", List.of(none), List.of());
        d.advance(10);
        d.answerHold("w1", List.of(), List.of(new RunResult(1, "busy", FIRST, 1, EndKind.DONE, "")));
        d.completeSaves();
    }

    @Nested
    class UnderOverload {

        @Test
        void jobWithTheLeastSlackIsFirst() {
            fillTheOnlyWorker();
            d.submit("patient", wholeWorkerStep(9_000));
            d.advance(100);
            d.submit("pressed", wholeWorkerStep(1_000));
            freeTheWorker();
            assertEquals("pressed", d.lastStart().jobId());
        }

        @Test
        void startedJobPrecedesAMoreUrgentOne() {
            d.listWorkers("w1");
            d.answerHold("w1", List.of(), List.of());
            StepSpec two = StepSpec.builder(2, new StepSpec.Need(4_000, 100, 0))
                    .estimateMillis(9_000)
                    .build();
            d.submit("busy", two);
            d.completeSaves();
            d.submit("pressed", wholeWorkerStep(1_000));
            freeTheWorker();
            assertEquals("busy", d.lastStart().jobId());
        }

        @Test
        void jobWithLittleMarginIsStartedAfterOneWithMore() {
            fillTheOnlyWorker();
            d.submit("hardly", wholeWorkerStep(4_000));
            d.advance(2_200);
            d.submit("surely", wholeWorkerStep(9_000));
            freeTheWorker();
            assertEquals("surely", d.lastStart().jobId());
        }

        @Test
        void lateJobFollowsOneThatIsNot() {
            fillTheOnlyWorker();
            d.submit("late", wholeWorkerStep(1_000));
            d.advance(2_500);
            d.submit("fresh", wholeWorkerStep(9_000));
            freeTheWorker();
            assertEquals("fresh", d.lastStart().jobId());
        }
    }

    @Nested
    class WithSeveralResources {

        private WorkerFacts worker(String id, long cpuMillis, long memoryMb) {
            return new WorkerFacts(
                    id, "clips", "at-" + id, "north", false, 0, new Resources(cpuMillis, memoryMb, 0), List.of("rack"));
        }

        private StepSpec stepWithNeed(long cpuMillis, long memoryMb) {
            return StepSpec.builder(1, new StepSpec.Need(cpuMillis, memoryMb, 0))
                    .build();
        }

        private List<String> startedJobs() {
            d.completeSaves();
            d.advance(100);
            d.completeSaves();
            return d.port.starts.stream().map(StartOrder::jobId).toList();
        }

        @Test
        void stepThatFitsNowhereDoesNotBlockOthers() {
            d.listAndAnswer(worker("much-cpu", 4_000, 100), worker("much-memory", 500, 8_000));
            d.submit("both", stepWithNeed(4_000, 8_000));
            d.submit("cpu", stepWithNeed(4_000, 100));
            d.submit("memory", stepWithNeed(500, 8_000));
            d.submit("more", stepWithNeed(500, 100));
            assertEquals(
                    List.of("cpu", "memory"), startedJobs().stream().sorted().toList());
        }

        @Test
        void smallStepIsPlacedIfLargerAndMoreUrgentOnesDoNotFit() {
            d.listAndAnswer(worker("w1", 4_000, 8_000));
            d.submit("a", stepWithNeed(3_000, 100));
            d.submit("b", stepWithNeed(3_000, 100));
            d.submit("c", stepWithNeed(1_000, 100));
            assertEquals(List.of("a", "c"), startedJobs());
        }

        @Test
        void stepWithoutDemandIsPlacedOnAFullWorker() {
            d.listAndAnswer(worker("w1", 4_000, 8_000));
            d.submit("a", stepWithNeed(4_000, 8_000));
            d.submit("b", stepWithNeed(0, 0));
            assertEquals(List.of("a", "b"), startedJobs());
        }

        @Test
        void roomFreedByAnEndedRunIsUsed() {
            fillTheOnlyWorker();
            d.advance(100);
            d.submit("next", wholeWorkerStep(1_000));
            assertEquals(1, d.port.starts.size());
            freeTheWorker();
            assertEquals("next", d.lastStart().jobId());
        }
    }

    @Nested
    class WithAStaleListOfWorkers {

        @Test
        void nothingIsPlaced() {
            d.listWorkers("w1");
            d.answerHold("w1", List.of(), List.of());
            d.now += 2_600;
            d.submitWithStaleList("a", wholeWorkerStep(1_000));
            assertTrue(d.port.saves.isEmpty(), "a worker may be draining by now");
            d.advance(0);
            assertEquals(1, d.port.saves.size());
        }
    }
}
