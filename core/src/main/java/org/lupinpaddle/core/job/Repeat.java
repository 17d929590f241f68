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
 * The schedule of a job's repetitions.
 *
 * @param count the number of repetitions; 0 for a job without a schedule, which runs once
 * @param firstMillis the due time of the first repetition, in milliseconds since 1970
 * @param intervalMillis the interval between the due times of repetitions
 */
public record Repeat(int count, long firstMillis, long intervalMillis) {

    /** Runs the steps once, immediately. */
    public static final Repeat ONCE = new Repeat(0, 0, 0);

    /** Returns how many times the steps are run, at least 1. */
    public int repetitions() {
        return Math.max(1, count);
    }

    /** Returns the due time of a repetition, in milliseconds since 1970; 0 for a job that runs immediately. */
    public long dueMillis(int time) {
        return count == 0 ? 0 : firstMillis + time * intervalMillis;
    }
}
