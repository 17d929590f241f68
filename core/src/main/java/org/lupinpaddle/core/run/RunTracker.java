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
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.lupinpaddle.core.job.EndKind;
import org.lupinpaddle.core.job.JobState;
import org.lupinpaddle.core.run.LiveTask.Phase;

/**
 * Follows each run from its start to its end by what workers answer. A task is free to run elsewhere only
 * when its run is proved to be over: its end is listed, or it was stopped and a later look does not show it,
 * or nothing can be alive on its worker any more.
 */
final class RunTracker {

    // An order without an answer is sent again after this; workers answer within 10 ms as a rule.
    private static final long RESEND_MILLIS = 200;
    private static final int MOST_UNANSWERED_STARTS = 4;
    // A worker without room sees more of it as soon as one of its tasks ends.
    private static final long NO_ROOM_AVOID_MILLIS = 300;
    private static final long UNHEALTHY_AVOID_MILLIS = 1_000;
    // A line of the log stays readable, and one that is searched for is found as a rule.
    private static final int MOST_RESULTS_LOGGED = 8;

    private final ServiceState state;
    private final WorkerJudge judge;
    private final CrashJudge crashes;
    private final Advisor advisor;

    RunTracker(ServiceState state, WorkerJudge judge, Advisor advisor) {
        this.state = state;
        this.judge = judge;
        this.crashes = new CrashJudge(state);
        this.advisor = advisor;
    }

    void sendDueOrders() {
        long now = state.now();
        state.workers.values().stream().filter(LiveWorker::isKnownToDrain).forEach(this::withdrawStarts);
        state.workers.values().stream().filter(LiveWorker::isDoubted).forEach(this::takeBackUnsent);
        // Orders end later, so nothing here changes which tasks a worker has.
        for (LiveWorker w : state.workers.values()) {
            state.openStarts.due(w.facts(), now).forEach(o -> refuse(w, o));
            for (LiveTask t : w.tasks) {
                if (t.phase != Phase.RUNNING) {
                    sendDue(w, t, now);
                }
            }
        }
    }

    /**
     * Stops unconfirmed starts on a draining worker instead of repeating them, since a repeated start could arrive after the
     * short period in which the worker may still accept one.
     */
    private void withdrawStarts(LiveWorker w) {
        for (LiveTask t : List.copyOf(w.tasks)) {
            boolean isPlacedGang = t.phase == Phase.PLACED && t.step.gang();
            if (isPlacedGang || (t.phase == Phase.STARTING && !t.orderInFlight)) {
                state.stopWithGang(t, "worker-drains");
            }
        }
    }

    /** Lets tasks go elsewhere that were chosen for a worker which has fallen silent before their starts went out. */
    private void takeBackUnsent(LiveWorker w) {
        for (LiveTask t : List.copyOf(w.tasks)) {
            if (t.phase == Phase.PLACED) {
                takeBack(t, "worker-silent");
            }
        }
    }

    private void refuse(LiveWorker w, StopOrder o) {
        String run = o.jobId() + "." + o.task() + "/" + o.run();
        state.note(SchedulerEvent.Kind.STOP_ORDERED, w, "start-open-at-restart=" + run);
        state.port.stop(o);
    }

    private void sendDue(LiveWorker w, LiveTask t, long now) {
        if (t.phase == Phase.PLACED && t.job.savedVersion >= t.placedVersion && state.knowsWorkers()) {
            startOrProbe(w, t, now);
        }
        if (t.orderInFlight || now < t.orderDueAt || w.facts().address().isEmpty()) {
            return;
        }
        if (t.phase == Phase.STARTING && t.unanswered > 0 && state.isMissed(w)) {
            // The platform's list may tell meanwhile that it is lost, unless a start is under way to its next life.
            return;
        }
        if (t.phase == Phase.STARTING) {
            t.orderInFlight = true;
            t.orderSentAt = now;
            state.port.start(new StartOrder(
                    w.facts(),
                    t.job.spec.key().id(),
                    t.id,
                    t.run,
                    t.job.spec.text(),
                    w.deadlineIn(state.timing.holdMillis(), now),
                    t.checkpoint,
                    t.ticket));
        } else if (t.phase == Phase.STOPPING && t.provenFrom == Long.MAX_VALUE) {
            t.orderInFlight = true;
            state.port.stop(new StopOrder(w.facts(), t.job.spec.key().id(), t.id, t.run));
        }
    }

