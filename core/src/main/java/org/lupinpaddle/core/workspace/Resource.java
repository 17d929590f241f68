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
package org.lupinpaddle.core.workspace;

import java.util.function.ToLongFunction;
import org.lupinpaddle.core.placement.Resources;

/** The resources that a quota limits independently of one another. */
enum Resource {
    /** In thousandths of a core. */
    CPU {
        @Override
        long of(Resources r) {
            return r.cpuMillis();
        }
    },
    /** In megabytes. */
    MEMORY {
        @Override
        long of(Resources r) {
            return r.memoryMb();
        }
    },
    /** In whole accelerators. */
    ACCELERATORS {
        @Override
        long of(Resources r) {
            return r.accelerators();
        }
    };

    /** Returns the amount of this resource in {@code r}. */
    abstract long of(Resources r);

    /** Returns a room with the given amount of each resource. */
    static Resources room(ToLongFunction<Resource> amount) {
        return new Resources(amount.applyAsLong(CPU), amount.applyAsLong(MEMORY), amount.applyAsLong(ACCELERATORS));
    }
}
