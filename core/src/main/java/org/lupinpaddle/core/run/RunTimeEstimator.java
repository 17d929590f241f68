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
import org.lupinpaddle.core.common.ForgettingMean;

/**
 * How long tasks of each queue take, learned from runs that ended well: callers' guesses are off several-fold, and
 * tasks of one queue resemble each other.
 */
final class RunTimeEstimator {

    // Before anything is known: of the order of the tasks that callers describe.
    private static final long DEFAULT_MILLIS = 1_000;
    // The mean forgets: the newest run counts at least this much.
    private static final double MIN_WEIGHT = 0.05;
    // Below so many runs the mean says less than the caller's guess.
    private static final int MIN_RUNS = 5;

    private final Map<String, QueueStatistics> byQueue = new HashMap<>();

    private static final class QueueStatistics {
        final ForgettingMean millis = new ForgettingMean(MIN_WEIGHT);
        final ForgettingMean maxToMeanRatio = new ForgettingMean(MIN_WEIGHT);

        QueueStatistics() {
            // As if one step had been seen whose tasks all took as long.
            maxToMeanRatio.add(1);
        }
    }

    private QueueStatistics of(String queue) {
        return byQueue.computeIfAbsent(queue, q -> new QueueStatistics());
    }

    /** Takes in that a whole run of a task took this long. */
    void recordRunTime(String queue, long millis) {
        of(queue).millis.add(millis);
    }

    /** Takes in how many times its mean the longest task of a step took. */
    void recordMaxToMeanRatio(String queue, double longestByMean) {
        of(queue).maxToMeanRatio.add(longestByMean);
    }

    /** Returns how many times the mean the longest task of a step of the queue takes; 1 while that is not known. */
    double maxToMeanRatio(String queue) {
        QueueStatistics l = byQueue.get(queue);
        return l == null ? 1 : Math.max(1, l.maxToMeanRatio.value());
    }

    /**
     * Returns how long a task is expected to run, in milliseconds: between the caller's guess and what the queue's
     * tasks have taken, by their geometric mean.
     *
     * @param estimateMillis the caller's guess; 0 when there is none
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
