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

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.placement.Candidate;
import org.lupinpaddle.core.placement.Room;
import org.lupinpaddle.core.placement.StepTime;
import org.lupinpaddle.core.placement.WorkerFacts;
import org.lupinpaddle.core.placement.WorkerIncarnation;

/**
 * One life of a worker, as the owner of its service sees it: its clock, how long it may keep what it runs,
 * what it carries and which of its ends are durable.
 */
final class LiveWorker implements Candidate {

    // A worker's clock may run 2% slow; 3% leaves room for the rounding of both clocks.
    private static final double MAX_CLOCK_STRETCH = 1.03;
    // Added to a computed moment for the same reason, when the period is short.
    private static final long CLOCK_SLACK_MILLIS = 100;

    // The longest regular pause between two answers, and the call.
    private static final long EXTENSION_WINDOW_MILLIS = 2_600;

    // No worker crashes, starts, is given a task and ends it within this time.
    private static final long MIN_RESTART_MILLIS = 100;

    // Long enough for the write between the choice of a worker and the start; short beside the time of a run.
    private static final long RECENT_RESPONSE_MILLIS = 250;

    // A lasting task never ends well; after this it has shown what an end would. A third of the 6 s that one may
    // be without a run, so that those that wait get there in time; what fails does so at once as a rule.
    private static final long LONG_RUNNING_PROOF_MILLIS = 2_000;
    // The call that got no answer, and the look that follows it at once and takes 0.5 s at most.
    private static final int MISSED_UNTIL_UNREACHABLE = 2;

    private WorkerFacts facts;
    /** As its answers state it: an entry may be older or newer than the life that answers. */
    private WorkerIncarnation incarnation;

    private long incarnationKnownAt = Long.MAX_VALUE;
    /** How the life before this one was lost, if this owner knew it. */
    private RecentLosses.@Nullable Loss previousLoss;

    /** Whether this life is known to have ended: nothing that is held against it holds for the next one under its id. */
    boolean ended;

    private long drainEndsAt = Long.MAX_VALUE;
    final Set<LiveTask> tasks = new LinkedHashSet<>();
    private Room used = Room.NONE;
    private int longRunningCount;
    private int fillerCount;
    private int suspectCount;
    private int isolatedCount;

    /** Whether the platform's store lists it, and since when not. */
    boolean listed = true;

    long unlistedSince = Long.MAX_VALUE;
    /** Whether it has answered a hold under this owner's fence: from then on no earlier owner's order counts. */
    boolean fenced;

    /** When anything came back from it last: an answer to an order or to a hold. */
    private long lastRespondedAt = Long.MIN_VALUE / 2;
    /** When the newest of its calls was to be answered that got no answer. */
    private long lastMissedAt = Long.MIN_VALUE;
    /** Whether only an answer to a hold can tell that it still is there. */
    private boolean holdAnswerRequired;
    /** How many calls got no answer since it was last heard. */
    private int missedResponses;
    /** When the first of these was to be answered. */
    private long firstMissedAt = Long.MAX_VALUE;

    private long fencedAt = Long.MAX_VALUE;

    /** The newest poll, while it has no answer; an older one may still get one. */
    private @Nullable HoldOrder pendingHold;

    /** When the worker answers the newest hold at the latest. */
    long holdAnswerDueAt;

    long nextHoldAt;
    /** Whether the next hold waits for ends to become durable, so that the worker may forget them. */
    boolean holdAwaitsRecords;

    long lastAnswerAt = Long.MIN_VALUE / 2;
    long avoidUntil = Long.MIN_VALUE;
    /** Before this moment, and before its next answer, none of its tasks can have stood still for too long. */
    long nextStallCheckAt = Long.MIN_VALUE;
    /** It has been avoided: until one run has ended well on it, it gets one task at a time; lasting ones add up. */
    boolean onProbation;

    private static final long NO_SUCCESS = Long.MIN_VALUE;
    /** When the last of its runs that ended by itself under this owner ended, if that ended well. */
    private long lastSuccessAt = NO_SUCCESS;
    /** What speaks against the worker since the last run that ended well, each piece once. */
    final Set<String> failureEvidence = new HashSet<>();

