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
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.util.List;
import java.util.Objects;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lupinpaddle.core.job.EndKind;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.placement.WorkerIncarnation;
import org.lupinpaddle.core.run.ScriptedFleet.Call;
import org.lupinpaddle.core.run.ScriptedFleet.Fate;
import org.lupinpaddle.core.run.ScriptedFleet.Owner;

/** Forces orders of events in which a worker carries out an order late, most often in its next incarnation under the same id. */
class LateStartAfterRestartTest {

    private static final long FIRST_BIRTH = 1_000_000;
    private static final long SECOND_BIRTH = 1_060_000;
    private static final long THIRD_BIRTH = 1_120_000;
    private static final long UNREADABLE = WorkerIncarnation.UNREADABLE_START;
    /** Runs on the other worker as soon as there is one. */
    private static final StepSpec ONE =
            StepSpec.builder(1, SchedulerDriver.NEED).place("", "rack-w2").build();

    /** Runs on the first worker while that is usable. */
    private static final StepSpec ON_FIRST_WORKER =
            StepSpec.builder(1, SchedulerDriver.NEED).place("", "rack-w1").build();

    private final ScriptedFleet f = new ScriptedFleet();
    private ScriptedWorker w1 = f.add("w1", FIRST_BIRTH, 60_000);

    /** Replaces the worker by one that states this birth and whose first incarnation has this clock. */
    private void firstIncarnation(long born, long clockMillis) {
        f.workers.clear();
        w1 = f.add("w1", born, clockMillis);
    }

    private void submit(String job) {
        f.list();
        f.run(50);
        f.driver().submit(job, ONE);
    }

    private void addOtherWorker() {
        f.add("w2", FIRST_BIRTH, 60_000);
        f.list();
        f.run(50);
    }

    private void startLate() {
        f.starts.add(Fate.LATE);
        submit("a");
        f.runUntil(() -> !f.lateStarts.isEmpty());
    }

    /** Starts a run twice: the first copy is late, the second is accepted. */
    private void startTwice() {
        startLate();
        f.runUntil(() -> w1.runs("a"));
        f.run(50);
        addOtherWorker();
    }

    /** Completes the run, and waits until its end has been acknowledged. */
    private void completeAndNote() {
        w1.end("a", EndKind.DONE);
        f.run(1_500);
        assertTrue(!w1.hasEnds(), "the end has to be acknowledged");
    }

    /** Leaves all starts of a run unanswered, and lets the first incarnation answer its stop. */
    private void stopUnanswered() {
        f.starts.addAll(List.of(Fate.LATE, Fate.LATE, Fate.LATE));
        startLate();
        addOtherWorker();
        f.runUntil(() -> !f.driver().port.stops.isEmpty());
    }

    private void restart(long born) {
        w1.restart(born);
        f.list();
    }

    private void restart() {
        restart(SECOND_BIRTH);
    }

    private void awaitFirstAnswer() {
        f.runUntil(() -> w1.firstAnswerAt >= 0);
    }

    private void awaitRunOnOtherWorker() {
        f.runUntil(() -> f.workers.get(1).runs("a"));
    }

    /** Lets the worker crash and be silent until its run is at work elsewhere. */
    private void giveUpByInstances() {
        startLate();
        addOtherWorker();
        w1.cut = true;
        f.run(3_500);
        f.listInstances("w2");
        awaitRunOnOtherWorker();
    }

    private void giveUpByDeadlines() {
        startLate();
        addOtherWorker();
        w1.cut = true;
        awaitRunOnOtherWorker();
    }

    private void listAgain() {
        w1.cut = false;
        restart();
    }

    /** Hands the service to a new owner with a higher fencing token. */
    private void takeOver() {
        Owner previous = f.owners.remove(0);
        f.owners.add(new Owner(previous.token + 1));
        f.list();
        f.driver().submit("a", Objects.requireNonNull(previous.saved), ONE);
        f.run(100);
    }

    private void assertHeld() {
        f.run(1_000);
        assertEquals(List.of(), f.judge.broken);
    }

    /** Runs a test with the late start at both moments after the first answer of the last incarnation. */
    @Retention(RetentionPolicy.RUNTIME)
    @ParameterizedTest
    @ValueSource(longs = {200, 1_000})
    private @interface AtBothDelays {}

    private void startLateAfter(long delayMillis) {
        awaitFirstAnswer();
        f.run(delayMillis);
        for (Call c : List.copyOf(f.lateStarts)) {
            f.carryOut(c);
        }
        assertHeld();
    }

    private void loseOneStop() {
        f.stops.add(Fate.LOST);
    }

