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
 * One instance as the platform's list shows it. The list lags.
 *
 * @param id the platform's name of the instance; it stays across moves and upkeep
 * @param pool the service whose pool it belongs to
 * @param state what it is doing
 * @param hall the data hall it stands in
 * @param worker the id of the worker that runs on it; empty for none
 */
public record PlatformInstance(String id, String pool, State state, String hall, String worker) {

    /** Returns an instance of which nothing but its id can be read. */
    public static PlatformInstance unknown(String id) {
        return new PlatformInstance(id, "", State.UNKNOWN, "", "");
    }

    /** What an instance is doing. */
    public enum State {
        /** It is part of its pool. */
        UP,
        /** It is on its way to another pool. */
        MOVING,
        /** It is being maintained. */
        UPKEEP,
        /** It is out of order. */
        DOWN,
        /** What the platform says of it can not be read: it may be doing any of these. */
        UNKNOWN
    }
}
