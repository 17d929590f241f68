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
 * Estimates how much memory an owner needs for a job, whether or not its tasks are due. The tasks in progress are not
 * included, because an owner limits their number separately.
 */
public final class JobSize {

    /** The size of a task in progress, with its place in the maps of its job and its worker. */
    public static final int BYTES_PER_TASK = 700;

    private static final int BYTES_PER_JOB = 2_000;
    private static final int BYTES_PER_STEP = 600;
    // A text exists in the stored record and in the job that was read from it.
    private static final int COPIES_OF_TEXT = 2;
    // The records of a repeated job's completed tasks are kept until its last iteration ends. A new owner has each of
    // them
    // in memory twice, as stored text and as read from it.
    private static final int BYTES_PER_COMPLETED_TASK = 110;

    private JobSize() {}

    /** Returns the estimated number of bytes. */
    public static long bytes(JobSpec spec) {
        long tasks = spec.steps().stream().mapToLong(StepSpec::count).sum();
        int repetitions = spec.repeat().repetitions();
        return BYTES_PER_JOB
                + (long) COPIES_OF_TEXT * spec.text().length()
                + (long) BYTES_PER_STEP * spec.steps().size()
                + (repetitions == 1 ? 0 : BYTES_PER_COMPLETED_TASK * tasks * repetitions);
    }
}
