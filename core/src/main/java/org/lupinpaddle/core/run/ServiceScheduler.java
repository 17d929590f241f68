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

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.capacity.ArrivalRate;
import org.lupinpaddle.core.capacity.ServiceReport;
import org.lupinpaddle.core.common.Clock;
import org.lupinpaddle.core.cordon.HallCordons;
import org.lupinpaddle.core.fleet.PlatformInstance;
import org.lupinpaddle.core.job.JobKey;
import org.lupinpaddle.core.job.JobProgress;
import org.lupinpaddle.core.job.JobSpec;
import org.lupinpaddle.core.job.JobState;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.job.TaskId;
import org.lupinpaddle.core.job.TaskRecord;
import org.lupinpaddle.core.placement.Resources;
import org.lupinpaddle.core.placement.WorkerFacts;
import org.lupinpaddle.core.queue.JobConfiguration;
import org.lupinpaddle.core.run.LiveTask.Phase;
import org.lupinpaddle.core.workspace.QuotaTable;

/**
 * Schedules the jobs of one service while this entry owns the service. The scheduler only decides; the host executes
 * its orders and reports their outcomes, all on one thread. Three rules keep a task from running twice: a placement
 * is durable, conditional on ownership, before the start is sent; a worker that has answered a hold of this owner
 * rejects orders of earlier owners, and those of this owner that it superseded (see {@link FencingTokens}); and a task
 * is placed again only when its last run is proven to have ended (see {@link RunTracker}).
 */
public final class ServiceScheduler {

    private static final long HOLD_RETRY_MILLIS = 250;
    // Longest delay of the next hold while results are being saved.
    private static final long HOLD_WITH_ENDS_MILLIS = 1_000;
    // A worker without unsaved results is polled as often, and each of these polls extends its runs.
    private static final long EXTENSION_INTERVAL_MILLIS = 1_000;
    // Delay for a worker that is about to leave: a result that it has listed for 100 ms must be known to its owner,
    // and the worker may be gone before the store answers. Each such poll costs one call.
    private static final long HOLD_LEAVING_MILLIS = 100;
    // Runs are extended once a second; after two more their deadline is near.
    private static final long UNEXTENDED_NOTE_MILLIS = 3_000;
    // Limits the lines of one review when many workers are affected.
    private static final int MAX_UNEXTENDED_NOTES = 5;
    // Instances change their workers within seconds; a list is one call for all workers.
    private static final long LOCATION_INTERVAL_MILLIS = 3_000;
    // An unlisted worker that still answers is kept for this long.
    private static final long UNLISTED_KEEP_MILLIS = 3_000;

    private final ServiceState state;
    private final RunTracker runs;
    private final RestartTracker restarts;
    private final InheritedRuns inheritedRuns;
    private final PlacementPass placement;
    private final Evacuator evacuator;
    private final CordonPass cordons;
    private final CordonWaits cordonWaits;
    private final StragglerPass stragglers;
    private final Advisor advisor;
    private final PacingPass pacing;
    private final CapacityPass capacity;
    private final QuotaPass quotas;
    private final PersistencePass persistence;
    private final IterationPass iterations;
    private final RunWaits runWaits;
    private final RefusalDemand refusals;
    private final long startedAt;
    private boolean handingOver;
    private int lastNeeded;
    private long nextLocationAt;

    /** Creates the scheduler of a service whose ownership has just been acquired. */
    public ServiceScheduler(String service, SchedulerTiming timing, SchedulerPort port, Clock steady, Clock wall) {
        this(service, timing, port, new QuotaTable(service), steady, wall);
    }

