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
package org.lupinpaddle.core.pool;

import org.jspecify.annotations.Nullable;

/**
 * A pool of instances.
 *
 * @param name the pool's name
 * @param service the service that the pool's workers run, or null for a pool of spare instances
 * @param site the pool's site; informative only, each instance records its own hall
 * @param retired whether the pool accepts no more instances
 * @param operator the operator who created or retired it
 * @param writeId the id of the write that made this value
 */
public record PoolRecord(
        String name, @Nullable String service, String site, boolean retired, String operator, String writeId) {

    /** Returns whether the pool's workers run this service. */
    public boolean runs(String name) {
        return name.equals(service);
    }
}
