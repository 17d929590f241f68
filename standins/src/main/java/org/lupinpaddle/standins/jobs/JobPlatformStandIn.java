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
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;
import org.lupinpaddle.standins.JsonHttp;
import org.lupinpaddle.standins.LoopbackServer;

/**
 * A stand-in for the operators' platform: the store, the list of instances with moves and maintenance, and advice that
 * accepts every worker. Tests write operators' keys below {@code op/} with {@code POST /standin/put} and remove them
 * with {@code POST /standin/remove}; {@code POST /standin/restart} with a {@code machine} makes its worker crash and
 * restart under its id.
 */
public final class JobPlatformStandIn implements AutoCloseable {

    private static final String INSTANCE_API = "/api/machine";
    private static final long TICK_MILLIS = 50;
    private static final int OK = 200;
    private static final int FORBIDDEN = 403;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int GONE = 410;
    private static final int PRECONDITION_FAILED = 412;
    private static final long TICKET_MILLIS = 5_000;

    private final LoopbackServer server;
    private final HttpClient client = new HttpClient();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final JobStore store = new JobStore(JobPlatformStandIn::now);
    private final JobInstances instances;
    private final List<Watcher> watchers = new ArrayList<>();
    private final List<InstanceOrder> orders = new CopyOnWriteArrayList<>();
    private volatile long instanceDelayMillis;

    private record Watcher(String prefix, long after, long endsAt, Response response, Callback callback) {}

    private record Exchange(Request request, JsonNode body, Response response, Callback callback) {
        void answer(int status, JsonNode node) {
            JsonHttp.answer(response, callback, status, node);
        }

        String path() {
            return request.getHttpURI().getPath();
        }

        String query(String name) {
            Fields all = Request.extractQueryParameters(request);
            String v = all.getValue(name);
            return v == null ? "" : v;
        }

        long number(String name) {
            String v = query(name);
            return v.isEmpty() ? 0 : Long.parseLong(v);
        }
    }

    private JobPlatformStandIn(int port) {
        instances = new JobInstances(client, this::writeRecord);
        server = new LoopbackServer(
                port,
                (request, response, callback) ->
                        receive(new Exchange(request, JsonHttp.body(request), response, callback)));
    }