    /** Creates the scheduler with workspace quotas that the host maintains. */
    public ServiceScheduler(
            String service, SchedulerTiming timing, SchedulerPort port, QuotaTable quotas, Clock steady, Clock wall) {
        state = new ServiceState(service, timing, port, quotas, steady, wall);
        FaultyWorkerDetector faultyWorkers = new FaultyWorkerDetector(state);
        advisor = new Advisor(state);
        pacing = new PacingPass(state);
        capacity = new CapacityPass(state);
        this.quotas = new QuotaPass(state);
        persistence = new PersistencePass(state);
        iterations = new IterationPass(state);
        runs = new RunTracker(state, faultyWorkers, advisor);
        restarts = new RestartTracker(state, runs, advisor);
        inheritedRuns = new InheritedRuns(state);
        stragglers = new StragglerPass(state, faultyWorkers);
        cordonWaits = new CordonWaits(state);
        placement = new PlacementPass(state, advisor, cordonWaits);
        evacuator = new Evacuator(state);
        cordons = new CordonPass(state, evacuator);
        runWaits = new RunWaits(state, advisor, cordonWaits);
        refusals = new RefusalDemand(state, advisor);
        startedAt = state.now();
    }

    /**
     * Adds a job and the progress that an earlier owner saved, if any. A known job is ignored. If the records cannot be
     * handled, the exception leaves the scheduler as it was.
     */
    public void onJob(JobSpec spec, @Nullable JobProgress progress) {
        if (state.isKnown(spec.key())) {
            return;
        }
        LiveJob job = new LiveJob(spec, state.quotas.of(spec.workspace()), state.runTimes);
        List<TaskRecord> assigned = progress == null ? List.of() : job.restore(progress, state.now());
        recordArrival(job);
        if (state.unreadableJobs.remove(spec.key().id())) {
            state.workers.values().forEach(w -> w.results().reprocessRetained());
        }
        state.add(job);
        assigned.forEach(r -> restoreRun(job, r));
        if (job.state.ended()) {
            state.markEnded(job);
        } else if (progress != null) {
            // An earlier release let a job continue whose steps wait for one that has been given up.
            state.endIfFinished(job);
        }
        boolean longRunning = spec.steps().stream().anyMatch(StepSpec::longRunning);
        String shape = spec.steps().stream().map(StepSpec::shape).collect(Collectors.joining(","));
        String detail = "version=" + job.version + " objective-millis=" + job.objectiveMillis() + " lasting="
                + longRunning + " steps=" + shape + (longRunning && progress != null ? restoredTasks(job) : "");
        state.note(SchedulerEvent.Kind.JOB_TAKEN, job, job.state.name(), detail);
    }

    /** Returns how many long-running tasks of a restored job are on workers, wait, or need no further run. */
    private static String restoredTasks(LiveJob job) {
        List<LiveTask> tasks = job.tasks().filter(t -> t.step.longRunning()).toList();
        long done = tasks.stream().filter(LiveTask::needsNoRun).count();
        long onWorkers = tasks.stream()
                .filter(t -> t.phase.occupiesWorker() && !t.needsNoRun())
                .count();
        return " long-running-on-workers=" + onWorkers + " long-running-waiting=" + (tasks.size() - onWorkers - done)
                + " long-running-done=" + done;
    }

    /** Adds a job that was over when this owner read its records, so that no other job takes its id too early. */
    public void onFinishedJob(JobKey key) {
        state.addOver(key);
    }

    /**
     * Handles a job whose records cannot be read. Unless the job is known, its runs are neither stopped nor
     * restarted, since the work may already be done.
     */
    public void onUnreadableJob(JobKey key) {
        if (!state.isKnown(key)) {
            state.unreadableJobs.add(key.id());
        }
    }

    private void recordArrival(LiveJob job) {
        ArrivalRate.Work work = new ArrivalRate.Work();
        String queue = job.spec.key().queue();
        for (StepSpec s : job.spec.steps()) {
            if (!s.longRunning()) {
                work.add(Resources.of(s), s.count(), state.runTimes.expectedMillis(queue, s.estimateMillis()));
            }
        }
        long age = Math.max(0, state.wallNow() - job.spec.acceptedMillis());
        state.arrivals.onJobAccepted(queue, state.now() - age, work);
    }