    /**
     * Makes sure that a worker still answers before it is given a suspect, which would be blamed otherwise for a crash that came
     * before its start. A stop of the run before has no other effect than to refuse late starts of it.
     */
    private void startOrProbe(LiveWorker w, LiveTask t, long now) {
        if (!t.suspicion.isSuspect() || w.hasJustResponded(now)) {
            t.enter(Phase.STARTING, now);
        } else if (!t.probeInFlight && !w.facts().address().isEmpty()) {
            t.probeInFlight = true;
            t.orderSentAt = now;
            state.port.stop(new StopOrder(w.facts(), t.job.spec.key().id(), t.id, t.run - 1));
        }
    }

    private void probed(LiveTask t, LiveWorker w, OrderOutcome outcome) {
        t.probeInFlight = false;
        if (outcome.isSilence()) {
            w.unanswered(t.orderSentAt);
        } else {
            w.responded(state.now());
        }
    }

    void onStarted(StartOrder order, OrderOutcome outcome) {
        LiveTask t = state.task(order.jobId(), order.task());
        boolean wanted = t != null && t.worker != null && t.run == order.run();
        if (outcome == OrderOutcome.UNKNOWN) {
            state.openStarts.unanswered(order, wanted, state.now());
            expectLateAtNextLife(order);
        }
        if (t == null || t.worker == null || !wanted) {
            return;
        }
        t.orderInFlight = false;
        if (outcome.isSilence()) {
            t.worker.unanswered(t.orderSentAt);
        } else {
            t.worker.responded(state.now());
        }
        if (outcome == OrderOutcome.FENCED) {
            state.port.ownershipLost(
                    "a start was refused by the fence of " + order.worker().id());
        } else if (outcome == OrderOutcome.OTHER_LIFE) {
            otherLifeStarted(t, t.worker);
        } else if (t.phase == Phase.STARTING) {
            startAnswered(t, t.worker, outcome);
        }
    }

    /** Takes in that a start without an answer may reach a later life than it was meant for, with a deadline by another clock. */
    private void expectLateAtNextLife(StartOrder order) {
        LiveWorker w = state.workers.get(order.worker().id());
        if (w != null && w.incarnation().isKnownToDifferFrom(order.worker().incarnation())) {
            state.expectOtherClocks(
                    w, state.openStarts.lastCarriedOutBy(order.worker().id(), state.now()));
        }
    }

    /** The first order for a run has reached another life: its own worker never had it, and has not crashed under it. */
    private void otherLifeStarted(LiveTask t, LiveWorker w) {
        if (t.phase == Phase.STARTING && t.unanswered == 0) {
            free(t, Phase.WAITING);
            stopOthersOfGang(t);
        }
        workerLost(w, LossEvidence.OTHER_LIFE);
    }

    private void startAnswered(LiveTask t, LiveWorker w, OrderOutcome outcome) {
        long now = state.now();
        state.note(SchedulerEvent.Kind.START_ANSWERED, t, outcome.name(), "unanswered=" + t.unanswered);
        if (outcome == OrderOutcome.ACCEPTED) {
            begun(t, now);
        } else if (outcome == OrderOutcome.UNKNOWN) {
            t.unanswered++;
            t.orderDueAt = now + RESEND_MILLIS;
            if (t.unanswered >= MOST_UNANSWERED_STARTS) {
                state.stop(t, "start-unanswered");
                stopOthersOfGang(t);
            }
        } else if (t.unanswered > 0) {
            // An earlier try may still be carried out; only a stop closes this run for good.
            state.stop(t, "start-refused-after-silence");
            stopOthersOfGang(t);
        } else {
            refused(t, w, outcome);
        }
    }

    private void refused(LiveTask t, LiveWorker w, OrderOutcome outcome) {
        long now = state.now();
        switch (outcome) {
            case NO_TICKET -> advisor.onTicketRefused(t.of, w);
            case NO_ROOM -> w.avoidUntil = now + NO_ROOM_AVOID_MILLIS;
            default -> w.avoidUntil = now + UNHEALTHY_AVOID_MILLIS;
        }
        if (outcome == OrderOutcome.MALFORMED) {
            t.failures++;
        }
        free(t, Phase.WAITING);
        stopOthersOfGang(t);
        failIfExhausted(t);
    }

