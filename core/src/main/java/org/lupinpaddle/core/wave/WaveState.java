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

/** The states of a wave. */
public enum WaveState {
    /** The wave takes out instances as the budgets allow. */
    RUNNING(true, false),
    /** The wave takes out no more instances and returns those that have not reached their reboot. */
    PAUSED(false, false),
    /** The wave stopped by itself because instances did not return; an operator resumes or cancels it. */
    HALTED(false, false),
    /** An operator ended the wave. */
    CANCELLED(false, true),
    /** All instances in the scope are done. */
    DONE(false, true);

    private final boolean takesOut;
    private final boolean ended;

    WaveState(boolean takesOut, boolean ended) {
        this.takesOut = takesOut;
        this.ended = ended;
    }

    /** Returns whether the wave takes out more instances. */
    public boolean takesOut() {
        return takesOut;
    }

    /** Returns whether the wave can not be resumed. */
    public boolean ended() {
        return ended;
    }
}
