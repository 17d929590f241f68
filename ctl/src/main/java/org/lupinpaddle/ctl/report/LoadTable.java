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
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** Formats a {@link LoadReport} as a text table. */
final class LoadTable {

    private static final double MILLIS = 1_000;
    // The length of a burst of the load in seconds.
    private static final int WORST_SECONDS = 5;
    private static final int MAX_CORDONED_JOBS = 10;

    private LoadTable() {}

    /** Returns the lines of the table: the causes first, then each service second by second. */
    static List<String> lines(LoadReport report) {
        List<String> lines = new ArrayList<>();
        lines.add("jobs not taken, tries: " + report.refused());
        lines.add("jobs that missed their objective, by cause:");
        report.causes()
                .forEach((service, causes) ->
                        causes.forEach((c, n) -> lines.add(String.format("  %-16s %5d  %s", service, n, c.label()))));
        addCordoned(lines, report.longestCordoned(MAX_CORDONED_JOBS));
        addOverdue(lines, report.overdueRuns().longestFirst());
        report.seconds().forEach((service, seconds) -> addWorst(lines, service, seconds));
        report.seconds().forEach((service, seconds) -> addService(lines, service, seconds));
        return lines;
    }

    /** Adds the jobs that waited longest because of cordons, whether or not they missed their objective. */
    private static void addCordoned(List<String> lines, List<LoadReport.CordonedJob> jobs) {
        if (jobs.isEmpty()) {
            return;
        }
        lines.add("longest waits because of cordoned halls:");
        jobs.forEach(j -> lines.add(String.format(
                "  %-16s %s waited %s s: hall cordoned", j.service(), j.key(), seconds(j.cordonedMillis()))));
    }

    /** Adds the waits of long-running tasks without a run, one line per service and reason. */
    private static void addOverdue(List<String> lines, List<OverdueRuns.Reason> reasons) {
        if (reasons.isEmpty()) {
            return;
        }
        lines.add("long-running tasks without a run, by reason:");
        reasons.forEach(r -> lines.add(String.format(
                "  %-16s %5d  %s, the longest for %s s: task %s of %s",
                r.service(), r.tasks(), r.reason(), seconds(r.longestMillis()), r.task(), r.job())));
    }

    /** Adds the seconds with the most accepted jobs that missed their objective, the worst first. */
    private static void addWorst(List<String> lines, String service, TreeMap<Long, LoadReport.Second> seconds) {
        List<Map.Entry<Long, LoadReport.Second>> worst = seconds.entrySet().stream()
                .filter(e -> e.getValue().missed() > 0)
                .sorted(Comparator.comparingInt(e -> -e.getValue().missed()))
                .limit(WORST_SECONDS)
                .toList();
        if (worst.isEmpty()) {
            return;
        }
        lines.add("worst seconds of " + service + ":");
        worst.forEach(e -> lines.add(worstRow(e.getKey(), e.getValue())));
    }

    private static String worstRow(long second, LoadReport.Second s) {
        String causes = s.causes.entrySet().stream()
                .map(e -> e.getValue() + " " + e.getKey().label())
                .collect(Collectors.joining(", "));
        return String.format("  %6d  %d of %d missed: %s", second, s.missed(), s.accepted, causes);
    }

    private static void addService(List<String> lines, String service, TreeMap<Long, LoadReport.Second> seconds) {
        lines.add("");
        lines.add(service + "  (a job counts in the second in which it was accepted; first start in s)");
        lines.add(String.format(
                "%6s %8s %7s %4s %4s %6s %6s %7s %6s %7s %8s %6s %6s %7s %5s",
                "second",
                "accepted",
                "on-time",
                "late",
                "past",
                "start",
                "worst",
                "waiting",
                "placed",
                "workers",
                "hopeless",
                "silent",
                "needed",
                "move-in",
                "out"));
        seconds.forEach((t, s) -> lines.add(row(t, s)));
    }

    private static String row(long second, LoadReport.Second s) {
        return String.format(
                "%6d %8d %7d %4d %4d %6s %6s %7s %6d %7s %8s %6s %6s %7d %5d",
                second,
                s.accepted,
                count(s.ends, JobTrace.ObjectiveResult.ON_TIME),
                count(s.ends, JobTrace.ObjectiveResult.LATE),
                count(s.ends, JobTrace.ObjectiveResult.PAST),
                median(s.firstStarts),
                s.firstStarts.isEmpty() ? "" : seconds(Collections.max(s.firstStarts)),
                orBlank(s.waiting),
                s.placed,
                orBlank(s.workers),
                orBlank(s.hopeless),
                orBlank(s.silent),
                orBlank(s.needed),
                s.movedIn,
                s.movedOut);
    }

    private static int count(Map<JobTrace.ObjectiveResult, Integer> ends, JobTrace.ObjectiveResult end) {
        return ends.getOrDefault(end, 0);
    }

    private static String median(List<Long> millis) {
        if (millis.isEmpty()) {
            return "";
        }
        return seconds(millis.stream().sorted().toList().get(millis.size() / 2));
    }

    private static String seconds(long millis) {
        return String.format("%.1f", millis / MILLIS);
    }

    private static String orBlank(long n) {
        return n < 0 ? "" : Long.toString(n);
    }
}
