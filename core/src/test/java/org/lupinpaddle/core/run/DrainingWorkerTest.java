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
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.job.EndKind;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.job.TaskId;
import org.lupinpaddle.core.placement.Resources;
import org.lupinpaddle.core.placement.WorkerFacts;

/**
 * Guards against losing results of a worker that leaves with 2 s notice. The owner did not poll the worker while the
 * write of an earlier result was unanswered, because the worker would list the same result again; runs that ended in
 * that second were lost with the worker and repeated. In the log the last line of such a run is its {@code
 * START_ANSWERED}; {@code WORKER_GONE} follows less than a second after another run's {@code RUN_ENDED} there.
 */
class DrainingWorkerTest {

    /** A result that a worker has listed for this long counts as known to its owner. */
    private static final long KNOWN_MILLIS = 100;

    private static final StepSpec TWO =
            StepSpec.builder(2, SchedulerDriver.NEED).build();

    private final SchedulerDriver d = new SchedulerDriver();

    private static WorkerFacts draining(String id) {
        return new WorkerFacts(
                id, "clips", "at-" + id, "north", true, 2_000, new Resources(4_000, 8_000, 0), List.of("r"));
    }

    private static RunResult done(long number, int index) {
        return new RunResult(number, "a", new TaskId(0, 0, index), 1, EndKind.DONE, "");
    }

    private void startTwoTasksOnTheWorker() {
        d.listWorkers("w1");
        d.answerHold("w1", List.of(), List.of());
        d.submit("a", TWO);
        d.completeSaves();
        List.copyOf(d.port.starts).forEach(s -> d.scheduler.onStarted(s, OrderOutcome.ACCEPTED));
        assertEquals(2, d.port.starts.size());
        d.advance(100);
    }

    private void endOneTaskWithoutSaving() {
        d.answerHold("w1", List.of(new RunStatus("a", new TaskId(0, 0, 1), 1, "", 50, -1)), List.of(done(1, 0)));
    }

    @Test
    void isPolledWhileItsResultsAreBeingSaved() {
        startTwoTasksOnTheWorker();
        d.scheduler.onWorkers(List.of(draining("w1")));
        endOneTaskWithoutSaving();
        int asked = d.port.holds.size();
        d.advance(KNOWN_MILLIS);
        assertTrue(d.port.holds.size() > asked, "the other task may end and its worker may be gone");
    }

    /** Guards against repeating an unanswered start after its worker has reported that it is draining. */
    @Test
    void getsNoRepeatedStart() {
        d.listWorkers("w1");
        d.answerHold("w1", List.of(), List.of());
        d.submit("a", TWO);
        d.completeSaves();
        List.copyOf(d.port.starts).forEach(s -> d.scheduler.onStarted(s, OrderOutcome.UNKNOWN));
        int sent = d.port.starts.size();
        d.scheduler.onWorkers(List.of(draining("w1")));
        for (int i = 0; i < 20; i++) {
            d.advance(100);
        }
        assertEquals(sent, d.port.starts.size());
        assertEquals(2, d.port.stops.size(), "runs that may have started must be stopped");
    }

    /** Guards against sending a start if the worker begins to drain while the placement is being written. */
    @Test
    void getsNoStartPlacedBeforeItDrains() {
        d.listWorkers("w1");
        d.answerHold("w1", List.of(), List.of());
        d.submit("a", TWO);
        d.scheduler.onWorkers(List.of(draining("w1")));
        d.completeSaves();
        d.advance(100);
        assertEquals(0, d.port.starts.size());
        assertEquals(0, d.port.stops.size());
    }

    /**
     * An additional poll is a call to the worker that usually returns nothing new: a worker that stays lists its
     * results again.
     */
    @Test
    void otherWorkersAreNotPolledWhileTheirResultsAreBeingSaved() {
        startTwoTasksOnTheWorker();
        endOneTaskWithoutSaving();
        int asked = d.port.holds.size();
        d.advance(5 * KNOWN_MILLIS);
        assertEquals(asked, d.port.holds.size());
    }
}
