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

/** Evacuation respects the callers' limits on unavailable tasks and is reported only when it is complete. */
class EvacuatorTest {

    private static final StepSpec ONE =
            StepSpec.builder(1, SchedulerDriver.NEED).build();
    private static final StepSpec THREE_LONG_RUNNING = StepSpec.builder(3, SchedulerDriver.NEED)
            .longRunning(true, 1)
            .perWorkerMost(1)
            .build();

    private final SchedulerDriver d = new SchedulerDriver();

    @Nested
    class AnEvacuation {

        private RunStatus servingStatus(int index, int run, int percent) {
            return new RunStatus("a", new TaskId(0, 0, index), run, "", percent, -1);
        }

        private void startThreeServingTasks() {
            d.listWorkers("w1", "w2", "w3", "w4", "w5");
            for (String w : List.of("w1", "w2", "w3", "w4", "w5")) {
                d.answerHold(w, List.of(), List.of());
            }
            d.submit("a", THREE_LONG_RUNNING);
            d.completeSaves();
            List.copyOf(d.port.starts).forEach(s -> d.scheduler.onStarted(s, OrderOutcome.ACCEPTED));
            d.advance(10);
            for (StartOrder s : List.copyOf(d.port.starts)) {
                d.answerHold(s.worker().id(), List.of(servingStatus(s.task().index(), 1, 100)), List.of());
            }
        }

        private void startATaskOfOneSecond() {
            d.listWorkers("w1");
            d.answerHold("w1", List.of(), List.of());
            d.submit(
                    "a",
                    StepSpec.builder(1, SchedulerDriver.NEED)
                            .estimateMillis(1_000)
                            .build());
            d.completeSaves();
            d.scheduler.onStarted(d.lastStart(), OrderOutcome.ACCEPTED);
        }

        @Test
        void respectsTheLimitOnUnavailableTasks() {
            startThreeServingTasks();
            Set<String> two = Set.of(
                    d.port.starts.get(0).worker().id(),
                    d.port.starts.get(1).worker().id());
            d.scheduler.onEvacuations(two, Set.of());
            d.scheduler.tick();
            assertEquals(1, d.port.stops.size());
        }

        @Test
        void movesNoTaskWhileTheWorkerOfAnotherTaskIsSilent() {
            startThreeServingTasks();
            d.advance(1_400);
            StartOrder leaving = d.port.starts.get(0);
            StartOrder heard = d.port.starts.get(1);
            d.answerHold(
                    leaving.worker().id(), List.of(servingStatus(leaving.task().index(), 1, 100)), List.of());
            d.answerHold(heard.worker().id(), List.of(servingStatus(heard.task().index(), 1, 100)), List.of());
            d.advance(200);
            d.scheduler.onEvacuations(Set.of(leaving.worker().id()), Set.of());
            d.scheduler.tick();
            assertTrue(d.port.stops.isEmpty(), "the third task may be lost with its worker");
        }

        /** A stop may take most of a second; until it ends, the stopped task still looks ready to a new owner. */
        @Test
        void movesNoTaskWhileAStopOfAnEarlierOwnerMayBeInProgress() {
            d.listWorkers("w1", "w2", "w3");
            List<TaskRecord> placed = List.of(
                    new TaskRecord(0, 0, 0, 1, 0, false, "w1", ""), new TaskRecord(0, 0, 1, 1, 0, false, "w2", ""));
            StepSpec two = StepSpec.builder(2, SchedulerDriver.NEED)
                    .longRunning(true, 1)
                    .build();
            d.submit("a", new JobProgress(JobState.RUNNING, placed, "", 0), two);
            d.answerHold("w1", List.of(servingStatus(0, 1, 100)), List.of());
            d.answerHold("w2", List.of(servingStatus(1, 1, 100)), List.of());
            d.answerHold("w3", List.of(), List.of());
            d.scheduler.onEvacuations(Set.of("w1"), Set.of());
            d.advance(SchedulerDriver.STOP_MILLIS);
            assertTrue(d.port.stops.isEmpty(), "the earlier owner's stop may be about to end the other task");
            d.advance(1);
            assertEquals(1, d.port.stops.size());
        }

        /**
         * Guards against taking an instance away while late tasks run on its worker. The worker was reported as
         * empty, and the answer with a completed run was lost with the instance: 0.3 s after its first checkpoint the
         * task completed, and 4.9 s later the owner restarted it from that checkpoint.
         */
        @Test
        void thatIsUrgentStopsLateTasksAndWaitsForTheirEnd() {
            startATaskOfOneSecond();
            d.scheduler.onEvacuations(Set.of("w1"), Set.of("w1"));
            d.advance(1_600);
            assertTrue(d.port.emptied.isEmpty(), "a run that ends now could not be reported any more");
            assertEquals(1, d.port.stops.size(), "the task is late, and other work waits for the instance");
            d.scheduler.onStopped(d.port.stops.get(0), OrderOutcome.ACCEPTED);
            d.answerHold("w1", List.of(), List.of(done()));
            d.completeSaves();
            assertTrue(d.port.emptied.contains("w1"));
            assertEquals(1, d.port.starts.size(), "the task was done before the stop");
        }

