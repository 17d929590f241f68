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
package org.lupinpaddle.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.lupinpaddle.standins.PlatformStandIn;
import org.lupinpaddle.standins.WorkerPlace;
import org.lupinpaddle.standins.WorkerStandIn;

/** A small fleet for tests: the platform and workers as stand-ins here, entries as processes of their own. */
final class TestFleet implements AutoCloseable {

    static final String TOKEN = "a-token-for-tests-only";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    static {
        // An entry closes idle connections after 30 s, and so does this client: it must be the first.
        System.setProperty("jdk.httpclient.keepalive.timeout", "5");
    }

    /** The entries' periods; short, so that tests need not wait. */
    String timing = "heartbeat_millis = 300\npoll_millis = 1000\nlease_seconds = 3\n";

    /** Where entries that are started from now on find the platform. */
    String platformAddress;

    final Path dir = Files.createTempDirectory("lupinpaddle-test");
    final PlatformStandIn platform;
    final Map<String, WorkerStandIn> workers = new TreeMap<>();
    final List<EntryProcess> entries = new ArrayList<>();
    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(3))
            .build();

    /** Starts a platform, and workers w0, w1, … in the halls north and south in turn. */
    TestFleet(int workerCount, int slots) throws Exception {
        platform = PlatformStandIn.start(0);
        platformAddress = platform.address();
        for (int i = 0; i < workerCount; i++) {
            String hall = hall(i);
            WorkerPlace place = new WorkerPlace("w" + i, hall, hall + "-r" + i / 4, slots, 1_000);
            workers.put(place.id(), WorkerStandIn.start(place, platform.address()));
        }
    }

    private static String hall(int i) {
        return i % 2 == 0 ? "north" : "south";
    }

    /** Starts an entry and waits until it serves, or only until it listens. */
    EntryProcess startEntry(String id, String hall, boolean untilServing, String... seeds) throws Exception {
        EntryProcess e = EntryProcess.start(dir, id, toml(id, hall, List.of(seeds)));
        entries.add(e);
        if (untilServing) {
            Await.until(id + " serves", 30, () -> health(e) == 200);
        }
        return e;
    }

    private String toml(String id, String hall, List<String> seeds) {
        String quoted = String.join(", ", seeds.stream().map(s -> '"' + s + '"').toList());
        return """
                [entry]
                id = "%s"
                hall = "%s"
                region = "valley"
                seeds = [%s]
                [listen]
                caller = "127.0.0.1:0"
                operator = "127.0.0.1:0"
                peer = "127.0.0.1:0"
                [platform]
                address = "%s"
                [operator]
                token = "%s"
                [limits]
                body_bytes = 4096
                answer_bytes = 4096
                header_bytes = 8192
                connections = 400
                waiting = 200
                open = 400
                [timing]
                """.formatted(id, hall, quoted, platform.address(), TOKEN) + timing;
    }

    /** Makes a service with one pool that holds all workers, and waits until it is in force everywhere. */
    void configure(String service, int budget) throws Exception {
        EntryProcess e = entries.get(0);
        accepted(e, "service create " + service + " --budget " + budget + " --reserve none");
        accepted(e, "pool create " + service + " --service " + service + " --site a");
        int i = 0;
        for (Map.Entry<String, WorkerStandIn> w : workers.entrySet()) {
            accepted(
                    e,
                    "instance add " + w.getKey() + " --pool " + service + " --hall " + hall(i) + " --rack " + hall(i)
                            + "-r" + i / 4 + " --address " + w.getValue().address() + " --slots 4 --memory 1000");
            i++;
        }
        for (EntryProcess x : entries) {
            Await.until("all members are counted", 15, () -> members(x, service) == workers.size());
        }
    }

    private int members(EntryProcess e, String service) {
        for (JsonNode s : command(e, "service list").path("data")) {
            if (s.path("name").asText().equals(service)) {
                return s.path("members").size();
            }
        }
        return 0;
    }

    int health(EntryProcess e) {
        try {
            return client.send(
                            HttpRequest.newBuilder(URI.create("http://" + e.caller + "/health"))
                                    .timeout(Duration.ofSeconds(2))
                                    .build(),
                            HttpResponse.BodyHandlers.discarding())
                    .statusCode();
        } catch (IOException | InterruptedException x) {
            return 0;
        }
    }

    String address(String worker) {
        return Objects.requireNonNull(workers.get(worker)).address();
    }

    /** Runs an operator's command at an entry. */
    JsonNode command(EntryProcess e, String words) {
        return command(e, words, "tester");
    }

    JsonNode command(EntryProcess e, String words, String operator) {
        try {
            HttpRequest r = HttpRequest.newBuilder(URI.create("http://" + e.operator + "/v1/command"))
                    .header("Authorization", "Bearer " + TOKEN)
                    .header("Operator-Name", operator)
                    .timeout(Duration.ofSeconds(20))
                    .POST(HttpRequest.BodyPublishers.ofString(words))
                    .build();
            return MAPPER.readTree(
                    client.send(r, HttpResponse.BodyHandlers.ofString()).body());
        } catch (IOException | InterruptedException x) {
            throw new AssertionError(words + " at " + e.id, x);
        }
    }

    void accepted(EntryProcess e, String words) {
        JsonNode answer = command(e, words);
        if (!answer.path("fate").asText().equals("accepted")) {
            throw new AssertionError(words + ": " + answer);
        }
    }

    /** A request of a caller, made ready with its headers. */
    HttpRequest request(EntryProcess e, String service, String body, String... headers) {
        HttpRequest.Builder b = HttpRequest.newBuilder(
                        URI.create("http://" + e.caller + "/v1/services/" + service + "/requests"))
                .timeout(Duration.ofSeconds(40))
                .POST(HttpRequest.BodyPublishers.ofString(body));
        Map<String, String> all = new TreeMap<>(
                Map.of("Lupin-Class", "normal", "Lupin-Deadline-Ms", "15000", "Lupin-Repeatable", "false"));
        for (int i = 0; i + 1 < headers.length; i += 2) {
            all.put(headers[i], headers[i + 1]);
        }
        all.forEach(b::header);
        return b.build();
    }

    HttpResponse<String> send(HttpRequest r) throws IOException, InterruptedException {
        return client.send(r, HttpResponse.BodyHandlers.ofString());
    }

    CompletableFuture<HttpResponse<String>> sendAsync(HttpRequest r) {
        return client.sendAsync(r, HttpResponse.BodyHandlers.ofString());
    }

    /** Cancels a request at any entry. */
    void cancel(EntryProcess e, String requestId) {
        client.sendAsync(
                HttpRequest.newBuilder(URI.create("http://" + e.caller + "/v1/requests/" + requestId))
                        .DELETE()
                        .build(),
                HttpResponse.BodyHandlers.discarding());
    }

    JsonNode worker(String id, String path) {
        return post(address(id), path, "{}");
    }

    void behave(String id, String json) {
        post(address(id), "/standin/behave", json);
    }

    JsonNode post(String address, String path, String json) {
        try {
            HttpRequest r = HttpRequest.newBuilder(URI.create("http://" + address + path))
                    .timeout(Duration.ofSeconds(5))
                    .POST(HttpRequest.BodyPublishers.ofString(json))
                    .build();
            return MAPPER.readTree(
                    client.send(r, HttpResponse.BodyHandlers.ofString()).body());
        } catch (IOException | InterruptedException x) {
            throw new AssertionError(path + " at " + address, x);
        }
    }

    int runsOf(String job) {
        return workers.keySet().stream()
                .mapToInt(
                        w -> worker(w, "/standin/counts").path("jobs").path(job).asInt())
                .sum();
    }

    int running() {
        return workers.keySet().stream()
                .mapToInt(w -> worker(w, "/status").path("running").asInt())
                .sum();
    }

    int cutOff() {
        return workers.keySet().stream()
                .mapToInt(w -> worker(w, "/standin/counts").path("cutOff").asInt())
                .sum();
    }

    JsonNode instance(EntryProcess e, String id) {
        for (JsonNode i : command(e, "instance list").path("data")) {
            if (i.path("id").asText().equals(id)) {
                return i;
            }
        }
        return MAPPER.createObjectNode();
    }

    String waveState(EntryProcess e, String wave) {
        return command(e, "wave show " + wave).path("data").path("state").asText();
    }

    @Override
    public void close() throws Exception {
        for (EntryProcess e : entries) {
            e.thaw();
            e.kill();
        }
        for (WorkerStandIn w : workers.values()) {
            w.close();
        }
        platform.close();
    }
}