    private void delayStops() {
        f.otherStops = Fate.LATE;
    }

    @Nested
    class RunLost {

        /** Guards against a late copy of a lost run, which the new incarnation was told to refuse. */
        @AtBothDelays
        void runLostStopsWork(long delayMillis) {
            startTwice();
            restart();
            startLateAfter(delayMillis);
        }

        /** Guards against a late copy of a lost run while the stop that refuses it is lost once. */
        @AtBothDelays
        void runLostStopLost(long delayMillis) {
            startTwice();
            loseOneStop();
            restart();
            startLateAfter(delayMillis);
        }

        /** Guards against a late copy of a lost run while the stops that refuse it are late. */
        @AtBothDelays
        void runLostStopsLate(long delayMillis) {
            startTwice();
            delayStops();
            restart();
            startLateAfter(delayMillis);
        }

        /** Guards against a late copy of a lost run whose task is at work again on the new incarnation itself. */
        @AtBothDelays
        void runLostPlacedOnNewIncarnation(long delayMillis) {
            startLate();
            f.runUntil(() -> w1.runs("a"));
            f.run(50);
            delayStops();
            restart();
            awaitFirstAnswer();
            f.runUntil(() -> w1.runs("a"));
            startLateAfter(delayMillis);
        }
    }

    @Nested
    class RunDone {

        /** Guards against a late copy of a run that was done and noted. */
        @AtBothDelays
        void runDoneStopsWork(long delayMillis) {
            startTwice();
            completeAndNote();
            restart();
            startLateAfter(delayMillis);
        }

        /** Guards against a late copy of a run that was done while the stop that refuses it is lost once. */
        @AtBothDelays
        void runDoneStopLost(long delayMillis) {
            startTwice();
            completeAndNote();
            loseOneStop();
            restart();
            startLateAfter(delayMillis);
        }

        /** Guards against a late copy of a run that was done while the stops that refuse it are late. */
        @AtBothDelays
        void runDoneStopsLate(long delayMillis) {
            startTwice();
            completeAndNote();
            delayStops();
            restart();
            startLateAfter(delayMillis);
        }
    }

    @Nested
    class StoppedBefore {

        /** Guards against trusting a stop that only the first incarnation has answered. */
        @AtBothDelays
        void stoppedBeforeStopsWork(long delayMillis) {
            stopUnanswered();
            awaitRunOnOtherWorker();
            restart();
            startLateAfter(delayMillis);
        }

        /** Guards against the same failure while the stop to the new incarnation is lost once. */
        @AtBothDelays
        void stoppedBeforeStopLost(long delayMillis) {
            stopUnanswered();
            awaitRunOnOtherWorker();
            loseOneStop();
            restart();
            startLateAfter(delayMillis);
        }

        /** Guards against the same failure while the stops to the new incarnation are late. */
        @AtBothDelays
        void stoppedBeforeStopsLate(long delayMillis) {
            stopUnanswered();
            awaitRunOnOtherWorker();
            delayStops();
            restart();
            startLateAfter(delayMillis);
        }

        /** Guards against taking the first incarnation's late answer to a stop for the new incarnation's. */
        @AtBothDelays
        void answerOfFirstIncarnationLate(long delayMillis) {
            f.stops.addAll(List.of(Fate.ANSWER_LATE, Fate.LOST));
            stopUnanswered();
            f.run(5);
            restart();
            awaitFirstAnswer();
            f.run(20);
            f.answer(f.lateStops.get(0));
            startLateAfter(delayMillis);
        }
    }

    @Nested
    class InFlight {

        /** Guards against a start that is in flight when the restart is discovered. */
        @AtBothDelays
        void inFlightStopsWork(long delayMillis) {
            startLate();
            addOtherWorker();
            restart();
            startLateAfter(delayMillis);
        }

        /** Guards against the same failure while the stop that refuses it is lost once. */
        @AtBothDelays
        void inFlightStopLost(long delayMillis) {
            startLate();
            addOtherWorker();
            loseOneStop();
            restart();
            startLateAfter(delayMillis);
        }

        /** Guards against the same failure while the stops that refuse it are late. */
        @AtBothDelays
        void inFlightStopsLate(long delayMillis) {
            startLate();
            addOtherWorker();
            delayStops();
            restart();
            startLateAfter(delayMillis);
        }

        /** Guards against a second copy in flight, the first being unanswered, while a stop is lost once. */
        @AtBothDelays
        void secondInFlightStopLost(long delayMillis) {
            f.starts.add(Fate.LATE);
            startLate();
            f.runUntil(() -> f.lateStarts.size() == 2);
            addOtherWorker();
            loseOneStop();
            restart();
            startLateAfter(delayMillis);
        }

