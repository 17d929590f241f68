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
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.job.EndKind;
import org.lupinpaddle.core.job.JobProgress;
import org.lupinpaddle.core.job.JobState;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.job.TaskId;
import org.lupinpaddle.core.job.TaskRecord;
import org.lupinpaddle.core.placement.WorkerFacts;

/** What counts as a crash under a task, and what becomes of a task that is suspected. */
class CrashJudgeTest {

    private static final TaskId FIRST = new TaskId(0, 0, 0);
    private static final StepSpec ONE =
            StepSpec.builder(1, SchedulerDriver.NEED).build();
    private static final StepSpec TWO_LASTING =
            StepSpec.builder(2, SchedulerDriver.NEED).longRunning(true, 1).build();

    private static final StepSpec HALF_A_SECOND =
            StepSpec.builder(1, SchedulerDriver.NEED).estimateMillis(500).build();
    private static final StepSpec WHOLE_WORKER =
            StepSpec.builder(1, new StepSpec.Need(4_000, 100, 0)).build();

    private final SchedulerDriver d = new SchedulerDriver();

    private void workers(String... ids) {
        d.workers(ids);
        answer(ids);
    }

    private void answer(String... ids) {
        d.passes(10);
        for (String w : ids) {
            d.answers(w, List.of(), List.of());
        }
    }

    /** Lets what is to be written be written: the writes of a few dozen milliseconds go together. */
    private void settle() {
        d.passes(50);
        d.saved();
    }

    private static JobProgress crashed(int certain, int doubtful, boolean done) {
        return new JobProgress(
                JobState.RUNNING, List.of(new TaskRecord(0, 0, 0, 3, 0, done, "", "", certain, doubtful)), "", 0);
    }

    /** Returns the newest record of a job's first task. */
    private TaskRecord written() {
        d.passes(50);
        List<List<SchedulerPort.Saving>> saves = d.port.saves;
        return saves.get(saves.size() - 1).get(0).progress().tasks().get(0);
    }

    private StartOrder started() {
        settle();
        StartOrder s = d.lastStart();
        d.scheduler.onStarted(s, OrderOutcome.ACCEPTED);
        return s;
    }

    private StartOrder startOf(String job) {
        return d.port.starts.stream()
                .filter(s -> s.jobId().equals(job))
                .reduce((a, b) -> b)
                .orElseThrow();
    }

    @Nested
    class ALoss {

        @Test
        void countsAsCrashWhenAnotherLifeAnswers() {
            workers("w1");
            d.job("a", ONE);
            started();
            d.otherLife("w1");
            assertEquals(1, written().knownCrashes());
            assertEquals(0, written().knownDoubtfulCrashes());
        }

        @Test
        void isDoubtfulWhereTheStartGotNoAnswer() {
            workers("w1");
            d.job("a", ONE);
            settle();
            d.scheduler.onStarted(d.lastStart(), OrderOutcome.UNKNOWN);
            d.otherLife("w1");
            assertEquals(0, written().knownCrashes());
            assertEquals(1, written().knownDoubtfulCrashes());
        }

        /** The order has reached another life, so its own worker never had it. */
        @Test
        void saysNothingOfATaskWhoseOnlyStartReachedAnotherLife() {
            workers("w1");
            d.job("a", ONE);
            settle();
            d.scheduler.onStarted(d.lastStart(), OrderOutcome.OTHER_LIFE);
            assertEquals(0, written().knownCrashes() + written().knownDoubtfulCrashes());
        }

        @Test
        void ofAWorkerThatDrainedIsNoCrash() {
            workers("w1");
            d.job("a", ONE);
            started();
            WorkerFacts w = SchedulerDriver.worker("w1");
            d.scheduler.onWorkers(List.of(new WorkerFacts(
                    w.id(), w.service(), w.address(), w.hall(), true, 1_000, w.capacity(), w.labels())));
            d.otherLife("w1");
            assertEquals(0, written().knownCrashes());
        }

        /** It may live on behind a cut. */
        @Test
        void ofAWorkerThatIsOnlyOutOfReachIsNoCrash() {
            workers("w1");
            d.job("a", ONE);
            started();
            settle();
            d.silent("w1");
            d.passes(3 * SchedulerDriver.HOLD_MILLIS);
            assertEquals("", written().worker(), "nothing runs there any more");
            assertEquals(0, written().knownCrashes());
        }

