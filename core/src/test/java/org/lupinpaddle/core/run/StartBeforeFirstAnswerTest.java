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
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.lupinpaddle.core.job.EndKind;
import org.lupinpaddle.core.job.JobProgress;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.run.ScriptedFleet.Call;
import org.lupinpaddle.core.run.ScriptedFleet.Fate;

/**
 * Forces orders of events in which a worker restarts under its id, accepts a start before its new incarnation has
 * answered a hold, and is cut off.
 */
class StartBeforeFirstAnswerTest {

    private static final long FIRST_BIRTH = 1_000_000;
    private static final long SECOND_BIRTH = 1_060_000;
    /** Runs on the other worker as soon as there is one. */
    private static final StepSpec ONE =
            StepSpec.builder(1, SchedulerDriver.NEED).place("", "rack-w2").build();
    // The last copy of a start may be executed 15 s after its call has failed, and keeps a run for 10 s.
    private static final long MAX_WAIT_MILLIS = 30_000;

    private final ScriptedFleet f = new ScriptedFleet();
    private final ScriptedWorker w1 = f.add("w1", FIRST_BIRTH, 600_000);

    /** When the platform's list shows the entry of the new incarnation. */
    private enum NewEntry {
        NEVER,
        AFTER_THE_CUT
    }

    /** What becomes of the copies of the start. */
    private enum Copies {
        ANSWERED,
        ANSWER_LOST,
        FIRST_LOST;

        void prepare(ScriptedFleet f) {
            switch (this) {
                case ANSWERED -> {}
                case ANSWER_LOST -> f.starts.add(Fate.ANSWER_LOST);
                case FIRST_LOST -> f.starts.add(Fate.LOST);
            }
        }
    }

    /** Returns all orders of events in which the copies of the start fare like this. */
    private static Stream<Arguments> orders(Copies... all) {
        return Stream.of(0L, 300L, 900L)
                .flatMap(start -> Stream.of(5L, 20L, 100L, 1_000L)
                        .flatMap(cut -> Stream.of(all)
                                .flatMap(copies -> Stream.of(NewEntry.values())
                                        .map(entry -> Arguments.of(start, cut, copies, entry)))));
    }

    /** Restarts the worker, lets its new incarnation receive a start, and cuts it off. */
    private void startAndCutOff(long startDelay, long cutDelay, Copies copies, NewEntry entry) {
        listAndAnswer();
        w1.restart(SECOND_BIRTH);
        f.run(startDelay);
        copies.prepare(f);
        f.driver().submit("a", ONE);
        f.run(cutDelay);
        cutOff();
        if (entry == NewEntry.AFTER_THE_CUT) {
            f.list();
        } else {
            listOtherWorker();
        }
    }

    private void listAndAnswer() {
        f.list();
        f.run(50);
    }

    private void cutOff() {
        w1.cut = true;
        f.add("w2", FIRST_BIRTH, 60_000);
    }

    private void listOtherWorker() {
        f.driver()
                .scheduler
                .onWorkers(List.of(
                        SchedulerDriver.workerBornAt("w1", FIRST_BIRTH),
                        SchedulerDriver.workerBornAt("w2", FIRST_BIRTH)));
    }

    /** Waits until the task is at work on the other worker, and for a while longer. */
    private void assertMovesOnceTheRunHasEnded() {
        assertMovesOnceTheRunHasEnded(MAX_WAIT_MILLIS);
    }

    private void assertMovesOnceTheRunHasEnded(long maxWaitMillis) {
        ScriptedWorker w2 = f.workers.get(1);
        long until = f.now + maxWaitMillis;
        while (f.now < until && !w2.runs("a")) {
            f.run(5);
        }
        assertTrue(w2.runs("a"), "the task must go on elsewhere");
        f.run(12_000);
        assertEquals(List.of(), f.judge.broken);
    }

    /** Guards against giving up a run that a silent incarnation keeps for longer than a deadline by the former clock says. */
    @Nested
    class Accepted {

        private static Stream<Arguments> acceptedStarts() {
            return orders(Copies.ANSWERED, Copies.FIRST_LOST);
        }

