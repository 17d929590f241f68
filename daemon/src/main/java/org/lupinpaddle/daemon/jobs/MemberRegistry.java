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
import org.lupinpaddle.core.job.SchedulerKeys;
import org.lupinpaddle.core.ownership.OwnerRank;
import org.lupinpaddle.daemon.common.Log;
import org.lupinpaddle.daemon.port.StoreItem;

/** This entry's view of the registered entries, their capacities and the duties they own, as recorded in the store. */
final class MemberRegistry {

    // When the store recovers, an entry that was last seen registered longer ago than this is not waited for.
    private static final long RETENTION_MILLIS = 30_000;
    // The registration and the capacity.
    private static final int KEYS_PER_ENTRY = 2;
    private static final char LIFE_SEPARATOR = '/';

    private final PrefixWatch watch;
    private final Clock clock;
    private final String entry;
    private final long capacity;
    /** Entries that are registered or were until recently. */
    private final Map<String, KnownEntry> known = new HashMap<>();
    /** The time since which each entry has been registered without interruption. */
    private final Map<String, Long> registeredSince = new HashMap<>();

    /** Unreadable capacities and the revisions at which they were logged. */
    private final Map<String, Long> unreadable = new HashMap<>();

    /** The capacity of an entry, and when it was last seen registered. */
    private record KnownEntry(long capacity, long seenAt) {}

    /**
     * Creates the view.
     *
     * @param watch follows the member records
     * @param capacity this entry's actual capacity in thousandths of a core, which may differ from the published one
     */
    MemberRegistry(PrefixWatch watch, Clock clock, String entry, long capacity) {
        this.watch = watch;
        this.clock = clock;
        this.entry = entry;
        this.capacity = capacity;
    }

    /** Returns a unique name for the life of an entry, which is one run of its process. */
    static String newLife(String entry) {
        return entry + LIFE_SEPARATOR + UUID.randomUUID();
    }

    /**
     * Returns whether another life has certainly ended, judging from this process's own life: its entry is registered
     * under a different life.
     */
    boolean hasEnded(String otherLife, String ownLife) {
        String name = entryOf(otherLife);
        if (name.equals(entry)) {
            return !otherLife.equals(ownLife);
        }
        return watch.items().stream()
                .anyMatch(
                        i -> i.key().equals(SchedulerKeys.entry(name)) && isDifferentLife(i.value(), name, otherLife));
    }

    /** Returns whether a life is this process's own or is registered. */
    boolean isRegistered(String otherLife, String ownLife) {
        String key = SchedulerKeys.entry(entryOf(otherLife));
        return otherLife.equals(ownLife)
                || watch.items().stream()
                        .anyMatch(i -> i.key().equals(key) && i.value().equals(otherLife));
    }

    private static String entryOf(String life) {
        return life.substring(0, Math.max(0, life.lastIndexOf(LIFE_SEPARATOR)));
    }

    /** Ignores registrations that do not name a life of the entry, since another writer may have written them. */
    private static boolean isDifferentLife(String life, String name, String otherLife) {
        return life.startsWith(name + LIFE_SEPARATOR) && !life.equals(otherLife);
    }

    /** Returns the registered entries, including this one. */
    Set<String> entries() {
        Set<String> all = new TreeSet<>();
        watch.items().forEach(i -> SchedulerKeys.entryOf(i.key()).ifPresent(all::add));
        all.add(entry);
        return all;
    }

    /**
     * Returns the entries that may acquire a duty. Right after an outage of the store this includes the entries that
     * have not registered again yet.
     */
    Set<String> candidates(boolean rejoining) {
        Set<String> all = entries();
        if (rejoining) {
            all.addAll(known.keySet());
        }
        return all;
    }

    /** Returns the ownership records by duty. */
    Map<String, StoreItem> owners() {
        Map<String, StoreItem> owners = new HashMap<>();
        watch.items().forEach(i -> SchedulerKeys.dutyOf(i.key()).ifPresent(d -> owners.put(d, i)));
        return owners;
    }

    /** Returns the ranking in which entries try to acquire duties, given the current owners. */
    OwnerRank order(Map<String, StoreItem> owners) {
        return new OwnerRank(counts(owners.values()), capacities());
    }

    private static Map<String, Integer> counts(Collection<StoreItem> owners) {
        Map<String, Integer> counts = new HashMap<>();
        owners.forEach(i -> counts.merge(i.value(), 1, Integer::sum));
        return counts;
    }

    /** Returns whether both of this entry's records are stored under its lease. */
    boolean hasOwnRecords(long lease) {
        long mine = watch.items().stream()
                .filter(i -> i.lease() == lease)
                .filter(i ->
                        i.key().equals(SchedulerKeys.entry(entry)) || i.key().equals(SchedulerKeys.capacity(entry)))
                .count();
        return mine == KEYS_PER_ENTRY;
    }

    /** Remembers the registered entries for the time when the store is unreachable. */
    void rememberRegistered() {
        long now = clock.millis();
        Map<String, Long> published = publishedCapacities();
        entries()
                .forEach(e -> known.put(e, new KnownEntry(published.getOrDefault(e, OwnerRank.DEFAULT_CAPACITY), now)));
        known.values().removeIf(k -> now - k.seenAt() > RETENTION_MILLIS);
    }

    /** Updates the registration times used by {@link #registeredFor}. */
    void trackRegistrations() {
        Set<String> now = entries();
        registeredSince.keySet().retainAll(now);
        now.forEach(e -> registeredSince.putIfAbsent(e, clock.millis()));
    }

    /** Returns the entries that have been registered for at least the given time. */
    List<String> registeredFor(long millis) {
        long now = clock.millis();
        return registeredSince.entrySet().stream()
                .filter(e -> now - e.getValue() >= millis)
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Logs an unreadable capacity once per revision; capacities are read on every change of any entry. */
    private void logUnreadableCapacity(StoreItem i) {
        Long loggedRevision = unreadable.put(i.key(), i.revision());
        if (!Long.valueOf(i.revision()).equals(loggedRevision)) {
            Log.warn("capacity-unreadable", "key", i.key(), "revision", i.revision());
        }
    }

    private Map<String, Long> capacities() {
        Map<String, Long> all = new HashMap<>();
        known.forEach((name, k) -> all.put(name, k.capacity()));
        all.putAll(publishedCapacities());
        // This entry ranks itself by its actual capacity, even while it publishes a lower one to leave duties to
        // others.
        all.put(entry, capacity);
        return all;
    }

    private Map<String, Long> publishedCapacities() {
        Map<String, Long> all = new HashMap<>();
        watch.items()
                .forEach(i -> SchedulerKeys.capacityOf(i.key())
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
