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
 * What an operator has asked for, and whether it goes on. Progress is not kept here: it is read off the
 * instances' own records, so it can not disagree with them and a step costs no write of the wave.
 *
 * @param name the wave's name
 * @param kind what is done with each instance
 * @param scope the instances covered, for the operator to read
 * @param targets the instances in their order of work, fixed when the wave is started
 * @param order the order of work
 * @param state whether it goes on
 * @param reason why it is in this state, in plain words
 * @param operator who gave the last command
 * @param writeId the id of the write that made this value
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

    /** Returns the wave in another state. */
    public WaveRecord withState(WaveState next, String newReason, String newOperator, String newWriteId) {
        return new WaveRecord(name, kind, scope, targets, order, next, newReason, newOperator, newWriteId);
    }
}
