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

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.capacity.ArrivalRate;
import org.lupinpaddle.core.capacity.DemandTrend;
import org.lupinpaddle.core.common.Clock;
import org.lupinpaddle.core.cordon.HallCordons;
import org.lupinpaddle.core.job.JobKey;
import org.lupinpaddle.core.job.JobSize;
import org.lupinpaddle.core.job.JobState;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.job.TaskId;
import org.lupinpaddle.core.placement.Placer;
import org.lupinpaddle.core.placement.Resources;
import org.lupinpaddle.core.placement.WorkerFacts;
import org.lupinpaddle.core.workspace.QuotaTable;

/** The scheduler's view of a service, with its jobs and workers and the operations that several passes share. */
final class ServiceState {

    // A worker announces only 2 s in advance that it drains, so an older list may hide it. A working watch confirms
    // the list every 1.8 s.
    private static final long STALE_LIST_MILLIS = 2_500;

    final String service;
    final SchedulerTiming timing;
    final SchedulerPort port;
    final QuotaTable quotas;
    /** All known jobs except those that are over. */
    final Map<JobKey, LiveJob> jobs = new LinkedHashMap<>();
    /** Ended jobs with nothing left to save or to stop, and when they ended. */
    private final Map<JobKey, Long> over = new LinkedHashMap<>();
    /** Jobs that have not ended, in the same order. */
    final Map<JobKey, LiveJob> activeJobs = new LinkedHashMap<>();
    /** Jobs with unsaved changes in the order of writing; jobs that are being written are not included. */
    final Map<JobKey, LiveJob> unsaved = new LinkedHashMap<>();

    final Map<String, LiveWorker> workers = new HashMap<>();
    final OutstandingStarts outstandingStarts;
    final FencingTokens fences;
    final RecentLosses losses = new RecentLosses();
    final RunTimeEstimator runTimes = new RunTimeEstimator();
    final QueuePolicies policies = new QueuePolicies();
    final DemandTrend trend = new DemandTrend();
    final ArrivalRate arrivals = new ArrivalRate();
    final Set<String> evacuating = new HashSet<>();
    /** Evacuating workers whose instances other work is waiting for. */
    final Set<String> urgentlyEvacuating = new HashSet<>();
    /** Caller ids of jobs whose records cannot be read. Their runs are left as they are. */
    final Set<String> unreadableJobs = new HashSet<>();
    /** The rate limit on starts on cold workers. */
    final ColdStartLimiter coldStarts = new ColdStartLimiter();
    /** How many tasks may exist at a time, unless earlier owners have placed more. */
    int maxTasks = Integer.MAX_VALUE;
    /** The cordoned data halls. */
    HallCordons cordons = HallCordons.DISABLED;
    /** The time up to which the list of workers is confirmed. */
    long workersConfirmedAt = Long.MIN_VALUE / 2;

    /** The platform's newest list of workers on instances that are up, and when it was requested. */
    Set<String> runningWorkers = Set.of();

    long runningWorkersAskedAt = LiveWorker.NEVER;

    /** The estimated size of all jobs in {@link #jobs}. */
    private long jobBytes;

    private final CallerIds callerIds = new CallerIds();
    private final long startedAt;
    private final Clock monotonicClock;
    private final Clock wallClock;

    ServiceState(
            String service,
            SchedulerTiming timing,
            SchedulerPort port,
            QuotaTable quotas,
            Clock monotonicClock,
            Clock wallClock) {
        this.quotas = quotas;
        this.service = service;
        this.timing = timing;
        this.port = port;
        this.fences = new FencingTokens(port);
        this.outstandingStarts = new OutstandingStarts(LiveWorker.maxElapsedMillis(timing.longestHoldMillis()));
        this.monotonicClock = monotonicClock;
        this.wallClock = wallClock;
        this.startedAt = monotonicClock.millis();
    }

    long now() {
        return monotonicClock.millis();
    }

    long wallNow() {
        return wallClock.millis();
    }

