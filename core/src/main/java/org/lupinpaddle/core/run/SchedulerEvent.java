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
 * One decision of a scheduler, for the log and the figures.
 *
 * @param kind what was decided
 * @param job the job, where there is one
 * @param task the task, where there is one
 * @param run the task's run; 0 without a task
 * @param worker the worker's id; empty where there is none
 * @param outcome what came of it, in one word; empty where the kind says all
 * @param detail the inputs that decided, as key=value pairs
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

    /** What was decided. */
    public enum Kind {
        /** A job was taken in. */
        JOB_TAKEN,
        /** A worker has begun the first of a job's tasks. */
        JOB_BEGUN,
        /** A job ended. */
        JOB_ENDED,
        /** A task was given a worker. */
        TASK_PLACED,
        /** A worker answered a start. */
        START_ANSWERED,
        /** A run ended. */
        RUN_ENDED,
        /** A run that was given up for lost is alive, and goes on. */
        RUN_FOUND,
        /** A worker told ends of runs that are not their task's newest, or of tasks that nobody knows. */
        OTHER_ENDS_TOLD,
        /** A stop was ordered. */
        STOP_ORDERED,
        /** A task that fills is to work at another share of its speed. */
        TASK_PACED,
        /** A worker has started again under its id. */
        WORKER_RESTARTED,
        /** A worker states a birth that can not be read. */
        BIRTH_UNREADABLE,
        /** A worker is taken to hold nothing any more. */
        WORKER_GONE,
        /** A worker has crashed under a task. */
        CRASH_COUNTED,
        /** A task that goes on crashing workers gets no further run. */
        TASK_GIVEN_UP,
        /** A worker answers no more, or again. */
        WORKER_REACH,
        /** A worker gets no new tasks for a time. */
        WORKER_AVOIDED
    }
}
