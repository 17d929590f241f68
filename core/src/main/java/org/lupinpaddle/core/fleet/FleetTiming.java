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
 * Times and sizes that the planner of the fleet goes by.
 *
 * @param upkeepMillis how long the platform takes for the upkeep of an instance
 * @param takeOverMillis how long a new owner leaves instances alone that its predecessor has ordered lately
 * @param shrinkAfterMillis a pool must have been too large for so long before instances leave it
 * @param minWorkers the fewest workers that a pool keeps
 * @param reserve workers that a pool keeps beyond what its work needs: the buffer for losses and bursts
 */
public record FleetTiming(long upkeepMillis, long takeOverMillis, long shrinkAfterMillis, int minWorkers, int reserve) {

    // A move costs as much as an instance for one second, and there are two until it is back.
    private static final long SHRINK_AFTER_MILLIS = 1_500;
    // The loss of one leaves work somewhere to go.
    private static final int MIN_WORKERS = 2;
    private static final int RESERVE = 1;

    /** Returns the usual times. */
    public static FleetTiming defaults(long upkeepMillis, long takeOverMillis) {
        return new FleetTiming(upkeepMillis, takeOverMillis, SHRINK_AFTER_MILLIS, MIN_WORKERS, RESERVE);
    }
}
