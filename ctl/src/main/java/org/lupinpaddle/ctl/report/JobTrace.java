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

/**
 * The history of a job as reconstructed from log lines. Times are in milliseconds by the clocks of the lines, or {@link
 * #UNKNOWN} if no line has them.
 */
final class JobTrace {

    static final long UNKNOWN = Long.MIN_VALUE;
    private static final String FIRST_STEP = "0.0";

    final String service;
    long acceptedAt = UNKNOWN;
    long takenAt = UNKNOWN;
    long placedAt = UNKNOWN;
    long firstStartAt = UNKNOWN;
    long endedAt = UNKNOWN;
    /**
     * Time from acceptance to the end as measured by the owner; more precise than the difference between the clocks of
     * two entries.
     */
    long ageMillis = UNKNOWN;
    /** The time within which the job should end; {@link #UNKNOWN} for long-running jobs. */
    long objectiveMillis = UNKNOWN;

    String outcome = "";
    int runsLost;
    int runsFailed;
    int runsStopped;
    /** The longest wait of any task for a worker, by step. */
    private final Map<String, Long> waitByStep = new HashMap<>();

    /** The longest wait of any task that was due to a cordon alone, by step. */
    private final Map<String, Long> cordonedByStep = new HashMap<>();

    private final Map<String, Long> excessByStep = new HashMap<>();

    /** The result of a job compared with its objective. */
    enum ObjectiveResult {
        /** Ended within its objective. */
        ON_TIME,
        /** Ended within three times its objective. */
        LATE,
        /** Ended later than that, or failed. */
        PAST,
        /** The job is long-running or was cancelled, or its end is unknown. */
        OPEN;

        /** Returns whether the job missed its objective. */
        boolean isMissed() {
            return this == LATE || this == PAST;
        }
    }

    JobTrace(String service) {
        this.service = service;
    }

    /** Records how long a task waited for its worker. */
    void addWait(String task, long waitedMillis) {
        waitByStep.merge(step(task), waitedMillis, Math::max);
    }

    /** Records for how long a cordon alone kept a task from a worker. */
    void addCordoned(String task, long cordonedMillis) {
        cordonedByStep.merge(step(task), cordonedMillis, Math::max);
    }

    /** Records by how much a run took longer than its owner expected. */
    void addRun(String task, long excessMillis) {
        excessByStep.merge(step(task), excessMillis, Math::max);
    }

    /** Returns the step of a task; the id of a task consists of time, step and index. */
    private static String step(String task) {
        return task.substring(0, Math.max(0, task.lastIndexOf('.')));
    }

    /** Returns the total wait of all steps after the first; steps run one after another. */
    long laterWaitMillis() {
        return waitByStep.entrySet().stream()
                .filter(e -> !e.getKey().equals(FIRST_STEP))
                .mapToLong(Map.Entry::getValue)
                .sum();
    }

    /** Returns the total wait of all steps that was due to cordons alone; steps run one after another. */
    long cordonedMillis() {
        return cordonedByStep.values().stream().mapToLong(Long::longValue).sum();
    }

    /** Returns by how much the longest run of each step exceeded the expectation, summed over the steps. */
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

    /** Returns the time between two times, or 0 if one of them is unknown. */
    static long elapsed(long from, long to) {
        return from == UNKNOWN || to == UNKNOWN ? 0 : Math.max(0, to - from);
    }
}
