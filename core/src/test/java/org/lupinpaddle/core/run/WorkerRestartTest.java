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

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.job.EndKind;
import org.lupinpaddle.core.job.JobKey;
import org.lupinpaddle.core.job.JobProgress;
import org.lupinpaddle.core.job.JobState;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.job.TaskId;
import org.lupinpaddle.core.job.TaskRecord;
import org.lupinpaddle.core.placement.WorkerIncarnation;

/** Tests workers that restart under their ids, which resets their results, clocks and runs. */
class WorkerRestartTest {

    private static final long FIRST_BIRTH = 1_000_000;
    private static final long SECOND_BIRTH = 1_060_000;
    // The clock of an incarnation counts from its start.
    private static final long OLD_CLOCK = 60_000;
    private static final long NEW_CLOCK = 500;
    // The platform executes a call within this time or never.
    private static final long MAX_ORDER_DELAY_MILLIS = 15_000;

    private static final TaskId TASK = new TaskId(0, 0, 0);
    private static final StepSpec ONE =
            StepSpec.builder(1, SchedulerDriver.NEED).build();

    private final SchedulerDriver d = new SchedulerDriver();

    private static RunStatus running(String job, int run) {
        return new RunStatus(job, TASK, run, "", 10, -1);
    }

    private static RunResult done(long number, String job, int run) {
        return new RunResult(number, job, TASK, run, EndKind.DONE, "");
    }

    /** Lists workers that have answered a hold in their first incarnations. */
    private void listInFirstIncarnation(String... ids) {
        d.scheduler.onWorkers(List.of(ids).stream()
                .map(id -> SchedulerDriver.workerBornAt(id, FIRST_BIRTH))
                .toList());
        d.advance(1);
        for (String id : ids) {
            d.answerHoldAs(id, FIRST_BIRTH, OLD_CLOCK, List.of(), List.of());
        }
    }

    /** Starts a job with one task, which a worker accepts. */
    private StartOrder submitAndStart(String job) {
        d.submit(job, ONE);
        d.advance(50);
        d.completeSaves();
        StartOrder s = d.lastStart();
        assertEquals(job, s.jobId());
        d.scheduler.onStarted(s, OrderOutcome.ACCEPTED);
        d.advance(10);
        return s;
    }

    /** Completes jobs on the first incarnation of a worker and makes their results durable. */
    private void completeOnFirstIncarnation(String worker, String... jobs) {
        long number = 0;
        for (String job : jobs) {
            number++;
            StartOrder s = submitAndStart(job);
            d.answerHoldAs(worker, FIRST_BIRTH, OLD_CLOCK + number, List.of(), List.of(done(number, job, s.run())));
            d.advance(50);
            d.completeSaves();
        }
    }

    private List<String> ended(JobState state) {
        return d.port.events.stream()
                .filter(e ->
                        e.kind() == SchedulerEvent.Kind.JOB_ENDED && e.outcome().equals(state.name()))
                .map(e -> Objects.requireNonNull(e.job()).id())
                .toList();
    }

    private boolean isLost() {
        return !d.port.events(SchedulerEvent.Kind.WORKER_GONE).isEmpty();
    }

    @Nested
    class TheResultsOfALaterIncarnation {

        /** Guards against skipping results because an earlier incarnation of the worker used their numbers. */
        @Test
        void areProcessedThoughAnEarlierIncarnationUsedTheirNumbers() {
            listInFirstIncarnation("w1");
            completeOnFirstIncarnation("w1", "a", "b", "c");
            d.answerHoldAs("w1", SECOND_BIRTH, NEW_CLOCK, List.of(), List.of());
            d.scheduler.onWorkers(List.of(SchedulerDriver.workerBornAt("w1", SECOND_BIRTH)));
            StartOrder s = submitAndStart("x");
            d.answerHoldAs("w1", SECOND_BIRTH, NEW_CLOCK + 100, List.of(), List.of(done(1, "x", s.run())));
            assertEquals(List.of("a", "b", "c", "x"), ended(JobState.COMPLETED));
        }

