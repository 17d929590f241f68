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

import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.job.JobKey;
import org.lupinpaddle.core.job.TaskId;

/**
 * A scheduler decision or observation, for the log and the metrics.
 *
 * @param kind the kind of event
 * @param job the job, if any
 * @param task the task, if any
 * @param run the task's run; 0 without a task
 * @param worker the worker's id; empty if there is none
 * @param outcome the result in one word; empty if the kind says it all
 * @param detail the inputs to the decision, as key=value pairs
 * @param ageMillis how long ago the job was accepted, in milliseconds; 0 without a job
 */
public record SchedulerEvent(
        Kind kind,
        @Nullable JobKey job,
        @Nullable TaskId task,
        int run,
        String worker,
        String outcome,
        String detail,
        long ageMillis) {

    /** The kind of event. */
    public enum Kind {
        /** A job was added. */
        JOB_TAKEN,
        /** A worker has started the first of a job's tasks. */
        JOB_BEGUN,
        /** A job ended. */
        JOB_ENDED,
        /** A task was assigned to a worker. */
        TASK_PLACED,
        /** A worker answered a start. */
        START_ANSWERED,
        /** A run ended. */
        RUN_ENDED,
        /** The worker of a run is lost, but its next incarnation may still execute a start of the run. */
        RUN_IN_DOUBT,
        /** A run that was considered lost is alive and continues. */
        RUN_FOUND,
        /** A worker reported results of outdated runs or of unknown tasks. */
        OTHER_ENDS_TOLD,
        /** A worker rejects starts of a queue without a ticket, though the known configuration requires none. */
        TICKET_REQUIRED,
        /** A stop was ordered. */
        STOP_ORDERED,
        /** The pace of a task that uses spare capacity was changed. */
        TASK_PACED,
        /** A worker has restarted under its id. */
        WORKER_RESTARTED,
        /** The answer to a start states a clock that does not continue the worker's last one: it has restarted. */
        RESTART_INDICATED,
        /** Orders to a worker carry a higher fencing token, since an earlier order may arrive late. */
        FENCE_RAISED,
        /** A worker states an unreadable birth. */
        BIRTH_UNREADABLE,
        /** A worker was declared lost or was forgotten. */
        WORKER_GONE,
        /** A worker has crashed while running a task. */
        CRASH_COUNTED,
        /** A crash counts less than before, since another worker was lost at the same time. */
        CRASH_DISCOUNTED,
        /** A task that keeps crashing workers gets no further run. */
        TASK_GIVEN_UP,
        /** A worker has become unreachable or reachable. */
        WORKER_REACH,
        /** A worker gets no new tasks for some time. */
        WORKER_AVOIDED,
        /** A worker answers, but the deadline of its runs has not been extended for a while. */
        RUNS_NOT_EXTENDED,
        /** A long-running task has had no confirmed run for a while; the outcome is the reason of its wait. */
        RUN_OVERDUE
    }
}
