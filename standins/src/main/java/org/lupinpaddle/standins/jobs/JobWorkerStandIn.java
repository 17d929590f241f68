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
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.standins.JsonHttp;

/**
 * A stand-in for a worker of the operators' platform. It executes orders for the incarnation that the platform assigns
 * to it.
 */
public final class JobWorkerStandIn implements AutoCloseable {

    private static final long REPORT_MILLIS = 300;
    private static final long TICK_MILLIS = 20;
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int MISDIRECTED = 421;
    private static final int CPU_MILLIS = 4_000;
    private static final int MEMORY_MB = 8_192;

    private final Server server = new Server(new QueuedThreadPool(32, 4));
    private final ServerConnector connector = new ServerConnector(server, 1, 1);
    private final HttpClient client = new HttpClient();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final String platform;
    private final ObjectNode description;
    private final List<PendingHold> holds = new ArrayList<>();
    private String incarnationId = "";
    private @Nullable JobWorkerIncarnation incarnation;

    private record PendingHold(long endsAt, Response response, Callback callback) {}

    private JobWorkerStandIn(String machine, String pool, String hall, String rack, String platform) {
        this.platform = platform;
        description =
                JsonHttp.object().put("machine", machine).put("pool", pool).put("zone", hall);
        description
                .putObject("room")
                .put("cpu", CPU_MILLIS)
                .put("memMb", MEMORY_MB)
                .put("gpu", 0);
        description.putArray("labels").add("usual").add(rack);
        connector.setHost("127.0.0.1");
        server.addConnector(connector);
        server.setHandler(new Handler.Abstract() {
            @Override
            public boolean handle(Request request, Response response, Callback callback) throws Exception {
                route(request, JsonHttp.body(request), response, callback);
                return true;
            }
        });
    }

    /** Starts a worker that represents an instance of a pool and reports to the platform. */
    public static JobWorkerStandIn start(String machine, String pool, String hall, String rack, String platform)
            throws Exception {
        JobWorkerStandIn w = new JobWorkerStandIn(machine, pool, hall, rack, platform);
        w.server.start();
        w.client.start();
        w.description.put("address", w.address());
        var report = w.timer.scheduleWithFixedDelay(w::report, 0, REPORT_MILLIS, TimeUnit.MILLISECONDS);
        var tick = w.timer.scheduleWithFixedDelay(w::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
        return w;
    }

    /** Returns the address as IP:PORT. */
    public String address() {
        return "127.0.0.1:" + connector.getLocalPort();
    }

    private static long now() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    private void report() {
        ObjectNode body;
        synchronized (this) {
            body = description.deepCopy().put("life", incarnationId);
        }
        try {
            var answer = client.POST("http://" + platform + "/standin/machine")
                    .body(new StringRequestContent("application/json", body.toString()))
                    .send();
            adopt(JsonHttp.MAPPER.readTree(answer.getContentAsString()));
        } catch (Exception e) {
            // The platform is unavailable; the worker goes on and reports again after a moment.
            System.out.println("event=report-failed why=\"" + e + "\"");
        }
    }

    /** Adopts the assigned incarnation; the same id with another start time is a new incarnation. */
    private synchronized void adopt(JsonNode assignment) {
        String id = assignment.path("life").asText();
        long born = assignment.path("born").asLong();
        boolean unchanged = id.equals(incarnationId) && (incarnation == null || incarnation.bornMillis() == born);
        if (!unchanged) {
            incarnationId = id;
            incarnation = id.isEmpty() ? null : new JobWorkerIncarnation(born, JobWorkerStandIn::now);
            System.out.println("event=life id=" + id + " born=" + born);
        }
    }

    private synchronized void tick() {
        JobWorkerIncarnation current = incarnation;
        if (current != null) {
            current.endDueRuns();
        }
        holds.removeIf(h -> {
            boolean due = current == null || current.hasEnds() || now() >= h.endsAt;
            if (due) {
                JsonHttp.answer(
                        h.response,
                        h.callback,
                        current == null ? MISDIRECTED : OK,
                        current == null ? JsonHttp.object() : current.holdAnswer());
            }
            return due;
        });
    }

    private synchronized void route(Request request, JsonNode body, Response response, Callback callback) {
        String path = request.getHttpURI().getPath();
        if (path.equals("/standin/life")) {
            adopt(body);
            JsonHttp.answer(response, callback, OK, JsonHttp.object());
            return;
        }
        JobWorkerIncarnation current = incarnation;
        if (current == null || !incarnationId.equals(request.getHeaders().get("Expect-Instance"))) {
            JsonHttp.answer(response, callback, MISDIRECTED, JsonHttp.object());
            return;
        }
        current.endDueRuns();
        switch (path) {
            case "/api/run-start" -> answer(response, callback, current.start(body));
            case "/api/run-stop" -> answer(response, callback, current.stop(body));
            case "/api/pace" -> answer(response, callback, current.checkFence(body));
            case "/api/hold" -> hold(current, body, response, callback);
            default -> JsonHttp.answer(response, callback, NOT_FOUND, JsonHttp.object());
        }
    }

    private void hold(JobWorkerIncarnation current, JsonNode body, Response response, Callback callback) {
        String refused = current.checkFence(body);
        if (!refused.isEmpty()) {
            answer(response, callback, refused);
            return;
        }
        current.acceptHold(body);
        if (current.hasEnds() || body.path("waitMs").asLong() == 0) {
            JsonHttp.answer(response, callback, OK, current.holdAnswer());
        } else {
            holds.add(new PendingHold(now() + body.path("waitMs").asLong(), response, callback));
        }
    }

    private static void answer(Response response, Callback callback, String refused) {
        ObjectNode body = JsonHttp.object().put("clockMs", now());
        if (!refused.isEmpty()) {
            body.put("reason", refused);
        }
        JsonHttp.answer(response, callback, refused.isEmpty() ? OK : CONFLICT, body);
    }

    @Override
    public void close() throws Exception {
        timer.shutdownNow();
        server.stop();
        client.stop();
    }
}
