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
package org.lupinpaddle.daemon.jobs;

/** Why an owner hands a duty over; it decides what the next owner has to reckon with. */
enum HandOverReason {
    /** Another entry had better do it. This one lives on, and what it has ordered may still be under way. */
    TO_ANOTHER_ENTRY(false),
    /** The entry shutdown as planned: nothing of it is heard any more once its answers are in. */
    ENTRY_SHUTDOWN(true);

    private final boolean shutdown;

    HandOverReason(boolean shutdown) {
        this.shutdown = shutdown;
    }

    /** Returns whether the entry's process shutdown. */
    boolean isShutdown() {
        return shutdown;
    }
}
