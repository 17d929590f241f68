import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * A worker as PROTOCOL.md, "Running work items", describes it: it guards its room, keeps the highest fence number, ends
 * what its deadline does not cover, lists ends until they are acknowledged, and refuses runs that are not above one that
 * was stopped or has ended. It reports to the project's stand-in of the platform, which keeps its entry in the store.
 * A work item whose spec holds "millis=N" takes N ms; without that it runs until it is stopped. Its spec may hold "cpu=N",
 * else it counts as 1,000 thousandths of a core. Each start and end is written to standard output.
 */
final class ReviewWorker {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long HOLD_MAX_MILLIS = 6_000;
    private static final long BEAT_MILLIS = 1_500;
    private static final int CPU = 4_000;
    private static final int MEM_MB = 8_192;

    private record Run(int number, String spec, long startedAt) {}

    private record End(long number, String task, int run, String how) {}

    private final String machine;
    private final ObjectNode description;
    private final String platform;
    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(2))
            .build();

    private String life = "";
    private volatile long coldUntil;
    private long fence;
    private long deadline;
    private long nextEnd = 1;
    private final Map<String, Run> running = new TreeMap<>();
    private final Map<String, Integer> closed = new HashMap<>();
    private final List<End> ends = new ArrayList<>();

    private ReviewWorker(String machine, ObjectNode description, String platform) {
        this.machine = machine;
        this.description = description;
        this.platform = platform;
    }

    public static void main(String[] a) throws Exception {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 64);
        ObjectNode d = JSON.createObjectNode()
                .put("machine", a[0])
                .put("pool", a[1])
                .put("zone", a[2])
                .put("address", "127.0.0.1:" + server.getAddress().getPort())
                .put("statesBirth", false);
        d.putObject("room").put("cpu", CPU).put("memMb", MEM_MB).put("gpu", 0);
        d.putArray("labels").add("a").add(a[3]);
        ReviewWorker w = new ReviewWorker(a[0], d, a[4]);
        server.setExecutor(Executors.newCachedThreadPool());
        server.createContext("/", w::handle);
        server.start();
        var timer = Executors.newScheduledThreadPool(2);
        timer.scheduleWithFixedDelay(w::report, 0, 300, TimeUnit.MILLISECONDS);
        timer.scheduleWithFixedDelay(w::tick, 10, 10, TimeUnit.MILLISECONDS);
        if (a.length > 5) {
            w.coldUntil = clock() + Long.parseLong(a[5]);
            timer.scheduleAtFixedRate(w::writeEntry, BEAT_MILLIS, BEAT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Writes its entry in the store, as a worker does at each beat; the entry of a cold one changes each time. */
    private void writeEntry() {
        try {
            ObjectNode put = JSON.createObjectNode();
            synchronized (this) {
                if (life.isEmpty()) {
                    return;
                }
                ObjectNode entry = put.put("key", "servers/" + life).putObject("value");
                entry.put("service", description.path("pool").asText())
                        .put("address", description.path("address").asText())
                        .put("zone", description.path("zone").asText())
                        .put("state", "ready")
                        .put("coldLeftMs", Math.max(0, coldUntil - clock()));
                entry.set("room", description.path("room"));
                entry.set("labels", description.path("labels"));
            }
            client.send(
                    HttpRequest.newBuilder(URI.create("http://" + platform + "/standin/put"))
                            .timeout(Duration.ofSeconds(2))
                            .POST(HttpRequest.BodyPublishers.ofString(put.toString()))
                            .build(),
                    HttpResponse.BodyHandlers.ofString());
        } catch (IOException | InterruptedException | RuntimeException e) {
            System.out.println("entry not written: " + e);
        }
    }

    private static long clock() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    private void write(String kind, String task, int run, String detail) {
        System.out.println("worker " + System.currentTimeMillis() + " " + life + " " + kind + " " + task + " " + run + " "
                + detail);
        System.out.flush();
    }

    /** Reports to the platform's stand-in, which answers with the id of this life. */
    private void report() {
        try {
            String body;
            synchronized (this) {
                body = description.deepCopy().put("life", life).toString();
            }
            HttpResponse<String> r = client.send(
                    HttpRequest.newBuilder(URI.create("http://" + platform + "/standin/machine"))
                            .timeout(Duration.ofSeconds(2))
                            .POST(HttpRequest.BodyPublishers.ofString(body))
                            .build(),
                    HttpResponse.BodyHandlers.ofString());
            adopt(JSON.readTree(r.body()).path("life").asText());
        } catch (IOException | InterruptedException | RuntimeException e) {
            System.out.println("report failed: " + e);
        }
    }

    /** A new life runs nothing and has seen no fence number. */
    private synchronized void adopt(String id) {
        if (!id.equals(life)) {
            running.forEach((task, r) -> write("died", task, r.number, "-"));
            running.clear();
            closed.clear();
            ends.clear();
            fence = 0;
            deadline = 0;
            nextEnd = 1;
            life = id;
            write("lives", "-", 0, "machine=" + machine);
            notifyAll();
        }
    }

    private synchronized void tick() {
        long now = clock();
        for (Map.Entry<String, Run> e : List.copyOf(running.entrySet())) {
            Run r = e.getValue();
            if (now > deadline) {
                end(e.getKey(), "lapsed");
            } else if (now - r.startedAt >= millis(r.spec)) {
                end(e.getKey(), "done");
            }
        }
    }

    /** What a work item asks for, in thousandths of a core: the cases say it in the spec as well. */
    private static int cpu(String spec) {
        int at = spec.indexOf("cpu=");
        return at < 0 ? 1_000 : Integer.parseInt(spec.substring(at + 4).split("\\D")[0]);
    }

    private static long millis(String spec) {
        int at = spec.indexOf("millis=");
        return at < 0 ? Long.MAX_VALUE : Long.parseLong(spec.substring(at + 7).split("\\D")[0]);
    }

    /** A work item that lasts is at work after a short start. */
    private static long percent(Run r, long now) {
        long whole = millis(r.spec) == Long.MAX_VALUE ? 700 : millis(r.spec);
        return Math.min(100, (now - r.startedAt) * 100 / Math.max(1, whole));
    }

    private void end(String task, String how) {
        Run r = running.remove(task);
        closed.merge(task, r.number, Math::max);
        ends.add(new End(nextEnd++, task, r.number, how));
        write("end", task, r.number, how);
        notifyAll();
    }

    private void handle(HttpExchange x) throws IOException {
        JsonNode body = JSON.readTree(x.getRequestBody().readAllBytes());
        String path = x.getRequestURI().getPath();
        int status;
        ObjectNode answer = JSON.createObjectNode();
        synchronized (this) {
            if (path.equals("/standin/life")) {
                adopt(body.path("life").asText());
                status = 200;
            } else if (life.isEmpty() || !life.equals(x.getRequestHeaders().getFirst("Expect-Instance"))) {
                status = 421;
            } else {
                String refused = order(path, body, answer);
                status = refused.isEmpty() ? 200 : refused.equals("life") ? 421 : 409;
                answer.put("clockMs", clock());
                if (status == 409) {
                    answer.put("reason", refused);
                }
            }
        }
        byte[] bytes = JSON.writeValueAsBytes(answer);
        x.getResponseHeaders().add("Content-Type", "application/json");
        x.sendResponseHeaders(status, bytes.length);
        x.getResponseBody().write(bytes);
        x.close();
    }

    /** Carries out an order; returns the reason if it is refused, otherwise an empty text. */
    private String order(String path, JsonNode o, ObjectNode answer) {
        long token = o.path("fencingToken").asLong();
        if (token < fence) {
            return "fence";
        }
        fence = token;
        tick();
        String task = o.path("task").asText();
        int run = o.path("run").asInt();
        switch (path) {
            case "/api/run-start":
                return start(task, run, o);
            case "/api/run-stop":
                Run r = running.get(task);
                if (r != null && r.number <= run) {
                    end(task, "stopped");
                }
                closed.merge(task, run, Math::max);
                return "";
            case "/api/hold":
                return hold(o, answer);
            default:
                return "";
        }
    }

    private String start(String task, int run, JsonNode o) {
        long until = Math.min(o.path("deadlineMs").asLong(), clock() + HOLD_MAX_MILLIS);
        if (until < clock()) {
            return "late";
        }
        deadline = Math.max(deadline, until);
        Run current = running.get(task);
        if (current != null && current.number == run) {
            return "";
        }
        if (current != null || run <= closed.getOrDefault(task, 0)) {
            return "old";
        }
        String spec = o.path("spec").asText();
        if (running.values().stream().mapToInt(r -> cpu(r.spec)).sum() + cpu(spec) > CPU) {
            return "room";
        }
        running.put(task, new Run(run, spec, clock()));
        write("start", task, run, "fence=" + o.path("fencingToken").asLong() + " spec=" + spec);
        return "";
    }

    private String hold(JsonNode o, ObjectNode answer) {
        deadline = Math.max(deadline, Math.min(o.path("deadlineMs").asLong(), clock() + HOLD_MAX_MILLIS));
        long seen = o.path("lastSeen").asLong();
        ends.removeIf(e -> e.number <= seen);
        String mine = life;
        long until = clock() + Math.min(2_000, o.path("waitMs").asLong());
        try {
            while (ends.isEmpty() && clock() < until && life.equals(mine)) {
                wait(Math.max(1, until - clock()));
            }
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
        if (!life.equals(mine)) {
            return "life";
        }
        ArrayNode all = answer.putArray("running");
        long now = clock();
        running.forEach((task, r) -> all.addArray()
                .add(task)
                .add(r.number)
                .add("")
                .add(percent(r, now))
                .add(0));
        ArrayNode finished = answer.putArray("finished");
        ends.forEach(e -> finished.addArray().add(e.number).add(e.task).add(e.run).add(e.how).add(""));
        return "";
    }
}
