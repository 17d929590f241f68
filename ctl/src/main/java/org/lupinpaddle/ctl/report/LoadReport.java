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

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Aggregates log lines by service and second: the accepted jobs and their results. Lines of different entries may come
 * in any order; missing information is not guessed.
 */
final class LoadReport {

    private static final int MILLIS_PER_SECOND = 1_000;
    // A time in 1973 as milliseconds since 1970; smaller values are relative to the start of the log.
    private static final long MIN_EPOCH_MILLIS = 100_000_000_000L;

    private final Map<String, JobTrace> jobs = new HashMap<>();
    private final Map<String, Long> acceptedAt = new HashMap<>();
    private final Map<String, TreeMap<Long, Second>> seconds = new TreeMap<>();
    /** The time that counts as second 0: the first line if lines have the time of day, otherwise 0. */
    private long originMillis = JobTrace.UNKNOWN;

    private final OverdueRuns overdueRuns = new OverdueRuns();

    private long refused;
    private long lastLineAt = JobTrace.UNKNOWN;

    /** The events and load of one service in one second. */
    static final class Second {
        int accepted;
        int placed;
        int movedIn;
        int movedOut;
        /**
         * From the latest line of the owner in this second; -1 if there is none. The same holds for the next four
         * fields.
         */
        long workers = -1;

        long silent = -1;
        long needed = -1;
        long waiting = -1;
        long hopeless = -1;
        final List<Long> firstStarts = new ArrayList<>();
        final Map<JobTrace.ObjectiveResult, Integer> ends = new EnumMap<>(JobTrace.ObjectiveResult.class);
        /** Causes of missed objectives among the jobs accepted in this second. */
        final Map<Cause, Integer> causes = new EnumMap<>(Cause.class);

        /** Returns the number of jobs that missed their objective. */
        int missed() {
            return causes.values().stream().mapToInt(Integer::intValue).sum();
        }

        /** Returns a copy without the counts of jobs. */
        private Second copyWithoutJobs() {
            Second s = new Second();
            s.placed = placed;
            s.movedIn = movedIn;
            s.movedOut = movedOut;
            s.workers = workers;
            s.silent = silent;
            s.needed = needed;
            s.waiting = waiting;
            s.hopeless = hopeless;
            return s;
        }
    }

    /** Adds a log line; ignores lines that do not concern jobs. */
    void add(String text) {
        LogLine.parse(text).ifPresent(this::add);
    }

    private void add(LogLine raw) {
        if (originMillis == JobTrace.UNKNOWN) {
            originMillis =
                    raw.atMillis() < MIN_EPOCH_MILLIS ? 0 : raw.atMillis() / MILLIS_PER_SECOND * MILLIS_PER_SECOND;
        }
        LogLine line = new LogLine(raw.atMillis() - originMillis, raw.event(), raw.fields());
        lastLineAt = Math.max(lastLineAt, line.atMillis());
        switch (line.event()) {
            case "accept" -> onAccept(line);
            case "decision" -> onDecision(line);
            case "service-load" -> onServiceLoad(line);
            case "fleet" -> onFleet(line);
            default -> {
                // Other events do not concern the load.
            }
        }
    }

    private void onAccept(LogLine line) {
        if (line.text("outcome").equals("ACCEPTED")) {
            acceptedAt.merge(line.text("job"), line.atMillis(), Math::min);
        } else {
            refused++;
        }
    }

    private void onDecision(LogLine line) {
        String key = line.text("job");
        if (key.isEmpty()) {
            return;
        }
        if (line.isDecision("RUN_OVERDUE")) {
            overdueRuns.add(line);
            return;
        }
        JobTrace j = jobs.computeIfAbsent(key, k -> new JobTrace(line.text("service")));
        if (line.isDecision("JOB_TAKEN")) {
            j.takenAt = earliest(j.takenAt, line.atMillis());
            if (!line.text("lasting").equals("true")) {
                j.objectiveMillis = line.number("objective-millis", JobTrace.UNKNOWN);
            }
        } else if (line.isDecision("TASK_PLACED")) {
            j.placedAt = earliest(j.placedAt, line.atMillis());
            j.addWait(line.text("task"), line.number("waited-millis", 0));
            j.addCordoned(line.text("task"), line.number("cordoned-millis", 0));
            second(j.service, line.atMillis()).placed++;
        } else if (line.isDecision("JOB_BEGUN")) {
            j.firstStartAt = earliest(j.firstStartAt, line.atMillis());
        } else if (line.isDecision("RUN_ENDED")) {
            onRunEnded(j, line);
        } else if (line.isDecision("JOB_ENDED")) {
            j.endedAt = line.atMillis();
            j.ageMillis = line.number("age-millis", JobTrace.UNKNOWN);
            j.outcome = line.text("outcome");
        }
    }

