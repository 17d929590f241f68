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
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.job.EndKind;
import org.lupinpaddle.core.job.JobKey;
import org.lupinpaddle.core.job.JobProgress;
import org.lupinpaddle.core.job.JobSize;
import org.lupinpaddle.core.job.JobSpec;
import org.lupinpaddle.core.job.JobState;
import org.lupinpaddle.core.job.Policy;
import org.lupinpaddle.core.job.Repeat;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.job.TaskId;

/** Tests what jobs take in the memory of their owner. */
class JobMemoryUseTest {

    private static final StepSpec ONE =
            StepSpec.builder(1, SchedulerDriver.NEED).build();
    private static final long DAY_MILLIS = 86_400_000;
    private static final long MINUTE_MILLIS = 60_000;
    private static final Repeat A_THOUSAND_TIMES = new Repeat(1_000, DAY_MILLIS, MINUTE_MILLIS);

    private final SchedulerDriver d = new SchedulerDriver();

    private static JobSpec spec(String id, int priority, Repeat repeat, StepSpec... steps) {
        Policy policy = new Policy(priority, 3, 1.5, 500, false);
        return new JobSpec(new JobKey("q", id), "clips", "text", List.of(steps), repeat, policy, 0);
    }

    private void submit(String id, int priority, int tasks) {
        StepSpec step = StepSpec.builder(tasks, SchedulerDriver.NEED).build();
        d.scheduler.onJob(spec(id, priority, Repeat.ONCE, step), null);
        d.advance(0);
    }

    private int tasks() {
        return d.scheduler.memoryUse().tasks();
    }

    private JobProgress lastSaved() {
        return d.port.saves.get(d.port.saves.size() - 1).get(0).progress();
    }

    /** Runs a task whose start has been sent, and saves the result. */
    private void runLastStarted(long resultNumber) {
        StartOrder start = d.lastStart();
        d.scheduler.onStarted(start, OrderOutcome.ACCEPTED);
        d.advance(100);
        RunResult done = new RunResult(resultNumber, start.jobId(), start.task(), start.run(), EndKind.DONE, "");
        d.answerHold("w1", List.of(), List.of(done));
    }

    @Nested
    class IterationsThatAreNotDue {

        /** Guards against an owner that runs out of memory by jobs none of which is to run soon. */
        @Test
        void haveNoTasks() {
            d.submitRepeated("a", A_THOUSAND_TIMES, ONE);
            assertEquals(0, tasks());
            d.advance(DAY_MILLIS);
            assertEquals(1, tasks());
        }

        /** Guards against the same by the memory itself: an entry has a heap of 128 MB, not all of it for jobs. */
        @Test
        void takeLittleMemory() {
            long before = usedMegabytes();
            IntStream.range(0, 200).forEach(i -> d.scheduler.onJob(spec("a" + i, 0, A_THOUSAND_TIMES, ONE), null));
            d.advance(0);
            long taken = usedMegabytes() - before;
            assertTrue(taken < 64, "MB for 200,000 iterations: " + taken);
            assertEquals(200, d.scheduler.memoryUse().jobs());
        }

        private long usedMegabytes() {
            System.gc();
            Runtime r = Runtime.getRuntime();
            return (r.totalMemory() - r.freeMemory()) >> 20;
        }
    }

    @Nested
    class CompletedIterations {

        private JobProgress completeFirst(SchedulerDriver driver) {
            d.listAndAnswer(SchedulerDriver.workerOnRack("w1", "r1"));
            d.submitRepeated("a", new Repeat(2, 0, MINUTE_MILLIS), ONE);
            d.completeSaves();
            runLastStarted(1);
            return lastSaved();
        }

        @Test
        void haveNoTasks() {
            completeFirst(d);
            d.advance(0);
            assertEquals(0, tasks());
        }

        /** Guards against an iteration that runs again because its tasks were dropped from the stored progress. */
        @Test
        void stayInTheProgress() {
            completeFirst(d);
            d.completeSaves();
            d.now += MINUTE_MILLIS;
            d.answerHold("w1", List.of(), List.of());
            assertEquals(
                    List.of(new TaskId(0, 0, 0), new TaskId(1, 0, 0)),
                    lastSaved().tasks().stream()
                            .map(r -> new TaskId(r.time(), r.step(), r.index()))
                            .toList());
            assertEquals(1, lastSaved().tasks().get(0).run());
            assertTrue(lastSaved().tasks().get(0).done());
        }

        /** Guards against a new owner that starts a completed iteration again. */
        @Test
        void areNotStartedByTheNextOwner() {
            JobProgress saved = completeFirst(d);
            SchedulerDriver next = new SchedulerDriver();
            next.listAndAnswer(SchedulerDriver.workerOnRack("w1", "r1"));
            next.scheduler.onJob(spec("a", 0, new Repeat(2, 0, MINUTE_MILLIS), ONE), saved);
            next.advance(100);
            next.completeSaves();
            assertTrue(next.port.starts.isEmpty());
            assertEquals(0, next.scheduler.memoryUse().tasks());
            next.now += MINUTE_MILLIS;
            next.answerHold("w1", List.of(), List.of());
            next.completeSaves();
            assertEquals(new TaskId(1, 0, 0), next.lastStart().task());
        }

