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
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.StringRequestContent;
import org.lupinpaddle.standins.JsonHttp;

/**
 * The instances of the platform stand-in. Each worker process represents one instance; the stand-in assigns it an
 * incarnation and keeps the record of that incarnation in the store while the process reports.
 */
final class JobInstances {

    private static final long MOVE_MILLIS = 1_500;
    private static final long UPKEEP_MILLIS = 2_000;
    private static final long REPORT_TIMEOUT_MILLIS = 2_000;
    private static final String SPARE_POOL = "spare";

    private final HttpClient client;
    private final BiConsumer<String, String> recordWriter;
    private final Map<String, Instance> instances = new TreeMap<>();
    private int nextIncarnation;

    private static final class Instance {
        final JsonNode description;
        final Set<String> maintained = new HashSet<>();
        String pool;
        String state = "up";
        String incarnationId = "";
        long bornMillis;
        long lastReportAt;
        long availableAt = Long.MAX_VALUE;

        Instance(JsonNode description) {
            this.description = description;
            this.pool = description.path("pool").asText();
        }
    }

    JobInstances(HttpClient client, BiConsumer<String, String> recordWriter) {
        this.client = client;
        this.recordWriter = recordWriter;
    }

    private static long now() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /** Handles the report of a worker process and returns its assigned incarnation; the id is empty if it has none. */
    JsonNode register(JsonNode report) {
        Instance instance = instances.computeIfAbsent(report.path("machine").asText(), id -> new Instance(report));
        instance.lastReportAt = now();
        boolean restarted = !instance.incarnationId.equals(report.path("life").asText());
        if (instance.state.equals("up") && (instance.incarnationId.isEmpty() || restarted)) {
            bringUp(instance);
        }
        return incarnationJson(instance);
    }

    private void bringUp(Instance instance) {
        removeRecord(instance);
        instance.state = "up";
        instance.incarnationId = instance.pool.equals(SPARE_POOL) ? "" : "life-" + nextIncarnation++;
        if (!instance.incarnationId.isEmpty()) {
            startIncarnation(instance);
        }
    }

    /** Simulates a crash of a worker that restarts under its id. */
    void restart(String machine) {
        Instance instance = instances.get(machine);
        if (instance != null && !instance.incarnationId.isEmpty()) {
            startIncarnation(instance);
            notifyWorker(instance);
        }
    }

    private void startIncarnation(Instance instance) {
        // Two incarnations of a worker must not have the same start time in milliseconds.
        instance.bornMillis = Math.max(instance.bornMillis + 1, System.currentTimeMillis());
        ObjectNode record = JsonHttp.object()
                .put("service", instance.pool)
                .put("address", instance.description.path("address").asText())
                .put("zone", instance.description.path("zone").asText())
                .put("state", "ready");
        if (instance.description.path("statesBirth").asBoolean()) {
            record.put("born", instance.bornMillis);
        }
        record.set("room", instance.description.path("room"));
        record.set("labels", instance.description.path("labels"));
        recordWriter.accept("servers/" + instance.incarnationId, record.toString());
    }

    private void removeRecord(Instance instance) {
        if (!instance.incarnationId.isEmpty()) {
            recordWriter.accept("servers/" + instance.incarnationId, "");
            instance.incarnationId = "";
        }
    }

    /**
     * Makes instances available again after a move or maintenance, and removes the records of those whose process no
     * longer reports.
     */
    void tick() {
        for (Instance instance : instances.values()) {
            if (now() >= instance.availableAt) {
                instance.availableAt = Long.MAX_VALUE;
                bringUp(instance);
                notifyWorker(instance);
            } else if (!instance.incarnationId.isEmpty() && now() - instance.lastReportAt > REPORT_TIMEOUT_MILLIS) {
                removeRecord(instance);
                instance.state = "down";
            } else if (instance.state.equals("down") && now() - instance.lastReportAt <= REPORT_TIMEOUT_MILLIS) {
                bringUp(instance);
            }
        }
    }

    ObjectNode list() {
        ObjectNode answer = JsonHttp.object();
        ArrayNode all = answer.putArray("machines");
        instances.forEach((id, instance) -> all.addObject()
                .put("machine", id)
                .put("pool", instance.pool)
                .put("state", instance.state)
                .put("zone", instance.description.path("zone").asText())
                .put("id", instance.incarnationId));
        return answer;
    }

    /** Executes an order; returns the reason if it is refused, otherwise an empty string. */
    String order(String id, boolean upkeep, JsonNode order) {
        Instance instance = instances.get(id);
        String wave = order.path("wave").asText();
        boolean done = instance != null
                && (upkeep
                        ? instance.maintained.contains(wave)
                        : instance.pool.equals(order.path("pool").asText()));
        if (done) {
            return "";
        }
        if (instance == null || !instance.state.equals("up")) {
            return "busy";
        }
        removeRecord(instance);
        notifyWorker(instance);
        instance.state = upkeep ? "upkeep" : "moving";
        if (upkeep) {
            instance.maintained.add(wave);
        } else {
            instance.pool = order.path("pool").asText();
        }
        instance.availableAt = now() + (upkeep ? UPKEEP_MILLIS : MOVE_MILLIS);
        return "";
    }

    /** Notifies the process of its current incarnation; a new incarnation has no tasks. */
    private void notifyWorker(Instance instance) {
        String url = "http://" + instance.description.path("address").asText() + "/standin/life";
        client.POST(url)
                .body(new StringRequestContent(
                        "application/json", incarnationJson(instance).toString()))
                .send(r -> {});
    }

    private static ObjectNode incarnationJson(Instance instance) {
        return JsonHttp.object().put("life", instance.incarnationId).put("born", instance.bornMillis);
    }
}
