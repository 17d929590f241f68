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

/** The reason for a hand-over, which determines what the next owner has to expect. */
enum HandOverReason {
    /** Another entry is better suited. This entry lives on, and its orders may still be in flight. */
    TO_ANOTHER_ENTRY(false),
    /** The entry shuts down as planned; nothing of it is in flight once its orders are answered. */
    ENTRY_SHUTDOWN(true);

    private final boolean shutdown;

    HandOverReason(boolean shutdown) {
        this.shutdown = shutdown;
    }

    /** Returns whether the entry's process ends. */
    boolean isShutdown() {
        return shutdown;
    }
}
