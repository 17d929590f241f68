import java.io.IOException;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Starts a small deployment as separate processes on loopback addresses: the project's stand-in of the platform, review
 * workers, and entries with the command of the deploy file. Sends requests as a client and writes record.txt.
 */
final class Harness implements AutoCloseable {

    /** Signals that the case could not run; exit code 2. */
    static final class NotRun extends Exception {
        private static final long serialVersionUID = 1;

        NotRun(String why) {
            super(why);
        }
    }

    /** An answer to a request; status 0 means that there was none in time. */
    record Answer(int status, String body, long sentAt, long answeredAt) {
        boolean isOk() {
            return status >= 200 && status < 300;
        }
    }

    /** A process of the deployment. */
    static final class Part {
        final String name;
        final Process process;
        final Path log;
        String callers = "";
        String ready = "";

        Part(String name, Process process, Path log) {
            this.name = name;
            this.process = process;
            this.log = log;
        }
    }

    /** One line that a worker wrote: a start, an end or a life. */
    record WorkerEvent(long at, String machine, String life, String kind, String task, int run, String detail) {}

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path root;
    final Path folder;
    final Path work;
    final List<Part> workers = new ArrayList<>();
    final List<Part> entries = new ArrayList<>();
    private final List<Part> all = Collections.synchronizedList(new ArrayList<>());
    private final List<String> lines = Collections.synchronizedList(new ArrayList<>());
    private final long begunAt = System.currentTimeMillis();
    private String platform = "";
    /** The key that the client's requests bear; empty for none. */
    String key = "";

