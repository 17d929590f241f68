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
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.fleet.PlatformInstance;
import org.lupinpaddle.core.placement.Candidate;
import org.lupinpaddle.core.placement.Resources;
import org.lupinpaddle.core.placement.StepRepetition;
import org.lupinpaddle.core.placement.WorkerFacts;
import org.lupinpaddle.core.placement.WorkerIncarnation;

/**
 * The scheduler's state of one incarnation of a worker: its clock, its deadlines, its tasks and the durable part of
 * its results.
 */
final class LiveWorker implements Candidate {

    // A worker's clock may run 2% slow; 3% also covers the rounding of both clocks.
    private static final double MAX_CLOCK_STRETCH = 1.03;
    // Covers the rounding for short periods.
    private static final long CLOCK_SLACK_MILLIS = 100;

    private static final long CLOCK_ROUNDING_MILLIS = 2;

    // The longest regular interval between two answers, plus the call.
    private static final long EXTENSION_WINDOW_MILLIS = 2_600;

    // The longest time that an answer is under way: the wait of a hold, plus the call.
    private static final long MAX_ANSWER_DELAY_MILLIS = 2_500;

    // No worker can crash, restart, receive a task and end it within this time.
    private static final long MIN_RESTART_MILLIS = 100;

    // Covers the write between the placement and the start; short compared with a run.
    private static final long RECENT_RESPONSE_MILLIS = 250;

    // A long-running task never completes; after this time it counts as a success. This is a third of the 6 s that
    // such a task may be without a run, so that waiting tasks are placed in time; failures usually occur at once.
    private static final long LONG_RUNNING_PROOF_MILLIS = 2_000;
    // The unanswered call, and the immediate retry, which takes at most 0.5 s.
    private static final int MISSED_UNTIL_UNREACHABLE = 2;

    private WorkerFacts facts;
    /** The incarnation stated by its answers. The store's entry may be older or newer. */
    private WorkerIncarnation incarnation;

    private long incarnationKnownAt = Long.MAX_VALUE;
    /** The loss of the previous incarnation, if this owner observed it. */
    private RecentLosses.@Nullable Loss previousLoss;

    /**
     * Whether this incarnation is known to have ended. Evidence against it does not apply to the next one with the
     * same id.
     */
    boolean ended;

    private long drainEndsAt = Long.MAX_VALUE;
    final Set<LiveTask> tasks = new LinkedHashSet<>();
    private Resources used = Resources.NONE;
    private int longRunningCount;
    private int fillerCount;
    private int suspectCount;
    private int isolatedCount;

    /** Whether the store lists it, and since when it has not been listed. */
    boolean listed = true;

    long unlistedSince = Long.MAX_VALUE;
    /** Whether it has answered a hold with this owner's fence, so that orders of earlier owners are rejected. */
    boolean fenced;

    /** The time of events that have not happened. */
    static final long NEVER = Long.MIN_VALUE / 2;

    /** When the last response to any order or hold arrived. */
    private long lastRespondedAt = NEVER;
    /** When the answer to the latest unanswered call was due. */
    private long lastMissedAt = Long.MIN_VALUE;
    /** When another incarnation than this one was found to have answered a start; {@link #NEVER} if none was. */
    private long otherClockSeenAt = NEVER;
    /** Whether only an answer to a hold proves that the worker still exists. */
    private boolean holdAnswerRequired;
    /** The number of unanswered calls since the last response. */
    private int missedResponses;
    /** When the answer to the first of them was due. */
    private long firstMissedAt = Long.MAX_VALUE;

    private long fencedAt = Long.MAX_VALUE;
    /** The highest fencing token of the holds that this incarnation has answered. */
    private long confirmedFence = FencingTokens.NONE;

    /** The newest hold while it is unanswered; an older one may still be answered. */
    private @Nullable HoldOrder pendingHold;

    /** The latest time at which the worker answers the newest hold. */
    long holdAnswerDueAt;

    long nextHoldAt;
    /** Whether the next hold waits until results are durable, so that it can acknowledge them. */
    boolean holdAwaitsRecords;

    long lastAnswerAt = NEVER;
    long avoidUntil = Long.MIN_VALUE;
    /** No task of the worker can count as stalled before this time, unless another answer arrives. */
    long nextStallCheckAt = Long.MIN_VALUE;
    /**
     * Whether it was avoided: until one run has succeeded it gets one task at a time; long-running tasks accumulate.
     */
    boolean onProbation;