    void add(LiveJob job) {
        jobs.put(job.spec.key(), job);
        job.policy = policies.of(job.spec);
        jobBytes += JobSize.bytes(job.spec);
        activeJobs.put(job.spec.key(), job);
        LiveJob holder = byCallerId(job.spec.key().id());
        if (holder != null && precedes(job, holder)) {
            callerIds.addFirst(job.spec.key());
        } else {
            callerIds.addLast(job.spec.key());
        }
    }

    /** Applies the policies in force to all jobs. */
    void applyPolicies() {
        jobs.values().forEach(job -> job.policy = policies.of(job.spec));
    }

    /** Returns whether a new job must run before another with the same id: it may have begun, or was accepted earlier. */
    private static boolean precedes(LiveJob job, LiveJob holder) {
        boolean isEarlier = job.spec.acceptedMillis() < holder.spec.acceptedMillis();
        return holder.state == JobState.QUEUED && (job.state != JobState.QUEUED || isEarlier);
    }

    /** Adds a job that was over when this owner read its records. */
    void addOver(JobKey job) {
        if (!isKnown(job)) {
            over.put(job, now());
            callerIds.addFirst(job);
        }
    }

    /** Returns whether the job has been added and not been forgotten since. */
    boolean isKnown(JobKey job) {
        return jobs.containsKey(job) || over.containsKey(job);
    }

    /**
     * Keeps only the key of a job that has ended if its end is durable and it has no tasks on workers. Callers read its
     * state from the store, so that the jobs of the last minutes take little memory.
     */
    void retireIfOver(LiveJob job) {
        if (job.state.ended() && job.savedVersion >= job.version && !job.hasTasksOnWorkers()) {
            remove(job);
            over.put(job.spec.key(), job.endedAt);
        }
    }

    /** Returns the estimated size of all jobs that are not over, without their tasks in progress. */
    long jobBytes() {
        return jobBytes;
    }

    /** Forgets the jobs that ended before this time and are over, and returns their keys. */
    List<JobKey> forgetOver(long before) {
        List<JobKey> expired = over.entrySet().stream()
                .filter(e -> e.getValue() < before)
                .map(Map.Entry::getKey)
                .toList();
        expired.forEach(job -> {
            over.remove(job);
            callerIds.remove(job);
        });
        return expired;
    }

    private void remove(LiveJob job) {
        if (jobs.remove(job.spec.key()) != null) {
            jobBytes -= JobSize.bytes(job.spec);
        }
        activeJobs.remove(job.spec.key());
        unsaved.remove(job.spec.key());
    }

    /** Returns the job that workers refer to by this id, or null. */
    @Nullable
    LiveJob byCallerId(String id) {
        JobKey holder = callerIds.holder(id);
        return holder == null ? null : jobs.get(holder);
    }

    /** Returns whether workers refer to this job by its id, rather than to another one with the same id. */
    boolean holdsItsId(LiveJob job) {
        return job.spec.key().equals(callerIds.holder(job.spec.key().id()));
    }

    /**
     * Returns the steps that have waiting tasks, may begin, and need no more of each resource than {@code maxFree}, the
     * most that any one worker has free.
     */
    List<LiveStep> waitingSteps(Resources maxFree) {
        long wallMillis = wallNow();
        List<LiveStep> steps = new ArrayList<>();
        for (LiveJob j : activeJobs.values()) {
            for (LiveIteration i : j.iterations()) {
                for (LiveStep s : i.steps) {
                    if (s.hasWaiting() && maxFree.canHold(s.room) && s.isReady(wallMillis) && holdsItsId(j)) {
                        steps.add(s);
                    }
                }
            }
        }
        return steps;
    }

    /** Returns the worker with this id, created without an address if it is unknown. */
    LiveWorker workerOrUnknown(String id, long inheritedUntil) {
        return workers.computeIfAbsent(id, i -> {
            LiveWorker w = new LiveWorker(unknownWorkerFacts(i), inheritedUntil);
            w.unlist(now());
            return w;
        });
    }

    private WorkerFacts unknownWorkerFacts(String id) {
        return new WorkerFacts(id, service, "", "", true, 0, Resources.NONE, List.of());
    }

