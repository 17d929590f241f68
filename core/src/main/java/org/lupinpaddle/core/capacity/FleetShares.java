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
 * Divides the instances of a fleet between its pools. The minimum of each pool comes first, then work that can
 * still meet its objective, in proportion if there are too few instances, then late work, then the rest in the
 * same way. The remainder belongs to no pool. When each pool was sized on its own, pools kept instances for work
 * that had become worthless while jobs of another pool became late (docs/POLICY.md).
 */
public final class FleetShares {

    private FleetShares() {}

    /**
     * The number of instances that a pool requests.
     *
     * @param pool the name of the pool
     * @param minimum the number that it gets in any case
     * @param required the number that it needs to complete work within its objective, including the minimum
     * @param late the additional number for late work
     * @param optional the additional number for all other work: forecast work, and work that is too late to count
     */
    public record Claim(String pool, int minimum, int required, int late, int optional) {}

    /** Returns the number of instances for each pool; the total never exceeds the fleet. */
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

    /**
     * Allocates to each pool what it requests, or its proportional share by the largest remainder method. Returns
     * the number allocated.
     */
    private static int allocate(
            int available, List<Claim> claims, ToIntFunction<Claim> requestedBy, Map<String, Integer> shares) {
        long requestedTotal = claims.stream().mapToLong(requestedBy::applyAsInt).sum();
        if (requestedTotal <= available) {
            claims.forEach(c -> shares.merge(c.pool(), requestedBy.applyAsInt(c), Integer::sum));
            return (int) requestedTotal;
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
