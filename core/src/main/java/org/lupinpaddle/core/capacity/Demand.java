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

import org.lupinpaddle.core.placement.Resources;

/** Adds up what a service's work asks for, and says how many workers of one size that takes. */
public final class Demand {

    // Tasks do not fill a worker to the brim: what is left over is too small for the next one.
    private static final int FILLED_PERCENT = 85;
    private static final int ALL_PERCENT = 100;
    // Work is spread over the time that its job still has, less this: instances take as long to come, and what is
    // not foreseen takes its part.
    private static final long KEPT_BACK_MILLIS = 1_200;
    private static final long LEAST_TIME_MILLIS = 500;

    private Resources running = Resources.NONE;
    private Resources lasting = Resources.NONE;
    private Resources flow = Resources.NONE;
    // What finite work takes all the time, so that it ends when it should.
    private double cpuMillis;
    private double memoryMb;
    private double accelerators;
    private int spread;

    /** Adds a task that lasts. */
    public void addLasting(Resources room) {
        lasting = lasting.plus(room);
    }

    /**
     * Adds a task that ends.
     *
     * @param room what it takes of a worker
     * @param leftMillis how long it still runs, by what is expected
     * @param availableMillis within which time its job is to be done
     * @param part of all that its job's steps take, what they can take at one time: steps wait for each other
     * @param placed whether it has a worker already
     */
    public void addFinite(Resources room, long leftMillis, long availableMillis, double part, boolean placed) {
        double share = part * share(leftMillis, availableMillis);
        cpuMillis += room.cpuMillis() * share;
        memoryMb += room.memoryMb() * share;
        accelerators += room.accelerators() * share;
        if (placed) {
            running = running.plus(room);
        }
    }

    /** Returns which part of the time a task must run so that it ends in time; at most all of it. */
    public static double share(long leftMillis, long availableMillis) {
        return Math.min(1, (double) leftMillis / Math.max(LEAST_TIME_MILLIS, availableMillis - KEPT_BACK_MILLIS));
    }

    /** Takes in the room that what comes in takes all the time. */
    public void flows(Resources room) {
        flow = room;
    }

    /** Takes in that the tasks of one step need at least so many workers. */
    public void spreadOver(int workers) {
        spread = Math.max(spread, workers);
    }

    /** Returns how many workers with this room the work needs, in fractions of one. */
    public double need(Resources each) {
        double byCpu =
                needed(most(cpuMillis, running.cpuMillis(), flow.cpuMillis()) + lasting.cpuMillis(), each.cpuMillis());
        double byMemory =
                needed(most(memoryMb, running.memoryMb(), flow.memoryMb()) + lasting.memoryMb(), each.memoryMb());
        double byAccelerators = needed(
                most(accelerators, running.accelerators(), flow.accelerators()) + lasting.accelerators(),
                each.accelerators());
        return Math.max(byCpu, Math.max(byMemory, byAccelerators));
    }

    /** Returns how many workers there must be for the tasks that may not be together. */
    public int fewest() {
        return spread;
    }

    private static double most(double a, double b, double c) {
        return Math.max(a, Math.max(b, c));
    }

    private static double needed(double sum, long each) {
        return each == 0 ? 0 : sum / Math.max(1, each * FILLED_PERCENT / ALL_PERCENT);
    }
}
