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
 * A job as it was accepted. It lies in the store under its key and never changes.
 *
 * @param key the job's name
 * @param service whose workers run it: the service of its queue when it was accepted
 * @param text what the caller wants each task to be told, handed on as it is
 * @param steps the steps, in the caller's order
 * @param repeat when the steps are run
 * @param policy what the configuration said of its queue
 * @param acceptedMillis when it was accepted, in milliseconds since 1970 by the accepting entry's clock
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

    // No JSON: nothing reads it as a job by mistake.
    /** What lies in the place of a job's record once the job is over; that the key is there still says "accepted". */
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
    public Optional<Unreadable> wrong() {
        if (SubmissionValidator.findError(new Submission(text, steps, repeat)).isPresent()) {
            return Optional.of(Unreadable.Reason.OUT_OF_RANGE.in("steps"));
        }
        return policy.isValid() ? Optional.empty() : Optional.of(Unreadable.Reason.OUT_OF_RANGE.in("policy"));
    }

    /** Returns whether this is the job whose record lies under the key of a service. */
    public boolean isStoredUnder(String keyService, JobKey keyJob) {
        return service.equals(keyService) && key.equals(keyJob);
    }
}