        @Test
        void thatIsNotUrgentLetsTasksFinishInPlace() {
            startATaskOfOneSecond();
            d.scheduler.onEvacuations(Set.of("w1"), Set.of());
            d.advance(1_600);
            assertTrue(d.port.emptied.isEmpty());
        }

        private RunResult done() {
            return new RunResult(1, "a", new TaskId(0, 0, 0), 1, EndKind.DONE, "");
        }

        /** Until the record is saved, only the worker can tell the next owner that the task is done. */
        @Test
        void isNotReportedBeforeTheResultsAreDurable() {
            startATaskOfOneSecond();
            d.scheduler.onEvacuations(Set.of("w1"), Set.of());
            d.advance(100);
            d.answerHold("w1", List.of(), List.of(done()));
            d.advance(100);
            assertTrue(d.port.emptied.isEmpty(), "the next owner would see a run on a worker that is gone");
            d.completeSaves();
            assertTrue(d.port.emptied.contains("w1"));
        }

        @Test
        void thatIsUrgentWaitsForDurableResultsToo() {
            startATaskOfOneSecond();
            d.scheduler.onEvacuations(Set.of("w1"), Set.of("w1"));
            d.advance(100);
            d.answerHold("w1", List.of(), List.of(done()));
            d.advance(100);
            assertTrue(d.port.emptied.isEmpty());
            d.completeSaves();
            assertTrue(d.port.emptied.contains("w1"));
        }

        @Test
        void isReportedWhenNoTaskIsLeft() {
            d.listWorkers("w1");
            d.answerHold("w1", List.of(), List.of());
            d.scheduler.onEvacuations(Set.of("w1"), Set.of());
            d.scheduler.tick();
            assertTrue(d.port.emptied.contains("w1"));
        }

        @Test
        void thatEndsRequiresAnAnswerBeforeNewTasks() {
            d.listWorkers("w1");
            d.answerHold("w1", List.of(), List.of());
            d.scheduler.onEvacuations(Set.of("w1"), Set.of());
            d.scheduler.onEvacuations(Set.of(), Set.of());
            d.submit("a", ONE);
            d.completeSaves();
            assertTrue(d.port.starts.isEmpty(), "its instance may have been taken away meanwhile");
        }
    }

    /**
     * Some workers never announce that they drain: their entry disappears, and they continue for some seconds before
     * they end.
     */
    @Nested
    class AWorkerWithoutAnEntry {

        private static final long RETURN_MILLIS = 2_000;

        private String leaving = "";

        private void unlistOneOfThree() {
            d.listWorkers("w1", "w2", "w3", "w4", "w5");
            answerAll();
            d.submit("a", THREE_LONG_RUNNING);
            d.completeSaves();
            List.copyOf(d.port.starts).forEach(s -> d.scheduler.onStarted(s, OrderOutcome.ACCEPTED));
            d.advance(10);
            answerAll();
            leaving = d.port.starts.get(0).worker().id();
            listAllBut(leaving);
        }

        private void answerAll() {
            for (String w : List.of("w1", "w2", "w3", "w4", "w5")) {
                List<RunStatus> running = d.port.starts.stream()
                        .filter(s -> s.worker().id().equals(w))
                        .map(s -> new RunStatus("a", s.task(), s.run(), "", 100, -1))
                        .toList();
                d.answerHold(w, running, List.of());
            }
        }

        private void listAllBut(String worker) {
            d.listWorkers(Stream.of("w1", "w2", "w3", "w4", "w5")
                    .filter(w -> !w.equals(worker))
                    .toArray(String[]::new));
        }

        @Test
        void losesItsLongRunningTasksBeforeItEnds() {
            unlistOneOfThree();
            d.advance(RETURN_MILLIS);
            answerAll();
            assertTrue(d.port.stops.isEmpty(), "its entry may have lapsed and be back soon");
            d.advance(1);
            assertEquals(
                    List.of(leaving),
                    d.port.stops.stream().map(s -> s.worker().id()).toList());
        }

        @Test
        void thatReturnsKeepsItsTasks() {
            unlistOneOfThree();
            d.advance(RETURN_MILLIS);
            listAllBut("");
            answerAll();
            d.advance(1_000);
            assertTrue(d.port.stops.isEmpty());
        }

        @Test
        void keepsItsTasksWhileTheListMayBeStale() {
            unlistOneOfThree();
            answerAll();
            d.now += RETURN_MILLIS + 1;
            answerWithStaleList();
            assertTrue(d.port.stops.isEmpty(), "the list has not been confirmed since");
        }

        private void answerWithStaleList() {
            HoldOrder last = d.port.holds.stream()
                    .filter(h -> h.worker().id().equals(leaving))
                    .reduce((a, b) -> b)
                    .orElseThrow();
            RunStatus run = new RunStatus(
                    "a", d.port.starts.get(0).task(), d.port.starts.get(0).run(), "", 100, -1);
            d.scheduler.onHoldAnswered(last, d.now, new HoldResponse(100_000 + d.now, List.of(run), List.of()));
            d.scheduler.tick();
        }
    }
}
