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
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.job.TaskId;

/** Keeps the store slow or away while a worker that answers every poll runs a long-running task. */
class RunExtensionTest {

    private static final StepSpec.Need NEED = new StepSpec.Need(500, 100, 0);
    private static final StepSpec LASTING =
            StepSpec.builder(1, NEED).longRunning(true, 0).build();
    // The deadlines of a silent worker have passed by then.
    private static final long LOST_AFTER_MILLIS = 12_000;

    @Nested
    class TheLog {

        /** Guards against runs that are not extended while nothing tells it. */
        @Test
        void tellsThatTheRunsOfAWorkerAreNotExtended() {
            SchedulerDriver d = new SchedulerDriver();
            d.listAndAnswer(SchedulerDriver.worker("w1"));
            d.submit("lasting", LASTING);
            d.completeSaves();
            d.scheduler.onStarted(d.lastStart(), OrderOutcome.ACCEPTED);
            RunStatus alive = new RunStatus("lasting", new TaskId(0, 0, 0), 1, "", 100, -1);
            d.advance(LOST_AFTER_MILLIS);
            assertEquals(1, d.port.events(SchedulerEvent.Kind.WORKER_GONE).size());
            for (int i = 0; i < 10; i++) {
                d.advance(400);
                d.answerHold("w1", List.of(alive), List.of());
            }
            d.scheduler.reviewWaits();
            SchedulerEvent told =
                    d.port.events(SchedulerEvent.Kind.RUNS_NOT_EXTENDED).get(0);
            assertTrue(told.detail().contains("RECORDS_UNSAVED"), told.detail());
        }
    }
}