    private void restoreRun(LiveJob job, TaskRecord r) {
        LiveTask t = job.task(new TaskId(r.time(), r.step(), r.index()));
        if (t == null) {
            return;
        }
        LiveWorker w = state.workerOrUnknown(r.worker(), state.earlierOwnersUntil());
        w.locate(r.knownInstance(), state.now());
        t.worker = w;
        w.add(t);
        t.enterPhase(Phase.RECOVERING, state.now());
        // Every hold of this owner is sent after any order that an earlier owner could have sent.
        t.absenceConclusiveFrom = startedAt - 1;
        t.inherited = true;
        t.inheritedUntil = inheritedRuns.endOf(t);
        if (job.state.ended()) {
            state.stop(t, "job-" + job.state);
        } else if (t.workDone) {
            state.stop(t, "done, by an earlier owner's record");
        }
    }

    /** Cancels a job at the request of its caller. */
    public void onCancel(JobKey key) {
        // Runs of a cancelled job must stop even if its records cannot be read.
        if (state.unreadableJobs.remove(key.id())) {
            state.workers.values().forEach(w -> w.results().reprocessRetained());
        }
        LiveJob job = state.jobs.get(key);
        if (job != null && !job.state.ended()) {
            state.endJob(job, JobState.CANCELLED, "the caller cancelled it");
        }
    }

    /** Updates the workers that the platform lists for this service. */
    public void onWorkers(Collection<WorkerFacts> listed) {
        long now = state.now();
        Map<String, WorkerFacts> byId = new HashMap<>();
        // An entry without an address does not change the known worker, which is still polled at its old address.
        listed.stream().filter(f -> !f.address().isEmpty()).forEach(f -> byId.put(f.id(), f));
        byId.forEach((id, f) -> {
            LiveWorker w = state.workers.computeIfAbsent(id, i -> new LiveWorker(f, state.earlierOwnersUntil()));
            restarts.onListed(w, f);
        });
        state.workers.values().stream()
                .filter(w -> !byId.containsKey(w.facts().id()))
                .forEach(w -> w.unlist(now));
    }

    /**
     * Sets the time up to which the lists of workers and cancellations are confirmed. Nothing is placed while they
     * are stale.
     */
    public void onWorkersConfirmed(long since) {
        state.workersConfirmedAt = Math.max(state.workersConfirmedAt, since);
    }

    /** Sets the cordoned data halls. Nothing is placed or started while the view is not current. */
    public void onCordons(HallCordons cordons) {
        state.cordons = cordons;
    }

    /** Takes over a configuration, which applies to the jobs accepted before as well. */
    public void onConfiguration(JobConfiguration configuration) {
        if (!handingOver && state.policies.update(configuration)) {
            runs.applyMaxAttempts();
        }
    }

    /** Sets the maximum number of starts per second on each cold worker; 0 for no limit. */
    public void onColdStartsPerSecond(double rate) {
        state.coldStarts.setRate(rate, state.now());
    }

    /**
     * Sets how many tasks may exist at a time. Iterations that are due wait in the order of their urgency while there
     * are more.
     */
    public void onMaxTasks(int maxTasks) {
        state.maxTasks = maxTasks;
    }

    /**
     * Returns whether a silent worker still has tasks, so that the platform's list of instances should be requested.
     */
    public boolean hasSilentWorkersWithTasks() {
        return state.workers.values().stream().anyMatch(this::isSilentWithTasks);
    }

    private boolean isSilentWithTasks(LiveWorker w) {
        return !w.tasks.isEmpty() && state.isSilent(w);
    }

    /**
     * Returns whether the platform's list of instances should be requested: a silent worker still has tasks, or it is
     * not known on which instance a long-running task runs.
     */
    public boolean needsInstances() {
        long now = state.now();
        boolean locates = now >= nextLocationAt
                && state.workers.values().stream()
                        .anyMatch(w -> w.listed
                                && w.longRunningCount() > 0
                                && w.instance().isEmpty());
        if (locates) {
            nextLocationAt = now + LOCATION_INTERVAL_MILLIS;
        }
        return locates || hasSilentWorkersWithTasks();
    }

