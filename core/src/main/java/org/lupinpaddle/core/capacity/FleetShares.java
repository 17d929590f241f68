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
     * @param least what it has in any case
     * @param firm what it needs so that work ends within its objective, the least included
     * @param late what late work would take besides
     * @param rest what all other work would take: what is foreseen, and what is too late to count
     */
    public record Claim(String pool, int least, int firm, int late, int rest) {}

    /** Returns how many instances each pool is to have; never more in all than there are. */
    public static Map<String, Integer> divide(int instances, List<Claim> claims) {
        Map<String, Integer> shares = new LinkedHashMap<>();
        claims.forEach(c -> shares.put(c.pool(), 0));
        int left = instances;
        left -= give(left, claims, Claim::least, shares);
        left -= give(left, claims, c -> Math.max(0, c.firm() - c.least()), shares);
        left -= give(left, claims, Claim::late, shares);
        give(left, claims, Claim::rest, shares);
        return shares;
    }

    /** Gives each pool what it asks for, or its part by the largest remainders; returns how many were given. */
    private static int give(int left, List<Claim> claims, ToIntFunction<Claim> wish, Map<String, Integer> shares) {
        int asked = claims.stream().mapToInt(wish).sum();
        if (asked <= left) {
            claims.forEach(c -> shares.merge(c.pool(), wish.applyAsInt(c), Integer::sum));
            return asked;
        }
        int given = 0;
        for (Claim c : claims) {
            int part = (int) ((long) left * wish.applyAsInt(c) / asked);
            shares.merge(c.pool(), part, Integer::sum);
            given += part;
        }
        List<Claim> byRemainder = new ArrayList<>(claims);
        int all = left;
        byRemainder.sort(Comparator.<Claim>comparingLong(c -> -((long) all * wish.applyAsInt(c) % asked))
                .thenComparing(Claim::pool));
        for (int i = 0; given < left; i++) {
            shares.merge(byRemainder.get(i).pool(), 1, Integer::sum);
            given++;
        }
        return given;
    }
}