    private long clockMillis;
    private long clockReadAt;
    private long latestDeadline;
    /** Until when an earlier owner's orders may keep something alive here. */
    private long inheritedUntil;
    /** Until when a deadline by the clock of an earlier life may keep something alive here: orders for that life reach this one. */
    private long foreignDeadlinesUntil = Long.MIN_VALUE;

    /** How far this owner is with its results; a poll after a gap goes on with the same one. */
    private ResultCursor results = new ResultCursor();

    /** Whether its newest answer shows a run of a job whose records can not be read. */
    boolean runsUnreadableJobs;
    /** Whether it has stated a birth that can not be read; logged once. */
    boolean unreadableBirthLogged;

    LiveWorker(WorkerFacts facts, long inheritedUntil) {
        this.facts = facts;
        this.incarnation = new WorkerIncarnation(facts.id(), WorkerIncarnation.UNKNOWN_BIRTH);
        this.inheritedUntil = inheritedUntil;
    }

    /** Returns the next life of a restarted worker: nothing of this one's clock, results and health holds for it. */
    LiveWorker nextIncarnation(WorkerIncarnation next, RecentLosses.Loss loss, long now) {
        ended = true;
        LiveWorker successor = new LiveWorker(facts, now);
        successor.previousLoss = loss;
        successor.incarnation = next;
        successor.incarnationKnownAt = now;
        successor.listed = listed;
        successor.unlistedSince = unlistedSince;
        return successor;
    }

    @Override
    public WorkerFacts facts() {
        return facts;
    }

    /** Returns which life of the worker this is, as far as its answers tell. */
    WorkerIncarnation incarnation() {
        return incarnation;
    }

    /**
     * Returns whether an answer by this clock, to a poll that was sent then, comes from a later life: clocks of workers do not
     * go back, but answers to polls that are under way together may overtake each other.
     */
    boolean clockWentBack(long clock, long sentAt) {
        return fenced && sentAt >= clockReadAt && clock < clockMillis;
    }

    /**
     * Returns whether an answer by this clock, to a poll that was sent then, is older than one that was read before: two polls
     * may be under way at once, and answers on different connections overtake each other.
     */
    boolean isOvertaken(long clock, long sentAt) {
        return fenced && sentAt < clockReadAt && clock <= clockMillis;
    }

    /** Takes in that a poll is sent, which the worker answers by {@code dueAt}. */
    void holdSent(HoldOrder sent, long dueAt) {
        pendingHold = sent;
        holdAnswerDueAt = dueAt;
    }

    /** Returns whether the newest poll has no answer yet. */
    boolean isHoldPending() {
        return pendingHold != null;
    }

    /** Takes in that a poll has got its answer, or gets none, and returns whether it was the newest. */
    @SuppressWarnings("ReferenceEquality") // Two polls may ask for the same.
    boolean holdCompleted(HoldOrder sent) {
        boolean newest = pendingHold == sent;
        if (newest) {
            pendingHold = null;
        }
        return newest;
    }

    /** Lets the next poll be sent though the newest one has no answer. */
    void abandonHold() {
        pendingHold = null;
    }

    /** Takes in the birth that an answer states, where none is known. */
    void learnBirth(WorkerIncarnation answering, long now) {
        if (answering.hasBirth() && !incarnation.hasBirth()) {
            incarnation = answering;
            incarnationKnownAt = now;
        }
    }

    /** Returns whether an answer to a poll that was sent then comes from a life that had not ended before this one began. */
    boolean wasKnownBefore(long sentAt) {
        return incarnationKnownAt < sentAt;
    }

    /** Returns whether its entry may be that of another life, which may have had other room and labels. */
    boolean hasEntryOfOtherIncarnation() {
        return facts.incarnation().differsFrom(incarnation);
    }

    void update(WorkerFacts f, long now) {
        if (f.draining() && !facts.draining()) {
            drainEndsAt = now + f.remainingMillis();
        }
        facts = f;
        listed = true;
        unlistedSince = Long.MAX_VALUE;
    }

