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

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.common.Unreadable;
import org.lupinpaddle.core.common.Unreadable.Reason;
import org.lupinpaddle.daemon.common.Log;
import org.lupinpaddle.daemon.port.StoreItem;

/**
 * Tracks the store entries that this process could not read when it last saw them. Each is logged once, and again
 * when its error changes. Thread-safe.
 */
public final class UnreadableEntries {

    // Another writer may create any number of unreadable entries; beyond this limit, new ones are counted but not
    // logged individually.
    private static final int MAX_TRACKED = 1_000;

    private final JobMetrics meters;
    private final Map<String, Entry> byKey = new HashMap<>();
    private boolean overflowLogged;

    /** The kind of record that an entry should contain. */
    public enum Kind {
        /** A worker's record about itself. */
        WORKER,
        /** The operators' configuration. */
        CONFIGURATION,
        /** A workspace entry of the operators' configuration. */
        WORKSPACE,
        /** A cordon of a data hall requested by the operators. */
        CORDON,
        /** A maintenance wave requested by the operators. */
        WAVE,
        /** An accepted job. */
        JOB,
        /** The progress of a job. */
        PROGRESS,
        /** The quota allocation of a workspace. */
        QUOTA,
        /** A request to evacuate a worker. */
        EVACUATION,
        /** The load of a service and its demand for workers. */
        REPORT,
        /** The progress of a maintenance wave. */
        UPKEEP,
        /** The recently ordered instances. */
        RECENT_ORDERS,
        /** The capacity of an entry of the fleet. */
        CAPACITY,
        /** A row of the platform's list of instances. */
        INSTANCE;

        /** Returns the name of this kind in log lines and metric names. */
        String label() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }

    /**
     * An unreadable entry.
     *
     * @param kind the expected kind
     * @param key the key
     * @param revision the revision at which the entry was first unreadable for this reason
     * @param why why it is unreadable
     */
    public record Entry(Kind kind, String key, long revision, Unreadable why) {}

    /** Creates an empty collection. */
    public UnreadableEntries(JobMetrics meters) {
        this.meters = meters;
    }

    /**
     * Parses an item, updates its state and returns the record; null if it is unreadable. An item whose reader throws is
     * unreadable as well, so that the items after it are read.
     */
    <T> @Nullable T recordOrNull(Kind kind, StoreItem item, Function<StoreItem, Either<Unreadable, T>> reader) {
        Either<Unreadable, T> record;
        try {
            record = reader.apply(item);
        } catch (RuntimeException | StackOverflowError e) {
            if (markUnreadable(new Entry(kind, item.key(), item.revision(), Reason.NOT_PROCESSED.whole()))) {
                Log.error("entry-reader-failed", e);
            }
            return null;
        }
        if (record.isRight()) {
            markReadable(item.key());
            return record.get();
        }
        markUnreadable(new Entry(kind, item.key(), item.revision(), record.getLeft()));
        return null;
    }

    /** Records that an entry is unreadable; returns whether that is new and the entry is tracked. */
    synchronized boolean markUnreadable(Entry e) {
        Entry known = byKey.get(e.key());
        if (known != null && known.why().equals(e.why())) {
            return false;
        }
        meters.unreadable(e.kind());
        if (known == null && byKey.size() >= MAX_TRACKED) {
            logOverflow();
            return false;
        }
        byKey.put(e.key(), e);
        Log.warn(
                "entry-unreadable", "kind", e.kind().label(), "key", e.key(), "revision", e.revision(), "why", e.why());
        return true;
    }

    private void logOverflow() {
        if (!overflowLogged) {
            overflowLogged = true;
            Log.warn("entries-unreadable-left-out", "told", MAX_TRACKED);
        }
    }

    /** Records that an entry is readable. */
    synchronized void markReadable(String key) {
        Entry e = byKey.remove(key);
        if (e != null) {
            Log.info("entry-readable-again", "kind", e.kind().label(), "key", key);
        }
    }

    /** Records that an entry was removed. */
    synchronized void onRemoved(String key) {
        byKey.remove(key);
    }

    /** Forgets all entries under a prefix except the given items. */
    void retainOnly(String prefix, Collection<StoreItem> items) {
        retainOnly(prefix, items.stream().map(StoreItem::key).collect(Collectors.toSet()));
    }

    /** Forgets all entries under a prefix except the given keys. */
    synchronized void retainOnly(String prefix, Set<String> keys) {
        byKey.keySet().removeIf(k -> k.startsWith(prefix) && !keys.contains(k));
    }

    /** Returns the unreadable entries, ordered by key. */
    public synchronized List<Entry> snapshot() {
        return new ArrayList<>(new TreeMap<>(byKey).values());
    }

    /** Returns the number of unreadable entries. */
    synchronized int count() {
        return byKey.size();
    }
}
