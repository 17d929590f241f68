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
import java.util.Set;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.capacity.ArrivalRate;
import org.lupinpaddle.core.capacity.ServiceReport;
import org.lupinpaddle.core.common.Clock;
import org.lupinpaddle.core.job.JobKey;
import org.lupinpaddle.core.job.JobProgress;
import org.lupinpaddle.core.job.JobSpec;
import org.lupinpaddle.core.job.JobState;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.job.TaskId;
import org.lupinpaddle.core.job.TaskRecord;
import org.lupinpaddle.core.placement.Resources;
import org.lupinpaddle.core.placement.WorkerFacts;
import org.lupinpaddle.core.run.LiveTask.Phase;
import org.lupinpaddle.core.workspace.QuotaTable;

/**
 * Runs the jobs of one service while its entry owns the service. It decides; its host carries orders out and
 * tells what became of them, all on one thread. Three things keep a task from running twice: a choice of
 * worker is durable, under the condition of ownership, before the start goes out; a worker refuses orders of
 * earlier owners once it has answered a hold of this one; and a task is placed again only when its last run
 * is proved to be over (see {@link RunTracker}).
 */
public final class ServiceScheduler {

    private static final long HOLD_RETRY_MILLIS = 250;
    // While ends are being made durable the next hold waits, but not longer than this: it also keeps tasks alive.
    private static final long HOLD_WITH_ENDS_MILLIS = 1_000;
    // One that leaves is asked again meanwhile: what it has listed for 100 ms counts as known here, and it may be gone
    // before the store has answered. Such a look is one call to the worker, a tenth of a second's worth of its notice.
    private static final long HOLD_LEAVING_MILLIS = 100;
    // A worker that the platform's list has dropped is kept for as long while it goes on answering.
    private static final long UNLISTED_KEEP_MILLIS = 3_000;

    private final ServiceState state;
    private final RunTracker runs;
    private final RestartTracker restarts;
    private final PlacementPass placement;
    private final Evacuator evacuator;
    private final StragglerPass stragglers;
    private final Advisor advisor;
    private final PacingPass pacing;
    private final RoomPass rooms;
    private final QuotaPass quotas;
    private final RecordPass records;
    private final long startedAt;
    private boolean handingOver;
    private int lastNeeded;

    /** Makes the scheduler of a service whose ownership has just been won. */
    public ServiceScheduler(String service, SchedulerTiming timing, SchedulerPort port, Clock steady, Clock wall) {
        this(service, timing, port, new QuotaTable(service), steady, wall);
    }

    /** Makes the scheduler with workspace quotas that the host maintains. */
    public ServiceScheduler(
            String service, SchedulerTiming timing, SchedulerPort port, QuotaTable quotas, Clock steady, Clock wall) {
        state = new ServiceState(service, timing, port, quotas, steady, wall);
        WorkerJudge judge = new WorkerJudge(state);
        advisor = new Advisor(state);
        pacing = new PacingPass(state);
        rooms = new RoomPass(state);
        this.quotas = new QuotaPass(state);
        records = new RecordPass(state);
        runs = new RunTracker(state, judge, advisor);
        restarts = new RestartTracker(state, runs, advisor);
        stragglers = new StragglerPass(state, judge);
        placement = new PlacementPass(state, advisor);
        evacuator = new Evacuator(state);
        startedAt = state.now();
    }

    /** Takes in a job, with what an earlier owner wrote of it, if anything; a job that is known is left alone. */
    public void onJob(JobSpec spec, @Nullable JobProgress progress) {
        if (state.jobs.containsKey(spec.key())) {
            return;
        }
        if (state.unreadableJobs.remove(spec.key().id())) {
            state.workers.values().forEach(w -> w.results().processRetainedAgain());
        }
        LiveJob job = new LiveJob(spec, state.quotas.of(spec.workspace()), state.times);
        state.add(job);
        noteArrival(job);
        if (progress != null) {
            job.restore(progress, state.now()).forEach(r -> recover(job, r));
        }
        if (job.state.ended()) {
            state.over(job);
        }
        boolean lasting = spec.steps().stream().anyMatch(StepSpec::longRunning);
        String shape = spec.steps().stream().map(StepSpec::shape).collect(Collectors.joining(","));
        String detail = "version=" + job.version + " objective-millis=" + job.objectiveMillis() + " lasting=" + lasting
                + " steps=" + shape;
        state.note(SchedulerEvent.Kind.JOB_TAKEN, job, job.state.name(), detail);
    }