    private ColdPeriod coldPeriod;
    /** Whether it is cold, as of this tick or its newest record. */
    private boolean cold;
    /** Whether a rate limit on its starts applies, and whether it permits none in this tick. */
    private boolean startsLimited;

    private boolean startsHeldBack;

    private static final long NO_SUCCESS = Long.MIN_VALUE;
    /** When the last run that ended by itself under this owner ended, if it succeeded. */
    private long lastSuccessAt = NO_SUCCESS;
    /** When that run began; {@link #NEVER} if it is unknown. */
    private long lastSuccessBegunAt = NEVER;
    /** Distinct evidence of failures since the last successful run. */
    final Set<String> failureEvidence = new HashSet<>();

    /** Whether this incarnation's clock has been read, also by the state that this one replaces. */
    private boolean clockKnown;

    private long clockMillis;
    private long clockReadAt;
    private long latestDeadline;
    /** When a poll last carried a deadline; {@link #NEVER} if none has. */
    private long extendedAt = NEVER;
    /** Why the newest poll carried no deadline; null if it carried one. */
    private @Nullable ExtensionHindrance extensionHindrance;
    /** Until when orders of an earlier owner may keep runs alive here. */
    private long inheritedUntil;
    /** Whether it has answered a hold of this owner, also as an earlier incarnation or before it was given up. */
    private boolean reached;
    /** The versions of jobs that must be durable before a run is extended beyond {@link #extendableUntil}. */
    private final Map<LiveJob, Long> awaitedRecords = new HashMap<>();

    private long extendableUntil = Long.MAX_VALUE;
    /**
     * Until when deadlines that another incarnation may have adopted, by its own clock, keep runs alive there: orders
     * for one incarnation can reach the next.
     */
    private long foreignDeadlinesUntil = Long.MIN_VALUE;

    /** The position in the worker's results; kept when polling resumes after a gap. */
    private ResultCursor results = new ResultCursor();

    /** The instance that it runs on; empty if no list has shown it. */
    private String instance = "";
    /** When the first list that showed it there was requested. */
    private long locatedAt = Long.MAX_VALUE;

    /** Whether its newest answer lists a run of a job whose records cannot be read. */
    boolean runsUnreadableJobs;
    /** Whether an unreadable birth of the worker has been logged. */
    boolean unreadableBirthLogged;

    LiveWorker(WorkerFacts facts, long inheritedUntil) {
        this.facts = facts;
        this.incarnation = new WorkerIncarnation(facts.id(), WorkerIncarnation.UNKNOWN_START);
        this.inheritedUntil = inheritedUntil;
        this.coldPeriod = new ColdPeriod(incarnation, 0, 0);
    }

    /** Returns the state of the next incarnation. The clock, results and health of this one do not apply to it. */
    LiveWorker nextIncarnation(WorkerIncarnation next, RecentLosses.Loss loss, long now) {
        ended = true;
        LiveWorker successor = new LiveWorker(facts, now);
        successor.previousLoss = loss;
        successor.incarnation = next;
        successor.incarnationKnownAt = now;
        successor.reached = true;
        successor.takeAwaitedRecords(this);
        successor.takeInstance(this);
        successor.listed = listed;
        successor.unlistedSince = unlistedSince;
        successor.coldPeriod = coldPeriod.ofIncarnation(next, facts, now);
        successor.cold = successor.coldPeriod.contains(now);
        return successor;
    }

    @Override
    public WorkerFacts facts() {
        return facts;
    }

    /** Returns the incarnation, as far as its answers state it. */
    WorkerIncarnation incarnation() {
        return incarnation;
    }

    /**
     * Returns whether an answer with this clock value to an order sent at {@code sentAt} comes from another
     * incarnation, since the value does not continue this one's clock. The clock of a new incarnation may be ahead or
     * behind.
     */
    boolean isClockOfOtherIncarnation(long clock, long sentAt, long now) {
        long latest = clockMillis + (now - clockReadAt) + MAX_ANSWER_DELAY_MILLIS;
        return clockKnown && (clock < earliestClockAt(sentAt) || clock > latest);
    }

