import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small worker of the operators' platform, after the section "Running work items" of PROTOCOL: fence numbers, deadlines,
 * run numbers and numbered ends. It reports to the project's job-platform stand-in, which gives it its id and keeps its
 * entry in the store. Every start and every end is printed as one line with the time of day.
 *
 * <p>The text of a job says how long its work items take: {@code millis=N}; with {@code lasts} they run until they are
 * stopped. With {@code failruns=R failmillis=N}, the runs up to R end {@code failed} by themselves after N milliseconds. With
 * {@code advised} a start needs a ticket of the service for advice.
 *
 * <pre>StandWorker MACHINE POOL HALL RACK PLATFORM</pre>
 */
public final class StandWorker {

    private static final Pattern MILLIS = Pattern.compile("\\bmillis=(\\d+)");
    private static final Pattern FAIL_RUNS = Pattern.compile("failruns=(\\d+)");
    private static final Pattern FAIL_MILLIS = Pattern.compile("failmillis=(\\d+)");
    private static final long HOLD_MAX_MILLIS = 6_000;

    private final String machine;
    private final String pool;
    private final String hall;
    private final String rack;
    private final String platform;
    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofMillis(500))
            .build();
    private HttpServer server;

    private String life = "";
    private long born;
    private final Map<String, Run> running = new TreeMap<>();
    private final Map<String, Integer> closed = new HashMap<>();
    private final List<Object[]> ends = new ArrayList<>();
    private long fence;
    private long deadline;
    private long nextEnd = 1;

    private record Run(int number, String spec, long startedAt) {
        long millis() {
            return number(MILLIS, 1_000);
        }

        boolean failsBy(long now) {
            return number <= number(FAIL_RUNS, 0) && now - startedAt >= number(FAIL_MILLIS, 0);
        }

        private long number(Pattern p, long otherwise) {
            Matcher m = p.matcher(spec);
            return m.find() ? Long.parseLong(m.group(1)) : otherwise;
        }

        boolean lasts() {
            return spec.contains("lasts");
        }

        long percent(long now) {
            return Math.min(100, (now - startedAt) * 100 / Math.max(1, lasts() ? 500 : millis()));
        }
    }

    private StandWorker(String[] args) {
        machine = args[0];
        pool = args[1];
        hall = args[2];
        rack = args[3];
        platform = args[4];
    }

    public static void main(String[] args) throws Exception {
        new StandWorker(args).serve();
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    private static synchronized void print(String line) {
        System.out.println(System.currentTimeMillis() + " " + line);
        System.out.flush();
    }

    private String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    private void serve() throws Exception {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 0);
        server.setExecutor(Executors.newCachedThreadPool());
        server.createContext("/", this::handle);
        server.start();
        print("started address=" + address());
        long nextReport = 0;
        while (true) {
            if (now() >= nextReport) {
                nextReport = now() + 300;
                report();
            }
            endDue();
            Thread.sleep(10);
        }
    }

    private void report() {
        String body;
        synchronized (this) {
            body = Json.write(Json.object(
                    "machine", machine, "pool", pool, "zone", hall, "statesBirth", false, "address", address(), "life", life,
                    "room", Json.object("cpu", 4000, "memMb", 8192, "gpu", 0), "labels", List.of("usual", rack)));
        }
        try {
            HttpResponse<String> r = client.send(
                    HttpRequest.newBuilder(URI.create("http://" + platform + "/standin/machine"))
                            .timeout(Duration.ofMillis(1_000))
                            .header("Content-Type", "application/json")
                            .POST(HttpRequest.BodyPublishers.ofString(body))
                            .build(),
                    HttpResponse.BodyHandlers.ofString());
            adopt(Json.map(Json.read(r.body())));
        } catch (IOException | InterruptedException e) {
            print("report-failed " + e);
        }
    }

    /** Takes the id that the platform gives; with another id or birth it is another life, which runs nothing. */
    private synchronized void adopt(Map<String, Object> given) {
        String id = Json.text(given, "life");
        long at = Json.number(given, "born");
        if (!id.equals(life) || at != born) {
            life = id;
            born = at;
            running.clear();
            closed.clear();
            ends.clear();
            fence = 0;
            deadline = 0;
            nextEnd = 1;
            print("life id=" + id);
        }
    }

    private void handle(HttpExchange x) throws IOException {
        String text = new String(x.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        Map<String, Object> body = text.isEmpty() ? Map.of() : Json.map(Json.read(text));
        String path = x.getRequestURI().getPath();
        if (path.equals("/standin/life")) {
            adopt(body);
            answer(x, 200, Json.object());
            return;
        }
        String expected = x.getRequestHeaders().getFirst("Expect-Instance");
        synchronized (this) {
            if (life.isEmpty() || !life.equals(expected)) {
                answer(x, 421, Json.object());
                return;
            }
            if (Json.number(body, "fencingToken") < fence) {
                answer(x, 409, Json.object("clockMs", now(), "reason", "fence"));
                return;
            }
            fence = Math.max(fence, Json.number(body, "fencingToken"));
        }
        switch (path) {
            case "/api/run-start" -> start(x, body);
            case "/api/run-stop" -> stop(x, body);
            case "/api/hold" -> hold(x, body);
            case "/api/pace" -> answer(x, 200, Json.object("clockMs", now()));
            default -> answer(x, 404, Json.object());
        }
    }

    private void adoptDeadline(long asked) {
        deadline = Math.max(deadline, Math.min(asked, now() + HOLD_MAX_MILLIS));
    }

    private synchronized void start(HttpExchange x, Map<String, Object> body) throws IOException {
        String task = Json.text(body, "task");
        int run = (int) Json.number(body, "run");
        if (Json.number(body, "deadlineMs") < now()) {
            answer(x, 409, Json.object("clockMs", now(), "reason", "late"));
            return;
        }
        adoptDeadline(Json.number(body, "deadlineMs"));
        if (Json.text(body, "spec").contains("advised") && !holds(Json.text(body, "ticket"))) {
            answer(x, 409, Json.object("clockMs", now(), "reason", "ticket"));
            return;
        }
        Run present = running.get(task);
        if (present != null && present.number == run) {
            answer(x, 200, Json.object("clockMs", now()));
        } else if (present != null || run <= closed.getOrDefault(task, 0)) {
            answer(x, 409, Json.object("clockMs", now(), "reason", "old"));
        } else {
            running.put(task, new Run(run, Json.text(body, "spec"), now()));
            print("start task=" + task + " run=" + run + " life=" + life + " fence=" + fence);
            answer(x, 200, Json.object("clockMs", now()));
        }
    }

    /** A ticket names the worker and the time of day until which it holds. */
    private boolean holds(String ticket) {
        int slash = ticket.lastIndexOf('/');
        return slash > 0
                && ticket.substring(0, slash).equals(life)
                && System.currentTimeMillis() <= Long.parseLong(ticket.substring(slash + 1));
    }

    private synchronized void stop(HttpExchange x, Map<String, Object> body) throws IOException {
        String task = Json.text(body, "task");
        int run = (int) Json.number(body, "run");
        Run present = running.get(task);
        if (present != null && present.number <= run) {
            end(task, "stopped");
        }
        closed.merge(task, run, Math::max);
        answer(x, 200, Json.object("clockMs", now()));
    }

    private synchronized void endDue() {
        long now = now();
        for (Map.Entry<String, Run> e : List.copyOf(running.entrySet())) {
            if (now > deadline) {
                end(e.getKey(), "lapsed");
            } else if (e.getValue().failsBy(now)) {
                end(e.getKey(), "failed");
            } else if (!e.getValue().lasts() && now - e.getValue().startedAt >= e.getValue().millis()) {
                end(e.getKey(), "done");
            }
        }
    }

    private void end(String task, String how) {
        Run r = running.remove(task);
        closed.merge(task, r.number, Math::max);
        ends.add(new Object[] {nextEnd++, task, r.number, how, ""});
        print("end task=" + task + " run=" + r.number + " how=" + how + " life=" + life);
    }

    private void hold(HttpExchange x, Map<String, Object> body) throws IOException {
        String heldLife;
        synchronized (this) {
            heldLife = life;
            adoptDeadline(Json.number(body, "deadlineMs"));
            long lastSeen = Json.number(body, "lastSeen");
            ends.removeIf(e -> (Long) e[0] <= lastSeen);
        }
        long until = now() + Json.number(body, "waitMs");
        while (true) {
            synchronized (this) {
                if (!heldLife.equals(life)) {
                    answer(x, 421, Json.object());
                    return;
                }
                if (!ends.isEmpty() || now() >= until) {
                    long now = now();
                    List<Object> rows = new ArrayList<>();
                    running.forEach((task, r) -> rows.add(List.of(task, r.number, "", r.percent(now), 0)));
                    List<Object> finished = new ArrayList<>();
                    ends.forEach(e -> finished.add(List.of(e)));
                    answer(x, 200, Json.object("clockMs", now, "running", rows, "finished", finished));
                    return;
                }
            }
            try {
                Thread.sleep(5);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static void answer(HttpExchange x, int status, Map<String, Object> body) throws IOException {
        byte[] bytes = Json.write(body).getBytes(StandardCharsets.UTF_8);
        x.getResponseHeaders().set("Content-Type", "application/json");
        x.sendResponseHeaders(status, bytes.length);
        x.getResponseBody().write(bytes);
        x.close();
    }
}