    /** Returns whether it has said that it will end; of one that nothing is known of, nobody can tell. */
    boolean isDraining() {
        return facts.draining() && !facts.address().isEmpty();
    }

    /** Returns the least time that a draining worker still has. */
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
    public Room free() {
        boolean closed = isolatedCount > 0 && tasks.stream().anyMatch(this::isIsolated);
        if (closed || (onProbation && tasks.stream().anyMatch(this::isUnproven))) {
            return Room.NONE;
        }
        return facts.room().minus(used);
    }

    /** Returns whether its tasks ask for more than it has, since it had more when they were chosen. */
    boolean exceedsCapacity() {
        return !tasks.isEmpty() && !facts.room().holds(used);
    }

    /** Returns whether the task may still crash the worker as it has crashed others, and nothing is to stand beside it. */
    boolean isIsolated(LiveTask t) {
        boolean passed = t.phase == LiveTask.Phase.RUNNING && lastAnswerAt - t.startedAt >= t.isolationMillis();
        return t.suspicion.requiresIsolation() && !passed;
    }

    /** Returns whether the task may still show that the worker fails what it runs. */
    private boolean isUnproven(LiveTask t) {
        boolean hasProvenItself = t.step.longRunning()
                && t.phase == LiveTask.Phase.RUNNING
                && lastAnswerAt - t.startedAt >= LONG_RUNNING_PROOF_MILLIS;
        return !hasProvenItself;
    }

    @Override
    public boolean carriesLasting() {
        return longRunningCount > 0;
    }

    @Override
    public boolean carriesSuspect() {
        return suspectCount > 0;
    }

    @Override
    public boolean isEmpty() {
        return tasks.isEmpty();
    }

    @Override
    public int carried(StepTime step) {
        int n = 0;
        for (LiveTask t : tasks) {
            if (t.stepTime.equals(step)) {
                n++;
            }
        }
        return n;
    }

    @Override
    public boolean isProven() {
        return lastSuccessAt != NO_SUCCESS;
    }

    /** Returns whether something has ended well there since, and nothing has failed after that. */
    boolean isProvenSince(long then) {
        return isProven() && lastSuccessAt > then;
    }

    /** Takes in that a run has ended well. */
    void recordSuccess(long now) {
        lastSuccessAt = now;
    }

    /** Takes in that a run has failed. */
    void recordFailure() {
        lastSuccessAt = NO_SUCCESS;
    }

    /** Returns how many lasting tasks it has. */
    int longRunningCount() {
        return longRunningCount;
    }

    /** Returns whether it has a task that fills what others leave. */
    boolean hasFillerTasks() {
        return fillerCount > 0;
    }

    void holdAnswered(long workerClock, long now) {
        clockMillis = workerClock;
        clockReadAt = now;
        lastAnswerAt = now;
        nextStallCheckAt = Long.MIN_VALUE;
        recordResponse(now);
        holdAnswerRequired = false;
        if (!fenced) {
            fenced = true;
            fencedAt = now;
        }
    }

    /**
     * Returns a deadline on the worker's clock this far from now; 0 while its clock is not known. A worker that
     * does not answer is given no later ones than before: each might reach it, and would put off the moment
     * from which its tasks may run elsewhere.
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

    /** Returns whether an order of an earlier owner that reached the worker in time may still be at work there. */
    boolean mayFollowEarlierOwner(long now, long stopMillis) {
        return !fenced || now - fencedAt <= stopMillis;
    }

    /**
     * Takes in that the worker may be gone: it gets new tasks only after it has answered a hold again. How long it has been
     * silent, which decides what becomes of its tasks, stays as it is.
     */
    void requireHoldAnswer() {
        holdAnswerRequired = true;
    }

    /** Takes in that the worker has answered, whatever it has answered. */
    void recordResponse(long now) {
        lastRespondedAt = now;
        missedResponses = 0;
        firstMissedAt = Long.MAX_VALUE;
    }

