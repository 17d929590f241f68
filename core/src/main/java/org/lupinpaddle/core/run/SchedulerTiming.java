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
package org.lupinpaddle.core.run;

/**
 * The timing parameters of a scheduler, in milliseconds.
 *
 * @param holdMillis how far ahead a hold sets the deadline of a worker's runs
 * @param busyWaitMillis how long the answer to a hold may be delayed while the worker runs tasks
 * @param idleWaitMillis the same for an idle worker
 * @param silentMillis a worker whose last answer is older than this gets no new tasks
 * @param inheritedMillis how long an earlier owner may have kept a worker's tasks alive after losing the service
 * @param stopMillis the maximum duration of a stop
 * @param longestHoldMillis the furthest deadline that a worker accepts, from now
 */
public record SchedulerTiming(
        long holdMillis,
        long busyWaitMillis,
        long idleWaitMillis,
        long silentMillis,
        long inheritedMillis,
        long stopMillis,
        long longestHoldMillis) {

    // Twice the time of a 2 s lease, the take-over and the raising of the fence. A lost worker delays its tasks for no
    // longer than this.
    private static final long HOLD_MILLIS = 5_000;
    private static final long BUSY_WAIT_MILLIS = 1_000;
    private static final long IDLE_WAIT_MILLIS = 2_000;
    // An idle worker answers every 2 s; the rest covers the call.
    private static final long SILENT_MILLIS = 2_700;
    // An owner without contact to the store places nothing after 2.5 s, when its list of workers is stale, and sends
    // the last copy of a start 2.8 s later.
    private static final long LAST_START_MILLIS = 5_500;

    /** The longest time after a take-over in which a worker executes a start of an earlier owner. */
    static final long LAST_INHERITED_START_MILLIS = LAST_START_MILLIS + OutstandingStarts.MAX_ORDER_DELAY_MILLIS;

    /**
     * Returns the usual timing for a platform with the given limits on hold deadlines and stop times, and for owners
     * that continue for {@code blindMillis} without the store.
     */
    public static SchedulerTiming usual(long longestHoldMillis, long stopMillis, long blindMillis) {
        long hold = Math.min(HOLD_MILLIS, longestHoldMillis);
        return new SchedulerTiming(
                hold,
                BUSY_WAIT_MILLIS,
                IDLE_WAIT_MILLIS,
                SILENT_MILLIS,
                Math.max(blindMillis + hold + hold / 20, lateStartMillis(longestHoldMillis)),
                stopMillis,
                longestHoldMillis);
    }

    /** Returns for how long a late start of an owner that has lost contact to the store may keep its run alive. */
    private static long lateStartMillis(long longestHoldMillis) {
        return LAST_INHERITED_START_MILLIS + LiveWorker.maxElapsedMillis(longestHoldMillis);
    }
}
