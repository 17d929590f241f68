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

import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.run.ScriptedFleet.Fate;

/**
 * Forces orders of events in which a worker's loss is proven, and a later incarnation executes a late copy of a start as
 * its first order.
 */
@Tag("known-red")
class LateStartAfterProvenLossTest {

    private static final long FIRST_BIRTH = 1_000_000;
    private static final long SECOND_BIRTH = 1_060_000;
    private static final long THIRD_BIRTH = 1_120_000;
    /** Runs on the other worker as soon as there is one. */
    private static final StepSpec ONE =
            StepSpec.builder(1, SchedulerDriver.NEED).place("", "rack-w2").build();

    private final ScriptedFleet f = new ScriptedFleet();
    private final ScriptedWorker w1 = f.add("w1", FIRST_BIRTH, 600_000);

    private void startWithLateCopy() {
        f.starts.add(Fate.LATE);
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

    private void executeLateCopy() {
        f.carryOut(f.lateStarts.get(0));
        f.run(1_000);
        assertEquals(List.of(), f.judge.broken);
    }

    /** Guards against a run that begins again after the list of instances has shown its worker down. */
    @Test
    void shownByTheListOfInstances() {
        startWithLateCopy();
        w1.cut = true;
        w1.restart(SECOND_BIRTH);
        ScriptedWorker w2 = addOtherWorker();
        f.driver().scheduler.onWorkers(List.of(SchedulerDriver.workerBornAt("w2", FIRST_BIRTH)));
        f.run(3_600);
        f.listInstances("w2");
        f.runUntil(() -> w2.runs("a"));
        executeLateCopy();
    }

    /** Guards against a run that begins again after the next incarnation has answered, and has restarted in turn. */
    @Test
    void shownByTheNextIncarnation() {
        startWithLateCopy();
        w1.restart(SECOND_BIRTH);
        ScriptedWorker w2 = addOtherWorker();
        f.runUntil(() -> w2.runs("a"));
        w1.cut = true;
        w1.restart(THIRD_BIRTH);
        executeLateCopy();
    }
}
