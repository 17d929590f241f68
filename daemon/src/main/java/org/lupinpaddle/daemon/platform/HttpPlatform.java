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
package org.lupinpaddle.daemon.platform;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.StringRequestContent;
import org.lupinpaddle.core.view.StoredRecord;

/**
 * The platform over HTTP: the store in the JSON form of etcd's v3 API (range, txn comparing mod_revision,
 * lease, watch), the instance list and maintenance in plain JSON. Each call is counted by a metric, for
 * the platform counts them too.
 */
public final class HttpPlatform implements Platform {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private static final long CALL_MILLIS = 4_000;
    private static final long MAINTENANCE_MILLIS = 10_000;
    private static final int LARGEST_ANSWER = 8 << 20;

    private final HttpClient client;
    private final String base;
    private final MetricRegistry metrics;

    /** Makes the adapter for a platform at IP:PORT. The client is started and stopped by the caller. */
    public HttpPlatform(HttpClient client, String address, MetricRegistry metrics) {
        this.client = client;
        this.base = "http://" + address;
        this.metrics = metrics;
    }

    @Override
    public CompletableFuture<RangeResult> range(String prefix, long fromRevision) {
        ObjectNode call = MAPPER.createObjectNode()
                .put("key", encode(prefix))
                .put("range_end", encode(prefixEnd(prefix)))
                .put("min_mod_revision", Long.toString(fromRevision));
        return post("read", "/v3/kv/range", call).thenApply(HttpPlatform::rangeResult);
    }

    private static RangeResult rangeResult(JsonNode n) {
        List<StoredRecord> records = new ArrayList<>();
        n.path("kvs").forEach(kv -> records.add(storedRecord(kv)));
        return new RangeResult(records, n.path("header").path("revision").asLong());
    }

    private static StoredRecord storedRecord(JsonNode kv) {
        return new StoredRecord(
                decode(kv.path("key").asText()),
                decode(kv.path("value").asText()),
                kv.path("mod_revision").asLong());
    }

    // The smallest key that is greater than all keys with the prefix, as etcd's range_end wants it.
    private static String prefixEnd(String prefix) {
        int last = prefix.length() - 1;
        return prefix.substring(0, last) + (char) (prefix.charAt(last) + 1);
    }

    @Override
    public CompletableFuture<SwapResult> swap(Swap swap) {
        ObjectNode call = MAPPER.createObjectNode();
        call.putArray("compare")
                .addObject()
                .put("key", encode(swap.key()))
                .put("target", "MOD")
                .put("result", "EQUAL")
                .put("mod_revision", Long.toString(swap.expectedRevision()));
        call.putArray("success")
                .addObject()
                .putObject("request_put")
                .put("key", encode(swap.key()))
                .put("value", encode(swap.value()))
                .put("lease", Long.toString(swap.lease()));
        return post("write", "/v3/kv/txn", call)
                .thenApply(n -> new SwapResult(
                        n.path("succeeded").asBoolean(),
                        n.path("header").path("revision").asLong()));
    }

    @Override
    public CompletableFuture<Long> grantLease(long ttlSeconds) {
        ObjectNode call = MAPPER.createObjectNode().put("TTL", Long.toString(ttlSeconds));
        return post("lease", "/v3/lease/grant", call)
                .thenApply(n -> n.path("ID").asLong());
    }

    @Override
    public CompletableFuture<Boolean> keepAlive(long lease) {
        ObjectNode call = MAPPER.createObjectNode().put("ID", Long.toString(lease));
        return post("lease", "/v3/lease/keepalive", call)
                .thenApply(n -> n.path("result").path("TTL").asLong() > 0);
    }

    @Override
    public CompletableFuture<Void> revoke(long lease) {
        ObjectNode call = MAPPER.createObjectNode().put("ID", Long.toString(lease));
        return post("lease", "/v3/lease/revoke", call).thenAccept(n -> {});
    }