        /** Guards against blaming tasks for a cut or the loss of a rack, which takes several workers at once. */
        @Test
        void isDoubtfulWhereAWorkerThatDidNotRunTheStepIsLostWithIt() {
            workers("w1", "w2");
            d.job("a", WHOLE_WORKER);
            String first = started().worker().id();
            d.job("b", WHOLE_WORKER);
            String second = started().worker().id();
            d.otherLife(first);
            d.otherLife(second);
            assertEquals(0, written().knownCrashes());
            assertEquals(1, written().knownDoubtfulCrashes());
        }

        /** Guards against blaming the tasks of whichever worker is found lost first. */
        @Test
        void isDoubtfulOnceAnotherWorkerIsFoundToHaveBeenLostWithIt() {
            workers("w1", "w2", "w3");
            d.job("a", WHOLE_WORKER);
            String first = started().worker().id();
            d.job("b", WHOLE_WORKER);
            String second = started().worker().id();
            d.otherLife(first);
            d.otherLife(second);
            settle();
            StartOrder again = startOf("a");
            d.scheduler.onStarted(again, OrderOutcome.ACCEPTED);
            d.passes(100);
            d.answers(again.worker().id(), List.of(new RunningReport("a", FIRST, again.run(), "", 10, -1)), List.of());
            d.otherLife(again.worker().id());
            assertEquals(1, written().knownCrashes());
            assertEquals(1, written().knownDoubtfulCrashes());
        }

        /** Guards against blaming a task whose run may have ended before its worker crashed out of sight. */
        @Test
        void isDoubtfulWhereTheRunWasDueToEndWhenItsWorkerWasLastHeard() {
            workers("w1");
            d.job("a", HALF_A_SECOND);
            StartOrder s = started();
            d.passes(600);
            d.answers("w1", List.of(new RunningReport("a", FIRST, s.run(), "", 90, -1)), List.of());
            d.silent("w1");
            d.passes(1_000);
            d.otherLife("w1");
            assertEquals(0, written().knownCrashes());
            assertEquals(1, written().knownDoubtfulCrashes());
        }

        /** Guards against starting a task too often that crashes its workers towards the end of its runs. */
        @Test
        void countsWhereTheTaskRanAloneThoughItWasDueToEnd() {
            workers("w1");
            d.job("a", crashed(0, 2, false), HALF_A_SECOND);
            StartOrder s = started();
            d.passes(600);
            d.answers("w1", List.of(new RunningReport("a", FIRST, s.run(), "", 90, -1)), List.of());
            d.otherLife("w1");
            assertEquals(1, written().knownCrashes());
            assertEquals(2, written().knownDoubtfulCrashes());
        }

        @Test
        void thatTheNextOwnerNoticesIsCountedToo() {
            workers("w2");
            JobProgress onLost = new JobProgress(
                    JobState.RUNNING, List.of(new TaskRecord(0, 0, 0, 1, 0, false, "w1", "", 1, 0)), "", 0);
            d.job("a", onLost, ONE);
            d.passes(3_000);
            answer("w2");
            d.scheduler.onLiving(Set.of("w2"), d.now);
            d.passes(10);
            assertEquals(1, written().knownCrashes());
            assertEquals(1, written().knownDoubtfulCrashes());
        }
    }

    @Nested
    class ASuspect {

        /** Guards against blaming a task for a worker that was lost before the start reached it. */
        @Test
        void isStartedOnlyOnAWorkerThatHasJustAnswered() {
            workers("w1");
            d.passes(1_000);
            d.job("a", crashed(1, 0, false), ONE);
            settle();
            assertEquals(List.of(), d.port.starts);
            d.scheduler.onStopped(d.port.stops.get(0), OrderOutcome.ACCEPTED);
            d.passes(10);
            assertEquals("a", d.lastStart().jobId());
        }

        /** Guards against the same where the worker does not answer: the choice has not gone out, and another one may do. */
        @Test
        void isPlacedAnewWhereItsWorkerDoesNotAnswer() {
            workers("w1");
            d.passes(1_000);
            d.job("a", crashed(1, 0, false), ONE);
            settle();
            d.scheduler.onStopped(d.port.stops.get(0), OrderOutcome.UNKNOWN);
            d.passes(10);
            workers("w2");
            settle();
            settle();
            assertEquals("w2", d.lastStart().worker().id());
            assertEquals(List.of(), d.port.events(SchedulerEvent.Kind.CRASH_COUNTED));
        }

