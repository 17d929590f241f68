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
import org.lupinpaddle.core.job.JobProgress;
import org.lupinpaddle.core.job.JobState;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.job.TaskId;
import org.lupinpaddle.core.job.TaskRecord;
import org.lupinpaddle.core.placement.WorkerIncarnation;

/** A worker that restarts under its id: its results, its clock and its runs start anew. */
class WorkerRestartTest {

    private static final long FIRST_BIRTH = 1_000_000;
    private static final long SECOND_BIRTH = 1_060_000;
    // The clock of a life counts from its start.
    private static final long OLD_CLOCK = 60_000;
    private static final long NEW_CLOCK = 500;

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

    /** Lists workers that have answered a hold in their first lives. */
    private void listed(String... ids) {
        d.scheduler.onWorkers(List.of(ids).stream()
                .map(id -> SchedulerDriver.workerBornAt(id, FIRST_BIRTH))
                .toList());
        d.advance(1);
        for (String id : ids) {
            d.answerHoldAs(id, FIRST_BIRTH, OLD_CLOCK, List.of(), List.of());
        }
    }

    /** Starts a job of one task, which a worker accepts. */
    private StartOrder started(String job) {
        d.submit(job, ONE);
        d.advance(50);
        d.completeSaves();
        StartOrder s = d.lastStart();
        assertEquals(job, s.jobId());
        d.scheduler.onStarted(s, OrderOutcome.ACCEPTED);
        d.advance(10);
        return s;
    }

