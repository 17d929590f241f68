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
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.job.EndKind;
import org.lupinpaddle.core.job.JobKey;
import org.lupinpaddle.core.job.JobProgress;
import org.lupinpaddle.core.job.JobState;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.job.TaskId;
import org.lupinpaddle.core.job.TaskRecord;
import org.lupinpaddle.core.placement.WorkerFacts;

/** Each trap of running a task exactly once, told as one short story. */
class ServiceSchedulerTest {

    private static final TaskId FIRST = new TaskId(0, 0, 0);
    private static final StepSpec ONE =
            StepSpec.builder(1, SchedulerDriver.NEED).build();

    private final SchedulerDriver d = new SchedulerDriver();

    private static RunningReport runs(int run) {
        return new RunningReport("a", FIRST, run, "", 50, -1);
    }

    private static EndReport ends(long number, int run, EndKind kind) {
        return new EndReport(number, "a", FIRST, run, kind, "");
    }

    private void startOnOneOf(String... workers) {
        d.workers(workers);
        for (String w : workers) {
            d.answers(w, List.of(), List.of());
        }
        d.job("a", ONE);
        d.saved();
    }

    @Nested
    class Writing {

        private static final int OLDER = 40;
        private static final int TASKS = 60;
        private static final long GATHERING_MILLIS = 40;
        private final StepSpec many =
                StepSpec.builder(TASKS, new StepSpec.Need(1, 1, 0)).build();

        private void begun(String worker) {
            d.workers(worker);
            d.answers(worker, List.of(), List.of());
            for (int i = 0; i < OLDER; i++) {
                d.job("old" + i, many);
            }
        }

        /** Ends one task of each older job. */
        private void allChange(int round) {
            List<EndReport> ends = IntStream.range(0, OLDER)
                    .mapToObj(i -> new EndReport(
                            (long) round * OLDER + i + 1, "old" + i, new TaskId(0, 0, round), 1, EndKind.DONE, ""))
                    .toList();
            d.answers("w1", List.of(), ends);
        }

        private boolean writes(String job) {
            return d.port.saves.stream()
                    .flatMap(List::stream)
                    .anyMatch(s -> s.job().id().equals(job));
        }

        @Test
        void ofANewJobIsNotPutOffByOlderOnesThatChangeAllTheTime() {
            begun("w1");
            for (int i = 0; i < 10; i++) {
                d.passes(GATHERING_MILLIS);
                d.saved();
            }
            allChange(0);
            d.job("new", many);
            boolean written = false;
            for (int round = 1; round < 10 && !written; round++) {
                allChange(round);
                d.passes(GATHERING_MILLIS);
                written = writes("new");
                d.saved();
            }
            assertTrue(written);
        }

        @Test
        void goesOnWhileOneWriteIsUnderWay() {
            begun("w1");
            d.passes(GATHERING_MILLIS);
            d.passes(GATHERING_MILLIS);
            assertTrue(IntStream.range(0, OLDER).allMatch(i -> writes("old" + i)));
        }

        @Test
        void ofOneJobGoesOutOnceAtATime() {
            begun("w1");
            d.passes(GATHERING_MILLIS);
            allChange(0);
            d.passes(GATHERING_MILLIS);
            long first = d.port.saves.stream()
                    .flatMap(List::stream)
                    .filter(s -> s.job().id().equals("old0"))
                    .count();
            assertEquals(1, first);
        }
    }

    @Nested
    class Starting {

        @Test
        void waitsUntilTheChoiceOfWorkerIsDurable() {
            d.workers("w1");
            d.answers("w1", List.of(), List.of());
            d.job("a", ONE);
            assertTrue(d.port.starts.isEmpty());
            d.saved();
            assertEquals(1, d.lastStart().run());
        }

        @Test
        void waitsUntilTheWorkerHasSeenThisOwnersFence() {
            d.workers("w1");
            d.job("a", ONE);
            d.saved();
            assertTrue(d.port.starts.isEmpty());
            d.answers("w1", List.of(), List.of());
            d.saved();
            assertEquals("w1", d.lastStart().worker().id());
        }

        /** Both are told in whole milliseconds: which of the two reached the worker first is open. */
        @Test
        void isNotTakenBackByAHoldSentInTheMillisecondOfItsAnswer() {
            startOnOneOf("w1");
            d.passes(10);
            d.scheduler.onStarted(d.lastStart(), OrderOutcome.ACCEPTED);
            d.answers("w1", List.of(), List.of());
            assertTrue(d.port.stops.isEmpty(), "the hold may have been answered before the start");
            d.passes(1);
            d.answers("w1", List.of(), List.of());
            assertEquals(1, d.port.stops.size());
        }