        @Test
        void isKeptApartFromOtherSuspects() {
            workers("w1", "w2");
            d.job("a", crashed(1, 0, false), ONE);
            d.job("b", crashed(1, 0, false), ONE);
            settle();
            assertFalse(startOf("a").worker().id().equals(startOf("b").worker().id()));
        }

        @Test
        void runsAloneAfterTwoCrashesAndNothingJoinsIt() {
            workers("w1", "w2");
            d.job("innocent", ONE);
            started();
            d.job("a", crashed(2, 0, false), ONE);
            settle();
            String alone = startOf("a").worker().id();
            assertFalse(alone.equals(startOf("innocent").worker().id()));
            d.job("later", ONE);
            settle();
            assertEquals(
                    startOf("innocent").worker().id(), startOf("later").worker().id());
        }

        @Test
        void takesAnyWorkerBeforeItsJobHasHadNothingAtWorkForTooLong() {
            workers("w1");
            d.job("innocent", ONE);
            StartOrder first = started();
            d.job("a", crashed(2, 0, false), ONE);
            settle();
            assertEquals(1, d.port.starts.size(), "no worker is empty");
            RunningReport runs = new RunningReport("innocent", FIRST, first.run(), "", 10, -1);
            for (int i = 0; i < 12; i++) {
                d.passes(250);
                d.answers("w1", List.of(runs), List.of());
            }
            settle();
            assertEquals("a", d.lastStart().jobId());
        }

        @Test
        void thatEndsWellIsDone() {
            workers("w1");
            d.job("a", crashed(2, 0, false), ONE);
            StartOrder s = started();
            d.passes(100);
            d.answers("w1", List.of(), List.of(new EndReport(1, "a", FIRST, s.run(), EndKind.DONE, "")));
            d.passes(100);
            assertEquals(
                    JobState.COMPLETED,
                    d.port.saves.get(d.port.saves.size() - 1).get(0).progress().state());
        }
    }

    @Nested
    class ATaskThatIsGivenUp {

        private JobProgress last() {
            d.passes(50);
            return d.port.saves.get(d.port.saves.size() - 1).get(0).progress();
        }

        @Test
        void endsItsJobWithTheReason() {
            workers("w1", "w2");
            d.job("a", crashed(2, 0, false), ONE);
            String on = started().worker().id();
            d.otherLife(on);
            assertEquals(JobState.FAILED, last().state());
            assertEquals("3 workers crashed under task 0.0.0, the last was " + on, last().reason());
        }

        @Test
        void needsMoreWhereItMayNotHaveRun() {
            workers("w1", "w2");
            d.job("a", crashed(0, 3, false), ONE);
            d.otherLife(started().worker().id());
            assertEquals(JobState.RUNNING, last().state(), "one of four is certain");
        }

        /** Users have the other ones, and its caller allows only so many to be away. */
        @Test
        void leavesTheOthersOfAStepThatServesAtWork() {
            workers("w1", "w2", "w3");
            d.job("a", crashed(2, 0, false), TWO_LASTING);
            settle();
            List.copyOf(d.port.starts).forEach(s -> d.scheduler.onStarted(s, OrderOutcome.ACCEPTED));
            String guilty = d.port.starts.stream()
                    .filter(s -> s.task().equals(FIRST))
                    .findFirst()
                    .orElseThrow()
                    .worker()
                    .id();
            d.otherLife(guilty);
            assertEquals(JobState.RUNNING, last().state());
            assertTrue(last().tasks().get(0).done());
            assertTrue(d.port.stops.isEmpty());
            int starts = d.port.starts.size();
            settle();
            d.passes(5_000);
            answer("w3");
            assertEquals(starts, d.port.starts.size(), "it is not started again");
        }

        @Test
        void staysGivenUpUnderTheNextOwner() {
            workers("w1");
            d.job("a", crashed(3, 0, true), TWO_LASTING);
            settle();
            assertEquals(1, d.port.starts.size());
            assertEquals(new TaskId(0, 0, 1), d.lastStart().task());
        }
    }
}
