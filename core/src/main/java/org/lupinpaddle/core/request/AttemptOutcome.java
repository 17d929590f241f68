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
package org.lupinpaddle.core.request;

import org.lupinpaddle.core.common.Verdict;

/** How one attempt at a worker ended, with the verdict that follows from it. */
public enum AttemptOutcome {
    /** The worker answered, and not with a server error. */
    ANSWERED(Verdict.RAN, false),
    /** The worker answered with a server error. */
    FAILED(Verdict.RAN, true),
    /** The connection broke after a byte may have gone out. */
    BROKEN(Verdict.MAY_HAVE_RUN, true),
    /** No connection, so no byte went out. */
    NOT_SENT(Verdict.NOT_RUN, true),
    /** The worker refused in the agreed way since all its slots are taken. */
    REFUSED_FULL(Verdict.NOT_RUN, false),
    /** The worker refused in the agreed way since it is leaving. */
    REFUSED_LEAVING(Verdict.NOT_RUN, false),
    /** The grant was not used: the caller was gone or the entry knew better. */
    UNUSED(Verdict.NOT_RUN, false);

    private final Verdict verdict;
    private final boolean countsAgainstWorker;

    AttemptOutcome(Verdict verdict, boolean countsAgainstWorker) {
        this.verdict = verdict;
        this.countsAgainstWorker = countsAgainstWorker;
    }

    /** Returns what the outcome says about whether the request ran. */
    public Verdict verdict() {
        return verdict;
    }

    /** Returns whether the outcome speaks against the worker. */
    public boolean countsAgainstWorker() {
        return countsAgainstWorker;
    }
}
