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

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.daemon.port.CommitResult;
import org.lupinpaddle.daemon.port.StoreChanges;
import org.lupinpaddle.daemon.port.StoreCommit;
import org.lupinpaddle.daemon.port.StoreItem;

/** An in-memory model of the platform's store: items with revisions, leases, a change history and atomic commits. */
final class SimStore {

    // About the page size of the platform's store.
    private static final int PAGE_ITEMS = 500;
    private static final long PAGE_BYTES = 1 << 20;

    private final VirtualTime time;
    private final TreeMap<String, StoreItem> items = new TreeMap<>();
    private final List<Event> history = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final List<Runnable> watchers = new ArrayList<>();
    private long revision = 1;
    private long compactedUpTo;
    private long nextLease = 1;
    /** While set, no lease expires. */
    private boolean leasesPaused;

    /**
     * A page of consecutive items with the store's revision.
     *
     * @param more whether more items follow
     */
    record Page(List<StoreItem> items, boolean more, long revision) {}

    private record Event(
            long revision, String key, @Nullable StoreItem item) {}

    private static final class Lease {
        final long ttl;
        long expiresAt;
        final Set<String> keys = new HashSet<>();

        Lease(long ttl, long expiresAt) {
            this.ttl = ttl;
            this.expiresAt = expiresAt;
        }
    }

    SimStore(VirtualTime time) {
        this.time = time;
    }

    Optional<StoreItem> read(String key) {
        return Optional.ofNullable(items.get(key));
    }

    /** Returns a page of the items under a prefix, starting behind the key {@code after}. */
    Page page(String prefix, String after) {
        List<StoreItem> page = new ArrayList<>();
        long bytes = 0;
        for (StoreItem i :
                items.tailMap(after.isEmpty() ? prefix : after, after.isEmpty()).values()) {
            if (!i.key().startsWith(prefix)) {
                break;
            }
            if (page.size() >= PAGE_ITEMS || bytes >= PAGE_BYTES) {
                return new Page(page, true, revision);
            }
            page.add(i);
            bytes += WireBytes.of(i);
        }
        return new Page(page, false, revision);
    }

    /**
     * Returns the changes under a prefix after a revision, or null if the history no longer reaches back that far. The
     * caller has already found no changes up to {@code seenRevision}; skipping these keeps hundreds of watches from
     * scanning the whole history each time.
     */
    @Nullable
    StoreChanges changes(String prefix, long after, long seenRevision) {
        if (after < compactedUpTo) {
            return null;
        }
        List<StoreChanges.Change> all = new ArrayList<>();
        long upTo = after;
        for (Event e : history.subList(firstAfter(seenRevision), history.size())) {
            upTo = Math.max(upTo, e.revision);
            if (e.key.startsWith(prefix)) {
                all.add(new StoreChanges.Change(e.key, e.item));
            }
        }
        return new StoreChanges(all, upTo);
    }

    private int firstAfter(long after) {
        int i = history.size();
        while (i > 0 && history.get(i - 1).revision > after) {
            i--;
        }
        return i;
    }

    long revision() {
        return revision;
    }

    /** Runs an action once, at the next change. */
    void onNextChange(Runnable r) {
        watchers.add(r);
    }

    void compact() {
        compactedUpTo = revision;
        history.clear();
        notifyWatchers();
    }

    CommitResult commit(StoreCommit c) {
        boolean holds = c.conditions().stream().allMatch(w -> revisionOf(w.key()) == w.revision());
        if (!holds) {
            List<StoreItem> current = c.conditions().stream()
                    .map(w -> items.get(w.key()))
                    .filter(i -> i != null)
                    .toList();
            return new CommitResult(CommitResult.Outcome.CONFLICT, 0, current);
        }
        if (c.puts().stream().anyMatch(p -> p.lease() != 0 && !leases.containsKey(p.lease()))) {
            return new CommitResult(CommitResult.Outcome.LEASE_ENDED, 0, List.of());
        }
        revision++;
        for (StoreCommit.Put p : c.puts()) {
            put(new StoreItem(p.key(), p.value(), revision, p.lease()));
        }
        c.removals().forEach(this::remove);
        notifyWatchers();
        return new CommitResult(CommitResult.Outcome.MADE, revision, List.of());
    }

    private long revisionOf(String key) {
        StoreItem i = items.get(key);
        return i == null ? 0 : i.revision();
    }

    private void put(StoreItem i) {
        items.put(i.key(), i);
        history.add(new Event(i.revision(), i.key(), i));
        Lease l = leases.get(i.lease());
        if (l != null) {
            l.keys.add(i.key());
        }
    }

    private void remove(String key) {
        if (items.remove(key) != null) {
            history.add(new Event(revision, key, null));
        }
    }

    /** Writes an item without a lease, as operators and workers do. */
    void set(String key, String value) {
        revision++;
        put(new StoreItem(key, value, revision, 0));
        notifyWatchers();
    }

    /** Writes a value that is not text. */
    void putNonText(String key) {
        revision++;
        put(StoreItem.notText(key, revision, 0));
        notifyWatchers();
    }

    void clear(String key) {
        revision++;
        remove(key);
        notifyWatchers();
    }

    private void notifyWatchers() {
        List<Runnable> all = List.copyOf(watchers);
        watchers.clear();
        all.forEach(Runnable::run);
    }

    long openLease(long ttl) {
        long id = nextLease++;
        leases.put(id, new Lease(ttl, time.now() + ttl));
        expireLater(id, ttl);
        return id;
    }

    private void expireLater(long id, long millis) {
        time.schedule(millis, () -> {
            Lease l = leases.get(id);
            if (l == null) {
                return;
            }
            if (leasesPaused) {
                l.expiresAt = Math.max(l.expiresAt, time.now() + l.ttl);
            }
            if (time.now() >= l.expiresAt) {
                endLease(id);
            } else {
                expireLater(id, l.expiresAt - time.now());
            }
        });
    }

    boolean keepLease(long id) {
        Lease l = leases.get(id);
        if (l == null) {
            return false;
        }
        l.expiresAt = time.now() + l.ttl;
        return true;
    }

    boolean endLease(long id) {
        Lease l = leases.remove(id);
        if (l == null) {
            return false;
        }
        revision++;
        l.keys.stream()
                .filter(k -> items.containsKey(k) && items.get(k).lease() == id)
                .toList()
                .forEach(this::remove);
        notifyWatchers();
        return true;
    }

    /** Removes the leased keys with this value. Their leases stay, and their holders are not notified. */
    void revoke(String value) {
        revision++;
        items.values().stream()
                .filter(i -> i.lease() != 0 && i.value().equals(value))
                .map(StoreItem::key)
                .toList()
                .forEach(this::remove);
        notifyWatchers();
    }

    boolean areLeasesPaused() {
        return leasesPaused;
    }

    void setLeasesPaused(boolean wait) {
        leasesPaused = wait;
    }
}
