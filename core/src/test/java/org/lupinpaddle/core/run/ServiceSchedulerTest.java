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

/** Tests the cases that endanger running each task exactly once. */
class ServiceSchedulerTest {

    private static final TaskId FIRST = new TaskId(0, 0, 0);
    private static final StepSpec ONE =
            StepSpec.builder(1, SchedulerDriver.NEED).build();

    private final SchedulerDriver d = new SchedulerDriver();

    private static RunStatus statusOfRun(int run) {
        return new RunStatus("a", FIRST, run, "", 50, -1);
    }

    private static RunResult result(long number, int run, EndKind kind) {
        return new RunResult(number, "a", FIRST, run, kind, "");
    }

    private void startOnAnyOf(String... workers) {
        d.listWorkers(workers);
        for (String w : workers) {
            d.answerHold(w, List.of(), List.of());
        }
        d.submit("a", ONE);
        d.completeSaves();
    }

    @Nested
    class SavingProgress {

        private static final int OLDER_JOBS = 40;
        private static final int TASKS = 60;
        private static final long BATCH_MILLIS = 40;
        private final StepSpec many =
                StepSpec.builder(TASKS, new StepSpec.Need(1, 1, 0)).build();

        private void submitOlderJobs(String worker) {
            d.listWorkers(worker);
            d.answerHold(worker, List.of(), List.of());
            for (int i = 0; i < OLDER_JOBS; i++) {
                d.submit("old" + i, many);
            }
        }

        /** Completes one task of each older job. */
        private void completeOneTaskOfEachJob(int round) {
            List<RunResult> ends = IntStream.range(0, OLDER_JOBS)
                    .mapToObj(i -> new RunResult(
                            (long) round * OLDER_JOBS + i + 1, "old" + i, new TaskId(0, 0, round), 1, EndKind.DONE, ""))
                    .toList();
            d.answerHold("w1", List.of(), ends);
        }

        private boolean isBeingSaved(String job) {
            return d.port.saves.stream()
                    .flatMap(List::stream)
                    .anyMatch(s -> s.job().id().equals(job));
        }

        @Test
        void ofANewJobIsNotDelayedByConstantChangesOfOlderOnes() {
            submitOlderJobs("w1");
            for (int i = 0; i < 10; i++) {
                d.advance(BATCH_MILLIS);
                d.completeSaves();
            }
            completeOneTaskOfEachJob(0);
            d.submit("new", many);
            boolean written = false;
            for (int round = 1; round < 10 && !written; round++) {
                completeOneTaskOfEachJob(round);
                d.advance(BATCH_MILLIS);
                written = isBeingSaved("new");
                d.completeSaves();
            }
            assertTrue(written);
        }

        @Test
        void continuesWhileAWriteIsInFlight() {
            submitOlderJobs("w1");
            d.advance(BATCH_MILLIS);
            d.advance(BATCH_MILLIS);
            assertTrue(IntStream.range(0, OLDER_JOBS).allMatch(i -> isBeingSaved("old" + i)));
        }

        @Test
        void ofOneJobIsNotConcurrent() {
            submitOlderJobs("w1");
            d.advance(BATCH_MILLIS);
            completeOneTaskOfEachJob(0);
            d.advance(BATCH_MILLIS);
            long first = d.port.saves.stream()
                    .flatMap(List::stream)
                    .filter(s -> s.job().id().equals("old0"))
                    .count();
            assertEquals(1, first);
        }
    }

    @Nested
    class AStart {

        @Test
        void waitsUntilThePlacementIsDurable() {
            d.listWorkers("w1");
            d.answerHold("w1", List.of(), List.of());
            d.submit("a", ONE);
            assertTrue(d.port.starts.isEmpty());
            d.completeSaves();
            assertEquals(1, d.lastStart().run());
        }

        @Test
        void waitsUntilTheWorkerHasAcceptedTheOwnersFence() {
            d.listWorkers("w1");
            d.submit("a", ONE);
            d.completeSaves();
            assertTrue(d.port.starts.isEmpty());
            d.answerHold("w1", List.of(), List.of());
            d.completeSaves();
            assertEquals("w1", d.lastStart().worker().id());
        }

        /** Times have millisecond resolution, so it is unknown which of the two reached the worker first. */
        @Test
        void isNotWithdrawnByAHoldSentInTheMillisecondOfItsAnswer() {
            startOnAnyOf("w1");
            d.advance(10);
            d.scheduler.onStarted(d.lastStart(), OrderOutcome.ACCEPTED);
            d.answerHold("w1", List.of(), List.of());
            assertTrue(d.port.stops.isEmpty(), "the hold may have been answered before the start");
            d.advance(1);
            d.answerHold("w1", List.of(), List.of());
            assertEquals(1, d.port.stops.size());
        }

