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

/** The outcome of one attempt to run a request on a worker, with the verdict that follows from it. */
public enum AttemptOutcome {
    /** The worker sent a response other than a server error. */
    ANSWERED(Verdict.RAN, false),
    /** The worker sent a server error. */
    FAILED(Verdict.RAN, true),
    /** The connection broke after part of the request may have been sent. */
    BROKEN(Verdict.MAY_HAVE_RUN, true),
    /** The connection could not be opened, so no byte was sent. */
    NOT_SENT(Verdict.NOT_RUN, true),
    /** The worker refused the request by protocol because all its slots are taken. */
    REFUSED_FULL(Verdict.NOT_RUN, false),
    /** The worker refused the request by protocol because it is shutting down. */
    REFUSED_LEAVING(Verdict.NOT_RUN, false),
    /** The grant was not used, because the caller had disconnected or the entry no longer wanted the worker. */
    UNUSED(Verdict.NOT_RUN, false);

    private final Verdict verdict;
    private final boolean countsAgainstWorker;

    AttemptOutcome(Verdict verdict, boolean countsAgainstWorker) {
        this.verdict = verdict;
        this.countsAgainstWorker = countsAgainstWorker;
    }

    /** Returns whether the request ran, as far as the outcome shows. */
    public Verdict verdict() {
        return verdict;
    }

    /** Returns whether the outcome counts as a failure of the worker. */
    public boolean countsAgainstWorker() {
        return countsAgainstWorker;
    }
}