    /** Returns whether the list of workers is recent enough to place and start tasks. */
    boolean isWorkerListFresh() {
        return now() - workersConfirmedAt <= STALE_LIST_MILLIS;
    }

    /** Returns the workers that may be given new tasks now. */
    List<LiveWorker> usableWorkers() {
        return workers.values().stream().filter(this::isUsable).toList();
    }

    /** Returns whether the worker may be given new tasks now. */
    boolean isUsable(LiveWorker w) {
        return mayStartOn(w) && isUsableIfNotCordoned(w);
    }

    /** Returns the workers that may be given new tasks now or within seconds. */
    List<LiveWorker> suppliedWorkers() {
        return workers.values().stream().filter(this::isSupplied).toList();
    }

    private boolean isSupplied(LiveWorker w) {
        UnusableReason reason = unusableBecause(w);
        return (reason == null || reason.isTemporary()) && !w.isUnreachable() && !isCordoned(w);
    }

    /** Returns whether the worker's hall is cordoned. */
    boolean isCordoned(LiveWorker w) {
        return cordons.isCordoned(w.facts().hall());
    }

    /** Returns whether the cordons are known and allow starts on the worker. */
    boolean mayStartOn(LiveWorker w) {
        return cordons.isCurrent(now()) && !isCordoned(w);
    }

    /** Returns whether the worker could be given new tasks now if no hall were cordoned. */
    boolean isUsableIfNotCordoned(LiveWorker w) {
        return unusableBecause(w) == null;
    }

    /** Returns why the worker could not be given new tasks now even if no hall were cordoned; null if it could. */
    @Nullable
    UnusableReason unusableBecause(LiveWorker w) {
        long now = now();
        if (!w.listed) {
            return UnusableReason.UNLISTED;
        } else if (!w.fenced) {
            return UnusableReason.NOT_ANSWERED_YET;
        } else if (w.hasEntryOfOtherIncarnation()) {
            return UnusableReason.OTHER_INCARNATION;
        } else if (w.facts().draining()) {
            return UnusableReason.DRAINING;
        } else if (evacuating.contains(w.facts().id())) {
            return UnusableReason.EVACUATING;
        } else if (!w.facts().service().equals(service)) {
            return UnusableReason.OTHER_SERVICE;
        } else if (now - w.lastAnswerAt > timing.silentMillis()) {
            return UnusableReason.SILENT;
        } else if (w.isUnresponsive()) {
            return UnusableReason.UNRESPONSIVE;
        } else if (!mayExtendRuns(w)) {
            return UnusableReason.RECORDS_UNSAVED;
        }
        return now < w.avoidUntil ? UnusableReason.AVOIDED : null;
    }

    /** Returns why nothing may be placed or started on any worker now; null if it may. */
    @Nullable
    WaitReason staleView() {
        if (!isWorkerListFresh()) {
            return WaitReason.WORKER_LIST_STALE;
        }
        return cordons.isCurrent(now()) ? null : WaitReason.CORDONS_STALE;
    }

    /** Returns why a task placed on the worker may not be started now; null if it may. */
    @Nullable
    WaitReason startHindrance(LiveWorker w) {
        WaitReason stale = staleView();
        return stale == null && isCordoned(w) ? WaitReason.HALL_CORDONED : stale;
    }

    /** Returns whether the records in the store allow this owner to extend the runs on the worker. */
    boolean mayExtendRuns(LiveWorker w) {
        return w.mayExtendRuns(timing.holdMillis(), now());
    }

    /** Returns why a poll sent now may not extend the runs on the worker; null if it may. */
    @Nullable
    ExtensionHindrance extensionHindrance(LiveWorker w) {
        if (!w.isIncarnationConfirmed(now())) {
            return ExtensionHindrance.INCARNATION_UNCONFIRMED;
        }
        return mayExtendRuns(w) ? null : ExtensionHindrance.RECORDS_UNSAVED;
    }

    /** Returns the fencing token for the next order to the worker. */
    long nextFence(LiveWorker w) {
        return fences.next(w.facts().id());
    }

