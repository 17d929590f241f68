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

/** Asks workers for their state and keeps what each last said. */
final class WorkerProbe {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long PROBE_MILLIS = 1_000;
    // Two probes missed in a row and some time on top: one lost probe is no failure.
    private static final long FAILED_AFTER_MILLIS = 2_500;
    private static final int LARGEST_ANSWER = 65_536;
    private static final int OK = 200;

    private final HttpClient client;
    private final EventLoop loop;
    private final Map<String, WorkerStatus> sights = new HashMap<>();
    private final Map<String, Long> silentSince = new HashMap<>();
    private final Map<String, Long> rebootingSince = new HashMap<>();
    private final Set<String> underWay = new HashSet<>();

    WorkerProbe(HttpClient client, EventLoop loop) {
        this.client = client;
        this.loop = loop;
    }

    /** Sends a probe to a worker unless one is under way. */
    void probe(InstanceRecord i) {
        noteState(i);
        if (!underWay.add(i.id())) {
            return;
        }
        long sent = loop.clock().millis();
        client.newRequest("http://" + i.address() + "/status")
                .timeout(PROBE_MILLIS, TimeUnit.MILLISECONDS)
                .send(new BufferingResponseListener(LARGEST_ANSWER) {
                    @Override
                    public void onComplete(Result result) {
                        boolean good =
                                result.isSucceeded() && result.getResponse().getStatus() == OK;
                        WorkerStatus s = good ? parse(getContentAsString(StandardCharsets.UTF_8), sent) : null;
                        loop.execute(() -> take(i.id(), s, sent));
                    }
                });
    }

    private void noteState(InstanceRecord i) {
        if (i.state() == InstanceState.REBOOTING) {
            rebootingSince.putIfAbsent(i.id(), loop.clock().millis());
        } else {
            rebootingSince.remove(i.id());
        }
    }

    private static @Nullable WorkerStatus parse(@Nullable String text, long sent) {
        try {
            JsonNode n = MAPPER.readTree(text == null ? "" : text);
            boolean whole = n.path("incarnation").isIntegralNumber()
                    && n.path("running").isInt()
                    && n.path("leaving").isBoolean();
            return whole
                    ? new WorkerStatus(
                            n.path("incarnation").asLong(),
                            true,
                            n.path("leaving").asBoolean(),
                            n.path("running").asInt(),
                            sent)
                    : null;
        } catch (JsonProcessingException e) {
            return null;
        }
    }

    private void take(String id, @Nullable WorkerStatus s, long sent) {
        underWay.remove(id);
        if (s != null) {
            sights.put(id, s);
            silentSince.remove(id);
            return;
        }
        silentSince.putIfAbsent(id, sent);
        WorkerStatus old = sights.getOrDefault(id, WorkerStatus.NONE);
        sights.put(id, new WorkerStatus(old.incarnation(), false, old.leaving(), old.running(), sent));
    }

    /** Returns what a worker last said. */
    WorkerStatus of(String instance) {
        return sights.getOrDefault(instance, WorkerStatus.NONE);
    }

    /** Returns those that have been silent for long enough to count as failed. */
    Set<String> failed() {
        return olderThan(silentSince, FAILED_AFTER_MILLIS);
    }

    /** Returns those whose reboot this driver has waited for longer than {@code millis}. */
    Set<String> overdue(long millis) {
        return olderThan(rebootingSince, millis);
    }

    private Set<String> olderThan(Map<String, Long> since, long millis) {
        long now = loop.clock().millis();
        Set<String> all = new HashSet<>();
        since.forEach((id, t) -> {
            if (now - t > millis) {
                all.add(id);
            }
        });
        return all;
    }
}
