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

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.job.EndKind;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.job.TaskId;

/** Tests workers that seem healthy but make no or little progress. */
class StragglerPassTest {

    private static final TaskId FIRST = new TaskId(0, 0, 0);

    private final SchedulerDriver d = new SchedulerDriver();

    private static StepSpec step(int count, long estimateMillis) {
        return StepSpec.builder(count, SchedulerDriver.NEED)
                .estimateMillis(estimateMillis)
                .build();
    }

    /** Answers a worker's hold once a second for some seconds, with the progress of its tasks. */
    private void reportProgress(String worker, int seconds, int percent, int more, StartOrder... starts) {
        for (int s = 1; s <= seconds; s++) {
            d.advance(1_000);
            List<RunStatus> running = new ArrayList<>();
            for (StartOrder o : starts) {
                running.add(new RunStatus(o.jobId(), o.task(), o.run(), "", percent + s * more, -1));
            }
            d.answerHold(worker, running, List.of());
        }
    }

    private StartOrder startOnTheFirstOfTwo(long estimateMillis) {
        d.listWorkers("w1", "w2");
        d.answerHold("w1", List.of(), List.of());
        d.answerHold("w2", List.of(), List.of());
        d.submit("a", step(1, estimateMillis));
        d.completeSaves();
        d.scheduler.onStarted(d.lastStart(), OrderOutcome.ACCEPTED);
        return d.lastStart();
    }

    private void startTwoJobsOnTheOnlyWorker() {
        d.listWorkers("w1");
        d.answerHold("w1", List.of(), List.of());
        d.submit("a", step(1, 1_000));
        d.submit("b", step(1, 1_000));
        d.completeSaves();
        d.advance(50);
        d.completeSaves();
        assertEquals(2, d.port.starts.size());
    }

    @Nested
    class AStalledTask {

        @Test
        void resumesElsewhereOnceItsRunIsStopped() {
            StartOrder first = startOnTheFirstOfTwo(5_000);
            String other = first.worker().id().equals("w1") ? "w2" : "w1";
            reportProgress(first.worker().id(), 2, 10, 0, first);
            d.answerHold(other, List.of(), List.of());
            assertTrue(d.port.stops.isEmpty(), "two equal answers may be a coincidence");
            reportProgress(first.worker().id(), 2, 10, 0, first);
            assertEquals(1, d.port.stops.size());
            assertEquals(1, d.port.starts.size(), "nothing may start elsewhere while the run may continue");
            d.scheduler.onStopped(d.port.stops.get(0), OrderOutcome.ACCEPTED);
            d.advance(10);
            d.answerHold(first.worker().id(), List.of(), List.of());
            d.answerHold(other, List.of(), List.of());
            d.completeSaves();
            assertNotEquals(first.worker(), d.lastStart().worker());
        }

        @Test
        void isNotALongTaskWithSlowButRegularProgress() {
            StartOrder first = startOnTheFirstOfTwo(60_000);
            reportProgress(first.worker().id(), 5, 10, 0, first);
            assertTrue(d.port.stops.isEmpty());
        }

        /**
         * Guards against stopping the tasks of a worker that is unreachable for 2.2 to 2.7 s and so reports no
         * progress. The stops arrived when the worker was back, and seconds of work were lost, on four days with
         * network partitions. The log had {@code stands-still} with {@code since-millis} equal to the time since the
         * worker's last answer.
         */
        @Test
        void isNotATaskWhoseWorkerIsSilent() {
            StartOrder first = startOnTheFirstOfTwo(5_000);
            String other = first.worker().id().equals("w1") ? "w2" : "w1";
            reportProgress(first.worker().id(), 1, 10, 0, first);
            for (int i = 0; i < 4; i++) {
                d.advance(600);
                d.answerHold(other, List.of(), List.of());
            }
            assertTrue(d.port.stops.isEmpty(), "its progress is unknown");
            reportProgress(first.worker().id(), 1, 60, 0, first);
            assertTrue(d.port.stops.isEmpty(), "it has made progress");
        }

        /** The time must not depend on the previous pass, which skips most workers. */
        @Test
        void isDetectedAfterTheStallTime() {
            StartOrder first = startOnTheFirstOfTwo(5_000);
            String other = first.worker().id().equals("w1") ? "w2" : "w1";
            reportProgress(first.worker().id(), 3, 10, 0, first);
            d.answerHold(other, List.of(), List.of());
            d.advance(200);
            assertTrue(d.port.stops.isEmpty(), "2.2 s since its last progress");
            d.advance(1);
            assertEquals(1, d.port.stops.size());
        }

