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

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.job.EndKind;
import org.lupinpaddle.core.job.JobProgress;
import org.lupinpaddle.core.job.JobState;
import org.lupinpaddle.core.job.Repeat;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.job.TaskId;
import org.lupinpaddle.core.job.TaskRecord;
import org.lupinpaddle.core.placement.WorkerFacts;

/** Tests which worker losses count as crashes caused by a task, and how suspect tasks are treated. */
class CrashTrackerTest {

    private static final TaskId FIRST = new TaskId(0, 0, 0);
    private static final StepSpec ONE =
            StepSpec.builder(1, SchedulerDriver.NEED).build();
    private static final StepSpec TWO_LASTING =
            StepSpec.builder(2, SchedulerDriver.NEED).longRunning(true, 1).build();

    private static final StepSpec LASTING =
            StepSpec.builder(1, SchedulerDriver.NEED).longRunning(true, 0).build();
    private static final StepSpec AFTER_FIRST =
            StepSpec.builder(1, SchedulerDriver.NEED).after(List.of(0)).build();

    private static final StepSpec HALF_A_SECOND =
            StepSpec.builder(1, SchedulerDriver.NEED).estimateMillis(500).build();
    private static final StepSpec WHOLE_WORKER =
            StepSpec.builder(1, new StepSpec.Need(4_000, 100, 0)).build();

    private final SchedulerDriver d = new SchedulerDriver();

    private void workers(String... ids) {
        d.listWorkers(ids);
        answer(ids);
    }

    private void answer(String... ids) {
        d.advance(10);
        for (String w : ids) {
            d.answerHold(w, List.of(), List.of());
        }
    }

    /** Saves all pending progress; writes within a few dozen milliseconds are batched. */
    private void saveAll() {
        d.advance(50);
        d.completeSaves();
    }

    private static JobProgress progressWithCrashes(int certain, int doubtful, boolean done) {
        return new JobProgress(
                JobState.RUNNING, List.of(new TaskRecord(0, 0, 0, 3, 0, done, "", "", certain, doubtful)), "", 0);
    }

    /** Returns the newest record of a job's first task. */
    private TaskRecord lastRecord() {
        d.advance(50);
        List<List<SchedulerPort.ProgressWrite>> saves = d.port.saves;
        return saves.get(saves.size() - 1).get(0).progress().tasks().get(0);
    }

    private StartOrder startAccepted() {
        saveAll();
        StartOrder s = d.lastStart();
        d.scheduler.onStarted(s, OrderOutcome.ACCEPTED);
        return s;
    }

    private StartOrder lastStartOf(String job) {
        return d.port.starts.stream()
                .filter(s -> s.jobId().equals(job))
                .reduce((a, b) -> b)
                .orElseThrow();
    }

    @Nested
    class AWorkerLoss {

        @Test
        void countsAsCrashWhenAnotherIncarnationAnswers() {
            workers("w1");
            d.submit("a", ONE);
            startAccepted();
            d.answerAsOtherIncarnation("w1");
            assertEquals(1, lastRecord().knownCrashes());
            assertEquals(0, lastRecord().knownDoubtfulCrashes());
        }

        @Test
        void isDoubtfulIfTheStartWasNotAnswered() {
            workers("w1");
            d.submit("a", ONE);
            saveAll();
            d.scheduler.onStarted(d.lastStart(), OrderOutcome.UNKNOWN);
            d.answerAsOtherIncarnation("w1");
            assertEquals(0, lastRecord().knownCrashes());
            assertEquals(1, lastRecord().knownDoubtfulCrashes());
        }

        /** The order reached another incarnation, so the intended worker never received it. */
        @Test
        void doesNotCountIfTheOnlyStartReachedAnotherIncarnation() {
            workers("w1");
            d.submit("a", ONE);
            saveAll();
            d.scheduler.onStarted(d.lastStart(), OrderOutcome.OTHER_LIFE);
            assertEquals(0, lastRecord().knownCrashes() + lastRecord().knownDoubtfulCrashes());
        }

        @Test
        void ofADrainingWorkerIsNoCrash() {
            workers("w1");
            d.submit("a", ONE);
            startAccepted();
            WorkerFacts w = SchedulerDriver.worker("w1");
            d.scheduler.onWorkers(List.of(new WorkerFacts(
                    w.id(), w.service(), w.address(), w.hall(), true, 1_000, w.capacity(), w.labels())));
            d.answerAsOtherIncarnation("w1");
            assertEquals(0, lastRecord().knownCrashes());
        }

