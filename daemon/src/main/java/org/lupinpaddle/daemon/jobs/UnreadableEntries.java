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
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.common.Unreadable;
import org.lupinpaddle.daemon.common.Log;
import org.lupinpaddle.daemon.port.StoreItem;

/**
 * The entries of the store that this process could not read when it last saw them. Each is told of in one log line, and
 * again when what is wrong with it changes. Any thread may call.
 */
public final class UnreadableEntries {

    // Another writer may write any number of entries: beyond so many, new ones are counted but not told of one by one.
    private static final int MAX_TRACKED = 1_000;

    private final JobMetrics meters;
    private final Map<String, Entry> byKey = new HashMap<>();
    private boolean overflowLogged;

    /** What an entry would say if it could be read. */
    public enum Kind {
        /** What a worker says of itself. */
        WORKER,
        /** The operators' configuration. */
        CONFIGURATION,
        /** A workspace entry of the operators' configuration. */
        WORKSPACE,
        /** A wave of upkeep that the operators ask for. */
        WAVE,
        /** A job as it was accepted. */
        JOB,
        /** How far a job is. */
        PROGRESS,
        /** The quota allocation of a workspace. */
        QUOTA,
        /** A request to empty a worker. */
        EVACUATION,
        /** What a service has to do and with what. */
        REPORT,
        /** How far a wave of upkeep is. */
        UPKEEP,
        /** Which instances were ordered lately. */
        RECENT_ORDERS,
        /** How much an entry of the fleet can do. */
        CAPACITY,
        /** A row of the platform's list of instances. */
        INSTANCE;

        /** Returns the word for it in log lines and names of figures. */
        String label() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }

    /**
     * One of them.
     *
     * @param kind what it would say
     * @param key its key
     * @param revision the revision at which it was first unreadable for this reason
     * @param why what is wrong with it
     */
    public record Entry(Kind kind, String key, long revision, Unreadable why) {}

    /** Makes an empty list. */
    public UnreadableEntries(JobMetrics meters) {
        this.meters = meters;
    }

    /** Takes in what came of reading an item, and returns its record; null when it is unreadable. */
    <T> @Nullable T recordOrNull(Kind kind, StoreItem item, Either<Unreadable, T> record) {
        if (record.isRight()) {
            markReadable(item.key());
            return record.get();
        }
        markUnreadable(new Entry(kind, item.key(), item.revision(), record.getLeft()));
        return null;
    }

    /** Takes in that an entry can not be read. */
    synchronized void markUnreadable(Entry e) {
        Entry known = byKey.get(e.key());
        if (known != null && known.why().equals(e.why())) {
            return;
        }
        meters.unreadable(e.kind());
        if (known == null && byKey.size() >= MAX_TRACKED) {
            logOverflow();
            return;
        }
        byKey.put(e.key(), e);
        Log.warn(
                "entry-unreadable", "kind", e.kind().label(), "key", e.key(), "revision", e.revision(), "why", e.why());
    }

    private void logOverflow() {
        if (!overflowLogged) {
            overflowLogged = true;
            Log.warn("entries-unreadable-left-out", "told", MAX_TRACKED);
        }
    }

    /** Takes in that an entry can be read. */
    synchronized void markReadable(String key) {
        Entry e = byKey.remove(key);
        if (e != null) {
            Log.info("entry-readable-again", "kind", e.kind().label(), "key", key);
        }
    }

    /** Takes in that an entry is gone. */
    synchronized void onRemoved(String key) {
        byKey.remove(key);
    }

    /** Takes in all items that there are under a prefix: what is not among them is gone. */
    void retainOnly(String prefix, Collection<StoreItem> items) {
        retainOnly(prefix, items.stream().map(StoreItem::key).collect(Collectors.toSet()));
    }

    /** Takes in all keys that there are under a prefix: what is not among them is gone. */
    synchronized void retainOnly(String prefix, Set<String> keys) {
        byKey.keySet().removeIf(k -> k.startsWith(prefix) && !keys.contains(k));
    }

    /** Returns all of them, in the order of their keys. */
    public synchronized List<Entry> snapshot() {
        return new ArrayList<>(new TreeMap<>(byKey).values());
    }

    /** Returns how many there are. */
    synchronized int count() {
        return byKey.size();
    }
}
