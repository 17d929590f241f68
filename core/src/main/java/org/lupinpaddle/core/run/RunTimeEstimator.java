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
package org.lupinpaddle.core.run;

import java.util.HashMap;
import java.util.Map;
import org.lupinpaddle.core.common.ExponentialMovingAverage;

/**
 * Estimates run times per queue from successful runs: callers' estimates are wrong by a factor of several, and tasks
 * of one queue resemble each other.
 */
final class RunTimeEstimator {

    // Typical for the tasks that callers describe; used until something is known.
    private static final long DEFAULT_MILLIS = 1_000;
    // Minimum weight of the newest run in the moving mean.
    private static final double MIN_WEIGHT = 0.05;
    // With fewer runs the mean is less accurate than the caller's estimate.
    private static final int MIN_RUNS = 5;

    private final Map<String, QueueStatistics> byQueue = new HashMap<>();

    private static final class QueueStatistics {
        final ExponentialMovingAverage millis = new ExponentialMovingAverage(MIN_WEIGHT);
        final ExponentialMovingAverage maxToMeanRatio = new ExponentialMovingAverage(MIN_WEIGHT);

        QueueStatistics() {
            // Starts with one step whose tasks all took equally long.
            maxToMeanRatio.add(1);
        }
    }

    private QueueStatistics of(String queue) {
        return byQueue.computeIfAbsent(queue, q -> new QueueStatistics());
    }

    /** Records the duration of a full run of a task. */
    void recordRunTime(String queue, long millis) {
        of(queue).millis.add(millis);
    }

    /** Records the ratio of the longest to the mean run time of a step's tasks. */
    void recordMaxToMeanRatio(String queue, double longestByMean) {
        of(queue).maxToMeanRatio.add(longestByMean);
    }

    /** Returns the ratio of the longest to the mean run time of the queue's steps; 1 if unknown. */
    double maxToMeanRatio(String queue) {
        QueueStatistics l = byQueue.get(queue);
        return l == null ? 1 : Math.max(1, l.maxToMeanRatio.value());
    }

    /**
     * Returns the expected run time of a task in milliseconds: the geometric mean of the caller's estimate and the
     * queue's mean.
     *
     * @param estimateMillis the caller's estimate; 0 if there is none
     */
    long expectedMillis(String queue, long estimateMillis) {
        QueueStatistics l = byQueue.get(queue);
        if (l == null || l.millis.count() < MIN_RUNS) {
            return estimateMillis > 0 ? estimateMillis : DEFAULT_MILLIS;
        }
        double guess = estimateMillis > 0 ? estimateMillis : l.millis.value();
        return Math.max(1, Math.round(Math.sqrt(guess * l.millis.value())));
    }
}
