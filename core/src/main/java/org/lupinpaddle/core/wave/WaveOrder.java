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

/** The order in which a wave takes instances out, and how many at once the order itself allows. */
public enum WaveOrder {
    /** One instance at a time: the least spare capacity, the longest roll-out. */
    ONE_AT_A_TIME(1),
    /** As many at once as the budgets allow: the shortest roll-out. */
    WIDE(Integer.MAX_VALUE),
    /** As wide as the budgets allow, but all of one rack before the next. */
    RACK_BY_RACK(Integer.MAX_VALUE);

    private final int maxConcurrent;

    WaveOrder(int maxConcurrent) {
        this.maxConcurrent = maxConcurrent;
    }

    /** Returns how many instances may be out at once, budgets aside. */
    public int maxConcurrent() {
        return maxConcurrent;
    }

    /** Returns whether an instance may start while one of another rack is out. */
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
