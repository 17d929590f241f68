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
    /** Takes out instances as the budgets allow. */
    RUNNING(true, false),
    /** Takes out no more instances and puts back those that have not reached their reboot. */
    PAUSED(false, false),
    /** Stopped by itself, since instances did not come back; an operator resumes or cancels it. */
    HALTED(false, false),
    /** Ended by an operator. */
    CANCELLED(false, true),
    /** Every instance in its scope is done. */
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
