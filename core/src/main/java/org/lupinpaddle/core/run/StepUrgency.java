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

import java.util.Comparator;
import org.lupinpaddle.core.job.Policy;

/**
 * How soon a step is to have its workers. First the queue's priority; then steps whose job can still end within its
 * objective, before those that are late and those that are later than a late end still counts; then jobs that have
 * begun; then the least slack. With too little room, serving in the order of arrival would make every job late, and so
 * would the least slack alone: each job would begin at its last moment, and the next one take the room of its last tasks.
 */
record StepUrgency(LiveStep step, int priority, Tier tier, boolean begun, long latestStartMillis) {

    // By how much longer than expected a job is to fit, to be begun while others wait: room comes bit by bit, and the
    // longest of some tasks is often longer than expected. On replays of overloaded turns 1.25 served more jobs in time
    // than 1, and 1.75 fewer.
    private static final double START_MARGIN = 1.25;

    /** What is still to be won by a job. */
    enum Tier {
        /** It can end within its objective. */
        ON_TIME(1),
        /** It is late, and late ends still count. */
        LATE(Policy.LATE_FACTOR),
        /** It is later than that, whenever it ends. */
        PAST(Integer.MAX_VALUE);

        private final long objectiveFactor;

        Tier(long objectiveFactor) {
            this.objectiveFactor = objectiveFactor;
        }

        /** Returns until when a time of a job must end to count as this tier, in milliseconds since 1970. */
        long deadlineMillis(LiveJob job, int time) {
            return job.dueMillis(time) + objectiveFactor * job.objectiveMillis();
        }

        /** Returns the tier of a job's time that ends at the moment, in milliseconds since 1970. */
        static Tier of(LiveJob job, int time, long endMillis) {
            if (endMillis <= ON_TIME.deadlineMillis(job, time)) {
                return ON_TIME;
            }
            return endMillis <= LATE.deadlineMillis(job, time) ? LATE : PAST;
        }
    }

    // By hand: a chain of comparators costs several times as much, and some hundred steps are sorted in a pass.
    static final Comparator<StepUrgency> MOST_URGENT_FIRST = (a, b) -> {
        int byPriority = Integer.compare(a.priority, b.priority);
        int byTier = byPriority != 0 ? byPriority : a.tier.compareTo(b.tier);
        int byBegun = byTier != 0 ? byTier : Boolean.compare(b.begun, a.begun);
        int byStart = byBegun != 0 ? byBegun : Long.compare(a.latestStartMillis, b.latestStartMillis);
        return byStart != 0 ? byStart : compareByKey(a.step, b.step);
    };

    private static int compareByKey(LiveStep a, LiveStep b) {
        int byJob = a.job.spec.key().toString().compareTo(b.job.spec.key().toString());
        return byJob != 0 ? byJob : Integer.compare(a.number, b.number);
    }

    /** Returns the urgency of a step at a time of day. */
    static StepUrgency of(LiveStep s, long wallMillis) {
        LiveJob job = s.job;
        int priority = job.spec.policy().priority();
        long dueAt = job.dueMillis(s.time);
        if (s.spec.longRunning()) {
            return new StepUrgency(s, priority, Tier.ON_TIME, true, dueAt);
        }
        boolean begun = job.started || job.hasTasksOnWorkers();
        Tier tier = Tier.of(job, s.time, wallMillis + s.criticalPathMillis);
        if (!begun && tier == Tier.ON_TIME) {
            long withMargin = Math.round(START_MARGIN * s.criticalPathMillis);
            tier = Tier.of(job, s.time, wallMillis + withMargin);
        }
        return new StepUrgency(s, priority, tier, begun, dueAt + job.objectiveMillis() - s.criticalPathMillis);
    }
}
