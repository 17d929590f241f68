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

import org.lupinpaddle.core.job.TaskId;
import org.lupinpaddle.core.placement.WorkerFacts;

/**
 * An order to start a run.
 *
 * @param worker the addressed incarnation of a worker
 * @param jobId the caller's id of the job
 * @param task the task of the job
 * @param run the number of the run
 * @param text the caller's input for the task
 * @param deadlineMillis the deadline of the run, on the worker's own clock
 * @param checkpoint the checkpoint to resume from; empty to start from the beginning
 * @param ticket the permission of the advice service; empty if none is needed
 * @param fence the fencing token; the worker rejects orders with a lower one than it has seen
 */
public record StartOrder(
        WorkerFacts worker,
        String jobId,
        TaskId task,
        int run,
        String text,
        long deadlineMillis,
        String checkpoint,
        String ticket,
        long fence) {}
