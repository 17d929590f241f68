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
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * A stand-in for the platform: the configuration store, the lagging instance list, drain and reboot. {@code POST
 * /standin/faults} makes it slow, unavailable or unresponsive, lets it lose replies, or increases the lag of the list.
 */
public final class PlatformStandIn implements AutoCloseable {

    private static final long TICK_MILLIS = 50;
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int UNAVAILABLE = 503;

    private record Watcher(String prefix, Response response) {}

    private final LoopbackServer server;
    private final HttpClient client = new HttpClient();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final KeyValueStore store = new KeyValueStore(this::notifyWatchers);
    private final InstanceList instances = new InstanceList();
    private final List<Watcher> watchers = new ArrayList<>();
    private volatile Faults faults = Faults.NONE;
    private long calls;

    private PlatformStandIn(int port) {
        server = new LoopbackServer(port, this::route);
        server.setIdleTimeout(TimeUnit.HOURS.toMillis(1));
    }

    /** Starts the stand-in on a port, or on a free one if the port is 0. */
    public static PlatformStandIn start(int port) throws Exception {
        PlatformStandIn p = new PlatformStandIn(port);
        p.client.start();
        p.server.start();
        var unused = p.timer.scheduleAtFixedRate(p::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
        return p;
    }

    /** Returns the address as IP:PORT. */
    public String address() {
        return server.address();
    }

    /** Sets the faults from JSON. */
    public void setFaults(String json) throws IOException {
        faults = Faults.of(JsonHttp.MAPPER.readTree(json));
    }

    @Override
    public void close() throws Exception {
        timer.shutdownNow();
        server.close();
        client.stop();
    }

    private synchronized void tick() {
        long now = now();
        store.expireLeases(now);
        instances.snapshot(now);
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    private void route(Request request, Response response, Callback callback) throws Exception {
        String path = request.getHttpURI().getPath();
        JsonNode body = JsonHttp.body(request);
        if (path.startsWith("/v3/")) {
            storeCall(path, body, request, response, callback);
        } else if (path.startsWith("/instances")) {
            instanceCall(path, request, body, response, callback);
        } else if (path.equals("/standin/faults")) {
            faults = Faults.of(body);
            JsonHttp.answer(response, callback, OK, JsonHttp.object());
        } else if (path.equals("/standin/counts")) {
            synchronized (this) {
                ObjectNode n = JsonHttp.object().put("calls", calls).put("writes", store.writes());
                JsonHttp.answer(response, callback, OK, n.put("watches", watchers.size()));
            }
        } else {
            JsonHttp.answer(response, callback, NOT_FOUND, JsonHttp.object());
        }
    }

    private void storeCall(String path, JsonNode body, Request request, Response response, Callback callback)
            throws Exception {
        Faults f = faults;
        synchronized (this) {
            calls++;
        }
        if (f.down()) {
            JsonHttp.answer(response, callback, UNAVAILABLE, JsonHttp.object().put("error", "unavailable"));
            return;
        }
        if (f.hang()) {
            // The call stays open without an answer, as with a store that hangs.
            return;
        }
        if (f.delayMillis() > 0) {
            TimeUnit.MILLISECONDS.sleep(f.delayMillis());
        }
        synchronized (this) {
            if (path.equals("/v3/watch")) {
                watch(body.path("create_request"), response);
                return;
            }
            ObjectNode out = call(path, body);
            if (path.equals("/v3/kv/txn") && faults.loseReplies() > 0) {
                faults = faults.withOneReplyLost();
                request.getConnectionMetaData().getConnection().getEndPoint().close();
                callback.failed(new IOException("reply lost on purpose"));
                return;
            }
            JsonHttp.answer(response, callback, out.has("error") ? NOT_FOUND : OK, out);
        }
    }

    private ObjectNode call(String path, JsonNode body) {
        return switch (path) {
            case "/v3/kv/range" -> store.range(body);
            case "/v3/kv/txn" -> store.txn(body);
            case "/v3/lease/grant" -> store.grantLease(body, now());
            case "/v3/lease/keepalive" -> store.keepAlive(body, now());
            case "/v3/lease/revoke" -> store.revoke(body);
            default -> JsonHttp.object().put("error", "no such call");
        };
    }

    private void watch(JsonNode create, Response response) throws IOException {
        String prefix = KeyValueStore.text(create, "key");
        long since = create.path("start_revision").asLong(store.revision() + 1);
        response.setStatus(OK);
        Watcher w = new Watcher(prefix, response);
        writeEvents(w, store.revision(), store.puts(prefix, since));
        watchers.add(w);
    }

    private void notifyWatchers(long revision, List<ObjectNode> events) {
        if (faults.hang() || faults.down()) {
            return;
        }
        Iterator<Watcher> it = watchers.iterator();
        while (it.hasNext()) {
            Watcher w = it.next();
            List<ObjectNode> matching = events.stream()
                    .filter(e -> KeyValueStore.text(e.path("kv"), "key").startsWith(w.prefix))
                    .toList();
            try {
                if (!matching.isEmpty()) {
                    writeEvents(w, revision, matching);
                }
            } catch (IOException e) {
                it.remove();
            }
        }
    }

    private static void writeEvents(Watcher w, long revision, List<ObjectNode> events) throws IOException {
        ObjectNode result = JsonHttp.object();
        result.putObject("header").put("revision", Long.toString(revision));
        result.put("created", events.isEmpty());
        result.putArray("events").addAll(events);
        ObjectNode line = JsonHttp.object();
        line.set("result", result);
        Content.Sink.write(
                w.response,
                false,
                java.nio.ByteBuffer.wrap((line + "\n").getBytes(java.nio.charset.StandardCharsets.UTF_8)));
    }

    private void instanceCall(String path, Request request, JsonNode body, Response response, Callback callback)
            throws Exception {
        String method = request.getMethod();
        if (faults.instancesDown() && !(path.equals("/instances") && method.equals("POST"))) {
            JsonHttp.answer(response, callback, UNAVAILABLE, JsonHttp.object().put("error", "unavailable"));
        } else if (path.equals("/instances") && method.equals("POST")) {
            synchronized (this) {
                instances.heartbeat(body, now());
            }
            JsonHttp.answer(response, callback, OK, JsonHttp.object());
        } else if (path.equals("/instances")) {
            ObjectNode list;
            synchronized (this) {
                list = instances.list(
                        now(), faults.listLagMillis(), request.getHttpURI().getQuery());
            }
            JsonHttp.answer(response, callback, OK, list);
        } else {
            handleMaintenance(path.split("/"), body, response, callback);
        }
    }

    // Paths are /instances/ID/drain, /instances/ID/undrain and /instances/ID/reboot.
    private void handleMaintenance(String[] parts, JsonNode body, Response response, Callback callback)
            throws Exception {
        ObjectNode out = JsonHttp.object();
        if (parts.length != 4) {
            JsonHttp.answer(response, callback, NOT_FOUND, out);
            return;
        }
        String address;
        synchronized (this) {
            address = instances.checkOrder(parts[2], body, out);
            if (address != null) {
                instances.setLeaving(parts[2], !parts[3].equals("undrain") && !parts[3].equals("reboot"));
            }
        }
        if (address == null) {
            JsonHttp.answer(response, callback, CONFLICT, out);
            return;
        }
        int status = client.newRequest("http://" + address + "/standin/" + parts[3])
                .method("POST")
                .body(new StringRequestContent("application/json", body.toString()))
                .timeout(2, TimeUnit.SECONDS)
                .send()
                .getStatus();
        JsonHttp.answer(response, callback, status, out);
    }
}