    /** Returns the earliest value that this incarnation's clock can have had at that time. */
    private long earliestClockAt(long time) {
        long elapsed = time - clockReadAt;
        return clockMillis + (long) (elapsed > 0 ? elapsed / MAX_CLOCK_STRETCH : elapsed) - CLOCK_ROUNDING_MILLIS;
    }

    /** Returns whether a hold sent at {@code sentAt} was sent after the last answer was read. */
    boolean wasReadBefore(long sentAt) {
        return sentAt >= clockReadAt;
    }

    /**
     * Returns whether an answer with this clock value to a hold sent at {@code sentAt} is older than the last one
     * processed: two holds may be in flight, and answers on different connections may overtake each other.
     */
    boolean isOvertaken(long clock, long sentAt) {
        return fenced && sentAt < clockReadAt && clock <= clockMillis;
    }

    /** Records that a hold was sent, which the worker answers by {@code dueAt}. */
    void holdSent(HoldOrder sent, long dueAt) {
        pendingHold = sent;
        holdAnswerDueAt = dueAt;
    }

    /** Returns whether the newest hold is unanswered. */
    boolean isHoldPending() {
        return pendingHold != null;
    }

    /** Records that a hold has been answered or has failed, and returns whether it was the newest. */
    @SuppressWarnings("ReferenceEquality") // Two holds may be equal.
    boolean holdCompleted(HoldOrder sent) {
        boolean newest = pendingHold == sent;
        if (newest) {
            pendingHold = null;
        }
        return newest;
    }

    /** Allows the next hold to be sent although the newest one is unanswered. */
    void abandonHold() {
        pendingHold = null;
    }

    /**
     * Polls the worker at once and gives it no new tasks until it has answered, because it may have restarted. A hold
     * that was sent to the earlier incarnation may remain unanswered until it times out.
     */
    void onRestartIndicated(long now) {
        abandonHold();
        nextHoldAt = now;
        requireHoldAnswer();
    }

    /** Records that the clock in the answer to a start was not this incarnation's. */
    void onOtherClock(long now) {
        otherClockSeenAt = now;
        onRestartIndicated(now);
    }

    /** Returns whether another incarnation has answered a start, and none has answered a hold since. */
    boolean isRestartIndicated() {
        return otherClockSeenAt != NEVER;
    }

    /** Records that this incarnation has answered a hold sent at {@code sentAt}, so that it was running then. */
    void confirmRunning(long sentAt) {
        if (sentAt >= otherClockSeenAt) {
            otherClockSeenAt = NEVER;
        }
    }

    /** Stores the birth that an answer states, if none is known. */
    void learnBirth(WorkerIncarnation answering, long now) {
        if (answering.hasStartTime() && !incarnation.hasStartTime()) {
            incarnation = answering;
            incarnationKnownAt = now;
        }
    }

    /**
     * Returns whether a hold sent at {@code sentAt} was sent after this incarnation was known, so that its answer
     * cannot come from an earlier one.
     */
    boolean wasKnownBefore(long sentAt) {
        return incarnationKnownAt < sentAt;
    }

    /** Returns whether the store's entry may describe another incarnation, with other room and labels. */
    boolean hasEntryOfOtherIncarnation() {
        return facts.incarnation().isKnownToDifferFrom(incarnation);
    }

    void update(WorkerFacts f, long now) {
        if (f.draining() && !facts.draining()) {
            drainEndsAt = now + f.remainingMillis();
        }
        facts = f;
        listed = true;
        unlistedSince = Long.MAX_VALUE;
        coldPeriod = coldPeriod.next(f, now);
        cold = coldPeriod.contains(now);
    }

    /**
     * Updates whether it is cold and whether it may be sent a start, and marks its runs.
     *
     * @param limiter the rate limit on starts on cold workers
     * @param earlierOwnersUntil the latest time at which an earlier owner may have sent a start to any worker
     */
    void updateCold(ColdStartLimiter limiter, long earlierOwnersUntil, long now) {
        cold = coldPeriod.contains(now);
        startsLimited = cold && limiter.isEnabled();
        // Once it has answered this owner, it rejects the starts of earlier ones.
        long lastForeignStart = fencedAt <= earlierOwnersUntil ? fencedAt : Long.MIN_VALUE / 2;
        startsHeldBack = startsLimited && !limiter.permits(facts.id(), lastForeignStart, now);
        if (cold) {
            tasks.stream().filter(t -> t.phase != LiveTask.Phase.PLACED).forEach(t -> t.ranCold = true);
        }
    }