        /**
         * The placement may have waited seconds for the store, and its worker may have announced meanwhile that it
         * drains.
         */
        @Test
        void waitsUntilTheListOfWorkersIsFresh() {
            d.listWorkers("w1", "w2");
            d.answerHold("w1", List.of(), List.of());
            d.answerHold("w2", List.of(), List.of());
            d.submit("a", ONE);
            d.now += 5_000;
            List.copyOf(d.port.saves).forEach(d.scheduler::onSaved);
            d.scheduler.tick();
            assertTrue(d.port.starts.isEmpty());
            d.scheduler.onWorkers(List.of(leaving("w1"), leaving("w2")));
            d.advance(10);
            assertTrue(d.port.starts.isEmpty(), "both workers are about to end");
        }

        private WorkerFacts leaving(String id) {
            WorkerFacts f = SchedulerDriver.worker(id);
            return new WorkerFacts(id, f.service(), f.address(), f.hall(), true, 2_000, f.capacity(), f.labels());
        }

        @Test
        void thatIsUnansweredIsRepeatedOnTheSameWorker() {
            startOnAnyOf("w1", "w2");
            StartOrder first = d.lastStart();
            d.scheduler.onStarted(first, OrderOutcome.UNKNOWN);
            d.advance(300);
            assertEquals(2, d.port.starts.size());
            assertEquals(first.worker(), d.lastStart().worker());
            assertEquals(first.run(), d.lastStart().run());
        }

        @Test
        void rejectedAfterSilenceIsStoppedBeforeTheTaskMoves() {
            startOnAnyOf("w1", "w2");
            StartOrder first = d.lastStart();
            d.scheduler.onStarted(first, OrderOutcome.UNKNOWN);
            d.advance(300);
            d.scheduler.onStarted(d.lastStart(), OrderOutcome.NO_ROOM);
            d.scheduler.tick();
            assertEquals(1, d.port.stops.size());
            d.completeSaves();
            assertEquals(2, d.port.starts.size());
            d.scheduler.onStopped(d.port.stops.get(0), OrderOutcome.ACCEPTED);
            d.scheduler.tick();
            d.advance(10);
            d.answerHold(first.worker().id(), List.of(), List.of());
            d.advance(100);
            d.completeSaves();
            assertEquals(3, d.port.starts.size());
            assertEquals(2, d.lastStart().run());
        }

        @Test
        void thatWasNotSentMovesAtOnce() {
            startOnAnyOf("w1", "w2");
            StartOrder first = d.lastStart();
            d.scheduler.onStarted(first, OrderOutcome.NOT_SENT);
            d.scheduler.tick();
            d.advance(100);
            d.completeSaves();
            assertNotEquals(first.worker(), d.lastStart().worker());
            assertTrue(d.port.stops.isEmpty());
        }

        @Test
        void rejectedByTheFenceEndsTheOwnership() {
            startOnAnyOf("w1");
            d.scheduler.onStarted(d.lastStart(), OrderOutcome.FENCED);
            assertEquals(1, d.port.lost.size());
        }
    }

    @Nested
    class Results {

        @Test
        void areDurableBeforeTheyAreAcknowledged() {
            startOnAnyOf("w1");
            d.scheduler.onStarted(d.lastStart(), OrderOutcome.ACCEPTED);
            d.advance(100);
            d.answerHold("w1", List.of(), List.of(result(1, 1, EndKind.DONE)));
            assertTrue(d.port.holds.stream().allMatch(h -> h.acknowledgedUpTo() == 0));
            d.advance(100);
            d.completeSaves();
            HoldOrder last = d.port.holds.get(d.port.holds.size() - 1);
            assertEquals(1, last.acknowledgedUpTo());
        }

        @Test
        void ofAllTasksCompleteTheJob() {
            startOnAnyOf("w1");
            d.scheduler.onStarted(d.lastStart(), OrderOutcome.ACCEPTED);
            d.advance(100);
            d.answerHold("w1", List.of(), List.of(result(1, 1, EndKind.DONE)));
            assertEquals(
                    JobState.COMPLETED, d.port.saves.get(0).get(0).progress().state());
        }

        @Test
        void ofFailedRunsUseUpAttemptsAndAvoidTheWorker() {
            startOnAnyOf("w1", "w2");
            StartOrder first = d.lastStart();
            d.scheduler.onStarted(first, OrderOutcome.ACCEPTED);
            d.advance(100);
            d.answerHold(first.worker().id(), List.of(), List.of(result(1, 1, EndKind.FAILED)));
            d.advance(100);
            d.completeSaves();
            assertNotEquals(first.worker(), d.lastStart().worker());
        }