    /** Without one member the others would hold their room and do nothing. */
    void stopOthersOfGang(LiveTask t) {
        if (t.step.gang()) {
            endGang(t, false);
        }
    }

    /** Takes a choice back that has not gone out; a gang starts as a whole or not at all. */
    void takeBack(LiveTask t, String why) {
        state.stop(t, why);
        state.changed(t.job);
        stopOthersOfGang(t);
    }

    private void begun(LiveTask t, long now) {
        t.paceInherited = t.phase == Phase.RECOVERING;
        t.begunAfresh = t.phase == Phase.STARTING && t.checkpoint.isEmpty();
        t.enter(Phase.RUNNING, now);
        t.provenFrom = now;
        t.begunAt = now;
        t.movedAt = now;
        t.unmovedAnswers = 0;
        state.begun(t.job);
    }

    void onStopped(StopOrder order, OrderOutcome outcome) {
        if (!outcome.isSilence()) {
            state.openStarts.refused(order);
        }
        LiveTask t = state.task(order.jobId(), order.task());
        if (t == null || t.worker == null) {
            return;
        }
        if (t.probeInFlight && order.run() == t.run - 1) {
            probed(t, t.worker, outcome);
        } else if (t.run == order.run() && t.phase == Phase.STOPPING) {
            stopAnswered(t, t.worker, outcome);
        } else {
            return;
        }
        if (outcome == OrderOutcome.FENCED) {
            state.port.ownershipLost(
                    "a stop was refused by the fence of " + order.worker().id());
        } else if (outcome == OrderOutcome.OTHER_LIFE) {
            workerLost(t.worker, LossEvidence.OTHER_LIFE);
        }
    }

    private void stopAnswered(LiveTask t, LiveWorker w, OrderOutcome outcome) {
        t.orderInFlight = false;
        switch (outcome) {
            case FENCED, OTHER_LIFE -> {}
            case ACCEPTED, OLD_RUN -> {
                t.provenFrom = state.now();
                w.holdDueAt = Math.min(w.holdDueAt, state.now());
            }
            case LATE, NO_ROOM, NO_TICKET, UNHEALTHY, MALFORMED, NOT_SENT, UNKNOWN ->
                t.orderDueAt = state.now() + RESEND_MILLIS;
        }
    }

    void onHeld(LiveWorker w, long sentAt, HoldAnswer answer) {
        Set<LiveTask> shown = new HashSet<>();
        w.runsUnreadableJobs = false;
        answer.running().forEach(r -> running(w, r, shown));
        processResults(w, answer);
        if (answer.mayHaveMoreEnds()) {
            return;
        }
        for (LiveTask t : new ArrayList<>(w.tasks)) {
            // Not within one millisecond: the hold may have reached the worker before the order did.
            if (!shown.contains(t) && t.provenFrom < sentAt) {
                notShown(w, t);
            }
        }
    }

    /** Takes in the results of an answer; what it shows as running may have ended since, where a newer one has overtaken it. */
    void processResults(LiveWorker w, HoldAnswer answer) {
        List<EndReport> others = new ArrayList<>();
        for (EndReport e : w.results().newResults(answer)) {
            ended(w, e, others);
            w.results().processed(e.number());
        }
        logOtherResults(w, others);
    }

    /** Takes in what was done on a worker that was taken to be over before its last answer arrived. */
    void onLateAnswer(HoldAnswer answer) {
        for (EndReport e : answer.ended()) {
            LiveTask t = state.task(e.jobId(), e.task());
            if (t != null && finishesUndone(t, e)) {
                doneByOlderRun(t);
            }
        }
    }

    private static boolean finishesUndone(LiveTask t, EndReport e) {
        return e.kind().finishes() && !t.step.longRunning() && t.phase != Phase.DONE;
    }

