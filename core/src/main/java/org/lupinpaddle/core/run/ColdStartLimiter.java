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

/** Keeps the configured rate of starts on each cold worker: successive starts are at least one period apart. */
final class ColdStartLimiter {

    private static final double SECOND_MILLIS = 1_000;

    /** The minimum time between two starts on a worker; 0 for no limit. */
    private long periodMillis;
    /** Since when starts are recorded. Earlier ones, also those of an earlier owner, are unknown. */
    private long since = Long.MIN_VALUE / 2;
    /** When the last start was sent, by worker. */
    private final Map<String, Long> sentAt = new HashMap<>();

    /** Sets the maximum number of starts per second on a worker; 0 for no limit. */
    void setRate(double startsPerSecond, long now) {
        long period = startsPerSecond > 0 ? (long) Math.ceil(SECOND_MILLIS / startsPerSecond) : 0;
        if (period != periodMillis) {
            periodMillis = period;
            since = now;
        }
    }

    boolean isEnabled() {
        return periodMillis > 0;
    }

    /** Records that a start was sent. A repeated start counts too, since the worker may have received only that one. */
    void startSent(String worker, long now) {
        if (isEnabled()) {
            sentAt.put(worker, now);
        }
    }

    /**
     * Returns whether a start may be sent to the worker if it is cold.
     *
     * @param earlierOwnersUntil the latest time at which an earlier owner may have sent it a start
     */
    boolean permits(String worker, long earlierOwnersUntil, long now) {
        long last = Math.max(sentAt.getOrDefault(worker, since), Math.max(since, earlierOwnersUntil));
        return now - last >= periodMillis;
    }

    /** Removes the starts that no longer delay others. */
    void forgetExpired(long now) {
        sentAt.values().removeIf(at -> now - at >= periodMillis);
    }
}