    private static void onRunEnded(JobTrace j, LogLine line) {
        switch (line.text("outcome")) {
            case "LAPSED", "WORKER_LOST" -> j.runsLost++;
            case "FAILED" -> j.runsFailed++;
            case "STOPPED" -> j.runsStopped++;
            case "DONE" ->
                j.addRun(line.text("task"), line.number("took-millis", 0) - line.number("expected-millis", 0));
            default -> {
                // Other outcomes do not explain why the job is late.
            }
        }
    }

    private static long earliest(long current, long millis) {
        return current == JobTrace.UNKNOWN ? millis : Math.min(current, millis);
    }

    private void onServiceLoad(LogLine line) {
        Second s = second(line.text("service"), line.atMillis());
        s.workers = line.number("workers", -1);
        s.silent = line.number("silent", -1);
        s.needed = line.number("needed", -1);
        s.waiting = line.number("waiting", -1);
        s.hopeless = line.number("hopeless", -1);
    }

    private void onFleet(LogLine line) {
        if (line.text("kind").equals("errand-begun") && line.text("errand").startsWith("MOVE:")) {
            second(line.text("errand").substring("MOVE:".length()), line.atMillis()).movedIn++;
            second(line.text("pool"), line.atMillis()).movedOut++;
        }
    }

    private Second second(String service, long atMillis) {
        return second(seconds, service, atMillis);
    }

    private static Second second(Map<String, TreeMap<Long, Second>> byService, String service, long atMillis) {
        return byService
                .computeIfAbsent(service, s -> new TreeMap<>())
                .computeIfAbsent(Math.floorDiv(atMillis, MILLIS_PER_SECOND), t -> new Second());
    }

    /** Returns the long-running tasks that had no run for too long. */
    OverdueRuns overdueRuns() {
        return overdueRuns;
    }

    /** Returns the seconds of each service; a job counts in the second in which it was accepted. */
    Map<String, TreeMap<Long, Second>> seconds() {
        assignAcceptTimes();
        Map<String, TreeMap<Long, Second>> byService = new TreeMap<>();
        seconds.forEach((service, bySecond) -> {
            TreeMap<Long, Second> copies = new TreeMap<>();
            bySecond.forEach((t, s) -> copies.put(t, s.copyWithoutJobs()));
            byService.put(service, copies);
        });
        for (JobTrace j : jobs.values()) {
            if (j.acceptedAt == JobTrace.UNKNOWN) {
                continue;
            }
            Second s = second(byService, j.service, j.acceptedAt);
            s.accepted++;
            JobTrace.ObjectiveResult end = j.objectiveResult(lastLineAt);
            s.ends.merge(end, 1, Integer::sum);
            if (end.isMissed()) {
                s.causes.merge(Cause.of(j), 1, Integer::sum);
            }
            if (j.firstStartAt != JobTrace.UNKNOWN) {
                s.firstStarts.add(JobTrace.elapsed(j.acceptedAt, j.firstStartAt));
            }
        }
        return byService;
    }

    /** Returns the number of jobs that missed their objective, by service and cause. */
    Map<String, Map<Cause, Integer>> causes() {
        assignAcceptTimes();
        Map<String, Map<Cause, Integer>> byService = new TreeMap<>();
        for (JobTrace j : jobs.values()) {
            if (j.objectiveResult(lastLineAt).isMissed()) {
                byService
                        .computeIfAbsent(j.service, s -> new EnumMap<>(Cause.class))
                        .merge(Cause.of(j), 1, Integer::sum);
            }
        }
        return byService;
    }

    /**
     * Returns the jobs that waited only because halls were cordoned, with the time, longest first.
     *
     * @param limit the maximum number of jobs
     */
    List<CordonedJob> longestCordoned(int limit) {
        return jobs.entrySet().stream()
                .map(e -> new CordonedJob(
                        e.getKey(), e.getValue().service, e.getValue().cordonedMillis()))
                .filter(j -> j.cordonedMillis > 0)
                .sorted(Comparator.comparingLong((CordonedJob j) -> -j.cordonedMillis)
                        .thenComparing(CordonedJob::key))
                .limit(limit)
                .toList();
    }

    /** A job that waited for {@code cordonedMillis} only because halls were cordoned. */
    record CordonedJob(String key, String service, long cordonedMillis) {}

    /** Returns the number of submissions that were not accepted. */
    long refused() {
        return refused;
    }

    private void assignAcceptTimes() {
        jobs.forEach((key, j) -> {
            Long millis = acceptedAt.get(key.substring(key.lastIndexOf('/') + 1));
            if (millis != null) {
                j.acceptedAt = millis;
            }
        });
    }
}