        @Test
        void ofFailedRunsOnTheOnlyWorkerMakeTheTaskWaitForAnotherOne() {
            startOnAnyOf("w1");
            d.scheduler.onStarted(d.lastStart(), OrderOutcome.ACCEPTED);
            d.advance(100);
            d.answerHold("w1", List.of(), List.of(result(1, 1, EndKind.FAILED)));
            d.advance(100);
            d.completeSaves();
            assertEquals(1, d.port.starts.size());
            assertEquals(2, d.scheduler.report().needed());
        }

        @Test
        void requestsWorkersForOneOfSeveralConsecutiveSteps() {
            d.listWorkers("w1");
            d.answerHold("w1", List.of(), List.of());
            StepSpec first = StepSpec.builder(8, SchedulerDriver.NEED)
                    .estimateMillis(1_000)
                    .build();
            StepSpec second = StepSpec.builder(8, SchedulerDriver.NEED)
                    .estimateMillis(1_000)
                    .after(List.of(0))
                    .build();
            d.submit("a", first, second);
            d.now += 10_000;
            assertEquals(3, d.scheduler.report().needed(), "eight concurrent tasks, four per worker, not sixteen");
        }
    }

    @Nested
    class AfterFailures {

        private static final long AVOIDED_MILLIS = 4_500;
        private static final long STEP_MILLIS = 500;
        private static final long WITHIN_MILLIS = 5_000;
        private final StepSpec lasting =
                StepSpec.builder(1, SchedulerDriver.NEED).longRunning(true, 0).build();

        private static RunStatus statusOf(String job) {
            return new RunStatus(job, FIRST, 1, "", 50, -1);
        }

        /** Makes three jobs fail on the only worker and waits until it may get a task again. */
        private void failThreeJobs() {
            d.listWorkers("w1");
            d.answerHold("w1", List.of(), List.of());
            List<String> jobs = List.of("a", "b", "c");
            for (int i = 0; i < jobs.size(); i++) {
                d.submit(jobs.get(i), ONE);
                d.advance(100);
                d.completeSaves();
                d.scheduler.onStarted(d.lastStart(), OrderOutcome.ACCEPTED);
                d.advance(100);
                RunResult failed = new RunResult(i + 1L, jobs.get(i), FIRST, 1, EndKind.FAILED, "");
                d.answerHold("w1", List.of(), List.of(failed));
            }
            jobs.forEach(j -> d.scheduler.onCancel(new JobKey("q", j)));
            advanceWithAnswers(AVOIDED_MILLIS, List.of());
        }

        private void advanceWithAnswers(long millis, List<RunStatus> running) {
            for (long t = 0; t < millis; t += STEP_MILLIS) {
                d.advance(STEP_MILLIS);
                d.answerHold("w1", running, List.of());
                d.completeSaves();
            }
        }

        private void acceptStart(String job) {
            assertEquals(job, d.lastStart().jobId());
            d.scheduler.onStarted(d.lastStart(), OrderOutcome.ACCEPTED);
        }

        @Test
        void healthyLongRunningTaskDoesNotBlockTheWorker() {
            failThreeJobs();
            d.submit("x", lasting);
            advanceWithAnswers(STEP_MILLIS, List.of());
            acceptStart("x");
            d.submit("y", lasting);
            advanceWithAnswers(WITHIN_MILLIS, List.of(statusOf("x")));
            acceptStart("y");
        }

        @Test
        void workerGetsOneTaskAtATime() {
            failThreeJobs();
            d.submit("x", ONE);
            advanceWithAnswers(STEP_MILLIS, List.of());
            acceptStart("x");
            d.submit("y", ONE);
            advanceWithAnswers(WITHIN_MILLIS, List.of(statusOf("x")));
            assertEquals("x", d.lastStart().jobId());
        }

        @Test
        void longRunningTaskThatHasJustStartedProvesNothing() {
            failThreeJobs();
            d.submit("x", lasting);
            advanceWithAnswers(STEP_MILLIS, List.of());
            acceptStart("x");
            d.submit("y", lasting);
            advanceWithAnswers(STEP_MILLIS, List.of(statusOf("x")));
            assertEquals("x", d.lastStart().jobId());
        }
    }

    @Nested
    class Records {

        private List<String> pendingSaveIds() {
            return d.port.saves.stream()
                    .flatMap(List::stream)
                    .map(s -> s.job().id())
                    .toList();
        }

        @Test
        void ofManyJobsAreSavedInSmallBatchesInTheOrderOfTheirChanges() {
            for (int i = 0; i < 20; i++) {
                d.submit("job-" + i, ONE);
            }
            for (int i = 0; i < 20; i++) {
                d.scheduler.onCancel(new JobKey("q", "job-" + i));
            }
            d.advance(0);
            assertEquals(
                    IntStream.range(0, 10).mapToObj(i -> "job-" + i).toList(),
                    pendingSaveIds(),
                    "the rows of one call");
            d.advance(100);
            assertEquals(IntStream.range(0, 20).mapToObj(i -> "job-" + i).toList(), pendingSaveIds(), "each job once");
            d.completeSaves();
            d.advance(100);
            assertEquals(List.of(), pendingSaveIds());
        }

