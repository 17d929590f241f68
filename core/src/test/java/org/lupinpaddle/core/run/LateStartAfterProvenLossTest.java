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
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lupinpaddle.core.job.JobProgress;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.run.ScriptedFleet.Fate;

/**
 * Forces orders of events in which a worker's loss is proven, and a later incarnation executes a late copy of a start as
 * its first order.
 */
class LateStartAfterProvenLossTest {

    private static final long FIRST_BIRTH = 1_000_000;
    private static final long SECOND_BIRTH = 1_060_000;
    private static final long THIRD_BIRTH = 1_120_000;
    /** After this time a worker without an answer counts as silent, and the list of instances as older than it. */
    private static final long SILENT_MILLIS = 2_800;
    /** The platform executes a call within this time or never. */
    private static final long MAX_ORDER_DELAY_MILLIS = 15_000;
    /** Ticks, saves and calls between a proof and the next run. */
    private static final long PLACEMENT_MILLIS = 1_000;
    /** Runs on the other worker as soon as there is one. */
    private static final StepSpec ONE =
            StepSpec.builder(1, SchedulerDriver.NEED).place("", "rack-w2").build();

    private final ScriptedFleet f = new ScriptedFleet();
    private final ScriptedWorker w1 = f.add("w1", FIRST_BIRTH, 600_000);

    private void startWithLateCopy() {
        f.starts.add(Fate.LATE);
        start();
    }

    private void start() {
        f.list();
        f.run(50);
        f.driver().submit("a", ONE);
        f.runUntil(() -> w1.runs("a"));
        f.run(1_000);
    }

    private ScriptedWorker addOtherWorker() {
        ScriptedWorker w2 = f.add("w2", FIRST_BIRTH, 60_000);
        f.list();
        return w2;
    }

    /** Lets the next incarnation start behind a cut, while the list of instances still shows none. */
    private ScriptedWorker loseFirstWorker() {
        ScriptedWorker w2 = addOtherWorker();
        w1.cut = true;
        w1.restart(SECOND_BIRTH);
        f.driver().scheduler.onWorkers(List.of(SchedulerDriver.workerBornAt("w2", FIRST_BIRTH)));
        return w2;
    }

    /** Lists the other worker's instance as the only one that is up, again and again. */
    private void listInstancesFor(long millis) {
        for (long until = f.now + millis; f.now < until; f.run(100)) {
            f.listInstances("w2");
        }
    }

    private void executeLateCopy() {
        f.carryOut(f.lateStarts.get(0));
        f.run(1_000);
        assertEquals(List.of(), f.judge.broken);
    }

    /** Guards against a run that begins again after the list of instances has shown its worker down. */
    @ParameterizedTest
    @ValueSource(longs = {3_600, 6_000, 9_000, 12_000})
    void shownByTheListOfInstances(long copyDelay) {
        startWithLateCopy();
        loseFirstWorker();
        listInstancesFor(copyDelay - 1_000);
        executeLateCopy();
    }

    /** Guards against a run that begins again after the next incarnation has answered, and has restarted in turn. */
    @Test
    @Tag("known-red")
    void shownByTheNextIncarnation() {
        startWithLateCopy();
        w1.restart(SECOND_BIRTH);
        ScriptedWorker w2 = addOtherWorker();
        f.runUntil(() -> w2.runs("a"));
        w1.cut = true;
        w1.restart(THIRD_BIRTH);
        executeLateCopy();
    }

    /** Guards against a gang that runs elsewhere while the late copy of one member's start begins it again. */
    @Test
    void ofOneMemberOfAGang() {
        f.starts.add(Fate.LATE);
        f.list();
        f.run(50);
        f.driver()
                .submit(
                        "a",
                        StepSpec.builder(2, SchedulerDriver.NEED)
                                .gang(true, false)
                                .place("", "rack-w2")
                                .build());
        f.runUntil(() -> w1.tasks().size() == 2);
        f.run(1_000);
        loseFirstWorker();
        listInstancesFor(8_000);
        executeLateCopy();
    }

    /** Guards against an owner that takes over after the late copy was sent and does not know of it. */
    @Test
    void sentByAnEarlierOwner() {
        startWithLateCopy();
        takeOver();
        loseFirstWorker();
        listInstancesFor(8_000);
        executeLateCopy();
    }

    private void takeOver() {
        JobProgress saved = Objects.requireNonNull(f.stored.get("a"));
        f.addOwner();
        f.owners.remove(0);
        f.list();
        f.driver().submit("a", saved, ONE);
    }

    /** Guards against tasks that wait longer for their next run than a late copy can make it run twice. */
    @Nested
    class TheNextRun {

        @Test
        void beginsAtOnceIfAllStartsWereAnswered() {
            start();
            ScriptedWorker w2 = loseFirstWorker();
            f.run(SILENT_MILLIS);
            listInstancesFor(PLACEMENT_MILLIS);
            assertTrue(w2.runs("a"));
        }

        @Test
        void beginsAtOnceUnderANewOwnerIfAllStartsWereAnswered() {
            start();
            takeOver();
            ScriptedWorker w2 = loseFirstWorker();
            f.run(SILENT_MILLIS);
            listInstancesFor(PLACEMENT_MILLIS);
            assertTrue(w2.runs("a"));
        }

        @Test
        void beginsAsSoonAsTheNextIncarnationHasAnswered() {
            startWithLateCopy();
            ScriptedWorker w2 = loseFirstWorker();
            listInstancesFor(SILENT_MILLIS + PLACEMENT_MILLIS);
            assertFalse(w2.runs("a"));
            w1.cut = false;
            f.list();
            f.run(PLACEMENT_MILLIS);
            assertTrue(w2.runs("a"));
            executeLateCopy();
        }

        @Test
        void beginsOnceNoCopyCanBeExecutedAnyMore() {
            startWithLateCopy();
            ScriptedWorker w2 = loseFirstWorker();
            listInstancesFor(MAX_ORDER_DELAY_MILLIS + SILENT_MILLIS + PLACEMENT_MILLIS);
            assertTrue(w2.runs("a"));
        }

        /** The run that the late copy begins is the same one, which completes the task. */
        @Test
        void isNotNeededIfTheLateCopyHasBegunTheRun() {
            startWithLateCopy();
            ScriptedWorker w2 = loseFirstWorker();
            listInstancesFor(6_000);
            executeLateCopy();
            w1.cut = false;
            f.list();
            f.run(PLACEMENT_MILLIS);
            assertTrue(w1.runs("a"));
            assertFalse(w2.runs("a"));
        }
    }
}
