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

/**
 * What the jobs of a service take in the memory of its owner.
 *
 * @param jobs the jobs that are not over
 * @param jobBytes their estimated size without the tasks in progress
 * @param tasks the tasks of iterations in progress
 * @param jobsWaiting the jobs with an iteration that is due and waits until there are fewer tasks
 */
public record MemoryUse(int jobs, long jobBytes, int tasks, int jobsWaiting) {

    /** The use of a service that has not been read yet. */
    public static final MemoryUse NONE = new MemoryUse(0, 0, 0, 0);

    /** Returns the sum of both. */
    public MemoryUse plus(MemoryUse o) {
        return new MemoryUse(jobs + o.jobs, jobBytes + o.jobBytes, tasks + o.tasks, jobsWaiting + o.jobsWaiting);
    }
}
