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
package org.lupinpaddle.daemon.slot;

import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.lupinpaddle.core.common.Urgency;

/** Statistics of one run of the experiment. Waits are in ms from a job's creation to its start on a worker. */
final class SimStatistics {

    private static final long MAX_WAIT_MILLIS = 3_600_000;

    final Map<Urgency, Histogram> waits = new EnumMap<>(Urgency.class);
    final Histogram poisonAttempts = new Histogram(1_000, 3);
    long jobs;
    long answered;
    long failedForCaller;
    /** Jobs answered with the failure of a worker that fails every job. */
    long lost;

    long refusals;
    long attempts;
    long messages;
    long bytes;
    long healthyEjected;
    long[] goodputBySecond = new long[3_600];

    SimStatistics() {
        for (Urgency urgency : Urgency.values()) {
            waits.put(urgency, new Histogram(MAX_WAIT_MILLIS, 3));
        }
    }

    void recordWait(Urgency urgency, long millis) {
        Histogram histogram = waits.get(urgency);
        if (histogram != null) {
            histogram.recordValue(Math.min(MAX_WAIT_MILLIS, millis));
        }
    }

    long waitPercentile(Urgency urgency, double percentile) {
        Histogram histogram = waits.get(urgency);
        return histogram == null ? 0 : histogram.getValueAtPercentile(percentile);
    }

    double perJob(long count) {
        return jobs == 0 ? 0 : (double) count / jobs;
    }
}
