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

/** What the planner of the fleet asks of its host. Every call returns at once. */
public interface FleetPort {

    /** Asks the owner of a service to empty a worker. */
    void requestEvacuation(String service, EvacuationRecord record);

    /** Takes that back, or ends it: the worker is gone, or may get tasks again. */
    void endEvacuation(String service, String worker);

    /** Orders an errand of an instance; the outcome goes to {@link FleetPlanner#onOrderOutcome}. */
    void order(String instance, InstanceOperation errand);

    /** Writes how far a wave is. */
    void writeUpkeep(long wave, UpkeepRecord record);

    /** Tells the operators that a wave has begun. */
    void reportWaveRunning(long wave);

    /** Writes that a wave is done and tells the operators, in one. */
    void reportWaveCompleted(long wave, UpkeepRecord record);

    /** Tells a decision, for the log. */
    void logDecision(String kind, String instance, String detail);
}