        /** Guards against acknowledging results of a later incarnation that nobody has processed. */
        @Test
        void areNotAcknowledgedByTheNumbersOfAnEarlierIncarnation() {
            listInFirstIncarnation("w1");
            completeOnFirstIncarnation("w1", "a", "b", "c");
            d.answerHoldAs("w1", SECOND_BIRTH, NEW_CLOCK, List.of(), List.of());
            d.advance(10);
            assertEquals(0, d.lastHold("w1").acknowledgedUpTo());
        }

        /** Guards against acknowledging results of an incarnation that started after the worker's last answer. */
        @Test
        void areNotAcknowledgedAfterASilence() {
            listInFirstIncarnation("w1");
            completeOnFirstIncarnation("w1", "a", "b", "c");
            assertEquals(3, d.lastHold("w1").acknowledgedUpTo());
            d.advance(600);
            d.leaveHoldUnanswered("w1");
            d.advance(300);
            assertEquals(0, d.lastHold("w1").acknowledgedUpTo());
            d.answerHoldAs("w1", FIRST_BIRTH, OLD_CLOCK + 1_000, List.of(), List.of());
            d.advance(10);
            assertEquals(3, d.lastHold("w1").acknowledgedUpTo());
        }
    }

    /** Returns the newest record of a job's task. */
    private TaskRecord lastRecord() {
        d.advance(50);
        List<List<SchedulerPort.ProgressWrite>> saves = d.port.saves;
        return saves.get(saves.size() - 1).get(0).progress().tasks().get(0);
    }

    @Nested
    class ARun {

        /** Guards against waiting for a stop or a deadline of a run that was lost with an earlier incarnation. */
        @Test
        void thatWasLostIsRestartedAtOnceAndCountsAsACrash() {
            listInFirstIncarnation("w1", "w2");
            StartOrder s = submitAndStart("a");
            String lost = s.worker().id();
            d.answerHoldAs(lost, FIRST_BIRTH, OLD_CLOCK + 100, List.of(running("a", 1)), List.of());
            d.answerHoldAs(lost, SECOND_BIRTH, NEW_CLOCK, List.of(), List.of());
            assertEquals(1, lastRecord().knownCrashes());
            d.completeSaves();
            assertEquals(2, d.lastStart().run());
            assertEquals(List.of(), d.port.stops);
        }

        /** Guards against a second run of a task that the new incarnation has already accepted. */
        @Test
        void inTheNewIncarnationContinues() {
            listInFirstIncarnation("w1", "w2");
            StartOrder s = submitAndStart("a");
            d.answerHoldAs(s.worker().id(), SECOND_BIRTH, NEW_CLOCK, List.of(running("a", 1)), List.of());
            d.answerHoldAs(s.worker().id(), SECOND_BIRTH, NEW_CLOCK + 100, List.of(), List.of(done(1, "a", 1)));
            assertEquals(List.of("a"), ended(JobState.COMPLETED));
            assertEquals(1, d.port.starts.size());
        }

        /** Guards against a second run in parallel to one that was considered lost and is alive. */
        @Test
        void thatWasConsideredLostAndIsAliveContinues() {
            listInFirstIncarnation("w1");
            StartOrder s = submitAndStart("a");
            d.advance(3_000);
            d.scheduler.onRunningWorkers(Set.of(), d.now);
            d.scheduler.onWorkers(List.of(SchedulerDriver.workerBornAt("w1", SECOND_BIRTH)));
            d.advance(1);
            d.answerHoldAs("w1", SECOND_BIRTH, NEW_CLOCK, List.of(running("a", s.run())), List.of());
            d.advance(50);
            d.completeSaves();
            d.answerHoldAs("w1", SECOND_BIRTH, NEW_CLOCK + 100, List.of(), List.of(done(1, "a", s.run())));
            assertEquals(1, d.port.starts.size());
            assertEquals(List.of(), d.port.stops);
            assertEquals(List.of("a"), ended(JobState.COMPLETED));
        }

