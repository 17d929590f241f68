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
    private static final int USABLE_PERCENT = 85;
    private static final int FULL_PERCENT = 100;
    // Work is spread over the time that its job still has, less this: instances take as long to come, and what is
    // not foreseen takes its part.
    private static final long SAFETY_MARGIN_MILLIS = 1_200;
    private static final long MIN_AVAILABLE_MILLIS = 500;

    private Resources running = Resources.NONE;
    private Resources longRunning = Resources.NONE;
    private Resources arrivals = Resources.NONE;
    // What finite work takes all the time, so that it ends when it should.
    private double cpuMillis;
    private double memoryMb;
    private double accelerators;
    private int minWorkers;

    /** Adds a task that lasts. */
    public void addLongRunning(Resources resources) {
        longRunning = longRunning.plus(resources);
    }

    /**
     * Adds a task that ends.
     *
     * @param resources what it takes of a worker
     * @param remainingMillis how long it still runs, by what is expected
     * @param availableMillis within which time its job is to be done
     * @param parallelFraction of all that its job's steps take, what they can take at one time: steps wait for each other
     * @param placed whether it has a worker already
     */
    public void addFinite(
            Resources resources, long remainingMillis, long availableMillis, double parallelFraction, boolean placed) {
        double requiredShare = parallelFraction * requiredTimeShare(remainingMillis, availableMillis);
        cpuMillis += resources.cpuMillis() * requiredShare;
        memoryMb += resources.memoryMb() * requiredShare;
        accelerators += resources.accelerators() * requiredShare;
        if (placed) {
            running = running.plus(resources);
        }
    }

    /** Returns which part of the time a task must run so that it ends in time; at most all of it. */
    public static double requiredTimeShare(long remainingMillis, long availableMillis) {
        return Math.min(
                1, (double) remainingMillis / Math.max(MIN_AVAILABLE_MILLIS, availableMillis - SAFETY_MARGIN_MILLIS));
    }

    /** Takes in the room that what comes in takes all the time. */
    public void setArrivals(Resources resources) {
        arrivals = resources;
    }

    /** Takes in that the tasks of one step need at least so many workers. */
    public void requireWorkers(int workers) {
        minWorkers = Math.max(minWorkers, workers);
    }

    /** Returns how many workers with this room the work needs, in fractions of one. */
    public double requiredWorkers(Resources perWorker) {
        double byCpu = workersFor(
                max(cpuMillis, running.cpuMillis(), arrivals.cpuMillis()) + longRunning.cpuMillis(),
                perWorker.cpuMillis());
        double byMemory = workersFor(
                max(memoryMb, running.memoryMb(), arrivals.memoryMb()) + longRunning.memoryMb(), perWorker.memoryMb());
        double byAccelerators = workersFor(
                max(accelerators, running.accelerators(), arrivals.accelerators()) + longRunning.accelerators(),
                perWorker.accelerators());
        return Math.max(byCpu, Math.max(byMemory, byAccelerators));
    }

    /** Returns how many workers there must be for the tasks that may not be together. */
    public int minWorkers() {
        return minWorkers;
    }

    private static double max(double a, double b, double c) {
        return Math.max(a, Math.max(b, c));
    }

    private static double workersFor(double sum, long perWorker) {
        return perWorker == 0 ? 0 : sum / Math.max(1, perWorker * USABLE_PERCENT / FULL_PERCENT);
    }
}