        /** The choice may have waited for the store for seconds, and its worker may have said that it leaves. */
        @Test
        void waitsUntilTheListOfWorkersIsKnownToBeNew() {
            d.workers("w1", "w2");
            d.answers("w1", List.of(), List.of());
            d.answers("w2", List.of(), List.of());
            d.job("a", ONE);
            d.now += 5_000;
            List.copyOf(d.port.saves).forEach(d.scheduler::onSaved);
            d.scheduler.tick();
            assertTrue(d.port.starts.isEmpty());
            d.scheduler.onWorkers(List.of(leaving("w1"), leaving("w2")));
            d.passes(10);
            assertTrue(d.port.starts.isEmpty(), "both are about to end");
        }

        private WorkerFacts leaving(String id) {
            WorkerFacts f = SchedulerDriver.worker(id);
            return new WorkerFacts(id, f.service(), f.address(), f.hall(), true, 2_000, f.capacity(), f.labels());
        }

        @Test
        void withoutAnswerIsTriedAgainThereAndNowhereElse() {
            startOnOneOf("w1", "w2");
            StartOrder first = d.lastStart();
            d.scheduler.onStarted(first, OrderOutcome.UNKNOWN);
            d.passes(300);
            assertEquals(2, d.port.starts.size());
            assertEquals(first.worker(), d.lastStart().worker());
            assertEquals(first.run(), d.lastStart().run());
        }

        @Test
        void refusedAfterSilenceIsStoppedBeforeTheTaskGoesElsewhere() {
            startOnOneOf("w1", "w2");
            StartOrder first = d.lastStart();
            d.scheduler.onStarted(first, OrderOutcome.UNKNOWN);
            d.passes(300);
            d.scheduler.onStarted(d.lastStart(), OrderOutcome.NO_ROOM);
            d.scheduler.tick();
            assertEquals(1, d.port.stops.size());
            d.saved();
            assertEquals(2, d.port.starts.size());
            d.scheduler.onStopped(d.port.stops.get(0), OrderOutcome.ACCEPTED);
            d.scheduler.tick();
            d.passes(10);
            d.answers(first.worker().id(), List.of(), List.of());
            d.passes(100);
            d.saved();
            assertEquals(3, d.port.starts.size());
            assertEquals(2, d.lastStart().run());
        }

        @Test
        void thatNeverLeftGoesElsewhereAtOnce() {
            startOnOneOf("w1", "w2");
            StartOrder first = d.lastStart();
            d.scheduler.onStarted(first, OrderOutcome.NOT_SENT);
            d.scheduler.tick();
            d.passes(100);
            d.saved();
            assertNotEquals(first.worker(), d.lastStart().worker());
            assertTrue(d.port.stops.isEmpty());
        }

        @Test
        void refusedByTheFenceEndsTheOwnership() {
            startOnOneOf("w1");
            d.scheduler.onStarted(d.lastStart(), OrderOutcome.FENCED);
            assertEquals(1, d.port.lost.size());
        }
    }

    @Nested
    class Ends {

        @Test
        void areDurableBeforeTheWorkerForgetsThem() {
            startOnOneOf("w1");
            d.scheduler.onStarted(d.lastStart(), OrderOutcome.ACCEPTED);
            d.passes(100);
            d.answers("w1", List.of(), List.of(ends(1, 1, EndKind.DONE)));
            assertTrue(d.port.holds.stream().allMatch(h -> h.acknowledgedUpTo() == 0));
            d.passes(100);
            d.saved();
            HoldOrder last = d.port.holds.get(d.port.holds.size() - 1);
            assertEquals(1, last.acknowledgedUpTo());
        }

        @Test
        void ofAllTasksCompleteTheJob() {
            startOnOneOf("w1");
            d.scheduler.onStarted(d.lastStart(), OrderOutcome.ACCEPTED);
            d.passes(100);
            d.answers("w1", List.of(), List.of(ends(1, 1, EndKind.DONE)));
            assertEquals(
                    JobState.COMPLETED, d.port.saves.get(0).get(0).progress().state());
        }

        @Test
        void asFailedUseUpAttemptsAndAvoidTheWorker() {
            startOnOneOf("w1", "w2");
            StartOrder first = d.lastStart();
            d.scheduler.onStarted(first, OrderOutcome.ACCEPTED);
            d.passes(100);
            d.answers(first.worker().id(), List.of(), List.of(ends(1, 1, EndKind.FAILED)));
            d.passes(100);
            d.saved();
            assertNotEquals(first.worker(), d.lastStart().worker());
        }