    private void running(LiveWorker w, RunningReport r, Set<LiveTask> shown) {
        LiveTask t = state.task(r.jobId(), r.task());
        if (t == null && state.unreadableJobs.contains(r.jobId())) {
            w.runsUnreadableJobs = true;
            return;
        }
        if (t != null && isWaitingRun(t, r)) {
            adopt(w, t);
        }
        if (t == null || t.worker != w || t.run != r.run()) {
            state.note(
                    SchedulerEvent.Kind.STOP_ORDERED, w, "unknown-run=" + r.jobId() + "." + r.task() + "/" + r.run());
            state.port.stop(new StopOrder(w.facts(), r.jobId(), r.task(), r.run()));
            return;
        }
        shown.add(t);
        if (t.isOfEarlierLife()) {
            // Its start carried a deadline by the clock of the life that it was meant for.
            state.expectOtherClocks(w, state.now());
        }
        t.incarnation = w.incarnation();
        t.load = r.load();
        if (r.percent() != t.percent) {
            t.percent = r.percent();
            t.movedAt = state.now();
            t.unmovedAnswers = 0;
        } else {
            t.unmovedAnswers++;
        }
        if (!r.checkpoint().isEmpty()) {
            t.checkpoint = r.checkpoint();
        }
        if (t.phase == Phase.STARTING || t.phase == Phase.RECOVERING) {
            begun(t, state.now());
        }
    }

    /** Returns whether a task waits for a new run while its last one, which was given up for lost, is alive after all. */
    private static boolean isWaitingRun(LiveTask t, RunningReport r) {
        return t.phase == Phase.WAITING && t.run == r.run() && !t.step.gang() && !t.job.state.ended();
    }

    private void adopt(LiveWorker w, LiveTask t) {
        state.note(SchedulerEvent.Kind.RUN_FOUND, t, "", "worker=" + w.facts().id());
        t.worker = w;
        w.add(t);
        begun(t, state.now());
        state.changed(t.job);
    }

    private void notShown(LiveWorker w, LiveTask t) {
        if (t.isOfEarlierLife()) {
            LossLog.Loss loss = w.lossOfEarlierLife(state.now());
            List<CrashJudge.Suspect> suspects = crashes.suspects(List.of(t), loss);
            loseRun(t, LossEvidence.RESTARTED);
            crashes.onLost(w, LossEvidence.RESTARTED, loss, suspects);
        } else if (t.phase == Phase.RUNNING) {
            // Not known to happen; a stop makes sure before the task runs elsewhere.
            state.stop(t, "run-vanished");
        } else if (t.phase == Phase.STOPPING || t.phase == Phase.RECOVERING) {
            state.note(
                    SchedulerEvent.Kind.RUN_ENDED,
                    t,
                    "NEVER_BEGAN",
                    "proven-since-millis=" + (state.now() - t.provenFrom));
            free(t, t.finished ? Phase.DONE : Phase.WAITING);
            completeIfDone(t.job);
        }
    }

    /** One line an answer, however many there are: a new owner is told hundreds that others have taken in. */
    private void logOtherResults(LiveWorker w, List<EndReport> others) {
        if (others.isEmpty()) {
            return;
        }
        String some = others.stream()
                .limit(MOST_RESULTS_LOGGED)
                .map(e -> e.number() + ":" + e.jobId() + "." + e.task() + "/" + e.run() + ":" + e.kind())
                .collect(Collectors.joining(","));
        state.note(SchedulerEvent.Kind.OTHER_ENDS_TOLD, w, "count=" + others.size() + " ends=" + some);
    }

    /** Takes an end in; one that is not of its task's newest run is added to {@code others}. */
    private void ended(LiveWorker w, EndReport e, List<EndReport> others) {
        LiveTask t = state.task(e.jobId(), e.task());
        if (t == null) {
            others.add(e);
            if (state.unreadableJobs.contains(e.jobId())) {
                w.results().retain(e.number());
            }
            return;
        }
        if (t.worker == w && t.run == e.run()) {
            apply(w, t, e);
        } else {
            others.add(e);
            if (finishesUndone(t, e)) {
                // An older run did the work after all: nothing is to run it again.
                doneByOlderRun(t);
            }
        }
        // Also where nothing is left to do: it may have been taken in before, and its record be under way.
        w.results().awaitDurable(e.number(), t.job, t.job.version);
    }

    private void doneByOlderRun(LiveTask t) {
        state.finish(t, "an older run ended done");
        completeIfDone(t.job);
    }

