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
import static org.lupinpaddle.model.RuleAssertions.assertRulesHold;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Histories in which workers restart under their ids and are cut off soon after. */
class RestartCutsTest {

    private static World world(long seed, int faults) {
        return new World(seed, faults).withRestartCuts(seed);
    }

    /** A start is executed by an incarnation that has not answered a hold before it is cut off. */
    @Nested
    class StartBeforeTheFirstAnswer {

        /** Guards against giving up a run that the incarnation keeps for longer than the former clock says. */
        @ParameterizedTest
        @ValueSource(longs = {12400271, 12400878})
        void isNotGivenUpEarly(long seed) {
            assertRulesHold(seed, 0, world(seed, 0));
        }

        /** Guards against giving up a task while a start without an answer may still be executed. */
        @Test
        void isNotGivenUpEarlyWithoutAnAnswer() {
            assertRulesHold(12400744, 0, world(12400744, 0));
        }
    }

    @Nested
    class SeededHistories {

        private static final String RESTART = "restart of";

        /** Guards against runs that overlap, or tasks that are not done, after other restarts and cuts. */
        @Test
        void satisfyRules() {
            LongStream.range(0, 60).parallel().forEach(seed -> assertRulesHold(seed, 0, world(seed, 0)));
        }

        /** Guards against the same failures while owners change, halls are cut off and the store is unavailable. */
        @Test
        void satisfyRulesUnderOtherFaults() {
            LongStream.range(0, 60).parallel().forEach(seed -> assertRulesHold(seed, 4, world(seed, 4)));
        }

        /** Guards against histories that differ from those without the option before the first restart. */
        @Test
        void agreeWithHistoriesWithoutCutsUntilTheFirstRestart() {
            for (long seed = 0; seed < 5; seed++) {
                List<String> with = historyOf(world(seed, 4));
                List<String> common = with.stream()
                        .takeWhile(l -> !l.contains(RESTART) && !l.contains("owner "))
                        .toList();
                List<String> without = historyOf(new World(seed, 4));
                assertEquals(common, without.subList(0, common.size()), "seed " + seed);
            }
        }

        private static List<String> historyOf(World w) {
            w.run();
            return w.history();
        }
    }
}
