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
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lupinpaddle.core.job.EndKind;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.run.ScriptedFleet.Fate;
import org.lupinpaddle.core.run.ScriptedFleet.Owner;

/** Forces orders of events in which a new owner inherits runs whose deadlines its predecessor has given. */
class InheritedDeadlineTest {

    private static final long FIRST_BIRTH = 1_000_000;
    private static final long SECOND_BIRTH = 1_060_000;
    private static final long MAX_WAIT_MILLIS = 40_000;
    /** Runs on the other worker as soon as there is one. */
    private static final StepSpec ONE =
            StepSpec.builder(1, SchedulerDriver.NEED).place("", "rack-w2").build();
    /** Fills three quarters of a worker. */
    private static final StepSpec.Need LARGE = new StepSpec.Need(3_000, 100, 0);

    private final ScriptedFleet f = new ScriptedFleet();
    private final ScriptedWorker w1 = f.add("w1", FIRST_BIRTH, 600_000);

    private void listAndAnswer() {
        f.list();
        f.run(50);
    }

    private void takeOver(StepSpec step) {
        Owner previous = succeed();
        f.driver().submit("a", Objects.requireNonNull(previous.saved), step);
    }

    /** Replaces the owner by one that has read no jobs, and returns the former one. */
    private Owner succeed() {
        Owner previous = f.owners.remove(0);
        f.owners.add(new Owner(previous.token + 1));
        f.list();
        return previous;
    }

    /** Waits until the task has moved to the worker, and for a while longer. */
    private void assertMovesWithoutOverlap(ScriptedWorker other) {
        assertFalse(other.runs("a"));
        long until = f.now + MAX_WAIT_MILLIS;
        while (f.now < until && !other.runs("a")) {
            f.run(5);
        }
        assertTrue(other.runs("a"), "the task must go on elsewhere");
        f.run(12_000);
        assertEquals(List.of(), f.judge.broken);
    }

    /** Guards against trusting one's own deadlines where the former owner's may lie further ahead. */
    @Nested
    class OfAnIncarnationThatHasAnswered {

        /** The former owner has heard the incarnation and recorded it, so the record does not show the restart. */
        @Test
        void mayBeByAFormerClock() {
            ScriptedWorker other = f.add("w2", FIRST_BIRTH, 60_000);
            StepSpec two = StepSpec.builder(2, LARGE).build();
            listAndAnswer();
            w1.restart(SECOND_BIRTH);
            f.driver().submit("a", two);
            f.runUntil(() -> w1.runs("a") && other.runs("a"));
            f.runUntil(() -> w1.firstAnswerAt >= 0);
            f.list();
            f.run(100);
            other.end("a", EndKind.DONE);
            f.run(200);
            takeOver(two);
            f.run(50);
            w1.cut = true;
            assertMovesWithoutOverlap(other);
        }

        /** A deadline applies to all runs of a worker, also to those that the new owner starts. */
        @Test
        void mayKeepRunsOfTheNewOwner() {
            listAndAnswer();
            w1.restart(SECOND_BIRTH);
            f.driver().submit("x", ONE);
            f.runUntil(() -> w1.runs("x"));
            f.run(50);
            w1.end("x", EndKind.DONE);
            f.run(200);
            succeed();
            f.run(100);
            f.driver().submit("a", ONE);
            f.runUntil(() -> w1.runs("a"));
            f.run(50);
            w1.cut = true;
            ScriptedWorker other = f.add("w2", FIRST_BIRTH, 60_000);
            f.list();
            assertMovesWithoutOverlap(other);
        }
    }

    /** Guards against giving up a worker that nobody reaches while the former owner's last orders are still executed. */
    @Nested
    class OfAnUnreachableWorker {

        @ParameterizedTest
        @ValueSource(longs = {2_000, 8_000, 14_000})
        void maySetByALateStart(long lateMillis) {
            f.starts.add(Fate.LATE);
            listAndAnswer();
            f.driver().submit("a", ONE);
            f.runUntil(() -> !f.lateStarts.isEmpty());
            w1.cut = true;
            ScriptedWorker other = f.add("w2", FIRST_BIRTH, 60_000);
            f.run(600);
            w1.restart(SECOND_BIRTH);
            takeOver(ONE);
            f.run(lateMillis);
            f.carryOut(f.lateStarts.get(0));
            assertMovesWithoutOverlap(other);
        }
    }

    /** Guards against a late start of the former owner that is the first order of an incarnation nobody has heard. */
    @Nested
    class OfALaterIncarnation {

        @ParameterizedTest
        @ValueSource(longs = {2_000, 6_000, 12_000})
        void maySetByALateStart(long lateMillis) {
            f.starts.add(Fate.LATE);
            listAndAnswer();
            f.driver().submit("a", ONE);
            f.runUntil(() -> w1.runs("a"));
            f.run(50);
            takeOver(ONE);
            f.run(100);
            w1.cut = true;
            ScriptedWorker other = f.add("w2", FIRST_BIRTH, 60_000);
            w1.restart(SECOND_BIRTH);
            f.driver()
                    .scheduler
                    .onWorkers(List.of(
                            SchedulerDriver.workerBornAt("w1", FIRST_BIRTH),
                            SchedulerDriver.workerBornAt("w2", FIRST_BIRTH)));
            f.run(lateMillis);
            f.carryOut(f.lateStarts.get(0));
            assertMovesWithoutOverlap(other);
        }
    }
}
