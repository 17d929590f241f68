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

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The long-running tasks that owners have noted for having no run, by service and reason. */
final class OverdueRuns {

    private final Map<Key, Waits> waitsByKey = new HashMap<>();

    private record Key(String service, String reason) {}

    /** The tasks of one service that waited for one reason, and the line of the longest wait. */
    private static final class Waits {
        final Set<String> tasks = new HashSet<>();
        long longestMillis = -1;
        String job = "";
        String task = "";
    }

    /**
     * The tasks that waited for one reason. A task counts under each reason that was told for it.
     *
     * @param tasks how many tasks waited for it
     * @param longestMillis the longest wait without a run that was told with this reason
     * @param job the job of the task with that wait
     * @param task the id of that task
     */
    record Reason(String service, String reason, int tasks, long longestMillis, String job, String task) {}

    /** Adds a line that notes an overdue run. */
    void add(LogLine line) {
        Key key = new Key(line.text("service"), line.text("outcome"));
        Waits w = waitsByKey.computeIfAbsent(key, k -> new Waits());
        w.tasks.add(line.text("job") + " " + line.text("task"));
        long millis = line.number("without-run-millis", 0);
        if (millis > w.longestMillis) {
            w.longestMillis = millis;
            w.job = line.text("job");
            w.task = line.text("task");
        }
    }

    /** Returns the reasons, those with the longest wait first. */
    List<Reason> longestFirst() {
        return waitsByKey.entrySet().stream()
                .map(e -> reason(e.getKey(), e.getValue()))
                .sorted(Comparator.comparingLong(Reason::longestMillis)
                        .reversed()
                        .thenComparing(Reason::service)
                        .thenComparing(Reason::reason))
                .toList();
    }

    private static Reason reason(Key k, Waits w) {
        return new Reason(k.service, k.reason, w.tasks.size(), w.longestMillis, w.job, w.task);
    }
}
