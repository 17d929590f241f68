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
 * The progress of a job. It is stored separately from the immutable {@link JobSpec} and written by the
 * owner of the job's service.
 *
 * @param state the state that is reported to callers
 * @param tasks the tasks that have been placed at least once; after the job has ended, those that workers still hold
 * @param reason why the job failed, or will fail once nothing else of it is running; empty otherwise
 * @param changedMillis the time of the last state change, in milliseconds since 1970
 * @param workspace the workspace that the job belongs to, copied from {@link JobSpec}, whose record is
 *     discarded when the job is finished; null for none
 */
public record JobProgress(
        JobState state,
        List<TaskRecord> tasks,
        String reason,
        long changedMillis,
        @JsonInclude(JsonInclude.Include.NON_NULL) @Nullable String workspace)
        implements CheckedRecord {

    /** Creates the progress of a job that belongs to no workspace. */
    public JobProgress(JobState state, List<TaskRecord> tasks, String reason, long changedMillis) {
        this(state, tasks, reason, changedMillis, null);
    }

    /** Returns the progress of a job for which no owner has written any yet. */
    public static JobProgress none(long acceptedMillis) {
        return new JobProgress(JobState.QUEUED, List.of(), "", acceptedMillis);
    }

    @Override
    public Optional<Unreadable> findError() {
        return tasks.stream().allMatch(TaskRecord::isValid)
                ? Optional.empty()
                : Optional.of(Unreadable.Reason.OUT_OF_RANGE.in("tasks"));
    }

    /**
     * Returns the reason why an optional field is unreadable. The record is used without it: unreadable crash counts
     * start again at 0, and unreadable start times of workers are unknown.
     */
    public Optional<Unreadable> unreadableOptionalField() {
        if (tasks.stream().anyMatch(TaskRecord::hasUnreadableCrashes)) {
            return Optional.of(Unreadable.Reason.OUT_OF_RANGE.in("tasks.crashes"));
        }
        return tasks.stream().anyMatch(TaskRecord::hasUnreadableWorkerStart)
                ? Optional.of(Unreadable.Reason.OUT_OF_RANGE.in("tasks.workerBornMillis"))
                : Optional.empty();
    }

    /** Returns whether the job has ended and no worker holds any of its tasks. */
    public boolean finished() {
        return state.ended() && tasks.isEmpty();
    }
}
