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
 * Durations and pool sizes that the planner uses.
 *
 * @param upkeepMillis the duration of an upkeep on the platform
 * @param takeOverMillis how long a new owner does not order instances that its predecessor ordered recently
 * @param shrinkAfterMillis how long a pool must be oversized before instances leave it
 * @param minWorkers the minimum number of workers in a pool
 * @param reserve workers that a pool keeps beyond its demand, as a buffer for losses and bursts
 */
public record FleetTiming(long upkeepMillis, long takeOverMillis, long shrinkAfterMillis, int minWorkers, int reserve) {

    // A move costs as much as running an instance for one second, and it takes two seconds until the instance is
    // back.
    private static final long SHRINK_AFTER_MILLIS = 1_500;
    // With two workers, the loss of one leaves another to run its tasks.
    private static final int MIN_WORKERS = 2;
    private static final int RESERVE = 1;

    /** Returns the default timing. */
    public static FleetTiming defaults(long upkeepMillis, long takeOverMillis) {
        return new FleetTiming(upkeepMillis, takeOverMillis, SHRINK_AFTER_MILLIS, MIN_WORKERS, RESERVE);
    }
}