    @Override
    public Watch watch(String prefix, long fromRevision, Consumer<RangeResult> onEvents, Runnable onEnd) {
        metrics.counter("platform.calls.watch").inc();
        ObjectNode call = MAPPER.createObjectNode();
        call.putObject("create_request")
                .put("key", encode(prefix))
                .put("range_end", encode(prefixEnd(prefix)))
                .put("start_revision", Long.toString(fromRevision));
        LineReader lines = new LineReader(line -> onEvents.accept(watchEvents(line)));
        Request request = client.POST(base + "/v3/watch")
                .body(new StringRequestContent("application/json", call.toString()))
                .idleTimeout(0, TimeUnit.MILLISECONDS)
                .onResponseContent((response, chunk) -> lines.take(chunk));
        WatchHandle handle = new WatchHandle(request, onEnd);
        request.send(result -> handle.ended());
        return handle;
    }

    private static RangeResult watchEvents(String line) {
        try {
            JsonNode result = MAPPER.readTree(line).path("result");
            List<StoredRecord> records = new ArrayList<>();
            for (JsonNode e : result.path("events")) {
                if (!e.path("type").asText("PUT").equals("DELETE")) {
                    records.add(storedRecord(e.path("kv")));
                }
            }
            return new RangeResult(
                    records, result.path("header").path("revision").asLong());
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("watch sent a line that is not JSON", e);
        }
    }

    @Override
    public CompletableFuture<List<LeavingInstance>> leavingInstances(String hall) {
        metrics.counter("platform.calls.list").inc();
        Request request = client.newRequest(base + "/instances?leaving=true&hall=" + hall);
        return send(request, CALL_MILLIS).thenCompose(HttpPlatform::okOnly).thenApply(n -> {
            List<LeavingInstance> all = new ArrayList<>();
            n.path("instances")
                    .forEach(i -> all.add(new LeavingInstance(
                            i.path("id").asText(), i.path("incarnation").asLong())));
            return all;
        });
    }

    @Override
    public CompletableFuture<MaintenanceResult> maintain(
            MaintenanceStep step, String instance, long incarnation, long fence) {
        metrics.counter("platform.calls.maintenance").inc();
        ObjectNode call =
                MAPPER.createObjectNode().put("incarnation", incarnation).put("fence", fence);
        Request request = client.POST(base + "/instances/" + instance + "/" + step.path())
                .body(new StringRequestContent("application/json", call.toString()));
        return send(request, MAINTENANCE_MILLIS)
                .thenCompose(a -> a.status == CONFLICT
                        ? CompletableFuture.completedFuture(MaintenanceResult.REFUSED)
                        : okOnly(a).thenApply(n -> MaintenanceResult.ACCEPTED));
    }

    private CompletableFuture<JsonNode> post(String kind, String path, JsonNode call) {
        metrics.counter("platform.calls." + kind).inc();
        Request request = client.POST(base + path).body(new StringRequestContent("application/json", call.toString()));
        return send(request, CALL_MILLIS).thenCompose(HttpPlatform::okOnly);
    }

    private record Answer(int status, String text) {}

    private static CompletableFuture<JsonNode> okOnly(Answer a) {
        if (a.status != OK) {
            return CompletableFuture.failedFuture(new PlatformAwayException("status " + a.status));
        }
        try {
            return CompletableFuture.completedFuture(MAPPER.readTree(a.text));
        } catch (JsonProcessingException e) {
            return CompletableFuture.failedFuture(new PlatformAwayException("answer is not JSON", e));
        }
    }

    private CompletableFuture<Answer> send(Request request, long millis) {
        CompletableFuture<Answer> future = new CompletableFuture<>();
        request.timeout(millis, TimeUnit.MILLISECONDS).send(new BufferingResponseListener(LARGEST_ANSWER) {
            @Override
            public void onComplete(Result result) {
                if (result.isFailed()) {
                    metrics.counter("platform.calls.failed").inc();
                    future.completeExceptionally(new PlatformAwayException("no answer", result.getFailure()));
                } else {
                    future.complete(
                            new Answer(result.getResponse().getStatus(), getContentAsString(StandardCharsets.UTF_8)));
                }
            }
        });
        return future;
    }

    private static String encode(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String decode(String base64) {
        return new String(Base64.getDecoder().decode(base64), StandardCharsets.UTF_8);
    }
}