        /** Guards against a second run of a task that an earlier incarnation completed and reports late. */
        @Test
        void completedByAnEarlierIncarnationStaysDone() {
            listInFirstIncarnation("w1");
            StartOrder s = submitAndStart("a");
            HoldOrder early = d.lastHold("w1");
            long sentAt = d.now;
            d.leaveHoldUnanswered("w1");
            d.advance(300);
            d.answerHoldAs("w1", SECOND_BIRTH, NEW_CLOCK, List.of(running("a", 1)), List.of());
            d.scheduler.onHoldAnswered(
                    early, sentAt, new HoldResponse(FIRST_BIRTH, OLD_CLOCK, List.of(), List.of(done(7, "a", s.run()))));
            d.advance(10);
            d.answerHoldAs("w1", SECOND_BIRTH, NEW_CLOCK + 100, List.of(), List.of(done(1, "a", 1)));
            assertEquals(List.of("a"), ended(JobState.COMPLETED));
            assertEquals(1, d.port.starts.size());
        }
    }

    @Nested
    class AnOrder {

        /**
         * Guards against deadlines by the clock of an earlier incarnation, which would be too early or too late on
         * the new one.
         */
        @Test
        void carriesADeadlineByTheNewIncarnationsClock() {
            listInFirstIncarnation("w1");
            d.advance(10);
            d.answerHoldAs("w1", SECOND_BIRTH, NEW_CLOCK, List.of(), List.of());
            d.scheduler.onWorkers(List.of(SchedulerDriver.workerBornAt("w1", SECOND_BIRTH)));
            StartOrder s = submitAndStart("a");
            assertTrue(s.deadlineMillis() < NEW_CLOCK + 2 * SchedulerDriver.HOLD_MILLIS, () -> "" + s.deadlineMillis());
        }

        /**
         * Guards against a deadline by the clock of an incarnation that ended unobserved, which another owner cannot
         * know about.
         */
        @Test
        void thatIsAHoldCarriesNoDeadlineAfterASilence() {
            listInFirstIncarnation("w1");
            submitAndStart("a");
            assertTrue(d.lastHold("w1").deadlineMillis() > OLD_CLOCK);
            d.advance(1_000);
            d.leaveHoldUnanswered("w1");
            d.advance(300);
            assertEquals(0, d.lastHold("w1").deadlineMillis());
            assertEquals(0, d.lastHold("w1").waitMillis());
            d.answerHoldAs("w1", FIRST_BIRTH, OLD_CLOCK + 1_300, List.of(running("a", 1)), List.of());
            assertEquals(
                    OLD_CLOCK + 1_300 + SchedulerDriver.HOLD_MILLIS,
                    d.lastHold("w1").deadlineMillis());
        }

        /** Guards against placing by the room and labels of an earlier incarnation. */
        @Test
        void waitsForTheEntryOfTheNewIncarnation() {
            listInFirstIncarnation("w1");
            d.answerHoldAs("w1", SECOND_BIRTH, NEW_CLOCK, List.of(), List.of());
            d.submit("a", ONE);
            d.advance(50);
            d.completeSaves();
            assertEquals(0, d.port.starts.size());
            d.scheduler.onWorkers(List.of(SchedulerDriver.workerBornAt("w1", SECOND_BIRTH)));
            d.advance(50);
            d.completeSaves();
            assertEquals(1, d.port.starts.size());
        }
    }

    @Nested
    class EvidenceAgainstAnIncarnation {

        /** Guards against a task that avoids this worker because an earlier incarnation failed it. */
        @Test
        void doesNotApplyToTheNextOne() {
            listInFirstIncarnation("w1");
            StartOrder s = submitAndStart("a");
            RunResult failed = new RunResult(1, "a", TASK, s.run(), EndKind.FAILED, "");
            d.answerHoldAs("w1", FIRST_BIRTH, OLD_CLOCK + 100, List.of(), List.of(failed));
            d.advance(50);
            d.completeSaves();
            assertEquals(1, d.port.starts.size());
            d.answerHoldAs("w1", SECOND_BIRTH, NEW_CLOCK, List.of(), List.of());
            d.scheduler.onWorkers(List.of(SchedulerDriver.workerBornAt("w1", SECOND_BIRTH)));
            d.advance(50);
            d.completeSaves();
            assertEquals(2, d.port.starts.size());
        }
    }

