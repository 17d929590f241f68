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
 * An accepted job is given up 0.4 s after its begin though a good worker stands by. One of its tasks fails by chance on the good
 * worker; its second and third attempts go at once to two workers that fail everything, of which nobody knows yet: the owner is
 * new, and three pieces of evidence against a worker take longer to gather than three attempts of one task. The log shows three
 * {@code RUN_ENDED} with {@code FAILED} on three workers within 220 ms, no {@code WORKER_AVOIDED}, then {@code JOB_ENDED}.
 */
class LastAttemptTest {

    /** A job must not have nothing at work for longer, while there is room. */
    private static final long NOTHING_AT_WORK_MILLIS = 3_000;

    private static final StepSpec TWO =
            StepSpec.builder(2, SchedulerDriver.NEED).build();

    private final SchedulerDriver d = new SchedulerDriver();

    private StartOrder startOf(TaskId t) {
        return d.port.starts.stream()
                .filter(s -> s.task().equals(t))
                .reduce((a, b) -> b)
                .orElseThrow();
    }

    private void accept() {
        d.completeSaves();
        List.copyOf(d.port.starts).forEach(s -> d.scheduler.onStarted(s, OrderOutcome.ACCEPTED));
    }

    /** Lets the newest run of a task fail; returns on which worker. */
    private String fails(TaskId t, long number, RunStatus... others) {
        StartOrder s = startOf(t);
        RunResult e = new RunResult(number, "a", t, s.run(), EndKind.FAILED, "");
        d.advance(50);
        d.answerHold(s.worker().id(), List.of(others), List.of(e));
        d.advance(50);
        accept();
        return s.worker().id();
    }

    private static TaskId task(int index) {
        return new TaskId(0, 0, index);
    }

    private void twoAttemptsOfTheFirstTaskFail() {
        d.listWorkers("w1", "w2", "w3");
        for (String w : List.of("w1", "w2", "w3")) {
            d.answerHold(w, List.of(), List.of());
        }
        d.submit("a", TWO);
        accept();
        assertEquals(startOf(task(0)).worker(), startOf(task(1)).worker(), "both run on one worker");
        fails(task(0), 1, new RunStatus("a", task(1), 1, "", 50, -1));
        fails(task(0), 1);
        assertEquals(3, d.port.starts.size() - (startOf(task(0)).run() == 3 ? 1 : 0));
    }

    @Test
    void waitsForAWorkerOnWhichSomethingHasEndedWell() {
        twoAttemptsOfTheFirstTaskFail();
        d.advance(1_000);
        assertEquals(2, startOf(task(0)).run(), "nothing speaks for the third worker yet");
    }

    /** What has failed on the good worker by chance goes well there, and other work does too. */
    @Test
    void goesToTheWorkerThatHasDoneWellSinceAlsoIfItFailedThereBefore() {
        twoAttemptsOfTheFirstTaskFail();
        StartOrder second = startOf(task(1));
        d.advance(500);
        d.answerHold(
                second.worker().id(),
                List.of(),
                List.of(
                        new RunResult(1, "a", task(0), 1, EndKind.FAILED, ""),
                        new RunResult(2, "a", task(1), second.run(), EndKind.DONE, "")));
        accept();
        assertEquals(3, startOf(task(0)).run());
        assertEquals(second.worker(), startOf(task(0)).worker());
    }

    /** Where nothing ends well anywhere, a job that can not be done gets its answer all the same. */
    @Test
    void goesAnywhereBeforeItsJobHasHadNothingAtWorkForTooLong() {
        twoAttemptsOfTheFirstTaskFail();
        for (int i = 0; i < NOTHING_AT_WORK_MILLIS / 250; i++) {
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

    /** Its caller had better hear soon that it can not be done: it fails where others end well. */
    @Test
    void isMadeAtOnceForWhatHasFailedOnAProvenWorker() {
        d.listWorkers("w1", "w2", "w3");
        for (String w : List.of("w1", "w2", "w3")) {
            d.answerHold(w, List.of(), List.of());
        }
        d.submit("b", StepSpec.builder(1, SchedulerDriver.NEED).build());
        accept();
        String proven = d.lastStart().worker().id();
        d.advance(50);
        d.answerHold(proven, List.of(), List.of(new RunResult(1, "b", task(0), 1, EndKind.DONE, "")));
        d.submit("a", StepSpec.builder(1, SchedulerDriver.NEED).build());
        d.advance(50);
        accept();
        assertEquals("a", d.lastStart().jobId());
        assertEquals(proven, d.lastStart().worker().id());
        fails(task(0), 2);
        fails(task(0), 1);
        assertEquals(3, d.lastStart().run());
    }

    /**
     * Two attempts fail under one owner, one of them on a worker that fails everything; all entries lose power; the next owner
     * sends the third to that worker at once, since it knows nothing of it. The log shows {@code TASK_PLACED} with two attempts a
     * millisecond after {@code JOB_TAKEN}, while ends of the same answer show which worker does well.
     */
    @Nested
    class UnderANewOwner {

        private static final JobProgress TWO_FAILED = new JobProgress(
                JobState.RUNNING,
                List.of(new TaskRecord(0, 0, 0, 2, 2, false, "", ""), new TaskRecord(0, 0, 1, 1, 0, false, "w2", "")),
                "",
                0);

        private void takesOver() {
            d.listWorkers("w1", "w2");
            d.answerHold("w1", List.of(), List.of());
            d.submit("a", TWO_FAILED, TWO);
            d.completeSaves();
        }

        @Test
        void waitsForAWorkerOnWhichSomethingHasEndedWell() {
            takesOver();
            assertTrue(d.port.starts.isEmpty(), "nothing speaks for the first worker yet");
            d.answerHold("w2", List.of(), List.of(new RunResult(1, "a", task(1), 1, EndKind.DONE, "")));
            d.completeSaves();
            assertEquals("w2", d.lastStart().worker().id());
        }

        @Test
        void goesAnywhereBeforeItsJobHasHadNothingAtWorkForTooLong() {
            takesOver();
            for (int i = 0; i < NOTHING_AT_WORK_MILLIS / 250; i++) {
                d.advance(250);
                d.answerHold("w1", List.of(), List.of());
                d.completeSaves();
            }
            assertEquals(task(0), d.lastStart().task());
        }
    }
}
