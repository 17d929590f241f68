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
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
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

    private final Map<String, Integer> executedStarts = new HashMap<>();
    private int startCount;
    private long lastStartAt = Long.MIN_VALUE;
    private boolean nextStartIsLate;
    private @Nullable LateStart lateStart;
    private final CompletableFuture<String> lateStartOutcome = new CompletableFuture<>();

    private record PendingHold(
            JobWorkerIncarnation incarnation, long endsAt, Request request, Response response, Callback callback) {

        /** Closes the connection without an answer, as a crash does. */
        void abort() {
            request.getConnectionMetaData().getConnection().getEndPoint().close();
        }
    }

    private record LateStart(JobWorkerIncarnation sentTo, String incarnationId, JsonNode order) {}

    private JobWorkerStandIn(
            String machine, String pool, String hall, String rack, String platform, boolean statesBirth) {
        this.platform = platform;
        description = JsonHttp.object()
                .put("machine", machine)
                .put("pool", pool)
                .put("zone", hall)
                .put("statesBirth", statesBirth);
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
        return start(new JobWorkerStandIn(machine, pool, hall, rack, platform, true));
    }

    /** Starts a worker like {@link #start}, but one that does not state when its incarnation was born. */
    public static JobWorkerStandIn startWithoutBirth(
            String machine, String pool, String hall, String rack, String platform) throws Exception {
        return start(new JobWorkerStandIn(machine, pool, hall, rack, platform, false));
    }

    private static JobWorkerStandIn start(JobWorkerStandIn w) throws Exception {
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

    /**
     * Makes the next start order late: it gets no answer, and after a restart under the same id the next incarnation
     * executes it right after its first answer to a hold.
     */
    public synchronized void delayNextStartUntilRestart() {
        nextStartIsLate = true;
    }

    /** Completes when the late start is executed, with the reason if it is refused, otherwise an empty string. */
    public CompletableFuture<String> lateStartOutcome() {
        return lateStartOutcome;
    }

    /** Returns how often a task has been started, by any incarnation. */
    public synchronized int executedStarts(String task) {
        return executedStarts.getOrDefault(task, 0);
    }

    /** Returns how many runs have been started, by any incarnation. */
    public synchronized int startCount() {
        return startCount;
    }

    /** Returns when the latest run was started, in milliseconds of the monotonic clock; negative if none was. */
    public synchronized long lastStartAt() {
        return lastStartAt;
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
            if (current == null) {
                JsonHttp.answer(h.response, h.callback, MISDIRECTED, JsonHttp.object());
                return true;
            }
            if (current != h.incarnation) {
                h.abort();
                return true;
            }
            boolean due = current.hasEnds() || now() >= h.endsAt;
            if (due) {
                answerHold(current, h.response, h.callback);
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
            case "/api/run-start" -> start(current, body, response, callback);
            case "/api/run-stop" -> answer(response, callback, current.stop(body));
            case "/api/pace" -> answer(response, callback, current.checkFence(body));
            case "/api/hold" -> hold(current, request, body, response, callback);
            default -> JsonHttp.answer(response, callback, NOT_FOUND, JsonHttp.object());
        }
    }

    private void start(JobWorkerIncarnation current, JsonNode body, Response response, Callback callback) {
        if (nextStartIsLate) {
            nextStartIsLate = false;
            lateStart = new LateStart(current, incarnationId, body);
            return;
        }
        answer(response, callback, execute(current, body));
    }

    private String execute(JobWorkerIncarnation current, JsonNode start) {
        String task = start.path("task").asText();
        int run = start.path("run").asInt();
        boolean wasRunning = current.isRunning(task, run);
        String refused = current.start(start);
        if (refused.isEmpty() && !wasRunning) {
            executedStarts.merge(task, 1, Integer::sum);
            startCount++;
            lastStartAt = now();
        }
        return refused;
    }

    private void executeLateStart(JobWorkerIncarnation current) {
        LateStart late = lateStart;
        if (late != null && late.sentTo != current && late.incarnationId.equals(incarnationId)) {
            lateStart = null;
            lateStartOutcome.complete(execute(current, late.order));
        }
    }

    private void hold(
            JobWorkerIncarnation current, Request request, JsonNode body, Response response, Callback callback) {
        String refused = current.checkFence(body);
        if (!refused.isEmpty()) {
            answer(response, callback, refused);
            return;
        }
        current.acceptHold(body);
        if (current.hasEnds() || body.path("waitMs").asLong() == 0) {
            answerHold(current, response, callback);
        } else {
            long endsAt = now() + body.path("waitMs").asLong();
            holds.add(new PendingHold(current, endsAt, request, response, callback));
        }
    }

    private void answerHold(JobWorkerIncarnation current, Response response, Callback callback) {
        ObjectNode answer = current.holdAnswer();
        if (!description.path("statesBirth").asBoolean()) {
            answer.remove("born");
        }
        JsonHttp.answer(response, callback, OK, answer);
        executeLateStart(current);
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
