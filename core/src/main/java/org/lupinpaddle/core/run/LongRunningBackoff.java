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
package org.lupinpaddle.core.run;

/** The delay before a failed long-running task is restarted. */
final class LongRunningBackoff {

    // The first failures cause no delay. A task that always fails at once starts every 3 s, twice within the 6 s after
    // which a long-running task without a run counts as lost.
    private static final long FIRST_MILLIS = 50;
    private static final long MAX_MILLIS = 3_000;
    private static final int FREE_FAILURES = 3;
    private static final int MAX_DOUBLINGS = 6;

    private LongRunningBackoff() {}

    /** Returns the delay after this many failures. */
    static long delayMillis(int failures) {
        if (failures <= FREE_FAILURES) {
            return 0;
        }
        int doublings = Math.min(failures - FREE_FAILURES, MAX_DOUBLINGS);
        return Math.min(MAX_MILLIS, FIRST_MILLIS << doublings);
    }
}