    /**
     * Takes in that what the store says of a job can not be read. Unless the job is known, it is left alone: what it
     * runs is neither stopped nor begun anew, since it may have been done.
     */
    public void onUnreadableJob(JobKey key) {
        if (!state.jobs.containsKey(key)) {
            state.unreadableJobs.add(key.id());
        }
    }

    private void noteArrival(LiveJob job) {
        ArrivalRate.Work work = new ArrivalRate.Work();
        for (LiveStep s : job.steps) {
            if (s.time == 0 && !s.spec.longRunning()) {
                work.add(Resources.of(s.spec), s.spec.count(), state.expectedMillis(s));
            }
        }
        long age = Math.max(0, state.wallNow() - job.spec.acceptedMillis());
        state.arrivals.onJobAccepted(job.spec.key().queue(), state.now() - age, work);
    }

    private void recover(LiveJob job, TaskRecord r) {
        LiveTask t = job.task(new TaskId(r.time(), r.step(), r.index()));
        if (t == null) {
            return;
        }
        LiveWorker w = state.workerOrUnknown(r.worker(), startedAt + state.timing.inheritedMillis());
        t.worker = w;
        w.add(t);
        t.enter(Phase.RECOVERING, state.now());
        // Any hold of this owner comes after all that an earlier one could have ordered.
        t.provenFrom = startedAt - 1;
        t.inherited = true;
        if (job.state.ended()) {
            state.stop(t, "job-" + job.state);
        } else if (t.finished) {
            state.stop(t, "done, by an earlier owner's record");
        }
    }

    /** Takes in that a caller has cancelled a job. */
    public void onCancel(JobKey key) {
        // Whatever its records say, nothing of a cancelled job is to run on.
        if (state.unreadableJobs.remove(key.id())) {
            state.workers.values().forEach(w -> w.results().processRetainedAgain());
        }
        LiveJob job = state.jobs.get(key);
        if (job != null && !job.state.ended()) {
            state.end(job, JobState.CANCELLED, "the caller cancelled it");
        }
    }

    /** Takes in which workers the platform lists for this service now. */
    public void onWorkers(Collection<WorkerFacts> listed) {
        long now = state.now();
        Map<String, WorkerFacts> byId = new HashMap<>();
        // An entry that does not say where its worker is leaves what is known of it: it is asked as before.
        listed.stream().filter(f -> !f.address().isEmpty()).forEach(f -> byId.put(f.id(), f));
        byId.forEach((id, f) -> {
            LiveWorker w = state.workers.computeIfAbsent(
                    id, i -> new LiveWorker(f, startedAt + state.timing.inheritedMillis()));
            restarts.onListed(w, f);
        });
        state.workers.values().stream()
                .filter(w -> !byId.containsKey(w.facts().id()))
                .forEach(w -> w.unlist(now));
    }

    /** Takes in since when what is known of workers and of cancellations may be out of date; with old news nothing is placed. */
    public void onWorkersKnown(long since) {
        state.workersKnownAt = Math.max(state.workersKnownAt, since);
    }

    /** Returns whether tasks wait for a worker that does not answer: the list of instances may tell of its end. */
    public boolean missesWorkers() {
        return state.workers.values().stream().anyMatch(this::keepsTasksWaiting);
    }

    private boolean keepsTasksWaiting(LiveWorker w) {
        return !w.tasks.isEmpty() && state.isMissed(w);
    }

    /**
     * Takes in which workers live on instances that are up, by the platform's own list as it was asked for at
     * {@code askedAt}. One that was missed by then and lives on none is over, whatever deadline it had. The list lags, but
     * by less than a worker must be silent.
     */
    public void onLiving(Set<String> workers, long askedAt) {
        for (LiveWorker w : List.copyOf(state.workers.values())) {
            if (!w.tasks.isEmpty()
                    && state.wasMissed(w, askedAt)
                    && !workers.contains(w.facts().id())
                    && !mayHaveStartedAgain(w)) {
                runs.workerLost(w, LossEvidence.NOT_LIVING);
            }
        }
    }

    /**
     * Returns whether a later life, which began after the platform's list was made, may be at work under the worker's id: its
     * entry says so, or a start is under way that such a life takes for its own. The answer to that start or to the next poll
     * tells.
     */
    private static boolean mayHaveStartedAgain(LiveWorker w) {
        return w.hasEntryOfOtherLife() || w.tasks.stream().anyMatch(t -> t.phase == Phase.STARTING && t.orderInFlight);
    }