    /** Lets the first life of a worker end jobs, and lets their results become durable. */
    private void firstLifeEnds(String worker, String... jobs) {
        long number = 0;
        for (String job : jobs) {
            number++;
            StartOrder s = started(job);
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
    class TheResultsOfALaterLife {

        /** Guards against passing over results as known because an earlier life of the worker used their numbers. */
        @Test
        void areProcessedThoughAnEarlierLifeUsedTheirNumbers() {
            listed("w1");
            firstLifeEnds("w1", "a", "b", "c");
            d.answerHoldAs("w1", SECOND_BIRTH, NEW_CLOCK, List.of(), List.of());
            d.scheduler.onWorkers(List.of(SchedulerDriver.workerBornAt("w1", SECOND_BIRTH)));
            StartOrder s = started("x");
            d.answerHoldAs("w1", SECOND_BIRTH, NEW_CLOCK + 100, List.of(), List.of(done(1, "x", s.run())));
            assertEquals(List.of("a", "b", "c", "x"), ended(JobState.COMPLETED));
        }

        /** Guards against acknowledging results of a later life that nobody has processed. */
        @Test
        void areNotAcknowledgedByTheNumbersOfAnEarlierLife() {
            listed("w1");
            firstLifeEnds("w1", "a", "b", "c");
            d.answerHoldAs("w1", SECOND_BIRTH, NEW_CLOCK, List.of(), List.of());
            d.advance(10);
            assertEquals(0, d.lastHold("w1").acknowledgedUpTo());
        }

        /** Guards against acknowledging results of a life that has begun since the worker answered last. */
        @Test
        void areNotAcknowledgedAfterASilence() {
            listed("w1");
            firstLifeEnds("w1", "a", "b", "c");
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
    private TaskRecord written() {
        d.advance(50);
        List<List<SchedulerPort.ProgressWrite>> saves = d.port.saves;
        return saves.get(saves.size() - 1).get(0).progress().tasks().get(0);
    }

    @Nested
    class ARun {

        /** Guards against waiting for a stop, or a deadline, of what was lost with an earlier life. */
        @Test
        void thatWasLostIsStartedAgainAtOnceAndCountsAsACrash() {
            listed("w1", "w2");
            StartOrder s = started("a");
            String lost = s.worker().id();
            d.answerHoldAs(lost, FIRST_BIRTH, OLD_CLOCK + 100, List.of(running("a", 1)), List.of());
            d.answerHoldAs(lost, SECOND_BIRTH, NEW_CLOCK, List.of(), List.of());
            assertEquals(1, written().knownCrashes());
            d.completeSaves();
            assertEquals(2, d.lastStart().run());
            assertEquals(List.of(), d.port.stops);
        }

        /** Guards against a second run of what the new life has accepted already. */
        @Test
        void thatTheNewLifeRunsGoesOn() {
            listed("w1", "w2");
            StartOrder s = started("a");
            d.answerHoldAs(s.worker().id(), SECOND_BIRTH, NEW_CLOCK, List.of(running("a", 1)), List.of());
            d.answerHoldAs(s.worker().id(), SECOND_BIRTH, NEW_CLOCK + 100, List.of(), List.of(done(1, "a", 1)));
            assertEquals(List.of("a"), ended(JobState.COMPLETED));
            assertEquals(1, d.port.starts.size());
        }

        /** Guards against a second run beside one that was given up for lost and is alive. */
        @Test
        void thatWasGivenUpAndIsFoundAliveGoesOn() {
            listed("w1");
            StartOrder s = started("a");
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

        /** Guards against a second run of what an earlier life has done and says so late. */
        @Test
        void thatAnEarlierLifeHasDoneStaysDone() {
            listed("w1");
            StartOrder s = started("a");
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

        /** Guards against deadlines by the clock of an earlier life: the new one would cut them short or stretch them. */
        @Test
        void carriesADeadlineOfTheNewLifesClock() {
            listed("w1");
            d.advance(10);
            d.answerHoldAs("w1", SECOND_BIRTH, NEW_CLOCK, List.of(), List.of());
            d.scheduler.onWorkers(List.of(SchedulerDriver.workerBornAt("w1", SECOND_BIRTH)));
            StartOrder s = started("a");
            assertTrue(s.deadlineMillis() < NEW_CLOCK + 2 * SchedulerDriver.HOLD_MILLIS, () -> "" + s.deadlineMillis());
        }

        /** Guards against a deadline by the clock of a life that has ended in the silence, which another owner can not know of. */
        @Test
        void toPollCarriesNoDeadlineAfterASilence() {
            listed("w1");
            started("a");
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

        /** Guards against placing by the room and labels that an earlier life had. */
        @Test
        void waitsForTheEntryOfTheNewLife() {
            listed("w1");
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
    class WhatIsHeldAgainstALife {

        /** Guards against a task that waits for other workers since an earlier life of this one failed it. */
        @Test
        void doesNotHoldForTheNext() {
            listed("w1");
            StartOrder s = started("a");
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
    class AWorkerThatStatesNoBirth {

        /** Guards against passing over the results of a life that only its clock tells from the one before. */
        @Test
        void isKnownToHaveRestartedByItsClock() {
            d.listWorkers("w1");
            d.answerHoldAs("w1", 0, OLD_CLOCK, List.of(), List.of());
            StartOrder a = started("a");
            d.answerHoldAs("w1", 0, OLD_CLOCK + 100, List.of(), List.of(done(1, "a", a.run())));
            d.advance(50);
            d.completeSaves();
            d.answerHoldAs("w1", 0, NEW_CLOCK, List.of(), List.of());
            StartOrder b = started("b");
            d.answerHoldAs("w1", 0, NEW_CLOCK + 100, List.of(), List.of(done(1, "b", b.run())));
            assertEquals(List.of("a", "b"), ended(JobState.COMPLETED));
        }
    }

    @Nested
    class AnAnswerThatWasOvertaken {

        /** Guards against taking answers that overtake each other for a restart. */
        @Test
        void endsNoLife() {
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

        private StartOrder silentSinceItsStart() {
            listed("w1");
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

        /** Guards against a second run beside the one that the next life of the worker begins by a start under way. */
        @Test
        void endsNoRunWhoseStartIsUnderWay() {
            StartOrder s = silentSinceItsStart();
            d.scheduler.onRunningWorkers(Set.of(), d.now);
            assertFalse(isLost());
            d.scheduler.onStarted(s, OrderOutcome.UNKNOWN);
            d.advance(300);
            assertEquals(1, d.port.starts.size(), "no further start goes out, which would be under way again");
            d.scheduler.onRunningWorkers(Set.of(), d.now);
            assertTrue(isLost());
        }

        /** Guards against the same where the worker's entry already shows its next life. */
        @Test
        void endsNoRunOfAWorkerWhoseEntryIsNewer() {
            StartOrder s = silentSinceItsStart();
            d.scheduler.onStarted(s, OrderOutcome.UNKNOWN);
            d.scheduler.onWorkers(List.of(SchedulerDriver.workerBornAt("w1", SECOND_BIRTH)));
            d.advance(10);
            d.scheduler.onRunningWorkers(Set.of(), d.now);
            assertFalse(isLost());
        }
    }

    @Nested
    class AnAnswerThatWasOvertakenByTheEndOfARun {

        private static final long CALL_MILLIS = 3;

        private @Nullable HoldOrder early;
        private long sentAt;

        private void runEndsWhileAnOlderAnswerIsOnItsWay() {
            listed("w1");
            StartOrder s = started("a");
            early = d.lastHold("w1");
            sentAt = d.now;
            // The entry of another life lets a further poll be sent, and keeps new runs away.
            d.scheduler.onWorkers(List.of(SchedulerDriver.workerBornAt("w1", SECOND_BIRTH)));
            d.advance(CALL_MILLIS);
            RunResult stopped = new RunResult(1, "a", TASK, s.run(), EndKind.STOPPED, "");
            d.answerHoldAs("w1", FIRST_BIRTH, OLD_CLOCK + 20, List.of(), List.of(stopped));
            d.advance(50);
            d.completeSaves();
        }

        private void olderAnswerArrives() {
            HoldResponse older = new HoldResponse(FIRST_BIRTH, OLD_CLOCK + 10, List.of(running("a", 1)), List.of());
            d.scheduler.onHoldAnswered(Objects.requireNonNull(early), sentAt, older);
            d.advance(1);
        }

        /** Guards against taking a run that has ended for one that is alive, which keeps a stopped task off every worker. */
        @Test
        void doesNotBringTheRunBack() {
            runEndsWhileAnOlderAnswerIsOnItsWay();
            olderAnswerArrives();
            assertEquals(List.of(), d.port.events(SchedulerEvent.Kind.RUN_FOUND));
        }

        /** Guards against two polls of a worker that are under way together for good. */
        @Test
        void doesNotLetAFurtherPollBeSent() {
            runEndsWhileAnOlderAnswerIsOnItsWay();
            int holds = d.port.holds.size();
            olderAnswerArrives();
            assertEquals(holds, d.port.holds.size());
        }
    }

    @Nested
    class ALifeThatFallsSilent {

        private static final long LONGEST_HOLD_MILLIS = 10_000;

        /** Guards against a second run while a deadline by the earlier life's clock still keeps the first one alive. */
        @Test
        void mayKeepItsRunsForAsLongAsAnyWorkerDoes() {
            listed("w1");
            d.advance(10);
            d.answerHoldAs("w1", SECOND_BIRTH, NEW_CLOCK, List.of(), List.of());
            d.scheduler.onWorkers(List.of(SchedulerDriver.workerBornAt("w1", SECOND_BIRTH)));
            started("a");
            d.advance(LONGEST_HOLD_MILLIS - 500);
            assertFalse(isLost());
            d.advance(2_000);
            assertTrue(isLost());
        }

        /** Guards against the same by a start that was under way at the restart and is carried out seconds later. */
        @Test
        void mayKeepItsRunsByAStartThatWasUnderWay() {
            listed("w1");
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
    class UnderANewOwner {

        private void recovers(@Nullable Long recordedBirth) {
            TaskRecord r = new TaskRecord(0, 0, 0, 1, 0, false, "w1", "", 0, 0, recordedBirth);
            d.scheduler.onWorkers(List.of(SchedulerDriver.workerBornAt("w1", SECOND_BIRTH)));
            d.submit("a", new JobProgress(JobState.RUNNING, List.of(r), "", 0), ONE);
            d.advance(10);
            d.answerHoldAs("w1", SECOND_BIRTH, NEW_CLOCK, List.of(), List.of());
        }

        /** Guards against starting a task without end since each owner takes its lost run for one that never began. */
        @Test
        void aRunOfAnEarlierLifeMayHaveCrashedIt() {
            recovers(FIRST_BIRTH);
            assertEquals(1, written().knownDoubtfulCrashes());
        }

        /** Guards against a second run while a deadline by the earlier life's clock still keeps the first one alive. */
        @Test
        void aRunOfAnEarlierLifeThatIsShownMayBeKeptForAsLongAsAnyWorkerDoes() {
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

        /** Guards against blaming a task whose record, by an earlier version, does not name a life. */
        @Test
        void aRunOfAnUnknownLifeCountsForNothing() {
            recovers(null);
            assertEquals(0, written().knownDoubtfulCrashes());
        }

        @Test
        void theRecordNamesTheLife() {
            listed("w1");
            started("a");
            d.submit("b", ONE);
            assertEquals(FIRST_BIRTH, written().knownWorkerBornMillis());
        }
    }

    @Nested
    class AnUnreadableBirth {

        /** Guards against losing a worker, or a pass, to a birth that nobody can read. */
        @Test
        void isLoggedOnceAndTheWorkerIsUsed() {
            long unreadable = WorkerIncarnation.UNREADABLE_BIRTH;
            d.scheduler.onWorkers(List.of(SchedulerDriver.workerBornAt("w1", unreadable)));
            d.advance(1);
            d.answerHoldAs("w1", unreadable, OLD_CLOCK, List.of(), List.of());
            started("a");
            long logged = d.port.events.stream()
                    .filter(e -> e.kind() == SchedulerEvent.Kind.BIRTH_UNREADABLE)
                    .count();
            assertEquals(1, logged);
        }
    }
}
