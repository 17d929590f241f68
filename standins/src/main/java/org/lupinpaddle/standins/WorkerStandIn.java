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
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * A stand-in for a worker. It runs requests in slots, refuses them as the protocol specifies when it is full or
 * leaving, and reports its state. Tests can drain and reboot it and make it misbehave.
 *
 * <p>The {@code Run-Millis} header of a request sets its duration. The answer consists of the worker's id and the
 * request's body, so that a caller can recognize its own answer.
 */
public final class WorkerStandIn implements AutoCloseable {

    private static final long HEARTBEAT_MILLIS = 300;
    private static final long REBOOT_MILLIS = 700;
    private static final int OK = 200;
    private static final int ERROR = 500;
    private static final int STOPPED = 409;
    private static final int UNAVAILABLE = 503;
    private static final String REFUSED_HEADER = "Worker-Refused";

    private record Task(Response response, Callback callback, String answer) {}

    private final WorkerPlace config;
    private final String platform;
    private final Server server;
    private final ServerConnector connector;
    private final HttpClient client = new HttpClient();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final Map<String, Task> running = new HashMap<>();
    private final Map<String, Integer> runsByJob = new TreeMap<>();
    private long incarnation = 1;
    private boolean leaving;
    private boolean up = true;
    private boolean failAll;
    private boolean stayDown;
    private boolean cutAnswers;
    private long tasksCutOff;
    private long runs;
    private long taskNumber;
    private String lastTrace = "";

    private WorkerStandIn(WorkerPlace config, String platform) {
        this.config = config;
        this.platform = platform;
        server = new Server(new QueuedThreadPool(32, 4));
        connector = new ServerConnector(server, 1, 1);
        connector.setHost("127.0.0.1");
        server.addConnector(connector);
        server.setHandler(new Handler.Abstract() {
            @Override
            public boolean handle(Request request, Response response, Callback callback) throws Exception {
                route(request, response, callback);
                return true;
            }
        });
    }

    /** Starts a worker that reports to the platform at the given address. */
    public static WorkerStandIn start(WorkerPlace config, String platform) throws Exception {
        WorkerStandIn w = new WorkerStandIn(config, platform);
        w.client.start();
        w.server.start();
        w.connector.setPort(w.connector.getLocalPort());
        w.heartbeat();
        var unused =
                w.timer.scheduleAtFixedRate(w::heartbeat, HEARTBEAT_MILLIS, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
        return w;
    }

    /** Returns the address as IP:PORT. */
    public String address() {
        return "127.0.0.1:" + connector.getPort();
    }

    @Override
    public void close() throws Exception {
        timer.shutdownNow();
        server.stop();
        client.stop();
    }

    private void heartbeat() {
        ObjectNode node;
        synchronized (this) {
            if (!up) {
                return;
            }
            node = status().put("hall", config.hall())
                    .put("rack", config.rack())
                    .put("address", address())
                    .put("memoryMb", config.memoryMb());
        }
        client.newRequest("http://" + platform + "/instances")
                .method("POST")
                .body(new StringRequestContent("application/json", node.toString()))
                .timeout(2, TimeUnit.SECONDS)
                .send(r -> {});
    }

    private ObjectNode status() {
        return JsonHttp.object()
                .put("id", config.id())
                .put("incarnation", incarnation)
                .put("running", running.size())
                .put("slots", config.slots())
                .put("leaving", leaving);
    }

    private void route(Request request, Response response, Callback callback) throws Exception {
        String path = request.getHttpURI().getPath();
        if (path.equals("/status")) {
            synchronized (this) {
                JsonHttp.answer(response, callback, OK, status());
            }
        } else if (path.startsWith("/standin/")) {
            control(path.substring("/standin/".length()), JsonHttp.body(request), response, callback);
        } else if (path.startsWith("/tasks/") && request.getMethod().equals("DELETE")) {
            stopTask(path.substring("/tasks/".length()));
            JsonHttp.answer(response, callback, OK, JsonHttp.object());
        } else {
            work(request, response, callback);
        }
    }

    private void work(Request request, Response response, Callback callback) throws Exception {
        String body = Content.Source.asString(request, StandardCharsets.UTF_8);
        String id = request.getHeaders().get("Request-Id");
        String job = request.getHeaders().get("Job-Id");
        long millis = Math.max(0, request.getHeaders().getLongField("Run-Millis"));
        String taskKey;
        synchronized (this) {
            if (leaving || running.size() >= config.slots()) {
                response.setStatus(UNAVAILABLE);
                response.getHeaders().put(REFUSED_HEADER, leaving ? "leaving" : "full");
                callback.succeeded();
                return;
            }
            runs++;
            String trace = request.getHeaders().get("traceparent");
            lastTrace = trace == null ? "" : trace;
            if (job != null) {
                runsByJob.merge(job, 1, Integer::sum);
            }
            taskKey = id == null ? "task-" + taskNumber++ : id;
            running.put(taskKey, new Task(response, callback, config.id() + ":" + body));
        }
        if (millis == 0) {
            finish(taskKey, OK);
        } else {
            var unused = timer.schedule(() -> finish(taskKey, OK), millis, TimeUnit.MILLISECONDS);
        }
    }

    private void stopTask(String taskKey) {
        finish(taskKey, STOPPED);
    }

    private void finish(String taskKey, int status) {
        Task task;
        boolean failTask;
        boolean truncate;
        synchronized (this) {
            task = running.remove(taskKey);
            failTask = failAll;
            truncate = cutAnswers;
        }
        if (task == null) {
            return;
        }
        if (truncate) {
            // Announces the length of the whole answer and aborts after half of it.
            task.response.getHeaders().put("Content-Length", task.answer.length());
            Content.Sink.write(
                    task.response,
                    false,
                    task.answer.substring(0, task.answer.length() / 2),
                    Callback.from(() -> task.callback.failed(new java.io.IOException("cut on purpose"))));
            return;
        }
        task.response.setStatus(failTask ? ERROR : status);
        Content.Sink.write(task.response, true, failTask ? "failed on purpose" : task.answer, task.callback);
    }

    private void control(String command, JsonNode body, Response response, Callback callback) {
        ObjectNode out = JsonHttp.object();
        synchronized (this) {
            switch (command) {
                case "drain" -> leaving = true;
                case "undrain" -> leaving = false;
                case "reboot" -> {
                    tasksCutOff += running.size();
                    up = false;
                    var unused = timer.schedule(this::stopListening, 20, TimeUnit.MILLISECONDS);
                }
                case "behave" -> {
                    failAll = body.path("failAll").asBoolean();
                    stayDown = body.path("stayDown").asBoolean();
                    cutAnswers = body.path("cutAnswers").asBoolean();
                }
                case "counts" -> {
                    out.put("runs", runs).put("cutOff", tasksCutOff).put("lastTrace", lastTrace);
                    ObjectNode jobs = out.putObject("jobs");
                    runsByJob.forEach(jobs::put);
                }
                default -> out.put("error", "no such verb");
            }
        }
        JsonHttp.answer(response, callback, OK, out);
    }

    private void stopListening() {
        try {
            connector.stop();
        } catch (Exception e) {
            System.err.println("event=stop-failed why=" + e);
        }
        boolean restarts;
        synchronized (this) {
            running.clear();
            restarts = !stayDown;
        }
        if (restarts) {
            var unused = timer.schedule(this::resumeListening, REBOOT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void resumeListening() {
        try {
            connector.start();
            synchronized (this) {
                incarnation++;
                leaving = false;
                up = true;
            }
        } catch (Exception e) {
            System.err.println("event=start-failed why=" + e);
        }
    }
}
