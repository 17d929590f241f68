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
package org.lupinpaddle.core.fleet;

import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * The instances that the owner of the fleet has ordered recently. The record is written before the orders are
 * sent, so that a successor knows which instances it must not order for a while.
 *
 * @param lifeByInstance for each instance, the process that ordered it, from its start to its end; once it has
 *     ended, a successor only waits until the order can no longer be executed
 * @param waitMillisByInstance for each instance, how long after this record was written it must not be ordered
 *     unless the process has ended, in milliseconds. For an order of an earlier owner that may be pending, it is the
 *     maximum wait plus the longest time since it was sent
 * @param endedWaitMillisByInstance for each instance whose process has ended, how long after this record was written
 *     the order may still be executed, in milliseconds; null in records of earlier versions
 * @param writtenAt the time of day at which this record was written, in milliseconds; null in records of earlier
 *     versions
 */
public record RecentOrders(
        Map<String, String> lifeByInstance,
        Map<String, Long> waitMillisByInstance,
        @Nullable Map<String, Long> endedWaitMillisByInstance,
        @Nullable Long writtenAt) {

    /**
     * Returns how long after the record was written a successor must not order the instance. Returns {@code
     * maxMillis} if the record has no value, and never more.
     */
    public long waitMillis(String instance, long maxMillis) {
        Long recordedMillis = waitMillisByInstance.get(instance);
        return recordedMillis == null ? maxMillis : Math.max(0, Math.min(maxMillis, recordedMillis));
    }

    /**
     * Returns how long after the record was written the instance's order may still be executed, or null if the process
     * that sent it is not known to have ended.
     */
    public @Nullable Long endedWaitMillis(String instance) {
        return endedWaitMillisByInstance == null ? null : endedWaitMillisByInstance.get(instance);
    }

    /** Returns whether the order was sent by an owner before the one that wrote this record, and may not be settled. */
    public boolean isPassedOn(String instance, long maxMillis) {
        return waitMillisByInstance.getOrDefault(instance, maxMillis) > maxMillis;
    }

    /** Returns how long before the record was written the instance's order may have been sent, in milliseconds. */
    public long unsettledMillis(String instance, long maxMillis) {
        return Math.abs(waitMillisByInstance.getOrDefault(instance, maxMillis) - maxMillis);
    }

    /** Returns how old the record is by the time of day, in milliseconds, or {@code defaultMillis} if it has none. */
    public long ageMillis(long timeOfDay, long defaultMillis) {
        return writtenAt == null ? defaultMillis : Math.max(0, timeOfDay - writtenAt);
    }
}
