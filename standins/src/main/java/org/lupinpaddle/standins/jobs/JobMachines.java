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
 * The instances of the platform stand-in. A worker process stands for one instance; the stand-in tells it which life
 * it leads, and keeps that life's record in the store while the process reports.
 */
final class JobMachines {

    private static final long MOVE_MILLIS = 1_500;
    private static final long UPKEEP_MILLIS = 2_000;
    private static final long SILENT_MILLIS = 2_000;
    private static final String HEADROOM = "spare";

    private final HttpClient client;
    private final BiConsumer<String, String> records;
    private final Map<String, Machine> machines = new TreeMap<>();
    private int lives;

    private static final class Machine {
        final JsonNode described;
        final Set<String> maintained = new HashSet<>();
        String pool;
        String state = "up";
        String life = "";
        long bornMillis;
        long heardAt;
        long backAt = Long.MAX_VALUE;

        Machine(JsonNode described) {
            this.described = described;
            this.pool = described.path("pool").asText();
        }
    }

    JobMachines(HttpClient client, BiConsumer<String, String> records) {
        this.client = client;
        this.records = records;
    }

    private static long now() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /** Takes in a worker process's report; answers with the life that it is to lead, empty for none. */
    JsonNode register(JsonNode report) {
        Machine m = machines.computeIfAbsent(report.path("machine").asText(), id -> new Machine(report));
        m.heardAt = now();
        boolean restarted = !m.life.equals(report.path("life").asText());
        if (m.state.equals("up") && (m.life.isEmpty() || restarted)) {
            bringUp(m);
        }
        return life(m);
    }

    private void bringUp(Machine m) {
        removeRecord(m);
        m.state = "up";
        m.life = m.pool.equals(HEADROOM) ? "" : "life-" + lives++;
        if (!m.life.isEmpty()) {
            begin(m);
        }
    }

    /** Lets a worker crash and start again under its id. */
    void restart(String machine) {
        Machine m = machines.get(machine);
        if (m != null && !m.life.isEmpty()) {
            begin(m);
            tell(m);
        }
    }

    private void begin(Machine m) {
        // Two lives of a worker do not begin in one millisecond.
        m.bornMillis = Math.max(m.bornMillis + 1, System.currentTimeMillis());
        ObjectNode record = JsonHttp.object()
                .put("service", m.pool)
                .put("address", m.described.path("address").asText())
                .put("zone", m.described.path("zone").asText())
                .put("state", "ready")
                .put("born", m.bornMillis);
        record.set("room", m.described.path("room"));
        record.set("labels", m.described.path("labels"));
        records.accept("servers/" + m.life, record.toString());
    }

    private void removeRecord(Machine m) {
        if (!m.life.isEmpty()) {
            records.accept("servers/" + m.life, "");
            m.life = "";
        }
    }

    /** Brings back what was moved or maintained, and takes lives off whose process is silent. */
    void tick() {
        for (Machine m : machines.values()) {
            if (now() >= m.backAt) {
                m.backAt = Long.MAX_VALUE;
                bringUp(m);
                tell(m);
            } else if (!m.life.isEmpty() && now() - m.heardAt > SILENT_MILLIS) {
                removeRecord(m);
                m.state = "down";
            } else if (m.state.equals("down") && now() - m.heardAt <= SILENT_MILLIS) {
                bringUp(m);
            }
        }
    }

    ObjectNode list() {
        ObjectNode answer = JsonHttp.object();
        ArrayNode all = answer.putArray("machines");
        machines.forEach((id, m) -> all.addObject()
                .put("machine", id)
                .put("pool", m.pool)
                .put("state", m.state)
                .put("zone", m.described.path("zone").asText())
                .put("id", m.life));
        return answer;
    }

    /** Carries an order out; returns why not, or nothing. */
    String order(String id, boolean upkeep, JsonNode order) {
        Machine m = machines.get(id);
        String wave = order.path("wave").asText();
        boolean done = m != null
                && (upkeep
                        ? m.maintained.contains(wave)
                        : m.pool.equals(order.path("pool").asText()));
        if (done) {
            return "";
        }
        if (m == null || !m.state.equals("up")) {
            return "busy";
        }
        removeRecord(m);
        tell(m);
        m.state = upkeep ? "upkeep" : "moving";
        if (upkeep) {
            m.maintained.add(wave);
        } else {
            m.pool = order.path("pool").asText();
        }
        m.backAt = now() + (upkeep ? UPKEEP_MILLIS : MOVE_MILLIS);
        return "";
    }

    /** Tells the process which life it leads now; all that ran before is gone. */
    private void tell(Machine m) {
        String url = "http://" + m.described.path("address").asText() + "/standin/life";
        client.POST(url)
                .body(new StringRequestContent("application/json", life(m).toString()))
                .send(r -> {});
    }

    private static ObjectNode life(Machine m) {
        return JsonHttp.object().put("life", m.life).put("born", m.bornMillis);
    }
}
