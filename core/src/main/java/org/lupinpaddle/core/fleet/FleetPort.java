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

import org.lupinpaddle.core.upkeep.EvacuationRecord;
import org.lupinpaddle.core.upkeep.UpkeepRecord;

/** The actions that {@link FleetPlanner} requests from its host. No method blocks. */
public interface FleetPort {

    /** Requests the owner of a service to evacuate a worker. */
    void requestEvacuation(String service, EvacuationRecord record);

    /** Withdraws or completes an evacuation request: the worker is gone, or may be given tasks again. */
    void endEvacuation(String service, String worker);

    /** Orders an operation on an instance; the outcome is passed to {@link FleetPlanner#onOrderOutcome}. */
    void order(String instance, InstanceOperation operation);

    /** Stores the progress of a wave. */
    void writeUpkeep(long wave, UpkeepRecord record);

    /** Reports to the operators that a wave is running. */
    void reportWaveRunning(long wave);

    /** Stores the completion of a wave and reports it to the operators, as one action. */
    void reportWaveCompleted(long wave, UpkeepRecord record);

    /** Logs a decision. */
    void logDecision(String kind, String instance, String detail);
}
