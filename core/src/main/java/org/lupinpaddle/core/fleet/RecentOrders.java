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

/**
 * Which instances the owner of the fleet has ordered lately. It is written before the orders go out, so that a
 * successor knows which instances it must leave alone for a while.
 *
 * @param lifeByInstance the instances, each with the life of the entry that ordered it: its process from one start
 *     to its end. What a life that is over has ordered need not be waited for.
 * @param waitMillisByInstance for how long after the record's writing each of them is to be left alone, in milliseconds
 */
public record RecentOrders(Map<String, String> lifeByInstance, Map<String, Long> waitMillisByInstance) {

    /**
     * Returns for how long from the record's writing on a successor leaves the instance alone; {@code maxMillis} where the
     * writer has not told, and never more.
     */
    public long waitMillis(String instance, long maxMillis) {
        Long recordedMillis = waitMillisByInstance.get(instance);
        return recordedMillis == null ? maxMillis : Math.max(0, Math.min(maxMillis, recordedMillis));
    }
}
