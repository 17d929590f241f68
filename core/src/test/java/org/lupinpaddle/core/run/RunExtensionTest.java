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
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.job.EndKind;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.job.TaskId;

/** Keeps the store slow or away while a worker that answers every poll runs a long-running task. */
class RunExtensionTest {

    private static final long BIRTH = 1_000_000;
    private static final long LONGEST_HOLD_MILLIS = 10_000;
    // Longer than an answer proves that its worker has not restarted.
    private static final long LATE_TICK_MILLIS = 120;
    private static final StepSpec.Need NEED = new StepSpec.Need(500, 100, 0);
    private static final StepSpec LASTING =
            StepSpec.builder(1, NEED).longRunning(true, 0).build();
    private static final StepSpec SHORT = StepSpec.builder(1, NEED).build();
    // The longest outage of the store that an owner bridges without giving up its services.
    private static final long OUTAGE_MILLIS = 11_000;

    // The deadlines of a silent worker have passed by then.
    private static final long LOST_AFTER_MILLIS = 12_000;

    private final ScriptedFleet f = new ScriptedFleet();
    private final ScriptedWorker w = f.add("w1", BIRTH, 600_000);

    @BeforeEach
    void startLongRunningTask() {
        w.progress = t -> 100;
        f.list();
        f.run(50);
        f.driver().submit("lasting", LASTING);
        f.runUntil(() -> w.runs("lasting"));
        f.run(2_000);
    }

    private void runShortTask(String job) {
        f.driver().submit(job, SHORT);
        f.runUntil(() -> w.runs(job));
        f.run(20);
    }

    private void assertStillInItsFirstRun() {
        assertTrue(w.runs("lasting"), "the run has lapsed");
        assertEquals(List.of(), f.judge.broken);
        assertEquals(
                1,
                f.driver().port.starts.stream()
                        .filter(s -> s.jobId().equals("lasting"))
                        .count());
    }

    @Nested
    class AnUnsavedResult {

        /** Guards against runs that lapse because each poll after a pause leaves the deadline as it is. */
        @Test
        void doesNotEndTheOtherRunsWhileTheStoreIsAway() {
            runShortTask("short");
            f.owners.get(0).savesBlocked = true;
            w.end("short", EndKind.DONE);
            f.run(OUTAGE_MILLIS);
            assertStillInItsFirstRun();
        }

        /** Guards against the same while tasks end one after the other and each write takes a while. */
        @Test
        void doesNotEndTheOtherRunsWhileTheStoreIsSlow() {
            for (int i = 0; i < 40; i++) {
                runShortTask("short" + i);
                f.owners.get(0).savesBlocked = true;
                w.end("short" + i, EndKind.DONE);
                f.run(230);
                f.owners.get(0).savesBlocked = false;
                f.run(5);
            }
            assertStillInItsFirstRun();
        }
    }

    @Nested
    class ABusyEntry {

        /** Guards against runs that lapse because the poll after each answer is sent by a late tick. */
        @Test
        void extendsRunsThoughItsTicksAreLate() {
            ScriptedFleet slow = new ScriptedFleet(LONGEST_HOLD_MILLIS, LATE_TICK_MILLIS);
            ScriptedWorker v = slow.add("w1", BIRTH, 600_000);
            v.progress = t -> 100;
            slow.list();
            slow.run(1_000);
            slow.driver().submit("lasting", LASTING);
            slow.runUntil(() -> v.runs("lasting"));
            slow.run(OUTAGE_MILLIS);
            assertTrue(v.runs("lasting"), "the run has lapsed");
            assertEquals(1, slow.driver().port.starts.size());
        }
    }

    @Nested
    class TheLog {

        /** Guards against runs that are not extended while nothing tells it. */
        @Test
        void tellsThatTheRunsOfAWorkerAreNotExtended() {
            SchedulerDriver d = new SchedulerDriver();
            d.listAndAnswer(SchedulerDriver.worker("w1"));
            d.submit("lasting", LASTING);
            d.completeSaves();
            d.scheduler.onStarted(d.lastStart(), OrderOutcome.ACCEPTED);
            RunStatus alive = new RunStatus("lasting", new TaskId(0, 0, 0), 1, "", 100, -1);
            d.advance(LOST_AFTER_MILLIS);
            assertEquals(1, d.port.events(SchedulerEvent.Kind.WORKER_GONE).size());
            for (int i = 0; i < 10; i++) {
                d.advance(400);
                d.answerHold("w1", List.of(alive), List.of());
            }
            d.scheduler.reviewWaits();
            SchedulerEvent told =
                    d.port.events(SchedulerEvent.Kind.RUNS_NOT_EXTENDED).get(0);
            assertTrue(told.detail().contains("RECORDS_UNSAVED"), told.detail());
        }
    }

    @Nested
    class AHandOver {

        /** Guards against runs that lapse while the owner waits for its last writes. */
        @Test
        void keepsTheRunsWhileItWaitsForTheStore() {
            f.driver().scheduler.handOver();
            f.run(OUTAGE_MILLIS);
            assertStillInItsFirstRun();
        }
    }
}
