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
package org.lupinpaddle.daemon.wave;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Result;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.instance.InstanceRecord;
import org.lupinpaddle.core.instance.InstanceState;
import org.lupinpaddle.core.wave.WorkerStatus;
import org.lupinpaddle.daemon.common.EventLoop;

/** Queries workers for their state and stores the last result of each. */
final class WorkerProbe {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long PROBE_TIMEOUT_MILLIS = 1_000;
    // Two missed probes in a row plus some margin, so that a single lost probe is not taken for a failure.
    private static final long FAILED_AFTER_MILLIS = 2_500;
    private static final int MAX_RESPONSE_BYTES = 65_536;
    private static final int OK = 200;

    private final HttpClient client;
    private final EventLoop loop;
    private final Map<String, WorkerStatus> lastObservations = new HashMap<>();
    private final Map<String, Long> unreachableSince = new HashMap<>();
    private final Map<String, Long> rebootingSince = new HashMap<>();
    private final Set<String> inFlight = new HashSet<>();

    WorkerProbe(HttpClient client, EventLoop loop) {
        this.client = client;
        this.loop = loop;
    }

    /** Sends a probe to a worker unless one is already in flight. */
    void probe(InstanceRecord instance) {
        trackReboot(instance);
        if (!inFlight.add(instance.id())) {
            return;
        }
        long sentAt = loop.clock().millis();
        client.newRequest("http://" + instance.address() + "/status")
                .timeout(PROBE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .send(new BufferingResponseListener(MAX_RESPONSE_BYTES) {
                    @Override
                    public void onComplete(Result result) {
                        boolean success =
                                result.isSucceeded() && result.getResponse().getStatus() == OK;
                        WorkerStatus observation =
                                success ? parse(getContentAsString(StandardCharsets.UTF_8), sentAt) : null;
                        loop.execute(() -> onProbeResult(instance.id(), observation, sentAt));
                    }
                });
    }

    private void trackReboot(InstanceRecord instance) {
        if (instance.state() == InstanceState.REBOOTING) {
            rebootingSince.putIfAbsent(instance.id(), loop.clock().millis());
        } else {
            rebootingSince.remove(instance.id());
        }
    }

    private static @Nullable WorkerStatus parse(@Nullable String text, long sentAt) {
        try {
            JsonNode node = MAPPER.readTree(text == null ? "" : text);
            boolean complete = node.path("incarnation").isIntegralNumber()
                    && node.path("running").isInt()
                    && node.path("leaving").isBoolean();
            return complete
                    ? new WorkerStatus(
                            node.path("incarnation").asLong(),
                            true,
                            node.path("leaving").asBoolean(),
                            node.path("running").asInt(),
                            sentAt)
                    : null;
        } catch (JsonProcessingException e) {
            return null;
        }
    }

    private void onProbeResult(String id, @Nullable WorkerStatus observation, long sentAt) {
        inFlight.remove(id);
        if (observation != null) {
            lastObservations.put(id, observation);
            unreachableSince.remove(id);
            return;
        }
        unreachableSince.putIfAbsent(id, sentAt);
        WorkerStatus previous = lastObservations.getOrDefault(id, WorkerStatus.NONE);
        lastObservations.put(
                id, new WorkerStatus(previous.incarnation(), false, previous.leaving(), previous.running(), sentAt));
    }

    /** Returns the last known state of a worker. */
    WorkerStatus lastObservation(String instance) {
        return lastObservations.getOrDefault(instance, WorkerStatus.NONE);
    }

    /** Returns the workers that have not responded for long enough to count as failed. */
    Set<String> failed() {
        return longerThan(unreachableSince, FAILED_AFTER_MILLIS);
    }

    /** Returns the instances whose reboot has taken longer than {@code millis} since this driver first saw it. */
    Set<String> overdue(long millis) {
        return longerThan(rebootingSince, millis);
    }

    private Set<String> longerThan(Map<String, Long> since, long millis) {
        long now = loop.clock().millis();
        Set<String> all = new HashSet<>();
        since.forEach((id, startedAt) -> {
            if (now - startedAt > millis) {
                all.add(id);
            }
        });
        return all;
    }
}
