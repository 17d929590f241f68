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

/** Keeps what a planner asks for. */
final class FakeFleetPort implements FleetPort {

    final List<EvacuationRecord> asked = new ArrayList<>();
    final List<String> released = new ArrayList<>();
    final List<String> orders = new ArrayList<>();
    final List<UpkeepRecord> upkeep = new ArrayList<>();
    final List<Long> completed = new ArrayList<>();

    @Override
    public void askEvacuation(String service, EvacuationRecord record) {
        asked.add(record);
    }

    @Override
    public void endEvacuation(String service, String worker) {
        released.add(worker);
    }

    @Override
    public void order(String instance, Errand errand) {
        orders.add(instance + " " + errand);
    }

    @Override
    public void writeUpkeep(long wave, UpkeepRecord record) {
        upkeep.add(record);
    }

    @Override
    public void tellWaveRunning(long wave) {}

    @Override
    public void tellWaveCompleted(long wave, UpkeepRecord record) {
        completed.add(wave);
    }

    @Override
    public void note(String kind, String instance, String detail) {}
}