    @Nested
    class AWorkerWithoutAStatedBirth {

        /**
         * Guards against skipping the results of an incarnation that only its clock distinguishes from the previous
         * one.
         */
        @Test
        void isDetectedAsRestartedByItsClock() {
            d.listWorkers("w1");
            d.answerHoldAs("w1", 0, OLD_CLOCK, List.of(), List.of());
            StartOrder a = submitAndStart("a");
            d.answerHoldAs("w1", 0, OLD_CLOCK + 100, List.of(), List.of(done(1, "a", a.run())));
            d.advance(50);
            d.completeSaves();
            d.answerHoldAs("w1", 0, NEW_CLOCK, List.of(), List.of());
            StartOrder b = submitAndStart("b");
            d.answerHoldAs("w1", 0, NEW_CLOCK + 100, List.of(), List.of(done(1, "b", b.run())));
            assertEquals(List.of("a", "b"), ended(JobState.COMPLETED));
        }
    }

    @Nested
    class AnOutdatedAnswer {

        /** Guards against mistaking answers that arrive out of order for a restart. */
        @Test
        void endsNoIncarnation() {
            d.listWorkers("w1");
            long sentAt = d.now;
            HoldOrder early = d.lastHold("w1");
            d.advance(100);
            d.answerHoldAs("w1", 0, OLD_CLOCK + 100, List.of(), List.of());
            d.scheduler.onHoldAnswered(early, sentAt, new HoldResponse(0, OLD_CLOCK, List.of(), List.of()));
            assertEquals(
                    0,
                    d.port.events.stream()
                            .filter(e -> e.kind() == SchedulerEvent.Kind.WORKER_RESTARTED)
                            .count());
        }
    }

    @Nested
    class AListOfInstancesWithoutTheWorker {

        private StartOrder startAndStaySilent() {
            listInFirstIncarnation("w1");
            d.submit("a", ONE);
            d.advance(50);
            d.completeSaves();
            d.scheduler.onWorkers(List.of(
                    SchedulerDriver.workerBornAt("w1", FIRST_BIRTH), SchedulerDriver.workerBornAt("w2", FIRST_BIRTH)));
            d.advance(1);
            d.answerHoldAs("w2", FIRST_BIRTH, OLD_CLOCK, List.of(), List.of());
            d.advance(2_800);
            return d.lastStart();
        }

        /**
         * Guards against a second run in parallel to the one that the next incarnation starts by an order in flight.
         */
        @Test
        void endsNoRunWhoseStartIsInFlight() {
            StartOrder s = startAndStaySilent();
            d.scheduler.onRunningWorkers(Set.of(), d.now);
            assertFalse(isLost());
            d.scheduler.onStarted(s, OrderOutcome.UNKNOWN);
            d.advance(300);
            assertEquals(1, d.port.starts.size(), "no further start may be in flight");
            d.scheduler.onRunningWorkers(Set.of(), d.now);
            assertFalse(isLost(), "the list may be older than the start");
            d.advance(MAX_ORDER_DELAY_MILLIS);
            d.scheduler.onRunningWorkers(Set.of(), d.now);
            assertFalse(isLost(), "the next incarnation may have started it since the list was made");
            d.advance(2_700);
            d.scheduler.onRunningWorkers(Set.of(), d.now);
            assertTrue(isLost());
        }

        /** Guards against the same failure if the worker's entry already describes the next incarnation. */
        @Test
        void endsNoRunOfAWorkerWhoseEntryIsNewer() {
            StartOrder s = startAndStaySilent();
            d.scheduler.onStarted(s, OrderOutcome.UNKNOWN);
            d.scheduler.onWorkers(List.of(SchedulerDriver.workerBornAt("w1", SECOND_BIRTH)));
            d.advance(10);
            d.scheduler.onRunningWorkers(Set.of(), d.now);
            assertFalse(isLost());
        }
    }

    @Nested
    class AnAnswerThatIsOlderThanTheEndOfARun {