    /**
     * Handles the platform's list of instances, requested at {@code askedAt}. A worker that was silent by then has ended
     * for good if its instance is shown with another one, so that its starts without an answer are never executed. An
     * instance that is down, moving or in upkeep does not exclude that the next worker there has the same id.
     */
    public void onInstances(Collection<PlatformInstance> instances, long askedAt) {
        Map<String, PlatformInstance> byId =
                instances.stream().collect(Collectors.toMap(PlatformInstance::id, i -> i, (a, b) -> b));
        long listedAt = askedAt - state.timing.silentMillis();
        for (LiveWorker w : List.copyOf(state.workers.values())) {
            PlatformInstance i = byId.get(w.instance());
            if (i != null && !w.tasks.isEmpty() && state.wasSilentAt(w, askedAt) && w.isReplacedOn(i, listedAt)) {
                runs.workerLost(w, LossEvidence.REPLACED);
            }
        }
        List<PlatformInstance> up = instances.stream()
                .filter(i -> i.state() == PlatformInstance.State.UP)
                .toList();
        up.forEach(i -> locate(state.workers.get(i.worker()), i.id(), askedAt));
        onRunningWorkers(up.stream().map(PlatformInstance::worker).collect(Collectors.toSet()), askedAt);
    }

    /** Notes the instance of a worker, also in the records of its long-running tasks, for later owners. */
    private void locate(@Nullable LiveWorker w, String instance, long askedAt) {
        if (w != null && w.instance().isEmpty()) {
            w.locate(instance, askedAt);
            w.tasks.stream().filter(t -> t.step.longRunning()).forEach(t -> state.markChanged(t.job));
        }
    }

    /**
     * Handles the platform's list of workers on instances that are up, requested at {@code askedAt}. A worker that
     * was silent by then and is not on the list has ended, whatever its deadline. The list lags by less than the time
     * after which a worker counts as silent, and says nothing of the next incarnation: a task stays on the worker while
     * that incarnation may begin it by a start without an answer.
     */
    public void onRunningWorkers(Set<String> workers, long askedAt) {
        state.runningWorkers = workers;
        state.runningWorkersAskedAt = askedAt;
        for (LiveWorker w : List.copyOf(state.workers.values())) {
            if (!w.tasks.isEmpty()
                    && state.wasSilentAt(w, askedAt)
                    && !workers.contains(w.facts().id())
                    && !mayHaveRestarted(w)) {
                long listedAt = askedAt - state.timing.silentMillis();
                runs.release(w, LossEvidence.NOT_LIVING, t -> state.mayRunSince(w, t, listedAt));
            }
        }
    }

    /**
     * Returns whether a later incarnation, started after the platform's list was made, may be running under the
     * worker's id: its entry states another birth, or a start is in flight that the new incarnation would accept. The
     * answer to that start or to the next hold shows which.
     */
    private static boolean mayHaveRestarted(LiveWorker w) {
        return w.hasEntryOfOtherIncarnation()
                || w.tasks.stream().anyMatch(t -> t.phase == Phase.STARTING && t.orderInFlight);
    }

    /** Sets the workers to evacuate, and those of them that other work is waiting for. */
    public void onEvacuations(Set<String> workers, Set<String> urgent) {
        state.evacuating.stream()
                .filter(w -> !workers.contains(w))
                .map(state.workers::get)
                .filter(Objects::nonNull)
                .forEach(LiveWorker::requireHoldAnswer);
        state.evacuating.clear();
        state.evacuating.addAll(workers);
        state.urgentlyEvacuating.clear();
        state.urgentlyEvacuating.addAll(urgent);
    }

    /** Handles the outcome of a start that has no answer, or whose answer states no clock. */
    public void onStarted(StartOrder order, OrderOutcome outcome) {
        onStarted(order, outcome, OptionalLong.empty());
    }