        @Test
        void onTheOnlyWorkerMakeTheTaskWaitForAnotherOne() {
            startOnOneOf("w1");
            d.scheduler.onStarted(d.lastStart(), OrderOutcome.ACCEPTED);
            d.passes(100);
            d.answers("w1", List.of(), List.of(ends(1, 1, EndKind.FAILED)));
            d.passes(100);
            d.saved();
            assertEquals(1, d.port.starts.size());
            assertEquals(2, d.scheduler.report().needed());
        }

        @Test
        void asksForOneStepAtATimeWhereStepsWaitForEachOther() {
            d.workers("w1");
            d.answers("w1", List.of(), List.of());
            StepSpec first = StepSpec.builder(8, SchedulerDriver.NEED)
                    .estimateMillis(1_000)
                    .build();
            StepSpec second = StepSpec.builder(8, SchedulerDriver.NEED)
                    .estimateMillis(1_000)
                    .after(List.of(0))
                    .build();
            d.job("a", first, second);
            d.now += 10_000;
            assertEquals(3, d.scheduler.report().needed(), "eight tasks at a time, four to a worker, not sixteen");
        }
    }

    @Nested
    class AfterFailures {

        private static final long AVOIDED_MILLIS = 4_500;
        private static final long STEP_MILLIS = 500;
        private static final long WITHIN_MILLIS = 5_000;
        private final StepSpec lasting =
                StepSpec.builder(1, SchedulerDriver.NEED).longRunning(true, 0).build();

        private static RunningReport at(String job) {
            return new RunningReport(job, FIRST, 1, "", 50, -1);
        }

        /** Lets three jobs fail on the only worker, and waits until it may get a task again. */
        private void threeFailed() {
            d.workers("w1");
            d.answers("w1", List.of(), List.of());
            List<String> jobs = List.of("a", "b", "c");
            for (int i = 0; i < jobs.size(); i++) {
                d.job(jobs.get(i), ONE);
                d.passes(100);
                d.saved();
                d.scheduler.onStarted(d.lastStart(), OrderOutcome.ACCEPTED);
                d.passes(100);
                EndReport failed = new EndReport(i + 1L, jobs.get(i), FIRST, 1, EndKind.FAILED, "");
                d.answers("w1", List.of(), List.of(failed));
            }
            jobs.forEach(j -> d.scheduler.onCancel(new JobKey("q", j)));
            pass(AVOIDED_MILLIS, List.of());
        }

        private void pass(long millis, List<RunningReport> running) {
            for (long t = 0; t < millis; t += STEP_MILLIS) {
                d.passes(STEP_MILLIS);
                d.answers("w1", running, List.of());
                d.saved();
            }
        }

        private void begins(String job) {
            assertEquals(job, d.lastStart().jobId());
            d.scheduler.onStarted(d.lastStart(), OrderOutcome.ACCEPTED);
        }

        @Test
        void aLastingTaskThatGoesWellKeepsNoOtherFromTheWorker() {
            threeFailed();
            d.job("x", lasting);
            pass(STEP_MILLIS, List.of());
            begins("x");
            d.job("y", lasting);
            pass(WITHIN_MILLIS, List.of(at("x")));
            begins("y");
        }

        @Test
        void theWorkerGetsOneTaskAtATime() {
            threeFailed();
            d.job("x", ONE);
            pass(STEP_MILLIS, List.of());
            begins("x");
            d.job("y", ONE);
            pass(WITHIN_MILLIS, List.of(at("x")));
            assertEquals("x", d.lastStart().jobId());
        }

        @Test
        void aLastingTaskThatHasJustBegunProvesNothing() {
            threeFailed();
            d.job("x", lasting);
            pass(STEP_MILLIS, List.of());
            begins("x");
            d.job("y", lasting);
            pass(STEP_MILLIS, List.of(at("x")));
            assertEquals("x", d.lastStart().jobId());
        }
    }

    @Nested
    class Records {

        private List<String> written() {
            return d.port.saves.stream()
                    .flatMap(List::stream)
                    .map(s -> s.job().id())
                    .toList();
        }

        @Test
        void ofManyJobsAreWrittenInTheOrderOfTheirChangesAndAFewAtATime() {
            for (int i = 0; i < 20; i++) {
                d.job("job-" + i, ONE);
            }
            for (int i = 0; i < 20; i++) {
                d.scheduler.onCancel(new JobKey("q", "job-" + i));
            }
            d.passes(0);
            assertEquals(IntStream.range(0, 10).mapToObj(i -> "job-" + i).toList(), written(), "one call's rows");
            d.passes(100);
            assertEquals(IntStream.range(0, 20).mapToObj(i -> "job-" + i).toList(), written(), "each once");
            d.saved();
            d.passes(100);
            assertEquals(List.of(), written());
        }