        private static final long CALL_MILLIS = 3;

        private @Nullable HoldOrder early;
        private long sentAt;

        private void endRunWithAnOlderAnswerInFlight() {
            listInFirstIncarnation("w1");
            StartOrder s = submitAndStart("a");
            early = d.lastHold("w1");
            sentAt = d.now;
            // The entry of another incarnation allows another hold to be sent, and prevents new placements.
            d.scheduler.onWorkers(List.of(SchedulerDriver.workerBornAt("w1", SECOND_BIRTH)));
            d.advance(CALL_MILLIS);
            RunResult stopped = new RunResult(1, "a", TASK, s.run(), EndKind.STOPPED, "");
            d.answerHoldAs("w1", FIRST_BIRTH, OLD_CLOCK + 20, List.of(), List.of(stopped));
            d.advance(50);
            d.completeSaves();
        }

        private void deliverOlderAnswer() {
            HoldResponse older = new HoldResponse(FIRST_BIRTH, OLD_CLOCK + 10, List.of(running("a", 1)), List.of());
            d.scheduler.onHoldAnswered(Objects.requireNonNull(early), sentAt, older);
            d.advance(1);
        }

        /** Guards against treating an ended run as alive, which keeps a stopped task from being placed anywhere. */
        @Test
        void doesNotRestoreTheRun() {
            endRunWithAnOlderAnswerInFlight();
            deliverOlderAnswer();
            assertEquals(List.of(), d.port.events(SchedulerEvent.Kind.RUN_FOUND));
        }

        /** Guards against having two holds of a worker in flight permanently. */
        @Test
        void doesNotCauseAnotherHold() {
            endRunWithAnOlderAnswerInFlight();
            int holds = d.port.holds.size();
            deliverOlderAnswer();
            assertEquals(holds, d.port.holds.size());
        }
    }

    @Nested
    class AnIncarnationThatBecomesSilent {

        private static final long LONGEST_HOLD_MILLIS = 10_000;

        /**
         * Guards against a second run while a deadline by the earlier incarnation's clock still keeps the first one
         * alive.
         */
        @Test
        void mayKeepItsRunsForTheMaximumTime() {
            listInFirstIncarnation("w1");
            d.advance(10);
            d.answerHoldAs("w1", SECOND_BIRTH, NEW_CLOCK, List.of(), List.of());
            d.scheduler.onWorkers(List.of(SchedulerDriver.workerBornAt("w1", SECOND_BIRTH)));
            submitAndStart("a");
            d.advance(LONGEST_HOLD_MILLIS - 500);
            assertFalse(isLost());
            d.advance(2_000);
            assertTrue(isLost());
        }

        /**
         * Guards against the same failure caused by a start that was in flight at the restart and is executed seconds
         * later.
         */
        @Test
        void mayKeepRunsByAStartThatWasInFlight() {
            listInFirstIncarnation("w1");
            d.submit("a", ONE);
            d.advance(50);
            d.completeSaves();
            d.advance(10);
            d.answerHoldAs("w1", SECOND_BIRTH, NEW_CLOCK, List.of(), List.of());
            d.advance(500);
            d.scheduler.onStarted(d.lastStart(), OrderOutcome.UNKNOWN);
            d.leaveHoldUnanswered("w1");
            d.advance(LONGEST_HOLD_MILLIS + 2_000);
            assertFalse(isLost());
            d.advance(15_000);
            assertTrue(isLost());
        }
    }

    @Nested
    class AStartThatMayArriveAfterTheRestart {

        /** Starts a job whose first start has no answer and whose second start is accepted. */
        private StartOrder startTwice() {
            d.submit("a", ONE);
            d.advance(50);
            d.completeSaves();
            StartOrder first = d.lastStart();
            d.scheduler.onStarted(first, OrderOutcome.UNKNOWN);
            d.advance(250);
            StartOrder second = d.lastStart();
            assertTrue(second.fence() > first.fence());
            d.scheduler.onStarted(second, OrderOutcome.ACCEPTED);
            return first;
        }

