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
 * The scheduling policy of a queue's jobs. A job's record keeps the one that it was accepted with; the newest
 * configuration of the queue overrides it.
 *
 * @param priority the priority; 0 is the highest
 * @param maxAttempts the maximum number of failed runs of a task
 * @param extension the factor of the latency objective, which is the duration of the critical path times this factor,
 *     plus {@code sloMillis}
 * @param sloMillis the fixed part of the latency objective
 * @param advised whether a step may run only on workers that the advice service recommends
 */
public record Policy(int priority, int maxAttempts, double extension, long sloMillis, boolean advised) {

    /** A job that exceeds its objective is late up to this multiple of it; a later completion does not count. */
    public static final int LATE_FACTOR = 3;

    /** Returns the same policy for a queue that requires advice. */
    public Policy withAdvice() {
        return new Policy(priority, maxAttempts, extension, sloMillis, true);
    }

    /** Returns whether all values are within their valid ranges. */
    boolean isValid() {
        return priority >= 0 && maxAttempts >= 0 && sloMillis >= 0 && Double.isFinite(extension) && extension >= 0;
    }
}
