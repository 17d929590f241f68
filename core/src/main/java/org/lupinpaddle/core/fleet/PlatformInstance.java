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

/**
 * An instance as listed by the platform. The list lags behind the actual state.
 *
 * @param id the platform's id of the instance, which is stable across moves and upkeep
 * @param pool the service whose pool the instance belongs to
 * @param state the current state
 * @param hall the data hall of the instance
 * @param worker the id of the worker running on it, or empty for none
 */
public record PlatformInstance(String id, String pool, State state, String hall, String worker) {

    /** Returns an instance of which only the id could be read. */
    public static PlatformInstance unknown(String id) {
        return new PlatformInstance(id, "", State.UNKNOWN, "", "");
    }

    /** The states of an instance. */
    public enum State {
        /** The instance is available in its pool. */
        UP,
        /** The instance is moving to another pool. */
        MOVING,
        /** The instance is under maintenance. */
        UPKEEP,
        /** The instance is out of service. */
        DOWN,
        /** The state could not be read, so the instance may be in any of the other states. */
        UNKNOWN
    }
}
