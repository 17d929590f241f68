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
package org.lupinpaddle.ctl.report;

import java.util.function.Predicate;

/** The reason why a job missed its objective; the first one that applies counts. */
enum Cause {
    /** A task failed as often as it may. */
    FAILED("failed", j -> j.outcome.equals("FAILED")),
    /** No owner of its service took the job for a while. */
    OWNER("waited for an owner", j -> waitedForOwner(j) > threshold(j)),
    /** Tasks would have found a worker, had its hall not been cordoned. */
    CORDON("waited: hall cordoned", j -> j.cordonedMillis() > threshold(j)),
    /** The job was taken, but no worker had room for its first task. */
    ROOM("waited for room", j -> waitedForRoom(j) > threshold(j)),
    /** A worker was chosen, but the first run did not start for a while. */
    START("waited for a start", j -> JobTrace.elapsed(j.placedAt, j.firstStartAt) > threshold(j)),
    /** Runs were lost with their worker or because the lease lapsed. */
    RUN_LOST("runs lost with their worker", j -> j.runsLost > 0),
    /** Runs failed and were retried. */
    RUN_FAILED("runs failed", j -> j.runsFailed > 0),
    /** Runs were stopped and restarted elsewhere. */
    RUN_STOPPED("runs stopped, begun anew", j -> j.runsStopped > 0),
    /** Later steps were ready, but no worker had room for them. */
    LATER_ROOM("later steps waited for room", j -> j.laterWaitMillis() > threshold(j)),
    /** Runs took longer than their owner expected. */
    SLOW("runs longer than expected", j -> j.excessMillis() > threshold(j)),
    /** No single one of these took long enough to count. */
    TOGETHER("several short waits together", j -> true);

    // A wait counts as the cause if it takes more than a quarter of the objective.
    private static final int OBJECTIVE_DIVISOR = 4;

    private final String label;
    private final Predicate<JobTrace> applies;

    Cause(String label, Predicate<JobTrace> applies) {
        this.label = label;
        this.applies = applies;
    }

    /** Returns the description for the table. */
    String label() {
        return label;
    }

    /** Returns the first cause that applies to a job. */
    static Cause of(JobTrace job) {
        for (Cause c : values()) {
            if (c.applies.test(job)) {
                return c;
            }
        }
        return TOGETHER;
    }

    private static long threshold(JobTrace j) {
        return j.objectiveMillis / OBJECTIVE_DIVISOR;
    }

    private static long waitedForOwner(JobTrace j) {
        return j.takenAt == JobTrace.UNKNOWN ? Long.MAX_VALUE : JobTrace.elapsed(j.acceptedAt, j.takenAt);
    }

    private static long waitedForRoom(JobTrace j) {
        return j.placedAt == JobTrace.UNKNOWN ? Long.MAX_VALUE : JobTrace.elapsed(j.takenAt, j.placedAt);
    }
}