    /** Handles the outcome of a start, with the worker's clock as stated by the answer. */
    public void onStarted(StartOrder order, OrderOutcome outcome, OptionalLong clockMillis) {
        runs.onStarted(order, outcome, clockMillis);
    }

    /** Handles the outcome of a stop. */
    public void onStopped(StopOrder order, OrderOutcome outcome) {
        runs.onStopped(order, outcome);
    }

    /** Handles the outcome of a pace order. */
    public void onPaced(PaceOrder order, OrderOutcome outcome) {
        pacing.onPaced(order, outcome);
    }

    /** Returns the request to the advice service for a turn that has come; empty if no step needs advice any more. */
    public Optional<AdviceRequest> nextAdviceRequest() {
        return handingOver ? Optional.empty() : advisor.nextRequest();
    }

    /** Handles the advice on which workers may run a step; null if there was no answer, or none yet. */
    public void onAdvice(AdviceRequest order, @Nullable AdviceResponse answer) {
        advisor.onAdvice(order, answer);
    }

    /** Handles a worker's answer to a hold that was sent at {@code sentAt}. */
    public void onHoldAnswered(HoldOrder order, long sentAt, HoldResponse answer) {
        LiveWorker known = state.workers.get(order.worker().id());
        LiveWorker w = known == null ? null : restarts.onAnswer(known, order, sentAt, answer);
        if (w == null) {
            runs.onLateAnswer(answer);
            return;
        }
        long now = state.now();
        boolean newest = w.holdCompleted(order);
        boolean outdated = w.isOvertaken(answer.clockMillis(), sentAt);
        if (outdated) {
            w.recordResponse(now);
        } else {
            w.holdAnswered(answer.clockMillis(), now);
            w.confirmRunning(sentAt);
            state.outstandingStarts.incarnationConfirmed(order.worker().id(), sentAt);
        }
        if (handingOver && !isLeaving(w)) {
            return;
        }
        if (outdated) {
            runs.processResults(w, answer);
        } else {
            runs.onHoldAnswered(w, sentAt, answer);
        }
        w.holdAwaitsRecords = w.results().hasPending();
        if (newest) {
            boolean extend = isExtensionDue(w);
            boolean pause = w.holdAwaitsRecords && !state.needsFenceConfirmation(w) && !extend;
            w.nextHoldAt = pause ? now + holdPauseMillis(w) : now;
            if (extend) {
                // On a busy entry the next tick may come too late for a poll with a deadline.
                inheritedRuns.review(w);
                sendHold(w, now);
            }
        }
    }

    /**
     * Returns whether the next poll should extend the runs on the worker. Only a poll that follows an answer at once can
     * do so, since the worker may restart during a pause.
     */
    private boolean isExtensionDue(LiveWorker w) {
        return !w.tasks.isEmpty()
                && state.mayExtendRuns(w)
                && w.unextendedMillis(state.now()) >= EXTENSION_INTERVAL_MILLIS;
    }

    /** Returns the delay until the next hold while the worker's results are being saved. */
    private static long holdPauseMillis(LiveWorker w) {
        boolean mayEndSoon = !w.listed || w.facts().draining();
        return mayEndSoon ? HOLD_LEAVING_MILLIS : HOLD_WITH_ENDS_MILLIS;
    }

