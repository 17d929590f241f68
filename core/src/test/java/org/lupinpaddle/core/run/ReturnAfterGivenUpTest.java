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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lupinpaddle.core.job.EndKind;
import org.lupinpaddle.core.job.StepSpec;

/** Forces orders of events in which a worker is given up while silent, and its next incarnation answers. */
class ReturnAfterGivenUpTest {

    private static final StepSpec ONE =
            StepSpec.builder(1, SchedulerDriver.NEED).build();

    private final ScriptedFleet f = new ScriptedFleet();

    private void complete(ScriptedWorker w, String job) {
        f.driver().submit(job, ONE);
        f.runUntil(() -> w.runs(job));
        f.run(50);
        w.end(job, EndKind.DONE);
        f.run(1_500);
    }

    /**
     * Guards against taking the next incarnation for the former one where one of their births is unknown, so that its
     * first results count as taken in.
     */
    @ParameterizedTest
    @CsvSource({"0,0", "0,1060000", "1000000,0", "1000000,1060000"})
    void readsTheResultsOfTheNextIncarnation(long firstBirth, long secondBirth) {
        ScriptedWorker w1 = f.add("w1", firstBirth, 600_000);
        f.list();
        f.run(50);
        complete(w1, "z");
        f.driver().submit("x", ONE);
        f.runUntil(() -> w1.runs("x"));
        f.run(50);
        w1.cut = true;
        f.runUntil(
                () -> !f.driver().port.events(SchedulerEvent.Kind.WORKER_GONE).isEmpty());
        w1.restart(secondBirth, 5_000_000);
        w1.cut = false;
        f.list();
        f.runUntil(() -> w1.runs("x"));
        f.run(50);
        w1.end("x", EndKind.DONE);
        f.run(10_000);
        assertEquals(List.of(), f.judge.broken);
    }
}
