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
package org.lupinpaddle.standins.jobs;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import org.lupinpaddle.standins.JsonHttp;

/** An in-memory model of the platform's key-value store: revisions, conditions, leases and a history for watches. */
final class JobStore {

    private static final int MAX_HISTORY = 20_000;

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final Deque<Change> history = new ArrayDeque<>();
    private final LongSupplier clock;
    private long revision;
    private long compactedUpTo;
    private long nextLease = 1;

    private record Item(String key, String value, long revision, long createRevision, long lease) {}

    private record Lease(long ttl, long expiresAt) {}

    private record Change(String key, long revision, JsonNode json) {}

    JobStore(LongSupplier clock) {
        this.clock = clock;
    }

    long revision() {
        return revision;
    }

    /** Returns the item as JSON, or null if it does not exist. */
    @org.jspecify.annotations.Nullable
    ObjectNode read(String key) {
        Item i = items.get(key);
        return i == null ? null : json(i).put("at", revision);
    }

    ObjectNode range(String prefix) {
        ObjectNode answer = JsonHttp.object().put("at", revision).put("more", false);
        ArrayNode all = answer.putArray("items");
        items.tailMap(prefix).values().stream()
                .takeWhile(i -> i.key.startsWith(prefix))
                .forEach(i -> all.add(json(i)));
        return answer;
    }

    /** Returns the changes under a prefix after a revision, or null if the history no longer reaches back that far. */
    @org.jspecify.annotations.Nullable
    ArrayNode changes(String prefix, long after) {
        if (after < compactedUpTo) {
            return null;
        }
        ArrayNode all = JsonHttp.array();
        history.stream()
                .filter(c -> c.revision > after && c.key.startsWith(prefix))
                .forEach(c -> all.add(c.json));
        return all;
    }

    /** Returns the current items of the conditions if one of them does not hold, otherwise null. */
    @org.jspecify.annotations.Nullable
    ObjectNode conflict(JsonNode conditions) {
        boolean holds = true;
        ObjectNode answer = JsonHttp.object();
        ArrayNode current = answer.putArray("items");
        for (JsonNode c : conditions) {
            Item i = items.get(c.path("privateKey").asText());
            long at = i == null ? 0 : i.revision;
            holds &= at == c.path("revision").asLong();
            if (i != null) {
                current.add(json(i));
            }
        }
        return holds ? null : answer;
    }

    boolean hasLease(long id) {
        return id == 0 || leases.containsKey(id);
    }

    /** Applies the changes of one call under one revision. */
    void change(JsonNode puts, JsonNode removals) {
        revision++;
        for (JsonNode p : puts) {
            put(
                    p.path("privateKey").asText(),
                    p.path("value").asText(),
                    p.path("lease").asLong());
        }
        removals.forEach(k -> remove(k.asText()));
    }

    private void put(String key, String value, long lease) {
        Item before = items.get(key);
        Item now = new Item(key, value, revision, before == null ? revision : before.createRevision, lease);
        items.put(key, now);
        addToHistory(new Change(key, revision, json(now)));
    }

    private void remove(String key) {
        if (items.remove(key) != null) {
            ObjectNode removal = JsonHttp.object()
                    .put("privateKey", key)
                    .put("revision", revision)
                    .put("gone", true);
            addToHistory(new Change(key, revision, removal));
        }
    }

    private void addToHistory(Change c) {
        history.addLast(c);
        if (history.size() > MAX_HISTORY) {
            compactedUpTo = history.removeFirst().revision;
        }
    }

    long openLease(long ttl) {
        leases.put(nextLease, new Lease(ttl, clock.getAsLong() + ttl));
        return nextLease++;
    }

    boolean keepLease(long id) {
        return leases.computeIfPresent(id, (i, l) -> new Lease(l.ttl, clock.getAsLong() + l.ttl)) != null;
    }

    boolean endLease(long id) {
        boolean existed = leases.remove(id) != null;
        if (existed) {
            removeItemsOfLease(id);
        }
        return existed;
    }

    /** Ends the expired leases. */
    void expireLeases() {
        Iterator<Map.Entry<Long, Lease>> all = leases.entrySet().iterator();
        while (all.hasNext()) {
            Map.Entry<Long, Lease> e = all.next();
            if (e.getValue().expiresAt < clock.getAsLong()) {
                all.remove();
                removeItemsOfLease(e.getKey());
            }
        }
    }

    private void removeItemsOfLease(long lease) {
        revision++;
        items.values().stream()
                .filter(i -> i.lease == lease)
                .map(i -> i.key)
                .toList()
                .forEach(this::remove);
    }

    private static ObjectNode json(Item i) {
        return JsonHttp.object()
                .put("privateKey", i.key)
                .put("value", i.value)
                .put("revision", i.revision)
                .put("made", i.createRevision)
                .put("lease", i.lease);
    }
}
