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

/** Sums the demand of a service's work and converts it into a number of workers of one size. */
public final class Demand {

    // Tasks do not fill a worker completely: the remainder is too small for the next task.
    private static final int USABLE_PERCENT = 85;
    private static final int FULL_PERCENT = 100;
    // Work is spread over the remaining time of its job less this margin, which covers the time that instances
    // take to arrive and unforeseen delays.
    private static final long SAFETY_MARGIN_MILLIS = 1_200;
    private static final long MIN_AVAILABLE_MILLIS = 500;

    private Resources running = Resources.NONE;
    private Resources longRunning = Resources.NONE;
    private Resources arrivals = Resources.NONE;
    // The continuous resource use of finite work that meets its deadlines.
    private double cpuMillis;
    private double memoryMb;
    private double accelerators;
    private int minWorkers;

    /** Adds a long-running task. */
    public void addLongRunning(Resources resources) {
        longRunning = longRunning.plus(resources);
    }

    /**
     * Adds a finite task.
     *
     * @param resources the resources that it uses
     * @param remainingMillis its expected remaining run time
     * @param availableMillis the time until its job is due
     * @param parallelFraction the fraction of the work of all steps of its job that can run at the same time,
     *     since steps wait for each other
     * @param placed whether it has been assigned to a worker
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

    /** Returns the fraction of the available time for which a task must run to end in time, at most 1. */
    public static double requiredTimeShare(long remainingMillis, long availableMillis) {
        return Math.min(
                1, (double) remainingMillis / Math.max(MIN_AVAILABLE_MILLIS, availableMillis - SAFETY_MARGIN_MILLIS));
    }

    /** Sets the mean resources that arriving work uses. */
    public void setArrivals(Resources resources) {
        arrivals = resources;
    }

    /** Requires at least this many workers, to spread the tasks of one step. */
    public void requireWorkers(int workers) {
        minWorkers = Math.max(minWorkers, workers);
    }

    /** Returns the number of workers of this size that the work needs, as a fraction. */
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

    /** Returns the minimum number of workers for tasks that may not share one. */
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
