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
import org.lupinpaddle.core.placement.Resources;
import org.lupinpaddle.core.placement.StepRepetition;
import org.lupinpaddle.core.placement.WorkerFacts;
import org.lupinpaddle.core.placement.WorkerIncarnation;

/**
 * One life of a worker, as the owner of its service sees it: its clock, how long it may keep what it runs,
 * what it carries and which of its ends are durable.
 */
final class LiveWorker implements Candidate {

    // A worker's clock may run 2% slow; 3% leaves room for the rounding of both clocks.
    private static final double SLOWEST_CLOCK = 1.03;
    // Added to a computed moment for the same reason, when the period is short.
    private static final long CLOCK_SLACK_MILLIS = 100;

    // The longest regular pause between two answers, and the call.
    private static final long EXTEND_WITHIN_MILLIS = 2_600;

    // No worker crashes, starts, is given a task and ends it within this time.
    private static final long FASTEST_RESTART_MILLIS = 100;

    // Long enough for the write between the choice of a worker and the start; short beside the time of a run.
    private static final long JUST_RESPONDED_MILLIS = 250;

    // A lasting task never ends well; after this it has shown what an end would. A third of the 6 s that one may
    // be without a run, so that those that wait get there in time; what fails does so at once as a rule.
    private static final long LASTING_PROOF_MILLIS = 2_000;
    // The call that got no answer, and the look that follows it at once and takes 0.5 s at most.
    private static final int MISSED_OUT_OF_REACH = 2;

    private WorkerFacts facts;
    /** As its answers state it: an entry may be older or newer than the life that answers. */
    private WorkerIncarnation incarnation;

    private long incarnationKnownAt = Long.MAX_VALUE;
    /** How the life before this one was lost, if this owner knew it. */
    private LossLog.@Nullable Loss earlierLife;

    /** Whether this life is known to have ended: nothing that is held against it holds for the next one under its id. */
    boolean over;

    private long endsAt = Long.MAX_VALUE;
    final Set<LiveTask> tasks = new LinkedHashSet<>();
    private Resources used = Resources.NONE;
    private int lasting;
    private int filling;
    private int suspects;
    private int isolated;

    /** Whether the platform's store lists it, and since when not. */
    boolean listed = true;

    long unlistedSince = Long.MAX_VALUE;
    /** Whether it has answered a hold under this owner's fence: from then on no earlier owner's order counts. */
    boolean fenced;

    /** When anything came back from it last: an answer to an order or to a hold. */
    private long respondedAt = Long.MIN_VALUE / 2;
    /** When the newest of its calls was to be answered that got no answer. */
    private long unansweredDueAt = Long.MIN_VALUE;
    /** Whether only an answer to a hold can tell that it still is there. */
    private boolean mustAnswer;
    /** How many calls got no answer since it was last heard. */
    private int missedResponses;
    /** When the first of these was to be answered. */
    private long firstMissedAt = Long.MAX_VALUE;

    private long fencedAt = Long.MAX_VALUE;

    /** The newest poll, while it has no answer; an older one may still get one. */
    private @Nullable HoldOrder poll;

    /** When the worker answers the newest hold at the latest. */
    long holdAnswerDueAt;

    long holdDueAt;
    /** Whether the next hold waits for ends to become durable, so that the worker may forget them. */
    boolean holdAwaitsRecords;

    long lastAnswerAt = Long.MIN_VALUE / 2;
    long avoidUntil = Long.MIN_VALUE;
    /** Before this moment, and before its next answer, none of its tasks can have stood still for too long. */
    long stalledSince = Long.MIN_VALUE;
    /** It has been avoided: until one run has ended well on it, it gets one task at a time; lasting ones add up. */
    boolean onProbation;

    private static final long NOT_WELL = Long.MIN_VALUE;
    /** When the last of its runs that ended by itself under this owner ended, if that ended well. */
    private long endedWellAt = NOT_WELL;
    /** What speaks against the worker since the last run that ended well, each piece once. */
    final Set<String> evidence = new HashSet<>();

    private long clockMillis;
    private long clockReadAt;
    private long furthestDeadline;
    /** Until when an earlier owner's orders may keep something alive here. */
    private long inheritedUntil;
    /** Until when a deadline by the clock of an earlier life may keep something alive here: orders for that life reach this one. */
    private long otherClocksUntil = Long.MIN_VALUE;

    /** How far this owner is with its results; a poll after a gap goes on with the same one. */
    private ResultCursor results = new ResultCursor();

    /** Whether its newest answer shows a run of a job whose records can not be read. */
    boolean runsUnreadableJobs;
    /** Whether it has stated a birth that can not be read; logged once. */
    boolean birthUnreadable;

    LiveWorker(WorkerFacts facts, long inheritedUntil) {
        this.facts = facts;
        this.incarnation = new WorkerIncarnation(facts.id(), WorkerIncarnation.UNKNOWN_START);
        this.inheritedUntil = inheritedUntil;
    }