    /** Returns whether the worker has not yet answered a hold with the fencing token of the next order. */
    boolean needsFenceConfirmation(LiveWorker w) {
        return nextFence(w) > w.confirmedFence();
    }

    /**
     * Returns whether a rejected order carried a fencing token that this owner has raised since. Otherwise a later
     * owner has raised it.
     */
    boolean wasFencedByOwnOrder(WorkerFacts worker, long fence) {
        return fence < fences.current(worker.id());
    }

    /** Returns whether the worker may still start the newest run of the task by an order that it receives late. */
    boolean mayStartLate(LiveWorker w, LiveTask t) {
        return outstandingStarts.mayStart(
                w.facts().id(), w.confirmedFence(), t.job.spec.key().id(), t.id, t.run, now());
    }

    /**
     * Returns whether the task may be running, or may still begin, in an incarnation of its worker that this owner does
     * not know, because an order to an earlier one has no answer. If a start has reached such an incarnation, every
     * task may be there. Whether an earlier owner's starts of an inherited run were answered is not known.
     */
    boolean mayRunUnknown(LiveWorker w, LiveTask t) {
        String id = w.facts().id();
        return (t.inherited && now() <= t.inheritedUntil)
                || outstandingStarts.mayRunUnknown(id, t.job.spec.key().id(), t.id, t.run, now())
                || (w.isRestartIndicated() && now() <= outstandingStarts.runsUntil(id));
    }

    /**
     * Returns whether the task may have begun since in an incarnation of its worker that this owner does not know, or
     * may still begin there, because a start has no answer. The record of an inherited run says for how long.
     *
     * @param idleAt a time at which nothing was running on the worker
     */
    boolean mayRunSince(LiveWorker w, LiveTask t, long idleAt) {
        long idleAtMillis = idleAt + (wallNow() - now());
        boolean inheritedStart = t.inherited
                && idleAtMillis <= t.lateStartUntilMillis
                && idleAt <= startedAt + SchedulerTiming.LAST_INHERITED_START_MILLIS;
        return inheritedStart
                || outstandingStarts.mayRunSince(
                        w.facts().id(), t.job.spec.key().id(), t.id, t.run, idleAt);
    }

    /** Returns until when an order that the worker receives late may take effect there; now if there is none. */
    long latestArrival(LiveWorker w) {
        return outstandingStarts.latestArrival(w.facts().id(), w.confirmedFence(), now());
    }

    /** Returns whether the worker has been silent for longer than a healthy worker ever is. */
    boolean isSilent(LiveWorker w) {
        return wasSilentAt(w, now());
    }

    /** Returns whether the worker was silent at that time and has not responded since. */
    boolean wasSilentAt(LiveWorker w, long then) {
        return then - Math.max(w.lastResponseAt(), startedAt) > timing.silentMillis();
    }

    /**
     * Extends the time for which the worker may keep runs alive, because an order whose deadline refers to the clock
     * of another incarnation may reach it until {@code arrivesBy}. The worker may then hold on for the longest time
     * that any worker does.
     */
    void expectForeignDeadlines(LiveWorker w, long arrivesBy) {
        w.extendForeignDeadlines(arrivesBy + LiveWorker.maxElapsedMillis(timing.longestHoldMillis()));
    }

    /**
     * Extends the time for which the worker may keep runs alive by a start that it has answered. The incarnation that
     * adopted the deadline need not be the known one, so only the clock in the answer tells how far ahead the deadline
     * is; without it, the worker may hold on for the longest time that any worker does.
     */
    void deadlineAdopted(LiveWorker w, long deadlineMillis, OptionalLong clockMillis) {
        long remaining = clockMillis.isPresent() ? deadlineMillis - clockMillis.getAsLong() : Long.MAX_VALUE;
        long heldMillis = Math.max(0, Math.min(remaining, timing.longestHoldMillis()));
        w.extendForeignDeadlines(now() + LiveWorker.maxElapsedMillis(heldMillis));
    }

