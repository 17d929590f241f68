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

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;

/**
 * Divides the instances of a fleet between its pools. First each pool's least; then work that can still end within its
 * objective, each pool in proportion where there is not enough for all; then late work and the rest alike. What is left belongs to no
 * pool. Pools that were each sized alone kept instances for work that was worth nothing any more while another pool's
 * jobs became late (docs/POLICY.md).
 */
public final class FleetShares {

    private FleetShares() {}

    /**
     * What a pool asks for, in instances.
     *
     * @param pool its name
     * @param minimum what it has in any case
     * @param required what it needs so that work ends within its objective, the least included
     * @param late what late work would take besides
     * @param optional what all other work would take: what is foreseen, and what is too late to count
     */
    public record Claim(String pool, int minimum, int required, int late, int optional) {}

    /** Returns how many instances each pool is to have; never more in all than there are. */
    public static Map<String, Integer> divide(int instances, List<Claim> claims) {
        Map<String, Integer> shares = new LinkedHashMap<>();
        claims.forEach(c -> shares.put(c.pool(), 0));
        int available = instances;
        available -= allocate(available, claims, Claim::minimum, shares);
        available -= allocate(available, claims, c -> Math.max(0, c.required() - c.minimum()), shares);
        available -= allocate(available, claims, Claim::late, shares);
        allocate(available, claims, Claim::optional, shares);
        return shares;
    }

    /** Gives each pool what it asks for, or its part by the largest remainders; returns how many were given. */
    private static int allocate(
            int available, List<Claim> claims, ToIntFunction<Claim> requestedBy, Map<String, Integer> shares) {
        int requestedTotal = claims.stream().mapToInt(requestedBy).sum();
        if (requestedTotal <= available) {
            claims.forEach(c -> shares.merge(c.pool(), requestedBy.applyAsInt(c), Integer::sum));
            return requestedTotal;
        }
        int allocated = 0;
        for (Claim c : claims) {
            int share = (int) ((long) available * requestedBy.applyAsInt(c) / requestedTotal);
            shares.merge(c.pool(), share, Integer::sum);
            allocated += share;
        }
        List<Claim> byRemainder = new ArrayList<>(claims);
        int availableTotal = available;
        byRemainder.sort(Comparator.<Claim>comparingLong(
                        c -> -((long) availableTotal * requestedBy.applyAsInt(c) % requestedTotal))
                .thenComparing(Claim::pool));
        for (int i = 0; allocated < available; i++) {
            shares.merge(byRemainder.get(i).pool(), 1, Integer::sum);
            allocated++;
        }
        return allocated;
    }
}
