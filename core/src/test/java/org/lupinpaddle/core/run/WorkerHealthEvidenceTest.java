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

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.job.EndKind;
import org.lupinpaddle.core.job.JobProgress;
import org.lupinpaddle.core.job.JobState;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.job.TaskId;
import org.lupinpaddle.core.job.TaskRecord;

/**
 * Guards against failing a job because a worker that fails all new runs counts as healthy. Its earlier successes, and
 * the runs that it began before and still completes, say nothing about the runs that it is given now.
 */
class WorkerHealthEvidenceTest {

    private static final TaskId FIRST = new TaskId(0, 0, 0);
    private static final TaskId SECOND = new TaskId(0, 0, 1);
    private static final StepSpec ONE =
            StepSpec.builder(1, SchedulerDriver.NEED).build();
    private static final StepSpec TWO =
            StepSpec.builder(2, SchedulerDriver.NEED).build();

    private final SchedulerDriver d = new SchedulerDriver();
    private long results;

    private void answer(String... workers) {
        Arrays.stream(workers).forEach(w -> d.answerHold(w, List.of(), List.of()));
    }

    /** Sends the pending starts, which their workers accept. */
    private void start() {
        for (int i = 0; i < 2; i++) {
            d.advance(50);
            d.completeSaves();
        }
        List.copyOf(d.port.starts).forEach(s -> d.scheduler.onStarted(s, OrderOutcome.ACCEPTED));
    }

    private StartOrder startOf(String job, TaskId task) {
        return d.port.starts.stream()
                .filter(s -> s.jobId().equals(job) && s.task().equals(task))
                .reduce((a, b) -> b)
                .orElseThrow();
    }

    /** Ends the newest run of a task and returns its worker. */
    private String end(String job, TaskId task, EndKind kind, RunStatus... others) {
        StartOrder s = startOf(job, task);
        String worker = s.worker().id();
        d.advance(50);
        d.answerHold(worker, List.of(others), List.of(new RunResult(++results, job, task, s.run(), kind, "")));
        start();
        return worker;
    }

    private RunStatus running(String job, TaskId task) {
        return new RunStatus(job, task, startOf(job, task).run(), "", 50, -1);
    }

    /** The worker begins a run, then fails the task that it is given next, and completes the earlier run. */
    @Nested
    class OfAWorkerThatCompletesAnEarlierRun {

        private String failing = "";

        /** Fails the first task twice on the worker: under an earlier owner, and after another job began there. */
        private void failTwiceThere() {
            d.listWorkers("w1");
            answer("w1");
            d.submit("earlier", ONE);
            start();
            TaskRecord failedOnce = new TaskRecord(0, 0, 0, 1, 1, false, "", "");
            d.submit("a", new JobProgress(JobState.RUNNING, List.of(failedOnce), "", 0), TWO);
            start();
            failing = end("a", FIRST, EndKind.FAILED, running("a", SECOND), running("earlier", FIRST));
            d.listWorkers("w1", "w2");
            answer("w2");
        }

        @Test
        void isNotTheSuccessOfThatRun() {
            failTwiceThere();
            end("earlier", FIRST, EndKind.DONE, running("a", SECOND));
            assertEquals(2, startOf("a", FIRST).run(), "the last attempt waits for a healthy worker");
        }

        @Test
        void isTheSuccessOfARunThatBeganAtTheSameTime() {
            failTwiceThere();
            end("a", SECOND, EndKind.DONE, running("earlier", FIRST));
            assertEquals(3, startOf("a", FIRST).run());
            assertEquals(failing, startOf("a", FIRST).worker().id());
        }

        /** If no worker is proven healthy, the last attempt goes to a worker on which the task has not failed. */
        @Test
        void keepsTheLastAttemptAwayFromIt() {
            failTwiceThere();
            end("earlier", FIRST, EndKind.DONE, running("a", SECOND));
            for (int i = 0; i < 12; i++) {
                d.advance(250);
                d.answerHold("w1", List.of(running("a", SECOND)), List.of());
                answer("w2");
            }
            start();
            assertEquals("w2", startOf("a", FIRST).worker().id());
        }
    }

    /** The worker has succeeded long before the task fails there, so the failure may be the worker's. */
    @Test
    void doesNotOutlastTheFailureOfALaterRun() {
        d.listWorkers("w1", "w2", "w3");
        answer("w1", "w2", "w3");
        d.submit("b", ONE);
        start();
        String healthyBefore = end("b", FIRST, EndKind.DONE);
        for (int i = 0; i < 20; i++) {
            d.advance(250);
            answer("w1", "w2", "w3");
        }
        d.submit("a", ONE);
        start();
        assertEquals(healthyBefore, startOf("a", FIRST).worker().id());
        end("a", FIRST, EndKind.FAILED);
        end("a", FIRST, EndKind.FAILED);
        assertEquals(2, startOf("a", FIRST).run(), "the last attempt waits for a healthy worker");
    }
}
