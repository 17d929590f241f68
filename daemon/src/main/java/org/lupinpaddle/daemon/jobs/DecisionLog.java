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
package org.lupinpaddle.daemon.jobs;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.run.LoadSummary;
import org.lupinpaddle.core.run.SchedulerEvent;
import org.lupinpaddle.daemon.common.Log;

/**
 * Writes scheduler decisions to the log. Keeping all of these log lines in one class shows a reader every key that
 * they use.
 */
final class DecisionLog {

    private DecisionLog() {}

    /** Logs a decision of a service's owner with the fencing token under which it was made. */
    static void write(String service, long fence, SchedulerEvent e) {
        Log.info(
                "decision",
                "kind",
                e.kind(),
                "service",
                service,
                "fence",
                fence,
                "job",
                e.job() == null ? "" : e.job(),
                "task",
                e.task() == null ? "" : e.task(),
                "run",
                e.run(),
                "worker",
                e.worker(),
                "outcome",
                e.outcome(),
                "age-millis",
                e.ageMillis(),
                "why",
                e.detail());
    }

    /** Logs the load of a service and the workers available to it. */
    static void writeLoad(String service, long fence, LoadSummary l) {
        Log.info("service-load", loadFields(service, fence, l));
    }

    /** Returns keys and values in turn; fields about cold workers, cordons and waits are left out where there are none. */
    static Object[] loadFields(String service, long fence, LoadSummary l) {
        List<Object> fields = new ArrayList<>(List.of("service", service, "fence", fence));
        fields.addAll(List.of("waiting", l.waiting(), "hopeless", l.hopeless(), "running", l.running()));
        fields.addAll(List.of("workers", l.workers(), "silent", l.silent()));
        if (l.cold() > 0) {
            fields.addAll(List.of("cold", l.cold()));
        }
        fields.addAll(List.of("needed", l.needed()));
        LoadSummary.CordonLoad cordon = l.cordon();
        if (cordon != null) {
            fields.addAll(List.of("cordoned-running", cordon.running(), "cordoned-waiting", cordon.waiting()));
        }
        LoadSummary.Waits waits = l.waits();
        if (waits.longRunning() > 0) {
            fields.addAll(List.of("long-running-without-run", waits.longRunning()));
        }
        addWait(fields, "longest-long-running", waits.longestLongRunning());
        addWait(fields, "longest-other", waits.longestOther());
        return fields.toArray();
    }

    private static void addWait(List<Object> fields, String key, LoadSummary.@Nullable Wait wait) {
        if (wait != null) {
            fields.addAll(List.of(key + "-millis", wait.millis(), key + "-reason", wait.reason()));
            fields.addAll(List.of(key + "-job", wait.job(), key + "-task", wait.task()));
        }
    }
}