    @Override
    public boolean isCold() {
        return cold;
    }

    /** Returns whether the rate of its starts is limited because it is cold. */
    boolean areStartsLimited() {
        return startsLimited;
    }

    /** Returns whether the rate limit permits no start in this tick. */
    boolean areStartsHeldBack() {
        return startsHeldBack;
    }

    /** Returns whether a start to it was not answered and will be repeated. */
    boolean hasStartToRepeat() {
        return tasks.stream().anyMatch(LiveTask::hasStartToSend);
    }

    /**
     * Returns whether the rate limit permits no further placement: each placement, and each start that will be
     * repeated, takes the place of a start.
     */
    private boolean hasNoStartLeft() {
        return startsHeldBack
                || (startsLimited
                        && (hasStartToRepeat() || tasks.stream().anyMatch(t -> t.phase == LiveTask.Phase.PLACED)));
    }

    /** Returns whether it has announced that it drains; this is unknown for a worker without an address. */
    boolean isDraining() {
        return facts.draining() && !facts.address().isEmpty();
    }

    /** Returns the minimum time that a draining worker still has. */
    long remainingMillis(long now) {
        return drainEndsAt - now;
    }

    void unlist(long now) {
        if (listed) {
            listed = false;
            unlistedSince = now;
        }
    }

    void add(LiveTask t) {
        tasks.add(t);
        longRunningCount += t.step.longRunning() ? 1 : 0;
        fillerCount += t.step.fills() ? 1 : 0;
        suspectCount += t.suspicion.isSuspect() ? 1 : 0;
        isolatedCount += t.suspicion.requiresIsolation() ? 1 : 0;
        used = used.plus(t.liveStep.room);
    }

    void remove(LiveTask t) {
        if (tasks.remove(t)) {
            longRunningCount -= t.step.longRunning() ? 1 : 0;
            fillerCount -= t.step.fills() ? 1 : 0;
            suspectCount -= t.suspicion.isSuspect() ? 1 : 0;
            isolatedCount -= t.suspicion.requiresIsolation() ? 1 : 0;
            used = used.minus(t.liveStep.room);
        }
    }

    @Override
    public Resources free() {
        return hasNoStartLeft() ? Resources.NONE : freeBetweenStarts();
    }

    /** Returns the free resources, also while the rate limit permits no start. */
    Resources freeBetweenStarts() {
        return isReserved() ? Resources.NONE : unused();
    }

    /** Returns whether other tasks must stay away because of one that has not proven itself yet. */
    private boolean isReserved() {
        boolean reserved = isolatedCount > 0 && tasks.stream().anyMatch(this::isIsolated);
        return reserved || (onProbation && tasks.stream().anyMatch(this::isUnproven));
    }

    /** Returns the resources that its tasks leave, also while it takes no others. */
    private Resources unused() {
        return facts.capacity().minus(used);
    }

    /**
     * Returns the maximum free amount of each resource on any one of the workers; a task that needs more of one
     * resource fits nowhere.
     */
    static Resources maxFree(List<LiveWorker> workers, Function<LiveWorker, Resources> free) {
        return workers.stream().map(free).reduce(Resources::componentMax).orElse(Resources.NONE);
    }

    /** Returns how many more tasks of the step may be placed now. */
    long roomFor(LiveStep s) {
        return hasNoStartLeft() ? 0 : roomPerStart(s);
    }

    /**
     * Returns how many more tasks of the step may be placed at once when the rate limit next permits a start: at most
     * one if the limit applies or the worker is on probation.
     */
    long roomPerStart(LiveStep s) {
        long fitting = roomBetweenStarts(s);
        return startsLimited || onProbation ? Math.min(1, fitting) : fitting;
    }

    /** Returns how many more tasks of the step fit, by their room and the step's limit per worker. */
    long roomBetweenStarts(LiveStep s) {
        return roomIn(freeBetweenStarts(), s);
    }

    /** Returns the same, also while it takes no other tasks. */
    long roomIfUnreserved(LiveStep s) {
        return roomIn(unused(), s);
    }

