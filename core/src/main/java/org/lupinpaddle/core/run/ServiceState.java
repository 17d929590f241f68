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

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.capacity.ArrivalRate;
import org.lupinpaddle.core.capacity.DemandTrend;
import org.lupinpaddle.core.common.Clock;
import org.lupinpaddle.core.job.JobKey;
import org.lupinpaddle.core.job.JobState;
import org.lupinpaddle.core.job.TaskId;
import org.lupinpaddle.core.placement.Placer;
import org.lupinpaddle.core.placement.Resources;
import org.lupinpaddle.core.placement.WorkerFacts;
import org.lupinpaddle.core.workspace.QuotaTable;

/** What the owner of a service believes: the jobs, the workers, and the steps that several parts share. */
final class ServiceState {

    // A list that nobody has confirmed for longer may hide that a worker drains: it gives 2 s notice of that, and a
    // watch that works is confirmed every 1.8 s.
    private static final long STALE_MILLIS = 2_500;

    final String service;
    final SchedulerTiming timing;
    final SchedulerPort port;
    /** The workspace quotas that limit placement. */
    final QuotaTable quotas;
    /** All jobs that are known; those that have ended are kept for a while. */
    final Map<JobKey, LiveJob> jobs = new LinkedHashMap<>();
    /** Those that have not ended, in the same order. */
    final Map<JobKey, LiveJob> live = new LinkedHashMap<>();
    /** Those with changes that are to be written, in the order in which they are; what is being written is not here. */
    final Map<JobKey, LiveJob> unsaved = new LinkedHashMap<>();

    final Map<String, LiveWorker> workers = new HashMap<>();
    final OpenStarts openStarts = new OpenStarts();
    final LossLog losses = new LossLog();
    final RunTimes times = new RunTimes();
    final DemandTrend trend = new DemandTrend();
    final ArrivalRate arrivals = new ArrivalRate();
    final Set<String> evacuating = new HashSet<>();
    /** Those that other work waits for. */
    final Set<String> urgentlyEvacuating = new HashSet<>();
    /** Callers' ids of jobs whose records can not be read: what they run is left as it is. */
    final Set<String> unreadableJobs = new HashSet<>();
    /** Since when the list of workers may be out of date. */
    long workersKnownAt = Long.MIN_VALUE / 2;

    private final Map<String, LiveJob> byCallerId = new HashMap<>();
    private final long startedAt;
    private final Clock steady;
    private final Clock wall;

    ServiceState(
            String service, SchedulerTiming timing, SchedulerPort port, QuotaTable quotas, Clock steady, Clock wall) {
        this.quotas = quotas;
        this.service = service;
        this.timing = timing;
        this.port = port;
        this.steady = steady;
        this.wall = wall;
        this.startedAt = steady.millis();
    }

    long now() {
        return steady.millis();
    }

    long wallNow() {
        return wall.millis();
    }

    void add(LiveJob job) {
        jobs.put(job.spec.key(), job);
        live.put(job.spec.key(), job);
        byCallerId.putIfAbsent(job.spec.key().id(), job);
    }

    void remove(LiveJob job) {
        jobs.remove(job.spec.key());
        live.remove(job.spec.key());
        unsaved.remove(job.spec.key());
        byCallerId.remove(job.spec.key().id(), job);
    }

    /** Returns the job that workers mean by this id, or null. */
    @Nullable
    LiveJob byCallerId(String id) {
        return byCallerId.get(id);
    }

    /** Returns whether workers can tell this job from all others: two queues of a service may use one id. */
    boolean hasOwnName(LiveJob job) {
        return byCallerId.get(job.spec.key().id()) == job;
    }

    /** Returns the worker with this id, made up without an address when nothing else is known of it. */
    LiveWorker workerOrUnknown(String id, long inheritedUntil) {
        return workers.computeIfAbsent(id, i -> {
            LiveWorker w = new LiveWorker(unknown(i), inheritedUntil);
            w.unlist(now());
            return w;
        });
    }

    private WorkerFacts unknown(String id) {
        return new WorkerFacts(id, service, "", "", true, 0, Resources.NONE, List.of());
    }

    /** Returns whether the list of workers is new enough for tasks to be placed and started by it. */
    boolean knowsWorkers() {
        return now() - workersKnownAt <= STALE_MILLIS;
    }

    /** Returns whether new tasks may go to the worker now. */
    boolean isUsable(LiveWorker w) {
        long now = now();
        return w.listed
                && w.fenced
                && !w.hasEntryOfOtherLife()
                && !w.facts().draining()
                && !evacuating.contains(w.facts().id())
                && w.facts().service().equals(service)
                && now - w.lastAnswerAt <= timing.silentMillis()
                && !w.isDoubted()
                && now >= w.avoidUntil;
    }

