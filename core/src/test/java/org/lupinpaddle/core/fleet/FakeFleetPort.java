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

import java.util.ArrayList;
import java.util.List;
import org.lupinpaddle.core.upkeep.EvacuationRecord;
import org.lupinpaddle.core.upkeep.UpkeepRecord;

/** Records the requests of a planner. */
final class FakeFleetPort implements FleetPort {

    final List<EvacuationRecord> evacuationRequests = new ArrayList<>();
    final List<String> releasedWorkers = new ArrayList<>();
    final List<String> orders = new ArrayList<>();
    final List<UpkeepRecord> upkeepRecords = new ArrayList<>();
    final List<Long> completedWaves = new ArrayList<>();

    @Override
    public void requestEvacuation(String service, EvacuationRecord record) {
        evacuationRequests.add(record);
    }

    @Override
    public void endEvacuation(String service, String worker) {
        releasedWorkers.add(worker);
    }

    @Override
    public void order(String instance, InstanceOperation operation) {
        orders.add(instance + " " + operation);
    }

    @Override
    public void writeUpkeep(long wave, UpkeepRecord record) {
        upkeepRecords.add(record);
    }

    @Override
    public void reportWaveRunning(long wave) {}

    @Override
    public void reportWaveCompleted(long wave, UpkeepRecord record) {
        completedWaves.add(wave);
    }

    @Override
    public void logDecision(String kind, String instance, String detail) {}
}
