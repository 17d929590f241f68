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

import java.util.List;
import org.lupinpaddle.core.placement.WorkerIncarnation;

/**
 * A worker's answer to a hold.
 *
 * @param bornMillis when the answering incarnation started, see {@link WorkerIncarnation}
 * @param clockMillis the worker's clock at the time of the answer
 * @param running the running tasks
 * @param ended the results that have not been acknowledged
 */
public record HoldResponse(long bornMillis, long clockMillis, List<RunStatus> running, List<RunResult> ended) {

    // A worker lists at most this many results; the next ones follow once these have been acknowledged.
    private static final int MAX_RESULTS = 500;

    /** Creates the answer of a worker that does not state its birth. */
    public HoldResponse(long clockMillis, List<RunStatus> running, List<RunResult> ended) {
        this(WorkerIncarnation.UNKNOWN_START, clockMillis, running, ended);
    }

    /** Returns whether further runs may have ended that are listed neither as running nor as ended. */
    boolean mayHaveMoreResults() {
        return ended.size() >= MAX_RESULTS;
    }
}