    /** Returns whether it has answered so lately that it can not have failed since, as a rule. */
    boolean hasRespondedRecently(long now) {
        return now - lastResponseAt() <= RECENT_RESPONSE_MILLIS;
    }

    /** Returns when anything came back from it last. */
    long lastResponseAt() {
        return Math.max(lastRespondedAt, lastAnswerAt);
    }

    /**
     * Takes in that an order or a hold that the worker was to answer at {@code dueAt} got no answer: whether it can be
     * reached is open until it answers. One that has answered something else meanwhile can be reached, and only the one
     * answer was lost: where three answers in ten are lost, all workers of a service would be given up at one time.
     */
    void recordMissedResponse(long dueAt) {
        if (dueAt >= lastRespondedAt) {
            lastMissedAt = dueAt;
            missedResponses++;
            firstMissedAt = Math.min(firstMissedAt, dueAt);
        }
    }

    /**
     * Returns whether the worker must answer before it gets new tasks: something has gone unanswered that was due since
     * it was last heard, or it may be gone.
     */
    boolean isUnresponsive() {
        return holdAnswerRequired || lastMissedAt >= lastRespondedAt;
    }

    /** Returns how the life before this one was lost; one that this owner did not know may have been lost at any time. */
    RecentLosses.Loss previousLossOrUnknown(long now) {
        RecentLosses.Loss known = previousLoss;
        return known != null ? known : new RecentLosses.Loss(facts.id(), Long.MIN_VALUE, now, Set.of(), false);
    }

    /** Returns by when a worker that is lost had failed: a call that was to be answered then got no answer. */
    long failedBy(long now) {
        return Math.max(lastResponseAt(), Math.min(firstMissedAt, now));
    }

    /** Returns whether nothing came back to several calls: an instance in its place is worth its move then. */
    boolean isUnreachable() {
        return missedResponses >= MISSED_UNTIL_UNREACHABLE;
    }

    /** Returns whether it has answered this owner, and nothing came back to several calls since. */
    boolean hasBecomeUnreachable() {
        return fenced && isUnreachable();
    }

    /** Takes in that orders for an earlier life, with deadlines by its clock, may keep something alive here until then. */
    void extendForeignDeadlines(long until) {
        foreignDeadlinesUntil = Math.max(foreignDeadlinesUntil, until);
    }

    /** Returns how long a time on a worker's clock takes at most. */
    static long maxElapsedMillis(long millis) {
        return (long) (millis * MAX_CLOCK_STRETCH) + CLOCK_SLACK_MILLIS;
    }

    /** Returns from when on nothing runs here any more, if no order reaches the worker from now on. */
    long allRunsEndedAt() {
        long remaining = Math.max(0, latestDeadline - clockMillis);
        long expiresAt = clockReadAt + maxElapsedMillis(remaining);
        return Math.max(fenced ? expiresAt : inheritedUntil, foreignDeadlinesUntil);
    }

    ResultCursor results() {
        return results;
    }

    /** Goes on with the poll and the results of the same life: what is not durable yet must not be discarded there. */
    void resumeIncarnation(LiveWorker previous) {
        incarnation = previous.incarnation;
        incarnationKnownAt = previous.incarnationKnownAt;
        foreignDeadlinesUntil = previous.foreignDeadlinesUntil;
        results = previous.results;
        pendingHold = previous.pendingHold;
        holdAnswerDueAt = previous.holdAnswerDueAt;
    }

    /**
     * Returns the number up to which a poll that is sent now may acknowledge results. A worker that has been silent may have
     * restarted and used the same numbers for results that nobody has seen: it has to answer first.
     */
    long acknowledgeableResult(long now) {
        return isIncarnationConfirmed(now) ? results.lastDurable() : 0;
    }

    /**
     * Returns whether its last answer is so new that no other life can be at work there, for which the numbers of results and
     * the deadlines of this one would mean something else.
     */
    boolean isIncarnationConfirmed(long now) {
        return now - lastAnswerAt <= MIN_RESTART_MILLIS;
    }

    /** Returns its cursor of results and its birth, for the log. */
    String describe() {
        return results + " born=" + incarnation.bornMillis();
    }
}