    private void apply(LiveWorker w, LiveTask t, EndReport e) {
        state.note(SchedulerEvent.Kind.RUN_ENDED, t, e.kind().name(), detail(t, e));
        if (!e.checkpoint().isEmpty()) {
            t.checkpoint = e.checkpoint();
        }
        state.begun(t.job);
        judge.onEnd(w, t, e.kind());
        learn(t, e.kind());
        if (e.kind().countsAsAttempt()) {
            countFailure(w, t);
        }
        boolean done = t.finished || (e.kind().finishes() && !t.step.longRunning());
        free(t, done ? Phase.DONE : Phase.WAITING);
        if (t.of.isDone()) {
            state.times.learnSpread(t.job.spec.key().queue(), t.of.spread());
        }
        if (t.step.gang()) {
            endGang(t, done);
        }
        failIfExhausted(t);
        completeIfDone(t.job);
    }

    private String detail(LiveTask t, EndReport e) {
        String times = t.begunAt == Long.MAX_VALUE
                ? ""
                : " took-millis=" + (state.now() - t.begunAt) + " expected-millis=" + state.expectedMillis(t.of);
        return "number=" + e.number() + " attempts=" + t.failures + times;
    }

    private void learn(LiveTask t, EndKind kind) {
        if (kind.finishes() && t.begunAfresh && t.begunAt != Long.MAX_VALUE) {
            long took = Math.max(1, state.now() - t.begunAt);
            state.times.learn(t.job.spec.key().queue(), took);
            t.of.learn(took);
        }
    }

    private void countFailure(LiveWorker w, LiveTask t) {
        boolean counted = t.step.gang() && t.of.tasks.stream().anyMatch(m -> m != t && m.lastFailedRun == t.run);
        t.lastFailedRun = t.run;
        if (!counted) {
            t.failures++;
        }
        t.failedOn(w, state.now());
        if (t.step.longRunning()) {
            t.orderDueAt = state.now() + LastingRetry.delayMillis(t.failures);
        }
    }

    private void endGang(LiveTask t, boolean done) {
        for (LiveTask m : t.of.tasks) {
            if (m == t) {
                continue;
            }
            if (!done) {
                state.stop(m, "gang-member-ended");
            } else if (m.phase.onWorker()) {
                m.finished = true;
                state.stop(m, "gang-done");
            } else {
                m.enter(Phase.DONE, state.now());
            }
        }
    }

    private void failIfExhausted(LiveTask t) {
        int failures =
                t.step.gang() ? t.of.tasks.stream().mapToInt(m -> m.failures).sum() : t.failures;
        if (!t.step.longRunning()
                && !t.job.state.ended()
                && failures >= t.job.spec.policy().maxAttempts()) {
            state.end(t.job, JobState.FAILED, "task " + t.id + " failed " + failures + " times");
        }
    }

    private void completeIfDone(LiveJob job) {
        if (!job.state.ended() && job.allDone()) {
            state.end(job, JobState.COMPLETED, "");
        }
    }

    /** Takes a task off its worker; the change becomes durable with the job's next record. */
    private void free(LiveTask t, Phase next) {
        long notBefore = t.orderDueAt;
        t.leaveWorker(next, state.now());
        t.orderDueAt = t.step.longRunning() ? Math.max(notBefore, state.now()) : state.now();
        t.orderInFlight = false;
        state.changed(t.job);
    }

    /** Frees all tasks of a worker on which nothing can be alive any more. */
    void workerLost(LiveWorker w, LossEvidence evidence) {
        String detail = "tasks=" + w.tasks.size() + " evidence=" + evidence + " " + w.describe();
        state.note(SchedulerEvent.Kind.WORKER_GONE, w, detail);
        state.workers.remove(w.facts().id());
        w.over = evidence.provesEnd();
        LossLog.Loss loss = LossLog.Loss.of(w, state.now());
        state.losses.add(loss);
        List<CrashJudge.Suspect> suspects = crashes.suspects(w.tasks, loss);
        for (LiveTask t : new ArrayList<>(w.tasks)) {
            loseRun(t, evidence);
        }
        crashes.onLost(w, evidence, loss, suspects);
    }

    private void loseRun(LiveTask t, LossEvidence evidence) {
        state.note(SchedulerEvent.Kind.RUN_ENDED, t, EndKind.WORKER_LOST.name(), "evidence=" + evidence);
        free(t, t.finished ? Phase.DONE : Phase.WAITING);
        stopOthersOfGang(t);
        completeIfDone(t.job);
    }
}
