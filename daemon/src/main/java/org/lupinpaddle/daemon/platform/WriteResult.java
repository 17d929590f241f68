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
package org.lupinpaddle.daemon.platform;

/**
 * What became of a write to the store.
 *
 * @param fate whether it took effect
 * @param revision the revision of the write where it was accepted, else 0
 */
public record WriteResult(Fate fate, long revision) {

    /** Whether a write took effect. */
    public enum Fate {
        /** The value was written by this write. */
        ACCEPTED("accepted"),
        /** Another write came first; this one had no effect and will have none. */
        REFUSED("refused"),
        /** The store did not say, and could not be asked in time. */
        UNKNOWN("unknown");

        private final String wireName;

        Fate(String wireName) {
            this.wireName = wireName;
        }

        /** Returns the name used in answers and logs. */
        public String wireName() {
            return wireName;
        }
    }
}
