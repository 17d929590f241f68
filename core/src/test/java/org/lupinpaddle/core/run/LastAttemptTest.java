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
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.job.EndKind;
import org.lupinpaddle.core.job.JobProgress;
import org.lupinpaddle.core.job.JobState;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.job.TaskId;
import org.lupinpaddle.core.job.TaskRecord;

/**
 * Guards against failing a job within 0.4 s of its start although a healthy worker is available. One task fails by
 * chance on the healthy worker, and its second and third attempts go at once to two workers that fail everything. A
 * new owner does not know that yet: three pieces of evidence against a worker take longer to collect than three
 * attempts of one task. The log shows three {@code RUN_ENDED} with {@code FAILED} on three workers within 220 ms and
 * no {@code WORKER_AVOIDED}, then {@code JOB_ENDED}.
 */
class LastAttemptTest {

    /** The longest time for which a job may have nothing running while there is room. */
    private static final long MAX_IDLE_MILLIS = 3_000;

    private static final StepSpec TWO =
            StepSpec.builder(2, SchedulerDriver.NEED).build();

    private final SchedulerDriver d = new SchedulerDriver();

    private StartOrder startOf(TaskId t) {
        return d.port.starts.stream()
                .filter(s -> s.task().equals(t))
                .reduce((a, b) -> b)
                .orElseThrow();
    }

    private void acceptStarts() {
        d.completeSaves();
        List.copyOf(d.port.starts).forEach(s -> d.scheduler.onStarted(s, OrderOutcome.ACCEPTED));
    }

    /** Makes the newest run of a task fail and returns its worker. */
    private String failRun(TaskId t, long number, RunStatus... others) {
        StartOrder s = startOf(t);
        RunResult e = new RunResult(number, "a", t, s.run(), EndKind.FAILED, "");
        d.advance(50);
        d.answerHold(s.worker().id(), List.of(others), List.of(e));
        d.advance(50);
        acceptStarts();
        return s.worker().id();
    }

    private static TaskId task(int index) {
        return new TaskId(0, 0, index);
    }

    private void failTwoAttemptsOfTheFirstTask() {
        d.listWorkers("w1", "w2", "w3");
        for (String w : List.of("w1", "w2", "w3")) {
            d.answerHold(w, List.of(), List.of());
        }
        d.submit("a", TWO);
        acceptStarts();
        assertEquals(startOf(task(0)).worker(), startOf(task(1)).worker(), "both run on one worker");
        failRun(task(0), 1, new RunStatus("a", task(1), 1, "", 50, -1));
        failRun(task(0), 1);
        assertEquals(3, d.port.starts.size() - (startOf(task(0)).run() == 3 ? 1 : 0));
    }

    @Test
    void waitsForAWorkerWithASuccessfulRun() {
        failTwoAttemptsOfTheFirstTask();
        d.advance(1_000);
        assertEquals(2, startOf(task(0)).run(), "no run has succeeded on the third worker yet");
    }

    /** The task failed on the healthy worker by chance; it and other tasks succeed there. */
    @Test
    void acceptsAWorkerThatHasSucceededSinceTheTaskFailedThere() {
        failTwoAttemptsOfTheFirstTask();
        StartOrder second = startOf(task(1));
        d.advance(500);
        d.answerHold(
                second.worker().id(),
                List.of(),
                List.of(
                        new RunResult(1, "a", task(0), 1, EndKind.FAILED, ""),
                        new RunResult(2, "a", task(1), second.run(), EndKind.DONE, "")));
        acceptStarts();
        assertEquals(3, startOf(task(0)).run());
        assertEquals(second.worker(), startOf(task(0)).worker());
    }

    /** If nothing succeeds anywhere, an impossible job must still be reported as failed. */
    @Test
    void acceptsAnyWorkerBeforeItsJobIsIdleForTooLong() {
        failTwoAttemptsOfTheFirstTask();
        for (int i = 0; i < MAX_IDLE_MILLIS / 250; i++) {
            d.advance(250);
            for (String w : List.of("w1", "w2", "w3")) {
                StartOrder s = startOf(task(1));
                boolean there = s.worker().id().equals(w);
                d.answerHold(w, there ? List.of(new RunStatus("a", task(1), 1, "", 60 + i, -1)) : List.of(), List.of());
            }
            d.completeSaves();
        }
        assertTrue(startOf(task(0)).run() == 3, "the third attempt has been made");
    }

    /** The caller should learn soon that the job fails where others succeed. */
    @Test
    void isNotDelayedAfterAFailureOnAProvenWorker() {
        d.listWorkers("w1", "w2", "w3");
        for (String w : List.of("w1", "w2", "w3")) {
            d.answerHold(w, List.of(), List.of());
        }
        d.submit("b", StepSpec.builder(1, SchedulerDriver.NEED).build());
        acceptStarts();
        String proven = d.lastStart().worker().id();
        d.advance(50);
        d.answerHold(proven, List.of(), List.of(new RunResult(1, "b", task(0), 1, EndKind.DONE, "")));
        d.submit("a", StepSpec.builder(1, SchedulerDriver.NEED).build());
        d.advance(50);
        acceptStarts();
        assertEquals("a", d.lastStart().jobId());
        assertEquals(proven, d.lastStart().worker().id());
        failRun(task(0), 2);
        failRun(task(0), 1);
        assertEquals(3, d.lastStart().run());
    }

    /**
     * Guards against sending the last attempt at once to a faulty worker after a change of owner. Two attempts fail
     * under one owner, one of them on a worker that fails everything; after a power failure of all entries the next
     * owner does not know about that worker. The log shows {@code TASK_PLACED} with two attempts a millisecond after
     * {@code JOB_TAKEN}, while results in the same answer show which worker is healthy.
     */
    @Nested
    class UnderANewOwner {

        private static final JobProgress TWO_FAILED = new JobProgress(
                JobState.RUNNING,
                List.of(new TaskRecord(0, 0, 0, 2, 2, false, "", ""), new TaskRecord(0, 0, 1, 1, 0, false, "w2", "")),
                "",
                0);

        private void takeOverAfterTwoFailures() {
            d.listWorkers("w1", "w2");
            d.answerHold("w1", List.of(), List.of());
            d.submit("a", TWO_FAILED, TWO);
            d.completeSaves();
        }

        @Test
        void waitsForAWorkerWithASuccessfulRun() {
            takeOverAfterTwoFailures();
            assertTrue(d.port.starts.isEmpty(), "no run has succeeded on the first worker yet");
            d.answerHold("w2", List.of(), List.of(new RunResult(1, "a", task(1), 1, EndKind.DONE, "")));
            d.completeSaves();
            assertEquals("w2", d.lastStart().worker().id());
        }

        @Test
        void acceptsAnyWorkerBeforeItsJobIsIdleForTooLong() {
            takeOverAfterTwoFailures();
            for (int i = 0; i < MAX_IDLE_MILLIS / 250; i++) {
                d.advance(250);
                d.answerHold("w1", List.of(), List.of());
                d.completeSaves();
            }
            assertEquals(task(0), d.lastStart().task());
        }
    }
}
