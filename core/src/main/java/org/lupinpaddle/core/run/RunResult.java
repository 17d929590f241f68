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
 * A worker says that a run has ended.
 *
 * @param number counts the ends of this life of the worker, from 1
 * @param jobId the caller's id of the job
 * @param task which task of it
 * @param run the number of the run
 * @param kind how it ended
 * @param checkpoint what it had saved; empty for nothing
 */
public record RunResult(long number, String jobId, TaskId task, int run, EndKind kind, String checkpoint) {}
