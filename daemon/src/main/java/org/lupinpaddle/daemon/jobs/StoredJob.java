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

import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.job.JobKey;
import org.lupinpaddle.core.job.JobProgress;
import org.lupinpaddle.core.job.JobSpec;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.job.TaskRecord;

/**
 * A job as the store shows it.
 *
 * @param service the service whose workers run it
 * @param spec the job's specification; null once the job is finished
 * @param progress the progress that the owner of the service has written
 * @param cancelled whether its caller has cancelled it
 */
record StoredJob(JobKey key, String service, @Nullable JobSpec spec, JobProgress progress, boolean cancelled) {

    /** Returns the step of a task; null if it is not stored any more, or if the record names no step of the job. */
    @Nullable
    StepSpec stepOf(TaskRecord t) {
        return spec != null && t.step() < spec.steps().size() ? spec.steps().get(t.step()) : null;
    }
}
