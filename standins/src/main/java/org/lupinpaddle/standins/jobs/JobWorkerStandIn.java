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

/** A worker of the operators' platform as a process: it serves orders for the life that the platform gives it. */
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
    private final ObjectNode described;
    private final List<Waiting> holds = new ArrayList<>();
    private String lifeId = "";
    private @Nullable JobWorkerLife life;

    private record Waiting(long endsAt, Response response, Callback callback) {}

    private JobWorkerStandIn(String machine, String pool, String hall, String rack, String platform) {
        this.platform = platform;
        described = JsonHttp.object().put("machine", machine).put("pool", pool).put("zone", hall);
        described
                .putObject("room")
                .put("cpu", CPU_MILLIS)
                .put("memMb", MEMORY_MB)
                .put("gpu", 0);
        described.putArray("labels").add("usual").add(rack);
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

    /** Starts a worker that stands for an instance of a pool, and reports to the platform. */
    public static JobWorkerStandIn start(String machine, String pool, String hall, String rack, String platform)
            throws Exception {
        JobWorkerStandIn w = new JobWorkerStandIn(machine, pool, hall, rack, platform);
        w.server.start();
        w.client.start();
        w.described.put("address", w.address());
        var report = w.timer.scheduleWithFixedDelay(w::report, 0, REPORT_MILLIS, TimeUnit.MILLISECONDS);
        var tick = w.timer.scheduleWithFixedDelay(w::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
        return w;
    }

    /** Returns IP and port. */
    public String address() {
        return "127.0.0.1:" + connector.getLocalPort();
    }

    private static long now() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    private void report() {
        ObjectNode body;
        synchronized (this) {
            body = described.deepCopy().put("life", lifeId);
        }
        try {
            var answer = client.POST("http://" + platform + "/standin/machine")
                    .body(new StringRequestContent("application/json", body.toString()))
                    .send();
            lead(JsonHttp.MAPPER.readTree(answer.getContentAsString()));
        } catch (Exception e) {
            // The platform is away; the worker goes on, and reports again in a moment.
            System.out.println("event=report-failed why=\"" + e + "\"");
        }
    }

    /** Leads the life that the platform names; another birth under the same id is another life. */
    private synchronized void lead(JsonNode told) {
        String id = told.path("life").asText();
        long born = told.path("born").asLong();
        boolean same = id.equals(lifeId) && (life == null || life.bornMillis() == born);
        if (!same) {
            lifeId = id;
            life = id.isEmpty() ? null : new JobWorkerLife(born, JobWorkerStandIn::now);
            System.out.println("event=life id=" + id + " born=" + born);
        }
    }

    private synchronized void tick() {
        JobWorkerLife l = life;
        if (l != null) {
            l.pass();
        }
        holds.removeIf(h -> {
            boolean due = l == null || l.hasEnds() || now() >= h.endsAt;
            if (due) {
                JsonHttp.answer(
                        h.response,
                        h.callback,
                        l == null ? MISDIRECTED : OK,
                        l == null ? JsonHttp.object() : l.shown());
            }
            return due;
        });
    }

    private synchronized void route(Request request, JsonNode body, Response response, Callback callback) {
        String path = request.getHttpURI().getPath();
        if (path.equals("/standin/life")) {
            lead(body);
            JsonHttp.answer(response, callback, OK, JsonHttp.object());
            return;
        }
        JobWorkerLife l = life;
        if (l == null || !lifeId.equals(request.getHeaders().get("Expect-Instance"))) {
            JsonHttp.answer(response, callback, MISDIRECTED, JsonHttp.object());
            return;
        }
        l.pass();
        switch (path) {
            case "/api/run-start" -> answer(response, callback, l.start(body));
            case "/api/run-stop" -> answer(response, callback, l.stop(body));
            case "/api/pace" -> answer(response, callback, l.checkFence(body));
            case "/api/hold" -> hold(l, body, response, callback);
            default -> JsonHttp.answer(response, callback, NOT_FOUND, JsonHttp.object());
        }
    }

    private void hold(JobWorkerLife l, JsonNode body, Response response, Callback callback) {
        String refused = l.checkFence(body);
        if (!refused.isEmpty()) {
            answer(response, callback, refused);
            return;
        }
        l.extend(body);
        if (l.hasEnds() || body.path("waitMs").asLong() == 0) {
            JsonHttp.answer(response, callback, OK, l.shown());
        } else {
            holds.add(new Waiting(now() + body.path("waitMs").asLong(), response, callback));
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
