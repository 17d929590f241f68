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

import org.lupinpaddle.core.job.TaskRecord;

/**
 * Keeps the wait for orders of earlier owners from starting anew with each change of owner. While this owner has not
 * reached a worker, it cannot have extended a run there. It records when the runs that it inherited there end at the
 * latest, and later owners wait no longer than that. Once it has reached the worker, it removes these times from the
 * records, and until that is durable it extends no run beyond them.
 */
final class InheritedRuns {

    /** By how much the wall clocks of two owners may differ. */
    private static final long MAX_CLOCK_DIFFERENCE_MILLIS = 5_000;

    // The list of instances usually proves a loss sooner; recording the end first would delay the next placement.
    private static final long LIST_MILLIS = 1_500;

    // A recorded end that passed longer ago is not trusted: an owner that does not know it, such as one of an earlier
    // release, may have extended the run since.
    private static final long MAX_AGE_MILLIS = 10_000;

    private final ServiceState state;

    InheritedRuns(ServiceState state) {
        this.state = state;
    }

    /** Returns until when orders of earlier owners may keep the task's run alive, by this owner's clock. */
    long endOf(LiveTask t) {
        long untilAnyEarlierOwner = state.earlierOwnersUntil();
        long remainingMillis = remainingMillis(t);
        boolean isKnown = t.endsByMillis != TaskRecord.ANY_TIME && remainingMillis >= -MAX_AGE_MILLIS;
        return isKnown ? Math.min(untilAnyEarlierOwner, state.now() + remainingMillis) : untilAnyEarlierOwner;
    }

    private long remainingMillis(LiveTask t) {
        return t.endsByMillis - state.wallNow();
    }

    void run() {
        state.workers.values().forEach(this::review);
    }

    /** Adds or removes the recorded ends of the runs on a worker. Call this before its runs are extended. */
    void review(LiveWorker w) {
        if (w.wasReached()) {
            w.tasks.forEach(t -> removeEnd(w, t));
        } else if (state.wasSilentAt(w, state.now() - LIST_MILLIS)) {
            w.tasks.forEach(this::recordEnd);
        }
    }

    private void recordEnd(LiveTask t) {
        long remainingMillis = t.inheritedUntil - state.now();
        if (t.inherited && t.endsByMillis == TaskRecord.ANY_TIME && remainingMillis > 0) {
            t.endsByMillis = state.wallNow() + remainingMillis + MAX_CLOCK_DIFFERENCE_MILLIS;
            state.markChanged(t.job);
        }
    }

    private void removeEnd(LiveWorker w, LiveTask t) {
        if (t.endsByMillis != TaskRecord.ANY_TIME) {
            long recordedEnd = state.now() + remainingMillis(t);
            t.endsByMillis = TaskRecord.ANY_TIME;
            state.markChanged(t.job);
            w.awaitRecord(t.job, recordedEnd - MAX_CLOCK_DIFFERENCE_MILLIS);
            t.inheritedUntil = state.earlierOwnersUntil();
        }
    }
}
