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
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.lupinpaddle.core.job.EndKind;
import org.lupinpaddle.core.job.JobState;
import org.lupinpaddle.core.run.LiveTask.Phase;

/**
 * Tracks each run from start to end by the answers of workers. A task may run elsewhere only when its run is proven
 * to have ended: its result is listed, or it was stopped and a later hold does not list it, or nothing can be running
 * on its worker any more.
 */
final class RunTracker {

    // Delay before an unanswered order is repeated; workers usually answer within 10 ms.
    private static final long RESEND_MILLIS = 200;
    private static final int MAX_UNANSWERED_STARTS = 4;
    // About as long as unanswered starts are repeated while the view of the cordons is current.
    private static final long MAX_INCOMPLETE_GANG_MILLIS = 1_000;
    // A worker without room gains some as soon as one of its tasks ends.
    private static final long NO_ROOM_AVOID_MILLIS = 300;
    private static final long UNHEALTHY_AVOID_MILLIS = 1_000;
    // Limits the length of a log line; most searches still find their entry.
    private static final int MAX_RESULTS_LOGGED = 8;

    private final ServiceState state;
    private final FaultyWorkerDetector faultyWorkers;
    private final CrashTracker crashes;
    private final Advisor advisor;

    RunTracker(ServiceState state, FaultyWorkerDetector faultyWorkers, Advisor advisor) {
        this.state = state;
        this.faultyWorkers = faultyWorkers;
        this.crashes = new CrashTracker(state);
        this.advisor = advisor;
    }

    /** Treats starts whose calls have not ended in time as unanswered. */
    void endOverdueStarts() {
        state.outstandingStarts
                .overdue(state.now())
                .forEach(order -> onStarted(order, OrderOutcome.UNKNOWN, OptionalLong.empty()));
    }

    /** Reviews the crashes counted so far in the light of the workers lost since. */
    void reviewCrashes() {
        crashes.review();
    }