        private void completeHundredsOfTasks() {
            for (int i = 0; i < 200; i++) {
                d.submit("job-" + i, ONE);
            }
            for (int i = 0; i < 200; i++) {
                d.scheduler.onCancel(new JobKey("q", "job-" + i));
            }
        }

        @Test
        void useAtMostSixteenConcurrentCalls() {
            completeHundredsOfTasks();
            d.advance(100);
            assertEquals(10, d.port.saves.size(), "without a delay in between");
            d.advance(100);
            d.advance(100);
            assertEquals(16, d.port.saves.size());
            List<SchedulerPort.ProgressWrite> first = d.port.saves.remove(0);
            d.scheduler.onSaved(first);
            d.advance(100);
            assertEquals(16, d.port.saves.size());
            assertEquals("job-160", d.port.saves.get(15).get(0).job().id());
        }

        @Test
        void useAtMostFourConcurrentCallsWhileTheyFail() {
            completeHundredsOfTasks();
            d.advance(100);
            List.copyOf(d.port.saves).forEach(s -> d.scheduler.onSaveFailed(s, 150));
            d.port.saves.clear();
            d.advance(200);
            d.advance(200);
            assertEquals(4, d.port.saves.size());
        }

        @Test
        void thatChangeDuringAWriteAreWrittenAgain() {
            startOnAnyOf("w1");
            d.advance(100);
            d.submit("b", ONE);
            assertEquals(List.of("b"), pendingSaveIds());
            d.scheduler.onCancel(new JobKey("q", "b"));
            d.advance(100);
            d.completeSaves();
            assertEquals(List.of("b"), pendingSaveIds());
            d.completeSaves();
            d.advance(100);
            assertEquals(List.of(), pendingSaveIds());
        }

        @Test
        void thatCouldNotBeSavedAreSavedLater() {
            d.listWorkers("w1");
            d.answerHold("w1", List.of(), List.of());
            d.submit("a", ONE);
            List<SchedulerPort.ProgressWrite> lost = d.port.saves.remove(0);
            d.scheduler.onSaveFailed(lost, 150);
            d.advance(100);
            assertEquals(List.of(), pendingSaveIds());
            d.advance(50);
            assertEquals(List.of("a"), pendingSaveIds());
        }
    }

    @Nested
    class SilentWorkers {

        @Test
        void getNoMoreTasksOnceAStartIsUnanswered() {
            d.listWorkers("w1", "w2");
            d.answerHold("w1", List.of(), List.of());
            d.answerHold("w2", List.of(), List.of());
            d.submit("a", ONE);
            d.completeSaves();
            StartOrder first = d.lastStart();
            d.scheduler.onStarted(first, OrderOutcome.UNKNOWN);
            d.submit("b", ONE);
            d.advance(50);
            d.completeSaves();
            assertNotEquals(first.worker().id(), d.lastStart().worker().id(), "the first worker may be unreachable");
        }

        @Test
        void getNoLaterDeadline() {
            startOnAnyOf("w1");
            d.scheduler.onStarted(d.lastStart(), OrderOutcome.ACCEPTED);
            d.advance(10);
            d.answerHold("w1", List.of(statusOfRun(1)), List.of());
            for (int i = 0; i < 10; i++) {
                d.leaveHoldUnanswered("w1");
                d.advance(1_000);
            }
            long atMost = d.port.holds.stream()
                    .filter(h -> h.deadlineMillis() > 0)
                    .mapToLong(HoldOrder::deadlineMillis)
                    .max()
                    .orElseThrow();
            assertTrue(atMost <= 100_000 + 10 + 2_600 + SchedulerDriver.HOLD_MILLIS, "deadline " + atMost);
        }

        /** Leaves the worker of run 1 silent until run 2 has started elsewhere; returns both workers. */
        private List<String> startTwice() {
            startOnAnyOf("w1", "w2");
            String gone = d.lastStart().worker().id();
            String other = gone.equals("w1") ? "w2" : "w1";
            d.scheduler.onStarted(d.lastStart(), OrderOutcome.ACCEPTED);
            for (int i = 0; i < 20 && d.lastStart().run() == 1; i++) {
                d.leaveHoldUnanswered(gone);
                d.answerHold(other, List.of(), List.of());
                d.advance(1_000);
                d.completeSaves();
            }
            assertEquals(2, d.lastStart().run());
            d.scheduler.onStarted(d.lastStart(), OrderOutcome.ACCEPTED);
            d.advance(100);
            d.completeSaves();
            return List.of(gone, other);
        }

