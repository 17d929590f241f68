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
import static org.junit.jupiter.api.Assertions.fail;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Worlds as large as the largest that the product is made for. */
class LargeSiteTest {

    // Callers choose their text. With this one, the records of 500 jobs are a page of 0.95 MB: one may have 1 MB.
    private static final int TEXT_BYTES = 300;
    private static final long POWER_LOSS_AFTER_MILLIS = 41_000;

    /** All entries lose power in the middle of the demand; 15 s after they are back, service is to be back. */
    @Nested
    class PowerLoss {

        // 7 and 140 Mbit/s: the thinnest and the best link that an entry may have.
        private static final long MIN_BYTES_PER_MILLI = 875;
        private static final long MAX_BYTES_PER_MILLI = 17_500;

        @Test
        void recoversAtMinimumBandwidth() {
            assertRecovers(Site.large(TEXT_BYTES, MIN_BYTES_PER_MILLI));
        }

        @Test
        void recoversAtMaximumBandwidth() {
            assertRecovers(Site.large(TEXT_BYTES, MAX_BYTES_PER_MILLI));
        }

        @Test
        void recoversWithTwoKindsOfEntries() {
            assertRecovers(Site.withTwoEntryKinds(TEXT_BYTES));
        }

        /** An owner's first holds go out together, and their answers carry all that its workers run. */
        @Test
        void recoversWith250WorkersPerOwnerAtMinimumBandwidth() {
            assertRecovers(Site.oneLargeService(TEXT_BYTES, MIN_BYTES_PER_MILLI));
        }

        private static void assertRecovers(Site site) {
            World w = new World(1, site);
            try {
                w.runPowerLoss(POWER_LOSS_AFTER_MILLIS);
            } catch (RuleViolationException e) {
                fail(e.getMessage() + "\n" + String.join("\n", relevantLines(w.history())));
            }
        }

        /** Thousands of jobs are handed in: what became of each says little, nor does each move of an instance. */
        private static List<String> relevantLines(List<String> history) {
            return history.stream()
                    .filter(l -> !l.contains("submit ") && !l.contains("told ") && !l.contains("order "))
                    .toList();
        }
    }

    /** The store is away for longer than all leases last: every duty is free at the moment of its return. */
    @Nested
    class StoreOutage {

        private static final long OUTAGE_START = 9_000;
        private static final long OUTAGE_MILLIS = 3_600;
        // Not all entries find at the same moment that it is back.
        private static final int RECONNECT_SPREAD_MILLIS = 400;
        private static final long POLL_MILLIS = 10;
        private static final long OBSERVATION_MILLIS = 6_000;

        /** Each owner reads all that its predecessors left, asks every worker, and starts nothing meanwhile. */
        @Test
        void isFollowedByStableOwnership() {
            for (long seed = 1; seed <= 3; seed++) {
                World w = new World(seed, Site.withTwoEntryKinds(0));
                w.runUntil(OUTAGE_START);
                w.net.storeFault = CallFault.REFUSED;
                w.time.runUntil(OUTAGE_START + OUTAGE_MILLIS);
                w.net.storeFault = CallFault.NONE;
                w.entries.forEach(e -> {
                    w.net.storeFaults.put(e.name, CallFault.REFUSED);
                    w.time.schedule(w.random.nextInt(RECONNECT_SPREAD_MILLIS), () -> w.net.storeFaults.remove(e.name));
                });
                Map<String, Set<Long>> fences = new TreeMap<>();
                for (long t = 0; t < OBSERVATION_MILLIS; t += POLL_MILLIS) {
                    w.time.runUntil(OUTAGE_START + OUTAGE_MILLIS + t);
                    for (String duty : List.of("news", "archive", "promo", "partner", "@fleet")) {
                        if (w.fence(duty) > 0) {
                            fences.computeIfAbsent(duty, d -> new TreeSet<>()).add(w.fence(duty));
                        }
                    }
                }
                assertEquals(5, fences.size(), "seed " + seed + ": " + fences);
                // One more than the first: a small entry may win a duty while the large ones come back.
                assertTrue(fences.values().stream().allMatch(f -> f.size() <= 2), "seed " + seed + ": " + fences);
            }
        }
    }
}