        /** The worker may still be alive behind a network partition. */
        @Test
        void ofAnUnreachableWorkerIsNoCrash() {
            workers("w1");
            d.submit("a", ONE);
            startAccepted();
            saveAll();
            d.leaveHoldUnanswered("w1");
            d.advance(3 * SchedulerDriver.HOLD_MILLIS);
            assertEquals("", lastRecord().worker(), "nothing is running there any more");
            assertEquals(0, lastRecord().knownCrashes());
        }

        /**
         * Guards against blaming tasks for a network partition or the loss of a rack, which affects several workers
         * at once.
         */
        @Test
        void isDoubtfulIfAWorkerWithoutTheStepIsLostAtTheSameTime() {
            workers("w1", "w2");
            d.submit("a", WHOLE_WORKER);
            String first = startAccepted().worker().id();
            d.submit("b", WHOLE_WORKER);
            String second = startAccepted().worker().id();
            d.answerAsOtherIncarnation(first);
            d.answerAsOtherIncarnation(second);
            assertEquals(0, lastRecord().knownCrashes());
            assertEquals(1, lastRecord().knownDoubtfulCrashes());
        }

        /** Guards against blaming the tasks of the worker whose loss is detected first. */
        @Test
        void isDoubtfulOnceAnotherSimultaneousLossIsDetected() {
            workers("w1", "w2", "w3");
            d.submit("a", WHOLE_WORKER);
            String first = startAccepted().worker().id();
            d.submit("b", WHOLE_WORKER);
            String second = startAccepted().worker().id();
            d.answerAsOtherIncarnation(first);
            d.answerAsOtherIncarnation(second);
            saveAll();
            StartOrder again = lastStartOf("a");
            d.scheduler.onStarted(again, OrderOutcome.ACCEPTED);
            d.advance(100);
            d.answerHold(again.worker().id(), List.of(new RunStatus("a", FIRST, again.run(), "", 10, -1)), List.of());
            d.answerAsOtherIncarnation(again.worker().id());
            // The discounted crash has been written before.
            d.completeSaves();
            assertEquals(1, lastRecord().knownCrashes());
            assertEquals(1, lastRecord().knownDoubtfulCrashes());
        }

        /** Guards against blaming a task whose run may have ended before its worker crashed unobserved. */
        @Test
        void isDoubtfulIfTheRunWasDueToEndAtTheLastAnswer() {
            workers("w1");
            d.submit("a", HALF_A_SECOND);
            StartOrder s = startAccepted();
            d.advance(600);
            d.answerHold("w1", List.of(new RunStatus("a", FIRST, s.run(), "", 90, -1)), List.of());
            d.leaveHoldUnanswered("w1");
            d.advance(1_000);
            d.answerAsOtherIncarnation("w1");
            assertEquals(0, lastRecord().knownCrashes());
            assertEquals(1, lastRecord().knownDoubtfulCrashes());
        }

        /** Guards against starting a task too often that crashes its workers near the end of its runs. */
        @Test
        void countsIfTheTaskRanAloneThoughItWasDueToEnd() {
            workers("w1");
            d.submit("a", progressWithCrashes(0, 2, false), HALF_A_SECOND);
            StartOrder s = startAccepted();
            d.advance(600);
            d.answerHold("w1", List.of(new RunStatus("a", FIRST, s.run(), "", 90, -1)), List.of());
            d.answerAsOtherIncarnation("w1");
            assertEquals(1, lastRecord().knownCrashes());
            assertEquals(2, lastRecord().knownDoubtfulCrashes());
        }

        @Test
        void detectedByTheNextOwnerIsCounted() {
            workers("w2");
            JobProgress onLost = new JobProgress(
                    JobState.RUNNING, List.of(new TaskRecord(0, 0, 0, 1, 0, false, "w1", "", 1, 0)), "", 0);
            d.submit("a", onLost, ONE);
            d.advance(3_000);
            answer("w2");
            d.scheduler.onRunningWorkers(Set.of("w2"), d.now);
            d.advance(10);
            assertEquals(1, lastRecord().knownCrashes());
            assertEquals(1, lastRecord().knownDoubtfulCrashes());
        }
    }

    /**
     * Guards against giving up a job for workers that were lost together. They are detected one after the other, and
     * the service may change hands, or the job be reported as failed, before all of them are.
     */
    @Nested
    class ACrashThatALaterLossMayExplain {

