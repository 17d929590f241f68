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
 * An order to keep all running tasks alive, and to report the running tasks and the results.
 *
 * @param worker the addressed incarnation of a worker
 * @param deadlineMillis the deadline for running tasks, on the worker's own clock; 0 to leave it unchanged
 * @param acknowledgedUpTo the number of the newest result that the worker may discard
 * @param waitMillis how long the answer may be delayed until a run ends
 * @param fence the fencing token; the worker rejects orders with a lower one than it has seen
 */
public record HoldOrder(WorkerFacts worker, long deadlineMillis, long acknowledgedUpTo, long waitMillis, long fence) {

    /**
     * Returns whether it does more than ask for a report. Carried out late by the next incarnation of a worker, it
     * would discard results that nobody has processed, or keep runs alive by the clock of the earlier one.
     */
    boolean changesWorker() {
        return acknowledgedUpTo > 0 || deadlineMillis > 0;
    }
}