        private void endHundreds() {
            for (int i = 0; i < 200; i++) {
                d.job("job-" + i, ONE);
            }
            for (int i = 0; i < 200; i++) {
                d.scheduler.onCancel(new JobKey("q", "job-" + i));
            }
        }

        @Test
        void takeSixteenCallsAtATimeAndNoMore() {
            endHundreds();
            d.passes(100);
            assertEquals(10, d.port.saves.size(), "in one go");
            d.passes(100);
            d.passes(100);
            assertEquals(16, d.port.saves.size());
            List<SchedulerPort.Saving> first = d.port.saves.remove(0);
            d.scheduler.onSaved(first);
            d.passes(100);
            assertEquals(16, d.port.saves.size());
            assertEquals("job-160", d.port.saves.get(15).get(0).job().id());
        }

        @Test
        void takeFourCallsAtATimeAndNoMoreWhileTheyFail() {
            endHundreds();
            d.passes(100);
            List.copyOf(d.port.saves).forEach(s -> d.scheduler.onSaveFailed(s, 150));
            d.port.saves.clear();
            d.passes(200);
            d.passes(200);
            assertEquals(4, d.port.saves.size());
        }

        @Test
        void ofChangesDuringAWriteAreWrittenAgain() {
            startOnOneOf("w1");
            d.passes(100);
            d.job("b", ONE);
            assertEquals(List.of("b"), written());
            d.scheduler.onCancel(new JobKey("q", "b"));
            d.passes(100);
            d.saved();
            assertEquals(List.of("b"), written());
            d.saved();
            d.passes(100);
            assertEquals(List.of(), written());
        }

        @Test
        void thatCouldNotBeWrittenAreWrittenLater() {
            d.workers("w1");
            d.answers("w1", List.of(), List.of());
            d.job("a", ONE);
            List<SchedulerPort.Saving> lost = d.port.saves.remove(0);
            d.scheduler.onSaveFailed(lost, 150);
            d.passes(100);
            assertEquals(List.of(), written());
            d.passes(50);
            assertEquals(List.of("a"), written());
        }
    }

    @Nested
    class SilentWorkers {

        @Test
        void getNoMoreTasksOnceAStartIsUnanswered() {
            d.workers("w1", "w2");
            d.answers("w1", List.of(), List.of());
            d.answers("w2", List.of(), List.of());
            d.job("a", ONE);
            d.saved();
            StartOrder first = d.lastStart();
            d.scheduler.onStarted(first, OrderOutcome.UNKNOWN);
            d.job("b", ONE);
            d.passes(50);
            d.saved();
            assertNotEquals(first.worker().id(), d.lastStart().worker().id(), "it may be out of reach");
        }

        @Test
        void areGivenNoLaterDeadline() {
            startOnOneOf("w1");
            d.scheduler.onStarted(d.lastStart(), OrderOutcome.ACCEPTED);
            d.passes(10);
            d.answers("w1", List.of(runs(1)), List.of());
            for (int i = 0; i < 10; i++) {
                d.silent("w1");
                d.passes(1_000);
            }
            long atMost = d.port.holds.stream()
                    .filter(h -> h.deadlineMillis() > 0)
                    .mapToLong(HoldOrder::deadlineMillis)
                    .max()
                    .orElseThrow();
            assertTrue(atMost <= 100_000 + 10 + 2_600 + SchedulerDriver.HOLD_MILLIS, "deadline " + atMost);
        }

        /** Lets the worker of run 1 be silent until run 2 has begun elsewhere; returns both workers. */
        private List<String> begunTwice() {
            startOnOneOf("w1", "w2");
            String gone = d.lastStart().worker().id();
            String other = gone.equals("w1") ? "w2" : "w1";
            d.scheduler.onStarted(d.lastStart(), OrderOutcome.ACCEPTED);
            for (int i = 0; i < 20 && d.lastStart().run() == 1; i++) {
                d.silent(gone);
                d.answers(other, List.of(), List.of());
                d.passes(1_000);
                d.saved();
            }
            assertEquals(2, d.lastStart().run());
            d.scheduler.onStarted(d.lastStart(), OrderOutcome.ACCEPTED);
            d.passes(100);
            d.saved();
            return List.of(gone, other);
        }

        @Test
        void thatEndARunDoneAfterAllLeaveARecordThatSaysSo() {
            String gone = begunTwice().get(0);
            d.port.saves.clear();
            d.answers(gone, List.of(), List.of(ends(1, 1, EndKind.DONE)));
            d.passes(100);
            TaskRecord written = d.port.saves.get(0).get(0).progress().tasks().get(0);
            assertTrue(written.done(), "the worker may forget the end once this is written");
            assertEquals(2, written.run());
        }

