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
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.job.TaskId;
import org.lupinpaddle.core.job.TaskRecord;
import org.lupinpaddle.core.placement.PlacementRequest;
import org.lupinpaddle.core.placement.StepRepetition;
import org.lupinpaddle.core.placement.WorkerIncarnation;

/** The scheduler's state of one task: its placement and its runs. */
final class LiveTask {

    /** The life cycle of a task. */
    enum Phase {
        /** Not assigned to a worker. */
        WAITING,
        /** Assigned to a worker; the placement is being saved. */
        PLACED,
        /** The start has been sent and is not confirmed. */
        STARTING,
        /** The worker has confirmed that it runs. */
        RUNNING,
        /** A stop has been requested; the worker may still run the task, or start it late. */
        STOPPING,
        /** Placed by an earlier owner; its worker has not reported on it yet. */
        RECOVERING,
        /** No further run is needed. */
        DONE;

        /** Returns whether the task occupies room on its worker. */
        boolean occupiesWorker() {
            return this != WAITING && this != DONE;
        }
    }

    private static final int COMPLETE_PERCENT = 100;
    private static final WorkerIncarnation UNKNOWN_INCARNATION =
            new WorkerIncarnation("", WorkerIncarnation.UNKNOWN_START);

    // From the third attempt on, another rack is preferred: two failures on one rack may be caused by the rack.
    private static final int ATTEMPTS_BEFORE_OTHER_RACK = 2;

    // A task waits this long, and longer with each failure, for a worker on which it has not failed: an instance joins
    // a pool within 2 s, and the last attempt should not go to a worker that fails everything.
    private static final long AVOID_MILLIS = 4_000;
    // The last attempt waits this long for a worker on which a run has succeeded. Two workers that fail everything,
    // after one random failure, use up three attempts within 0.4 s, before any evidence against them can accumulate.
    // The platform allows a job to have nothing running for 3 s. A job that has failed where others succeed is not
    // delayed.
    private static final long PROVEN_WORKER_WAIT_MILLIS = 2_500;
    // A suspect waits this long for a worker where its crash harms nothing else; the limit follows from the same 3 s.
    private static final long SEPARATION_WAIT_MILLIS = 2_500;
    // A task that crashes its worker at startup has done so after this time. A task that crashed it later may need as
    // long again as it ran before.
    private static final long ISOLATION_MILLIS = 3_000;
    // Limits how long a task that ran for a long time before the crash occupies a worker alone.
    private static final long MAX_ISOLATION_MILLIS = 10_000;

    final LiveJob job;
    final TaskId id;
    final StepSpec step;
    final StepRepetition stepTime;
    final LiveStep liveStep;

    Phase phase = Phase.WAITING;
    int run;
    int failures;
    int lastFailedRun;
    /** How many workers have crashed while they ran it, and how many may have crashed before they started it. */
    int crashes;

    int doubtfulCrashes;
    /** How many of {@link #crashes} may still turn out to have another cause. */
    int unsettledCrashes;
    /** The id of the worker lost last while it ran the task; empty if there is none under this owner. */
    String lastCrashedWorker = "";
    /** Whether it will be given up unless one of its crashes turns out to have another cause. */
    boolean crashVerdictPending;
    /** The longest time for which one of its runs had been running when its worker crashed. */
    private long longestRunBeforeCrashMillis;

    Suspicion suspicion = Suspicion.NONE;
    private long separationUntil = Long.MIN_VALUE;
    String checkpoint = "";
    /** The ticket that its start must carry if the queue requires advice; otherwise empty. */
    String ticket = "";

    @Nullable
    LiveWorker worker;
    /** The incarnation of its worker that received the newest run. */
    WorkerIncarnation incarnation = UNKNOWN_INCARNATION;

    /** The version of the job that must be durable before the start is sent. */
    long placedVersion;
    /** How many times the start of this run was sent without an answer in its current phase. */
    int unansweredStarts;
    /**
     * Until when its worker may execute a start of this run that got no answer, in milliseconds since 1970; see
     * {@link TaskRecord#knownLateStartUntilMillis}.
     */
    long lateStartUntilMillis = TaskRecord.NEVER;

    /**
     * When its inherited run ends at the latest, in milliseconds since 1970, as long as no owner reaches its worker; see
     * {@link TaskRecord#knownEndsByMillis}.
     */
    long endsByMillis = TaskRecord.ANY_TIME;

    long nextOrderAt;

