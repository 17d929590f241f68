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
import org.lupinpaddle.core.placement.WorkerIncarnation;

/** Tests what the clock in an answer tells of the incarnation that gave it. */
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

    /** Guards against taking a clock that runs 2% slow for a restart. */
    @Test
    void slowClockIndicatesNone() {
        answerStart(OptionalLong.of(CLOCK_AT_START + 294));
        assertEquals(0, indications());
    }

    /** Guards against an unnoticed restart after which the clock lies shortly behind the one to be expected. */
    @Test
    void clockThatHasNotAdvancedIndicatesARestart() {
        answerStart(OptionalLong.of(CLOCK_AT_START + 100));
        assertEquals(1, indications());
    }

    /** Guards against an unnoticed restart where the former incarnation's answer arrives after the start was sent. */
    @Test
    void answerOfTheFormerIncarnationMeanwhileHidesNothing() {
        d.answerHold("w1", List.of(), List.of());
        answerStart(OptionalLong.of(500));
        assertEquals(1, indications());
    }

    /** Guards against taking an answer that was overtaken for a restart. */
    @Test
    void overtakenAnswerIndicatesNone() {
        long clock = CLOCK_AT_START + d.now;
        d.advance(50);
        d.answerHold("w1", List.of(), List.of());
        answerStart(OptionalLong.of(clock + 1));
        assertEquals(0, indications());
    }

    /** Guards against acknowledging results of an incarnation whose birth is unknown and whose clock is ahead. */
    @Test
    void holdAnsweredByAClockAheadShowsARestart() {
        d.answerHoldAs("w1", WorkerIncarnation.UNREADABLE_START, CLOCK_AT_START + 60_000, List.of(), List.of());
        assertEquals(1, d.port.events(SchedulerEvent.Kind.WORKER_RESTARTED).size());
    }

    /** Guards against taking an answer without a clock for a restart. */
    @Test
    void missingClockIndicatesNone() {
        answerStart(OptionalLong.empty());
        assertEquals(0, indications());
    }
}
