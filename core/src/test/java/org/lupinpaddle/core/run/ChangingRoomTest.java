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
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.placement.Resources;
import org.lupinpaddle.core.placement.WorkerFacts;

/**
 * A worker's room shrinks while it runs, and grows again. Where workers do not guard their room, a start that was chosen before
 * and sent after takes one beyond it: seen as tasks that slow each other down on a worker that says it has less than they ask for.
 *
 * <p>A choice waits for its record to be durable, through an outage of the store for seconds; the room that it was chosen by was
 * not looked at again before the start went out.
 */
class ChangingRoomTest {

    private static final StepSpec TWO =
            StepSpec.builder(2, SchedulerDriver.NEED).build();
    private static final StepSpec GANG =
            StepSpec.builder(2, SchedulerDriver.NEED).gang(true, false).build();

    private final SchedulerDriver d = new SchedulerDriver();

    private static WorkerFacts withCores(String id, long cpuMillis) {
        WorkerFacts w = SchedulerDriver.worker(id);
        Resources room = new Resources(cpuMillis, w.capacity().memoryMb(), 0);
        return new WorkerFacts(w.id(), w.service(), w.address(), w.hall(), false, 0, room, w.labels());
    }

    private void list(WorkerFacts... all) {
        d.scheduler.onWorkers(List.of(all));
        d.passes(10);
    }

    private List<String> startedOn() {
        // A choice that is made while the one before is being written waits for a write of its own.
        for (int i = 0; i < 3; i++) {
            d.passes(50);
            d.saved();
        }
        List<String> on = new ArrayList<>();
        d.port.starts.forEach(s -> on.add(s.worker().id()));
        return on;
    }

    @Nested
    class AChoiceThatIsNotSentYet {

        @Test
        void goesElsewhereWhenItsWorkerShrinks() {
            d.listed(withCores("w1", 2_000));
            d.job("a", TWO);
            list(withCores("w1", 1_000), withCores("w2", 2_000));
            d.answers("w2", List.of(), List.of());
            assertEquals(List.of("w1", "w2"), startedOn().stream().sorted().toList());
        }

        @Test
        void waitsWhereThereIsNoOtherWorkerUntilTheRoomReturns() {
            d.listed(withCores("w1", 2_000));
            d.job("a", TWO);
            list(withCores("w1", 1_000));
            assertEquals(List.of("w1"), startedOn());
            list(withCores("w1", 2_000));
            assertEquals(List.of("w1", "w1"), startedOn());
        }

        @Test
        void ofAGangIsTakenBackAsAWhole() {
            d.listed(withCores("w1", 2_000));
            d.job("a", GANG);
            list(withCores("w1", 1_000));
            assertTrue(startedOn().isEmpty());
            list(withCores("w1", 2_000));
            assertEquals(List.of("w1", "w1"), startedOn());
        }
    }

    @Nested
    class AWorkerThatHoldsMoreThanItsRoom {

        @Test
        void getsNothingNew() {
            d.listed(withCores("w1", 3_000));
            d.job("a", TWO);
            startedOn();
            list(withCores("w1", 1_500));
            d.job("b", StepSpec.builder(1, SchedulerDriver.NEED).build());
            assertEquals(2, startedOn().size());
        }
    }
}
