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
 * Guards against overloading a worker whose room shrinks after a placement. A placement waits until its record is
 * durable, which takes seconds during a store outage, and the room was not checked again before the start was sent.
 * Where workers do not check their room, the start took the worker beyond it: its tasks slowed each other down
 * although it reported less room than they needed.
 */
class CapacityPassTest {

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
        d.advance(10);
    }

    private List<String> saveAndCollectStartedWorkers() {
        // A placement made while the one before is being saved needs a write of its own.
        for (int i = 0; i < 3; i++) {
            d.advance(50);
            d.completeSaves();
        }
        List<String> on = new ArrayList<>();
        d.port.starts.forEach(s -> on.add(s.worker().id()));
        return on;
    }

    @Nested
    class AnUnsentPlacement {

        @Test
        void movesWhenItsWorkerShrinks() {
            d.listAndAnswer(withCores("w1", 2_000));
            d.submit("a", TWO);
            list(withCores("w1", 1_000), withCores("w2", 2_000));
            d.answerHold("w2", List.of(), List.of());
            assertEquals(
                    List.of("w1", "w2"),
                    saveAndCollectStartedWorkers().stream().sorted().toList());
        }

        @Test
        void waitsForRoomIfThereIsNoOtherWorker() {
            d.listAndAnswer(withCores("w1", 2_000));
            d.submit("a", TWO);
            list(withCores("w1", 1_000));
            assertEquals(List.of("w1"), saveAndCollectStartedWorkers());
            list(withCores("w1", 2_000));
            assertEquals(List.of("w1", "w1"), saveAndCollectStartedWorkers());
        }

        @Test
        void ofAGangIsWithdrawnAsAWhole() {
            d.listAndAnswer(withCores("w1", 2_000));
            d.submit("a", GANG);
            list(withCores("w1", 1_000));
            assertTrue(saveAndCollectStartedWorkers().isEmpty());
            list(withCores("w1", 2_000));
            assertEquals(List.of("w1", "w1"), saveAndCollectStartedWorkers());
        }
    }

    @Nested
    class AnOverloadedWorker {

        @Test
        void getsNoNewTasks() {
            d.listAndAnswer(withCores("w1", 3_000));
            d.submit("a", TWO);
            saveAndCollectStartedWorkers();
            list(withCores("w1", 1_500));
            d.submit("b", StepSpec.builder(1, SchedulerDriver.NEED).build());
            assertEquals(2, saveAndCollectStartedWorkers().size());
        }
    }
}