    /** Takes in which workers are to be emptied, and those of them that other work waits for. */
    public void onEvacuations(Set<String> workers, Set<String> urgent) {
        state.evacuating.stream()
                .filter(w -> !workers.contains(w))
                .map(state.workers::get)
                .filter(Objects::nonNull)
                .forEach(LiveWorker::mustAnswerAgain);
        state.evacuating.clear();
        state.evacuating.addAll(workers);
        state.urgentlyEvacuating.clear();
        state.urgentlyEvacuating.addAll(urgent);
    }

    /** Takes in what became of a start. */
    public void onStarted(StartOrder order, OrderOutcome outcome) {
        runs.onStarted(order, outcome);
    }

    /** Takes in what became of a stop. */
    public void onStopped(StopOrder order, OrderOutcome outcome) {
        runs.onStopped(order, outcome);
    }

    /** Takes in what became of an order to pace a run. */
    public void onPaced(PaceOrder order, OrderOutcome outcome) {
        pacing.onPaced(order, outcome);
    }

    /** Takes in which workers may run a step; null when there was no answer. */
    public void onAdvised(AdviceOrder order, @Nullable AdviceAnswer answer) {
        LiveJob job = state.jobs.get(order.step().job());
        if (job != null) {
            advisor.onAdvised(job.step(order.step().repetition(), order.step().step()), order, answer);
        }
    }

    /** Takes in a worker's answer to a hold that was sent at {@code sentAt}. */
    public void onHeld(HoldOrder order, long sentAt, HoldAnswer answer) {
        LiveWorker known = state.workers.get(order.worker().id());
        LiveWorker w = known == null ? null : restarts.onAnswer(known, sentAt, answer);
        if (w == null) {
            runs.onLateAnswer(answer);
            return;
        }
        long now = state.now();
        boolean newest = w.pollEnded(order);
        boolean overtaken = w.isOvertaken(answer.clockMillis(), sentAt);
        if (overtaken) {
            w.responded(now);
        } else {
            w.answered(answer.clockMillis(), now);
        }
        if (handingOver && !leaves(w)) {
            return;
        }
        if (overtaken) {
            runs.processResults(w, answer);
        } else {
            runs.onHeld(w, sentAt, answer);
        }
        w.holdAwaitsRecords = w.results().hasPending();
        if (newest) {
            w.holdDueAt = w.holdAwaitsRecords ? now + pauseMillis(w) : now;
        }
    }

    /** Returns how long a worker is left alone while its ends are being made durable. */
    private static long pauseMillis(LiveWorker w) {
        boolean mayBeGone = !w.listed || w.facts().draining();
        return mayBeGone ? HOLD_LEAVING_MILLIS : HOLD_WITH_ENDS_MILLIS;
    }

    /** Takes in that a hold was refused or not answered. */
    public void onHoldFailed(HoldOrder order, OrderOutcome outcome) {
        LiveWorker w = state.workers.get(order.worker().id());
        if (w == null) {
            return;
        }
        if (w.pollEnded(order)) {
            w.holdAwaitsRecords = false;
            if (outcome.isSilence()) {
                w.unanswered(Math.min(w.holdAnswerDueAt, state.now()));
            }
            // The look that tells a lost answer from a worker out of reach follows at once.
            boolean looks = w.isDoubted() && !w.isOutOfReach();
            w.holdDueAt = state.now() + (looks ? 0 : HOLD_RETRY_MILLIS);
        }
        if (outcome == OrderOutcome.OTHER_LIFE) {
            runs.workerLost(w, LossEvidence.OTHER_LIFE);
        } else if (outcome == OrderOutcome.FENCED) {
            state.port.ownershipLost(
                    "a hold was refused by the fence of " + order.worker().id());
        }
    }

    /** Takes in that records are durable. */
    public void onSaved(List<SchedulerPort.Saving> batch) {
        records.saved(batch);
        for (LiveWorker w : state.workers.values()) {
            if (w.holdAwaitsRecords && !w.results().hasPending()) {
                w.holdAwaitsRecords = false;
                w.holdDueAt = Math.min(w.holdDueAt, Math.max(state.now(), w.lastAnswerAt));
            }
        }
    }

