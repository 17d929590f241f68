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

/**
 * A worker's report on a running task.
 *
 * @param jobId the caller's id of the job
 * @param task the task of the job
 * @param run the number of the run
 * @param checkpoint the last checkpoint; empty if there is none
 * @param percent the progress; 100 for a long-running task that is ready
 * @param load the tail latency in milliseconds for a serving task, thousandths of a core for any other; -1 if not
 *     reported
 */
public record RunStatus(String jobId, TaskId task, int run, String checkpoint, int percent, long load) {}
