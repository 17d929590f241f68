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
package org.lupinpaddle.core.job;

/**
 * When the steps of a job are run.
 *
 * @param count how often; a job without times runs once, with a count of 0
 * @param firstMillis when the first time falls due, in milliseconds since 1970
 * @param intervalMillis from one time to the next
 */
public record Repeat(int count, long firstMillis, long intervalMillis) {

    /** The steps run once, at once. */
    public static final Repeat ONCE = new Repeat(0, 0, 0);

    /** Returns how many times the steps are run. */
    public int repetitions() {
        return Math.max(1, count);
    }

    /** Returns when a time falls due, in milliseconds since 1970; 0 for a job that runs at once. */
    public long dueMillis(int time) {
        return count == 0 ? 0 : firstMillis + time * intervalMillis;
    }
}
