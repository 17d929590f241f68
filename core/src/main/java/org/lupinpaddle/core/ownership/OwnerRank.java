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

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lupinpaddle.core.common.RendezvousHash;

/**
 * Ranks the entries that compete for an unowned duty: by load relative to capacity, lowest first, then by rendezvous
 * hashing. The rank only spreads the attempts over time; the store decides who owns the duty.
 */
public final class OwnerRank {

    /** The capacity assumed for an entry that has not published one: one core, in thousandths of a core. */
    public static final long DEFAULT_CAPACITY = 1_000;

    private final Map<String, Integer> owned;
    private final Map<String, Long> capacities;

    /**
     * Creates a ranking.
     *
     * @param owned the number of duties of each entry; a missing entry owns none
     * @param capacities the capacity of each entry, in thousandths of a core; a missing entry has the default
     */
    public OwnerRank(Map<String, Integer> owned, Map<String, Long> capacities) {
        this.owned = Map.copyOf(owned);
        this.capacities = Map.copyOf(capacities);
    }

    /** Returns the rank of an entry among all entries for a duty, from 0. */
    public int position(String entry, String duty, Collection<String> entries) {
        List<String> hashed = RendezvousHash.rank(duty, entries);
        List<String> order = hashed.stream()
                .sorted(Comparator.comparingDouble(this::loadWithOneMore))
                .toList();
        return Math.max(0, order.indexOf(entry));
    }

    /**
     * Returns the entry that should take over one of this entry's duties: the one whose load relative to capacity,
     * including that duty, would be lowest and below this entry's current load.
     */
    public Optional<String> handOverTarget(String entry, Collection<String> others) {
        return others.stream()
                .filter(o -> !o.equals(entry) && loadWithOneMore(o) < load(entry, 0))
                .min(Comparator.comparingDouble(this::loadWithOneMore));
    }

    private double loadWithOneMore(String entry) {
        return load(entry, 1);
    }

    private double load(String entry, int additionalDuties) {
        return (double) (owned.getOrDefault(entry, 0) + additionalDuties)
                / capacities.getOrDefault(entry, DEFAULT_CAPACITY);
    }
}