        @Test
        void thatTellTheirOlderEndLastChangeNothingOfWhatIsDone() {
            List<String> both = begunTwice();
            d.answers(both.get(1), List.of(), List.of(ends(1, 2, EndKind.DONE)));
            d.answers(both.get(0), List.of(), List.of(ends(1, 1, EndKind.FAILED)));
            d.passes(100);
            d.saved();
            d.passes(100);
            d.saved();
            assertEquals(2, d.lastStart().run());
            assertEquals(0, d.scheduler.load().waiting());
        }

        @Test
        void thatEndedARunDoneKeepTheNextOwnerFromRunningTheTaskAgain() {
            List<String> both = begunTwice();
            d.port.saves.clear();
            d.answers(both.get(0), List.of(), List.of(ends(1, 1, EndKind.DONE)));
            d.passes(100);
            JobProgress left = d.port.saves.get(0).get(0).progress();
            SchedulerDriver next = new SchedulerDriver();
            next.workers("w1", "w2");
            next.job("a", left, ONE);
            next.answers(both.get(0), List.of(), List.of());
            next.answers(both.get(1), List.of(runs(2)), List.of());
            StopOrder stop = next.port.stops.get(0);
            assertEquals(2, stop.run());
            next.scheduler.onStopped(stop, OrderOutcome.ACCEPTED);
            next.passes(100);
            next.answers(both.get(1), List.of(), List.of());
            next.passes(100);
            next.saved();
            next.passes(100);
            assertTrue(next.port.starts.isEmpty());
        }

        /** An end is noted unless its worker's lease has lapsed since; so the task keeps all attempts that were noted. */
        @Test
        void thatEndedARunFailedAreNoAttemptOnceTheirLeaseHasLapsed() {
            List<String> both = begunTwice();
            d.port.saves.clear();
            d.answers(both.get(0), List.of(), List.of(ends(1, 1, EndKind.FAILED)));
            d.answers(both.get(1), List.of(), List.of(ends(1, 2, EndKind.FAILED)));
            d.passes(100);
            TaskRecord written = d.port.saves.get(0).get(0).progress().tasks().get(0);
            assertEquals(1, written.failures());
            assertFalse(written.done());
        }

        @Test
        void keepTheirTasksUntilEveryDeadlineHasPassed() {
            startOnOneOf("w1", "w2");
            String gone = d.lastStart().worker().id();
            String other = gone.equals("w1") ? "w2" : "w1";
            d.scheduler.onStarted(d.lastStart(), OrderOutcome.ACCEPTED);
            d.passes(10);
            d.answers(gone, List.of(runs(1)), List.of());
            boolean early = false;
            for (int i = 0; i < 12; i++) {
                d.silent(gone);
                d.passes(1_000);
                d.answers(other, List.of(), List.of());
                d.saved();
                early |= d.port.starts.size() > 1 && d.now < SchedulerDriver.HOLD_MILLIS;
            }
            assertFalse(early, "started elsewhere while the worker could still run it");
            assertEquals(other, d.lastStart().worker().id());
        }

        /** Ends one run on w1 and leaves it with another until every deadline has passed; no record is durable. */
        private void endsOneOfTwoAndIsSilent() {
            startOnOneOf("w1");
            d.scheduler.onStarted(d.lastStart(), OrderOutcome.ACCEPTED);
            d.job("b", ONE);
            d.passes(100);
            d.saved();
            d.scheduler.onStarted(d.lastStart(), OrderOutcome.ACCEPTED);
            d.passes(10);
            d.answers("w1", List.of(runsB()), List.of(ends(1, 1, EndKind.DONE)));
            for (int i = 0; i < 12; i++) {
                d.silent("w1");
                d.passes(1_000);
            }
        }

        private static RunningReport runsB() {
            return new RunningReport("b", FIRST, 1, "", 50, -1);
        }

        private long mayForget() {
            return d.port.holds.get(d.port.holds.size() - 1).acknowledgedUpTo();
        }

        @Test
        void thatAnswerAgainDoNotForgetEndsThatAreNotDurable() {
            endsOneOfTwoAndIsSilent();
            d.answers("w1", List.of(), List.of(ends(1, 1, EndKind.DONE)));
            d.passes(100);
            assertEquals(0, mayForget());
            d.saved();
            d.passes(100);
            assertEquals(1, mayForget());
        }

