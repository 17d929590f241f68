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
 * A worker gives 2 s notice and leaves. One of its tasks ends, and the write of that gets no answer for a second. The owner used
 * not to ask the worker again meanwhile, since it would list the same end again; what ended in that second went with the worker
 * and was run again. In the log the last line of such a run is its {@code START_ANSWERED}; {@code WORKER_GONE} stands less than
 * a second after another run's {@code RUN_ENDED} there.
 */
class LeavingWorkerTest {

    /** What a worker has listed for this long counts as known to its owner. */
    private static final long KNOWN_MILLIS = 100;

    private static final StepSpec TWO =
            StepSpec.builder(2, SchedulerDriver.NEED).build();

    private final SchedulerDriver d = new SchedulerDriver();

    private static WorkerFacts leaving(String id) {
        return new WorkerFacts(
                id, "clips", "at-" + id, "north", true, 2_000, new Resources(4_000, 8_000, 0), List.of("r"));
    }

    private static EndReport done(long number, int index) {
        return new EndReport(number, "a", new TaskId(0, 0, index), 1, EndKind.DONE, "");
    }

    private void twoRunOnTheWorker() {
        d.workers("w1");
        d.answers("w1", List.of(), List.of());
        d.job("a", TWO);
        d.saved();
        List.copyOf(d.port.starts).forEach(s -> d.scheduler.onStarted(s, OrderOutcome.ACCEPTED));
        assertEquals(2, d.port.starts.size());
        d.passes(100);
    }

    private void oneHasEndedAndItsWriteHasNoAnswer() {
        d.answers("w1", List.of(new RunningReport("a", new TaskId(0, 0, 1), 1, "", 50, -1)), List.of(done(1, 0)));
    }

    @Test
    void isAskedAgainWhileItsEndsAreBeingWritten() {
        twoRunOnTheWorker();
        d.scheduler.onWorkers(List.of(leaving("w1")));
        oneHasEndedAndItsWriteHasNoAnswer();
        int asked = d.port.holds.size();
        d.passes(KNOWN_MILLIS);
        assertTrue(d.port.holds.size() > asked, "the other task may end, and its worker be gone");
    }

    /** Guards against repeating an unanswered start after its worker has reported that it is draining. */
    @Test
    void getsNoRepeatedStart() {
        d.workers("w1");
        d.answers("w1", List.of(), List.of());
        d.job("a", TWO);
        d.saved();
        List.copyOf(d.port.starts).forEach(s -> d.scheduler.onStarted(s, OrderOutcome.UNKNOWN));
        int sent = d.port.starts.size();
        d.scheduler.onWorkers(List.of(leaving("w1")));
        for (int i = 0; i < 20; i++) {
            d.passes(100);
        }
        assertEquals(sent, d.port.starts.size());
        assertEquals(2, d.port.stops.size(), "runs that may have started must be stopped");
    }

    /** Guards against sending a start if the worker begins to drain while the placement is being written. */
    @Test
    void getsNoStartPlacedBeforeItDrains() {
        d.workers("w1");
        d.answers("w1", List.of(), List.of());
        d.job("a", TWO);
        d.scheduler.onWorkers(List.of(leaving("w1")));
        d.saved();
        d.passes(100);
        assertEquals(0, d.port.starts.size());
        assertEquals(0, d.port.stops.size());
    }

    /** Such a look is a call to the worker and gives nothing new as a rule: one that stays lists its ends again. */
    @Test
    void isTheOnlyOneThatIs() {
        twoRunOnTheWorker();
        oneHasEndedAndItsWriteHasNoAnswer();
        int asked = d.port.holds.size();
        d.passes(5 * KNOWN_MILLIS);
        assertEquals(asked, d.port.holds.size());
    }
}
