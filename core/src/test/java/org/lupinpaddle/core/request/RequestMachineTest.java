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
package org.lupinpaddle.core.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.common.Verdict;

class RequestMachineTest {

    private static RequestMachine machine(boolean repeatable) {
        CallerRequest r = CallerRequest.builder("r", "s")
                .times(0, 1_000)
                .repeatable(repeatable)
                .build();
        RequestMachine m = new RequestMachine(r, new RetryBudget());
        m.onEvent(new RequestEvent.Arrived(), 0);
        return m;
    }

    private static RequestAction.GiveUp gaveUp(List<RequestAction> actions) {
        return actions.stream()
                .filter(a -> a instanceof RequestAction.GiveUp)
                .map(a -> (RequestAction.GiveUp) a)
                .findFirst()
                .orElseThrow(() -> new AssertionError("not given up: " + actions));
    }

    @Nested
    class GivingUp {

        @Test
        void answersAtOnceWithAVerdictWhileWaiting() {
            RequestMachine m = machine(false);
            List<RequestAction> a = m.onEvent(new RequestEvent.CallerDisconnected(), 5);
            assertEquals(Verdict.NOT_RUN, gaveUp(a).verdict());
            assertTrue(a.contains(new RequestAction.CancelSlotRequest()));
            assertTrue(m.isFinished());
        }

        @Test
        void holdsTheSlotOfASentRequestUntilTheWorkerIsDone() {
            RequestMachine m = machine(false);
            m.onEvent(new RequestEvent.SlotGranted(7, "w"), 1);
            List<RequestAction> a = m.onEvent(new RequestEvent.CallerDisconnected(), 5);
            assertEquals(Verdict.MAY_HAVE_RUN, gaveUp(a).verdict());
            assertFalse(m.isFinished(), "the worker may still be busy");
            List<RequestAction> end = m.onEvent(new RequestEvent.AttemptEnded(1, AttemptOutcome.ANSWERED), 9);
            assertEquals(List.of(new RequestAction.ReleaseSlot(7, "w", AttemptOutcome.ANSWERED)), end);
            assertTrue(m.isFinished());
        }

        @Test
        void returnsARetryDelayAfterTheDeadline() {
            RequestMachine m = machine(false);
            RequestAction.GiveUp g = gaveUp(m.onEvent(new RequestEvent.DeadlinePassed(), 1_000));
            assertEquals(GiveUpReason.EXPIRED, g.reason());
            assertTrue(g.retryAfterMillis() > 0);
        }
    }

    @Nested
    class Retrying {

        @Test
        void resendsANonRepeatableRequestOnlyIfItDidNotRun() {
            RequestMachine m = machine(false);
            m.onEvent(new RequestEvent.SlotGranted(1, "w1"), 1);
            List<RequestAction> again = m.onEvent(new RequestEvent.AttemptEnded(1, AttemptOutcome.REFUSED_LEAVING), 2);
            assertTrue(again.stream().anyMatch(a -> a instanceof RequestAction.RequestSlot));
            m.onEvent(new RequestEvent.SlotGranted(2, "w2"), 3);
            List<RequestAction> broken = m.onEvent(new RequestEvent.AttemptEnded(2, AttemptOutcome.BROKEN), 4);
            assertEquals(Verdict.MAY_HAVE_RUN, gaveUp(broken).verdict());
        }

        @Test
        void givesUpARequestThatFailsOnThreeWorkers() {
            RequestMachine m = machine(true);
            for (int i = 1; i <= 2; i++) {
                m.onEvent(new RequestEvent.SlotGranted(i, "w" + i), i);
                m.onEvent(new RequestEvent.AttemptEnded(i, AttemptOutcome.FAILED), i);
            }
            m.onEvent(new RequestEvent.SlotGranted(3, "w3"), 3);
            List<RequestAction> end = m.onEvent(new RequestEvent.AttemptEnded(3, AttemptOutcome.FAILED), 3);
            assertEquals(GiveUpReason.CAN_NOT_RUN, gaveUp(end).reason());
        }

        @Test
        void stopsWhenTheBudgetIsExhausted() {
            RetryBudget b = new RetryBudget();
            while (b.tryAcquire()) {
                // Exhausts the budget.
            }
            RequestMachine m = new RequestMachine(
                    CallerRequest.builder("r", "s")
                            .times(0, 1_000)
                            .repeatable(true)
                            .build(),
                    b);
            m.onEvent(new RequestEvent.Arrived(), 0);
            m.onEvent(new RequestEvent.SlotGranted(1, "w"), 1);
            List<RequestAction> a = m.onEvent(new RequestEvent.AttemptEnded(1, AttemptOutcome.NOT_SENT), 2);
            assertEquals(GiveUpReason.NO_RETRY, gaveUp(a).reason());
            assertEquals(Verdict.NOT_RUN, gaveUp(a).verdict());
        }
    }

    @Nested
    class EventsOfAnEarlierAttempt {

        @Test
        void areIgnored() {
            RequestMachine m = machine(true);
            m.onEvent(new RequestEvent.SlotGranted(1, "w1"), 1);
            m.onEvent(new RequestEvent.AttemptEnded(1, AttemptOutcome.BROKEN), 2);
            m.onEvent(new RequestEvent.SlotGranted(2, "w2"), 3);
            assertEquals(List.of(), m.onEvent(new RequestEvent.AttemptEnded(1, AttemptOutcome.ANSWERED), 4));
            assertTrue(m.onEvent(new RequestEvent.AttemptEnded(2, AttemptOutcome.ANSWERED), 5)
                    .contains(new RequestAction.ForwardResponse(2)));
        }
    }
}
