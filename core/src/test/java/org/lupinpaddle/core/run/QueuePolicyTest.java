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
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.job.EndKind;
import org.lupinpaddle.core.job.JobKey;
import org.lupinpaddle.core.job.Policy;
import org.lupinpaddle.core.job.Repeat;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.job.TaskId;
import org.lupinpaddle.core.queue.JobConfiguration;
import org.lupinpaddle.core.queue.QueueConfig;
import org.lupinpaddle.core.queue.ServiceConfig;

/** Tests configurations that change the policy of a queue while it has jobs. */
class QueuePolicyTest {

    private static final TaskId TASK = new TaskId(0, 0, 0);
    // One start a second.
    private static final int MAX_STARTS_IN_10_SECONDS = 10;
    private static final Policy PLAIN = new Policy(0, 3, 1.5, 500, false);
    private static final StepSpec ONE =
            StepSpec.builder(1, SchedulerDriver.NEED).build();
    private static final StepSpec LONG_RUNNING =
            StepSpec.builder(1, SchedulerDriver.NEED).longRunning(true, 0).build();

    private final SchedulerDriver d = new SchedulerDriver();
    private long version;

    private void configure(QueueConfig... queues) {
        version++;
        d.scheduler.onConfiguration(new JobConfiguration(
                version, List.of(queues), List.of(new ServiceConfig("clips", false, true)), 1 << 18));
        d.advance(50);
    }

    private void configure(Policy policy) {
        configure(new QueueConfig("q", "host", "/clips/", "clips", policy));
    }

    private void listWorkers() {
        d.listWorkers("w1", "w2");
        d.answerHold("w1", List.of(), List.of());
        d.answerHold("w2", List.of(), List.of());
    }

    private void start(StartOrder o, OrderOutcome outcome) {
        d.scheduler.onStarted(o, outcome);
        d.advance(0);
    }

    private StartOrder startPlaced() {
        for (int i = 0; i < 3; i++) {
            d.advance(20);
            d.completeSaves();
        }
        return d.lastStart();
    }

    private void endRun(StartOrder o, long number, EndKind kind) {
        RunResult end = new RunResult(number, "a", o.task(), o.run(), kind, "");
        d.answerHold(o.worker().id(), List.of(), List.of(end));
        d.advance(500);
        d.completeSaves();
    }

    private AdviceRequest lastRequest() {
        return d.port.advice.get(d.port.advice.size() - 1);
    }

    private void grantTicket(String worker) {
        d.scheduler.onAdvice(lastRequest(), new AdviceResponse(Map.of(worker, "t-1"), 3_000));
        d.advance(0);
    }

    /** Guards against starts without a ticket that workers reject for ever, because the job was accepted before. */
    @Nested
    class AdviceThatIsAdded {

        @Test
        void appliesToTheNextRunOfAJobAcceptedBefore() {
            configure(PLAIN);
            listWorkers();
            d.submit("a", LONG_RUNNING);
            StartOrder first = startPlaced();
            assertEquals("", first.ticket());
            start(first, OrderOutcome.ACCEPTED);
            configure(PLAIN.withAdvice());
            endRun(first, 1, EndKind.FAILED);
            assertEquals(1, d.port.starts.size(), "started without a ticket");
            grantTicket("w2");
            assertEquals("t-1", startPlaced().ticket());
        }

        @Test
        void appliesToAJobThatWaits() {
            configure(PLAIN);
            d.submit("a", ONE);
            configure(PLAIN.withAdvice());
            listWorkers();
            assertTrue(d.port.saves.isEmpty(), "placed without a ticket");
            grantTicket("w1");
            assertEquals("t-1", startPlaced().ticket());
        }

        @Test
        void appliesToLaterIterations() {
            configure(PLAIN);
            listWorkers();
            d.submitRepeated("a", new Repeat(2, d.now, 5_000), ONE);
            StartOrder first = startPlaced();
            start(first, OrderOutcome.ACCEPTED);
            configure(PLAIN.withAdvice());
            endRun(first, 1, EndKind.DONE);
            d.advance(5_000);
            d.answerHold("w1", List.of(), List.of());
            d.answerHold("w2", List.of(), List.of());
            assertEquals(1, d.port.starts.size(), "started without a ticket");
            assertEquals(1, lastRequest().step().repetition());
        }