        private static final int SILENT_FOR_MILLIS = 300;

        private String onWorker = "";
        private String other = "";

        /** Starts the task on one worker and another job on the other worker, which is silent since. */
        private void startBeside(JobProgress progress) {
            workers("w1", "w2");
            d.submit("other", WHOLE_WORKER);
            other = startAccepted().worker().id();
            d.submit("a", progress, WHOLE_WORKER);
            onWorker = startAccepted().worker().id();
            d.advance(SILENT_FOR_MILLIS);
            RunStatus running = new RunStatus("a", FIRST, lastStartOf("a").run(), "", 10, -1);
            d.answerHold(onWorker, List.of(running), List.of());
        }

        /** Returns the newest record of the job after all pending writes. */
        private JobProgress lastProgressOfTask() {
            d.advance(50);
            List<SchedulerPort.ProgressWrite> writes = new ArrayList<>();
            for (int i = 0; i < 2; i++) {
                d.port.saves.forEach(writes::addAll);
                d.completeSaves();
                d.advance(50);
            }
            d.port.saves.forEach(writes::addAll);
            return writes.stream()
                    .filter(w -> w.job().id().equals("a"))
                    .reduce((x, y) -> y)
                    .orElseThrow()
                    .progress();
        }

        private void assertSaved(int certain, int doubtful) {
            TaskRecord r = lastProgressOfTask().tasks().get(0);
            assertEquals(List.of(certain, doubtful), List.of(r.knownCrashes(), r.knownDoubtfulCrashes()));
        }

        @Test
        void isSavedAsDoubtfulUntilTheOtherWorkersHaveAnswered() {
            startBeside(progressWithCrashes(0, 0, false));
            d.answerAsOtherIncarnation(onWorker);
            assertSaved(0, 1);
            answer(other);
            assertSaved(1, 0);
        }

        @Test
        void isSavedAsCertainIfTheOtherWorkersStaySilent() {
            startBeside(progressWithCrashes(0, 0, false));
            d.answerAsOtherIncarnation(onWorker);
            d.advance(2_800);
            assertSaved(1, 0);
        }

        /** The owner may change before the task crashes another worker. */
        @Test
        void isDiscountedAsSoonAsAnotherLossIsDetected() {
            startBeside(progressWithCrashes(0, 0, false));
            d.answerAsOtherIncarnation(onWorker);
            d.advance(100);
            d.answerAsOtherIncarnation(other);
            d.advance(2_800);
            assertSaved(0, 1);
            assertEquals(1, d.port.events(SchedulerEvent.Kind.CRASH_DISCOUNTED).size());
        }

        @Test
        void doesNotEndTheJobBeforeAnotherLossIsDetected() {
            startBeside(progressWithCrashes(2, 0, false));
            d.answerAsOtherIncarnation(onWorker);
            assertEquals(JobState.RUNNING, lastProgressOfTask().state());
            d.answerAsOtherIncarnation(other);
            int run = lastStartOf("a").run();
            workers("w3", "w4");
            saveAll();
            saveAll();
            assertEquals(run + 1, lastStartOf("a").run(), "the task runs again");
        }

        /** The caller should learn soon that a task crashes its workers. */
        @Test
        void endsTheJobOnceTheOtherWorkersHaveAnswered() {
            startBeside(progressWithCrashes(2, 0, false));
            d.answerAsOtherIncarnation(onWorker);
            int starts = d.port.starts.size();
            answer(other);
            assertEquals(JobState.FAILED, lastProgressOfTask().state());
            assertEquals(starts, d.port.starts.size(), "the task is not started meanwhile");
        }
    }

    @Nested
    class ASuspectTask {

        /** Guards against blaming a task for a worker that was lost before the start reached it. */
        @Test
        void isStartedOnlyOnAWorkerThatRespondedRecently() {
            workers("w1");
            d.advance(1_000);
            d.submit("a", progressWithCrashes(1, 0, false), ONE);
            saveAll();
            assertEquals(List.of(), d.port.starts);
            d.scheduler.onStopped(d.port.stops.get(0), OrderOutcome.ACCEPTED);
            d.advance(10);
            assertEquals("a", d.lastStart().jobId());
        }

