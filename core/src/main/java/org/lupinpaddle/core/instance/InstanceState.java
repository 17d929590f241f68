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
package org.lupinpaddle.core.instance;

/**
 * The lifecycle states of an instance, in the order in which a wave passes through them. Only an instance in
 * service accepts new work.
 */
public enum InstanceState {
    /** Serves requests for its pool. */
    IN_SERVICE(true, false),
    /** Draining: accepts no new work and finishes its current work. */
    LEAVING(false, true),
    /** Idle; the platform has been or will be asked to reboot it. The drain can no longer be undone. */
    REBOOTING(false, false),
    /** Was leaving and is being undrained before its reboot. */
    RETURNING(false, false),
    /** Permanently removed from the fleet. */
    RETIRED(false, false);

    private final boolean acceptsWork;
    private final boolean canUndrain;

    InstanceState(boolean acceptsWork, boolean canUndrain) {
        this.acceptsWork = acceptsWork;
        this.canUndrain = canUndrain;
    }

    /** Returns whether new work may be sent to an instance in this state. */
    public boolean acceptsWork() {
        return acceptsWork;
    }

    /** Returns whether a drain in this state can still be undone. */
    public boolean canUndrain() {
        return canUndrain;
    }
}
