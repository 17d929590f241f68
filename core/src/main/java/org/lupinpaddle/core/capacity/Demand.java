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
    private static final int ALL_PERCENT = 100;
    // Work is spread over this share of the time that its job still has: the rest is for what is not foreseen.
    private static final double USED_OF_TIME = 0.5;
    // Less time than this can not be used: an instance takes longer to come.
    private static final long LEAST_TIME_MILLIS = 500;

    private Room running = Room.NONE;
    private Room lasting = Room.NONE;
    // What finite work takes all the time, so that it ends when it should.
    private double cpuMillis;
    private double memoryMb;
    private double accelerators;
    private int spread;

    /** Adds a task that lasts. */
    public void addLasting(Room room) {
        lasting = lasting.plus(room);
    }

    /**
     * Adds a task that ends.
     *
     * @param room what it takes of a worker
     * @param leftMillis how long it still runs, by what is expected
     * @param availableMillis within which time its job is to be done
     * @param placed whether it has a worker already
     */
    public void addFinite(Room room, long leftMillis, long availableMillis, boolean placed) {
        double share = Math.min(1, leftMillis / Math.max(LEAST_TIME_MILLIS, availableMillis * USED_OF_TIME));
        cpuMillis += room.cpuMillis() * share;
        memoryMb += room.memoryMb() * share;
        accelerators += room.accelerators() * share;
        if (placed) {
            running = running.plus(room);
        }
    }

    /** Takes in that the tasks of one step need at least so many workers. */
    public void spreadOver(int workers) {
        spread = Math.max(spread, workers);
    }

    /** Returns how many workers with this room the work needs. */
    public int workers(Room each) {
        long byCpu = needed(Math.max(cpuMillis, running.cpuMillis()) + lasting.cpuMillis(), each.cpuMillis());
        long byMemory = needed(Math.max(memoryMb, running.memoryMb()) + lasting.memoryMb(), each.memoryMb());
        long byAccelerators =
                needed(Math.max(accelerators, running.accelerators()) + lasting.accelerators(), each.accelerators());
        return (int) Math.max(spread, Math.max(byCpu, Math.max(byMemory, byAccelerators)));
    }

    private static long needed(double sum, long each) {
        if (sum == 0 || each == 0) {
            return 0;
        }
        double usable = Math.max(1, each * FILLED_PERCENT / ALL_PERCENT);
        return (long) Math.ceil(sum / usable);
    }
}
