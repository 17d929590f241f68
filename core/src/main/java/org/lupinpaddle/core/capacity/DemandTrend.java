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

/**
 * Forecasts the demand of a service at the time when instances requested now arrive. Growing demand is
 * extrapolated linearly; falling demand is not.
 */
public final class DemandTrend {

    // Long enough that single jobs do not look like a trend.
    private static final long WINDOW_MILLIS = 1_500;
    // The time from a report until an instance from the headroom pool accepts tasks: 1.5 s for the move, plus the
    // calls.
    private static final long LEAD_TIME_MILLIS = 1_800;
    // A burst that has just begun says little about its peak.
    private static final double MAX_GROWTH_FACTOR = 1.6;

    private final Deque<Sample> samples = new ArrayDeque<>();

    private record Sample(long at, double demand) {}

    /** Adds the current demand in workers and returns the forecast. */
    public double forecast(long now, double demand) {
        while (samples.size() > 1 && now - samples.peekFirst().at() > WINDOW_MILLIS) {
            samples.removeFirst();
        }
        samples.addLast(new Sample(now, demand));
        Sample oldest = samples.peekFirst();
        long elapsedMillis = now - oldest.at();
        if (elapsedMillis < WINDOW_MILLIS / 2 || demand <= oldest.demand()) {
            return demand;
        }
        double growth = (demand - oldest.demand()) / elapsedMillis * LEAD_TIME_MILLIS;
        return Math.min(demand + growth, Math.max(demand * MAX_GROWTH_FACTOR, demand + 1));
    }
}