        @Test
        void isDetectedEvenIfItStartedAfterTheLastPass() {
            StartOrder first = startOnTheFirstOfTwo(20_000);
            d.advance(2_000);
            d.answerHold("w1", first.worker().id().equals("w1") ? List.of(told(first, 10)) : List.of(), List.of());
            d.answerHold("w2", first.worker().id().equals("w2") ? List.of(told(first, 10)) : List.of(), List.of());
            d.advance(100);
            d.submit("b", step(1, 20_000));
            d.completeSaves();
            StartOrder second = d.lastStart();
            d.scheduler.onStarted(second, OrderOutcome.ACCEPTED);
            String worker = second.worker().id();
            String other = worker.equals("w1") ? "w2" : "w1";
            for (int percent = 11; percent < 14; percent++) {
                d.advance(700);
                boolean together = first.worker().equals(second.worker());
                List<RunStatus> b = List.of(told(second, 0));
                List<RunStatus> both = List.of(told(first, percent), told(second, 0));
                d.answerHold(worker, together ? both : b, List.of());
                d.answerHold(other, together ? List.of() : List.of(told(first, percent)), List.of());
            }
            assertTrue(d.port.stops.isEmpty());
            d.advance(101);
            assertEquals(1, d.port.stops.size());
            assertEquals("b", d.port.stops.get(0).jobId());
        }

        @Test
        void isALongRunningTaskThatIsNoLongerReady() {
            d.listWorkers("w1", "w2");
            d.answerHold("w1", List.of(), List.of());
            d.answerHold("w2", List.of(), List.of());
            d.submit(
                    "a",
                    StepSpec.builder(1, SchedulerDriver.NEED)
                            .longRunning(true, 1)
                            .build());
            d.completeSaves();
            StartOrder first = d.lastStart();
            d.scheduler.onStarted(first, OrderOutcome.ACCEPTED);
            String other = first.worker().id().equals("w1") ? "w2" : "w1";
            reportProgress(first.worker().id(), 60, 100, 0, first);
            d.answerHold(other, List.of(), List.of());
            assertTrue(d.port.stops.isEmpty());
            reportProgress(first.worker().id(), 1, 50, 0, first);
            assertEquals(1, d.port.stops.size());
        }

        private RunStatus told(StartOrder o, int percent) {
            return new RunStatus(o.jobId(), o.task(), o.run(), "", percent, -1);
        }

        @Test
        void isNotATaskWithProgress() {
            StartOrder first = startOnTheFirstOfTwo(5_000);
            reportProgress(first.worker().id(), 8, 10, 1, first);
            assertTrue(d.port.stops.isEmpty());
        }
    }

    @Nested
    class ASlowWorker {

        @Test
        void losesTasksThatFinishSoonerElsewhere() {
            startTwoJobsOnTheOnlyWorker();
            StartOrder[] both = d.port.starts.toArray(new StartOrder[0]);
            for (StartOrder o : both) {
                d.scheduler.onStarted(o, OrderOutcome.ACCEPTED);
            }
            d.listWorkers("w1", "w2");
            d.answerHold("w2", List.of(), List.of());
            reportProgress("w1", 1, 9, 1, both);
            assertEquals(2, d.port.stops.size());
        }

        @Test
        void isNotInferredFromOneJobThatExceedsItsEstimate() {
            d.listWorkers("w1");
            d.answerHold("w1", List.of(), List.of());
            d.submit("a", step(2, 1_000));
            d.completeSaves();
            StartOrder[] both = d.port.starts.toArray(new StartOrder[0]);
            for (StartOrder o : both) {
                d.scheduler.onStarted(o, OrderOutcome.ACCEPTED);
            }
            d.listWorkers("w1", "w2");
            d.answerHold("w2", List.of(), List.of());
            reportProgress("w1", 1, 9, 1, both);
            assertTrue(d.port.stops.isEmpty(), "the caller's estimate is wrong for all tasks of a job alike");
        }

        @Test
        void isInferredFromATaskThatIsMuchSlowerThanItsSiblings() {
            d.listWorkers("w1");
            d.answerHold("w1", List.of(), List.of());
            d.submit("a", step(5, 1_000));
            d.completeSaves();
            d.scheduler.onStarted(d.port.starts.get(0), OrderOutcome.ACCEPTED);
            d.advance(300);
            d.answerHold("w1", List.of(), List.of(new RunResult(1, "a", FIRST, 1, EndKind.DONE, "")));
            d.listWorkers("w1", "w2");
            d.answerHold("w2", List.of(), List.of());
            StartOrder second = d.port.starts.get(1);
            d.scheduler.onStarted(second, OrderOutcome.ACCEPTED);
            reportProgress("w1", 1, 39, 1, second);
            assertEquals(1, d.port.stops.size(), "40 of 100 after 1 s, when a sibling took 0.3 s");
        }

        @Test
        void keepsItsTasksWhenOneOfThemIsFast() {
            startTwoJobsOnTheOnlyWorker();
            d.port.starts.forEach(o -> d.scheduler.onStarted(o, OrderOutcome.ACCEPTED));
            d.listWorkers("w1", "w2");
            d.answerHold("w2", List.of(), List.of());
            d.advance(1_000);
            d.answerHold(
                    "w1",
                    List.of(new RunStatus("a", FIRST, 1, "", 10, -1), new RunStatus("b", FIRST, 1, "", 90, -1)),
                    List.of());
            assertTrue(d.port.stops.isEmpty());
        }
    }
}
