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
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.job.EndKind;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.job.TaskId;

/** Tests orders and answers that are in flight when a worker is evacuated or declared lost. */
class EvacuationRaceTest {

    private static final TaskId FIRST = new TaskId(0, 0, 0);
    private static final StepSpec ONE =
            StepSpec.builder(1, SchedulerDriver.NEED).build();

    private final SchedulerDriver d = new SchedulerDriver();

    /** The answer was in flight, or queued at the owner, when the owner declared the worker lost. */
    @Test
    void resultThatArrivesAfterItsWorkerWasDeclaredLostIsProcessed() {
        d.listWorkers("w1");
        d.answerHold("w1", List.of(), List.of());
        d.submit("a", ONE);
        d.completeSaves();
        d.scheduler.onStarted(d.lastStart(), OrderOutcome.ACCEPTED);
        d.advance(100);
        d.answerHold("w1", List.of(new RunStatus("a", FIRST, 1, "half", 50, -1)), List.of());
        HoldOrder asked = d.port.holds.get(d.port.holds.size() - 1);
        long sentAt = d.now;
        d.scheduler.onWorkers(List.of(SchedulerDriver.worker("w2")));
        d.advance(2_800);
        d.scheduler.onRunningWorkers(Set.of("w2"), d.now);
        d.advance(10);
        d.completeSaves();
        assertEquals(0, d.scheduler.load().running(), "the worker is declared lost");
        RunResult done = new RunResult(1, "a", FIRST, 1, EndKind.DONE, "half");
        d.scheduler.onHoldAnswered(asked, sentAt, new HoldResponse(101_000, List.of(), List.of(done)));
        d.answerHold("w2", List.of(), List.of());
        d.advance(100);
        d.completeSaves();
        d.advance(100);
        d.completeSaves();
        assertEquals(1, d.port.starts.size(), "the owner knows that the task is done");
    }

    /** A stop would be useless: the worker stays anyway, and the late task would start again elsewhere. */
    @Test
    void lateTaskIsNotStoppedWhileAnotherTaskKeepsItsWorker() {
        d.listWorkers("w1");
        d.answerHold("w1", List.of(), List.of());
        d.submit(
                "late",
                StepSpec.builder(1, SchedulerDriver.NEED).estimateMillis(1_000).build());
        d.completeSaves();
        d.scheduler.onStarted(d.lastStart(), OrderOutcome.ACCEPTED);
        d.advance(2_600);
        d.answerHold("w1", List.of(new RunStatus("late", FIRST, 1, "", 10, -1)), List.of());
        d.submit(
                "long",
                StepSpec.builder(1, SchedulerDriver.NEED).estimateMillis(60_000).build());
        d.advance(50);
        d.completeSaves();
        d.scheduler.onStarted(d.lastStart(), OrderOutcome.ACCEPTED);
        assertEquals(2, d.port.starts.size());
        d.scheduler.onEvacuations(Set.of("w1"), Set.of("w1"));
        d.advance(10);
        assertTrue(d.port.emptied.isEmpty());
        assertTrue(d.port.stops.isEmpty(), "the other task keeps the worker for a minute and is not stopped");
    }

    /** A stop discards progress, while a task that has not started loses nothing. */
    @Test
    void placedTaskIsNotStartedOnAnEvacuatingWorker() {
        d.listWorkers("w1");
        d.answerHold("w1", List.of(), List.of());
        d.submit("a", ONE);
        d.scheduler.onEvacuations(Set.of("w1"), Set.of());
        d.advance(50);
        d.completeSaves();
        assertTrue(d.port.starts.isEmpty(), "its placement was still being saved");
    }

    /** Another worker could run the task at once. */
    @Test
    void listOfInstancesRequestedBeforeTheLastAnswerProvesNothing() {
        d.listWorkers("w1");
        d.answerHold("w1", List.of(), List.of());
        d.submit("a", ONE);
        d.completeSaves();
        d.scheduler.onStarted(d.lastStart(), OrderOutcome.ACCEPTED);
        d.advance(1_000);
        long askedAt = d.now;
        d.answerHold("w1", List.of(new RunStatus("a", FIRST, 1, "", 50, -1)), List.of());
        d.listWorkers("w1", "w2");
        d.advance(3_000);
        d.answerHold("w2", List.of(), List.of());
        assertTrue(d.scheduler.hasSilentWorkersWithTasks());
        d.scheduler.onRunningWorkers(Set.of("w2"), askedAt);
        for (int i = 0; i < 3; i++) {
            d.advance(100);
            d.completeSaves();
        }
        assertEquals(1, d.port.starts.size());
    }

    /** The test that this one replaces checked this for a worker reported as empty, but not for stops. */
    @Test
    void onTimeTaskThatCannotResumeElsewhereIsNotStopped() {
        d.listWorkers("w1");
        d.answerHold("w1", List.of(), List.of());
        d.submit(
                "a",
                StepSpec.builder(1, SchedulerDriver.NEED).estimateMillis(10_000).build());
        d.completeSaves();
        d.scheduler.onStarted(d.lastStart(), OrderOutcome.ACCEPTED);
        d.scheduler.onEvacuations(Set.of("w1"), Set.of("w1"));
        d.advance(100);
        assertTrue(d.port.stops.isEmpty(), "its progress would be lost");
    }
}
