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
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.job.StepSpec;

/** Tests queues whose policy requires advice on which workers may run a step. */
class AdvisorTest {

    private static final StepSpec ONE =
            StepSpec.builder(1, SchedulerDriver.NEED).build();

    private final SchedulerDriver d = new SchedulerDriver();

    private AdviceRequest requestAdviceOnTwoWorkers() {
        d.advised = true;
        d.listWorkers("w1", "w2");
        d.answerHold("w1", List.of(), List.of());
        d.answerHold("w2", List.of(), List.of());
        d.submit("a", ONE);
        assertTrue(d.port.saves.isEmpty(), "nothing may be placed without a ticket");
        assertEquals(1, d.port.advice.size());
        return d.port.advice.get(0);
    }

    @Nested
    class AStep {

        @Test
        void startsWithItsTicketOnAPermittedWorker() {
            AdviceRequest order = requestAdviceOnTwoWorkers();
            assertEquals(List.of("w1", "w2"), order.workers());
            d.scheduler.onAdvice(order, new AdviceResponse(Map.of("w2", "t-1"), 3_000));
            d.advance(0);
            d.completeSaves();
            assertEquals("w2", d.lastStart().worker().id());
            assertEquals("t-1", d.lastStart().ticket());
        }

        @Test
        void repeatsAnUnansweredRequest() {
            AdviceRequest order = requestAdviceOnTwoWorkers();
            d.scheduler.onAdvice(order, null);
            d.advance(0);
            assertEquals(1, d.port.advice.size());
            d.advance(300);
            assertEquals(2, d.port.advice.size());
        }

        @Test
        void doesNotRequestAdviceAgainOnRejectedWorkers() {
            AdviceRequest order = requestAdviceOnTwoWorkers();
            d.scheduler.onAdvice(order, new AdviceResponse(Map.of(), 3_000));
            d.advance(1_000);
            assertEquals(1, d.port.advice.size(), "the service's decision does not change");
        }

        @Test
        void getsANewTicketWhenTheOldOneHasExpired() {
            AdviceRequest order = requestAdviceOnTwoWorkers();
            d.scheduler.onAdvice(order, new AdviceResponse(Map.of("w2", "t-1"), 500));
            d.advance(0);
            assertTrue(d.port.saves.isEmpty(), "the ticket would expire before the start arrives");
            assertEquals(2, d.port.advice.size());
            assertEquals(List.of("w2"), d.port.advice.get(1).workers());
        }

        @Test
        void requestsAdviceAgainWhenTheWorkerRejectsTheTicket() {
            AdviceRequest order = requestAdviceOnTwoWorkers();
            d.scheduler.onAdvice(order, new AdviceResponse(Map.of("w2", "t-1"), 3_000));
            d.advance(0);
            d.completeSaves();
            d.scheduler.onStarted(d.lastStart(), OrderOutcome.NO_TICKET);
            d.advance(0);
            assertEquals(2, d.port.advice.size());
        }
    }
}