    Harness(String root, String folder) throws IOException {
        this.root = Path.of(root).toAbsolutePath();
        this.folder = Path.of(folder).toAbsolutePath();
        work = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    long now() {
        return System.currentTimeMillis();
    }

    /** Adds a line to the record. */
    void record(String line) {
        record(now(), line);
    }

    private void record(long at, String line) {
        String text = String.format("%8d ms  %s", at - begunAt, line);
        lines.add(text);
        System.out.println(text);
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, java.net.InetAddress.getLoopbackAddress())) {
            return s.getLocalPort();
        }
    }

    private static String java() {
        return Path.of(System.getProperty("java.home"), "bin", "java").toString();
    }

    private Path standIns() {
        return root.resolve("standins/target/lupinpaddle-standins-0.1.0-SNAPSHOT-all.jar");
    }

    private Part launch(String name, List<String> command, Map<String, String> variables) throws IOException {
        Path log = work.resolve(name + "-" + all.size() + ".log");
        ProcessBuilder b = new ProcessBuilder(command)
                .directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(log.toFile());
        b.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        b.environment().putAll(variables);
        Part p = new Part(name, b.start(), log);
        all.add(p);
        return p;
    }

    /** Waits for a line of a process's output and returns the group of the pattern. */
    String await(Part p, String pattern, long millis) throws Exception {
        Pattern compiled = Pattern.compile(pattern);
        long end = now() + millis;
        while (now() < end) {
            try (Stream<String> read = Files.lines(p.log)) {
                var found = read.map(compiled::matcher).filter(Matcher::find).findFirst();
                if (found.isPresent()) {
                    return found.get().group(1);
                }
            }
            sleep(50);
        }
        throw new NotRun(p.name + " did not write " + pattern + "; log: " + tail(p.log));
    }

    private static String tail(Path log) throws IOException {
        List<String> read = Files.readAllLines(log);
        return String.join("\n", read.subList(Math.max(0, read.size() - 10), read.size()));
    }

    void startPlatform() throws Exception {
        Part p = launch(
                "platform",
                List.of(java(), "-Xmx64m", "-XX:+UseSerialGC", "-jar", standIns().toString(), "job-platform"),
                Map.of());
        platform = await(p, "event=started.* address=\"?([0-9.:]+)", 15_000);
        record("the platform's stand-in listens");
    }

    Part startWorker(String machine, String service, String hall, String rack) throws Exception {
        String classes = standIns() + ":" + root.resolve("review/target");
        Part p = launch(
                machine,
                List.of(
                        java(), "-Xmx48m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-cp", classes, "ReviewWorker",
                        machine, service, hall, rack, platform),
                Map.of());
        workers.add(p);
        return p;
    }

    /** Starts a worker that is cold for a while: its entry in the store changes with each beat. */
    Part startColdWorker(String machine, String service, String hall, String rack, long coldMillis) throws Exception {
        String classes = standIns() + ":" + root.resolve("review/target");
        Part p = launch(
                machine,
                List.of(
                        java(), "-Xmx48m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-cp", classes, "ReviewWorker",
                        machine, service, hall, rack, platform, Long.toString(coldMillis)),
                Map.of());
        workers.add(p);
        return p;
    }

    /** Starts an entry with the command of deploy/system.toml and settings in the form of deploy/entry.toml. */
    Part startEntry(String name, String hall, String halls) throws Exception {
        Path settings = work.resolve(name + ".toml");
        int ready = freePort();
        Files.writeString(
                settings,
                """
                [entry]
                name = "%s"
                hall = "%s"
                halls = [%s]
                cpu_share = 0.75
                cpu_speed = 1

                [listen]
                callers = "127.0.0.1:0"
                ready = "127.0.0.1:%d"
                metrics = "127.0.0.1:0"

                [platform]
                store = "%s"
                instances = "%s"
                advice = "%s"

                [bounds]
                longest_hold_millis = 6000
                stop_millis = 200
                grace_seconds = 6
                owner_lease_millis = 3000
                upkeep_seconds = 2
                fenced_instances = false
                """.formatted(name, hall, halls, ready, platform, platform, platform));
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$")
                .matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!run.find()) {
            throw new NotRun("deploy/system.toml has no command");
        }
        List<String> command = new ArrayList<>(Arrays.asList(run.group(1).split(" ")));
        command.set(0, java());
        Part p = launch(name, command, Map.of("LUPINPADDLE_NODE_FILE", settings.toString()));
        p.callers = await(p, "event=started .*callers=(\\S+)", 20_000);
        p.ready = "127.0.0.1:" + ready;
        entries.add(p);
        return p;
    }

    /** Waits until an entry logs that it has begun to schedule each of these services, and all entries are ready. */
    void awaitOwners(String... services) throws Exception {
        long end = now() + 30_000;
        for (String s : services) {
            boolean owned = false;
            while (!owned && now() < end) {
                for (Part e : entries) {
                    owned |= Files.readString(e.log).contains("event=scheduler-started service=" + s + " ");
                }
                sleep(50);
            }
            if (!owned) {
                throw new NotRun("no entry owns " + s);
            }
        }
        while (now() < end) {
            boolean ready = true;
            for (Part e : entries) {
                ready &= isReady(e);
            }
            if (ready) {
                record("all entries are ready");
                return;
            }
            sleep(100);
        }
        throw new NotRun("the entries did not become ready");
    }

    boolean isReady(Part entry) {
        return send("GET", "http://" + entry.ready + "/api/readyz", "", 1_000).isOk();
    }

    /** Writes a key as the operator does; the store's answer is the ack. */
    void putAsOperator(String key, String value) throws Exception {
        Answer a = send(
                "POST", "http://" + platform + "/standin/put", "{\"key\":\"" + key + "\",\"value\":" + value + "}", 3_000);
        if (!a.isOk()) {
            throw new NotRun("the operator's write of " + key + " was answered " + a.status());
        }
        record("operator writes " + key + " " + value.replaceAll("\\s+", " ") + " -> acknowledged");
    }

    /** Sends a request as a client does and records it with its answer. */
    Answer ask(Part entry, String method, String path, String body) {
        return ask(entry, method, path, body, key);
    }

    Answer ask(Part entry, String method, String path, String body, String bearer) {
        Answer a = send(method, "http://" + entry.callers + path, body, bearer, 3_000);
        String sent = body.isEmpty() ? "" : " " + body;
        record(a.answeredAt, "client " + method + " " + path + " at " + entry.name + sent + " -> "
                + (a.status == 0 ? "no answer within 3 s" : a.status + " " + a.body) + " after "
                + (a.answeredAt - a.sentAt) + " ms");
        return a;
    }

    private Answer send(String method, String url, String body, long timeoutMillis) {
        return send(method, url, body, "", timeoutMillis);
    }

    private Answer send(String method, String url, String body, String bearer, long timeoutMillis) {
        long sentAt = now();
        // A channel of its own for each request, with the host name 127.0.0.1.
        HttpClient client = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(Duration.ofMillis(timeoutMillis))
                .build();
        try {
            HttpRequest.Builder request = HttpRequest.newBuilder(URI.create(url))
                    .timeout(Duration.ofMillis(timeoutMillis))
                    .header("Content-Type", "application/json")
                    .header("Deadline-Ms", Long.toString(timeoutMillis))
                    .method(method, HttpRequest.BodyPublishers.ofString(body));
            if (!bearer.isEmpty()) {
                request.header("Authorization", "Bearer " + bearer);
            }
            HttpResponse<String> r = client.send(request.build(), HttpResponse.BodyHandlers.ofString());
            return new Answer(r.statusCode(), r.body(), sentAt, now());
        } catch (IOException e) {
            return new Answer(0, e.toString(), sentAt, now());
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Kills a process as a crash does. */
    void kill(Part p) throws InterruptedException {
        p.process.destroyForcibly().waitFor();
    }

    /** Returns what the workers have written so far, in the order of time. */
    List<WorkerEvent> workerEvents() throws IOException {
        List<WorkerEvent> events = new ArrayList<>();
        for (Part w : List.copyOf(workers)) {
            for (String line : Files.readAllLines(w.log)) {
                String[] f = line.split(" ", 7);
                if (f.length == 7 && f[0].equals("worker")) {
                    events.add(new WorkerEvent(
                            Long.parseLong(f[1]), w.name, f[2], f[3], f[4], Integer.parseInt(f[5]), f[6]));
                }
            }
        }
        events.sort(java.util.Comparator.comparingLong(WorkerEvent::at));
        return events;
    }

    /** Returns the log lines of the entries that contain a text. */
    List<String> entryLines(String text) throws IOException {
        List<String> found = new ArrayList<>();
        for (Part e : entries) {
            for (String line : Files.readAllLines(e.log)) {
                if (line.contains(text)) {
                    found.add(e.name + ": " + line);
                }
            }
        }
        return found;
    }

    private void killAll() {
        for (Part p : List.copyOf(all)) {
            p.process.destroyForcibly();
        }
        for (Part p : List.copyOf(all)) {
            try {
                p.process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Ends all processes and writes the record. */
    @Override
    public void close() throws IOException {
        killAll();
        Map<Long, List<String>> byTime = new TreeMap<>();
        for (String l : List.copyOf(lines)) {
            byTime.computeIfAbsent(Long.parseLong(l.strip().split(" ")[0]), t -> new ArrayList<>()).add(l);
        }
        for (WorkerEvent e : workerEvents()) {
            long t = e.at - begunAt;
            byTime.computeIfAbsent(t, x -> new ArrayList<>())
                    .add(String.format("%8d ms  worker %s (%s) %s %s run %d %s", t, e.machine, e.life, e.kind, e.task,
                            e.run, e.detail));
        }
        List<String> out = new ArrayList<>();
        byTime.values().forEach(out::addAll);
        Files.write(folder.resolve("record.txt"), out);
        try (Stream<Path> files = Files.walk(work)) {
            for (Path f : files.sorted(java.util.Comparator.reverseOrder()).toList()) {
                Files.delete(f);
            }
        }
    }

    /** A case: returns whether the rule held. */
    interface Case {
        boolean held(Harness h) throws Exception;
    }

    /** Runs a case and exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
    static void run(String[] args, Case c) {
        int code;
        try (Harness h = new Harness(args[0], args[1])) {
            try {
                boolean held = c.held(h);
                h.record(held ? "RESULT: the rule held" : "RESULT: the rule was broken");
                code = held ? 0 : 1;
            } catch (Exception e) {
                h.record("RESULT: the case could not run: " + e);
                code = 2;
            }
        } catch (Exception e) {
            e.printStackTrace();
            code = 2;
        }
        System.exit(code);
    }
}