        @Test
        void completeTheJobTogether() {
            completeFirst(d);
            d.completeSaves();
            d.now += MINUTE_MILLIS;
            d.answerHold("w1", List.of(), List.of());
            d.completeSaves();
            runLastStarted(2);
            assertEquals(JobState.COMPLETED, lastSaved().state());
        }
    }

    @Nested
    class MoreTasksThanFit {

        /** Guards against an owner that creates the tasks of all jobs that it has read, however many there are. */
        @Test
        void leaveTheLeastUrgentJobsWaiting() {
            d.scheduler.onMaxTasks(10);
            submit("a", 1, 6);
            submit("b", 1, 6);
            assertEquals(6, tasks());
            assertEquals(1, d.scheduler.memoryUse().jobsWaiting());
        }

        /** Guards against idle workers while the rest of a large job keeps all others from beginning. */
        @Test
        void doNotKeepWorkersIdle() {
            d.listAndAnswer(SchedulerDriver.workerOnRack("w1", "r1"), SchedulerDriver.workerOnRack("w2", "r1"));
            d.scheduler.onMaxTasks(4);
            submit("a", 1, 4);
            submit("b", 1, 4);
            d.completeSaves();
            d.advance(50);
            d.completeSaves();
            assertEquals(
                    List.of("a", "a", "a", "a", "b", "b", "b", "b"),
                    d.port.starts.stream().map(StartOrder::jobId).toList());
        }

        /** Guards against tasks that are created and discarded in turn. */
        @Test
        void keepTheWorkThatIsPlacedNext() {
            d.listAndAnswer(SchedulerDriver.workerOnRack("w1", "r1"));
            d.scheduler.onMaxTasks(4);
            submit("a", 1, 4);
            submit("b", 1, 4);
            assertEquals(8, tasks());
            d.advance(50);
            assertEquals(8, tasks());
            submit("c", 1, 4);
            assertEquals(8, tasks(), "tasks of b are ready");
        }

        @Test
        void giveWayToMoreUrgentJobs() {
            d.scheduler.onMaxTasks(10);
            submit("a", 1, 6);
            submit("b", 0, 10);
            assertEquals(10, tasks());
            assertEquals(1, d.scheduler.memoryUse().jobsWaiting());
        }

        /** Guards against a job that is too large to ever begin. */
        @Test
        void beginAloneIfOneJobHasThem() {
            d.scheduler.onMaxTasks(10);
            submit("a", 0, 20);
            assertEquals(20, tasks());
        }

        /** Guards against the loss of runs that exist on workers. */
        @Test
        void doNotDiscardWhatHasBeenPlaced() {
            d.listAndAnswer(SchedulerDriver.workerOnRack("w1", "r1"));
            submit("a", 1, 6);
            submit("b", 1, 6);
            d.scheduler.onMaxTasks(1);
            d.advance(0);
            assertEquals(6, tasks());
        }

        /** Guards against jobs that wait for good after others have taken their place. */
        @Test
        void allRunInTheEnd() {
            d.scheduler.onMaxTasks(1);
            d.listAndAnswer(SchedulerDriver.workerOnRack("w1", "r1"));
            StepSpec wholeWorker =
                    StepSpec.builder(1, new StepSpec.Need(4_000, 100, 0)).build();
            for (String id : List.of("a", "b", "c")) {
                d.scheduler.onJob(spec(id, 0, Repeat.ONCE, wholeWorker), null);
            }
            d.advance(0);
            assertEquals(1, tasks());
            for (int i = 1; i <= 3; i++) {
                d.completeSaves();
                runLastStarted(i);
                d.completeSaves();
            }
            assertEquals(
                    List.of("a", "b", "c"),
                    d.port.starts.stream().map(StartOrder::jobId).toList());
            assertEquals(0, d.scheduler.memoryUse().jobs());
        }
    }

    @Nested
    class AJobThatIsOver {

        private void run() {
            d.listAndAnswer(SchedulerDriver.workerOnRack("w1", "r1"));
            submit("a", 0, 1);
            d.completeSaves();
            runLastStarted(1);
            d.completeSaves();
        }

        /** Guards against an owner that keeps the texts and tasks of all jobs of the last minutes. */
        @Test
        void takesNoMemoryUntilItIsForgotten() {
            run();
            assertEquals(MemoryUse.NONE, d.scheduler.memoryUse());
            assertEquals(List.of(), d.scheduler.forgetEnded(MINUTE_MILLIS));
            d.now += MINUTE_MILLIS + 1;
            assertEquals(List.of(new JobKey("q", "a")), d.scheduler.forgetEnded(MINUTE_MILLIS));
        }

        /** Guards against a job that runs again when its record is read again. */
        @Test
        void isNotAddedAgain() {
            run();
            submit("a", 0, 1);
            d.completeSaves();
            assertEquals(1, d.port.starts.size());
            assertEquals(MemoryUse.NONE, d.scheduler.memoryUse());
        }
    }

    @Test
    void sizeOfAJobDependsOnItsTextAndIterations() {
        long once = JobSize.bytes(spec("a", 0, Repeat.ONCE, ONE));
        assertTrue(JobSize.bytes(spec("a", 0, A_THOUSAND_TIMES, ONE)) > once);
        assertTrue(JobSize.bytes(spec("a", 0, Repeat.ONCE, ONE, ONE)) > once);
    }
}