    boolean orderInFlight;
    /** Whether its worker is being probed before the start is sent. */
    boolean probeInFlight;
    /** When its newest start, or the preceding probe, was sent. */
    long orderSentAt;
    /** A hold sent after this time that does not list the run proves that the run has ended. */
    long absenceConclusiveFrom = Long.MAX_VALUE;

    int percent;
    /** The value last reported by the worker: for a serving task, the tail latency in milliseconds; -1 if unknown. */
    long reportedLoad = -1;
    /** The percentage of full speed at which it is to run, and when that was last changed. */
    int pacePercent = 100;

    long paceChangedAt = Long.MIN_VALUE / 2;
    boolean paceConfirmed = true;
    /** Whether an earlier owner may have set another percentage, which is not recorded anywhere. */
    boolean paceInherited;

    boolean paceInFlight;
    long nextPaceOrderAt;
    /** Since when all serving tasks on the same worker have been well below their latency targets. */
    long belowTargetSince = Long.MAX_VALUE;
    /** Since when it has been unassigned; unknown if it has never been assigned. */
    private long waitingSince = Long.MIN_VALUE;
    /** When its worker is known to have started this run, and whether it started without a checkpoint. */
    long startedAt = Long.MAX_VALUE;

    /**
     * When it was last known to be running. {@link LiveWorker#NEVER} before its first run; if that was under an earlier
     * owner, the time at which this owner read its record.
     */
    long lastRunningAt = LiveWorker.NEVER;

    boolean startedFromScratch;
    /**
     * Whether its worker was cold at some time during this run, so its run time is not compared with others or learned.
     */
    boolean ranCold;
    /** How long its previous run was known to be running. */
    long lastRunMillis;
    /** When its progress last increased. */
    long lastProgressAt = Long.MAX_VALUE;
    /** How many answers of its worker have shown the same progress since then. */
    int answersWithoutProgress;
    /** Since when its worker is known to be lost while a start may be executed; {@link LiveWorker#NEVER} otherwise. */
    long inDoubtSince = LiveWorker.NEVER;
    /** Whether an earlier owner started its run, and may have ordered a stop. */
    boolean inherited;
    /** Until when orders of earlier owners may keep its inherited run alive, by the owner's clock. */
    long inheritedUntil;
    /**
     * Whether an older run or another gang member has completed the work: the task is done once it has left its
     * worker.
     */
    boolean workDone;

    private long avoidUntil = Long.MIN_VALUE;
    private long provenOnlyUntil = Long.MIN_VALUE;
    /**
     * Whether it has failed on a worker where the run before had succeeded, which suggests that the task itself is at
     * fault.
     */
    boolean failedOnProvenWorker;
    /** Avoided workers by id, with the incarnation and the time of the newest reason. */
    private final Map<String, Avoided> avoidedWorkers = new HashMap<>();

    private final Set<String> failedDomains = new HashSet<>();

    /**
     * A worker that the next runs avoid.
     *
     * @param since when the newest reason occurred
     * @param runBegunAt when the newest run that failed there began; {@link LiveWorker#NEVER} if none is known
     */
    private record Avoided(LiveWorker worker, long since, long runBegunAt) {

        /**
         * Returns whether a run has succeeded there since. A worker that fails all new runs may still complete those
         * that it began before the failed one.
         */
        boolean isProven() {
            return worker.isProvenSince(since) && worker.isProvenByRunBegunSince(runBegunAt);
        }
    }

    LiveTask(LiveStep liveStep, TaskId id) {
        this.liveStep = liveStep;
        this.job = liveStep.job;
        this.id = id;
        this.step = liveStep.spec;
        this.stepTime = liveStep.repetition;
    }

    void enterPhase(Phase next, long now) {
        setPhase(next);
        nextOrderAt = now;
        unansweredStarts = 0;
        absenceConclusiveFrom = Long.MAX_VALUE;
    }

    /** Changes only the phase. */
    void setPhase(Phase next) {
        liveStep.phaseChanged(phase, next);
        phase = next;
    }

    /** Removes the task from its worker; it then waits for a new run or is done. */
    void releaseWorker(Phase next, long now) {
        if (worker != null) {
            worker.remove(this);
        }
        worker = null;
        probeInFlight = false;
        lastRunMillis = startedAt == Long.MAX_VALUE ? 0 : now - startedAt;
        inherited = false;
        endsByMillis = TaskRecord.ANY_TIME;
        inDoubtSince = LiveWorker.NEVER;
        percent = 0;
        startedAt = Long.MAX_VALUE;
        ranCold = false;
        reportedLoad = -1;
        pacePercent = 100;
        paceConfirmed = true;
        paceInherited = false;
        paceInFlight = false;
        enterPhase(next, now);
        waitingSince = now;
        if (next == Phase.DONE) {
            liveStep.doneAt(now);
        }
    }

