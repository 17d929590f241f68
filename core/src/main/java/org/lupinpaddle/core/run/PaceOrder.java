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
 * An order to limit a run to a percentage of its speed, so that it disturbs other tasks less.
 *
 * @param worker the addressed incarnation of a worker
 * @param jobId the caller's id of the job
 * @param task the task of the job
 * @param run the number of the run
 * @param percent the percentage of full speed, 0 to 100
 * @param fence the fencing token; the worker rejects orders with a lower one than it has seen
 */
public record PaceOrder(WorkerFacts worker, String jobId, TaskId task, int run, int percent, long fence) {}