        /** Guards against a late start that repeats a run which an earlier incarnation has completed. */
        @Test
        void isFencedByTheFirstHoldOfTheNextIncarnation() {
            listInFirstIncarnation("w1");
            StartOrder late = startTwice();
            d.answerHoldAs("w1", FIRST_BIRTH, OLD_CLOCK + 500, List.of(), List.of(done(1, "a", 1)));
            d.advance(50);
            d.completeSaves();
            d.leaveHoldUnanswered("w1");
            d.advance(300);
            assertTrue(d.lastHold("w1").fence() > late.fence());
            d.answerHoldAs("w1", SECOND_BIRTH, NEW_CLOCK, List.of(), List.of());
            d.advance(10);
            assertTrue(d.lastHold("w1").fence() > late.fence());
        }

        /** Guards against a second run of a task that a late start begins on the next incarnation. */
        @Test
        void keepsItsTaskUntilItIsFenced() {
            listInFirstIncarnation("w1");
            HoldOrder early = d.lastHold("w1");
            long sentAt = d.now + 300;
            StartOrder late = startTwice();
            d.advance(100);
            d.scheduler.onHoldAnswered(early, sentAt, new HoldResponse(SECOND_BIRTH, NEW_CLOCK, List.of(), List.of()));
            d.advance(10);
            assertEquals(List.of(), d.port.events(SchedulerEvent.Kind.RUN_ENDED));
            assertTrue(d.lastHold("w1").fence() > late.fence());
            d.answerHoldAs("w1", SECOND_BIRTH, NEW_CLOCK + 10, List.of(), List.of());
            assertEquals(1, d.port.events(SchedulerEvent.Kind.RUN_ENDED).size());
        }

        /** Guards against a second run where the store has not confirmed any revision that could serve as a token. */
        @Test
        void keepsItsTaskUntilItExpiresIfTheFenceCannotBeRaised() {
            d.port.highestFence = FakeSchedulerPort.LOWEST_FENCE;
            listInFirstIncarnation("w1");
            d.submit("a", ONE);
            d.advance(50);
            d.completeSaves();
            d.scheduler.onStarted(d.lastStart(), OrderOutcome.UNKNOWN);
            d.advance(250);
            d.scheduler.onStarted(d.lastStart(), OrderOutcome.ACCEPTED);
            long unansweredAt = d.now - 250;
            d.advance(300);
            for (long clock = NEW_CLOCK; d.now <= unansweredAt + MAX_ORDER_DELAY_MILLIS; clock += 1_000) {
                d.answerHoldAs("w1", SECOND_BIRTH, clock, List.of(), List.of());
                assertEquals(0, d.port.events(SchedulerEvent.Kind.RUN_ENDED).size());
                d.advance(1_000);
            }
            d.answerHoldAs("w1", SECOND_BIRTH, NEW_CLOCK + 60_000, List.of(), List.of());
            assertEquals(1, d.port.events(SchedulerEvent.Kind.RUN_ENDED).size());
        }

        /** Guards against a late start to a worker that was given up and has been listed again since. */
        @Test
        void isFencedAfterItsWorkerWasGivenUp() {
            listInFirstIncarnation("w1");
            d.submit("a", ONE);
            d.advance(50);
            d.completeSaves();
            StartOrder late = d.lastStart();
            d.scheduler.onStarted(late, OrderOutcome.UNKNOWN);
            d.advance(MAX_ORDER_DELAY_MILLIS + 3_000);
            d.scheduler.onRunningWorkers(Set.of(), d.now);
            assertTrue(isLost());
            d.scheduler.onWorkers(List.of(SchedulerDriver.workerBornAt("w1", SECOND_BIRTH)));
            d.advance(10);
            assertTrue(d.lastHold("w1").fence() > late.fence());
        }