        @Test
        void thatCompleteARunLateGetItRecorded() {
            String gone = startTwice().get(0);
            d.port.saves.clear();
            d.answerHold(gone, List.of(), List.of(result(1, 1, EndKind.DONE)));
            d.advance(100);
            TaskRecord written = d.port.saves.get(0).get(0).progress().tasks().get(0);
            assertTrue(written.done(), "the worker may discard the result once this is saved");
            assertEquals(2, written.run());
        }

        @Test
        void thatReportAnOlderResultLastDoNotChangeACompletedTask() {
            List<String> both = startTwice();
            d.answerHold(both.get(1), List.of(), List.of(result(1, 2, EndKind.DONE)));
            d.answerHold(both.get(0), List.of(), List.of(result(1, 1, EndKind.FAILED)));
            d.advance(100);
            d.completeSaves();
            d.advance(100);
            d.completeSaves();
            assertEquals(2, d.lastStart().run());
            assertEquals(0, d.scheduler.load().waiting());
        }

        @Test
        void thatCompletedARunPreventTheNextOwnerFromRepeatingIt() {
            List<String> both = startTwice();
            d.port.saves.clear();
            d.answerHold(both.get(0), List.of(), List.of(result(1, 1, EndKind.DONE)));
            d.advance(100);
            JobProgress left = d.port.saves.get(0).get(0).progress();
            SchedulerDriver next = new SchedulerDriver();
            next.listWorkers("w1", "w2");
            next.submit("a", left, ONE);
            next.answerHold(both.get(0), List.of(), List.of());
            next.answerHold(both.get(1), List.of(statusOfRun(2)), List.of());
            StopOrder stop = next.port.stops.get(0);
            assertEquals(2, stop.run());
            next.scheduler.onStopped(stop, OrderOutcome.ACCEPTED);
            next.advance(100);
            next.answerHold(both.get(1), List.of(), List.of());
            next.advance(100);
            next.completeSaves();
            next.advance(100);
            assertTrue(next.port.starts.isEmpty());
        }

        /**
         * A result is recorded unless its worker's lease has expired since, so the task keeps all recorded attempts.
         */
        @Test
        void withAFailedRunCountNoAttemptOnceTheirLeaseHasExpired() {
            List<String> both = startTwice();
            d.port.saves.clear();
            d.answerHold(both.get(0), List.of(), List.of(result(1, 1, EndKind.FAILED)));
            d.answerHold(both.get(1), List.of(), List.of(result(1, 2, EndKind.FAILED)));
            d.advance(100);
            TaskRecord written = d.port.saves.get(0).get(0).progress().tasks().get(0);
            assertEquals(1, written.failures());
            assertFalse(written.done());
        }

        @Test
        void keepTheirTasksUntilEveryDeadlineHasPassed() {
            startOnAnyOf("w1", "w2");
            String gone = d.lastStart().worker().id();
            String other = gone.equals("w1") ? "w2" : "w1";
            d.scheduler.onStarted(d.lastStart(), OrderOutcome.ACCEPTED);
            d.advance(10);
            d.answerHold(gone, List.of(statusOfRun(1)), List.of());
            boolean early = false;
            for (int i = 0; i < 12; i++) {
                d.leaveHoldUnanswered(gone);
                d.advance(1_000);
                d.answerHold(other, List.of(), List.of());
                d.completeSaves();
                early |= d.port.starts.size() > 1 && d.now < SchedulerDriver.HOLD_MILLIS;
            }
            assertFalse(early, "started elsewhere while the worker could still run it");
            assertEquals(other, d.lastStart().worker().id());
        }

        /** Ends one run on w1, which keeps another one until every deadline has passed; no record is durable. */
        private void endOneOfTwoRunsThenStaySilent() {
            startOnAnyOf("w1");
            d.scheduler.onStarted(d.lastStart(), OrderOutcome.ACCEPTED);
            d.submit("b", ONE);
            d.advance(100);
            d.completeSaves();
            d.scheduler.onStarted(d.lastStart(), OrderOutcome.ACCEPTED);
            d.advance(10);
            d.answerHold("w1", List.of(runsB()), List.of(result(1, 1, EndKind.DONE)));
            for (int i = 0; i < 12; i++) {
                d.leaveHoldUnanswered("w1");
                d.advance(1_000);
            }
        }

        private static RunStatus runsB() {
            return new RunStatus("b", FIRST, 1, "", 50, -1);
        }

        private long acknowledgedResult() {
            return d.port.holds.get(d.port.holds.size() - 1).acknowledgedUpTo();
        }

        @Test
        void thatAnswerAgainKeepResultsThatAreNotDurable() {
            endOneOfTwoRunsThenStaySilent();
            d.answerHold("w1", List.of(), List.of(result(1, 1, EndKind.DONE)));
            d.advance(100);
            assertEquals(0, acknowledgedResult());
            d.completeSaves();
            d.advance(100);
            assertEquals(1, acknowledgedResult());
        }

