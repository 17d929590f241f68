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
 * What a worker answered to a hold.
 *
 * @param bornMillis when the life that answers started, see {@link WorkerIncarnation}
 * @param clockMillis the worker's own clock as it answered
 * @param running all that runs there
 * @param ended the ends that it has not been told to forget
 */
public record HoldAnswer(long bornMillis, long clockMillis, List<RunningReport> running, List<EndReport> ended) {

    // A worker lists no more ends than this at once; the next follow when it may forget these.
    private static final int MOST_ENDS = 500;

    /** Makes the answer of a worker that does not state its birth. */
    public HoldAnswer(long clockMillis, List<RunningReport> running, List<EndReport> ended) {
        this(WorkerIncarnation.UNKNOWN_START, clockMillis, running, ended);
    }

    /** Returns whether runs may have ended that are listed neither as running nor as ended. */
    boolean mayHaveMoreEnds() {
        return ended.size() >= MOST_ENDS;
    }
}