        /** Guards against treating this owner's own fence as that of a later owner. */
        @Test
        void isRepeatedWhenFencedByThisOwner() {
            listInFirstIncarnation("w1");
            d.submit("a", ONE);
            d.submit("b", ONE);
            d.advance(50);
            d.completeSaves();
            StartOrder a = d.port.starts.get(0);
            StartOrder b = d.port.starts.get(1);
            d.scheduler.onStarted(a, OrderOutcome.UNKNOWN);
            d.advance(250);
            d.scheduler.onStarted(b, OrderOutcome.FENCED);
            d.advance(10);
            assertEquals(List.of(), d.port.lost);
            StartOrder again = d.lastStart();
            assertEquals(b.jobId(), again.jobId());
            assertEquals(b.run(), again.run());
            d.scheduler.onStarted(again, OrderOutcome.FENCED);
            assertEquals(1, d.port.lost.size());
        }
    }

    @Nested
    class AnOrderOvertakenByAHigherFence {

        /** Starts two jobs, the first of which is at work; the start of the second gets no answer. */
        private void startSecondWithoutAnswer() {
            listInFirstIncarnation("w1");
            submitAndStart("a");
            d.submit("b", ONE);
            d.advance(50);
            d.completeSaves();
        }

        private void raiseFence() {
            d.scheduler.onStarted(d.lastStart(), OrderOutcome.UNKNOWN);
            d.advance(250);
        }

        /** Guards against giving up the service because of this owner's own fence. */
        @Test
        void thatIsAStopIsRepeated() {
            startSecondWithoutAnswer();
            d.scheduler.onCancel(new JobKey("q", "a"));
            d.advance(10);
            StopOrder early = d.port.stops.get(0);
            raiseFence();
            d.scheduler.onStopped(early, OrderOutcome.FENCED);
            d.advance(10);
            assertEquals(List.of(), d.port.lost);
            StopOrder again = d.port.stops.get(1);
            assertTrue(again.fence() > early.fence());
            d.scheduler.onStopped(again, OrderOutcome.FENCED);
            assertEquals(1, d.port.lost.size());
        }

        /** Guards against the same failure by a hold. */
        @Test
        void thatIsAHoldIsRepeated() {
            startSecondWithoutAnswer();
            HoldOrder early = d.lastHold("w1");
            raiseFence();
            d.scheduler.onHoldFailed(early, OrderOutcome.FENCED);
            d.advance(300);
            assertEquals(List.of(), d.port.lost);
            HoldOrder again = d.lastHold("w1");
            assertTrue(again.fence() > early.fence());
            d.scheduler.onHoldFailed(again, OrderOutcome.FENCED);
            assertEquals(1, d.port.lost.size());
        }
    }

    @Nested
    class ARaisedFence {

        /** Guards against leaving the late start acceptable for as long as a hold waits for an end. */
        @Test
        void isSentWithAHoldThatDoesNotWait() {
            listInFirstIncarnation("w1");
            d.submit("a", ONE);
            d.advance(50);
            d.completeSaves();
            StartOrder late = d.lastStart();
            d.scheduler.onStarted(late, OrderOutcome.UNKNOWN);
            d.answerHoldAs("w1", FIRST_BIRTH, OLD_CLOCK + 50, List.of(), List.of());
            d.advance(1);
            assertTrue(d.lastHold("w1").fence() > late.fence());
            assertEquals(0, d.lastHold("w1").waitMillis());
            d.answerHoldAs("w1", FIRST_BIRTH, OLD_CLOCK + 60, List.of(), List.of());
            d.advance(1);
            assertTrue(d.lastHold("w1").waitMillis() > 0);
        }

        /** Guards against a start in flight that reaches a worker which has been given up and is listed again. */
        @Test
        void isSentToAWorkerThatWasLostWithAStartInFlight() {
            listInFirstIncarnation("w1");
            d.submit("a", ONE);
            d.advance(50);
            d.completeSaves();
            StartOrder late = d.lastStart();
            d.answerAsOtherIncarnation("w1");
            d.scheduler.onWorkers(List.of(SchedulerDriver.workerBornAt("w1", SECOND_BIRTH)));
            d.advance(10);
            assertTrue(d.lastHold("w1").fence() > late.fence());
        }
    }

    @Nested
    class AHoldThatMayArriveAfterTheRestart {

