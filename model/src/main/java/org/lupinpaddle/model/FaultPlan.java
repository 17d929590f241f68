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

/** Which faults strike when. */
final class FaultPlan {

    private final World world;
    private final History history;
    private final int most;

    FaultPlan(World world, History history, int most) {
        this.world = world;
        this.history = history;
        this.most = most;
    }

    void plan(long from, long millis) {
        int count = most == 0 ? 0 : 1 + world.random.nextInt(most);
        for (int i = 0; i < count; i++) {
            Fault f = Fault.values()[world.random.nextInt(Fault.values().length)];
            long at = from + world.random.nextInt((int) millis);
            world.time.after(at, () -> strike(f));
        }
    }

    private void strike(Fault f) {
        if (!world.fleet.workers().isEmpty()) {
            f.strike(world, world.random, history::add);
        }
    }
}