    /** Handles a hold that was rejected or not answered. */
    public void onHoldFailed(HoldOrder order, OrderOutcome outcome) {
        if (outcome == OrderOutcome.UNKNOWN && order.changesWorker()) {
            state.fences.supersede(order.worker().id(), order.fence());
        }
        if (outcome == OrderOutcome.UNKNOWN && order.deadlineMillis() > 0) {
            state.outstandingStarts.holdUnanswered(order, state.now());
        }
        LiveWorker w = state.workers.get(order.worker().id());
        if (w == null) {
            return;
        }
        if (w.holdCompleted(order)) {
            w.holdAwaitsRecords = false;
            if (outcome.isSilence()) {
                w.recordMissedResponse(Math.min(w.holdAnswerDueAt, state.now()));
            }
            // The next hold follows at once; it distinguishes a lost answer from an unreachable worker.
            boolean probeNow = w.isUnresponsive() && !w.isUnreachable();
            w.nextHoldAt = state.now() + (probeNow ? 0 : HOLD_RETRY_MILLIS);
        }
        if (outcome == OrderOutcome.OTHER_LIFE) {
            runs.workerLost(w, LossEvidence.OTHER_LIFE);
        } else if (outcome == OrderOutcome.FENCED && !state.wasFencedByOwnOrder(order.worker(), order.fence())) {
            state.port.ownershipLost(
                    "a hold was refused by the fence of " + order.worker().id());
        }
    }

    /** Handles records that have been saved. */
    public void onSaved(List<SchedulerPort.ProgressWrite> batch) {
        persistence.saved(batch);
        for (LiveWorker w : state.workers.values()) {
            if (w.holdAwaitsRecords && !w.results().hasPending()) {
                w.holdAwaitsRecords = false;
                w.nextHoldAt = Math.min(w.nextHoldAt, Math.max(state.now(), w.lastAnswerAt));
            }
        }
    }

    /** Handles records that may not have been saved; they are written again after {@code retryMillis}. */
    public void onSaveFailed(List<SchedulerPort.ProgressWrite> batch, long retryMillis) {
        persistence.failed(batch, retryMillis);
    }

    /** Handles records that the store rejects permanently. */
    public void onSaveRejected(List<SchedulerPort.ProgressWrite> batch) {
        persistence.rejected(batch);
    }

    /**
     * Starts the hand-over of the service: nothing more is placed, started or stopped, and all unsaved progress is
     * written at once. Only the results of workers that are leaving are still processed, since these may be gone before
     * the next owner polls them; all others report them again to the next owner, and are polled only to extend their
     * runs until then.
     */
    public void handOver() {
        handingOver = true;
        persistence.flushImmediately();
        state.workers.values().stream().filter(this::isLeaving).forEach(w -> w.nextHoldAt = state.now());
    }

    /** Returns whether all progress is durable. */
    public boolean isFullySaved() {
        return persistence.isFullySaved();
    }

    private boolean isLeaving(LiveWorker w) {
        return !w.listed
                || w.facts().draining()
                || state.evacuating.contains(w.facts().id());
    }

    /** Writes unsaved progress and does nothing else. */
    public void flush() {
        persistence.run();
    }

    /** Performs all work that is due. Call this after each event and every few dozen milliseconds. */
    public void tick() {
        if (handingOver) {
            inheritedRuns.run();
            runs.reviewCrashes();
            persistence.run();
            sendHolds();
            return;
        }
        runs.endOverdueStarts();
        inheritedRuns.run();
        dropWorkers();
        runs.reviewCrashes();
        state.updateColdWorkers();
        evacuator.run();
        cordons.run();
        stragglers.run();
        pacing.run();
        capacity.run();
        quotas.run();
        iterations.run();
        placement.run();
        persistence.run();
        runs.sendDueOrders();
        sendHolds();
    }

    private void dropWorkers() {
        long now = state.now();
        for (LiveWorker w : List.copyOf(state.workers.values())) {
            boolean isSilent = now - w.lastAnswerAt > state.timing.silentMillis();
            // A worker that this owner has not asked yet may be well, whatever the records of its tasks say.
            boolean wasAsked = w.wasReached() || state.isSilent(w);
            boolean isPastDeadlines = isSilent && wasAsked && now > w.allRunsEndedAt();
            if (isPastDeadlines && !w.tasks.isEmpty()) {
                runs.release(w, LossEvidence.PAST_DEADLINES, t -> state.mayRunUnknown(w, t));
            } else if (isPastDeadlines && !w.listed) {
                runs.workerLost(w, LossEvidence.PAST_DEADLINES);
            } else if (!w.listed && w.tasks.isEmpty() && now - w.unlistedSince > UNLISTED_KEEP_MILLIS) {
                state.note(SchedulerEvent.Kind.WORKER_GONE, w, "tasks=0 evidence=unlisted " + w.describe());
                state.fences.supersedeAll(w.facts().id());
                state.workers.remove(w.facts().id());
            }
        }
    }

