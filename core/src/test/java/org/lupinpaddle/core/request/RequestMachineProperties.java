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
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import org.lupinpaddle.core.common.Verdict;
import org.lupinpaddle.core.request.JobSimulation.DisabledRule;

/** Tests the guarantees of request handling under lost replies, crashes, cancellations and races in random order. */
class RequestMachineProperties {

    @Group
    class Guarantees {

        @Property(seed = "21", tries = 20_000, shrinking = ShrinkingMode.OFF)
        void aNonRepeatableJobRunsAtMostOnceAndNotRunIsCorrect(@ForAll long seed) {
            new JobSimulation(seed, false, null).run();
        }

        @Property(seed = "22", tries = 20_000, shrinking = ShrinkingMode.OFF)
        void aRepeatableJobIsAnsweredOnceAndNotRunIsCorrect(@ForAll long seed) {
            new JobSimulation(seed, true, null).run();
        }

        @Example
        void everyVerdictIsReached() {
            Set<Verdict> seen = EnumSet.noneOf(Verdict.class);
            for (long seed = 0; seed < 200; seed++) {
                JobSimulation w = new JobSimulation(seed, false, null);
                w.run();
                seen.addAll(w.verdicts());
            }
            assertEquals(EnumSet.allOf(Verdict.class), seen);
        }
    }

    /** Disables each rule in turn and verifies that the same checks detect it. */
    @Group
    class DisabledRules {

        private boolean isDetected(DisabledRule disabledRule) {
            for (long seed = 0; seed < 2_000; seed++) {
                try {
                    new JobSimulation(seed, false, disabledRule).run();
                } catch (AssertionError e) {
                    return true;
                }
            }
            return false;
        }

        @Example
        void aBrokenConnectionTreatedAsNotSent() {
            assertTrue(isDetected(DisabledRule.BROKEN_IS_NOT_SENT));
        }

        @Example
        void missingClaims() {
            assertTrue(isDetected(DisabledRule.NO_CLAIM));
        }

        @Example
        void aLostClaimReplyTreatedAsWon() {
            assertTrue(isDetected(DisabledRule.LOST_CLAIM_IS_WON));
        }
    }

    /** Sends arbitrary events in arbitrary order, including sequences that cannot occur. */
    @Group
    class AnyEvents {

        @Provide
        Arbitrary<List<RequestEvent>> events() {
            Arbitrary<RequestEvent> one = Arbitraries.oneOf(
                    Arbitraries.just(new RequestEvent.Arrived()),
                    Arbitraries.of(RequestEvent.ClaimResult.class).map(RequestEvent.ClaimCompleted::new),
                    Arbitraries.longs().between(1, 5).map(g -> new RequestEvent.SlotGranted(g, "w" + g % 3)),
                    Arbitraries.of(GiveUpReason.class).map(r -> new RequestEvent.SlotRefused(r, r.retryAfterMillis())),
                    Arbitraries.of(AttemptOutcome.class)
                            .flatMap(o ->
                                    Arbitraries.integers().between(0, 4).map(a -> new RequestEvent.AttemptEnded(a, o))),
                    Arbitraries.just(new RequestEvent.DeadlinePassed()),
                    Arbitraries.just(new RequestEvent.CallerDisconnected()));
            return one.list().ofMaxSize(25);
        }

        @Property(seed = "23", tries = 5_000)
        void atMostOneAnswerAndNothingIsSentAfterIt(@ForAll("events") List<RequestEvent> events) {
            CallerRequest r =
                    CallerRequest.builder("r", "s").times(0, 1_000).jobId("j").build();
            RequestMachine m = new RequestMachine(r, new RetryBudget());
            int answers = 0;
            for (RequestEvent e : events) {
                for (RequestAction a : m.onEvent(e, 1)) {
                    boolean sends = a instanceof RequestAction.Send
                            || a instanceof RequestAction.RequestSlot
                            || a instanceof RequestAction.AcquireClaim;
                    assertTrue(answers == 0 || !sends, "work was started after the answer");
                    answers += a instanceof RequestAction.ForwardResponse || a instanceof RequestAction.GiveUp ? 1 : 0;
                }
            }
            assertTrue(answers <= 1, "answered " + answers + " times");
        }
    }
}
