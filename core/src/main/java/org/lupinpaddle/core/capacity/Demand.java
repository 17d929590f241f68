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
package org.lupinpaddle.core.capacity;

import org.lupinpaddle.core.placement.Room;

/** Adds up what a service's work asks for, and says how many workers of one size that takes. */
public final class Demand {

    // Tasks do not fill a worker to the brim: what is left over is too small for the next one.
    private static final int FILLED_PERCENT = 85;
    // Tasks of steps that wait for earlier ones follow within about one task's time; half of them by then.
    private static final int FOLLOWING_PERCENT = 50;
    private static final int ALL_PERCENT = 100;

    private long cpuMillis;
    private long memoryMb;
    private long accelerators;
    private int spread;

    /** Adds a task that runs, or could run now. */
    public void addPresent(Room room) {
        add(room, ALL_PERCENT);
    }

    /** Adds a task whose step waits for earlier ones. */
    public void addFollowing(Room room) {
        add(room, FOLLOWING_PERCENT);
    }

    private void add(Room room, int percent) {
        cpuMillis += room.cpuMillis() * percent / ALL_PERCENT;
        memoryMb += room.memoryMb() * percent / ALL_PERCENT;
        accelerators += room.accelerators() * percent / ALL_PERCENT;
    }

    /** Takes in that the tasks of one step need at least so many workers. */
    public void spreadOver(int workers) {
        spread = Math.max(spread, workers);
    }

    /** Returns how many workers with this room the work needs. */
    public int workers(Room each) {
        long byCpu = needed(cpuMillis, each.cpuMillis());
        long byMemory = needed(memoryMb, each.memoryMb());
        long byAccelerators = needed(accelerators, each.accelerators());
        return (int) Math.max(spread, Math.max(byCpu, Math.max(byMemory, byAccelerators)));
    }

    private static long needed(long sum, long each) {
        if (sum == 0 || each == 0) {
            return 0;
        }
        long usable = Math.max(1, each * FILLED_PERCENT / ALL_PERCENT);
        return (sum + usable - 1) / usable;
    }
}
