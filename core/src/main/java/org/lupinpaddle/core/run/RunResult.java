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

import org.lupinpaddle.core.job.EndKind;
import org.lupinpaddle.core.job.TaskId;

/**
 * A worker's report that a run has ended.
 *
 * @param number the sequence number of the result in this incarnation of the worker, from 1
 * @param jobId the caller's id of the job
 * @param task the task of the job
 * @param run the number of the run
 * @param kind how the run ended
 * @param checkpoint the last checkpoint; empty if there is none
 */
public record RunResult(long number, String jobId, TaskId task, int run, EndKind kind, String checkpoint) {}