    /** Returns whether another worker has room for the task now. */
    boolean canMoveElsewhere(LiveTask t) {
        return workers.values().stream().anyMatch(o -> canMoveTo(o, t));
    }

    /** Returns whether another worker that is not cold has room for the task now. */
    boolean canMoveToWarmWorker(LiveTask t) {
        return workers.values().stream().anyMatch(o -> !o.isCold() && canMoveTo(o, t));
    }

    private boolean canMoveTo(LiveWorker o, LiveTask t) {
        return o != t.worker && isUsable(o) && Placer.isEligible(o, t.placementRequirements(now()));
    }

    /** Returns until when orders of earlier owners may keep runs alive on a worker that this owner does not reach. */
    long earlierOwnersUntil() {
        return startedAt + timing.inheritedMillis();
    }

    /** Updates which workers are cold, and which of them may be sent a start now. */
    void updateColdWorkers() {
        workers.values().forEach(w -> w.updateCold(coldStarts, earlierOwnersUntil(), now()));
    }

    /** Returns the expected run time of a task of the step: the mean of its completed siblings if there is one. */
    long expectedMillis(LiveStep s) {
        long siblings = s.meanRunMillis();
        return siblings > 0
                ? siblings
                : runTimes.expectedMillis(s.job.spec.key().queue(), s.spec.estimateMillis());
    }

    /** Requests a stop if the task may be running, or withdraws the placement if its start has not been sent. */
    void stop(LiveTask t, String reason) {
        switch (t.phase) {
            case PLACED -> t.releaseWorker(LiveTask.Phase.WAITING, now());
            case STARTING, RUNNING, RECOVERING -> {
                note(SchedulerEvent.Kind.STOP_ORDERED, t, "", "why=" + reason);
                t.enterPhase(LiveTask.Phase.STOPPING, now());
            }
            case WAITING, STOPPING, DONE -> {}
        }
    }

    /** Stops a task that is not known to run, together with its gang, which starts as a whole or not at all. */
    void stopWithGang(LiveTask t, String reason) {
        List<LiveTask> members = t.step.gang() ? t.liveStep.tasks : List.of(t);
        members.forEach(m -> stop(m, reason));
        markChanged(t.job);
    }

    /** Marks the task as needing no further run, and stops a run that may be in progress. */
    void finish(LiveTask t, String reason) {
        t.workDone = true;
        markChanged(t.job);
        stop(t, reason);
        if (t.phase == LiveTask.Phase.WAITING) {
            t.enterPhase(LiveTask.Phase.DONE, now());
        }
    }

    /** Marks the job as changed, so that its progress is saved. */
    void markChanged(LiveJob job) {
        job.version++;
        unsaved.putIfAbsent(job.spec.key(), job);
    }

    /** Ends a job and stops its tasks on workers. */
    void endJob(LiveJob job, JobState state, String reason) {
        job.state = state;
        job.reason = reason;
        markChanged(job);
        markEnded(job);
        job.tasks().forEach(t -> stop(t, "job-" + state));
        note(SchedulerEvent.Kind.JOB_ENDED, job, state.name(), reason.isEmpty() ? "" : "reason=" + reason);
    }

    /**
     * Ends the job if none of its tasks will run any more. A job with a long-running step is never completed, because the
     * tasks of that step end only by being given up.
     */
    void endIfFinished(LiveJob job) {
        if (job.state.ended() || job.hasUnfinishedTasks()) {
            return;
        }
        if (job.spec.steps().stream().noneMatch(StepSpec::longRunning)) {
            endJob(job, JobState.COMPLETED, "");
        } else {
            endJob(job, JobState.FAILED, job.reason.isEmpty() ? "a long-running task was given up" : job.reason);
        }
    }

    /** Marks the job as ended. */
    void markEnded(LiveJob job) {
        job.endedAt = now();
        activeJobs.remove(job.spec.key());
    }

    /** Marks the job as started when a worker starts the first of its tasks. */
    void markStarted(LiveJob job) {
        if (!job.started) {
            job.started = true;
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
        LiveJob job = byCallerId(callerId);
        return job == null ? null : job.task(id);
    }
}
