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
package org.lupinpaddle.core.ownership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests the ranking of entries for a duty and the choice of the entry that takes a duty over. */
class OwnerRankTest {

    private static final List<String> ENTRIES = List.of("large-1", "large-2", "small-1", "small-2", "small-3");
    private static final Map<String, Long> CAPACITIES =
            Map.of("large-1", 1_500L, "large-2", 1_500L, "small-1", 360L, "small-2", 360L, "small-3", 360L);

    @Nested
    class EntriesOfDifferentCapacity {

        @Test
        void largeEntriesTryFirst() {
            OwnerRank order = new OwnerRank(Map.of(), CAPACITIES);
            assertTrue(IntStream.range(0, 50).allMatch(i -> order.position("large-1", "duty-" + i, ENTRIES) < 2));
        }

        @Test
        void loadedLargeEntryTriesLast() {
            OwnerRank order = new OwnerRank(Map.of("large-1", 5), CAPACITIES);
            assertEquals(4, order.position("large-1", "duty", ENTRIES));
        }

        @Test
        void smallEntryHandsItsOnlyDutyToIdleLargeEntry() {
            OwnerRank order = new OwnerRank(Map.of("small-1", 1, "large-1", 1), CAPACITIES);
            assertEquals(Optional.of("large-2"), order.handOverTarget("small-1", ENTRIES));
        }

        @Test
        void handedOverDutyIsNotHandedBack() {
            for (int large = 0; large < 20; large++) {
                OwnerRank before = new OwnerRank(Map.of("small-1", 1, "large-1", large), CAPACITIES);
                OwnerRank after = new OwnerRank(Map.of("large-1", large + 1), CAPACITIES);
                List<String> two = List.of("small-1", "large-1");
                boolean handed = before.handOverTarget("small-1", two).isPresent();
                boolean back = after.handOverTarget("large-1", two).isPresent();
                assertTrue(!(handed && back), "with " + large);
            }
        }
    }

    @Nested
    class EntriesOfEqualCapacity {

        private static final List<String> TWO = List.of("one", "two");

        @Test
        void entryWithFewestDutiesTriesFirst() {
            OwnerRank order = new OwnerRank(Map.of("one", 1), Map.of());
            assertTrue(IntStream.range(0, 50).allMatch(i -> order.position("two", "duty-" + i, TWO) == 0));
        }

        @Test
        void handOverNeedsADifferenceOfTwoDuties() {
            assertEquals(
                    Optional.empty(), new OwnerRank(Map.of("one", 2, "two", 1), Map.of()).handOverTarget("one", TWO));
            assertEquals(
                    Optional.of("two"), new OwnerRank(Map.of("one", 3, "two", 1), Map.of()).handOverTarget("one", TWO));
        }
    }
}