    private long roomIn(Resources free, LiveStep s) {
        long fitting = free.canHold(s.room) ? free.countOf(s.room) : 0;
        int maxTasks = s.spec.perWorkerMost();
        StepRepetition repetition = s.repetition;
        return maxTasks == 0 ? fitting : Math.min(fitting, Math.max(0, maxTasks - taskCount(repetition)));
    }

    /** Returns whether its tasks need more room than it has, because its room has shrunk since they were placed. */
    boolean exceedsCapacity() {
        return !tasks.isEmpty() && !facts.capacity().canHold(used);
    }

    /** Returns whether the task must not share the worker, because it may still crash it as it has crashed others. */
    boolean isIsolated(LiveTask t) {
        boolean provenHarmless = t.phase == LiveTask.Phase.RUNNING && lastAnswerAt - t.startedAt >= t.isolationMillis();
        return t.suspicion.requiresIsolation() && !provenHarmless;
    }

    /** Returns whether the task may still reveal that the worker is faulty. */
    private boolean isUnproven(LiveTask t) {
        boolean hasProvenItself = t.step.longRunning()
                && t.phase == LiveTask.Phase.RUNNING
                && lastAnswerAt - t.startedAt >= LONG_RUNNING_PROOF_MILLIS;
        return !hasProvenItself;
    }

    @Override
    public boolean runsLongRunningTask() {
        return longRunningCount > 0;
    }

    @Override
    public boolean runsSuspectTask() {
        return suspectCount > 0;
    }

    @Override
    public boolean isIdle() {
        return tasks.isEmpty();
    }

    @Override
    public int taskCount(StepRepetition step) {
        int n = 0;
        for (LiveTask t : tasks) {
            if (t.stepTime.equals(step)) {
                n++;
            }
        }
        return n;
    }

    @Override
    public boolean lastRunSucceeded() {
        return lastSuccessAt != NO_SUCCESS;
    }

    /** Returns whether a run has succeeded on the worker since then and none has failed afterwards. */
    boolean isProvenSince(long then) {
        return lastRunSucceeded() && lastSuccessAt > then;
    }

    /** Returns whether a run that began then or later has succeeded on the worker and none has failed afterwards. */
    boolean isProvenByRunBegunSince(long then) {
        return lastRunSucceeded() && lastSuccessBegunAt >= then;
    }

    /** Records a successful run that began at {@code begunAt}. */
    void recordSuccess(long begunAt, long now) {
        lastSuccessAt = now;
        lastSuccessBegunAt = begunAt;
    }

    void recordFailure() {
        lastSuccessAt = NO_SUCCESS;
    }

    /** Returns the number of long-running tasks on the worker. */
    int longRunningCount() {
        return longRunningCount;
    }

    /** Returns whether it has a task that only uses spare capacity. */
    boolean hasFillerTasks() {
        return fillerCount > 0;
    }

    void holdAnswered(long workerClock, long now) {
        clockKnown = true;
        clockMillis = workerClock;
        clockReadAt = now;
        lastAnswerAt = now;
        nextStallCheckAt = Long.MIN_VALUE;
        recordResponse(now);
        holdAnswerRequired = false;
        reached = true;
        if (!fenced) {
            fenced = true;
            fencedAt = now;
        }
    }

    private void takeAwaitedRecords(LiveWorker previous) {
        awaitedRecords.putAll(previous.awaitedRecords);
        extendableUntil = previous.extendableUntil;
    }

    private void takeInstance(LiveWorker previous) {
        instance = previous.instance;
        locatedAt = previous.locatedAt;
    }

    /** Records the instance that it runs on, by a list requested at {@code askedAt} or by an earlier owner's record. */
    void locate(String runsOn, long askedAt) {
        if (instance.isEmpty()) {
            instance = runsOn;
            locatedAt = askedAt;
        }
    }

    /** Returns the instance that it runs on; empty if it is not known. */
    String instance() {
        return instance;
    }

    /**
     * Returns whether a row of its instance, which is not older than {@code rowAt}, shows another worker there. Then it
     * has ended for good, since a worker can only restart under its id as the next one on its instance.
     */
    boolean isReplacedOn(PlatformInstance row, long rowAt) {
        return locatedAt <= rowAt && !row.worker().isEmpty() && !row.worker().equals(facts.id());
    }

    /** Returns whether it has answered a hold of this owner, so that this owner may have extended its deadlines. */
    boolean wasReached() {
        return reached;
    }