        /**
         * Guards against the same failure if the worker does not respond: the start has not been sent, so the task
         * can be placed elsewhere.
         */
        @Test
        void isPlacedElsewhereIfItsWorkerDoesNotAnswer() {
            workers("w1");
            d.advance(1_000);
            d.submit("a", progressWithCrashes(1, 0, false), ONE);
            saveAll();
            d.scheduler.onStopped(d.port.stops.get(0), OrderOutcome.UNKNOWN);
            d.advance(10);
            workers("w2");
            saveAll();
            saveAll();
            assertEquals("w2", d.lastStart().worker().id());
            assertEquals(List.of(), d.port.events(SchedulerEvent.Kind.CRASH_COUNTED));
        }

        @Test
        void isNotPlacedWithOtherSuspects() {
            workers("w1", "w2");
            d.submit("a", progressWithCrashes(1, 0, false), ONE);
            d.submit("b", progressWithCrashes(1, 0, false), ONE);
            saveAll();
            assertFalse(lastStartOf("a")
                    .worker()
                    .id()
                    .equals(lastStartOf("b").worker().id()));
        }

        @Test
        void runsAloneOnItsWorkerAfterTwoCrashes() {
            workers("w1", "w2");
            d.submit("innocent", ONE);
            startAccepted();
            d.submit("a", progressWithCrashes(2, 0, false), ONE);
            saveAll();
            String alone = lastStartOf("a").worker().id();
            assertFalse(alone.equals(lastStartOf("innocent").worker().id()));
            d.submit("later", ONE);
            saveAll();
            assertEquals(
                    lastStartOf("innocent").worker().id(),
                    lastStartOf("later").worker().id());
        }

        @Test
        void acceptsAnyWorkerBeforeItsJobIsIdleForTooLong() {
            workers("w1");
            d.submit("innocent", ONE);
            StartOrder first = startAccepted();
            d.submit("a", progressWithCrashes(2, 0, false), ONE);
            saveAll();
            assertEquals(1, d.port.starts.size(), "no worker is empty");
            RunStatus runs = new RunStatus("innocent", FIRST, first.run(), "", 10, -1);
            for (int i = 0; i < 12; i++) {
                d.advance(250);
                d.answerHold("w1", List.of(runs), List.of());
            }
            saveAll();
            assertEquals("a", d.lastStart().jobId());
        }

        @Test
        void thatSucceedsIsDone() {
            workers("w1");
            d.submit("a", progressWithCrashes(2, 0, false), ONE);
            StartOrder s = startAccepted();
            d.advance(100);
            d.answerHold("w1", List.of(), List.of(new RunResult(1, "a", FIRST, s.run(), EndKind.DONE, "")));
            d.advance(100);
            assertEquals(
                    JobState.COMPLETED,
                    d.port.saves.get(d.port.saves.size() - 1).get(0).progress().state());
        }
    }

    @Nested
    class ATaskThatIsGivenUp {

        private JobProgress lastProgress() {
            d.advance(50);
            return d.port.saves.get(d.port.saves.size() - 1).get(0).progress();
        }

        @Test
        void endsItsJobWithTheReason() {
            workers("w1", "w2");
            d.submit("a", progressWithCrashes(2, 0, false), ONE);
            String on = startAccepted().worker().id();
            d.answerAsOtherIncarnation(on);
            assertEquals(JobState.FAILED, lastProgress().state());
            assertEquals(
                    "3 workers crashed under task 0.0.0, the last was " + on,
                    lastProgress().reason());
        }

        @Test
        void needsMoreCrashesIfItMayNotHaveRun() {
            workers("w1", "w2");
            d.submit("a", progressWithCrashes(0, 3, false), ONE);
            d.answerAsOtherIncarnation(startAccepted().worker().id());
            assertEquals(JobState.RUNNING, lastProgress().state(), "one of four is certain");
        }

        /** Users depend on the other tasks, and the caller limits how many may be unavailable. */
        @Test
        void doesNotStopTheOtherTasksOfALongRunningStep() {
            workers("w1", "w2", "w3");
            d.submit("a", progressWithCrashes(2, 0, false), TWO_LASTING);
            saveAll();
            List.copyOf(d.port.starts).forEach(s -> d.scheduler.onStarted(s, OrderOutcome.ACCEPTED));
            String guilty = d.port.starts.stream()
                    .filter(s -> s.task().equals(FIRST))
                    .findFirst()
                    .orElseThrow()
                    .worker()
                    .id();
            d.answerAsOtherIncarnation(guilty);
            assertEquals(JobState.RUNNING, lastProgress().state());
            assertTrue(lastProgress().tasks().get(0).done());
            assertTrue(d.port.stops.isEmpty());
            int starts = d.port.starts.size();
            saveAll();
            d.advance(5_000);
            answer("w3");
            assertEquals(starts, d.port.starts.size(), "the task must not be restarted");
        }

