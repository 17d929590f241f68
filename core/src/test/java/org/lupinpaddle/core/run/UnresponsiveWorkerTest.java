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

/** Tests when a worker that left an order unanswered counts as unreachable. */
class UnresponsiveWorkerTest {

    private static final StepSpec ONE =
            StepSpec.builder(1, SchedulerDriver.NEED).build();
    // The timeout of a start.
    private static final long CALL_MILLIS = 500;
    private static final long ROUND_TRIP_MILLIS = 5;
    // The long-poll time of a hold on an idle worker.
    private static final long IDLE_WAIT_MILLIS = 2_000;
    // Changes within this time are written together.
    private static final long BATCH_MILLIS = 50;

    private final SchedulerDriver d = new SchedulerDriver();

    private void submitAndSave(String job) {
        d.submit(job, ONE);
        d.advance(BATCH_MILLIS);
        d.completeSaves();
    }

    private StartOrder submitAndStart(String job) {
        submitAndSave(job);
        StartOrder s = d.lastStart();
        assertEquals(job, s.jobId());
        return s;
    }

    private void listTheOnlyWorker() {
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
    class Placement {

        @Test
        void resumesOnceTheNextStartIsAnswered() {
            listTheOnlyWorker();
            StartOrder first = submitAndStart("a");
            d.advance(CALL_MILLIS);
            d.scheduler.onStarted(first, OrderOutcome.UNKNOWN);
            d.advance(CALL_MILLIS);
            StartOrder again = d.lastStart();
            assertNotEquals(first, again);
            d.advance(ROUND_TRIP_MILLIS);
            d.scheduler.onStarted(again, OrderOutcome.ACCEPTED);
            submitAndSave("b");
            assertTrue(isStarted("b"), "the worker has answered; a pending long poll proves nothing more");
        }

        @Test
        void continuesIfALaterOrderWasAnswered() {
            listTheOnlyWorker();
            StartOrder lost = submitAndStart("a");
            StartOrder answered = submitAndStart("b");
            d.advance(ROUND_TRIP_MILLIS);
            d.scheduler.onStarted(answered, OrderOutcome.ACCEPTED);
            d.advance(CALL_MILLIS);
            d.scheduler.onStarted(lost, OrderOutcome.UNKNOWN);
            submitAndSave("c");
            assertTrue(isStarted("c"));
        }

        @Test
        void waitsIfAllAnswersAreOlderThanTheOrder() {
            listTheOnlyWorker();
            StartOrder answered = submitAndStart("a");
            d.advance(ROUND_TRIP_MILLIS);
            d.scheduler.onStarted(answered, OrderOutcome.ACCEPTED);
            d.advance(ROUND_TRIP_MILLIS);
            StartOrder lost = submitAndStart("b");
            d.advance(CALL_MILLIS);
            d.scheduler.onStarted(lost, OrderOutcome.UNKNOWN);
            submitAndSave("c");
            assertFalse(isStarted("c"));
        }
    }

    @Nested
    class Polling {

        @Test
        void dependsOnWhenTheAnswerToAHoldWasDue() {
            listTheOnlyWorker();
            StartOrder answered = submitAndStart("a");
            d.advance(ROUND_TRIP_MILLIS);
            d.scheduler.onStarted(answered, OrderOutcome.ACCEPTED);
            d.advance(IDLE_WAIT_MILLIS + CALL_MILLIS);
            d.leaveHoldUnanswered("w1");
            submitAndSave("b");
            assertFalse(isStarted("b"), "the last response was long before the answer to the hold was due");
        }

        @Test
        void clearsTheUnresponsiveStateIfTheHoldFailedBeforeItWasDue() {
            listTheOnlyWorker();
            d.leaveHoldUnanswered("w1");
            d.advance(ROUND_TRIP_MILLIS);
            d.answerHold("w1", List.of(), List.of());
            submitAndSave("a");
            assertTrue(isStarted("a"));
        }

        @Test
        void followsTheFirstUnansweredCallAtOnce() {
            listTheOnlyWorker();
            int before = d.port.holds.size();
            d.leaveHoldUnanswered("w1");
            assertEquals(before + 1, d.port.holds.size());
        }

        @Test
        void doesNotUseLongPolling() {
            listTheOnlyWorker();
            d.leaveHoldUnanswered("w1");
            d.advance(CALL_MILLIS);
            assertEquals(0, d.port.holds.get(d.port.holds.size() - 1).waitMillis());
        }
    }

    @Nested
    class Reporting {

        @Test
        void countsTheWorkerAsReachableAfterOneUnansweredCall() {
            listTheOnlyWorker();
            d.leaveHoldUnanswered("w1");
            assertTrue(isReached(), "one lost answer must not cause a replacement of the instance");
        }

        @Test
        void countsItAsUnreachableAfterTwoUnansweredCalls() {
            listTheOnlyWorker();
            d.leaveHoldUnanswered("w1");
            d.advance(CALL_MILLIS);
            d.leaveHoldUnanswered("w1");
            assertFalse(isReached());
        }
    }
}
