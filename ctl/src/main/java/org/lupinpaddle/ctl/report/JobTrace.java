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

import java.util.HashMap;
import java.util.Map;
import org.lupinpaddle.core.job.Policy;

/** What the lines tell of one job, times in milliseconds by their clocks; {@link #UNKNOWN} where nothing is told. */
final class JobTrace {

    static final long UNKNOWN = Long.MIN_VALUE;
    private static final String FIRST_STEP = "0.0";

    final String service;
    long acceptedAt = UNKNOWN;
    long takenAt = UNKNOWN;
    long placedAt = UNKNOWN;
    long firstStartAt = UNKNOWN;
    long endedAt = UNKNOWN;
    /** From accepting to the end, by the owner; it says more than the difference of two entries' clocks. */
    long ageMillis = UNKNOWN;
    /** Within which time of its begin it was to end; {@link #UNKNOWN} for what lasts. */
    long objectiveMillis = UNKNOWN;

    String outcome = "";
    int runsLost;
    int runsFailed;
    int runsStopped;
    /** The longest wait for a worker of any task of a step, and by how much its longest run was longer than expected. */
    private final Map<String, Long> waitByStep = new HashMap<>();

    private final Map<String, Long> excessByStep = new HashMap<>();

    /** How a job has ended by its objective. */
    enum ObjectiveResult {
        /** Within its objective. */
        ON_TIME,
        /** Within three times its objective. */
        LATE,
        /** Later than that, or failed. */
        PAST,
        /** It lasts, was cancelled, or its end is not told. */
        OPEN;

        /** Returns whether a job that ended so has missed its objective. */
        boolean isMissed() {
            return this == LATE || this == PAST;
        }
    }

    JobTrace(String service) {
        this.service = service;
    }

    /** Takes in how long a task waited for its worker. */
    void addWait(String task, long waitedMillis) {
        waitByStep.merge(step(task), waitedMillis, Math::max);
    }

    /** Takes in by how much a task's run was longer than its owner expected. */
    void addRun(String task, long excessMillis) {
        excessByStep.merge(step(task), excessMillis, Math::max);
    }

    /** A task is named by time, step and index. */
    private static String step(String task) {
        return task.substring(0, Math.max(0, task.lastIndexOf('.')));
    }

    /** Returns how long the job's steps but the first waited for workers; they follow one another. */
    long laterWaitMillis() {
        return waitByStep.entrySet().stream()
                .filter(e -> !e.getKey().equals(FIRST_STEP))
                .mapToLong(Map.Entry::getValue)
                .sum();
    }

    /** Returns by how much the longest runs of its steps were longer than expected, one step after the other. */
    long excessMillis() {
        return excessByStep.values().stream().mapToLong(Long::longValue).sum();
    }

    ObjectiveResult objectiveResult(long lastLineAt) {
        if (objectiveMillis == UNKNOWN || outcome.equals("CANCELLED") || acceptedAt == UNKNOWN) {
            return ObjectiveResult.OPEN;
        }
        if (outcome.equals("FAILED")) {
            return ObjectiveResult.PAST;
        }
        if (ageMillis == UNKNOWN) {
            return lastLineAt - acceptedAt > Policy.LATE_FACTOR * objectiveMillis
                    ? ObjectiveResult.PAST
                    : ObjectiveResult.OPEN;
        }
        if (ageMillis <= objectiveMillis) {
            return ObjectiveResult.ON_TIME;
        }
        return ageMillis <= Policy.LATE_FACTOR * objectiveMillis ? ObjectiveResult.LATE : ObjectiveResult.PAST;
    }

    /** Returns the time from one moment to another; 0 where one is not known. */
    static long elapsed(long from, long to) {
        return from == UNKNOWN || to == UNKNOWN ? 0 : Math.max(0, to - from);
    }
}
