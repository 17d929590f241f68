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

    private static RunningReport running(String job, int run) {
        return new RunningReport(job, TASK, run, "", 10, -1);
    }

    private static EndReport done(long number, String job, int run) {
        return new EndReport(number, job, TASK, run, EndKind.DONE, "");
    }

    /** Lists workers that have answered a hold in their first lives. */
    private void listed(String... ids) {
        d.scheduler.onWorkers(List.of(ids).stream()
                .map(id -> SchedulerDriver.born(id, FIRST_BIRTH))
                .toList());
        d.passes(1);
        for (String id : ids) {
            d.answersAs(id, FIRST_BIRTH, OLD_CLOCK, List.of(), List.of());
        }
    }

    /** Starts a job of one task, which a worker accepts. */
    private StartOrder started(String job) {
        d.job(job, ONE);
        d.passes(50);
        d.saved();
        StartOrder s = d.lastStart();
        assertEquals(job, s.jobId());
        d.scheduler.onStarted(s, OrderOutcome.ACCEPTED);
        d.passes(10);
        return s;
    }

    /** Lets the first life of a worker end jobs, and lets their results become durable. */
    private void firstLifeEnds(String worker, String... jobs) {
        long number = 0;
        for (String job : jobs) {
            number++;
            StartOrder s = started(job);
            d.answersAs(worker, FIRST_BIRTH, OLD_CLOCK + number, List.of(), List.of(done(number, job, s.run())));
            d.passes(50);
            d.saved();
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
            d.answersAs("w1", SECOND_BIRTH, NEW_CLOCK, List.of(), List.of());
            d.scheduler.onWorkers(List.of(SchedulerDriver.born("w1", SECOND_BIRTH)));
            StartOrder s = started("x");
            d.answersAs("w1", SECOND_BIRTH, NEW_CLOCK + 100, List.of(), List.of(done(1, "x", s.run())));
            assertEquals(List.of("a", "b", "c", "x"), ended(JobState.COMPLETED));
        }

        /** Guards against acknowledging results of a later life that nobody has processed. */
        @Test
        void areNotAcknowledgedByTheNumbersOfAnEarlierLife() {
            listed("w1");
            firstLifeEnds("w1", "a", "b", "c");
            d.answersAs("w1", SECOND_BIRTH, NEW_CLOCK, List.of(), List.of());
            d.passes(10);
            assertEquals(0, d.lastHold("w1").acknowledgedUpTo());
        }

        /** Guards against acknowledging results of a life that has begun since the worker answered last. */
        @Test
        void areNotAcknowledgedAfterASilence() {
            listed("w1");
            firstLifeEnds("w1", "a", "b", "c");
            assertEquals(3, d.lastHold("w1").acknowledgedUpTo());
            d.passes(600);
            d.silent("w1");
            d.passes(300);
            assertEquals(0, d.lastHold("w1").acknowledgedUpTo());
            d.answersAs("w1", FIRST_BIRTH, OLD_CLOCK + 1_000, List.of(), List.of());
            d.passes(10);
            assertEquals(3, d.lastHold("w1").acknowledgedUpTo());
        }
    }

    /** Returns the newest record of a job's task. */
    private TaskRecord written() {
        d.passes(50);
        List<List<SchedulerPort.Saving>> saves = d.port.saves;
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
            d.answersAs(lost, FIRST_BIRTH, OLD_CLOCK + 100, List.of(running("a", 1)), List.of());
            d.answersAs(lost, SECOND_BIRTH, NEW_CLOCK, List.of(), List.of());
            assertEquals(1, written().knownCrashes());
            d.saved();
            assertEquals(2, d.lastStart().run());
            assertEquals(List.of(), d.port.stops);
        }

        /** Guards against a second run of what the new life has accepted already. */
        @Test
        void thatTheNewLifeRunsGoesOn() {
            listed("w1", "w2");
            StartOrder s = started("a");
            d.answersAs(s.worker().id(), SECOND_BIRTH, NEW_CLOCK, List.of(running("a", 1)), List.of());
            d.answersAs(s.worker().id(), SECOND_BIRTH, NEW_CLOCK + 100, List.of(), List.of(done(1, "a", 1)));
            assertEquals(List.of("a"), ended(JobState.COMPLETED));
            assertEquals(1, d.port.starts.size());
        }

        /** Guards against a second run beside one that was given up for lost and is alive. */
        @Test
        void thatWasGivenUpAndIsFoundAliveGoesOn() {
            listed("w1");
            StartOrder s = started("a");
            d.passes(3_000);
            d.scheduler.onLiving(Set.of(), d.now);
            d.scheduler.onWorkers(List.of(SchedulerDriver.born("w1", SECOND_BIRTH)));
            d.passes(1);
            d.answersAs("w1", SECOND_BIRTH, NEW_CLOCK, List.of(running("a", s.run())), List.of());
            d.passes(50);
            d.saved();
            d.answersAs("w1", SECOND_BIRTH, NEW_CLOCK + 100, List.of(), List.of(done(1, "a", s.run())));
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
            d.silent("w1");
            d.passes(300);
            d.answersAs("w1", SECOND_BIRTH, NEW_CLOCK, List.of(running("a", 1)), List.of());
            d.scheduler.onHeld(
                    early, sentAt, new HoldAnswer(FIRST_BIRTH, OLD_CLOCK, List.of(), List.of(done(7, "a", s.run()))));
            d.passes(10);
            d.answersAs("w1", SECOND_BIRTH, NEW_CLOCK + 100, List.of(), List.of(done(1, "a", 1)));
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
            d.passes(10);
            d.answersAs("w1", SECOND_BIRTH, NEW_CLOCK, List.of(), List.of());
            d.scheduler.onWorkers(List.of(SchedulerDriver.born("w1", SECOND_BIRTH)));
            StartOrder s = started("a");
            assertTrue(s.deadlineMillis() < NEW_CLOCK + 2 * SchedulerDriver.HOLD_MILLIS, () -> "" + s.deadlineMillis());
        }

        /** Guards against a deadline by the clock of a life that has ended in the silence, which another owner can not know of. */
        @Test
        void toPollCarriesNoDeadlineAfterASilence() {
            listed("w1");
            started("a");
            assertTrue(d.lastHold("w1").deadlineMillis() > OLD_CLOCK);
            d.passes(1_000);
            d.silent("w1");
            d.passes(300);
            assertEquals(0, d.lastHold("w1").deadlineMillis());
            assertEquals(0, d.lastHold("w1").waitMillis());
            d.answersAs("w1", FIRST_BIRTH, OLD_CLOCK + 1_300, List.of(running("a", 1)), List.of());
            assertEquals(
                    OLD_CLOCK + 1_300 + SchedulerDriver.HOLD_MILLIS,
                    d.lastHold("w1").deadlineMillis());
        }

        /** Guards against placing by the room and labels that an earlier life had. */
        @Test
        void waitsForTheEntryOfTheNewLife() {
            listed("w1");
            d.answersAs("w1", SECOND_BIRTH, NEW_CLOCK, List.of(), List.of());
            d.job("a", ONE);
            d.passes(50);
            d.saved();
            assertEquals(0, d.port.starts.size());
            d.scheduler.onWorkers(List.of(SchedulerDriver.born("w1", SECOND_BIRTH)));
            d.passes(50);
            d.saved();
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
            EndReport failed = new EndReport(1, "a", TASK, s.run(), EndKind.FAILED, "");
            d.answersAs("w1", FIRST_BIRTH, OLD_CLOCK + 100, List.of(), List.of(failed));
            d.passes(50);
            d.saved();
            assertEquals(1, d.port.starts.size());
            d.answersAs("w1", SECOND_BIRTH, NEW_CLOCK, List.of(), List.of());
            d.scheduler.onWorkers(List.of(SchedulerDriver.born("w1", SECOND_BIRTH)));
            d.passes(50);
            d.saved();
            assertEquals(2, d.port.starts.size());
        }
    }

    @Nested
    class AWorkerThatStatesNoBirth {

        /** Guards against passing over the results of a life that only its clock tells from the one before. */
        @Test
        void isKnownToHaveRestartedByItsClock() {
            d.workers("w1");
            d.answersAs("w1", 0, OLD_CLOCK, List.of(), List.of());
            StartOrder a = started("a");
            d.answersAs("w1", 0, OLD_CLOCK + 100, List.of(), List.of(done(1, "a", a.run())));
            d.passes(50);
            d.saved();
            d.answersAs("w1", 0, NEW_CLOCK, List.of(), List.of());
            StartOrder b = started("b");
            d.answersAs("w1", 0, NEW_CLOCK + 100, List.of(), List.of(done(1, "b", b.run())));
            assertEquals(List.of("a", "b"), ended(JobState.COMPLETED));
        }
    }

    @Nested
    class AnAnswerThatWasOvertaken {

        /** Guards against taking answers that overtake each other for a restart. */
        @Test
        void endsNoLife() {
            d.workers("w1");
            long sentAt = d.now;
            HoldOrder early = d.lastHold("w1");
            d.passes(100);
            d.answersAs("w1", 0, OLD_CLOCK + 100, List.of(), List.of());
            d.scheduler.onHeld(early, sentAt, new HoldAnswer(0, OLD_CLOCK, List.of(), List.of()));
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
            d.job("a", ONE);
            d.passes(50);
            d.saved();
            d.scheduler.onWorkers(
                    List.of(SchedulerDriver.born("w1", FIRST_BIRTH), SchedulerDriver.born("w2", FIRST_BIRTH)));
            d.passes(1);
            d.answersAs("w2", FIRST_BIRTH, OLD_CLOCK, List.of(), List.of());
            d.passes(2_800);
            return d.lastStart();
        }

        /** Guards against a second run beside the one that the next life of the worker begins by a start under way. */
        @Test
        void endsNoRunWhoseStartIsUnderWay() {
            StartOrder s = silentSinceItsStart();
            d.scheduler.onLiving(Set.of(), d.now);
            assertFalse(isLost());
            d.scheduler.onStarted(s, OrderOutcome.UNKNOWN);
            d.passes(300);
            assertEquals(1, d.port.starts.size(), "no further start goes out, which would be under way again");
            d.scheduler.onLiving(Set.of(), d.now);
            assertTrue(isLost());
        }

        /** Guards against the same where the worker's entry already shows its next life. */
        @Test
        void endsNoRunOfAWorkerWhoseEntryIsNewer() {
            StartOrder s = silentSinceItsStart();
            d.scheduler.onStarted(s, OrderOutcome.UNKNOWN);
            d.scheduler.onWorkers(List.of(SchedulerDriver.born("w1", SECOND_BIRTH)));
            d.passes(10);
            d.scheduler.onLiving(Set.of(), d.now);
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
            d.scheduler.onWorkers(List.of(SchedulerDriver.born("w1", SECOND_BIRTH)));
            d.passes(CALL_MILLIS);
            EndReport stopped = new EndReport(1, "a", TASK, s.run(), EndKind.STOPPED, "");
            d.answersAs("w1", FIRST_BIRTH, OLD_CLOCK + 20, List.of(), List.of(stopped));
            d.passes(50);
            d.saved();
        }

        private void olderAnswerArrives() {
            HoldAnswer older = new HoldAnswer(FIRST_BIRTH, OLD_CLOCK + 10, List.of(running("a", 1)), List.of());
            d.scheduler.onHeld(Objects.requireNonNull(early), sentAt, older);
            d.passes(1);
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
            d.passes(10);
            d.answersAs("w1", SECOND_BIRTH, NEW_CLOCK, List.of(), List.of());
            d.scheduler.onWorkers(List.of(SchedulerDriver.born("w1", SECOND_BIRTH)));
            started("a");
            d.passes(LONGEST_HOLD_MILLIS - 500);
            assertFalse(isLost());
            d.passes(2_000);
            assertTrue(isLost());
        }

        /** Guards against the same by a start that was under way at the restart and is carried out seconds later. */
        @Test
        void mayKeepItsRunsByAStartThatWasUnderWay() {
            listed("w1");
            d.job("a", ONE);
            d.passes(50);
            d.saved();
            d.passes(10);
            d.answersAs("w1", SECOND_BIRTH, NEW_CLOCK, List.of(), List.of());
            d.passes(500);
            d.scheduler.onStarted(d.lastStart(), OrderOutcome.UNKNOWN);
            d.silent("w1");
            d.passes(LONGEST_HOLD_MILLIS + 2_000);
            assertFalse(isLost());
            d.passes(15_000);
            assertTrue(isLost());
        }
    }

    @Nested
    class UnderANewOwner {

        private void recovers(@Nullable Long recordedBirth) {
            TaskRecord r = new TaskRecord(0, 0, 0, 1, 0, false, "w1", "", 0, 0, recordedBirth);
            d.scheduler.onWorkers(List.of(SchedulerDriver.born("w1", SECOND_BIRTH)));
            d.job("a", new JobProgress(JobState.RUNNING, List.of(r), "", 0), ONE);
            d.passes(10);
            d.answersAs("w1", SECOND_BIRTH, NEW_CLOCK, List.of(), List.of());
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
            d.scheduler.onWorkers(List.of(SchedulerDriver.born("w1", SECOND_BIRTH)));
            d.job("a", new JobProgress(JobState.RUNNING, List.of(r), "", 0), ONE);
            d.passes(10);
            d.answersAs("w1", SECOND_BIRTH, NEW_CLOCK, List.of(running("a", 1)), List.of());
            d.silent("w1");
            d.passes(9_500);
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
            d.job("b", ONE);
            assertEquals(FIRST_BIRTH, written().knownWorkerBornMillis());
        }
    }

    @Nested
    class AnUnreadableBirth {

        /** Guards against losing a worker, or a pass, to a birth that nobody can read. */
        @Test
        void isLoggedOnceAndTheWorkerIsUsed() {
            long unreadable = WorkerIncarnation.UNREADABLE_START;
            d.scheduler.onWorkers(List.of(SchedulerDriver.born("w1", unreadable)));
            d.passes(1);
            d.answersAs("w1", unreadable, OLD_CLOCK, List.of(), List.of());
            started("a");
            long logged = d.port.events.stream()
                    .filter(e -> e.kind() == SchedulerEvent.Kind.BIRTH_UNREADABLE)
                    .count();
            assertEquals(1, logged);
        }
    }
}
