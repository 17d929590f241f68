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
