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

/**
 * How long tasks of each queue take, learned from runs that ended well: callers' guesses are off several-fold, and
 * tasks of one queue resemble each other.
 */
final class RunTimes {

    // Before anything is known: of the order of the tasks that callers describe.
    private static final long UNKNOWN_MILLIS = 1_000;
    // The mean forgets: the newest run counts at least this much.
    private static final double LEAST_WEIGHT = 0.05;
    // Below so many runs the mean says less than the caller's guess.
    private static final int FEWEST_RUNS = 5;

    private final Map<String, Learned> byQueue = new HashMap<>();

    private static final class Learned {
        int runs;
        double meanMillis;
        int steps;
        double spread = 1;
    }

    /** Takes in that a whole run of a task took this long. */
    void learn(String queue, long millis) {
        Learned l = byQueue.computeIfAbsent(queue, q -> new Learned());
        l.runs++;
        l.meanMillis += (millis - l.meanMillis) * Math.max(1.0 / l.runs, LEAST_WEIGHT);
    }

    /** Takes in how many times its mean the longest task of a step took. */
    void learnSpread(String queue, double longestByMean) {
        Learned l = byQueue.computeIfAbsent(queue, q -> new Learned());
        l.steps++;
        l.spread += (longestByMean - l.spread) * Math.max(1.0 / (l.steps + 1), LEAST_WEIGHT);
    }

    /** Returns how many times the mean the longest task of a step of the queue takes; 1 while that is not known. */
    double spread(String queue) {
        Learned l = byQueue.get(queue);
        return l == null ? 1 : Math.max(1, l.spread);
    }

    /**
     * Returns how long a task is expected to run, in milliseconds: between the caller's guess and what the queue's
     * tasks have taken, by their geometric mean.
     *
     * @param estimateMillis the caller's guess; 0 when there is none
     */
    long expectedMillis(String queue, long estimateMillis) {
        Learned l = byQueue.get(queue);
        if (l == null || l.runs < FEWEST_RUNS) {
            return estimateMillis > 0 ? estimateMillis : UNKNOWN_MILLIS;
        }
        double guess = estimateMillis > 0 ? estimateMillis : l.meanMillis;
        return Math.max(1, Math.round(Math.sqrt(guess * l.meanMillis)));
    }
}
