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
package org.lupinpaddle.daemon.port;

import java.util.ArrayList;
import java.util.List;

/**
 * Changes that are applied atomically if all conditions hold.
 *
 * @param conditions the conditions
 * @param puts the values to write
 * @param removals the keys to remove
 */
public record StoreCommit(List<Condition> conditions, List<Put> puts, List<String> removals) {

    /**
     * Requires a key to have a given revision.
     *
     * @param key the key
     * @param revision the required revision; 0 requires the key to be absent
     */
    public record Condition(String key, long revision) {}

    /**
     * A value to write.
     *
     * @param key the key
     * @param value the value, as text
     * @param lease the lease with which the key expires; 0 for none
     */
    public record Put(String key, String value, long lease) {}

    /** Returns a builder. */
    public static Builder builder() {
        return new Builder();
    }

    /** Builds a {@link StoreCommit}. */
    public static final class Builder {
        private final List<Condition> conditions = new ArrayList<>();
        private final List<Put> puts = new ArrayList<>();
        private final List<String> removals = new ArrayList<>();

        private Builder() {}

        /** Adds a condition; revision 0 means that the key must be absent. */
        public Builder when(String key, long revision) {
            conditions.add(new Condition(key, revision));
            return this;
        }

        /** Adds a value without a lease. */
        public Builder put(String key, String value) {
            return put(key, value, 0);
        }

        /** Adds a value that expires with a lease. */
        public Builder put(String key, String value, long lease) {
            puts.add(new Put(key, value, lease));
            return this;
        }

        /** Adds a key to remove. */
        public Builder remove(String key) {
            removals.add(key);
            return this;
        }

        /** Returns the commit. */
        public StoreCommit build() {
            return new StoreCommit(List.copyOf(conditions), List.copyOf(puts), List.copyOf(removals));
        }
    }
}
