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
 * What the configuration said of a queue when it accepted a job; it stays with the job.
 *
 * @param priority 0 comes first
 * @param maxAttempts how many runs of one task may end as failed
 * @param extension the latency objective is this many times the longest chain of work, plus {@code sloMillis}
 * @param sloMillis the fixed part of the latency objective
 * @param advised whether only workers that the advice service names may run a step
 */
public record Policy(int priority, int maxAttempts, double extension, long sloMillis, boolean advised) {

    /** A job that ends within this many times its objective is late; beyond that its end does not count. */
    public static final int LATE_FACTOR = 3;

    /** Returns whether all values have a meaning. */
    boolean isValid() {
        return priority >= 0 && maxAttempts >= 0 && sloMillis >= 0 && Double.isFinite(extension) && extension >= 0;
    }
}
