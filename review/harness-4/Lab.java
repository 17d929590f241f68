import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.File;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on loopback addresses: entries started with the command of the deploy file, the project's stand-in
 * of the platform, workers of this harness, and proxies between them. All processes end with {@link #close}.
 */
final class Lab implements AutoCloseable {

    static final ObjectMapper JSON = new ObjectMapper();
    static final int HOLD_MAX_MILLIS = 6_000;
    static final int STOP_MILLIS = 200;

    final Path root;
    final Path work;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final PrintWriter record;
    private final long originNanos = System.nanoTime();
    private final List<Process> processes = new ArrayList<>();
    private final List<HttpServer> servers = new ArrayList<>();

    Lab(Path root, Path caseFolder) throws IOException {
        this.root = root;
        work = Files.createTempDirectory("review-4-");
        record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")), true);
        log("trouble=" + trouble);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            synchronized (processes) {
                processes.forEach(Process::destroyForcibly);
            }
        }));
    }

    long millis() {
        return (System.nanoTime() - originNanos) / 1_000_000;
    }

    synchronized void log(String line) {
        record.printf("%8.3f %s%n", millis() / 1000.0, line);
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    void sleepUntil(long millis) {
        sleep(millis - millis());
    }

    // Processes

    private Process spawn(String name, List<String> command, Map<String, String> variables) throws IOException {
        ProcessBuilder b = new ProcessBuilder(command);
        b.directory(root.toFile());
        b.redirectErrorStream(true);
        b.redirectOutput(log(name, "log"));
        Map<String, String> env = b.environment();
        env.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        env.putAll(variables);
        Process p = b.start();
        synchronized (processes) {
            processes.add(p);
        }
        return p;
    }

    private File log(String name, String kind) {
        return work.resolve(name + "." + kind).toFile();
    }

    /** Returns the value of a key in the first line of a process's log that has the event. */
    String field(String name, String event, String key) throws IOException {
        Pattern p = Pattern.compile("event=" + event + " .*?\\b" + key + "=(\\S+)");
        for (int i = 0; i < 300; i++) {
            File f = log(name, "log");
            if (f.exists()) {
                Matcher m = p.matcher(Files.readString(f.toPath(), StandardCharsets.UTF_8));
                if (m.find()) {
                    return m.group(1);
                }
            }
            sleep(100);
        }
        throw new IOException(name + " did not log event=" + event + " in 30 s");
    }

    String logOf(String name) throws IOException {
        return Files.readString(log(name, "log").toPath(), StandardCharsets.UTF_8);
    }

    /** Starts the project's stand-in of the platform and returns its address. */
    String platform() throws IOException {
        String jar = "standins/target/lupinpaddle-standins-0.1.0-SNAPSHOT-all.jar";
        spawn("platform", List.of("java", "-Xmx96m", "-XX:+UseSerialGC", "-jar", jar, "job-platform"), Map.of());
        return field("platform", "started", "address");
    }

    /** An entry of the system. */
    final class Entry {
        final String name;
        private final String hall;
        private final String store;
        private final String instances;
        Process process;
        String callers = "";

        Entry(String name, String hall, String store, String instances) {
            this.name = name;
            this.hall = hall;
            this.store = store;
            this.instances = instances;
        }

        Entry start() throws IOException {
            String settings = "[entry]\nname = \"" + name + "\"\nhall = \"" + hall + "\"\nhalls = [\"north\",\"south\"]\n"
                    + "cpu_share = 0.75\ncpu_speed = 1\n\n[listen]\ncallers = \"127.0.0.1:0\"\nready = \"127.0.0.1:0\"\n"
                    + "metrics = \"127.0.0.1:0\"\n\n[platform]\nstore = \"" + store + "\"\ninstances = \"" + instances
                    + "\"\nadvice = \"" + instances + "\"\n\n[bounds]\nlongest_hold_millis = " + HOLD_MAX_MILLIS
                    + "\nstop_millis = " + STOP_MILLIS
                    + "\ngrace_seconds = 6\nowner_lease_millis = 3000\nupkeep_seconds = 2\nfenced_instances = false\n";
            Path file = work.resolve(name + ".toml");
            Files.writeString(file, settings);
            Files.deleteIfExists(log(name, "log").toPath());
            Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$")
                    .matcher(Files.readString(root.resolve("deploy/system.toml")));
            if (!run.find()) {
                throw new IOException("no line run in deploy/system.toml");
            }
            process = spawn(name, List.of(run.group(1).split(" ")), Map.of("LUPINPADDLE_NODE_FILE", file.toString()));
            callers = field(name, "started", "callers");
            field(name, "configuration-in-force", "version");
            log("entry " + name + " runs, pid " + process.pid());
            return this;
        }

        void kill() {
            log("kill -9 " + name);
            process.destroyForcibly();
        }

        void signal(String signal) throws IOException {
            log("kill -" + signal + " " + name);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start();
        }
    }

    // HTTP

    record Answer(int status, JsonNode body) {}

    /** Sends a request; the status is 0 if there is no answer in time. */
    static Answer call(String method, String address, String path, Map<String, String> headers, byte[] body, int timeout) {
        try {
            HttpURLConnection c = (HttpURLConnection) new URL("http://" + address + path).openConnection();
            c.setRequestMethod(method);
            c.setConnectTimeout(timeout);
            c.setReadTimeout(timeout);
            headers.forEach(c::setRequestProperty);
            if (body != null) {
                c.setDoOutput(true);
                c.setFixedLengthStreamingMode(body.length);
                c.getOutputStream().write(body);
            }
            int status = c.getResponseCode();
            var in = status < 400 ? c.getInputStream() : c.getErrorStream();
            byte[] bytes = in == null ? new byte[0] : in.readAllBytes();
            JsonNode json;
            try {
                json = JSON.readTree(bytes);
            } catch (IOException e) {
                json = JSON.missingNode();
            }
            return new Answer(status, json == null ? JSON.missingNode() : json);
        } catch (IOException e) {
            return new Answer(0, JSON.missingNode());
        }
    }

    /** Sends a caller's request to an entry and records it with its answer. */
    Answer ask(String method, Entry entry, String host, String path, String body, int timeout) {
        log("sent " + method + " " + path + " to " + entry.name);
        Answer a = call(
                method,
                entry.callers,
                path,
                Map.of("Host", host, "Content-Type", "application/json", "Deadline-Ms", Integer.toString(timeout)),
                body == null ? null : body.getBytes(StandardCharsets.UTF_8),
                timeout);
        log("answered " + method + " " + path + " by " + entry.name + ": " + (a.status == 0 ? "nothing" : a.status + " " + a.body));
        return a;
    }

    /** Writes a key of the store as the operator. */
    void put(String platform, String key, String json) {
        byte[] b = ("{\"key\":\"" + key + "\",\"value\":" + json + "}").getBytes(StandardCharsets.UTF_8);
        Answer a = call("POST", platform, "/standin/put", Map.of("Content-Type", "application/json"), b, 3_000);
        if (a.status != 200) {
            throw new IllegalStateException("the stand-in of the platform did not take " + key);
        }
    }

    interface Handler {
        void handle(HttpExchange x) throws Exception;
    }

    /** Serves HTTP on a free loopback port and returns the address. */
    String serve(Handler h) throws IOException {
        HttpServer s = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 200);
        s.setExecutor(Executors.newCachedThreadPool(r -> {
            Thread t = new Thread(r);
            t.setDaemon(true);
            return t;
        }));
        s.createContext("/", x -> {
            try {
                h.handle(x);
            } catch (Exception e) {
                log("stand-in failed: " + e);
                x.close();
            }
        });
        s.start();
        servers.add(s);
        return "127.0.0.1:" + s.getAddress().getPort();
    }

    static void answer(HttpExchange x, int status, byte[] body) {
        try {
            x.getResponseHeaders().set("Content-Type", "application/json");
            x.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
            try (OutputStream out = x.getResponseBody()) {
                out.write(body);
            }
        } catch (IOException e) {
            x.close();
        }
    }

    static void answer(HttpExchange x, int status, JsonNode body) {
        answer(x, status, body.toString().getBytes(StandardCharsets.UTF_8));
    }

    /** Passes a request on and its answer back. */
    static void forward(HttpExchange x, byte[] body, String to) {
        Map<String, String> headers = new HashMap<>();
        for (String h : List.of("Content-Type", "Expect-Instance", "Lease-Holder", "Fencing-Token")) {
            String v = x.getRequestHeaders().getFirst(h);
            if (v != null) {
                headers.put(h, v);
            }
        }
        Answer a = call(
                x.getRequestMethod(),
                to,
                x.getRequestURI().toString(),
                headers,
                x.getRequestMethod().equals("GET") || x.getRequestMethod().equals("DELETE") ? null : body,
                35_000);
        if (a.status == 0) {
            x.close();
        } else {
            answer(x, a.status, a.body.isMissingNode() ? new byte[0] : a.body.toString().getBytes(StandardCharsets.UTF_8));
        }
    }

    // Workers

    /** Gangs share their state, since their members work only jointly. */
    final Map<String, Integer> gangSizes = new HashMap<>();

    /** Steps whose work items crash each worker that starts them, and the rest of what their text says. */
    final java.util.Set<String> crashing = java.util.concurrent.ConcurrentHashMap.newKeySet();
    /** Runs of crashing work items with a higher number crash their worker before the start is answered. */
    volatile int answeredRuns = Integer.MAX_VALUE;
    /** How often each work item has been started. */
    final Map<String, Integer> starts = new java.util.concurrent.ConcurrentHashMap<>();
    volatile long crashMillis = 3_000;
    static final long CRASH_AFTER_MILLIS = 400;
    /** Steps whose work items fail, and how long after each start. */
    final Map<String, Long> failing = new java.util.concurrent.ConcurrentHashMap<>();
    /** Steps whose work items last until they are stopped. */
    final java.util.Set<String> lasting = java.util.concurrent.ConcurrentHashMap.newKeySet();

    /** When the first run of each work item was started. */
    final Map<String, Long> startedAt = new java.util.concurrent.ConcurrentHashMap<>();

    final List<Worker> workers = new java.util.concurrent.CopyOnWriteArrayList<>();
    private final Object lock = new Object();

    /** A worker as the operators' page PROTOCOL describes it. It guards its room. */
    final class Worker {
        final String name;
        final String address;
        private final ObjectNode description;
        private final long cpu;
        private String id = "";
        private long born;
        private boolean alive = true;
        private long backAt = Long.MAX_VALUE;
        /** While true, no entry reaches the worker, and its answers are lost; the platform still hears of it. */
        volatile boolean cut;
        private long fence;
        private long deadline;
        private long nextEnd = 1;
        private final Map<String, Run> running = new HashMap<>();
        private final Map<String, Integer> closed = new HashMap<>();
        private final List<Object[]> ends = new ArrayList<>();

        private final class Run {
            int number;
            String text;
            long startedAt;
            long workedFrom = -1;
            long cpu;
        }

        Worker(String name, String pool, String hall, String rack, String kind, String platform, long cpu) throws IOException {
            this.name = name;
            this.cpu = cpu;
            address = serve(this::handle);
            description = JSON.createObjectNode()
                    .put("machine", name)
                    .put("pool", pool)
                    .put("zone", hall)
                    .put("statesBirth", true)
                    .put("address", address);
            description.putObject("room").put("cpu", cpu).put("memMb", 32768).put("gpu", 0);
            description.putArray("labels").add(kind).add(rack);
            Thread t = new Thread(() -> live(platform));
            t.setDaemon(true);
            t.start();
            workers.add(this);
        }

        private void live(String platform) {
            for (int i = 0; ; i++) {
                boolean up;
                synchronized (lock) {
                    if (!alive && millis() >= backAt) {
                        alive = true;
                        backAt = Long.MAX_VALUE;
                    }
                    up = alive;
                    tick();
                }
                if (up && i % 10 == 0) {
                    ObjectNode report;
                    synchronized (lock) {
                        report = description.deepCopy().put("life", id);
                    }
                    Answer a = call(
                            "POST",
                            platform,
                            "/standin/machine",
                            Map.of("Content-Type", "application/json"),
                            report.toString().getBytes(StandardCharsets.UTF_8),
                            1_000);
                    if (a.status == 200) {
                        adopt(a.body);
                    }
                }
                sleep(20);
            }
        }

        private void adopt(JsonNode life) {
            synchronized (lock) {
                String newId = life.path("life").asText();
                if (!newId.equals(id) || life.path("born").asLong() != born) {
                    id = newId;
                    born = life.path("born").asLong();
                    clear();
                    log("worker " + name + " lives as " + id);
                }
            }
        }

        private void clear() {
            running.clear();
            closed.clear();
            ends.clear();
            fence = 0;
            deadline = 0;
            nextEnd = 1;
        }

        /** The machine loses power, for good. */
        void crash() {
            synchronized (lock) {
                log("worker " + name + " crashes for good, running " + running.keySet());
                alive = false;
                clear();
            }
        }

        /** The worker crashes, and is back after a while with nothing that it held. */
        void crash(long forMillis) {
            synchronized (lock) {
                log("worker " + name + " crashes, running " + running.keySet());
                alive = false;
                backAt = millis() + forMillis;
                clear();
            }
        }

        boolean isRunning(String task) {
            synchronized (lock) {
                return alive && running.containsKey(task);
            }
        }

        List<String> running() {
            synchronized (lock) {
                return alive ? new ArrayList<>(running.keySet()) : List.of();
            }
        }

        private long clock() {
            return millis() + 100_000;
        }

        private void end(String task, String how) {
            Run r = running.remove(task);
            if (r != null) {
                closed.merge(task, r.number, Math::max);
                ends.add(new Object[] {nextEnd++, task, r.number, how});
                log("end " + task + " run " + r.number + " on " + name + ": " + how);
                lock.notifyAll();
            }
        }

        private void tick() {
            synchronized (lock) {
                if (!alive) {
                    return;
                }
                for (String task : new ArrayList<>(running.keySet())) {
                    Run r = running.get(task);
                    if (r == null) {
                        continue;
                    }
                    String step = task.substring(0, task.lastIndexOf('.'));
                    Integer size = gangSizes.get(step);
                    if (crashing.contains(step) && millis() - r.startedAt > CRASH_AFTER_MILLIS) {
                        crash(crashMillis);
                        return;
                    }
                    if (failing.containsKey(step) && millis() - r.startedAt > failing.get(step)) {
                        end(task, "failed");
                        continue;
                    }
                    if (clock() > deadline) {
                        end(task, "lapsed");
                    } else if (size != null && r.workedFrom < 0) {
                        if (present(step, r.number) == size) {
                            joinGang(step, r.number);
                        } else if (millis() - r.startedAt > 3_000) {
                            end(task, "alone");
                        }
                    } else if (size != null && present(step, r.number) < size) {
                        end(task, "broken");
                    } else if (!lasts(task, r) && millis() - r.workedFrom >= duration(r.text)) {
                        int number = r.number;
                        if (size == null) {
                            end(task, "done");
                        } else {
                            workers.forEach(o -> o.endAll(step, number));
                        }
                    }
                }
            }
        }

        int count(String step, int run) {
            synchronized (lock) {
                return !alive
                        ? 0
                        : (int) running.entrySet().stream()
                                .filter(e -> e.getKey().startsWith(step + ".") && e.getValue().number == run)
                                .count();
            }
        }

        private boolean lasts(String task, Run r) {
            return r.text.contains("lasts") || lasting.contains(task.substring(0, task.lastIndexOf('.')));
        }

        /** The members of a gang end done together. */
        private void endAll(String step, int run) {
            for (String task : new ArrayList<>(running.keySet())) {
                if (task.startsWith(step + ".") && running.get(task).number == run) {
                    end(task, "done");
                }
            }
        }

        private long duration(String text) {
            Matcher m = Pattern.compile("millis=(\\d+)").matcher(text);
            return m.find() ? Long.parseLong(m.group(1)) : 1_000;
        }

        void work(String step, int run, long from) {
            synchronized (lock) {
                running.forEach((task, r) -> {
                    if (task.startsWith(step + ".") && r.number == run) {
                        r.workedFrom = from;
                    }
                });
            }
        }

        private void handle(HttpExchange x) throws Exception {
            JsonNode body = JSON.readTree(x.getRequestBody().readAllBytes());
            String path = x.getRequestURI().getPath();
            if (path.equals("/standin/life")) {
                adopt(body);
                answer(x, 200, JSON.createObjectNode());
                return;
            }
            if (cut || !alive) {
                return; // No answer, and the connection stays silent.
            }
            ObjectNode reply;
            int status;
            synchronized (lock) {
                if (!id.equals(x.getRequestHeaders().getFirst("Expect-Instance"))) {
                    answer(x, 421, JSON.createObjectNode());
                    return;
                }
                String reason = order(path, body);
                status = reason.isEmpty() ? 200 : 409;
                reply = JSON.createObjectNode();
                if (!reason.isEmpty()) {
                    reply.put("reason", reason);
                } else if (path.equals("/api/hold")) {
                    long until = millis() + body.path("waitMs").asLong();
                    while (ends.isEmpty() && millis() < until && alive) {
                        lock.wait(Math.max(1, until - millis()));
                    }
                    lists(reply);
                }
                reply.put("clockMs", clock()).put("born", born);
            }
            if (!cut && alive) {
                answer(x, status, reply);
            }
        }

        private void lists(ObjectNode reply) {
            ArrayNode all = reply.putArray("running");
            running.forEach((task, r) -> {
                long done = r.workedFrom < 0 ? 0 : millis() - r.workedFrom;
                long percent = lasts(task, r) ? done / 5 : done * 100 / Math.max(1, duration(r.text));
                all.addArray().add(task).add(r.number).add("").add(Math.min(100, percent)).add(0);
            });
            ArrayNode finished = reply.putArray("finished");
            ends.forEach(e -> finished.addArray()
                    .add((Long) e[0])
                    .add((String) e[1])
                    .add((Integer) e[2])
                    .add((String) e[3])
                    .add(""));
        }

        /** Returns the reason of a refusal; empty if the order is taken. */
        private String order(String path, JsonNode body) {
            long token = body.path("fencingToken").asLong();
            if (token < fence) {
                return "fence";
            }
            fence = token;
            long until = body.path("deadlineMs").asLong();
            String task = body.path("task").asText();
            int run = body.path("run").asInt();
            switch (path) {
                case "/api/hold" -> {
                    deadline = Math.max(deadline, Math.min(until, clock() + HOLD_MAX_MILLIS));
                    long seen = body.path("lastSeen").asLong();
                    ends.removeIf(e -> (Long) e[0] <= seen);
                    return "";
                }
                case "/api/run-stop" -> {
                    Run r = running.get(task);
                    if (r != null && r.number <= run) {
                        end(task, "stopped");
                    }
                    closed.merge(task, run, Math::max);
                    return "";
                }
                case "/api/run-start" -> {
                    Run r = running.get(task);
                    if (r != null && r.number == run) {
                        return "";
                    }
                    if (until < clock()) {
                        return "late";
                    }
                    deadline = Math.max(deadline, Math.min(until, clock() + HOLD_MAX_MILLIS));
                    if (r != null || run <= closed.getOrDefault(task, 0)) {
                        return "old";
                    }
                    Run next = new Run();
                    next.number = run;
                    next.text = body.path("spec").asText();
                    next.startedAt = millis();
                    String step = task.substring(0, task.lastIndexOf('.'));
                    next.workedFrom = gangSizes.containsKey(step) ? -1 : millis();
                    running.put(task, next);
                    startedAt.putIfAbsent(task, millis());
                    log("start " + task + " run " + run + " on " + name + " fence " + token);
                    starts.merge(task, 1, Integer::sum);
                    if (crashing.contains(step) && run > answeredRuns) {
                        crash(crashMillis);
                    }
                    return "";
                }
                default -> {
                    return "";
                }
            }
        }
    }

    private int present(String step, int run) {
        int n = 0;
        for (Worker w : workers) {
            n += w.count(step, run);
        }
        return n;
    }

    private void joinGang(String step, int run) {
        long now = millis();
        for (Worker w : workers) {
            w.work(step, run, now);
        }
    }

    @Override
    public void close() {
        synchronized (processes) {
            for (Process p : processes) {
                p.destroyForcibly();
            }
            for (Process p : processes) {
                try {
                    p.waitFor();
                } catch (InterruptedException e) {
                    throw new IllegalStateException(e);
                }
            }
        }
        servers.forEach(s -> s.stop(0));
        try (var files = Files.walk(work)) {
            files.sorted(java.util.Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
        } catch (IOException e) {
            log("work folder left: " + e);
        }
    }
}
