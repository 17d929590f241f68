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
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.job.EndKind;
import org.lupinpaddle.core.job.JobProgress;
import org.lupinpaddle.core.job.JobState;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.job.TaskId;
import org.lupinpaddle.core.job.TaskRecord;

/** Emptying workers takes no more away than callers allow, and is said to be done only when it is. */
class EvacuatorTest {

    private static final StepSpec ONE =
            StepSpec.builder(1, SchedulerDriver.NEED).build();
    private static final StepSpec THREE_LASTING = StepSpec.builder(3, SchedulerDriver.NEED)
            .longRunning(true, 1)
            .perWorkerMost(1)
            .build();

    private final SchedulerDriver d = new SchedulerDriver();

    @Nested
    class Emptying {

        private RunningReport atWork(int index, int run, int percent) {
            return new RunningReport("a", new TaskId(0, 0, index), run, "", percent, -1);
        }

        private void threeAtWork() {
            d.workers("w1", "w2", "w3", "w4", "w5");
            for (String w : List.of("w1", "w2", "w3", "w4", "w5")) {
                d.answers(w, List.of(), List.of());
            }
            d.job("a", THREE_LASTING);
            d.saved();
            List.copyOf(d.port.starts).forEach(s -> d.scheduler.onStarted(s, OrderOutcome.ACCEPTED));
            d.passes(10);
            for (StartOrder s : List.copyOf(d.port.starts)) {
                d.answers(s.worker().id(), List.of(atWork(s.task().index(), 1, 100)), List.of());
            }
        }

        private void aTaskOfASecondRuns() {
            d.workers("w1");
            d.answers("w1", List.of(), List.of());
            d.job(
                    "a",
                    StepSpec.builder(1, SchedulerDriver.NEED)
                            .estimateMillis(1_000)
                            .build());
            d.saved();
            d.scheduler.onStarted(d.lastStart(), OrderOutcome.ACCEPTED);
        }

        @Test
        void movesNoMoreOfAStepThanItsCallerAllows() {
            threeAtWork();
            Set<String> two = Set.of(
                    d.port.starts.get(0).worker().id(),
                    d.port.starts.get(1).worker().id());
            d.scheduler.onEvacuations(two, Set.of());
            d.scheduler.tick();
            assertEquals(1, d.port.stops.size());
        }

        @Test
        void movesNothingWhileAnotherTasksWorkerIsSilent() {
            threeAtWork();
            d.passes(1_400);
            StartOrder leaving = d.port.starts.get(0);
            StartOrder heard = d.port.starts.get(1);
            d.answers(leaving.worker().id(), List.of(atWork(leaving.task().index(), 1, 100)), List.of());
            d.answers(heard.worker().id(), List.of(atWork(heard.task().index(), 1, 100)), List.of());
            d.passes(200);
            d.scheduler.onEvacuations(Set.of(leaving.worker().id()), Set.of());
            d.scheduler.tick();
            assertTrue(d.port.stops.isEmpty(), "the third task may be gone with its worker");
        }

        /** A stop may take most of a second; until it ends, what it stops still looks as if it were at work to a new owner. */
        @Test
        void movesNothingWhileAnEarlierOwnersStopMayBeAtWork() {
            d.workers("w1", "w2", "w3");
            List<TaskRecord> placed = List.of(
                    new TaskRecord(0, 0, 0, 1, 0, false, "w1", ""), new TaskRecord(0, 0, 1, 1, 0, false, "w2", ""));
            StepSpec two = StepSpec.builder(2, SchedulerDriver.NEED)
                    .longRunning(true, 1)
                    .build();
            d.job("a", new JobProgress(JobState.RUNNING, placed, "", 0), two);
            d.answers("w1", List.of(atWork(0, 1, 100)), List.of());
            d.answers("w2", List.of(atWork(1, 1, 100)), List.of());
            d.answers("w3", List.of(), List.of());
            d.scheduler.onEvacuations(Set.of("w1"), Set.of());
            d.passes(SchedulerDriver.STOP_MILLIS);
            assertTrue(d.port.stops.isEmpty(), "the other task may be about to end by the earlier owner's order");
            d.passes(1);
            assertEquals(1, d.port.stops.size());
        }

        /**
         * A task ended done 0.3 s after its owner had heard of its first checkpoint, and 4.9 s later the same owner started
         * it again from there. Its worker had been called empty while late tasks were at work on it: its instance was
         * ordered away, and the end was told in an answer that never arrived.
         */
        @Test
        void thatIsUrgentStopsWhatIsLateAndWaitsForItsEnd() {
            aTaskOfASecondRuns();
            d.scheduler.onEvacuations(Set.of("w1"), Set.of("w1"));
            d.passes(1_600);
            assertTrue(d.port.emptied.isEmpty(), "what ends there now could not be told any more");
            assertEquals(1, d.port.stops.size(), "it is late, and other work waits for the instance");
            d.scheduler.onStopped(d.port.stops.get(0), OrderOutcome.ACCEPTED);
            d.answers("w1", List.of(), List.of(done()));
            d.saved();
            assertTrue(d.port.emptied.contains("w1"));
            assertEquals(1, d.port.starts.size(), "it ended done before the stop");
        }

