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

import java.util.List;
import java.util.Map;
import org.lupinpaddle.core.common.Unreadable;

/**
 * The platform's list of its instances.
 *
 * @param instances those that are named
 * @param unreadable what is wrong with rows that can not be read, by instance; {@link #UNKNOWN_ID} stands for all of which
 *     not even that is known
 */
public record InstanceList(List<PlatformInstance> instances, Map<String, Unreadable> unreadable) {

    /** Stands for an instance whose id can not be read. */
    public static final String UNKNOWN_ID = "";

    /** Returns a list all of whose rows can be read. */
    public static InstanceList of(List<PlatformInstance> all) {
        return new InstanceList(all, Map.of());
    }

    /** Returns whether these are all: only then an instance that is not named does not exist. */
    public boolean isComplete() {
        return !unreadable.containsKey(UNKNOWN_ID);
    }

    /** Returns whether it tells the worker of each instance: only then a worker that is not named is gone. */
    public boolean namesAllWorkers() {
        return unreadable.isEmpty();
    }
}
