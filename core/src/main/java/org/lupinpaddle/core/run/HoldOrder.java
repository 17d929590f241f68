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

import org.lupinpaddle.core.placement.WorkerFacts;

/**
 * An order to keep all that runs, and to tell what runs and what has ended.
 *
 * @param worker the life of a worker that is meant
 * @param deadlineMillis until when the worker may keep what it runs, on its own clock; 0 to leave that as it is
 * @param acknowledgedUpTo the number of the newest end that the worker may forget
 * @param waitMillis how long the answer may wait for an end
 */
public record HoldOrder(WorkerFacts worker, long deadlineMillis, long acknowledgedUpTo, long waitMillis) {}
