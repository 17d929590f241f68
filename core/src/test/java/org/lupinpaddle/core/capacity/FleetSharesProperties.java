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
package org.lupinpaddle.core.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;

/** Tests invariants of the division for arbitrary fleets. */
class FleetSharesProperties {

    @Provide
    Arbitrary<List<FleetShares.Claim>> claims() {
        Arbitrary<int[]> one = Combinators.combine(
                        Arbitraries.integers().between(0, 4),
                        Arbitraries.integers().between(0, 60),
                        Arbitraries.integers().between(0, 60))
                .as((least, more, late) -> new int[] {least, least + more, late});
        return one.list().ofMinSize(1).ofMaxSize(12).map(all -> {
            List<FleetShares.Claim> claims = new ArrayList<>();
            all.forEach(n -> claims.add(new FleetShares.Claim("p" + claims.size(), n[0], n[1], n[2], n[2] / 2)));
            return claims;
        });
    }

    private static int sum(Map<String, Integer> shares) {
        return shares.values().stream().mapToInt(Integer::intValue).sum();
    }

    private static int share(Map<String, Integer> shares, FleetShares.Claim c) {
        return shares.getOrDefault(c.pool(), -1);
    }

    private static int totalRequested(FleetShares.Claim c) {
        return c.required() + c.late() + c.optional();
    }

    @Property
    void neverAllocatesMoreThanAvailableOrRequested(
            @ForAll("claims") List<FleetShares.Claim> claims, @ForAll @IntRange(max = 300) int instances) {
        Map<String, Integer> shares = FleetShares.divide(instances, claims);
        int asked =
                claims.stream().mapToInt(FleetSharesProperties::totalRequested).sum();
        assertEquals(Math.min(instances, asked), sum(shares));
        claims.forEach(c -> assertTrue(share(shares, c) >= 0 && share(shares, c) <= totalRequested(c)));
    }

    /** Guards against requests whose sum overflows, so that each of them is allocated in full. */
    @Property(tries = 100)
    void neverAllocatesMoreThanAvailableToHugeRequests(@ForAll @IntRange(max = 300) int instances) {
        int huge = Integer.MAX_VALUE;
        List<FleetShares.Claim> claims = List.of(
                new FleetShares.Claim("p1", 1, huge, huge, huge), new FleetShares.Claim("p2", 1, huge, huge, huge));
        assertEquals(instances, sum(FleetShares.divide(instances, claims)));
    }

    @Property
    void lateWorkGetsNothingWhileRequiredWorkLacksInstances(
            @ForAll("claims") List<FleetShares.Claim> claims, @ForAll @IntRange(max = 300) int instances) {
        Map<String, Integer> shares = FleetShares.divide(instances, claims);
        boolean anyLacksRequired = claims.stream().anyMatch(c -> share(shares, c) < c.required());
        boolean anyExceedsRequired = claims.stream().anyMatch(c -> share(shares, c) > c.required());
        assertTrue(!anyLacksRequired || !anyExceedsRequired, shares.toString());
    }

    @Property
    void aLargerClaimNeverGetsLess(
            @ForAll("claims") List<FleetShares.Claim> claims, @ForAll @IntRange(max = 300) int instances) {
        Map<String, Integer> shares = FleetShares.divide(instances, claims);
        for (FleetShares.Claim a : claims) {
            for (FleetShares.Claim b : claims) {
                boolean requestsNoMore = a.minimum() <= b.minimum()
                        && a.required() - a.minimum() <= b.required() - b.minimum()
                        && a.late() <= b.late();
                // With equal remainders, the larger claim may get one less for each of the four allocation
                // rounds.
                assertTrue(!requestsNoMore || share(shares, a) <= share(shares, b) + 4, shares.toString());
            }
        }
    }
}