        @Test
        void thatAreListedAgainDoNotForgetEndsThatAreNotDurable() {
            endsOneOfTwoAndIsSilent();
            d.workers();
            d.passes(60_000);
            d.workers("w1");
            d.answers("w1", List.of(), List.of(ends(1, 1, EndKind.DONE)));
            d.passes(100);
            assertEquals(0, mayForget());
            d.saved();
            d.passes(100);
            assertEquals(1, mayForget());
        }

        @Test
        void loseTheirTasksAtOnceWhenAnotherLifeAnswers() {
            startOnOneOf("w1", "w2");
            StartOrder first = d.lastStart();
            d.scheduler.onStarted(first, OrderOutcome.ACCEPTED);
            HoldOrder hold = d.port.holds.stream()
                    .filter(h -> h.worker().equals(first.worker()))
                    .reduce((a, b) -> b)
                    .orElseThrow();
            d.scheduler.onHoldFailed(hold, OrderOutcome.OTHER_LIFE);
            d.scheduler.tick();
            d.passes(100);
            d.saved();
            assertNotEquals(first.worker(), d.lastStart().worker());
        }
    }

    @Nested
    class NewOwner {

        private final JobProgress left =
                new JobProgress(JobState.RUNNING, List.of(new TaskRecord(0, 0, 0, 4, 0, false, "w1", "")), "", 0);

        @Test
        void takesUpWhatRuns() {
            d.workers("w1", "w2");
            d.job("a", left, ONE);
            d.answers("w1", List.of(runs(4)), List.of());
            d.answers("w2", List.of(), List.of());
            d.passes(100);
            d.saved();
            assertTrue(d.port.starts.isEmpty());
            assertTrue(d.port.stops.isEmpty());
        }

        /** The earlier owner may have heard of the end, and have been closed or killed before it wrote that. */
        @Test
        void takesInEndsThatItsPredecessorDidNotWrite() {
            d.workers("w1", "w2");
            d.job("a", left, ONE);
            d.answers("w2", List.of(), List.of());
            d.answers("w1", List.of(), List.of(ends(1, 4, EndKind.DONE)));
            d.passes(100);
            JobProgress written = d.port.saves.get(0).get(0).progress();
            assertEquals(JobState.COMPLETED, written.state());
            d.saved();
            assertTrue(d.port.starts.isEmpty());
        }

        @Test
        void isNotToldThatAWorkerIsEmptyBeforeItHasLearntWhatBecameOfItsRuns() {
            d.workers("w1", "w2");
            d.job("a", left, ONE);
            d.scheduler.onEvacuations(Set.of("w1"), Set.of("w1"));
            d.passes(100);
            assertTrue(d.port.emptied.isEmpty());
            d.answers("w1", List.of(), List.of(ends(1, 4, EndKind.DONE)));
            d.passes(100);
            assertTrue(d.port.emptied.isEmpty(), "its end is not durable");
            d.saved();
            assertTrue(d.port.emptied.contains("w1"));
        }

        @Test
        void startsAnewWhatNeverBegan() {
            d.workers("w1", "w2");
            d.job("a", left, ONE);
            d.answers("w1", List.of(), List.of());
            d.answers("w2", List.of(), List.of());
            d.passes(100);
            d.saved();
            assertEquals(5, d.lastStart().run());
        }

        @Test
        void waitsForAWorkerItCanNotReach() {
            d.workers("w2");
            d.job("a", left, ONE);
            d.answers("w2", List.of(), List.of());
            d.passes(SchedulerDriver.INHERITED_MILLIS / 2);
            d.answers("w2", List.of(), List.of());
            d.saved();
            assertTrue(d.port.starts.isEmpty());
        }

        @Test
        void doesNotWaitForOneThatThePlatformListsNowhere() {
            d.workers("w2");
            d.job("a", left, ONE);
            d.passes(3_000);
            d.answers("w2", List.of(), List.of());
            assertTrue(d.scheduler.missesWorkers());
            d.scheduler.onLiving(Set.of("w2"), d.now);
            d.scheduler.tick();
            d.passes(100);
            d.saved();
            assertEquals("w2", d.lastStart().worker().id());
            assertEquals(5, d.lastStart().run());
        }

        @Test
        void stopsWhatItDoesNotKnow() {
            d.workers("w1");
            d.answers("w1", List.of(runs(9)), List.of());
            assertEquals(9, d.port.stops.get(0).run());
        }
    }

    /** A task runs again only on proof that its run is over; what merely looks like one must not do. */
    @Nested
    class ProofThatARunIsOver {

        // As many as a worker lists at once.
        private static final int MOST_ENDS = 500;

        private final JobProgress left =
                new JobProgress(JobState.RUNNING, List.of(new TaskRecord(0, 0, 0, 4, 0, false, "w1", "")), "", 0);

