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
package org.lupinpaddle.core.job;

/** How a run of a task ended on its worker. */
public enum EndKind {
    /** The task completed. */
    DONE(true, false),
    /** The run failed because of the task or its worker. */
    FAILED(false, true),
    /** The run was stopped on request. */
    STOPPED(false, false),
    /** The deadline until which the worker may keep the run has passed. */
    LAPSED(false, false),
    /** The worker was lost together with all its runs. */
    WORKER_LOST(false, false),
    /** Another member of the gang ended. */
    BROKEN(false, false),
    /** The other members of the gang did not start in time. */
    ALONE(false, false);

    private final boolean finishes;
    private final boolean countsAsAttempt;

    EndKind(boolean finishes, boolean countsAsAttempt) {
        this.finishes = finishes;
        this.countsAsAttempt = countsAsAttempt;
    }

    /** Returns whether a finite task needs no further run after this end. */
    public boolean finishes() {
        return finishes;
    }

    /** Returns whether the end counts against the task's maximum number of attempts. */
    public boolean countsAsAttempt() {
        return countsAsAttempt;
    }
}
