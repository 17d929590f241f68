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

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.common.CheckedRecord;
import org.lupinpaddle.core.common.Unreadable;

/**
 * A job as it was accepted. It is stored under its key and never changes until the job is finished.
 *
 * @param key the job's key
 * @param service the service whose workers run it, which is the service of its queue at the time of acceptance
 * @param text the caller's text for each task, passed on unchanged
 * @param steps the steps, in the caller's order
 * @param repeat the schedule of the repetitions
 * @param policy the policy of its queue at the time of acceptance, which applies once the queue has left the
 *     configuration
 * @param acceptedMillis the time of acceptance, in milliseconds since 1970 by the accepting entry's clock
 * @param workspace the name of the workspace that the job belongs to; null for a job of a public queue and in records
 *     written by versions without workspaces
 */
public record JobSpec(
        JobKey key,
        String service,
        String text,
        List<StepSpec> steps,
        Repeat repeat,
        Policy policy,
        long acceptedMillis,
        @JsonInclude(JsonInclude.Include.NON_NULL) @Nullable String workspace)
        implements CheckedRecord {

    // It is not JSON, so it cannot be read as a job by mistake.
    /** Replaces the record of a finished job. The key remains to show that the job was accepted. */
    public static final String FINISHED_MARKER = "over";

    /** Creates a job that belongs to no workspace. */
    public JobSpec(
            JobKey key,
            String service,
            String text,
            List<StepSpec> steps,
            Repeat repeat,
            Policy policy,
            long acceptedMillis) {
        this(key, service, text, steps, repeat, policy, acceptedMillis, null);
    }

    @Override
    public Optional<Unreadable> findError() {
        if (SubmissionValidator.findError(new Submission(text, steps, repeat)).isPresent()) {
            return Optional.of(Unreadable.Reason.OUT_OF_RANGE.in("steps"));
        }
        return policy.isValid() ? Optional.empty() : Optional.of(Unreadable.Reason.OUT_OF_RANGE.in("policy"));
    }

    /** Returns whether the service and key of this job match those of the store key that it was read from. */
    public boolean isStoredUnder(String keyService, JobKey keyJob) {
        return service.equals(keyService) && key.equals(keyJob);
    }
}
