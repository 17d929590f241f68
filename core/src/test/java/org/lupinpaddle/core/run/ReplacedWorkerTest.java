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
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Objects;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.fleet.PlatformInstance;
import org.lupinpaddle.core.fleet.PlatformInstance.State;
import org.lupinpaddle.core.job.JobProgress;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.run.ScriptedFleet.Fate;

/** Loses the worker of a long-running task whose first start got no answer and may still be executed. */
class ReplacedWorkerTest {

    private static final long BIRTH = 1_000_000;
    private static final StepSpec LASTING =
            StepSpec.builder(1, SchedulerDriver.NEED).longRunning(true, 0).build();
    // After this time a worker without an answer counts as silent, and a list as newer than the first one.
    private static final long SILENT_MILLIS = 2_800;
    private static final long PLACEMENT_MILLIS = 1_000;

    private final ScriptedFleet f = new ScriptedFleet();
    private final ScriptedWorker lost = f.add("w1", BIRTH, 600_000);
    private ScriptedWorker other = lost;

    @BeforeEach
    void startWithALateCopy() {
        lost.progress = t -> 100;
        f.list();
        f.run(50);
        f.starts.add(Fate.LATE);
        f.driver().submit("lasting", LASTING);
        f.runUntil(() -> lost.runs("lasting"));
        f.run(1_000);
        other = f.add("w2", BIRTH, 60_000);
        other.progress = t -> 100;
        f.list();
        f.run(50);
    }

    private void listInstances(State state, String worker) {
        f.driver()
                .scheduler
                .onInstances(
                        List.of(
                                new PlatformInstance("m1", "clips", state, "north", worker),
                                new PlatformInstance("m2", "clips", State.UP, "north", "w2")),
                        f.driver().now);
        f.run(PLACEMENT_MILLIS);
        assertEquals(List.of(), f.judge.broken);
    }

    private void lose() {
        lost.crash();
        f.run(SILENT_MILLIS);
    }

    @Nested
    class AnInstanceThatWasListedWithTheWorker {

        @BeforeEach
        void listWithTheWorker() {
            listInstances(State.UP, "w1");
            f.run(SILENT_MILLIS);
        }

        /** Guards against a second run beside the late start's, if the worker after the move has the same id. */
        @Test
        void isMoving() {
            lose();
            listInstances(State.MOVING, "");
            listInstances(State.UPKEEP, "");
            assertFalse(other.runs("lasting"));
        }

        /** Guards against a task that waits for a late start although its worker cannot return any more. */
        @Test
        void hasAnotherWorker() {
            lose();
            listInstances(State.UP, "w3");
            assertTrue(other.runs("lasting"));
        }

        /** Guards against a new owner that does not know the instance of a worker that it never reached. */
        @Test
        void isKnownToTheNextOwner() {
            f.driver().submit("another", LASTING);
            f.run(PLACEMENT_MILLIS);
            JobProgress saved = Objects.requireNonNull(f.stored.get("lasting"));
            lost.crash();
            f.addOwner();
            f.owners.remove(0);
            f.list();
            f.driver().submit("lasting", saved, LASTING);
            f.run(SILENT_MILLIS);
            listInstances(State.UP, "w3");
            assertTrue(other.runs("lasting"));
        }

        /** Guards against a second run beside the late start's, which the next incarnation under the id executes. */
        @Test
        void isDown() {
            lose();
            listInstances(State.DOWN, "w1");
            listInstances(State.DOWN, "");
            assertFalse(other.runs("lasting"));
        }

        /** Guards against a worker that is taken for replaced while it answers. */
        @Test
        void isListedAsItWasBefore() {
            listInstances(State.UP, "w0");
            assertTrue(lost.runs("lasting"));
        }
    }

    /** Guards against a list that shows the worker's predecessor on its instance. */
    @Test
    void isNotShownByAListThatMayBeOlderThanTheWorker() {
        lose();
        listInstances(State.UP, "w1");
        listInstances(State.UP, "w0");
        assertFalse(other.runs("lasting"));
    }
}