    /** Extends no run beyond {@code until} before the current version of the job is durable. */
    void awaitRecord(LiveJob job, long until) {
        awaitedRecords.put(job, job.version);
        extendableUntil = Math.min(extendableUntil, until);
    }

    /** Returns whether runs may be extended by this time: records that state an earlier end may not be durable. */
    boolean mayExtendRuns(long millis, long now) {
        awaitedRecords.entrySet().removeIf(e -> e.getKey().savedVersion >= e.getValue());
        if (awaitedRecords.isEmpty()) {
            extendableUntil = Long.MAX_VALUE;
        }
        return now + maxElapsedMillis(millis) <= extendableUntil;
    }

    /**
     * Returns a deadline on the worker's clock that lies {@code millis} ahead; 0 if its clock is not known. The
     * deadline of a worker that does not answer is not extended: each extension might reach the worker and would
     * delay the time from which its tasks may run elsewhere.
     */
    long deadlineIn(long millis, long now) {
        if (!fenced) {
            return 0;
        }
        if (now - lastAnswerAt <= EXTENSION_WINDOW_MILLIS) {
            latestDeadline = Math.max(latestDeadline, clockMillis + (now - clockReadAt) + millis);
        }
        return latestDeadline;
    }

    /** Returns for how long no poll has extended the deadline of its runs. */
    long unextendedMillis(long now) {
        return now - Math.max(extendedAt, fencedAt);
    }

    /** Records why a poll that is being sent carries no deadline; null if it carries one. */
    void pollSent(@Nullable ExtensionHindrance hindrance, long now) {
        extensionHindrance = hindrance;
        if (hindrance == null) {
            extendedAt = now;
        }
    }

    /** Describes when its runs were last extended, for the log. */
    String describeExtension(long now) {
        String extended = extendedAt == NEVER ? "never" : String.valueOf(now - extendedAt);
        return "extended-millis-ago=" + extended
                + (extensionHindrance == null ? "" : " last-poll-without-deadline=" + extensionHindrance);
    }

    /** Records that this incarnation has answered a hold with a fencing token and rejects lower ones from then on. */
    void confirmFence(long fence) {
        confirmedFence = Math.max(confirmedFence, fence);
    }

    /** Returns the fencing token below which this incarnation is known to reject orders. */
    long confirmedFence() {
        return confirmedFence;
    }

    /** Returns whether orders of an earlier owner may have reached the worker until now. */
    boolean mayFollowInheritedOrders(long now) {
        return now < inheritedUntil;
    }

    /** Returns whether the worker may still be executing an order that an earlier owner sent in time. */
    boolean mayFollowEarlierOwner(long now, long stopMillis) {
        return !fenced || now - fencedAt <= stopMillis;
    }

    /**
     * Requires an answer to a hold before the worker gets new tasks, since it may be gone. How long it has been
     * silent, which decides about its tasks, does not change.
     */
    void requireHoldAnswer() {
        holdAnswerRequired = true;
    }

    /** Records a response of any kind. */
    void recordResponse(long now) {
        lastRespondedAt = now;
        missedResponses = 0;
        firstMissedAt = Long.MAX_VALUE;
    }

    /** Returns whether it has responded so recently that a failure since then is unlikely. */
    boolean hasRespondedRecently(long now) {
        return now - lastResponseAt() <= RECENT_RESPONSE_MILLIS;
    }

    /** Returns whether it has answered a hold after this time, or so shortly before that a failure is unlikely. */
    boolean hasAnsweredAround(long time) {
        return lastAnswerAt >= time - RECENT_RESPONSE_MILLIS;
    }

    /** Returns the time of its last response. */
    long lastResponseAt() {
        return Math.max(lastRespondedAt, lastAnswerAt);
    }

    /**
     * Records that an order or a hold whose answer was due at {@code dueAt} was not answered: whether the worker is
     * reachable is unknown until it responds. If it has responded to something else since, only the one answer was
     * lost. Without this rule all workers of a service would be given up at once where three answers in ten are lost.
     */
    void recordMissedResponse(long dueAt) {
        if (dueAt >= lastRespondedAt) {
            lastMissedAt = dueAt;
            missedResponses++;
            firstMissedAt = Math.min(firstMissedAt, dueAt);
        }
    }

