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
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.capacity.WorkerLoad;
import org.lupinpaddle.core.job.StepSpec;

/** Whether a worker that left an order unanswered counts as out of reach. */
class UnresponsiveWorkerTest {

    private static final StepSpec ONE =
            StepSpec.builder(1, SchedulerDriver.NEED).build();
    // As long as a start waits for its answer.
    private static final long CALL_MILLIS = 500;
    private static final long ROUND_TRIP_MILLIS = 5;
    // As long as a hold waits on a worker that runs nothing when it is sent.
    private static final long IDLE_WAIT_MILLIS = 2_000;
    // Records that change within this time are written together.
    private static final long GATHERING_MILLIS = 50;

    private final SchedulerDriver d = new SchedulerDriver();

    private void handIn(String job) {
        d.submit(job, ONE);
        d.advance(GATHERING_MILLIS);
        d.completeSaves();
    }

    private StartOrder starts(String job) {
        handIn(job);
        StartOrder s = d.lastStart();
        assertEquals(job, s.jobId());
        return s;
    }

    private void onlyWorkerAnswers() {
        d.listWorkers("w1");
        d.answerHold("w1", List.of(), List.of());
        d.advance(ROUND_TRIP_MILLIS);
    }

    private boolean isStarted(String job) {
        return d.port.starts.stream().anyMatch(s -> s.jobId().equals(job));
    }

    private boolean isReached() {
        return d.scheduler.report().workers().stream().allMatch(WorkerLoad::reached);
    }

    @Nested
    class Placing {

        @Test
        void goesOnOnceTheNextStartIsAnswered() {
            onlyWorkerAnswers();
            StartOrder first = starts("a");
            d.advance(CALL_MILLIS);
            d.scheduler.onStarted(first, OrderOutcome.UNKNOWN);
            d.advance(CALL_MILLIS);
            StartOrder again = d.lastStart();
            assertNotEquals(first, again);
            d.advance(ROUND_TRIP_MILLIS);
            d.scheduler.onStarted(again, OrderOutcome.ACCEPTED);
            handIn("b");
            assertTrue(isStarted("b"), "the worker has answered; a hold that waits for an end says no more");
        }

        @Test
        void goesOnWhenALaterOrderWasAnsweredMeanwhile() {
            onlyWorkerAnswers();
            StartOrder lost = starts("a");
            StartOrder answered = starts("b");
            d.advance(ROUND_TRIP_MILLIS);
            d.scheduler.onStarted(answered, OrderOutcome.ACCEPTED);
            d.advance(CALL_MILLIS);
            d.scheduler.onStarted(lost, OrderOutcome.UNKNOWN);
            handIn("c");
            assertTrue(isStarted("c"));
        }

        @Test
        void waitsWhenAllAnswersAreOlderThanTheOrder() {
            onlyWorkerAnswers();
            StartOrder answered = starts("a");
            d.advance(ROUND_TRIP_MILLIS);
            d.scheduler.onStarted(answered, OrderOutcome.ACCEPTED);
            d.advance(ROUND_TRIP_MILLIS);
            StartOrder lost = starts("b");
            d.advance(CALL_MILLIS);
            d.scheduler.onStarted(lost, OrderOutcome.UNKNOWN);
            handIn("c");
            assertFalse(isStarted("c"));
        }
    }

    @Nested
    class Looking {

        @Test
        void countsAHoldByWhenItsAnswerWasDue() {
            onlyWorkerAnswers();
            StartOrder answered = starts("a");
            d.advance(ROUND_TRIP_MILLIS);
            d.scheduler.onStarted(answered, OrderOutcome.ACCEPTED);
            d.advance(IDLE_WAIT_MILLIS + CALL_MILLIS);
            d.leaveHoldUnanswered("w1");
            handIn("b");
            assertFalse(isStarted("b"), "the worker was last heard long before the hold was to be answered");
        }

        @Test
        void endsTheDoubtAlsoWhereTheHoldFailedBeforeItWasDue() {
            onlyWorkerAnswers();
            d.leaveHoldUnanswered("w1");
            d.advance(ROUND_TRIP_MILLIS);
            d.answerHold("w1", List.of(), List.of());
            handIn("a");
            assertTrue(isStarted("a"));
        }

        @Test
        void followsTheFirstSilenceAtOnce() {
            onlyWorkerAnswers();
            int before = d.port.holds.size();
            d.leaveHoldUnanswered("w1");
            assertEquals(before + 1, d.port.holds.size());
        }

        @Test
        void doesNotWaitForAnEnd() {
            onlyWorkerAnswers();
            d.leaveHoldUnanswered("w1");
            d.advance(CALL_MILLIS);
            assertEquals(0, d.port.holds.get(d.port.holds.size() - 1).waitMillis());
        }
    }

    @Nested
    class Reporting {

        @Test
        void countsTheWorkerAsReachedAfterOneSilence() {
            onlyWorkerAnswers();
            d.leaveHoldUnanswered("w1");
            assertTrue(isReached(), "one lost answer is no reason to fetch an instance in its place");
        }

        @Test
        void countsItAsOutOfReachWhenTheNextLookIsUnansweredToo() {
            onlyWorkerAnswers();
            d.leaveHoldUnanswered("w1");
            d.advance(CALL_MILLIS);
            d.leaveHoldUnanswered("w1");
            assertFalse(isReached());
        }
    }
}
