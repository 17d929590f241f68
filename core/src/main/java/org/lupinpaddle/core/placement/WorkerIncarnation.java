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
package org.lupinpaddle.core.placement;

/**
 * One life of a worker. A worker that restarts may keep its id; the time of its start tells its lives apart.
 *
 * @param id the worker's id, which may outlive a restart
 * @param startMillis when this life started, in milliseconds since 1970 by its host's clock; {@link #UNKNOWN_BIRTH} or
 *     {@link #UNREADABLE_BIRTH} where nobody can tell
 */
public record WorkerIncarnation(String id, long startMillis) {

    /** The birth of a worker that states none. */
    public static final long UNKNOWN_START = 0;

    /** Stands for a birth that is stated and is not a positive whole number; it proves as little as an unknown one. */
    public static final long UNREADABLE_START = -1;

    /** Returns whether the worker has stated when this life started. */
    public boolean hasStartTime() {
        return startMillis > UNKNOWN_START;
    }

    /** Returns whether this is another life of the same worker for certain; unknown births prove nothing. */
    public boolean isKnownToDifferFrom(WorkerIncarnation other) {
        return hasStartTime() && other.hasStartTime() && startMillis != other.startMillis;
    }

    /** Returns whether this life started after the other. */
    public boolean isLaterThan(WorkerIncarnation other) {
        return isKnownToDifferFrom(other) && startMillis > other.startMillis;
    }
}
