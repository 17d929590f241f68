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

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.lupinpaddle.core.common.ExponentialMovingAverage;
import org.lupinpaddle.core.placement.Resources;

/**
 * Estimates the resources that arriving finite work requires continuously so that no backlog builds up, from the
 * jobs accepted recently. The backlog itself shows the same only after it has built up, and no longer shows it
 * once its jobs are late.
 */
public final class ArrivalRate {

    // A burst is visible within the short window; the long window keeps workers through its gaps. For queues with
    // few jobs, the short window is not representative.
    private static final long SHORT_WINDOW_MILLIS = 800;
    private static final long LONG_WINDOW_MILLIS = 3_000;
    private static final int MIN_JOBS = 4;
    // Jobs of a queue are similar; with this weight the mean follows a change within some dozens of jobs.
    private static final double MIN_WEIGHT = 0.04;

    private final Map<String, QueueStatistics> statisticsByQueue = new HashMap<>();

    /** The arrivals and mean job sizes of one queue. */
    private static final class QueueStatistics {
        final Deque<Long> acceptedAt = new ArrayDeque<>();
        final ExponentialMovingAverage cpuTime = new ExponentialMovingAverage(MIN_WEIGHT);
        final ExponentialMovingAverage memoryTime = new ExponentialMovingAverage(MIN_WEIGHT);
        final ExponentialMovingAverage acceleratorTime = new ExponentialMovingAverage(MIN_WEIGHT);

        void addSample(Work w) {
            cpuTime.add(w.cpuTime);
            memoryTime.add(w.memoryTime);
            acceleratorTime.add(w.acceleratorTime);
        }

        /**
         * Returns the arrival rate in jobs per millisecond: the rate of the short window if it has enough jobs,
         * but at least that of the long window.
         */
        double rate(long now) {
            while (!acceptedAt.isEmpty() && now - acceptedAt.getFirst() > LONG_WINDOW_MILLIS) {
                acceptedAt.removeFirst();
            }
            long recentCount = acceptedAt.stream()
                    .filter(t -> now - t <= SHORT_WINDOW_MILLIS)
                    .count();
            double longWindowRate = (double) acceptedAt.size() / LONG_WINDOW_MILLIS;
            return recentCount < MIN_JOBS
                    ? longWindowRate
                    : Math.max(longWindowRate, (double) recentCount / SHORT_WINDOW_MILLIS);
        }
    }

    /** The work of a job: resources times milliseconds. */
    public static final class Work {
        private double cpuTime;
        private double memoryTime;
        private double acceleratorTime;

        /** Adds tasks that use these resources for the given time. */
        public void add(Resources each, int tasks, long millis) {
            cpuTime += (double) each.cpuMillis() * tasks * millis;
            memoryTime += (double) each.memoryMb() * tasks * millis;
            acceleratorTime += (double) each.accelerators() * tasks * millis;
        }
    }

    /** Records that a job of a queue was accepted. */
    public void onJobAccepted(String queue, long acceptedMillis, Work work) {
        QueueStatistics q = statisticsByQueue.computeIfAbsent(queue, k -> new QueueStatistics());
        q.acceptedAt.addLast(acceptedMillis);
        q.addSample(work);
    }

    /** Returns the mean resources that arriving work uses. */
    public Resources averageResources(long now) {
        double cpu = 0;
        double memory = 0;
        double accelerators = 0;
        for (QueueStatistics q : statisticsByQueue.values()) {
            double rate = q.rate(now);
            cpu += rate * q.cpuTime.value();
            memory += rate * q.memoryTime.value();
            accelerators += rate * q.acceleratorTime.value();
        }
        return new Resources(Math.round(cpu), Math.round(memory), (int) Math.ceil(accelerators));
    }
}