        @Test
        void thatIsNotUrgentLetsTasksEndWhereTheyAre() {
            aTaskOfASecondRuns();
            d.scheduler.onEvacuations(Set.of("w1"), Set.of());
            d.passes(1_600);
            assertTrue(d.port.emptied.isEmpty());
        }

        private EndReport done() {
            return new EndReport(1, "a", new TaskId(0, 0, 0), 1, EndKind.DONE, "");
        }

        /** Until a record says so, only the worker can tell the next owner that the task is done. */
        @Test
        void isNotToldBeforeEndsThatTheWorkerToldAreDurable() {
            aTaskOfASecondRuns();
            d.scheduler.onEvacuations(Set.of("w1"), Set.of());
            d.passes(100);
            d.answers("w1", List.of(), List.of(done()));
            d.passes(100);
            assertTrue(d.port.emptied.isEmpty(), "the next owner would find a run on a worker that is gone");
            d.saved();
            assertTrue(d.port.emptied.contains("w1"));
        }

        @Test
        void thatIsUrgentWaitsForSuchEndsToo() {
            aTaskOfASecondRuns();
            d.scheduler.onEvacuations(Set.of("w1"), Set.of("w1"));
            d.passes(100);
            d.answers("w1", List.of(), List.of(done()));
            d.passes(100);
            assertTrue(d.port.emptied.isEmpty());
            d.saved();
            assertTrue(d.port.emptied.contains("w1"));
        }

        @Test
        void isToldWhenNothingIsLeft() {
            d.workers("w1");
            d.answers("w1", List.of(), List.of());
            d.scheduler.onEvacuations(Set.of("w1"), Set.of());
            d.scheduler.tick();
            assertTrue(d.port.emptied.contains("w1"));
        }

        @Test
        void thatIsOverAsksForAnAnswerBeforeNewTasks() {
            d.workers("w1");
            d.answers("w1", List.of(), List.of());
            d.scheduler.onEvacuations(Set.of("w1"), Set.of());
            d.scheduler.onEvacuations(Set.of(), Set.of());
            d.job("a", ONE);
            d.saved();
            assertTrue(d.port.starts.isEmpty(), "its instance may have been ordered away meanwhile");
        }
    }

    /** Some workers never say that they drain: their entry goes, and they serve on for some seconds before they end. */
    @Nested
    class AWorkerWhoseEntryHasGone {

        private static final long RETURN_MILLIS = 2_000;

        private String leaving = "";

        private void oneOfThreeIsUnlisted() {
            d.workers("w1", "w2", "w3", "w4", "w5");
            answerAll();
            d.job("a", THREE_LASTING);
            d.saved();
            List.copyOf(d.port.starts).forEach(s -> d.scheduler.onStarted(s, OrderOutcome.ACCEPTED));
            d.passes(10);
            answerAll();
            leaving = d.port.starts.get(0).worker().id();
            listAllBut(leaving);
        }

        private void answerAll() {
            for (String w : List.of("w1", "w2", "w3", "w4", "w5")) {
                List<RunningReport> running = d.port.starts.stream()
                        .filter(s -> s.worker().id().equals(w))
                        .map(s -> new RunningReport("a", s.task(), s.run(), "", 100, -1))
                        .toList();
                d.answers(w, running, List.of());
            }
        }

        private void listAllBut(String worker) {
            d.workers(Stream.of("w1", "w2", "w3", "w4", "w5")
                    .filter(w -> !w.equals(worker))
                    .toArray(String[]::new));
        }

        @Test
        void isEmptiedOfWhatLastsBeforeItEnds() {
            oneOfThreeIsUnlisted();
            d.passes(RETURN_MILLIS);
            answerAll();
            assertTrue(d.port.stops.isEmpty(), "its entry may have lapsed, and be back");
            d.passes(1);
            assertEquals(
                    List.of(leaving),
                    d.port.stops.stream().map(s -> s.worker().id()).toList());
        }

        @Test
        void thatComesBackIsLeftAlone() {
            oneOfThreeIsUnlisted();
            d.passes(RETURN_MILLIS);
            listAllBut("");
            answerAll();
            d.passes(1_000);
            assertTrue(d.port.stops.isEmpty());
        }

        @Test
        void isLeftAloneWhileTheListMayBeOld() {
            oneOfThreeIsUnlisted();
            answerAll();
            d.now += RETURN_MILLIS + 1;
            answerWithoutNews();
            assertTrue(d.port.stops.isEmpty(), "nobody has looked for its entry since");
        }

        private void answerWithoutNews() {
            HoldOrder last = d.port.holds.stream()
                    .filter(h -> h.worker().id().equals(leaving))
                    .reduce((a, b) -> b)
                    .orElseThrow();
            RunningReport run = new RunningReport(
                    "a", d.port.starts.get(0).task(), d.port.starts.get(0).run(), "", 100, -1);
            d.scheduler.onHeld(last, d.now, new HoldAnswer(100_000 + d.now, List.of(run), List.of()));
            d.scheduler.tick();
        }
    }
}
