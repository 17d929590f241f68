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
package org.lupinpaddle.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.lupinpaddle.model.RuleAssertions.assertRulesHold;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Histories in which the store is away, slow or loses answers while short tasks end beside long-running ones. */
class StoreOutagesTest {

    private static World world(long seed) {
        return new World(seed, 0).withStoreOutages(seed);
    }

    @Nested
    class RunsOnReachableWorkers {

        /** Guards against runs that lapse on workers that answer each poll, while a result of theirs is not durable. */
        @ParameterizedTest
        @ValueSource(longs = {9995000, 9995002, 9995016, 9995017, 9995022, 9995036})
        void doNotLapse(long seed) {
            assertRulesHold(seed, 0, world(seed));
        }
    }

    @Nested
    class SeededHistories {

        /** Guards against outages that differ from one run of a seed to the next. */
        @Test
        void areDeterministic() {
            assertEquals(historyUntilTrafficEnds(9995001), historyUntilTrafficEnds(9995001));
        }

        /** Guards against histories in which the store stays well. */
        @Test
        void haveOutages() {
            assertTrue(historyUntilTrafficEnds(9995001).contains("store "));
        }

        private static String historyUntilTrafficEnds(long seed) {
            World w = world(seed);
            w.runUntil(25_000);
            return String.join("\n", w.history());
        }
    }
}