    /** Takes back a placement within a pass; the task has waited without interruption. */
    void withdrawReservation(long now) {
        if (worker != null) {
            worker.remove(this);
        }
        worker = null;
        enterPhase(Phase.WAITING, now);
    }

    /**
     * Restores the record of an earlier owner. The record does not say where the task failed, and this owner does not
     * know faulty workers yet, so the last attempt waits for a worker that is seen to succeed, as it would have under
     * the owner that counted the failures.
     */
    void restore(TaskRecord r, long now) {
        run = r.run();
        lastRunningAt = run > 0 ? now : LiveWorker.NEVER;
        failures = r.failures();
        recordCrashes(r.knownCrashes(), r.knownDoubtfulCrashes(), now);
        checkpoint = r.checkpoint();
        incarnation = new WorkerIncarnation(r.worker(), r.knownWorkerStartMillis());
        lateStartUntilMillis = r.knownLateStartUntilMillis();
        endsByMillis = r.knownEndsByMillis();
        workDone = r.done() && !r.worker().isEmpty();
        provenOnlyUntil = provenOnlyDeadline(now);
    }

    /**
     * Returns since when it has waited for a worker, by the owner's clock; for a first step this is at least the
     * start of its job.
     */
    long waitingSince(long jobStartedAt) {
        return Math.max(waitingSince, liveStep.readySince().orElse(jobStartedAt));
    }

    void recordFailureOn(LiveWorker w, long now) {
        failedDomains.add(w.facts().failureDomain());
        avoid(w, begunAt(), now);
        provenOnlyUntil = provenOnlyDeadline(now);
    }

    /** Returns until when only workers on which a run has succeeded are accepted. */
    private long provenOnlyDeadline(long now) {
        return isAtLastAttempt() ? now + PROVEN_WORKER_WAIT_MILLIS : Long.MIN_VALUE;
    }

    /** Sets the crash counts while the task is not on a worker. */
    void recordCrashes(int certain, int doubtful, long now) {
        crashes = certain;
        doubtfulCrashes = doubtful;
        suspicion = Suspicion.of(certain + doubtful);
        separationUntil = now + SEPARATION_WAIT_MILLIS;
        longestRunBeforeCrashMillis = Math.max(longestRunBeforeCrashMillis, lastRunMillis);
    }

    /** Counts one of the certain crashes as doubtful. */
    void discountCrash() {
        crashes--;
        doubtfulCrashes++;
    }

    /** Resets the crash counts. */
    void resetCrashes() {
        crashes = 0;
        doubtfulCrashes = 0;
        unsettledCrashes = 0;
    }

    /** Returns how long one of its runs must last before other tasks may share its worker. */
    long isolationMillis() {
        return Math.min(MAX_ISOLATION_MILLIS, ISOLATION_MILLIS + longestRunBeforeCrashMillis);
    }

    private boolean isAtLastAttempt() {
        return !step.longRunning() && !step.gang() && !failedOnProvenWorker && failures == job.policy.maxAttempts() - 1;
    }

    /** Makes the next runs avoid the worker: strictly for a while, then only where there is an alternative. */
    void avoid(LiveWorker w, long now) {
        avoid(w, LiveWorker.NEVER, now);
    }

    private void avoid(LiveWorker w, long runBegunAt, long now) {
        Avoided earlier = avoidedWorkers.get(w.facts().id());
        long newestRunBegunAt = earlier == null ? runBegunAt : Math.max(earlier.runBegunAt, runBegunAt);
        avoidedWorkers.put(w.facts().id(), new Avoided(w, now, newestRunBegunAt));
        avoidUntil = now + AVOID_MILLIS * Math.max(1, failures);
    }

    PlacementRequest placementRequirements(long now) {
        avoidedWorkers.values().removeIf(a -> a.worker.ended);
        Set<String> avoidedDomains = failures >= ATTEMPTS_BEFORE_OTHER_RACK ? failedDomains : Set.of();
        boolean onlyProven = now < provenOnlyUntil;
        Set<String> excluded = onlyProven ? unprovenWorkers() : avoidedWorkers.keySet();
        return new PlacementRequest(
                step,
                stepTime,
                excluded,
                now < avoidUntil,
                avoidedDomains,
                suspicion.company(),
                now < separationUntil,
                onlyProven);
    }