    /** Takes in that records may not be durable; they are written again after a time. */
    public void onSaveFailed(List<SchedulerPort.Saving> batch, long retryMillis) {
        records.failed(batch, retryMillis);
    }

    /** Takes in that the store will never take these records as they are. */
    public void onSaveRejected(List<SchedulerPort.Saving> batch) {
        records.rejected(batch);
    }

    /**
     * Begins to hand the service over: nothing is placed, started or stopped from now on, and all that is known here alone is
     * written at once. Of workers only those are listened to that leave: they may be gone before the next owner asks them,
     * while all others tell their ends again to whoever follows.
     */
    public void handOver() {
        handingOver = true;
        records.hurry();
        state.workers.values().stream().filter(this::leaves).forEach(w -> w.holdDueAt = state.now());
    }

    /** Returns whether all that this owner knows alone is durable. */
    public boolean isWritten() {
        return records.isWritten();
    }

    private boolean leaves(LiveWorker w) {
        return !w.listed
                || w.facts().draining()
                || state.evacuating.contains(w.facts().id());
    }

    /** Writes what is not durable yet, and does nothing else. */
    public void writeRest() {
        records.run();
    }

    /** Does all that is due. Call after each event, and every few dozen milliseconds. */
    public void tick() {
        if (handingOver) {
            records.run();
            sendHolds();
            return;
        }
        dropWorkers();
        evacuator.run();
        stragglers.run();
        pacing.run();
        rooms.run();
        quotas.run();
        placement.run();
        records.run();
        runs.sendDueOrders();
        sendHolds();
    }

    private void dropWorkers() {
        long now = state.now();
        for (LiveWorker w : List.copyOf(state.workers.values())) {
            boolean silent = now - w.lastAnswerAt > state.timing.silentMillis();
            if (silent && now > w.emptyAt() && (!w.tasks.isEmpty() || !w.listed)) {
                freeOrForget(w);
            } else if (!w.listed && w.tasks.isEmpty() && now - w.unlistedSince > UNLISTED_KEEP_MILLIS) {
                state.note(SchedulerEvent.Kind.WORKER_GONE, w, "tasks=0 evidence=unlisted " + w.describe());
                state.workers.remove(w.facts().id());
            }
        }
    }

    private void freeOrForget(LiveWorker w) {
        boolean keep = w.listed;
        runs.workerLost(w, LossEvidence.PAST_DEADLINES);
        if (keep) {
            LiveWorker again = new LiveWorker(w.facts(), state.now());
            again.continueLife(w);
            state.workers.put(w.facts().id(), again);
        }
    }

    private void sendHolds() {
        long now = state.now();
        for (LiveWorker w : state.workers.values()) {
            boolean asked = !handingOver || leaves(w);
            if (!asked
                    || w.isPolled()
                    || now < w.holdDueAt
                    || w.facts().address().isEmpty()) {
                continue;
            }
            long wait = w.tasks.isEmpty() ? state.timing.idleWaitMillis() : state.timing.busyWaitMillis();
            boolean known = w.isKnownToLive(now);
            boolean look = !known
                    || w.isDoubted()
                    || w.results().hasPending()
                    || w.tasks.stream().anyMatch(t -> t.phase == Phase.STOPPING);
            long waits = look ? 0 : wait;
            long deadline = known ? w.deadlineIn(state.timing.holdMillis(), now) : 0;
            HoldOrder poll = new HoldOrder(w.facts(), deadline, w.acknowledgeable(now), waits);
            w.polled(poll, now + waits);
            state.port.hold(poll);
        }
    }

    /** Returns what the rest of the system is to know of this service. */
    public ServiceReport report() {
        ServiceReport r = new DemandReport(state).make();
        lastNeeded = r.needed();
        return r;
    }

    /** Returns how much there is to do and with what, for the log. */
    public LoadSummary load() {
        return LoadSummary.of(state, lastNeeded);
    }

    /** Returns the jobs that ended longer ago than {@code millis} and hold nothing on workers; they are forgotten. */
    public List<JobKey> forgetEnded(long millis) {
        long before = state.now() - millis;
        List<LiveJob> old = state.jobs.values().stream()
                .filter(j -> j.state.ended() && j.endedAt < before && !j.onWorkers() && j.savedVersion >= j.version)
                .toList();
        old.forEach(state::remove);
        advisor.forgetEnded();
        state.openStarts.forgetOld(state.now());
        return old.stream().map(j -> j.spec.key()).toList();
    }
}
