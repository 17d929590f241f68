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

/** The lifecycle state of a job that is reported to callers. */
public enum JobState {
    /** The job is accepted, and no task has started. */
    QUEUED(false),
    /** At least one task has started. */
    RUNNING(false),
    /** Every task has completed. */
    COMPLETED(true),
    /** A task, or a gang, has used up its attempts. */
    FAILED(true),
    /** The caller has cancelled the job. */
    CANCELLED(true);

    private final boolean ended;

    JobState(boolean ended) {
        this.ended = ended;
    }

    /** Returns whether no more tasks of the job will be started. */
    public boolean ended() {
        return ended;
    }
}
