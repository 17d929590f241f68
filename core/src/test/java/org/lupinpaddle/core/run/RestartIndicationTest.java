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
import java.util.OptionalLong;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.job.StepSpec;

/** Tests what the clock in the answer to a start tells of the incarnation that received it. */
class RestartIndicationTest {

    // The clock that SchedulerDriver gives its workers.
    private static final long CLOCK_AT_START = 100_000;

    private final SchedulerDriver d = new SchedulerDriver();

    @BeforeEach
    void sendStart() {
        d.listWorkers("w1");
        d.answerHold("w1", List.of(), List.of());
        d.advance(300);
        d.submit("a", StepSpec.builder(1, SchedulerDriver.NEED).build());
        d.completeSaves();
    }

    private void answerStart(OptionalLong clock) {
        d.advance(5);
        d.scheduler.onStarted(d.lastStart(), OrderOutcome.ACCEPTED, clock);
    }

    private int indications() {
        return d.port.events(SchedulerEvent.Kind.RESTART_INDICATED).size();
    }

    /** Guards against an unnoticed restart after which the clock is behind the earlier one. */
    @Test
    void clockBehindIndicatesARestart() {
        answerStart(OptionalLong.of(CLOCK_AT_START - 1));
        assertEquals(1, indications());
    }

    /** Guards against more tasks on an incarnation that has not answered a hold, and against waiting for its answer. */
    @Test
    void restartedWorkerIsPolledAtOnceAndGetsNothingMore() {
        answerStart(OptionalLong.of(CLOCK_AT_START - 1));
        int holds = d.port.holds.size();
        d.submit("b", StepSpec.builder(1, SchedulerDriver.NEED).build());
        d.completeSaves();
        assertEquals(holds + 1, d.port.holds.size());
        assertEquals(1, d.port.starts.size());
    }

    /** Guards against an unnoticed restart after which the clock is ahead of the earlier one. */
    @Test
    void clockAheadIndicatesARestart() {
        answerStart(OptionalLong.of(CLOCK_AT_START + d.now + 60_000));
        assertEquals(1, indications());
    }

    /** Guards against taking a slow clock for a restart. */
    @Test
    void continuingClockIndicatesNone() {
        answerStart(OptionalLong.of(CLOCK_AT_START + 295));
        assertEquals(0, indications());
    }

    /** Guards against taking an answer without a clock for a restart. */
    @Test
    void missingClockIndicatesNone() {
        answerStart(OptionalLong.empty());
        assertEquals(0, indications());
    }
}
