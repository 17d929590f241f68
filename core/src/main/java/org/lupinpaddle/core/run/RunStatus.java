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
 * A worker says that a task runs.
 *
 * @param jobId the caller's id of the job
 * @param task which task of it
 * @param run the number of the run
 * @param checkpoint what it has saved; empty for nothing
 * @param percent how far it is; 100 for a task that lasts and is at work
 * @param load tail of answer times in milliseconds for a task that serves, thousandths of a core for another;
 *     -1 where it was not said
 */
public record RunStatus(String jobId, TaskId task, int run, String checkpoint, int percent, long load) {}