        @Test
        void appliesToAJobThatIsReadUnderIt() {
            configure(PLAIN.withAdvice());
            listWorkers();
            d.submit("a", ONE);
            assertTrue(d.port.saves.isEmpty(), "placed without a ticket");
        }
    }

    @Nested
    class AdviceThatIsRemoved {

        /** Guards against jobs that wait for an advice service which nobody needs to ask any more. */
        @Test
        void isNotRequestedForJobsAcceptedBefore() {
            d.advised = true;
            configure(PLAIN.withAdvice());
            listWorkers();
            d.submit("a", ONE);
            assertTrue(d.port.saves.isEmpty(), "placed without a ticket");
            configure(PLAIN);
            assertEquals("", startPlaced().ticket());
        }
    }

    /** Guards against repeating a rejected start unchanged while the workers apply another configuration. */
    @Nested
    class AWorkerThatRequiresATicket {

        private void rejectStartWithoutTicket() {
            configure(PLAIN);
            listWorkers();
            d.submit("a", ONE);
            start(startPlaced(), OrderOutcome.NO_TICKET);
            d.advance(50);
        }

        @Test
        void isSentNoFurtherStartWithoutOne() {
            rejectStartWithoutTicket();
            d.completeSaves();
            assertEquals(1, d.port.starts.size());
            grantTicket("w1");
            assertEquals("t-1", startPlaced().ticket());
        }

        @Test
        void isBelievedUntilTheNextConfiguration() {
            rejectStartWithoutTicket();
            configure(PLAIN);
            assertEquals("", startPlaced().ticket());
            assertEquals(2, d.port.starts.size());
        }

        @Test
        void isSentFewStartsIfItRejectsEachTicket() {
            rejectStartWithoutTicket();
            int answered = 0;
            int rejected = d.port.starts.size();
            for (int i = 0; i < 200; i++) {
                if (answered < d.port.advice.size()) {
                    answered = d.port.advice.size();
                    grantTicket("w1");
                }
                d.completeSaves();
                if (rejected < d.port.starts.size()) {
                    rejected = d.port.starts.size();
                    start(d.lastStart(), OrderOutcome.NO_TICKET);
                }
                d.advance(50);
                d.answerHold("w1", List.of(), List.of());
            }
            assertTrue(rejected <= MAX_STARTS_IN_10_SECONDS, "starts in 10 s: " + rejected);
        }
    }

    @Nested
    class MaxAttempts {

        private void failTwice() {
            configure(PLAIN);
            listWorkers();
            d.submit("a", ONE);
            for (int i = 1; i <= 2; i++) {
                StartOrder o = startPlaced();
                start(o, OrderOutcome.ACCEPTED);
                endRun(o, i, EndKind.FAILED);
            }
        }

        /** Guards against a start after as many failures as the configuration in force allows. */
        @Test
        void endTheJobIfTheyAreLowered() {
            configure(PLAIN);
            listWorkers();
            d.submit("a", ONE);
            StartOrder o = startPlaced();
            start(o, OrderOutcome.ACCEPTED);
            configure(new Policy(0, 1, 1.5, 500, false));
            endRun(o, 1, EndKind.FAILED);
            assertEquals(1, d.port.starts.size());
            assertFalse(d.port.events(SchedulerEvent.Kind.JOB_ENDED).isEmpty());
        }

        @Test
        void endAJobThatHasFailedAsOftenBefore() {
            failTwice();
            d.scheduler.onWorkers(List.of());
            configure(new Policy(0, 2, 1.5, 500, false));
            assertEquals(1, d.port.events(SchedulerEvent.Kind.JOB_ENDED).size());
        }
    }

    @Nested
    class AQueueThatLeavesTheConfiguration {

        @Test
        void keepsThePolicyOfItsJobs() {
            configure(PLAIN);
            listWorkers();
            configure();
            d.submit("a", ONE);
            assertEquals("", startPlaced().ticket());
            assertEquals(TASK, d.lastStart().task());
            assertEquals(new JobKey("q", "a").id(), d.lastStart().jobId());
        }
    }
}
