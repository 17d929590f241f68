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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lupinpaddle.core.job.EndKind;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.run.ScriptedFleet.Call;
import org.lupinpaddle.core.run.ScriptedFleet.Fate;

/** Forces orders of events in which a hold's answer reaches the owner after its incarnation has ended. */
@Tag("known-red")
class DelayedHoldAnswerTest {

    private static final long FIRST_BIRTH = 1_000_000;
    private static final long SECOND_BIRTH = 1_060_000;
    private static final StepSpec ONE =
            StepSpec.builder(1, SchedulerDriver.NEED).build();

    private final ScriptedFleet f = new ScriptedFleet();
    private final ScriptedWorker w1 = f.add("w1", FIRST_BIRTH, 600_000);

    private void completeFirstJob() {
        f.list();
        f.run(50);
        f.driver().submit("z", ONE);
        f.runUntil(() -> w1.runs("z"));
        f.run(50);
        w1.end("z", EndKind.DONE);
        f.run(1_500);
    }

    /** Guards against results of the next incarnation that are acknowledged, because the answer counts as fresh. */
    @ParameterizedTest
    @ValueSource(longs = {200, 400})
    void acknowledgesNoResultsOfTheNextIncarnation(long delayMillis) {
        completeFirstJob();
        f.holds.add(Fate.LATE);
        f.runUntil(() -> !f.lateHolds.isEmpty());
        Call hold = f.lateHolds.get(0);
        HoldResponse delayed = w1.lists();
        w1.restart(SECOND_BIRTH);
        f.starts.add(Fate.ANSWER_LOST);
        f.driver().submit("a", ONE);
        f.runUntil(() -> w1.runs("a"));
        f.run(20);
        w1.end("a", EndKind.DONE);
        f.run(delayMillis);
        hold.open = false;
        f.driver().scheduler.onHoldAnswered((HoldOrder) hold.order, hold.localSentAt, delayed);
        f.run(5);
        f.add("w2", FIRST_BIRTH, 60_000);
        f.list();
        f.run(10_000);
        assertEquals(List.of(), f.judge.broken);
    }
}
