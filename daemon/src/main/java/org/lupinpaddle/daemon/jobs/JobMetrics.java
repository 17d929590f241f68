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

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.lupinpaddle.core.fleet.InstanceOrderOutcome;
import org.lupinpaddle.core.run.AdviceResult;
import org.lupinpaddle.core.run.OrderOutcome;
import org.lupinpaddle.core.run.SchedulerEvent;
import org.lupinpaddle.daemon.port.CommitResult;

/**
 * All metrics of an entry that runs jobs. Names are dotted; the last component of a counter's name distinguishes its
 * cases.
 */
public final class JobMetrics {

    private final MetricRegistry registry = new MetricRegistry();

    /** Returns the registry for export. */
    public MetricRegistry registry() {
        return registry;
    }

    /** Counts the outcome of a submission. */
    public void submitted(SubmitOutcome outcome) {
        count("accepts", outcome);
    }

    /** Counts a request that was refused for lack of a valid key. */
    public void keyRefused() {
        registry.counter("requests.unknown.key").inc();
    }

    /** Counts the outcome of a write of quota allocations. */
    void quotaWritten(CommitResult.Outcome outcome) {
        count("quota.writes", outcome);
    }

    /** Counts a scheduler decision and, for the start and the end of a job, records the job's age. */
    void decided(SchedulerEvent e) {
        switch (e.kind()) {
            case START_ANSWERED -> count("starts", e.outcome());
            case RUN_ENDED -> count("run.ends", e.outcome());
            case JOB_BEGUN -> time("job.first.start", queue(e), e.ageMillis());
            case JOB_ENDED -> {
                count("job.ends", e.outcome());
                time("job.end", queue(e), e.ageMillis());
            }
            case RUN_OVERDUE -> count("run.overdue", e.outcome());
            case JOB_TAKEN,
                    TASK_PLACED,
                    TASK_PACED,
                    STOP_ORDERED,
                    RUN_IN_DOUBT,
                    TICKET_REQUIRED,
                    RUN_FOUND,
                    OTHER_ENDS_TOLD,
                    WORKER_RESTARTED,
                    RESTART_INDICATED,
                    FENCE_RAISED,
                    BIRTH_UNREADABLE,
                    WORKER_GONE,
                    CRASH_COUNTED,
                    CRASH_DISCOUNTED,
                    TASK_GIVEN_UP,
                    WORKER_REACH,
                    WORKER_AVOIDED,
                    RUNS_NOT_EXTENDED -> count("decisions", e.kind());
        }
    }

    private static String queue(SchedulerEvent e) {
        return e.job() == null ? "" : e.job().queue();
    }

    /** Counts the outcome of a hold order. */
    void holdAnswered(OrderOutcome outcome) {
        count("holds", outcome);
    }

    /** Counts a call to the advice service by how it ended, and records its duration. */
    void adviceEnded(AdviceResult.Outcome outcome, long millis) {
        count("advice.calls", outcome);
        time("advice.call", outcome.toString().toLowerCase(Locale.ROOT), millis);
    }

    /** Counts a call to the advice service that has become overdue. */
    void adviceOverdue() {
        registry.counter("advice.overdue").inc();
    }

    /** Records how long a service waited for its turn to ask for advice. */
    void adviceTurnTaken(long waitedMillis) {
        registry.timer("advice.turn").update(Math.max(0, waitedMillis), TimeUnit.MILLISECONDS);
    }

    /** Counts a won or lost duty. */
    void dutyChanged(String label) {
        count("duties", label);
    }

    /** Counts the outcome of an instance order and records how long its call took. */
    void instanceOrdered(InstanceOrderOutcome outcome, long millis) {
        count("instance.orders", outcome);
        time("instance.order", outcome.toString().toLowerCase(Locale.ROOT), millis);
    }

    /** Counts a list of instances that was requested because of silent workers, by its use. */
    void instancesListed(InstanceListUse use) {
        count("instance.lists", use);
    }

    /** Counts an unreadable entry of the store, once per reason. */
    void unreadable(UnreadableEntries.Kind kind) {
        count("entries.unreadable", kind.label());
    }

    /** Counts a store call by call type and answer, and records its duration. */
    void storeCalled(String call, String answer, long millis) {
        count("store.calls." + call, answer);
        time("store.call", call, millis);
    }

    /** Records how long a call to the platform has waited for a connection. */
    public void callQueued(String lane, long millis) {
        time("platform.call.queued", lane, millis);
    }

    /** Registers a gauge whose value is computed on each read. */
    void gauge(String name, Supplier<? extends Number> value) {
        registry.gauge(name, () -> (Gauge<Number>) value::get);
    }

    private void count(String name, Object label) {
        registry.counter(name + "." + label.toString().toLowerCase(Locale.ROOT)).inc();
    }

    private void time(String name, String label, long millis) {
        registry.timer(name + "." + label).update(Math.max(0, millis), TimeUnit.MILLISECONDS);
    }
}
