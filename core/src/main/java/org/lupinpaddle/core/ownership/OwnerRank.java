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
 * The order in which entries try for a duty that nobody owns: those first that would have least to do for what they can
 * do, then by rendezvous hashing. It only spreads the attempts; who owns the duty is decided by the store.
 */
public final class OwnerRank {

    /** What an entry can do that has not told: a whole core, in thousandths of one. */
    public static final long DEFAULT_CAPACITY = 1_000;

    private final Map<String, Integer> owned;
    private final Map<String, Long> capacities;

    /**
     * Makes the order.
     *
     * @param owned how many duties each entry owns; one that is missing owns none
     * @param capacities how much each entry can do, in thousandths of a core; a missing one has the usual
     */
    public OwnerRank(Map<String, Integer> owned, Map<String, Long> capacities) {
        this.owned = Map.copyOf(owned);
        this.capacities = Map.copyOf(capacities);
    }

    /** Returns the place of an entry among all for a duty, from 0. */
    public int position(String entry, String duty, Collection<String> entries) {
        List<String> hashed = RendezvousHash.rank(duty, entries);
        List<String> order = hashed.stream()
                .sorted(Comparator.comparingDouble(this::loadWithOneMore))
                .toList();
        return Math.max(0, order.indexOf(entry));
    }

    /**
     * Returns the entry that had better take one of another's duties: even with it, it has less to do for what it can do
     * than the other has now.
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
