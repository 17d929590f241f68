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
 * Times that the scheduler of a service goes by, in milliseconds.
 *
 * @param holdMillis how far ahead a hold lets a worker keep what it runs
 * @param busyWaitMillis how long a hold's answer waits while the worker runs something
 * @param idleWaitMillis the same while it runs nothing
 * @param silentMillis a worker whose last answer is older gets no new tasks
 * @param inheritedMillis how long an earlier owner may have kept a worker's tasks alive after it lost the service
 * @param stopMillis how long a stop takes at most
 * @param longestHoldMillis the furthest from now that a worker takes a deadline for
 */
public record SchedulerTiming(
        long holdMillis,
        long busyWaitMillis,
        long idleWaitMillis,
        long silentMillis,
        long inheritedMillis,
        long stopMillis,
        long longestHoldMillis) {

    // A lease of 2 s, the time to take over and to raise the fence fit into it twice; a worker that is gone
    // keeps its tasks from running elsewhere for no longer.
    private static final long HOLD_MILLIS = 5_000;
    private static final long BUSY_WAIT_MILLIS = 1_000;
    private static final long IDLE_WAIT_MILLIS = 2_000;
    // An idle worker answers every 2 s; the rest is for the call.
    private static final long SILENT_MILLIS = 2_700;

    /**
     * Returns the usual times for a platform that lets a hold reach this far and ends what is stopped within this time,
     * and owners that go on blind this long.
     */
    public static SchedulerTiming usual(long longestHoldMillis, long stopMillis, long blindMillis) {
        long hold = Math.min(HOLD_MILLIS, longestHoldMillis);
        return new SchedulerTiming(
                hold,
                BUSY_WAIT_MILLIS,
                IDLE_WAIT_MILLIS,
                SILENT_MILLIS,
                blindMillis + hold + hold / 20,
                stopMillis,
                longestHoldMillis);
    }
}