    /** Returns whether the worker has not answered for as long as it ever takes one that is well. */
    boolean isMissed(LiveWorker w) {
        return wasMissed(w, now());
    }

    /** Returns whether the worker had been missed by then, and has not answered since. */
    boolean wasMissed(LiveWorker w, long then) {
        return then - Math.max(w.lastResponseAt(), startedAt) > timing.silentMillis();
    }

    /**
     * Takes in that an order with a deadline by the clock of another life may reach the worker until then: it may keep what
     * it runs for the longest time that any worker does.
     */
    void expectOtherClocks(LiveWorker w, long arrivesBy) {
        w.orderedByOtherClocksUntil(arrivesBy + LiveWorker.longestByOwnClock(timing.longestHoldMillis()));
    }

    /** Returns whether another worker could take the task now. */
    boolean hasPlaceElsewhere(LiveTask t) {
        return workers.values().stream()
                .anyMatch(o -> o != t.worker && isUsable(o) && Placer.isEligible(o, t.wish(now())));
    }

    /** Returns how long one of the step's tasks is expected to run: as its siblings did, if one is done. */
    long expectedMillis(LiveStep s) {
        long siblings = s.siblingsMillis();
        return siblings > 0 ? siblings : times.expectedMillis(s.job.spec.key().queue(), s.spec.estimateMillis());
    }

    /** Asks for a stop of what may run, and takes a task back that has not gone out yet. */
    void stop(LiveTask t, String why) {
        switch (t.phase) {
            case PLACED -> t.leaveWorker(LiveTask.Phase.WAITING, now());
            case STARTING, RUNNING, RECOVERING -> {
                note(SchedulerEvent.Kind.STOP_ORDERED, t, "", "why=" + why);
                t.enter(LiveTask.Phase.STOPPING, now());
            }
            case WAITING, STOPPING, DONE -> {}
        }
    }

    /** Stops a task that is not known to run, and with it its gang, which starts as a whole or not at all. */
    void stopWithGang(LiveTask t, String why) {
        List<LiveTask> together = t.step.gang() ? t.of.tasks : List.of(t);
        together.forEach(m -> stop(m, why));
        changed(t.job);
    }

    /** Lets a task have no further run, and stops the one it may have. */
    void finish(LiveTask t, String why) {
        t.finished = true;
        changed(t.job);
        stop(t, why);
        if (t.phase == LiveTask.Phase.WAITING) {
            t.enter(LiveTask.Phase.DONE, now());
        }
    }

    /** Takes in that the job has changed in a way that must become durable. */
    void changed(LiveJob job) {
        job.version++;
        unsaved.putIfAbsent(job.spec.key(), job);
    }

    /** Ends a job for good and stops what it still has on workers. */
    void end(LiveJob job, JobState state, String reason) {
        job.state = state;
        job.reason = reason;
        changed(job);
        over(job);
        job.tasks.forEach(t -> stop(t, "job-" + state));
        note(SchedulerEvent.Kind.JOB_ENDED, job, state.name(), reason.isEmpty() ? "" : "reason=" + reason);
    }

    /** Takes in that the job is known to have ended. */
    void over(LiveJob job) {
        job.endedAt = now();
        live.remove(job.spec.key());
    }

    /** Takes in that a worker has begun one of the job's tasks. */
    void begun(LiveJob job) {
        if (!job.begun) {
            job.begun = true;
            note(SchedulerEvent.Kind.JOB_BEGUN, job, "", "");
        }
    }

    void note(SchedulerEvent.Kind kind, LiveJob job, String outcome, String detail) {
        port.note(new SchedulerEvent(kind, job.spec.key(), null, 0, "", outcome, detail, ageMillis(job)));
    }

    void note(SchedulerEvent.Kind kind, LiveTask t, String outcome, String detail) {
        String w = t.worker == null ? "" : t.worker.facts().id();
        port.note(new SchedulerEvent(kind, t.job.spec.key(), t.id, t.run, w, outcome, detail, ageMillis(t.job)));
    }

    void note(SchedulerEvent.Kind kind, LiveWorker w, String detail) {
        port.note(new SchedulerEvent(kind, null, null, 0, w.facts().id(), "", detail, 0));
    }

    private long ageMillis(LiveJob job) {
        return wallNow() - job.spec.acceptedMillis();
    }

    @Nullable
    LiveTask task(String callerId, TaskId id) {
        LiveJob job = byCallerId.get(callerId);
        return job == null ? null : job.task(id);
    }
}
