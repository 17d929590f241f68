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
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * The platform's list of instances. Readers see the newest snapshot that is at least the configured lag old. Drain and
 * reboot orders name the expected incarnation and carry a fencing token that must not decrease, so that a caller that
 * was paused is refused. Not thread-safe; callers synchronize.
 */
final class InstanceList {

    private static final long LIVE_MILLIS = 2_000;
    private static final int MAX_SNAPSHOTS = 400;

    private static final class Instance {
        private ObjectNode reported = JsonHttp.object();
        private long reportedAt;
        private boolean leaving;
        private long fence;
    }

    private record Snapshot(long at, ArrayNode list) {}

    private final Map<String, Instance> instances = new TreeMap<>();
    private final Deque<Snapshot> snapshots = new ArrayDeque<>();

    void heartbeat(JsonNode node, long now) {
        Instance i = instances.computeIfAbsent(node.path("id").asText(), k -> new Instance());
        i.reported = (ObjectNode) node.deepCopy();
        i.reportedAt = now;
    }

    void snapshot(long now) {
        ArrayNode list = JsonHttp.MAPPER.createArrayNode();
        for (Instance i : instances.values()) {
            list.add(i.reported
                    .deepCopy()
                    .put("live", now - i.reportedAt < LIVE_MILLIS)
                    .put("leaving", i.leaving));
        }
        snapshots.addFirst(new Snapshot(now, list));
        while (snapshots.size() > MAX_SNAPSHOTS) {
            snapshots.removeLast();
        }
    }

    /** Returns the list as it was {@code lagMillis} ago; the query may ask for one hall and for leaving ones only. */
    ObjectNode list(long now, long lagMillis, @Nullable String query) {
        boolean leavingOnly = query != null && query.contains("leaving=true");
        int hallAt = query == null ? -1 : query.indexOf("hall=");
        String hall = hallAt < 0 || query == null ? "" : query.substring(hallAt + 5);
        ArrayNode empty = JsonHttp.MAPPER.createArrayNode();
        ArrayNode snapshot = snapshots.stream()
                .filter(s -> now - s.at >= lagMillis)
                .findFirst()
                .map(Snapshot::list)
                .orElse(empty);
        ObjectNode out = JsonHttp.object();
        ArrayNode list = out.putArray("instances");
        for (JsonNode i : snapshot) {
            boolean serves = i.path("live").asBoolean() && !i.path("leaving").asBoolean();
            if ((hall.isEmpty() || hall.equals(i.path("hall").asText())) && !(leavingOnly && serves)) {
                list.add(i);
            }
        }
        return out;
    }

    /** Returns the worker's address, or null with the reason in {@code error} if the order is refused. */
    @Nullable
    String checkOrder(String id, JsonNode call, ObjectNode error) {
        Instance i = instances.get(id);
        if (i == null) {
            error.put("error", "no such instance");
            return null;
        }
        long fence = call.path("fence").asLong();
        long incarnation = call.path("incarnation").asLong();
        if (fence < i.fence) {
            error.put("error", "fence " + fence + " is older than " + i.fence);
            return null;
        }
        if (incarnation != i.reported.path("incarnation").asLong()) {
            error.put(
                    "error", "incarnation is " + i.reported.path("incarnation").asLong());
            return null;
        }
        i.fence = fence;
        return i.reported.path("address").asText();
    }

    void setLeaving(String id, boolean leaving) {
        Instance i = instances.get(id);
        if (i != null) {
            i.leaving = leaving;
        }
    }
}
