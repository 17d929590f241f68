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
 * One incarnation of a worker: its process from start to end. A worker that restarts may keep its id; the start
 * time distinguishes its incarnations.
 *
 * @param id the worker's id, which may stay the same across a restart
 * @param startMillis when this incarnation started, in milliseconds since 1970 by its host's clock; {@link
 *     #UNKNOWN_START} or {@link #UNREADABLE_START} if not known
 */
public record WorkerIncarnation(String id, long startMillis) {

    /** The start time of a worker that does not report one. */
    public static final long UNKNOWN_START = 0;

    /**
     * The start time of a worker whose reported value is not a positive whole number. It proves as little as an
     * unknown start time.
     */
    public static final long UNREADABLE_START = -1;

    /** Returns whether the start time of this incarnation is known. */
    public boolean hasStartTime() {
        return startMillis > UNKNOWN_START;
    }

    /**
     * Returns whether this is certainly another incarnation of the same worker. Unknown start times prove
     * nothing.
     */
    public boolean isKnownToDifferFrom(WorkerIncarnation other) {
        return hasStartTime() && other.hasStartTime() && startMillis != other.startMillis;
    }

    /** Returns whether this incarnation started after the other. */
    public boolean isLaterThan(WorkerIncarnation other) {
        return isKnownToDifferFrom(other) && startMillis > other.startMillis;
    }
}
