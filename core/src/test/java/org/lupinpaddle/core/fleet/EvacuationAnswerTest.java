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
package org.lupinpaddle.core.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.capacity.ServiceReport;
import org.lupinpaddle.core.queue.ServiceConfig;
import org.lupinpaddle.core.upkeep.EvacuationRecord;
import org.lupinpaddle.core.upkeep.UpkeepWave;

/** The answer to one evacuation request must not be used for the next. */
class EvacuationAnswerTest {

    private final FakeFleetPort port = new FakeFleetPort();
    private long now;
    private final FleetPlanner planner =
            new FleetPlanner(new FleetTiming(2_000, 0, 1_000, 2, 1), port, () -> now, () -> 1_700_000_000_000L + now);

    private static PlatformInstance up(String id, String worker) {
        return new PlatformInstance(id, "clips", PlatformInstance.State.UP, "north", worker);
    }

    @Test
    void isIgnoredForTheNextOperation() {
        planner.onPredecessorOrders(Map.of());
        planner.onServices(List.of(new ServiceConfig("clips", false, true)));
        planner.onInstances(InstanceList.of(List.of(up("m1", "w1"), up("m2", "w2"), up("m3", "w3"))));
        planner.onReport("clips", new ServiceReport(Map.of(), 1, 1, 0, List.of()));
        planner.onWaves(List.of(new UpkeepWave(1, List.of("m2"), 20_000, 1)));
        planner.tick();
        InstanceOperation first = InstanceOperation.upkeep(1);
        planner.onEvacuations(Map.of(new EvacuationRecord("w2", "m2", first.toString(), false, true), "clips"));
        planner.tick();
        assertEquals(List.of("m2 UPKEEP:1"), port.orders);
        planner.onOrderOutcome("m2", first, InstanceOrderOutcome.NOT_OF_WAVE);
        assertEquals(List.of("w2"), port.releasedWorkers, "the service may give the worker tasks again");
        planner.onWaves(List.of(new UpkeepWave(2, List.of("m2"), 20_000, 1)));
        for (int i = 0; i < 3; i++) {
            now += 100;
            planner.tick();
        }
        assertEquals(2, port.evacuationRequests.size());
        assertEquals(List.of("m2 UPKEEP:1"), port.orders, "the stored answer belongs to the first request");
    }

    /**
     * The platform's list lags. A worker that started after the listing was never evacuated and may already have
     * tasks.
     */
    @Test
    void isRequiredForAWorkerThatAppearedAfterTheInstanceWasListedEmpty() {
        planner.onPredecessorOrders(Map.of());
        planner.onServices(List.of(new ServiceConfig("clips", false, true)));
        planner.onInstances(InstanceList.of(List.of(up("m1", "w1"), up("m2", ""), up("m3", "w3"))));
        planner.onReport("clips", new ServiceReport(Map.of(), 1, 1, 0, List.of()));
        planner.onWaves(List.of(new UpkeepWave(1, List.of("m2"), 20_000, 1)));
        planner.tick();
        assertEquals(List.of("m2 UPKEEP:1"), port.orders);
        planner.onOrderOutcome("m2", InstanceOperation.upkeep(1), InstanceOrderOutcome.REFUSED);
        planner.onInstances(InstanceList.of(List.of(up("m1", "w1"), up("m2", "w9"), up("m3", "w3"))));
        for (int i = 0; i < 10; i++) {
            now += 100;
            planner.tick();
        }
        assertEquals(List.of("m2 UPKEEP:1"), port.orders, "w9 has not been evacuated");
    }
}