        /** Guards against a second copy in flight, the first being unanswered, while the stops are late. */
        @AtBothDelays
        void secondInFlightStopsLate(long delayMillis) {
            f.starts.add(Fate.LATE);
            startLate();
            f.runUntil(() -> f.lateStarts.size() == 2);
            addOtherWorker();
            delayStops();
            restart();
            startLateAfter(delayMillis);
        }
    }

    @Nested
    class GivenUp {

        /** Guards against a run that the list of instances ended and whose worker is listed again. */
        @AtBothDelays
        void instancesStopsWork(long delayMillis) {
            giveUpByInstances();
            listAgain();
            startLateAfter(delayMillis);
        }

        /** Guards against the same failure while the stop to the new incarnation is lost once. */
        @AtBothDelays
        void instancesStopLost(long delayMillis) {
            giveUpByInstances();
            loseOneStop();
            listAgain();
            startLateAfter(delayMillis);
        }

        /** Guards against the same failure while the stops to the new incarnation are late. */
        @AtBothDelays
        void instancesStopsLate(long delayMillis) {
            giveUpByInstances();
            delayStops();
            listAgain();
            startLateAfter(delayMillis);
        }

        /** Guards against a run whose deadlines passed and whose worker answers again. */
        @AtBothDelays
        void deadlinesStopsWork(long delayMillis) {
            giveUpByDeadlines();
            listAgain();
            startLateAfter(delayMillis);
        }

        /** Guards against the same failure while the stop to the new incarnation is lost once. */
        @AtBothDelays
        void deadlinesStopLost(long delayMillis) {
            giveUpByDeadlines();
            loseOneStop();
            listAgain();
            startLateAfter(delayMillis);
        }

        /** Guards against the same failure while the stops to the new incarnation are late. */
        @AtBothDelays
        void deadlinesStopsLate(long delayMillis) {
            giveUpByDeadlines();
            delayStops();
            listAgain();
            startLateAfter(delayMillis);
        }
    }

    @Nested
    class TwoRestarts {

        private void restartAfterRefusal() {
            startTwice();
            restart();
            awaitFirstAnswer();
            f.run(300);
        }

        /** Guards against trusting a stop that only the second incarnation has answered. */
        @AtBothDelays
        void twoRestartsStopsWork(long delayMillis) {
            restartAfterRefusal();
            restart(THIRD_BIRTH);
            startLateAfter(delayMillis);
        }

        /** Guards against the same failure while the stop to the third incarnation is lost once. */
        @AtBothDelays
        void twoRestartsStopLost(long delayMillis) {
            restartAfterRefusal();
            loseOneStop();
            restart(THIRD_BIRTH);
            startLateAfter(delayMillis);
        }

        /** Guards against the same failure while the stops to the third incarnation are late. */
        @AtBothDelays
        void twoRestartsStopsLate(long delayMillis) {
            restartAfterRefusal();
            delayStops();
            restart(THIRD_BIRTH);
            startLateAfter(delayMillis);
        }

        /** Guards against taking the second incarnation's late answer to a stop for the third incarnation's. */
        @AtBothDelays
        void answerOfSecondIncarnationLate(long delayMillis) {
            startTwice();
            f.stops.addAll(List.of(Fate.ANSWER_LATE, Fate.LOST));
            restart();
            f.runUntil(() -> !f.lateStops.isEmpty());
            restart(THIRD_BIRTH);
            awaitFirstAnswer();
            f.run(20);
            f.answer(f.lateStops.get(0));
            startLateAfter(delayMillis);
        }
    }

    @Nested
    class UnclearBirth {

        /** Guards against a restart that only the clock shows. */
        @AtBothDelays
        void noBirthRunLost(long delayMillis) {
            firstIncarnation(0, 60_000);
            startTwice();
            restart(0);
            startLateAfter(delayMillis);
        }

        /** Guards against the same failure after the run was done. */
        @AtBothDelays
        void noBirthRunDone(long delayMillis) {
            firstIncarnation(0, 60_000);
            startTwice();
            completeAndNote();
            restart(0);
            startLateAfter(delayMillis);
        }

        /** Guards against a restart that neither a birth nor the clock shows. */
        @AtBothDelays
        void noBirthClockAheadRunDone(long delayMillis) {
            firstIncarnation(0, 0);
            startTwice();
            completeAndNote();
            w1.cut = true;
            restart(0);
            f.run(1_500);
            w1.cut = false;
            startLateAfter(delayMillis);
        }