    private void sendHolds() {
        long now = state.now();
        for (LiveWorker w : state.workers.values()) {
            boolean shouldPoll = !handingOver || isLeaving(w) || isExtensionDue(w);
            if (shouldPoll && !w.isHoldPending() && now >= w.nextHoldAt) {
                sendHold(w, now);
            }
        }
    }

    private void sendHold(LiveWorker w, long now) {
        if (w.facts().address().isEmpty()) {
            return;
        }
        long longPollMillis = w.tasks.isEmpty() ? state.timing.idleWaitMillis() : state.timing.busyWaitMillis();
        ExtensionHindrance hindrance = state.extensionHindrance(w);
        boolean immediate = hindrance == ExtensionHindrance.INCARNATION_UNCONFIRMED
                || state.needsFenceConfirmation(w)
                || w.isUnresponsive()
                || w.results().hasPending()
                || w.tasks.stream().anyMatch(t -> t.phase == Phase.STOPPING);
        long waitMillis = immediate ? 0 : longPollMillis;
        long deadline = hindrance == null ? w.deadlineIn(state.timing.holdMillis(), now) : 0;
        w.pollSent(hindrance, now);
        HoldOrder hold =
                new HoldOrder(w.facts(), deadline, w.acknowledgeableResult(now), waitMillis, state.nextFence(w));
        w.holdSent(hold, now + waitMillis);
        state.port.hold(hold);
    }

    /** Returns the report that the rest of the system gets on this service. */
    public ServiceReport report() {
        ServiceReport r = new ServiceReportBuilder(state, refusals).build();
        lastNeeded = r.needed();
        return r;
    }

    /** Returns what the jobs take in memory. */
    public MemoryUse memoryUse() {
        return new MemoryUse(state.jobs.size(), state.jobBytes(), iterations.tasks(), iterations.jobsWaiting());
    }

    /** Returns the tasks without a confirmed run, as of the last review. */
    public LoadSummary.Waits waits() {
        return runWaits.summary();
    }

    /** Returns a summary of the load, for the log. */
    public LoadSummary load() {
        return LoadSummary.of(state, lastNeeded, cordonWaits.load(), runWaits.summary());
    }

    /**
     * Finds the tasks without a confirmed run and notes the long-running ones among them whose wait is overdue. Call
     * this once a second; no decision depends on it.
     */
    public void reviewWaits() {
        if (!handingOver) {
            runWaits.review();
        }
        noteUnextendedRuns();
    }

    /** Notes the workers that answer while the deadline of their runs is not extended. */
    private void noteUnextendedRuns() {
        long now = state.now();
        state.workers.values().stream()
                .filter(w -> !w.tasks.isEmpty() && w.fenced && !state.isSilent(w))
                .filter(w -> w.unextendedMillis(now) > UNEXTENDED_NOTE_MILLIS)
                .limit(MAX_UNEXTENDED_NOTES)
                .forEach(w -> state.note(
                        SchedulerEvent.Kind.RUNS_NOT_EXTENDED,
                        w,
                        "tasks=" + w.tasks.size() + " " + w.describeExtension(now) + " " + w.describe()));
    }

    /**
     * Forgets the jobs that ended more than {@code millis} ago, are saved and have no tasks on workers, and returns
     * their keys.
     */
    public List<JobKey> forgetEnded(long millis) {
        long before = state.now() - millis;
        List<JobKey> expired = state.forgetOver(before);
        advisor.forgetEnded();
        state.outstandingStarts.forgetExpired(state.now());
        state.coldStarts.forgetExpired(state.now());
        return expired;
    }
}
