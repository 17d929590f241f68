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
 * The platform's list of instances.
 *
 * @param instances the instances that could be read
 * @param unreadable the errors of rows that could not be read, by instance id; {@link #UNKNOWN_ID} stands for all
 *     rows whose id could not be read either
 */
public record InstanceList(List<PlatformInstance> instances, Map<String, Unreadable> unreadable) {

    /** The key for rows whose instance id could not be read. */
    public static final String UNKNOWN_ID = "";

    /** Returns a list without unreadable rows. */
    public static InstanceList of(List<PlatformInstance> all) {
        return new InstanceList(all, Map.of());
    }

    /**
     * Returns whether every instance id is known. Only then does the absence of an instance mean that it does not
     * exist.
     */
    public boolean isComplete() {
        return !unreadable.containsKey(UNKNOWN_ID);
    }

    /**
     * Returns whether the worker of every instance is known. Only then does the absence of a worker mean that it
     * is gone.
     */
    public boolean namesAllWorkers() {
        return unreadable.isEmpty();
    }
}