    /** Starts the stand-in on a port, or on a free one if the port is 0. */
    public static JobPlatformStandIn start(int port) throws Exception {
        JobPlatformStandIn p = new JobPlatformStandIn(port);
        p.client.start();
        p.server.start();
        var unused = p.timer.scheduleAtFixedRate(p::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
        return p;
    }

    /** Returns the address as IP:PORT. */
    public String address() {
        return server.address();
    }

    /** Returns the orders for instances that were answered, in the order of their execution. */
    public List<InstanceOrder> orders() {
        return List.copyOf(orders);
    }

    /** Delays the execution of all later calls to the instance API, in milliseconds; 0 for none. */
    public void delayInstanceCalls(long millis) {
        instanceDelayMillis = millis;
    }

    private static long now() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    private synchronized void tick() {
        store.expireLeases();
        instances.tick();
        notifyWatchers();
    }

    private void receive(Exchange exchange) {
        long delay = exchange.path().startsWith(INSTANCE_API) ? instanceDelayMillis : 0;
        if (delay > 0) {
            var unused = timer.schedule(() -> route(exchange), delay, TimeUnit.MILLISECONDS);
        } else {
            route(exchange);
        }
    }

    private synchronized void route(Exchange exchange) {
        String path = exchange.path();
        String last = path.substring(path.lastIndexOf('/') + 1);
        if (path.startsWith("/api/kv-keep/")) {
            exchange.answer(store.keepLease(Long.parseLong(last)) ? OK : NOT_FOUND, JsonHttp.object());
        } else if (path.startsWith("/api/kv-lease-end/")) {
            exchange.answer(store.endLease(Long.parseLong(last)) ? OK : NOT_FOUND, JsonHttp.object());
        } else {
            switch (path) {
                case "/api/kv-key" -> read(exchange);
                case "/api/kv-range" -> exchange.answer(OK, store.range(exchange.query("pathPrefix")));
                case "/api/kv-watch" -> watch(exchange);
                case "/api/kv-txn" -> commit(exchange);
                case "/api/kv-lease" -> openLease(exchange);
                case "/api/machines" -> exchange.answer(OK, instances.list());
                case "/api/machine-move", "/api/machine-upkeep" -> order(exchange, path.endsWith("upkeep"));
                case "/api/advise" -> advise(exchange);
                case "/standin/put" -> putAsOperator(exchange);
                case "/standin/remove" -> removeAsOperator(exchange);
                case "/standin/restart" -> restart(exchange);
                case "/standin/machine" -> exchange.answer(OK, instances.register(exchange.body));
                default -> exchange.answer(NOT_FOUND, JsonHttp.object());
            }
        }
        notifyWatchers();
    }

    private void restart(Exchange exchange) {
        instances.restart(exchange.body.path("machine").asText());
        exchange.answer(OK, JsonHttp.object());
    }

    private void read(Exchange exchange) {
        ObjectNode item = store.read(exchange.query("privateKey"));
        exchange.answer(
                item == null ? NOT_FOUND : OK, item == null ? JsonHttp.object().put("at", store.revision()) : item);
    }

    private void watch(Exchange exchange) {
        long endsAt = now() + exchange.number("waitMs");
        watchers.add(new Watcher(
                exchange.query("pathPrefix"), exchange.number("after"), endsAt, exchange.response, exchange.callback));
    }

    private void notifyWatchers() {
        watchers.removeIf(answerIfDue());
    }

    private Predicate<Watcher> answerIfDue() {
        long now = now();
        return w -> {
            ArrayNode changes = store.changes(w.prefix, w.after);
            if (changes == null) {
                JsonHttp.answer(w.response, w.callback, GONE, JsonHttp.object());
                return true;
            }
            if (changes.isEmpty() && now < w.endsAt) {
                return false;
            }
            ObjectNode answer = JsonHttp.object().put("at", store.revision());
            answer.set("events", changes);
            JsonHttp.answer(w.response, w.callback, OK, answer);
            return true;
        };
    }

    private void commit(Exchange exchange) {
        if (writesReservedKeys(exchange.body)) {
            exchange.answer(FORBIDDEN, JsonHttp.object());
            return;
        }
        for (JsonNode p : exchange.body.path("put")) {
            if (!store.hasLease(p.path("lease").asLong())) {
                exchange.answer(NOT_FOUND, JsonHttp.object());
                return;
            }
        }
        ObjectNode conflict = store.conflict(exchange.body.path("expectedRevision"));
        if (conflict != null) {
            exchange.answer(PRECONDITION_FAILED, conflict);
            return;
        }
        store.change(exchange.body.path("put"), exchange.body.path("remove"));
        exchange.answer(OK, JsonHttp.object().put("revision", store.revision()));
    }

    private static boolean writesReservedKeys(JsonNode body) {
        for (JsonNode p : body.path("put")) {
            String key = p.path("privateKey").asText();
            if (key.startsWith("op/") || key.startsWith("servers/")) {
                return true;
            }
        }
        return false;
    }

    private void openLease(Exchange exchange) {
        long ttl = exchange.body.path("ttl_ms").asLong();
        exchange.answer(OK, JsonHttp.object().put("lease", store.openLease(ttl)).put("ttl_ms", ttl));
    }

    private void order(Exchange exchange, boolean upkeep) {
        String instance = exchange.body.path("machine").asText();
        HttpFields headers = exchange.request.getHeaders();
        orders.add(
                new InstanceOrder(instance, headers.get("Lease-Holder"), headers.getLongField("Fencing-Token"), now()));
        String refused = instances.order(instance, upkeep, exchange.body);
        exchange.answer(
                refused.isEmpty() ? OK : CONFLICT,
                refused.isEmpty() ? JsonHttp.object() : JsonHttp.object().put("reason", refused));
    }

    private static void advise(Exchange exchange) {
        ObjectNode answer = JsonHttp.object().put("valid_ms", TICKET_MILLIS);
        ArrayNode accepted = answer.putArray("good");
        exchange.body.path("workers").forEach(w -> accepted.addArray().add(w).add("ticket-" + w.asText()));
        exchange.answer(OK, answer);
    }

    /**
     * Writes a value as an operator does. {@code coded} allows values that are not JSON, not text or not valid base64.
     */
    private void putAsOperator(Exchange exchange) {
        String key = exchange.body.path("key").asText();
        if (exchange.body.has("coded")) {
            writeEncoded(key, exchange.body.path("coded").asText());
        } else {
            writeRecord(key, exchange.body.path("value").toString());
        }
        exchange.answer(OK, JsonHttp.object().put("revision", store.revision()));
    }

    /** Removes a record as an operator does. */
    private void removeAsOperator(Exchange exchange) {
        writeRecord(exchange.body.path("key").asText(), "");
        exchange.answer(OK, JsonHttp.object().put("revision", store.revision()));
    }

    private void writeEncoded(String key, String encoded) {
        ArrayNode puts = JsonHttp.array();
        puts.addObject().put("privateKey", key).put("value", encoded).put("lease", 0);
        store.change(puts, JsonHttp.array());
    }

    /** Writes a record of the platform itself; an empty value removes it. */
    private synchronized void writeRecord(String key, String value) {
        ArrayNode puts = JsonHttp.array();
        ArrayNode removals = JsonHttp.array();
        if (value.isEmpty()) {
            removals.add(key);
        } else {
            String encoded = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
            puts.addObject().put("privateKey", key).put("value", encoded).put("lease", 0);
        }
        store.change(puts, removals);
    }

    @Override
    public void close() throws Exception {
        timer.shutdownNow();
        server.close();
        client.stop();
    }
}