        @Test
        void staysGivenUpUnderTheNextOwner() {
            workers("w1");
            d.submit("a", progressWithCrashes(3, 0, true), TWO_LASTING);
            saveAll();
            assertEquals(1, d.port.starts.size());
            assertEquals(new TaskId(0, 0, 1), d.lastStart().task());
        }

        /** Guards against a caller that is told that all is well although a task of its job runs no more. */
        @Test
        void failsItsJobWhenTheOtherStepsAreCompleted() {
            workers("w1", "w2");
            d.submit("a", progressWithCrashes(2, 0, false), LASTING, ONE);
            giveUpFirst();
            assertEquals(JobState.RUNNING, lastProgress().state(), "the other step still runs");
            completeSecondStep();
            assertEquals(JobState.FAILED, lastProgress().state());
            assertTrue(lastProgress().reason().contains("workers crashed under task 0.0.0"));
        }

        /** Guards against the same under the next owner, which knows only the record. */
        @Test
        void failsItsJobUnderTheNextOwner() {
            workers("w1", "w2");
            d.submit("a", progressWithCrashes(3, 0, true), LASTING, ONE);
            completeSecondStep();
            assertEquals(JobState.FAILED, lastProgress().state());
            assertEquals("a long-running task was given up", lastProgress().reason());
        }

        /** Guards against a step that starts after one that was never completed. */
        @Test
        void keepsLaterStepsFromStarting() {
            workers("w1", "w2");
            d.submit("a", progressWithCrashes(2, 0, false), LASTING, AFTER_FIRST);
            giveUpFirst();
            assertEquals(JobState.FAILED, lastProgress().state(), "nothing else of the job can run");
            saveAll();
            assertEquals(1, d.port.starts.size());
        }

        /** Guards against a job that an earlier release left running although none of its tasks can run. */
        @Test
        void failsAJobWhoseOtherStepsCannotStart() {
            workers("w1", "w2");
            d.submit("a", progressWithCrashes(3, 0, true), LASTING, AFTER_FIRST);
            assertEquals(JobState.FAILED, lastProgress().state());
        }

        @Test
        void doesNotEndAJobWhoseLongRunningStepHasOtherTasks() {
            workers("w1", "w2");
            d.submit("a", progressWithCrashes(3, 0, true), TWO_LASTING, ONE);
            saveAll();
            List.copyOf(d.port.starts).forEach(s -> d.scheduler.onStarted(s, OrderOutcome.ACCEPTED));
            completeSecondStep();
            assertEquals(JobState.RUNNING, lastProgress().state());
        }

        /** Guards against a repeated job that counts an iteration as completed in which a task was given up. */
        @Test
        void failsARepeatedJobWithItsLastIteration() {
            workers("w1");
            JobProgress oneOfTwo = new JobProgress(
                    JobState.RUNNING,
                    List.of(givenUp(0), new TaskRecord(0, 1, 0, 1, 0, true, "", ""), givenUp(1)),
                    "",
                    0);
            d.submitRepeated("a", new Repeat(2, 0, 0), oneOfTwo, LASTING, ONE);
            completeSecondStep();
            assertEquals(JobState.FAILED, lastProgress().state());
        }

        private TaskRecord givenUp(int time) {
            return new TaskRecord(time, 0, 0, 3, 0, true, "", "", 3, 0);
        }

        private void giveUpFirst() {
            saveAll();
            StartOrder first = d.port.starts.stream()
                    .filter(s -> s.task().equals(FIRST))
                    .findFirst()
                    .orElseThrow();
            d.scheduler.onStarted(first, OrderOutcome.ACCEPTED);
            d.answerAsOtherIncarnation(first.worker().id());
        }

        private void completeSecondStep() {
            saveAll();
            StartOrder second = d.port.starts.stream()
                    .filter(s -> s.task().step() == 1)
                    .reduce((a, b) -> b)
                    .orElseThrow();
            d.scheduler.onStarted(second, OrderOutcome.ACCEPTED);
            d.advance(100);
            RunResult done = new RunResult(1, "a", second.task(), second.run(), EndKind.DONE, "");
            d.answerHold(second.worker().id(), List.of(), List.of(done));
        }
    }
}
