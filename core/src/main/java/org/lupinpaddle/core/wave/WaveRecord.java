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
package org.lupinpaddle.core.wave;

import java.util.List;

/**
 * A wave requested by an operator, and its state. Progress is not stored here but derived from the instance
 * records, so the two can not disagree and a step needs no write of the wave.
 *
 * @param name the wave's name
 * @param kind the operation performed on each instance
 * @param scope the instances covered, for display to the operator
 * @param targets the instances in processing order, fixed when the wave starts
 * @param order the processing order
 * @param state the current state
 * @param reason the reason for the state, in plain text
 * @param operator the operator who gave the last command
 * @param writeId the id of the write that created this value
 */
public record WaveRecord(
        String name,
        WaveKind kind,
        WaveScope scope,
        List<WaveTarget> targets,
        WaveOrder order,
        WaveState state,
        String reason,
        String operator,
        String writeId) {

    /** Returns whether the instance is among the targets. */
    public boolean targets(String instance) {
        return targets.stream().anyMatch(t -> t.instance().equals(instance));
    }

    /** Returns a copy of this wave in another state. */
    public WaveRecord withState(WaveState next, String newReason, String newOperator, String newWriteId) {
        return new WaveRecord(name, kind, scope, targets, order, next, newReason, newOperator, newWriteId);
    }
}
