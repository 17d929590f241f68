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
package org.lupinpaddle.model;

/** Schedules a random number of faults at random times of a history. */
final class FaultPlan {

    private final World world;
    private final History history;
    private final int maxFaults;

    FaultPlan(World world, History history, int maxFaults) {
        this.world = world;
        this.history = history;
        this.maxFaults = maxFaults;
    }

    void plan(long from, long millis) {
        int count = maxFaults == 0 ? 0 : 1 + world.random.nextInt(maxFaults);
        for (int i = 0; i < count; i++) {
            Fault f = Fault.values()[world.random.nextInt(Fault.values().length)];
            long at = from + world.random.nextInt((int) millis);
            world.time.schedule(at, () -> inject(f));
        }
    }

    private void inject(Fault f) {
        if (!world.fleet.workers().isEmpty()) {
            f.inject(world, world.random, history::add);
        }
    }
}
