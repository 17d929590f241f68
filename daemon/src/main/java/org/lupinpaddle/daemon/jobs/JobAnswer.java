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

import java.util.Optional;
import org.lupinpaddle.core.job.JobState;

/**
 * The answer to a caller's request about a job.
 *
 * @param known whether the store returned readable data; if not, nothing is known about the job at present
 * @param state the job's state; empty if the job does not exist
 */
public record JobAnswer(boolean known, Optional<JobState> state) {

    static final JobAnswer UNKNOWN = new JobAnswer(false, Optional.empty());
    static final JobAnswer NO_JOB = new JobAnswer(true, Optional.empty());

    static JobAnswer of(JobState state) {
        return new JobAnswer(true, Optional.of(state));
    }
}
