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

import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.instance.InstanceRecord;

/**
 * The instances that a wave covers: those that match all given criteria.
 *
 * @param pool the pool, or null for any
 * @param hall the data hall, or null for any
 * @param rack the rack, or null for any
 */
public record WaveScope(
        @Nullable String pool,
        @Nullable String hall,
        @Nullable String rack) {

    /** Returns whether the scope covers the instance. */
    public boolean covers(InstanceRecord i) {
        return (pool == null || pool.equals(i.pool()))
                && (hall == null || hall.equals(i.hall()))
                && (rack == null || rack.equals(i.rack()));
    }

    /** Returns whether no criterion is given. */
    public boolean isEmpty() {
        return pool == null && hall == null && rack == null;
    }
}