        private void runsOnTheFirstOf(String... workers) {
            startOnOneOf(workers);
            d.scheduler.onStarted(d.lastStart(), OrderOutcome.ACCEPTED);
            d.passes(100);
            d.answers(d.lastStart().worker().id(), List.of(runs(1)), List.of());
            d.saved();
        }

        @Test
        void isNotAListOfInstancesWhenTheWorkerWasToBeEmptiedAndIsNotAnyMore() {
            runsOnTheFirstOf("w1", "w2");
            String w = d.lastStart().worker().id();
            d.scheduler.onEvacuations(Set.of(w), Set.of());
            d.passes(3_000);
            d.answers(w, List.of(runs(1)), List.of());
            d.scheduler.onEvacuations(Set.of(), Set.of());
            assertFalse(d.scheduler.missesWorkers(), "it answered just now");
            d.scheduler.onLiving(Set.of(), d.now);
            d.passes(100);
            d.saved();
            assertEquals(1, d.port.starts.size());
        }

        @Test
        void isNotThatTheWorkersEntryNoLongerSaysWhereItIs() {
            runsOnTheFirstOf("w1", "w2");
            String w = d.lastStart().worker().id();
            d.scheduler.onWorkers(List.of(nowhere("w1"), nowhere("w2")));
            int asked = d.port.holds.size();
            d.answers(w, List.of(runs(1)), List.of());
            assertEquals(asked + 1, d.port.holds.size(), "it can be asked where it was");
        }

        private WorkerFacts nowhere(String id) {
            WorkerFacts f = SchedulerDriver.worker(id);
            return new WorkerFacts(id, f.service(), "", f.hall(), false, 0, f.capacity(), f.labels());
        }

        @Test
        void isNotAFullListOfEndsThatDoesNotHoldIt() {
            d.workers("w1", "w2");
            d.job("a", left, ONE);
            List<EndReport> others = IntStream.rangeClosed(1, MOST_ENDS)
                    .mapToObj(i -> new EndReport(i, "other-" + i, FIRST, 1, EndKind.DONE, ""))
                    .toList();
            d.answers("w1", List.of(), others);
            d.answers("w2", List.of(), List.of());
            d.passes(100);
            d.saved();
            assertTrue(d.port.starts.isEmpty(), "its end may be the next that the worker lists");
            d.answers("w1", List.of(), List.of(ends(MOST_ENDS + 1, 4, EndKind.DONE)));
            d.passes(100);
            d.saved();
            assertTrue(d.port.starts.isEmpty());
        }

        @Test
        void isNotAListOfEndsInAnotherOrder() {
            d.workers("w1");
            d.answers("w1", List.of(), List.of());
            d.job("a", ONE);
            d.job("b", ONE);
            d.passes(100);
            d.saved();
            List.copyOf(d.port.starts).forEach(s -> d.scheduler.onStarted(s, OrderOutcome.ACCEPTED));
            d.passes(100);
            EndReport second = new EndReport(2, "b", FIRST, 1, EndKind.DONE, "");
            d.answers("w1", List.of(), List.of(second, ends(1, 1, EndKind.DONE)));
            assertEquals(0, d.scheduler.load().running(), "both are done");
            assertTrue(d.port.stops.isEmpty());
        }
    }

    @Nested
    class Cancelling {

        @Test
        void stopsWhatRunsAndStartsNothing() {
            startOnOneOf("w1");
            d.scheduler.onStarted(d.lastStart(), OrderOutcome.ACCEPTED);
            d.scheduler.onCancel(new JobKey("q", "a"));
            d.scheduler.tick();
            assertEquals(1, d.port.stops.size());
            d.passes(100);
            assertEquals(
                    JobState.CANCELLED, d.port.saves.get(0).get(0).progress().state());
        }

        @Test
        void beforeTheStartHasGoneOutTakesItBack() {
            d.workers("w1");
            d.answers("w1", List.of(), List.of());
            d.job("a", ONE);
            d.scheduler.onCancel(new JobKey("q", "a"));
            d.saved();
            d.passes(100);
            d.saved();
            assertTrue(d.port.starts.isEmpty());
        }
    }

    @Nested
    class Writes {

        private static final int JOBS = 40;
        // Each call has one for ownership.
        private static final int MOST_ROWS = 32 - 1;

        private int rows(SchedulerPort.Saving s) {
            int condition = 1;
            int record = 1;
            int smallJob = s.progress().over() ? 1 : 0;
            return condition + record + smallJob;
        }