    /** Returns the next life of a restarted worker: nothing of this one's clock, results and health holds for it. */
    LiveWorker restarted(WorkerIncarnation next, LossLog.Loss loss, long now) {
        over = true;
        LiveWorker w = new LiveWorker(facts, now);
        w.earlierLife = loss;
        w.incarnation = next;
        w.incarnationKnownAt = now;
        w.listed = listed;
        w.unlistedSince = unlistedSince;
        return w;
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
    void polled(HoldOrder sent, long dueAt) {
        poll = sent;
        holdAnswerDueAt = dueAt;
    }

    /** Returns whether the newest poll has no answer yet. */
    boolean isPolled() {
        return poll != null;
    }

    /** Takes in that a poll has got its answer, or gets none, and returns whether it was the newest. */
    @SuppressWarnings("ReferenceEquality") // Two polls may ask for the same.
    boolean pollEnded(HoldOrder sent) {
        boolean newest = poll == sent;
        if (newest) {
            poll = null;
        }
        return newest;
    }

    /** Lets the next poll be sent though the newest one has no answer. */
    void abandonPoll() {
        poll = null;
    }

    /** Takes in the birth that an answer states, where none is known. */
    void states(WorkerIncarnation life, long now) {
        if (life.hasStartTime() && !incarnation.hasStartTime()) {
            incarnation = life;
            incarnationKnownAt = now;
        }
    }

    /** Returns whether an answer to a poll that was sent then comes from a life that had not ended before this one began. */
    boolean isKnownBefore(long sentAt) {
        return incarnationKnownAt < sentAt;
    }

    /** Returns whether its entry may be that of another life, which may have had other room and labels. */
    boolean hasEntryOfOtherLife() {
        return facts.incarnation().isKnownToDifferFrom(incarnation);
    }

    void update(WorkerFacts f, long now) {
        if (f.draining() && !facts.draining()) {
            endsAt = now + f.remainingMillis();
        }
        facts = f;
        listed = true;
        unlistedSince = Long.MAX_VALUE;
    }

    /** Returns whether it has said that it will end; of one that nothing is known of, nobody can tell. */
    boolean isKnownToDrain() {
        return facts.draining() && !facts.address().isEmpty();
    }

    /** Returns the least time that a draining worker still has. */
    long remainingMillis(long now) {
        return endsAt - now;
    }

    void unlist(long now) {
        if (listed) {
            listed = false;
            unlistedSince = now;
        }
    }

    void add(LiveTask t) {
        tasks.add(t);
        lasting += t.step.longRunning() ? 1 : 0;
        filling += t.step.fills() ? 1 : 0;
        suspects += t.suspicion.isSuspect() ? 1 : 0;
        isolated += t.suspicion.closesWorker() ? 1 : 0;
        used = used.plus(t.of.room);
    }

    void remove(LiveTask t) {
        if (tasks.remove(t)) {
            lasting -= t.step.longRunning() ? 1 : 0;
            filling -= t.step.fills() ? 1 : 0;
            suspects -= t.suspicion.isSuspect() ? 1 : 0;
            isolated -= t.suspicion.closesWorker() ? 1 : 0;
            used = used.minus(t.of.room);
        }
    }

    @Override
    public Resources free() {
        boolean closed = isolated > 0 && tasks.stream().anyMatch(this::isIsolated);
        if (closed || (onProbation && tasks.stream().anyMatch(this::isOnTrial))) {
            return Resources.NONE;
        }
        return facts.capacity().minus(used);
    }

    /** Returns whether its tasks ask for more than it has, since it had more when they were chosen. */
    boolean isOverItsRoom() {
        return !tasks.isEmpty() && !facts.capacity().canHold(used);
    }

    /** Returns whether the task may still crash the worker as it has crashed others, and nothing is to stand beside it. */
    boolean isIsolated(LiveTask t) {
        boolean passed = t.phase == LiveTask.Phase.RUNNING && lastAnswerAt - t.begunAt >= t.isolationMillis();
        return t.suspicion.closesWorker() && !passed;
    }

    /** Returns whether the task may still show that the worker fails what it runs. */
    private boolean isOnTrial(LiveTask t) {
        boolean goesWell = t.step.longRunning()
                && t.phase == LiveTask.Phase.RUNNING
                && lastAnswerAt - t.begunAt >= LASTING_PROOF_MILLIS;
        return !goesWell;
    }

    @Override
    public boolean runsLongRunningTask() {
        return lasting > 0;
    }

    @Override
    public boolean runsSuspectTask() {
        return suspects > 0;
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
        return endedWellAt != NOT_WELL;
    }

    /** Returns whether something has ended well there since, and nothing has failed after that. */
    boolean isProvenSince(long then) {
        return lastRunSucceeded() && endedWellAt > then;
    }

    /** Takes in that a run has ended well. */
    void endedWell(long now) {
        endedWellAt = now;
    }

    /** Takes in that a run has failed. */
    void failed() {
        endedWellAt = NOT_WELL;
    }

    /** Returns how many lasting tasks it has. */
    int lasting() {
        return lasting;
    }

    /** Returns whether it has a task that fills what others leave. */
    boolean carriesFilling() {
        return filling > 0;
    }

    void answered(long workerClock, long now) {
        clockMillis = workerClock;
        clockReadAt = now;
        lastAnswerAt = now;
        stalledSince = Long.MIN_VALUE;
        responded(now);
        mustAnswer = false;
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
        if (now - lastAnswerAt <= EXTEND_WITHIN_MILLIS) {
            furthestDeadline = Math.max(furthestDeadline, clockMillis + (now - clockReadAt) + millis);
        }
        return furthestDeadline;
    }

    /** Returns whether an order of an earlier owner that reached the worker in time may still be at work there. */
    boolean mayObeyEarlierOwner(long now, long stopMillis) {
        return !fenced || now - fencedAt <= stopMillis;
    }

    /**
     * Takes in that the worker may be gone: it gets new tasks only after it has answered a hold again. How long it has been
     * silent, which decides what becomes of its tasks, stays as it is.
     */
    void mustAnswerAgain() {
        mustAnswer = true;
    }

    /** Takes in that the worker has answered, whatever it has answered. */
    void responded(long now) {
        respondedAt = now;
        missedResponses = 0;
        firstMissedAt = Long.MAX_VALUE;
    }

    /** Returns whether it has answered so lately that it can not have failed since, as a rule. */
    boolean hasJustResponded(long now) {
        return now - lastResponseAt() <= JUST_RESPONDED_MILLIS;
    }

    /** Returns when anything came back from it last. */
    long lastResponseAt() {
        return Math.max(respondedAt, lastAnswerAt);
    }

    /**
     * Takes in that an order or a hold that the worker was to answer at {@code dueAt} got no answer: whether it can be
     * reached is open until it answers. One that has answered something else meanwhile can be reached, and only the one
     * answer was lost: where three answers in ten are lost, all workers of a service would be given up at one time.
     */
    void unanswered(long dueAt) {
        if (dueAt >= respondedAt) {
            unansweredDueAt = dueAt;
            missedResponses++;
            firstMissedAt = Math.min(firstMissedAt, dueAt);
        }
    }

    /**
     * Returns whether the worker must answer before it gets new tasks: something has gone unanswered that was due since
     * it was last heard, or it may be gone.
     */
    boolean isDoubted() {
        return mustAnswer || unansweredDueAt >= respondedAt;
    }

    /** Returns how the life before this one was lost; one that this owner did not know may have been lost at any time. */
    LossLog.Loss lossOfEarlierLife(long now) {
        LossLog.Loss known = earlierLife;
        return known != null ? known : new LossLog.Loss(facts.id(), Long.MIN_VALUE, now, Set.of(), false);
    }

    /** Returns by when a worker that is lost had failed: a call that was to be answered then got no answer. */
    long failedBy(long now) {
        return Math.max(lastResponseAt(), Math.min(firstMissedAt, now));
    }

    /** Returns whether nothing came back to several calls: an instance in its place is worth its move then. */
    boolean isOutOfReach() {
        return missedResponses >= MISSED_OUT_OF_REACH;
    }

    /** Returns whether it has answered this owner, and nothing came back to several calls since. */
    boolean hasFallenSilent() {
        return fenced && isOutOfReach();
    }

    /** Takes in that orders for an earlier life, with deadlines by its clock, may keep something alive here until then. */
    void orderedByOtherClocksUntil(long until) {
        otherClocksUntil = Math.max(otherClocksUntil, until);
    }

    /** Returns how long a time on a worker's clock takes at most. */
    static long longestByOwnClock(long millis) {
        return (long) (millis * SLOWEST_CLOCK) + CLOCK_SLACK_MILLIS;
    }

    /** Returns from when on nothing runs here any more, if no order reaches the worker from now on. */
    long emptyAt() {
        long own = Math.max(0, furthestDeadline - clockMillis);
        long byOwn = clockReadAt + longestByOwnClock(own);
        return Math.max(fenced ? byOwn : inheritedUntil, otherClocksUntil);
    }

    ResultCursor results() {
        return results;
    }

    /** Goes on with the poll and the results of the same life: what is not durable yet must not be discarded there. */
    void continueLife(LiveWorker before) {
        incarnation = before.incarnation;
        incarnationKnownAt = before.incarnationKnownAt;
        otherClocksUntil = before.otherClocksUntil;
        results = before.results;
        poll = before.poll;
        holdAnswerDueAt = before.holdAnswerDueAt;
    }

    /**
     * Returns the number up to which a poll that is sent now may acknowledge results. A worker that has been silent may have
     * restarted and used the same numbers for results that nobody has seen: it has to answer first.
     */
    long acknowledgeable(long now) {
        return isKnownToLive(now) ? results.lastDurable() : 0;
    }

    /**
     * Returns whether its last answer is so new that no other life can be at work there, for which the numbers of results and
     * the deadlines of this one would mean something else.
     */
    boolean isKnownToLive(long now) {
        return now - lastAnswerAt <= FASTEST_RESTART_MILLIS;
    }

    /** Returns its cursor of results and its birth, for the log. */
    String describe() {
        return results + " born=" + incarnation.startMillis();
    }
}
