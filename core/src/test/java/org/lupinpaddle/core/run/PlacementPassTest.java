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

/** Which task is placed next, and when none is. */
class PlacementPassTest {

    private static final TaskId FIRST = new TaskId(0, 0, 0);

    private final SchedulerDriver d = new SchedulerDriver();

    /** A step that fills a worker whole. */
    private static StepSpec wide(long estimateMillis) {
        return StepSpec.builder(1, new StepSpec.Need(4_000, 100, 0))
                .estimateMillis(estimateMillis)
                .build();
    }

    private void oneWorkerIsBusy() {
        d.workers("w1");
        d.answers("w1", List.of(), List.of());
        d.job("busy", wide(1_000));
        d.saved();
    }

    private void theWorkerIsFree() {
        RunningReport none = new RunningReport("busy", FIRST, 1, "", 50, -1);
        d.answers("w1", List.of(none), List.of());
        d.passes(10);
        d.answers("w1", List.of(), List.of(new EndReport(1, "busy", FIRST, 1, EndKind.DONE, "")));
        d.saved();
    }

    @Nested
    class WithTooLittleRoom {

        @Test
        void theJobWithTheLeastTimeLeftGoesFirst() {
            oneWorkerIsBusy();
            d.job("patient", wide(9_000));
            d.passes(100);
            d.job("pressed", wide(1_000));
            theWorkerIsFree();
            assertEquals("pressed", d.lastStart().jobId());
        }

        @Test
        void aJobThatHasBegunGoesBeforeOneThatIsMorePressed() {
            d.workers("w1");
            d.answers("w1", List.of(), List.of());
            StepSpec two = StepSpec.builder(2, new StepSpec.Need(4_000, 100, 0))
                    .estimateMillis(9_000)
                    .build();
            d.job("busy", two);
            d.saved();
            d.job("pressed", wide(1_000));
            theWorkerIsFree();
            assertEquals("busy", d.lastStart().jobId());
        }

        @Test
        void aJobThatWouldHardlyEndInTimeIsBegunAfterOneThatSurelyDoes() {
            oneWorkerIsBusy();
            d.job("hardly", wide(4_000));
            d.passes(2_200);
            d.job("surely", wide(9_000));
            theWorkerIsFree();
            assertEquals("surely", d.lastStart().jobId());
        }

        @Test
        void aJobThatIsLateAnywayGoesAfterOneThatIsNot() {
            oneWorkerIsBusy();
            d.job("late", wide(1_000));
            d.passes(2_500);
            d.job("fresh", wide(9_000));
            theWorkerIsFree();
            assertEquals("fresh", d.lastStart().jobId());
        }
    }

    @Nested
    class WithRoomOfDifferentKinds {

        private WorkerFacts worker(String id, long cpuMillis, long memoryMb) {
            return new WorkerFacts(
                    id, "clips", "at-" + id, "north", false, 0, new Resources(cpuMillis, memoryMb, 0), List.of("rack"));
        }

        private StepSpec asking(long cpuMillis, long memoryMb) {
            return StepSpec.builder(1, new StepSpec.Need(cpuMillis, memoryMb, 0))
                    .build();
        }

        private List<String> started() {
            d.saved();
            d.passes(100);
            d.saved();
            return d.port.starts.stream().map(StartOrder::jobId).toList();
        }

        @Test
        void aStepThatNoOneWorkerHasRoomForKeepsNoOtherOneWaiting() {
            d.listed(worker("much-cpu", 4_000, 100), worker("much-memory", 500, 8_000));
            d.job("both", asking(4_000, 8_000));
            d.job("cpu", asking(4_000, 100));
            d.job("memory", asking(500, 8_000));
            d.job("more", asking(500, 100));
            assertEquals(List.of("cpu", "memory"), started().stream().sorted().toList());
        }

        @Test
        void aSmallStepIsPlacedWhereLargerAndMoreUrgentOnesFitNoMore() {
            d.listed(worker("w1", 4_000, 8_000));
            d.job("a", asking(3_000, 100));
            d.job("b", asking(3_000, 100));
            d.job("c", asking(1_000, 100));
            assertEquals(List.of("a", "c"), started());
        }

        @Test
        void aStepThatAsksForNothingIsPlacedOnAFullWorker() {
            d.listed(worker("w1", 4_000, 8_000));
            d.job("a", asking(4_000, 8_000));
            d.job("b", asking(0, 0));
            assertEquals(List.of("a", "b"), started());
        }

        @Test
        void roomThatAnEndGivesBackIsSeen() {
            oneWorkerIsBusy();
            d.passes(100);
            d.job("next", wide(1_000));
            assertEquals(1, d.port.starts.size());
            theWorkerIsFree();
            assertEquals("next", d.lastStart().jobId());
        }
    }

    @Nested
    class WithAnOldListOfWorkers {

        @Test
        void nothingIsPlaced() {
            d.workers("w1");
            d.answers("w1", List.of(), List.of());
            d.now += 2_600;
            d.jobWithoutNews("a", wide(1_000));
            assertTrue(d.port.saves.isEmpty(), "a worker may drain by now");
            d.passes(0);
            assertEquals(1, d.port.saves.size());
        }
    }
}