        /** Guards against the same failure for a run that was lost. */
        @AtBothDelays
        void noBirthClockAheadRunLost(long delayMillis) {
            firstIncarnation(0, 0);
            startTwice();
            w1.cut = true;
            restart(0);
            f.run(1_500);
            w1.cut = false;
            startLateAfter(delayMillis);
        }

        /** Guards against a first incarnation with an unreadable birth, whose clock shows the restart. */
        @AtBothDelays
        void unreadableThenBornRunDone(long delayMillis) {
            firstIncarnation(UNREADABLE, 60_000);
            startTwice();
            completeAndNote();
            restart(SECOND_BIRTH);
            startLateAfter(delayMillis);
        }

        /** Guards against the same failure for a run that was lost. */
        @AtBothDelays
        void unreadableThenBornRunLost(long delayMillis) {
            firstIncarnation(UNREADABLE, 60_000);
            startTwice();
            restart(SECOND_BIRTH);
            startLateAfter(delayMillis);
        }

        /** Guards against a new incarnation with an unreadable birth, whose clock shows the restart. */
        @AtBothDelays
        void bornThenUnreadableRunDone(long delayMillis) {
            startTwice();
            completeAndNote();
            restart(UNREADABLE);
            startLateAfter(delayMillis);
        }

        /** Guards against the same failure for a run that was lost. */
        @AtBothDelays
        void bornThenUnreadableRunLost(long delayMillis) {
            startTwice();
            restart(UNREADABLE);
            startLateAfter(delayMillis);
        }

        /** Guards against ignoring an incarnation whose birth is earlier than the previous one's. */
        @AtBothDelays
        void birthBackRunLost(long delayMillis) {
            startTwice();
            restart(FIRST_BIRTH - 1_000);
            startLateAfter(delayMillis);
        }

        /** Guards against the same failure after the run was done. */
        @AtBothDelays
        void birthBackRunDone(long delayMillis) {
            startTwice();
            completeAndNote();
            restart(FIRST_BIRTH - 1_000);
            startLateAfter(delayMillis);
        }
    }

    @Nested
    class TakeOver {

        /** Guards against a copy that an earlier owner sent, after the take-over and then the restart. */
        @AtBothDelays
        void takeOverThenRestart(long delayMillis) {
            startTwice();
            takeOver();
            restart();
            delayStops();
            startLateAfter(delayMillis);
        }

        /** Guards against the same failure if the restart comes first, unseen by the earlier owner. */
        @AtBothDelays
        void restartThenTakeOver(long delayMillis) {
            startTwice();
            restart();
            delayStops();
            takeOver();
            startLateAfter(delayMillis);
        }

        /** Guards against the same failure after the run was done. */
        @AtBothDelays
        void runDoneRestartThenTakeOver(long delayMillis) {
            startTwice();
            completeAndNote();
            restart();
            delayStops();
            takeOver();
            startLateAfter(delayMillis);
        }
    }

    /** The new incarnation has carried out polls, but no answer of it has arrived. */
    @Nested
    class FirstAnswersLost {

        private void lateStart() {
            f.run(150);
            assertTrue(f.holds.isEmpty(), "a poll has to be carried out");
            f.carryOut(f.lateStarts.get(0));
            assertHeld();
        }

        /** Guards against a late copy of a done run if the new incarnation's first answer is lost. */
        @Test
        void firstAnswerLostRunDone() {
            startTwice();
            completeAndNote();
            f.holds.add(Fate.ANSWER_LOST);
            w1.restart(SECOND_BIRTH);
            f.list();
            lateStart();
        }

        /** Guards against the same failure for a run that the list of instances ended. */
        @Test
        void firstAnswerLostGivenUp() {
            giveUpByInstances();
            f.holds.add(Fate.ANSWER_LOST);
            listAgain();
            lateStart();
        }
    }

    @Nested
    class WithoutARestart {

        /** Guards against a run that begins late and is then stopped while it is at work. */
        @Test
        void startIsRejectedOnceALaterHoldWasAnswered() {
            f.starts.addAll(List.of(Fate.LATE, Fate.LATE, Fate.LATE, Fate.LATE));
            startLate();
            f.run(2_000);
            Call late = f.lateStarts.get(0);
            f.carryOut(late);
            assertEquals(OrderOutcome.FENCED, late.outcome);
            assertHeld();
        }
    }

    @Nested
    class OtherOrders {

        private static final int LATER_MILLIS = 3_000;