        /** Guards against a late hold that acknowledges results of the next incarnation, which nobody has processed. */
        @Test
        void isFencedIfItAcknowledgesResults() {
            listInFirstIncarnation("w1");
            completeOnFirstIncarnation("w1", "a", "b", "c");
            HoldOrder late = d.lastHold("w1");
            assertEquals(3, late.acknowledgedUpTo());
            d.advance(600);
            d.leaveHoldUnanswered("w1");
            d.advance(300);
            assertTrue(d.lastHold("w1").fence() > late.fence());
        }

        /** Guards against using up tokens for each hold to a worker that stays silent. */
        @Test
        void needsNoFenceIfItOnlyAsksForAReport() {
            listInFirstIncarnation("w1");
            d.advance(600);
            d.leaveHoldUnanswered("w1");
            d.advance(300);
            long fence = d.lastHold("w1").fence();
            d.leaveHoldUnanswered("w1");
            d.advance(300);
            assertEquals(0, d.lastHold("w1").acknowledgedUpTo());
            assertEquals(fence, d.lastHold("w1").fence());
        }
    }

    @Nested
    class UnderANewOwner {

        private void takeOverRun(@Nullable Long recordedBirth) {
            TaskRecord r = new TaskRecord(0, 0, 0, 1, 0, false, "w1", "", 0, 0, recordedBirth);
            d.scheduler.onWorkers(List.of(SchedulerDriver.workerBornAt("w1", SECOND_BIRTH)));
            d.submit("a", new JobProgress(JobState.RUNNING, List.of(r), "", 0), ONE);
            d.advance(10);
            d.answerHoldAs("w1", SECOND_BIRTH, NEW_CLOCK, List.of(), List.of());
        }

        /**
         * Guards against restarting a task without limit because each owner takes its lost run for one that never
         * started.
         */
        @Test
        void runOfAnEarlierIncarnationMayHaveCrashedIt() {
            takeOverRun(FIRST_BIRTH);
            assertEquals(1, lastRecord().knownDoubtfulCrashes());
        }

        /** Guards against a second run while a deadline by the earlier incarnation's clock still keeps the first one alive. */
        @Test
        void listedRunOfAnEarlierIncarnationMayBeKeptForTheMaximumTime() {
            TaskRecord r = new TaskRecord(0, 0, 0, 1, 0, false, "w1", "", 0, 0, FIRST_BIRTH);
            d.scheduler.onWorkers(List.of(SchedulerDriver.workerBornAt("w1", SECOND_BIRTH)));
            d.submit("a", new JobProgress(JobState.RUNNING, List.of(r), "", 0), ONE);
            d.advance(10);
            d.answerHoldAs("w1", SECOND_BIRTH, NEW_CLOCK, List.of(running("a", 1)), List.of());
            d.leaveHoldUnanswered("w1");
            d.advance(9_500);
            assertEquals(List.of(), d.port.starts);
            assertFalse(isLost());
        }

        /** Guards against blaming a task whose record, written by an earlier version, does not name an incarnation. */
        @Test
        void runOfAnUnknownIncarnationIsNotCounted() {
            takeOverRun(null);
            assertEquals(0, lastRecord().knownDoubtfulCrashes());
        }

        @Test
        void recordNamesTheIncarnation() {
            listInFirstIncarnation("w1");
            submitAndStart("a");
            d.submit("b", ONE);
            assertEquals(FIRST_BIRTH, lastRecord().knownWorkerStartMillis());
        }
    }

    @Nested
    class AnUnreadableBirth {

        /** Guards against losing a worker, or aborting a pass, because of an unreadable birth. */
        @Test
        void isLoggedOnceAndTheWorkerIsUsed() {
            long unreadable = WorkerIncarnation.UNREADABLE_START;
            d.scheduler.onWorkers(List.of(SchedulerDriver.workerBornAt("w1", unreadable)));
            d.advance(1);
            d.answerHoldAs("w1", unreadable, OLD_CLOCK, List.of(), List.of());
            submitAndStart("a");
            long logged = d.port.events.stream()
                    .filter(e -> e.kind() == SchedulerEvent.Kind.BIRTH_UNREADABLE)
                    .count();
            assertEquals(1, logged);
        }
    }
}