    /** Returns whether its run was assigned to an earlier incarnation of its worker. */
    boolean belongsToEarlierIncarnation() {
        return worker != null && worker.incarnation().isKnownToDifferFrom(incarnation);
    }

    /** Returns the workers on which it has failed and that have not been proven healthy since. */
    private Set<String> unprovenWorkers() {
        return avoidedWorkers.entrySet().stream()
                .filter(e -> !e.getValue().isProven())
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
    }

    /** Returns the remaining part of a full run, by the reported progress. */
    long remainingMillis(long wholeMillis) {
        return wholeMillis * (COMPLETE_PERCENT - percent) / COMPLETE_PERCENT;
    }

    /**
     * Returns the remaining time of its run; for a run on a cold worker, projected from the run's own speed.
     */
    long remainingMillisOnWorker(long wholeMillis) {
        boolean projects = ranCold && startedFromScratch && hasStarted() && percent > 0;
        return projects && worker != null ? projectedRemainingMillis(worker) : remainingMillis(wholeMillis);
    }

    /** Returns the remaining time of its run on this worker, by the speed of the run so far. */
    long projectedRemainingMillis(LiveWorker w) {
        long observed = w.lastAnswerAt - startedAt;
        return observed * (COMPLETE_PERCENT - percent) / Math.max(1, percent);
    }

    /** Returns whether it may be placed now. */
    boolean isPlaceable(long now) {
        return phase == Phase.WAITING && placementHindrance(now) == null;
    }

    /** Returns why it may not be placed now while it is on no worker; null if it may. */
    @Nullable
    WaitReason placementHindrance(long now) {
        if (crashVerdictPending) {
            return WaitReason.CRASH_VERDICT;
        }
        return now < nextOrderAt ? WaitReason.FAILURE_BACKOFF : null;
    }

    /** Returns whether it is done, or will be once its last run has left its worker. */
    boolean needsNoRun() {
        return workDone || phase == Phase.DONE;
    }

    /** Returns whether its placement is durable, so that the start may be sent. */
    boolean isPlacementDurable() {
        return job.savedVersion >= placedVersion;
    }

    /** Returns whether its start has to be sent again, or for the first time, and is not in flight. */
    boolean hasStartToSend() {
        return phase == Phase.STARTING && !orderInFlight;
    }

    /** Returns when its run began, or later; {@link LiveWorker#NEVER} if this owner has not started it. */
    long begunAt() {
        return hasStarted() && !inherited ? startedAt : LiveWorker.NEVER;
    }

    /** Returns whether a worker has confirmed the run, including a run that is being stopped. */
    boolean hasStarted() {
        return startedAt != Long.MAX_VALUE;
    }

    /**
     * Returns whether any worker with room is acceptable: the task has failed nowhere, and no worker has crashed
     * while running it.
     */
    boolean acceptsAnyWorker() {
        return avoidedWorkers.isEmpty() && !suspicion.isSuspect();
    }

    /** Returns how many workers are needed so that there is one on which the task has not failed. */
    int workersNeeded() {
        return phase == Phase.WAITING ? avoidedWorkers.size() + 1 : 0;
    }

    /** Sets the number of a new run, whose start has not been sent. */
    void beginRun(int number) {
        run = number;
        lateStartUntilMillis = TaskRecord.NEVER;
    }

    boolean hasBeenPlaced() {
        return run > 0;
    }

    TaskRecord toRecord() {
        String workerId = worker == null ? "" : worker.facts().id();
        // Also set while a superfluous run is being stopped, because the information that the work is done is kept
        // nowhere else.
        boolean done = phase == Phase.DONE || workDone;
        // A completed task is never resumed; only gang members resume from each other's checkpoints.
        String resumeFrom = done && !step.gang() ? "" : checkpoint;
        Long bornMillis = worker != null && incarnation.hasStartTime() ? (Long) incarnation.startMillis() : null;
        return new TaskRecord(
                id.time(),
                id.step(),
                id.index(),
                run,
                failures,
                done,
                workerId,
                resumeFrom,
                crashes - unsettledCrashes,
                doubtfulCrashes + unsettledCrashes,
                bornMillis,
                lateStartUntilMillis == TaskRecord.NEVER ? null : (Long) lateStartUntilMillis,
                worker == null || endsByMillis == TaskRecord.ANY_TIME ? null : (Long) endsByMillis,
                recordedInstance());
    }

    /** Returns the instance that is worth recording; null for tasks that end by themselves, to keep records small. */
    private @Nullable String recordedInstance() {
        return worker == null || !step.longRunning() || worker.instance().isEmpty() ? null : worker.instance();
    }
}
