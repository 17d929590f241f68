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
package org.lupinpaddle.daemon.jobs;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.UUID;
import org.lupinpaddle.core.common.Clock;
import org.lupinpaddle.core.job.JobKeys;
import org.lupinpaddle.core.ownership.OwnerRank;
import org.lupinpaddle.daemon.common.Log;
import org.lupinpaddle.daemon.port.StoreItem;

/** Which entries there are, what each can do and owns, as the store's records of them are seen from one entry. */
final class MemberRegistry {

    // An entry that was registered so long ago is not waited for when the store comes back.
    private static final long RETENTION_MILLIS = 30_000;
    // Its registration and its capacity.
    private static final int KEYS_PER_ENTRY = 2;
    private static final char LIFE_SEPARATOR = '/';

    private final PrefixWatch watch;
    private final Clock clock;
    private final String entry;
    private final long capacity;
    /** Entries that are, or lately were, registered. */
    private final Map<String, Known> known = new HashMap<>();
    /** Since when an entry has been registered without a break. */
    private final Map<String, Long> registeredSince = new HashMap<>();

    /** Capacities that can not be read, with the revision that was published of. */
    private final Map<String, Long> unreadable = new HashMap<>();

    /** What is known of an entry that is or was registered. */
    private record Known(long capacity, long seenAt) {}

    /**
     * Makes the view of an entry.
     *
     * @param watch follows the records of members
     * @param capacity what this entry can do, in thousandths of a core, whatever it has published
     */
    MemberRegistry(PrefixWatch watch, Clock clock, String entry, long capacity) {
        this.watch = watch;
        this.clock = clock;
        this.entry = entry;
        this.capacity = capacity;
    }

    /** Returns a name for a process of an entry, from its start to its end. */
    static String newLife(String entry) {
        return entry + LIFE_SEPARATOR + UUID.randomUUID();
    }

    /** Returns whether a life is over for certain, by this process's own: its entry is registered with another one. */
    boolean isOver(String otherLife, String ownLife) {
        String name = otherLife.substring(0, Math.max(0, otherLife.lastIndexOf(LIFE_SEPARATOR)));
        if (name.equals(entry)) {
            return !otherLife.equals(ownLife);
        }
        return watch.items().stream()
                .anyMatch(i -> i.key().equals(JobKeys.entry(name)) && isDifferentLife(i.value(), name, otherLife));
    }

    /** A registration that names no life of the entry, as another writer may have put it, does not end any. */
    private static boolean isDifferentLife(String life, String name, String otherLife) {
        return life.startsWith(name + LIFE_SEPARATOR) && !life.equals(otherLife);
    }

    /** Returns the entries that are registered, this one among them. */
    Set<String> entries() {
        Set<String> all = new TreeSet<>();
        watch.items().forEach(i -> JobKeys.entryOf(i.key()).ifPresent(all::add));
        all.add(entry);
        return all;
    }

    /** Returns the entries that may try for a duty; right after the store's return also those that are not back yet. */
    Set<String> candidates(boolean returning) {
        Set<String> all = entries();
        if (returning) {
            all.addAll(known.keySet());
        }
        return all;
    }

    /** Returns who owns which duty. */
    Map<String, StoreItem> owners() {
        Map<String, StoreItem> owners = new HashMap<>();
        watch.items().forEach(i -> JobKeys.ownedBy(i.key()).ifPresent(d -> owners.put(d, i)));
        return owners;
    }

    /** Returns the order in which entries try for duties, with these owners. */
    OwnerRank order(Map<String, StoreItem> owners) {
        return new OwnerRank(counts(owners.values()), capacities());
    }

    private static Map<String, Integer> counts(Collection<StoreItem> owners) {
        Map<String, Integer> counts = new HashMap<>();
        owners.forEach(i -> counts.merge(i.value(), 1, Integer::sum));
        return counts;
    }

    /** Returns whether both of this entry's own records are there, under its lease. */
    boolean hasOwnRecords(long lease) {
        long mine = watch.items().stream()
                .filter(i -> i.lease() == lease)
                .filter(i -> i.key().equals(JobKeys.entry(entry)) || i.key().equals(JobKeys.capacity(entry)))
                .count();
        return mine == KEYS_PER_ENTRY;
    }

    /** Takes in who is registered now, for the time when the store is away. */
    void rememberRegistered() {
        long now = clock.millis();
        Map<String, Long> published = publishedCapacities();
        entries().forEach(e -> known.put(e, new Known(published.getOrDefault(e, OwnerRank.USUAL_CAPACITY), now)));
        known.values().removeIf(k -> now - k.seenAt() > RETENTION_MILLIS);
    }

    /** Takes in who is registered now, for {@link #registeredFor}. */
    void trackRegistrations() {
        Set<String> now = entries();
        registeredSince.keySet().retainAll(now);
        now.forEach(e -> registeredSince.putIfAbsent(e, clock.millis()));
    }

    /** Returns the entries that have been registered for so long. */
    List<String> registeredFor(long millis) {
        long now = clock.millis();
        return registeredSince.entrySet().stream()
                .filter(e -> now - e.getValue() >= millis)
                .map(Map.Entry::getKey)
                .toList();
    }

    /** This is read at every change of any entry; one line tells of a value. */
    private void logUnreadableCapacity(StoreItem i) {
        Long published = unreadable.put(i.key(), i.revision());
        if (!Long.valueOf(i.revision()).equals(published)) {
            Log.warn("capacity-unreadable", "key", i.key(), "revision", i.revision());
        }
    }

    private Map<String, Long> capacities() {
        Map<String, Long> all = new HashMap<>();
        known.forEach((name, k) -> all.put(name, k.capacity()));
        all.putAll(publishedCapacities());
        // What this entry does well it goes on doing, whatever else it leaves to others.
        all.put(entry, capacity);
        return all;
    }

    private Map<String, Long> publishedCapacities() {
        Map<String, Long> all = new HashMap<>();
        watch.items()
                .forEach(i -> JobKeys.capacityOf(i.key())
                        .ifPresent(name -> capacity(i).ifPresent(c -> all.put(name, c))));
        return all;
    }

    private Optional<Long> capacity(StoreItem i) {
        try {
            return Optional.of(Long.parseLong(i.value())).filter(c -> c > 0);
        } catch (NumberFormatException e) {
            logUnreadableCapacity(i);
            return Optional.empty();
        }
    }
}
