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

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class FencingTokensTest {

    private static final long LOWEST = FakeSchedulerPort.LOWEST_FENCE;

    private final FakeSchedulerPort port = new FakeSchedulerPort();
    private final FencingTokens tokens = new FencingTokens(port);

    @Nested
    class TheNextToken {

        @Test
        void isTheLowestUntilAnOrderIsSuperseded() {
            assertEquals(LOWEST, tokens.next("w1"));
            assertEquals(LOWEST, tokens.next("w1"));
        }

        @Test
        void isAboveASupersededOne() {
            tokens.supersede("w1", LOWEST);
            assertEquals(LOWEST + 1, tokens.next("w1"));
            assertEquals(LOWEST + 1, tokens.next("w1"));
            assertEquals(LOWEST, tokens.next("w2"));
        }

        /** Guards against using up tokens for orders that the worker rejects already. */
        @Test
        void isNotRaisedForAnOrderWithALowerToken() {
            tokens.supersede("w1", LOWEST);
            tokens.next("w1");
            tokens.supersede("w1", LOWEST);
            assertEquals(LOWEST + 1, tokens.next("w1"));
        }

        @Test
        void isAboveAllEarlierOnesOfALostWorker() {
            tokens.supersede("w1", LOWEST);
            tokens.next("w1");
            tokens.supersedeAll("w1");
            assertEquals(LOWEST + 2, tokens.next("w1"));
        }

        /** Guards against a token that a later owner might have. */
        @Test
        void isRaisedOnlyToRevisionsOfTheOwnersTime() {
            port.highestFence = LOWEST;
            tokens.supersede("w1", LOWEST);
            assertEquals(LOWEST, tokens.next("w1"));
            port.highestFence = LOWEST + 1;
            assertEquals(LOWEST + 1, tokens.next("w1"));
            tokens.supersedeAll("w1");
            assertEquals(LOWEST + 1, tokens.next("w1"));
        }
    }
}