        @Test
        void thatAreListedAgainKeepResultsThatAreNotDurable() {
            endOneOfTwoRunsThenStaySilent();
            d.listWorkers();
            d.advance(60_000);
            d.listWorkers("w1");
            d.answerHold("w1", List.of(), List.of(result(1, 1, EndKind.DONE)));
            d.advance(100);
            assertEquals(0, acknowledgedResult());
            d.completeSaves();
            d.advance(100);
            assertEquals(1, acknowledgedResult());
        }

        @Test
        void loseTheirTasksAtOnceWhenAnotherIncarnationAnswers() {
            startOnAnyOf("w1", "w2");
            StartOrder first = d.lastStart();
            d.scheduler.onStarted(first, OrderOutcome.ACCEPTED);
            HoldOrder hold = d.port.holds.stream()
                    .filter(h -> h.worker().equals(first.worker()))
                    .reduce((a, b) -> b)
                    .orElseThrow();
            d.scheduler.onHoldFailed(hold, OrderOutcome.OTHER_LIFE);
            d.scheduler.tick();
            d.advance(100);
            d.completeSaves();
            assertNotEquals(first.worker(), d.lastStart().worker());
        }
    }

    @Nested
    class NewOwner {

        private final JobProgress left =
                new JobProgress(JobState.RUNNING, List.of(new TaskRecord(0, 0, 0, 4, 0, false, "w1", "")), "", 0);

        @Test
        void adoptsRunningTasks() {
            d.listWorkers("w1", "w2");
            d.submit("a", left, ONE);
            d.answerHold("w1", List.of(statusOfRun(4)), List.of());
            d.answerHold("w2", List.of(), List.of());
            d.advance(100);
            d.completeSaves();
            assertTrue(d.port.starts.isEmpty());
            assertTrue(d.port.stops.isEmpty());
        }

        /** The earlier owner may have received the result and have been stopped before saving it. */
        @Test
        void processesResultsThatThePreviousOwnerDidNotSave() {
            d.listWorkers("w1", "w2");
            d.submit("a", left, ONE);
            d.answerHold("w2", List.of(), List.of());
            d.answerHold("w1", List.of(), List.of(result(1, 4, EndKind.DONE)));
            d.advance(100);
            JobProgress written = d.port.saves.get(0).get(0).progress();
            assertEquals(JobState.COMPLETED, written.state());
            d.completeSaves();
            assertTrue(d.port.starts.isEmpty());
        }

        @Test
        void doesNotReportAWorkerAsEmptyBeforeItKnowsTheResults() {
            d.listWorkers("w1", "w2");
            d.submit("a", left, ONE);
            d.scheduler.onEvacuations(Set.of("w1"), Set.of("w1"));
            d.advance(100);
            assertTrue(d.port.emptied.isEmpty());
            d.answerHold("w1", List.of(), List.of(result(1, 4, EndKind.DONE)));
            d.advance(100);
            assertTrue(d.port.emptied.isEmpty(), "its result is not durable");
            d.completeSaves();
            assertTrue(d.port.emptied.contains("w1"));
        }

        @Test
        void restartsTasksThatNeverStarted() {
            d.listWorkers("w1", "w2");
            d.submit("a", left, ONE);
            d.answerHold("w1", List.of(), List.of());
            d.answerHold("w2", List.of(), List.of());
            d.advance(100);
            d.completeSaves();
            assertEquals(5, d.lastStart().run());
        }

        @Test
        void waitsForAnUnreachableWorker() {
            d.listWorkers("w2");
            d.submit("a", left, ONE);
            d.answerHold("w2", List.of(), List.of());
            d.advance(SchedulerDriver.INHERITED_MILLIS / 2);
            d.answerHold("w2", List.of(), List.of());
            d.completeSaves();
            assertTrue(d.port.starts.isEmpty());
        }

        @Test
        void doesNotWaitForAWorkerThatThePlatformDoesNotList() {
            d.listWorkers("w2");
            d.submit("a", left, ONE);
            d.advance(3_000);
            d.answerHold("w2", List.of(), List.of());
            assertTrue(d.scheduler.hasSilentWorkersWithTasks());
            d.scheduler.onRunningWorkers(Set.of("w2"), d.now);
            d.scheduler.tick();
            d.advance(100);
            d.completeSaves();
            assertEquals("w2", d.lastStart().worker().id());
            assertEquals(5, d.lastStart().run());
        }

        @Test
        void stopsUnknownRuns() {
            d.listWorkers("w1");
            d.answerHold("w1", List.of(statusOfRun(9)), List.of());
            assertEquals(9, d.port.stops.get(0).run());
        }
    }

