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
package org.lupinpaddle.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import org.jspecify.annotations.Nullable;

/**
 * An in-memory key-value store with revisions, compare-and-swap, leases and watches. Implements the JSON form of etcd's
 * v3 API for these calls: range, txn comparing mod_revision, lease grant, keepalive and revoke, watch. Not thread-safe;
 * callers synchronize.
 */
final class KeyValueStore {

    private record Entry(String key, String value, long createRevision, long revision, long lease) {}

    private record Lease(long id, long ttlMillis, long expiresAt) {}

    private final NavigableMap<String, Entry> entries = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final List<Entry> history = new ArrayList<>();
    private final BiConsumer<Long, List<ObjectNode>> onChange;
    private long revision = 1;
    private long nextLease = 1;
    private long writes;

    /** Creates a store that calls {@code onChange} with each new revision and its events. */
    KeyValueStore(BiConsumer<Long, List<ObjectNode>> onChange) {
        this.onChange = onChange;
    }

    long revision() {
        return revision;
    }

    long writes() {
        return writes;
    }

    ObjectNode header(ObjectNode out) {
        out.putObject("header").put("revision", Long.toString(revision));
        return out;
    }

    ObjectNode range(JsonNode call) {
        String from = text(call, "key");
        String to = call.hasNonNull("range_end") ? text(call, "range_end") : from + "\u0000";
        long minRevision = call.path("min_mod_revision").asLong(0);
        ObjectNode out = header(JsonHttp.object());
        ArrayNode kvs = out.putArray("kvs");
        entries.subMap(from, true, to, false).values().stream()
                .filter(e -> e.revision >= minRevision)
                .forEach(e -> kvs.add(node(e)));
        out.put("count", Integer.toString(kvs.size()));
        return out;
    }

    ObjectNode txn(JsonNode call) {
        boolean succeeded = true;
        for (JsonNode c : call.path("compare")) {
            Entry e = entries.get(text(c, "key"));
            succeeded &= (e == null ? 0 : e.revision) == c.path("mod_revision").asLong(0);
        }
        ArrayNode responses = JsonHttp.MAPPER.createArrayNode();
        List<ObjectNode> events = new ArrayList<>();
        for (JsonNode op : call.path(succeeded ? "success" : "failure")) {
            if (op.has("request_put")) {
                events.add(put(op.get("request_put")));
                responses.addObject().putObject("response_put");
            } else if (op.has("request_delete_range")) {
                events.addAll(delete(text(op.get("request_delete_range"), "key")));
                responses.addObject().putObject("response_delete_range");
            } else if (op.has("request_range")) {
                responses.addObject().set("response_range", range(op.get("request_range")));
            }
        }
        if (!events.isEmpty()) {
            commit(events);
        }
        ObjectNode out = header(JsonHttp.object());
        out.put("succeeded", succeeded);
        out.set("responses", responses);
        return out;
    }

    private void commit(List<ObjectNode> events) {
        revision++;
        writes++;
        onChange.accept(revision, events);
    }

    // All changes of one transaction share the revision that commit() will set.
    private ObjectNode put(JsonNode call) {
        String key = text(call, "key");
        Entry old = entries.get(key);
        long next = revision + 1;
        Entry e = new Entry(
                key,
                call.path("value").asText(""),
                old == null ? next : old.createRevision,
                next,
                call.path("lease").asLong(0));
        entries.put(key, e);
        history.add(e);
        return event("PUT", node(e));
    }

    private List<ObjectNode> delete(String key) {
        Entry old = entries.remove(key);
        if (old == null) {
            return List.of();
        }
        ObjectNode kv = JsonHttp.object().put("key", encode(key)).put("mod_revision", Long.toString(revision + 1));
        return List.of(event("DELETE", kv));
    }

    private static ObjectNode event(String type, ObjectNode kv) {
        ObjectNode event = JsonHttp.object().put("type", type);
        event.set("kv", kv);
        return event;
    }

    ObjectNode grantLease(JsonNode call, long now) {
        long id = nextLease++;
        long ttl = call.path("TTL").asLong(1) * 1_000;
        leases.put(id, new Lease(id, ttl, now + ttl));
        return header(JsonHttp.object()).put("ID", Long.toString(id)).put("TTL", Long.toString(ttl / 1_000));
    }

    ObjectNode keepAlive(JsonNode call, long now) {
        long id = call.path("ID").asLong(0);
        Lease lease = leases.get(id);
        ObjectNode result = header(JsonHttp.object()).put("ID", Long.toString(id));
        if (lease == null) {
            result.put("TTL", "0");
        } else {
            leases.put(id, new Lease(id, lease.ttlMillis, now + lease.ttlMillis));
            result.put("TTL", Long.toString(lease.ttlMillis / 1_000));
        }
        ObjectNode out = JsonHttp.object();
        out.set("result", result);
        return out;
    }

    ObjectNode revoke(JsonNode call) {
        removeLease(call.path("ID").asLong(0));
        return header(JsonHttp.object());
    }

    void expireLeases(long now) {
        leases.values().stream()
                .filter(l -> now >= l.expiresAt)
                .map(Lease::id)
                .toList()
                .forEach(this::removeLease);
    }

    private void removeLease(long lease) {
        leases.remove(lease);
        List<ObjectNode> events = new ArrayList<>();
        for (Entry e : List.copyOf(entries.values())) {
            if (e.lease == lease) {
                events.addAll(delete(e.key));
            }
        }
        if (lease != 0 && !events.isEmpty()) {
            commit(events);
        }
    }

    /** Returns the puts under a prefix since a revision, oldest first, for a watch that starts in the past. */
    List<ObjectNode> puts(String prefix, long since) {
        return history.stream()
                .filter(e -> e.revision >= since && e.key.startsWith(prefix))
                .map(e -> event("PUT", node(e)))
                .toList();
    }

    private static ObjectNode node(Entry e) {
        return JsonHttp.object()
                .put("key", encode(e.key))
                .put("value", e.value)
                .put("create_revision", Long.toString(e.createRevision))
                .put("mod_revision", Long.toString(e.revision))
                .put("lease", Long.toString(e.lease));
    }

    static String text(JsonNode call, String member) {
        return decode(call.path(member).asText(""));
    }

    static String decode(@Nullable String base64) {
        return base64 == null ? "" : new String(Base64.getDecoder().decode(base64), StandardCharsets.UTF_8);
    }

    static String encode(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }
}