        @Test
        void ofJobsThatAreOverHaveRoomForTheirSmallRecordsInOneCall() {
            for (int i = 0; i < JOBS; i++) {
                d.job("job-" + i, ONE);
            }
            d.now += 100;
            for (int i = 0; i < JOBS; i++) {
                d.scheduler.onCancel(new JobKey("q", "job-" + i));
            }
            int written = 0;
            while (written < JOBS) {
                d.passes(100);
                for (List<SchedulerPort.Saving> batch : d.port.saves) {
                    int rows = batch.stream().mapToInt(this::rows).sum();
                    assertTrue(rows <= MOST_ROWS, rows + " rows in one call");
                    written += batch.size();
                }
                d.saved();
            }
            assertEquals(JOBS, written);
        }

        @Test
        void ofADoneTaskCarryNothingToGoOnFrom() {
            StepSpec two = StepSpec.builder(2, SchedulerDriver.NEED)
                    .checkpointing(true)
                    .build();
            d.workers("w1");
            d.answers("w1", List.of(), List.of());
            d.job("a", two);
            d.saved();
            List.copyOf(d.port.starts).forEach(s -> d.scheduler.onStarted(s, OrderOutcome.ACCEPTED));
            d.passes(100);
            d.saved();
            EndReport done = new EndReport(1, "a", FIRST, 1, EndKind.DONE, "saved-work");
            RunningReport other = new RunningReport("a", new TaskId(0, 0, 1), 1, "other-work", 50, -1);
            d.answers("w1", List.of(other), List.of(done));
            d.passes(100);
            List<TaskRecord> tasks = d.port.saves.get(0).get(0).progress().tasks();
            assertEquals(new TaskRecord(0, 0, 0, 1, 0, true, "", ""), tasks.get(0));
            assertEquals("other-work", tasks.get(1).checkpoint(), "this one may have to go on elsewhere");
        }
    }

    /** A worker that refuses calls is asked again after a time, however much is written meanwhile. */
    @Nested
    class WorkersThatRefuse {

        @Test
        void areNotAskedAgainBecauseOthersRecordsWereSaved() {
            d.workers("w1", "w2");
            d.answers("w1", List.of(), List.of());
            d.silent("w2");
            long asked = holdsOf("w2");
            d.job("a", ONE);
            d.saved();
            assertEquals(asked, holdsOf("w2"));
        }

        private long holdsOf(String worker) {
            return d.port.holds.stream()
                    .filter(h -> h.worker().id().equals(worker))
                    .count();
        }
    }

    /** One write takes few records; all jobs of a busy service have something to write all the time. */
    @Nested
    class ManyJobs {

        private static final int BUSY = 20;
        private static final int TASKS = 20;
        private static final int ROUNDS = 10;
        private static final long BETWEEN_WRITES_MILLIS = 45;
        private static final StepSpec.Need WHOLE_WORKER = new StepSpec.Need(4_000, 100, 0);

        private final Map<String, Iterator<StartOrder>> running = new LinkedHashMap<>();

        @Test
        void thatCameFirstDoNotKeepTheNextFromStarting() {
            listWorkers();
            for (int i = 0; i < BUSY; i++) {
                d.job("busy-" + i, StepSpec.builder(TASKS, WHOLE_WORKER).build());
            }
            for (int i = 0; i < ROUNDS; i++) {
                writeRound();
            }
            for (int i = 0; i < BUSY; i++) {
                String job = "busy-" + i;
                List<StartOrder> starts = d.port.starts.stream()
                        .filter(s -> s.jobId().endsWith(job))
                        .toList();
                assertEquals(TASKS, starts.size());
                starts.forEach(s -> d.scheduler.onStarted(s, OrderOutcome.ACCEPTED));
                running.put(job, starts.iterator());
            }
            running.values().forEach(r -> ended(r.next()));
            d.job("late", StepSpec.builder(1, WHOLE_WORKER).build());
            writeRound();
            for (int i = 0; i < ROUNDS; i++) {
                running.values().forEach(r -> ended(r.next()));
                writeRound();
            }
            assertTrue(d.port.starts.stream().anyMatch(s -> s.jobId().endsWith("late")));
        }

        private void listWorkers() {
            String[] ids = IntStream.rangeClosed(0, BUSY * TASKS)
                    .mapToObj(i -> "w" + i)
                    .toArray(String[]::new);
            d.workers(ids);
            for (String id : ids) {
                d.answers(id, List.of(), List.of());
            }
        }

        private void ended(StartOrder s) {
            d.answers(
                    s.worker().id(),
                    List.of(),
                    List.of(new EndReport(1, s.jobId(), s.task(), s.run(), EndKind.DONE, "")));
        }

        private void writeRound() {
            d.passes(BETWEEN_WRITES_MILLIS);
            d.saved();
        }
    }
}