    /** A task runs again only if its run is proven to have ended; these observations are not sufficient proof. */
    @Nested
    class ProofOfTheEndOfARun {

        // The maximum number of results that a worker lists at once.
        private static final int MAX_RESULTS = 500;

        private final JobProgress left =
                new JobProgress(JobState.RUNNING, List.of(new TaskRecord(0, 0, 0, 4, 0, false, "w1", "")), "", 0);

        private void startOnTheFirstOf(String... workers) {
            startOnAnyOf(workers);
            d.scheduler.onStarted(d.lastStart(), OrderOutcome.ACCEPTED);
            d.advance(100);
            d.answerHold(d.lastStart().worker().id(), List.of(statusOfRun(1)), List.of());
            d.completeSaves();
        }

        @Test
        void isNotAListOfInstancesAfterACancelledEvacuation() {
            startOnTheFirstOf("w1", "w2");
            String w = d.lastStart().worker().id();
            d.scheduler.onEvacuations(Set.of(w), Set.of());
            d.advance(3_000);
            d.answerHold(w, List.of(statusOfRun(1)), List.of());
            d.scheduler.onEvacuations(Set.of(), Set.of());
            assertFalse(d.scheduler.hasSilentWorkersWithTasks(), "the worker has just answered");
            d.scheduler.onRunningWorkers(Set.of(), d.now);
            d.advance(100);
            d.completeSaves();
            assertEquals(1, d.port.starts.size());
        }

        @Test
        void isNotAnEntryWithoutAnAddress() {
            startOnTheFirstOf("w1", "w2");
            String w = d.lastStart().worker().id();
            d.scheduler.onWorkers(List.of(workerWithoutAddress("w1"), workerWithoutAddress("w2")));
            int asked = d.port.holds.size();
            d.answerHold(w, List.of(statusOfRun(1)), List.of());
            assertEquals(asked + 1, d.port.holds.size(), "the worker can be polled at its old address");
        }

        private WorkerFacts workerWithoutAddress(String id) {
            WorkerFacts f = SchedulerDriver.worker(id);
            return new WorkerFacts(id, f.service(), "", f.hall(), false, 0, f.capacity(), f.labels());
        }

        @Test
        void isNotAFullListOfResultsWithoutTheRun() {
            d.listWorkers("w1", "w2");
            d.submit("a", left, ONE);
            List<RunResult> others = IntStream.rangeClosed(1, MAX_RESULTS)
                    .mapToObj(i -> new RunResult(i, "other-" + i, FIRST, 1, EndKind.DONE, ""))
                    .toList();
            d.answerHold("w1", List.of(), others);
            d.answerHold("w2", List.of(), List.of());
            d.advance(100);
            d.completeSaves();
            assertTrue(d.port.starts.isEmpty(), "its result may be the next that the worker lists");
            d.answerHold("w1", List.of(), List.of(result(MAX_RESULTS + 1, 4, EndKind.DONE)));
            d.advance(100);
            d.completeSaves();
            assertTrue(d.port.starts.isEmpty());
        }

        @Test
        void isNotAnUnorderedListOfResults() {
            d.listWorkers("w1");
            d.answerHold("w1", List.of(), List.of());
            d.submit("a", ONE);
            d.submit("b", ONE);
            d.advance(100);
            d.completeSaves();
            List.copyOf(d.port.starts).forEach(s -> d.scheduler.onStarted(s, OrderOutcome.ACCEPTED));
            d.advance(100);
            RunResult second = new RunResult(2, "b", FIRST, 1, EndKind.DONE, "");
            d.answerHold("w1", List.of(), List.of(second, result(1, 1, EndKind.DONE)));
            assertEquals(0, d.scheduler.load().running(), "both are done");
            assertTrue(d.port.stops.isEmpty());
        }
    }

    @Nested
    class Cancelling {

        @Test
        void stopsRunningTasksAndStartsNone() {
            startOnAnyOf("w1");
            d.scheduler.onStarted(d.lastStart(), OrderOutcome.ACCEPTED);
            d.scheduler.onCancel(new JobKey("q", "a"));
            d.scheduler.tick();
            assertEquals(1, d.port.stops.size());
            d.advance(100);
            assertEquals(
                    JobState.CANCELLED, d.port.saves.get(0).get(0).progress().state());
        }

        @Test
        void beforeTheStartIsSentWithdrawsThePlacement() {
            d.listWorkers("w1");
            d.answerHold("w1", List.of(), List.of());
            d.submit("a", ONE);
            d.scheduler.onCancel(new JobKey("q", "a"));
            d.completeSaves();
            d.advance(100);
            d.completeSaves();
            assertTrue(d.port.starts.isEmpty());
        }
    }

    @Nested
    class Writes {

        private static final int JOBS = 40;
        // Each call needs one row for ownership.
        private static final int MAX_ROWS = 32 - 1;