    /**
     * Returns whether the worker must respond before it gets new tasks: a call that was due after its last response
     * is unanswered, or the worker may be gone.
     */
    boolean isUnresponsive() {
        return holdAnswerRequired || lastMissedAt >= lastRespondedAt;
    }

    /**
     * Returns the loss of the previous incarnation; if this owner did not observe it, it may have occurred at any
     * time.
     */
    RecentLosses.Loss previousLossOrUnknown(long now) {
        RecentLosses.Loss known = previousLoss;
        return known != null ? known : new RecentLosses.Loss(facts.id(), Long.MIN_VALUE, now, Set.of(), false);
    }

    /** Returns the time by which a lost worker had failed: a call due then was not answered. */
    long failedBy(long now) {
        return Math.max(lastResponseAt(), Math.min(firstMissedAt, now));
    }

    /** Returns whether several calls in a row were not answered, which justifies moving another instance in. */
    boolean isUnreachable() {
        return missedResponses >= MISSED_UNTIL_UNREACHABLE;
    }

    /** Returns whether it has answered this owner before and has left several calls unanswered since. */
    boolean hasBecomeUnreachable() {
        return fenced && isUnreachable();
    }

    /**
     * Extends the time until which orders that another incarnation has executed, or may execute, keep runs alive
     * there.
     */
    void extendForeignDeadlines(long until) {
        foreignDeadlinesUntil = Math.max(foreignDeadlinesUntil, until);
    }

    /** Returns the longest real time that a period on a worker's clock can take. */
    static long maxElapsedMillis(long millis) {
        return (long) (millis * MAX_CLOCK_STRETCH) + CLOCK_SLACK_MILLIS;
    }

    /** Returns the time from which nothing runs here any more, provided that no further order reaches the worker. */
    long allRunsEndedAt() {
        long remaining = Math.max(0, latestDeadline - clockMillis);
        long expiresAt = clockReadAt + maxElapsedMillis(remaining);
        return Math.max(fenced ? expiresAt : inheritedRunsEndedAt(), foreignDeadlinesUntil);
    }

    /** Returns when the inherited runs end, by the records of its tasks if this owner cannot have extended them. */
    private long inheritedRunsEndedAt() {
        boolean allRecorded = !reached && !tasks.isEmpty() && tasks.stream().allMatch(t -> t.inherited);
        return allRecorded
                ? Math.min(
                        inheritedUntil,
                        tasks.stream().mapToLong(t -> t.inheritedUntil).reduce(Long.MIN_VALUE, Math::max))
                : inheritedUntil;
    }

    ResultCursor results() {
        return results;
    }

    /**
     * Continues with the pending hold and the results of the same incarnation, so that the worker does not discard
     * results that are not durable.
     */
    void resumeIncarnation(LiveWorker previous) {
        reached = previous.reached;
        takeAwaitedRecords(previous);
        takeInstance(previous);
        incarnation = previous.incarnation;
        incarnationKnownAt = previous.incarnationKnownAt;
        foreignDeadlinesUntil = previous.foreignDeadlinesUntil;
        clockKnown = previous.clockKnown;
        clockMillis = previous.clockMillis;
        clockReadAt = previous.clockReadAt;
        otherClockSeenAt = previous.otherClockSeenAt;
        lastRespondedAt = previous.lastResponseAt();
        firstMissedAt = previous.firstMissedAt;
        listed = previous.listed;
        unlistedSince = previous.unlistedSince;
        drainEndsAt = previous.drainEndsAt;
        results = previous.results;
        coldPeriod = previous.coldPeriod;
        cold = previous.cold;
        pendingHold = previous.pendingHold;
        holdAnswerDueAt = previous.holdAnswerDueAt;
    }

    /**
     * Returns the number up to which a hold sent now may acknowledge results. A silent worker may have restarted and
     * reused the same numbers for results that nobody has processed, so it has to answer first.
     */
    long acknowledgeableResult(long now) {
        return isIncarnationConfirmed(now) ? results.lastDurable() : 0;
    }

    /**
     * Returns whether its last answer is so recent that no other incarnation can be running, for which result numbers
     * and deadlines would have another meaning.
     */
    boolean isIncarnationConfirmed(long now) {
        return now - lastAnswerAt <= MIN_RESTART_MILLIS;
    }

    /** Returns the result cursor and the birth, for the log. */
    String describe() {
        return results + " born=" + incarnation.startMillis();
    }
}