        @ParameterizedTest
        @MethodSource("acceptedStarts")
        void byAnUnheardIncarnation(long startDelay, long cutDelay, Copies copies, NewEntry entry) {
            startAndCutOff(startDelay, cutDelay, copies, entry);
            assertMovesOnceTheRunHasEnded();
        }
    }

    /** Guards against giving up a task while a copy of its start may be executed, or still reach a later incarnation. */
    @Nested
    class Unanswered {

        private static Stream<Arguments> unansweredStarts() {
            return orders(Copies.ANSWER_LOST);
        }

        @ParameterizedTest
        @MethodSource("unansweredStarts")
        void byAnUnheardIncarnation(long startDelay, long cutDelay, Copies copies, NewEntry entry) {
            startAndCutOff(startDelay, cutDelay, copies, entry);
            assertMovesOnceTheRunHasEnded();
        }

        @ParameterizedTest
        @ValueSource(longs = {1_000, 5_000, 8_000, 12_000, 14_000})
        void executedLateAsTheFirstOrder(long lateMillis) {
            f.starts.add(Fate.LATE);
            listAndAnswer();
            f.driver().submit("a", ONE);
            f.runUntil(() -> !f.lateStarts.isEmpty());
            cutOff();
            listOtherWorker();
            f.run(600);
            w1.restart(SECOND_BIRTH);
            f.run(lateMillis - 600);
            f.carryOut(f.lateStarts.get(0));
            assertMovesOnceTheRunHasEnded();
        }

        /** The first copy is executed late although a later one was accepted and its run is known to be at work. */
        @Test
        void executedLateAfterASecondCopyWasAccepted() {
            f.starts.add(Fate.LATE);
            listAndAnswer();
            f.driver().submit("a", ONE);
            f.runUntil(() -> w1.runs("a"));
            f.run(1_500);
            cutOff();
            listOtherWorker();
            f.run(500);
            w1.restart(SECOND_BIRTH);
            f.run(5_000);
            for (Call c : List.copyOf(f.lateStarts)) {
                f.carryOut(c);
            }
            assertMovesOnceTheRunHasEnded();
        }
    }

    /** Guards against a hold for the former incarnation that extends the deadline of a later one's runs. */
    @Nested
    class HoldExecutedLate {

        @ParameterizedTest
        @ValueSource(longs = {2_000, 5_000, 9_000})
        void afterTheHoldThatReplacesIt(long lateMillis) {
            listAndAnswer();
            f.driver().submit("x", ONE);
            f.runUntil(() -> w1.runs("x"));
            f.run(50);
            f.holds.add(Fate.LATE);
            f.runUntil(() -> !f.lateHolds.isEmpty());
            w1.restart(SECOND_BIRTH);
            f.driver().submit("a", ONE);
            f.runUntil(() -> w1.runs("a"));
            f.runUntil(() -> w1.firstAnswerAt >= 0);
            cutOff();
            listOtherWorker();
            f.run(lateMillis);
            f.carryOut(f.lateHolds.get(0));
            assertMovesOnceTheRunHasEnded();
        }
    }

    /** Guards against polling a worker for ever that has left the list while one of its tasks was kept. */
    @Nested
    class Unlisted {

        @Test
        void isForgottenOnceItsLastTaskHasLeft() {
            listAndAnswer();
            f.driver().submit("x", ONE);
            f.runUntil(() -> w1.runs("x"));
            f.run(50);
            f.starts.add(Fate.LATE);
            f.driver().submit("a", ONE);
            f.runUntil(() -> !f.lateStarts.isEmpty());
            cutOff();
            f.driver().scheduler.onWorkers(List.of(SchedulerDriver.workerBornAt("w2", FIRST_BIRTH)));
            assertMovesOnceTheRunHasEnded();
            f.run(10_000);
            long polls = pollsOf("w1");
            f.run(5_000);
            assertEquals(polls, pollsOf("w1"));
        }

        private long pollsOf(String worker) {
            return f.driver().port.holds.stream()
                    .filter(h -> h.worker().id().equals(worker))
                    .count();
        }
    }

    /** Guards against taking a list made while the instance was down for proof that a start since then is not executed. */
    @Nested
    class ListOfInstances {