        private int rows(SchedulerPort.ProgressWrite s) {
            int condition = 1;
            int record = 1;
            int smallJob = s.progress().finished() ? 1 : 0;
            return condition + record + smallJob;
        }

        @Test
        void ofEndedJobsLeaveRoomForTheirSmallRecordsInOneCall() {
            for (int i = 0; i < JOBS; i++) {
                d.submit("job-" + i, ONE);
            }
            d.now += 100;
            for (int i = 0; i < JOBS; i++) {
                d.scheduler.onCancel(new JobKey("q", "job-" + i));
            }
            int written = 0;
            while (written < JOBS) {
                d.advance(100);
                for (List<SchedulerPort.ProgressWrite> batch : d.port.saves) {
                    int rows = batch.stream().mapToInt(this::rows).sum();
                    assertTrue(rows <= MAX_ROWS, rows + " rows in one call");
                    written += batch.size();
                }
                d.completeSaves();
            }
            assertEquals(JOBS, written);
        }

        @Test
        void ofACompletedTaskContainNoCheckpoint() {
            StepSpec two = StepSpec.builder(2, SchedulerDriver.NEED)
                    .checkpointing(true)
                    .build();
            d.listWorkers("w1");
            d.answerHold("w1", List.of(), List.of());
            d.submit("a", two);
            d.completeSaves();
            List.copyOf(d.port.starts).forEach(s -> d.scheduler.onStarted(s, OrderOutcome.ACCEPTED));
            d.advance(100);
            d.completeSaves();
            RunResult done = new RunResult(1, "a", FIRST, 1, EndKind.DONE, "saved-work");
            RunStatus other = new RunStatus("a", new TaskId(0, 0, 1), 1, "other-work", 50, -1);
            d.answerHold("w1", List.of(other), List.of(done));
            d.advance(100);
            List<TaskRecord> tasks = d.port.saves.get(0).get(0).progress().tasks();
            assertEquals(new TaskRecord(0, 0, 0, 1, 0, true, "", ""), tasks.get(0));
            assertEquals("other-work", tasks.get(1).checkpoint(), "this task may have to resume elsewhere");
        }
    }

    /** A worker that rejects calls is polled again after a delay, however many records are written meanwhile. */
    @Nested
    class WorkersThatRejectHolds {

        @Test
        void areNotPolledBecauseOtherRecordsWereSaved() {
            d.listWorkers("w1", "w2");
            d.answerHold("w1", List.of(), List.of());
            d.leaveHoldUnanswered("w2");
            long asked = holdsOf("w2");
            d.submit("a", ONE);
            d.completeSaves();
            assertEquals(asked, holdsOf("w2"));
        }

        private long holdsOf(String worker) {
            return d.port.holds.stream()
                    .filter(h -> h.worker().id().equals(worker))
                    .count();
        }
    }

    /** One write takes few records, and all jobs of a busy service have unsaved changes all the time. */
    @Nested
    class ManyJobs {

        private static final int BUSY = 20;
        private static final int TASKS = 20;
        private static final int ROUNDS = 10;
        private static final long BETWEEN_WRITES_MILLIS = 45;
        private static final StepSpec.Need WHOLE_WORKER = new StepSpec.Need(4_000, 100, 0);

        private final Map<String, Iterator<StartOrder>> running = new LinkedHashMap<>();

        @Test
        void thatCameFirstDoNotDelayTheStartOfTheNext() {
            listWorkers();
            for (int i = 0; i < BUSY; i++) {
                d.submit("busy-" + i, StepSpec.builder(TASKS, WHOLE_WORKER).build());
            }
            for (int i = 0; i < ROUNDS; i++) {
                completeOneRoundOfWrites();
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
            d.submit("late", StepSpec.builder(1, WHOLE_WORKER).build());
            completeOneRoundOfWrites();
            for (int i = 0; i < ROUNDS; i++) {
                running.values().forEach(r -> ended(r.next()));
                completeOneRoundOfWrites();
            }
            assertTrue(d.port.starts.stream().anyMatch(s -> s.jobId().endsWith("late")));
        }

        private void listWorkers() {
            String[] ids = IntStream.rangeClosed(0, BUSY * TASKS)
                    .mapToObj(i -> "w" + i)
                    .toArray(String[]::new);
            d.listWorkers(ids);
            for (String id : ids) {
                d.answerHold(id, List.of(), List.of());
            }
        }

        private void ended(StartOrder s) {
            d.answerHold(
                    s.worker().id(),
                    List.of(),
                    List.of(new RunResult(1, s.jobId(), s.task(), s.run(), EndKind.DONE, "")));
        }

        private void completeOneRoundOfWrites() {
            d.advance(BETWEEN_WRITES_MILLIS);
            d.completeSaves();
        }
    }
}
