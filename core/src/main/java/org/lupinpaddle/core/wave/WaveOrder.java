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
package org.lupinpaddle.core.wave;

import java.util.Comparator;
import org.lupinpaddle.core.instance.InstanceRecord;

/** The order in which a wave takes out instances, and the concurrency that the order itself allows. */
public enum WaveOrder {
    /** Takes out one instance at a time: the least spare capacity, the longest roll-out. */
    ONE_AT_A_TIME(1),
    /** Takes out as many instances as the budgets allow: the shortest roll-out. */
    WIDE(Integer.MAX_VALUE),
    /** Takes out as many instances as the budgets allow, but completes one rack before the next. */
    RACK_BY_RACK(Integer.MAX_VALUE);

    private final int maxConcurrent;

    WaveOrder(int maxConcurrent) {
        this.maxConcurrent = maxConcurrent;
    }

    /** Returns the maximum number of instances out at the same time, regardless of budgets. */
    public int maxConcurrent() {
        return maxConcurrent;
    }

    /** Returns whether an instance may be taken out while an instance of another rack is out. */
    public boolean mixesRacks() {
        return this != RACK_BY_RACK;
    }

    /** Returns the order of instances within the wave. */
    public Comparator<InstanceRecord> comparator() {
        return Comparator.comparing(InstanceRecord::hall)
                .thenComparing(InstanceRecord::rack)
                .thenComparing(InstanceRecord::id);
    }
}