        @Test
        void thatIsOlderThanAStartEndsNoRun() {
            f.starts.addAll(List.of(Fate.LOST, Fate.ANSWER_LOST));
            listAndAnswer();
            w1.restart(SECOND_BIRTH);
            f.driver().submit("a", ONE);
            f.runUntil(() -> w1.runs("a"));
            cutOff();
            listOtherWorker();
            f.runUntil(() -> f.driver().scheduler.hasSilentWorkersWithTasks());
            f.listInstances("w2");
            assertMovesOnceTheRunHasEnded();
        }
    }

    /** Guards against a new owner that does not count deadlines which its predecessor sent by another clock. */
    @Nested
    class UnderANewOwner {

        // An inherited run stays on a silent worker for this time at most; the next ticks place its task.
        private static final long MAX_INHERITED_WAIT_MILLIS = SchedulerDriver.INHERITED_MILLIS + 1_000;

        private static final StepSpec SHORT =
                StepSpec.builder(1, SchedulerDriver.NEED).build();

        private static Stream<Arguments> successions() {
            return Stream.of(0L, 300L, 900L)
                    .flatMap(start -> Stream.of(5L, 100L, 400L)
                            .flatMap(heard -> Stream.of(5L, 50L, 600L).map(cut -> Arguments.of(start, heard, cut))));
        }

        private void takeOver() {
            JobProgress saved = f.stored.get("a");
            f.addOwner();
            f.owners.remove(0);
            f.list();
            f.driver().submit("a", Objects.requireNonNull(saved), ONE, SHORT);
        }

        /** Lets the new incarnation accept a start whose deadline refers to the clock of the one before. */
        private void startOnUnheardIncarnation(long startDelay) {
            listAndAnswer();
            w1.restart(SECOND_BIRTH);
            f.run(startDelay);
            f.driver().submit("a", ONE, SHORT);
            f.runUntil(() -> w1.tasks().size() == 2);
        }

        /** Lets the former owner save the record of the run after it has heard the incarnation. */
        private void completeOtherTask() {
            w1.tasks().stream().filter(t -> t.id().step() == 1).forEach(t -> w1.end(t, EndKind.DONE));
            f.runUntil(() -> !w1.hasEnds());
        }

        private void awaitFirstAnswerThenCutOff(long cutDelay) {
            int holds = f.driver().port.holds.size();
            w1.firstAnswerAt = -1;
            f.runUntil(() -> f.driver().port.holds.size() > holds && w1.firstAnswerAt >= 0);
            f.run(cutDelay);
            cutOff();
            listOtherWorker();
        }

        /** The former owner heard the incarnation, so the record of the run states its birth. */
        @ParameterizedTest
        @MethodSource("successions")
        void incarnationHeardByTheFormerOwner(long startDelay, long heardMillis, long cutDelay) {
            startOnUnheardIncarnation(startDelay);
            f.runUntil(() -> w1.firstAnswerAt >= 0);
            f.run(heardMillis);
            completeOtherTask();
            takeOver();
            awaitFirstAnswerThenCutOff(cutDelay);
            assertMovesOnceTheRunHasEnded(MAX_INHERITED_WAIT_MILLIS);
        }

        /** The former owner never heard the incarnation, so the record of the run states an earlier birth. */
        @ParameterizedTest
        @MethodSource("successions")
        void incarnationNotHeardByTheFormerOwner(long startDelay, long ignored, long cutDelay) {
            startOnUnheardIncarnation(startDelay);
            takeOver();
            awaitFirstAnswerThenCutOff(cutDelay);
            assertMovesOnceTheRunHasEnded(MAX_INHERITED_WAIT_MILLIS);
        }

        /** No answer of the incarnation reaches the new owner. */
        @ParameterizedTest
        @MethodSource("successions")
        void incarnationNotHeardByTheNewOwner(long startDelay, long ignored, long cutDelay) {
            startOnUnheardIncarnation(startDelay);
            f.run(cutDelay);
            cutOff();
            takeOver();
            listOtherWorker();
            assertMovesOnceTheRunHasEnded(MAX_INHERITED_WAIT_MILLIS);
        }
    }
}