        /** Completes a job, and delays a hold that acknowledges its end. */
        private Call lateHold() {
            submit("b");
            f.runUntil(() -> w1.runs("b"));
            w1.end("b", EndKind.DONE);
            f.runUntil(() -> !w1.hasEnds());
            while (f.lateHolds.isEmpty()
                    || ((HoldOrder) f.lateHolds.get(0).order).acknowledgedUpTo() == 0
                    || ((HoldOrder) f.lateHolds.get(0).order).deadlineMillis() == 0) {
                f.lateHolds.clear();
                f.holds.clear();
                f.run(5);
                f.holds.add(Fate.LATE);
                f.run(5);
            }
            f.holds.clear();
            return f.lateHolds.get(0);
        }

        private void startOnSecondIncarnation(String job) {
            restart();
            awaitFirstAnswer();
            f.run(50);
            submit(job);
            f.runUntil(() -> w1.runs(job));
            f.run(50);
        }

        /** Guards against a late acknowledgement that removes an end of the new incarnation which nobody has seen. */
        @Test
        void holdForgetsAnEnd() {
            Call hold = lateHold();
            startOnSecondIncarnation("a");
            w1.end("a", EndKind.DONE);
            f.carryOut(hold);
            f.run(3_000);
            assertHeld();
        }

        /** Guards against the same failure if the answer that listed the end is lost. */
        @Test
        void holdForgetsAnEndWhoseAnswerWasLost() {
            Call hold = lateHold();
            startOnSecondIncarnation("a");
            w1.cut = true;
            f.run(100);
            w1.end("a", EndKind.DONE);
            f.run(200);
            f.carryOut(hold);
            w1.cut = false;
            f.run(3_000);
            assertHeld();
        }

        /** Guards against a late deadline by the first incarnation's clock that keeps a run alive beyond its release. */
        @Test
        void holdExtendsARun() {
            Call hold = lateHold();
            startOnSecondIncarnation("a");
            addOtherWorker();
            w1.cut = true;
            f.run(LATER_MILLIS);
            f.carryOut(hold);
            f.run(20_000);
            assertHeld();
        }

        /** Lets a run of the new incarnation begin after a late hold, and the worker fall silent. */
        private void startAfterLateHold(Call hold) {
            w1.cut = false;
            restart();
            f.carryOut(hold);
            f.run(100);
            f.driver().submit("c", ON_FIRST_WORKER);
            f.runUntil(() -> w1.runs("c"));
            f.run(20);
            w1.cut = true;
            f.run(20_000);
            assertHeld();
        }

        /** Guards against a late deadline that a new incarnation takes before its first poll, after its worker was given up. */
        @Test
        void holdExtendsARunAfterItsWorkerWasGivenUp() {
            Call hold = lateHold();
            addOtherWorker();
            f.driver().submit("a", ON_FIRST_WORKER);
            f.runUntil(() -> w1.runs("a"));
            f.run(20);
            w1.cut = true;
            w1.restart(SECOND_BIRTH - 5);
            f.run(3_500);
            f.listInstances("w2");
            awaitRunOnOtherWorker();
            startAfterLateHold(hold);
        }

        /** Guards against the same failure after its worker was not listed for some time. */
        @Test
        void holdExtendsARunAfterItsWorkerWasUnlisted() {
            Call hold = lateHold();
            addOtherWorker();
            w1.cut = true;
            f.driver().scheduler.onWorkers(List.of(SchedulerDriver.workerBornAt("w2", FIRST_BIRTH)));
            f.run(7_000);
            startAfterLateHold(hold);
        }

        /** Guards against the same failure by a late start that the new incarnation refuses as old. */
        @Test
        void refusedStartExtendsARun() {
            startLate();
            f.runUntil(() -> w1.runs("a"));
            w1.end("a", EndKind.DONE);
            f.run(1_500);
            startOnSecondIncarnation("b");
            addOtherWorker();
            w1.cut = true;
            f.run(LATER_MILLIS);
            f.carryOut(f.lateStarts.get(0));
            assertNotEquals(OrderOutcome.ACCEPTED, f.lateStarts.get(0).outcome);
            f.run(30_000);
            assertHeld();
        }

        /** Guards against a late stop of an earlier run that ends a later run on the new incarnation. */
        @Test
        void stopLeavesALaterRun() {
            f.stops.addAll(List.of(Fate.LATE));
            f.starts.addAll(List.of(Fate.LATE, Fate.LATE, Fate.LATE, Fate.LATE));
            submit("a");
            f.runUntil(() -> !f.lateStops.isEmpty());
            restart();
            f.runUntil(() -> w1.runs("a"));
            f.run(50);
            f.carryOut(f.lateStops.get(0));
            f.run(50);
            assertTrue(w1.runs("a"), "the later run has to continue");
            assertHeld();
        }
    }
}