    void sendDueOrders() {
        long now = state.now();
        state.workers.values().stream().filter(LiveWorker::isDraining).forEach(this::withdrawStarts);
        state.workers.values().stream().filter(LiveWorker::isUnresponsive).forEach(this::withdrawUnsentPlacements);
        state.workers.values().stream().filter(LiveWorker::areStartsLimited).forEach(this::withdrawExcessPlacements);
        if (!state.cordons.isCurrent(now)) {
            List.copyOf(state.workers.values()).forEach(this::stopIncompleteGangs);
        }
        // Order outcomes arrive later, so the tasks of a worker do not change during this loop.
        for (LiveWorker w : state.workers.values()) {
            for (LiveTask t : w.tasks) {
                if (t.phase != Phase.RUNNING) {
                    sendDueOrder(w, t, now);
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
            if (isPlacedGang || t.hasStartToSend()) {
                state.stopWithGang(t, "worker-drains");
            }
        }
    }

    /** Withdraws placements whose starts had not been sent when the worker became silent. */
    private void withdrawUnsentPlacements(LiveWorker w) {
        for (LiveTask t : List.copyOf(w.tasks)) {
            if (t.phase == Phase.PLACED) {
                withdrawPlacement(t, "worker-silent");
            }
        }
    }

    /**
     * Withdraws placements beyond the one whose start the rate limit permits. There are some only if the worker has
     * become cold, or the limit has been lowered, since they were made.
     */
    private void withdrawExcessPlacements(LiveWorker w) {
        boolean permitted = !w.areStartsHeldBack() && !w.hasStartToRepeat();
        for (LiveTask t : List.copyOf(w.tasks)) {
            if (t.phase == Phase.PLACED && !permitted) {
                withdrawPlacement(t, "worker-cold");
            }
            permitted &= t.phase != Phase.PLACED;
        }
    }

    /**
     * Stops gangs that run without a member whose start has been held back for a while because the view of the cordons
     * is not current. Otherwise the others would occupy their workers without progress until it is current again.
     */
    private void stopIncompleteGangs(LiveWorker w) {
        for (LiveTask t : List.copyOf(w.tasks)) {
            boolean isHeldBack = t.step.gang()
                    && (t.phase == Phase.PLACED || t.hasStartToSend())
                    && state.now() - t.nextOrderAt > MAX_INCOMPLETE_GANG_MILLIS;
            if (isHeldBack && t.liveStep.tasks.stream().anyMatch(m -> m.phase == Phase.RUNNING)) {
                state.stopWithGang(t, "cordons-unconfirmed");
            }
        }
    }

    private void sendDueOrder(LiveWorker w, LiveTask t, long now) {
        if (t.phase == Phase.PLACED && t.isPlacementDurable() && state.startHindrance(w) == null) {
            startOrProbe(w, t, now);
        }
        if (t.orderInFlight || now < t.nextOrderAt || w.facts().address().isEmpty()) {
            return;
        }
        if (t.phase == Phase.STARTING && t.unansweredStarts > 0 && state.isSilent(w)) {
            // The platform's list may show meanwhile that the worker is lost, unless a start to its next incarnation
            // is in flight.
            return;
        }
        if (t.phase == Phase.STARTING && !(state.mayStartOn(w) && state.mayExtendRuns(w))) {
            return;
        }
        if (t.phase == Phase.STARTING) {
            t.orderInFlight = true;
            t.orderSentAt = now;
            StartOrder order = new StartOrder(
                    w.facts(),
                    t.job.spec.key().id(),
                    t.id,
                    t.run,
                    t.job.spec.text(),
                    w.deadlineIn(state.timing.holdMillis(), now),
                    t.checkpoint,
                    t.ticket,
                    state.nextFence(w));
            state.coldStarts.startSent(w.facts().id(), now);
            t.ranCold |= w.isCold();
            state.outstandingStarts.sent(order, now);
            state.port.start(order);
        } else if (t.phase == Phase.STOPPING && t.absenceConclusiveFrom == Long.MAX_VALUE) {
            t.orderInFlight = true;
            state.port.stop(new StopOrder(w.facts(), t.job.spec.key().id(), t.id, t.run, state.nextFence(w)));
        }
    }

    /**
     * Checks that the worker still responds before it is sent a suspect task, which would otherwise be blamed for an
     * earlier crash. The probe is a stop of the previous run, whose only effect is that late starts of that run are
     * rejected.
     */
    private void startOrProbe(LiveWorker w, LiveTask t, long now) {
        if (!requiresProbe(w, t, now)) {
            t.enterPhase(Phase.STARTING, now);
        } else if (!t.probeInFlight && !w.facts().address().isEmpty()) {
            t.probeInFlight = true;
            t.orderSentAt = now;
            state.port.stop(new StopOrder(w.facts(), t.job.spec.key().id(), t.id, t.run - 1, state.nextFence(w)));
        }
    }

    /** Returns whether the worker must respond before the task is started there. */
    static boolean requiresProbe(LiveWorker w, LiveTask t, long now) {
        return t.suspicion.isSuspect() && !w.hasRespondedRecently(now);
    }

    private void probeCompleted(LiveTask t, LiveWorker w, OrderOutcome outcome) {
        t.probeInFlight = false;
        if (outcome.isSilence()) {
            w.recordMissedResponse(t.orderSentAt);
        } else {
            w.recordResponse(state.now());
        }
    }

    void onStarted(StartOrder order, OrderOutcome outcome, OptionalLong clockMillis) {
        LiveTask t = state.task(order.jobId(), order.task());
        boolean current = t != null && t.worker != null && t.run == order.run();
        if (outcome == OrderOutcome.UNKNOWN) {
            state.outstandingStarts.unanswered(order, state.now());
            state.fences.supersede(order.worker().id(), order.fence());
            expectLateStart(order);
        } else {
            state.outstandingStarts.answered(order);
        }
        LiveWorker addressed = state.workers.get(order.worker().id());
        if (outcome.adoptsDeadline() && addressed != null) {
            state.deadlineAdopted(addressed, order.deadlineMillis(), clockMillis);
        }
        if (t == null || t.worker == null || !current) {
            return;
        }
        t.orderInFlight = false;
        if (outcome == OrderOutcome.UNKNOWN) {
            // A later owner must know of it, should it find the worker lost.
            t.lateStartUntilMillis = state.wallNow() + OutstandingStarts.MAX_ORDER_DELAY_MILLIS;
            state.markChanged(t.job);
        }
        if (outcome.isSilence()) {
            t.worker.recordMissedResponse(t.orderSentAt);
        } else {
            t.worker.recordResponse(state.now());
        }
        checkClock(t, t.worker, clockMillis);
        if (outcome == OrderOutcome.FENCED && state.wasFencedByOwnOrder(order.worker(), order.fence())) {
            t.nextOrderAt = state.now();
        } else if (outcome == OrderOutcome.FENCED) {
            state.port.ownershipLost(
                    "a start was refused by the fence of " + order.worker().id());
        } else if (outcome == OrderOutcome.OTHER_LIFE) {
            startReachedOtherIncarnation(t, t.worker);
        } else if (t.phase == Phase.STARTING) {
            startAnswered(t, t.worker, outcome, clockMillis);
        }
    }

    /** Polls the worker at once if the clock shows that another incarnation than the known one has answered a start. */
    private void checkClock(LiveTask t, LiveWorker w, OptionalLong clockMillis) {
        if (clockMillis.isPresent()
                && w.isClockOfOtherIncarnation(clockMillis.getAsLong(), t.orderSentAt, state.now())) {
            String detail = "clock=" + clockMillis.getAsLong() + " before: " + w.describe();
            state.note(SchedulerEvent.Kind.RESTART_INDICATED, t, "", detail);
            w.onOtherClock(state.now());
            // The abandoned hold may be executed after the next one.
            state.fences.supersedeAll(w.facts().id());
        }
    }

    /**
     * Handles an unanswered start that may reach a later incarnation than intended, with a deadline by another clock.
     */
    private void expectLateStart(StartOrder order) {
        LiveWorker w = state.workers.get(order.worker().id());
        if (w != null && w.incarnation().isKnownToDifferFrom(order.worker().incarnation())) {
            state.expectForeignDeadlines(w, state.latestArrival(w));
        }
    }

    /**
     * Handles a first start that reached another incarnation: the intended one never received it and has not crashed
     * because of it.
     */
    private void startReachedOtherIncarnation(LiveTask t, LiveWorker w) {
        if (t.phase == Phase.STARTING && t.unansweredStarts == 0) {
            release(t, Phase.WAITING);
            stopOthersOfGang(t);
        }
        workerLost(w, LossEvidence.OTHER_LIFE);
    }

    private void startAnswered(LiveTask t, LiveWorker w, OrderOutcome outcome, OptionalLong clockMillis) {
        long now = state.now();
        String clock = clockMillis.isPresent() ? " clock=" + clockMillis.getAsLong() : "";
        state.note(SchedulerEvent.Kind.START_ANSWERED, t, outcome.name(), "unanswered=" + t.unansweredStarts + clock);
        if (outcome == OrderOutcome.ACCEPTED) {
            advisor.onTicketAccepted(t.liveStep);
            runStarted(t, now);
        } else if (outcome == OrderOutcome.UNKNOWN) {
            t.unansweredStarts++;
            t.nextOrderAt = now + RESEND_MILLIS;
            if (t.unansweredStarts >= MAX_UNANSWERED_STARTS) {
                state.stop(t, "start-unanswered");
                stopOthersOfGang(t);
            }
        } else if (t.unansweredStarts > 0) {
            // An earlier attempt may still take effect; only a stop ends this run reliably.
            state.stop(t, "start-refused-after-silence");
            stopOthersOfGang(t);
        } else {
            startRefused(t, w, outcome);
        }
    }

    private void startRefused(LiveTask t, LiveWorker w, OrderOutcome outcome) {
        long now = state.now();
        switch (outcome) {
            case NO_TICKET -> ticketRefused(t, w);
            case NO_ROOM -> w.avoidUntil = now + NO_ROOM_AVOID_MILLIS;
            default -> w.avoidUntil = now + UNHEALTHY_AVOID_MILLIS;
        }
        if (outcome == OrderOutcome.MALFORMED) {
            t.failures++;
        }
        release(t, Phase.WAITING);
        stopOthersOfGang(t);
        failIfExhausted(t);
    }

    private void ticketRefused(LiveTask t, LiveWorker w) {
        if (t.ticket.isEmpty()) {
            // The worker applies another configuration than the known one.
            state.note(SchedulerEvent.Kind.TICKET_REQUIRED, t, "", "");
            state.policies.requireTickets(t.job.spec.key().queue());
            state.applyPolicies();
        } else {
            advisor.onTicketRefused(t.liveStep, w);
        }
    }

    /**
     * Ends the jobs that have already failed as often as the newest configuration allows. Runs in progress are not
     * interrupted.
     */
    void applyMaxAttempts() {
        state.applyPolicies();
        for (LiveJob job : List.copyOf(state.activeJobs.values())) {
            job.tasks()
                    .filter(t -> t.failures > 0 && !t.phase.occupiesWorker() && t.phase != Phase.DONE)
                    .toList()
                    .forEach(this::failIfExhausted);
        }
    }

    /** Stops the other gang members, which would otherwise occupy their room without making progress. */
    void stopOthersOfGang(LiveTask t) {
        if (t.step.gang()) {
            endGang(t, false);
        }
    }

    /** Withdraws a placement whose start has not been sent. A gang starts as a whole or not at all. */
    void withdrawPlacement(LiveTask t, String reason) {
        state.stop(t, reason);
        state.markChanged(t.job);
        stopOthersOfGang(t);
    }

    private void runStarted(LiveTask t, long now) {
        t.paceInherited = t.phase == Phase.RECOVERING;
        t.startedFromScratch = t.phase == Phase.STARTING && t.checkpoint.isEmpty();
        t.enterPhase(Phase.RUNNING, now);
        t.absenceConclusiveFrom = now;
        t.startedAt = now;
        t.lastRunningAt = now;
        t.lastProgressAt = now;
        t.answersWithoutProgress = 0;
        state.markStarted(t.job);
    }

    void onStopped(StopOrder order, OrderOutcome outcome) {
        LiveTask t = state.task(order.jobId(), order.task());
        if (t == null || t.worker == null) {
            return;
        }
        if (t.probeInFlight && order.run() == t.run - 1) {
            probeCompleted(t, t.worker, outcome);
        } else if (t.run == order.run() && t.phase == Phase.STOPPING) {
            stopAnswered(t, t.worker, outcome);
        } else {
            return;
        }
        if (outcome == OrderOutcome.FENCED) {
            if (!state.wasFencedByOwnOrder(order.worker(), order.fence())) {
                state.port.ownershipLost(
                        "a stop was refused by the fence of " + order.worker().id());
            }
        } else if (outcome == OrderOutcome.OTHER_LIFE) {
            workerLost(t.worker, LossEvidence.OTHER_LIFE);
        }
    }

    private void stopAnswered(LiveTask t, LiveWorker w, OrderOutcome outcome) {
        t.orderInFlight = false;
        switch (outcome) {
            case FENCED, OTHER_LIFE -> {}
            case ACCEPTED, OLD_RUN -> {
                t.absenceConclusiveFrom = state.now();
                w.nextHoldAt = Math.min(w.nextHoldAt, state.now());
            }
            case LATE, NO_ROOM, NO_TICKET, UNHEALTHY, MALFORMED, NOT_SENT, UNKNOWN ->
                t.nextOrderAt = state.now() + RESEND_MILLIS;
        }
    }

    void onHoldAnswered(LiveWorker w, long sentAt, HoldResponse answer) {
        Set<LiveTask> listed = new HashSet<>();
        w.runsUnreadableJobs = false;
        answer.running().forEach(r -> runListed(w, r, listed));
        processResults(w, answer);
        if (answer.mayHaveMoreResults()) {
            return;
        }
        for (LiveTask t : new ArrayList<>(w.tasks)) {
            // Strictly earlier: within the same millisecond the hold may have reached the worker before the order.
            if (!listed.contains(t) && t.absenceConclusiveFrom < sentAt) {
                runNotListed(w, t);
            }
        }
    }

    /**
     * Processes the results of an answer. The running tasks of an outdated answer are ignored, since they may have
     * ended since.
     */
    void processResults(LiveWorker w, HoldResponse answer) {
        List<RunResult> otherResults = new ArrayList<>();
        for (RunResult e : w.results().newResults(answer)) {
            processResult(w, e, otherResults);
            w.results().markProcessed(e.number());
        }
        logOtherResults(w, otherResults);
    }

    /** Processes the completed runs of an answer that arrived after its worker had been declared lost. */
    void onLateAnswer(HoldResponse answer) {
        for (RunResult e : answer.ended()) {
            LiveTask t = state.task(e.jobId(), e.task());
            if (t != null && completesUnfinishedTask(t, e)) {
                completedByOlderRun(t);
            }
        }
    }

    private static boolean completesUnfinishedTask(LiveTask t, RunResult e) {
        return e.kind().finishes() && !t.step.longRunning() && t.phase != Phase.DONE;
    }

    private void runListed(LiveWorker w, RunStatus r, Set<LiveTask> listed) {
        LiveTask t = state.task(r.jobId(), r.task());
        if (t == null && state.unreadableJobs.contains(r.jobId())) {
            w.runsUnreadableJobs = true;
            return;
        }
        if (t != null && isLostRunStillAlive(t, r)) {
            adopt(w, t);
        }
        if (t == null || t.worker != w || t.run != r.run()) {
            state.note(
                    SchedulerEvent.Kind.STOP_ORDERED, w, "unknown-run=" + r.jobId() + "." + r.task() + "/" + r.run());
            state.port.stop(new StopOrder(w.facts(), r.jobId(), r.task(), r.run(), state.nextFence(w)));
            return;
        }
        listed.add(t);
        t.inDoubtSince = LiveWorker.NEVER;
        if (t.belongsToEarlierIncarnation()) {
            // The start's deadline refers to the clock of the earlier incarnation.
            state.expectForeignDeadlines(w, state.now());
        }
        t.incarnation = w.incarnation();
        t.lastRunningAt = state.now();
        t.reportedLoad = r.load();
        if (r.percent() != t.percent) {
            t.percent = r.percent();
            t.lastProgressAt = state.now();
            t.answersWithoutProgress = 0;
        } else {
            t.answersWithoutProgress++;
        }
        if (!r.checkpoint().isEmpty()) {
            t.checkpoint = r.checkpoint();
        }
        if (t.phase == Phase.STARTING || t.phase == Phase.RECOVERING) {
            runStarted(t, state.now());
        }
    }

    /** Returns whether the last run of a waiting task, which was considered lost, is still alive. */
    private static boolean isLostRunStillAlive(LiveTask t, RunStatus r) {
        return t.phase == Phase.WAITING && t.run == r.run() && !t.step.gang() && !t.job.state.ended();
    }

    private void adopt(LiveWorker w, LiveTask t) {
        state.note(SchedulerEvent.Kind.RUN_FOUND, t, "", "worker=" + w.facts().id());
        t.worker = w;
        w.add(t);
        runStarted(t, state.now());
        state.markChanged(t.job);
        // Its former record, which may state when the run ends, may still be in the store.
        w.awaitRecord(t.job, state.now());
    }

    private void runNotListed(LiveWorker w, LiveTask t) {
        if (t.belongsToEarlierIncarnation() && state.mayStartLate(w, t)) {
            // The answer to a hold with a higher fencing token shows whether the run has started.
            return;
        }
        if (t.belongsToEarlierIncarnation()) {
            RecentLosses.Loss loss = w.previousLossOrUnknown(state.now());
            List<CrashTracker.Suspect> suspects = crashes.suspects(List.of(t), loss);
            runLost(t, LossEvidence.RESTARTED);
            crashes.onWorkerLost(w, LossEvidence.RESTARTED, loss, suspects);
        } else if (t.phase == Phase.RUNNING) {
            // Not expected; a stop makes sure that the run has ended before the task runs elsewhere.
            state.stop(t, "run-vanished");
        } else if (t.phase == Phase.STOPPING || t.phase == Phase.RECOVERING) {
            state.note(
                    SchedulerEvent.Kind.RUN_ENDED,
                    t,
                    "NEVER_BEGAN",
                    "proven-since-millis=" + (state.now() - t.absenceConclusiveFrom));
            release(t, t.workDone ? Phase.DONE : Phase.WAITING);
            state.endIfFinished(t.job);
        }
    }

    /** Logs one line per answer: a new owner receives hundreds of results that earlier owners have processed. */
    private void logOtherResults(LiveWorker w, List<RunResult> otherResults) {
        if (otherResults.isEmpty()) {
            return;
        }
        String summary = otherResults.stream()
                .limit(MAX_RESULTS_LOGGED)
                .map(e -> e.number() + ":" + e.jobId() + "." + e.task() + "/" + e.run() + ":" + e.kind())
                .collect(Collectors.joining(","));
        state.note(SchedulerEvent.Kind.OTHER_ENDS_TOLD, w, "count=" + otherResults.size() + " ends=" + summary);
    }

    /** Processes a result. Results that do not belong to the newest run of a task are added to {@code others}. */
    private void processResult(LiveWorker w, RunResult e, List<RunResult> otherResults) {
        LiveTask t = state.task(e.jobId(), e.task());
        if (t == null) {
            otherResults.add(e);
            if (state.unreadableJobs.contains(e.jobId())) {
                w.results().retain(e.number());
            }
            return;
        }
        if (t.worker == w && t.run == e.run()) {
            applyResult(w, t, e);
        } else {
            otherResults.add(e);
            if (completesUnfinishedTask(t, e)) {
                // An older run completed the work, so no further run is needed.
                completedByOlderRun(t);
            }
        }
        // Required even if nothing changed: the result may have been processed before, and its record may still be in
        // flight.
        w.results().awaitDurable(e.number(), t.job, t.job.version);
    }

    private void completedByOlderRun(LiveTask t) {
        state.finish(t, "an older run ended done");
        state.endIfFinished(t.job);
    }

    private void applyResult(LiveWorker w, LiveTask t, RunResult e) {
        state.note(SchedulerEvent.Kind.RUN_ENDED, t, e.kind().name(), detail(t, e));
        if (!e.checkpoint().isEmpty()) {
            t.checkpoint = e.checkpoint();
        }
        state.markStarted(t.job);
        faultyWorkers.onRunEnded(w, t, e.kind());
        recordRunTime(t, e.kind());
        if (e.kind().countsAsAttempt()) {
            countFailure(w, t);
        }
        boolean taskDone = t.workDone || (e.kind().finishes() && !t.step.longRunning());
        release(t, taskDone ? Phase.DONE : Phase.WAITING);
        if (t.liveStep.isCompleted() && !t.liveStep.hasColdRuns()) {
            state.runTimes.recordMaxToMeanRatio(t.job.spec.key().queue(), t.liveStep.maxToMeanRatio());
        }
        if (t.step.gang()) {
            endGang(t, taskDone);
        }
        failIfExhausted(t);
        state.endIfFinished(t.job);
    }

    private String detail(LiveTask t, RunResult e) {
        String times = t.startedAt == Long.MAX_VALUE
                ? ""
                : " took-millis=" + (state.now() - t.startedAt) + " expected-millis="
                        + state.expectedMillis(t.liveStep);
        String extension =
                e.kind() == EndKind.LAPSED && t.worker != null ? " " + t.worker.describeExtension(state.now()) : "";
        return "number=" + e.number() + " attempts=" + t.failures + times + extension;
    }

    private void recordRunTime(LiveTask t, EndKind kind) {
        if (t.ranCold) {
            t.liveStep.recordColdRun();
            return;
        }
        if (kind.finishes() && t.startedFromScratch && t.startedAt != Long.MAX_VALUE) {
            long durationMillis = Math.max(1, state.now() - t.startedAt);
            state.runTimes.recordRunTime(t.job.spec.key().queue(), durationMillis);
            t.liveStep.recordRunTime(durationMillis);
        }
    }

    private void countFailure(LiveWorker w, LiveTask t) {
        boolean alreadyCounted =
                t.step.gang() && t.liveStep.tasks.stream().anyMatch(m -> m != t && m.lastFailedRun == t.run);
        t.lastFailedRun = t.run;
        if (!alreadyCounted) {
            t.failures++;
        }
        t.recordFailureOn(w, state.now());
        if (t.step.longRunning()) {
            t.nextOrderAt = state.now() + LongRunningBackoff.delayMillis(t.failures);
        }
    }

    private void endGang(LiveTask t, boolean done) {
        for (LiveTask m : t.liveStep.tasks) {
            if (m == t) {
                continue;
            }
            if (!done) {
                state.stop(m, "gang-member-ended");
            } else if (m.phase.occupiesWorker()) {
                m.workDone = true;
                state.stop(m, "gang-done");
            } else {
                m.enterPhase(Phase.DONE, state.now());
            }
        }
    }

    private void failIfExhausted(LiveTask t) {
        int failures = t.step.gang()
                ? t.liveStep.tasks.stream().mapToInt(m -> m.failures).sum()
                : t.failures;
        if (!t.step.longRunning() && !t.job.state.ended() && failures >= t.job.policy.maxAttempts()) {
            state.endJob(t.job, JobState.FAILED, "task " + t.id + " failed " + failures + " times");
        }
    }

    /** Removes a task from its worker. The change becomes durable with the next record of the job. */
    private void release(LiveTask t, Phase next) {
        long retryAt = t.nextOrderAt;
        t.releaseWorker(next, state.now());
        t.nextOrderAt = t.step.longRunning() ? Math.max(retryAt, state.now()) : state.now();
        t.orderInFlight = false;
        state.markChanged(t.job);
    }

    /** Releases all tasks of a worker on which nothing can be running any more. */
    void workerLost(LiveWorker w, LossEvidence evidence) {
        String answered = w.fenced ? " answered-millis-ago=" + (state.now() - w.lastAnswerAt) : "";
        String detail = "tasks=" + w.tasks.size() + " evidence=" + evidence + answered + " " + w.describe();
        state.note(SchedulerEvent.Kind.WORKER_GONE, w, detail);
        state.workers.remove(w.facts().id());
        state.fences.supersedeAll(w.facts().id());
        w.ended = evidence.provesEnd();
        RecentLosses.Loss loss = RecentLosses.Loss.of(w, state.now());
        state.losses.add(loss);
        List<CrashTracker.Suspect> suspects = crashes.suspects(w.tasks, loss);
        for (LiveTask t : new ArrayList<>(w.tasks)) {
            runLost(t, evidence);
        }
        crashes.onWorkerLost(w, evidence, loss, suspects);
    }

    /**
     * Releases the tasks of a silent worker except those that may still be running. These stay on its replacement, as
     * does all that is known of the worker.
     */
    void release(LiveWorker w, LossEvidence evidence, Predicate<LiveTask> mayBeRunning) {
        List<LiveTask> kept = w.tasks.stream().filter(mayBeRunning).toList();
        if (evidence.provesEnd()) {
            kept.forEach(t -> noteDoubt(t, evidence));
        }
        if (kept.size() == w.tasks.size()) {
            return;
        }
        LiveWorker replacement = new LiveWorker(w.facts(), state.now());
        replacement.resumeIncarnation(w);
        kept.forEach(t -> {
            w.remove(t);
            t.worker = replacement;
            replacement.add(t);
        });
        workerLost(w, evidence);
        boolean mayReturn = w.listed && !evidence.provesEnd();
        if (mayReturn || !kept.isEmpty()) {
            state.workers.put(w.facts().id(), replacement);
        }
    }

    private void noteDoubt(LiveTask t, LossEvidence evidence) {
        if (t.inDoubtSince == LiveWorker.NEVER) {
            t.inDoubtSince = state.now();
            String detail = "evidence=" + evidence + " unanswered=" + t.unansweredStarts + " inherited=" + t.inherited;
            state.note(SchedulerEvent.Kind.RUN_IN_DOUBT, t, "", detail);
        }
    }

    private void runLost(LiveTask t, LossEvidence evidence) {
        String started = t.hasStarted() ? " started-millis-ago=" + (state.now() - t.startedAt) : "";
        String doubt = t.inDoubtSince == LiveWorker.NEVER ? "" : " in-doubt-millis=" + (state.now() - t.inDoubtSince);
        String detail = "evidence=" + evidence + started + doubt + " unanswered=" + t.unansweredStarts;
        state.note(SchedulerEvent.Kind.RUN_ENDED, t, EndKind.WORKER_LOST.name(), detail);
        release(t, t.workDone ? Phase.DONE : Phase.WAITING);
        stopOthersOfGang(t);
        state.endIfFinished(t.job);
    }
}
