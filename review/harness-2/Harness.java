import java.io.IOException;
import java.io.PrintWriter;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Starts the project's programs as processes on loopback addresses, sends requests to them, and writes what was sent,
 * answered and run to record.txt. All processes end with the harness.
 */
final class Harness implements AutoCloseable {

    static final int BROKEN = 1;
    static final int HELD = 0;
    static final int COULD_NOT_RUN = 2;

    private static final String HOST = "case.example";

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final Path root;
    private final Path work;
    private final PrintWriter record;
    private final long startedAt = System.currentTimeMillis();
    private final List<Process> processes = new ArrayList<>();
    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofMillis(1_000))
            .build();
    String platform = "";

    /** An answer of an entry; status 0 means that there was none. */
    record Answer(int status, String body) {
        boolean isOk() {
            return status >= 200 && status < 300;
        }

        String state() {
            return isOk() ? Json.text(Json.map(Json.read(body)), "state") : "";
        }

        @Override
        public String toString() {
            return status == 0 ? "no answer" : status + " " + body;
        }
    }

    /** A line that a worker printed: a start or an end of a run. */
    record Event(long at, String worker, String kind, String task, int run, String how) {}

    /** A case: returns whether the rule held. */
    interface Case {
        boolean holds(Harness h) throws Exception;
    }

    private Harness(Path root, Path folder) throws IOException {
        this.root = root.toRealPath();
        work = Files.createTempDirectory("review-case");
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
    }

    /** Runs a case and exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
    static void run(String[] args, Case c) throws Exception {
        Harness h = new Harness(Path.of(args[0]), Path.of(args[1]));
        Runtime.getRuntime().addShutdownHook(new Thread(h::close));
        int result;
        try {
            h.note("trouble=" + h.trouble);
            boolean holds = c.holds(h);
            result = holds ? HELD : BROKEN;
            h.note(holds ? "RESULT: the rule held" : "RESULT: the rule was broken");
        } catch (Exception e) {
            result = COULD_NOT_RUN;
            h.note("RESULT: the case could not run: " + e);
            e.printStackTrace();
        }
        System.exit(result);
    }

    long millis() {
        return System.currentTimeMillis() - startedAt;
    }

    /** Writes a line to the record and to standard output. */
    synchronized void note(String line) {
        String text = String.format("%7.2f s  %s", millis() / 1_000.0, line);
        record.println(text);
        System.out.println(text);
    }

    Process spawn(String name, List<String> command, Map<String, String> environment) throws IOException {
        ProcessBuilder b = new ProcessBuilder(command);
        b.directory(root.toFile());
        b.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        b.environment().putAll(environment);
        b.redirectErrorStream(true).redirectOutput(log(name).toFile());
        Process p = b.start();
        synchronized (processes) {
            processes.add(p);
        }
        return p;
    }

    Path log(String name) {
        return work.resolve(name + ".log");
    }

    String awaitMatch(String name, String pattern) throws Exception {
        Pattern p = Pattern.compile(pattern);
        for (int i = 0; i < 300; i++) {
            if (Files.exists(log(name))) {
                Matcher m = p.matcher(Files.readString(log(name)));
                if (m.find()) {
                    return m.group(1);
                }
            }
            Thread.sleep(100);
        }
        throw new IllegalStateException(name + " did not print " + pattern);
    }

    private String jar(String module) {
        return module + "/target/lupinpaddle-" + module + "-0.1.0-SNAPSHOT-all.jar";
    }

    /** Starts the project's stand-in of the platform. */
    void startPlatform() throws Exception {
        spawn("platform", List.of("java", "-XX:+UseSerialGC", "-Xmx96m", "-jar", jar("standins"), "job-platform"), Map.of());
        platform = awaitMatch("platform", "event=started address=(\\S+)");
        note("the platform's stand-in serves at " + platform);
    }

    /** Starts a worker process. */
    Process startWorker(String name, String service, String hall, String rack) throws Exception {
        Process p = spawn(
                name,
                List.of("java", "-XX:+UseSerialGC", "-Xmx48m", "-XX:TieredStopAtLevel=1", "-cp", System.getProperty("java.class.path"),
                        "StandWorker", name, service, hall, rack, platform),
                Map.of());
        awaitMatch(name, "life id=(\\S+)");
        return p;
    }

    /** Starts an entry with the command of the deploy file, and returns the address for callers. */
    String startEntry(String name, String hall, String halls, String store) throws Exception {
        return startEntry(name, hall, halls, store, platform);
    }

    String startEntry(String name, String hall, String halls, String store, String advice) throws Exception {
        launchEntry(name, hall, halls, store, advice);
        return awaitMatch(name, "event=started .*?callers=(\\S+)");
    }

    private Process launchEntry(String name, String hall, String halls, String store, String advice) throws Exception {
        String settings = "[entry]\nname = \"" + name + "\"\nhall = \"" + hall + "\"\nhalls = [" + halls + "]\n"
                + "cpu_share = 0.75\ncpu_speed = 1\n"
                + "[listen]\ncallers = \"127.0.0.1:0\"\nready = \"127.0.0.1:0\"\nmetrics = \"127.0.0.1:0\"\n"
                + "[platform]\nstore = \"" + store + "\"\ninstances = \"" + platform + "\"\nadvice = \"" + advice + "\"\n"
                + "[bounds]\nlongest_hold_millis = 6000\nstop_millis = 200\ngrace_seconds = 6\nowner_lease_millis = 3000\n"
                + "upkeep_seconds = 2\nfenced_instances = false\n";
        Path file = work.resolve(name + ".toml");
        Files.writeString(file, settings);
        Matcher m = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!m.find()) {
            throw new IllegalStateException("the deploy file has no run command");
        }
        return spawn(name, List.of(m.group(1).split(" ")), Map.of("LUPINPADDLE_NODE_FILE", file.toString()));
    }

    /** Writes a key as the operator does. */
    void put(String key, Object value) throws Exception {
        Answer a = ask("POST", platform, "/standin/put", Json.write(Json.object("key", key, "value", value)), 2_000);
        note("operator writes " + key + " " + Json.write(value) + " -> " + a.status);
        if (!a.isOk()) {
            throw new IllegalStateException("the operator could not write " + key);
        }
    }

    static Map<String, Object> route(String name, String service, int maxAttempts) {
        return Json.object("name", name, "host", HOST, "pathPrefix", "/" + name + "/", "service", service, "priority", 0,
                "maxAttempts", maxAttempts, "extension", 1.6, "sloMs", 600);
    }

    /** Sends a request and waits for the answer; none within the time is status 0. */
    Answer ask(String method, String address, String path, String body, long timeoutMillis) {
        HttpRequest.BodyPublisher content = body.isEmpty()
                ? HttpRequest.BodyPublishers.noBody()
                : HttpRequest.BodyPublishers.ofString(body);
        try {
            HttpResponse<String> r = client.send(
                    HttpRequest.newBuilder(URI.create("http://" + address + path))
                            .timeout(Duration.ofMillis(timeoutMillis))
                            .header("Host", HOST)
                            .header("Content-Type", "application/json")
                            .method(method, content)
                            .build(),
                    HttpResponse.BodyHandlers.ofString());
            return new Answer(r.statusCode(), r.body());
        } catch (IOException | InterruptedException e) {
            return new Answer(0, e.toString());
        }
    }

    /** Sends a request and writes it and its answer to the record. */
    Answer request(String method, String entry, String path, String body) {
        Answer a = ask(method, entry, path, body, 3_000);
        note(method + " " + path + (body.isEmpty() ? "" : " " + body) + " -> " + a);
        return a;
    }

    /** Submits a job until it is accepted. */
    void submit(String entry, String path, String body) throws Exception {
        for (int i = 0; i < 40; i++) {
            if (request("POST", entry, path, body).isOk()) {
                return;
            }
            Thread.sleep(500);
        }
        throw new IllegalStateException("no entry takes the job " + path);
    }

    /** Waits until an entry serves a queue, and then until the duties are shared out between the entries. */
    void awaitServing(String entry, String prefix) throws Exception {
        for (int i = 0; i < 100; i++) {
            if (ask("GET", entry, prefix, "", 1_000).isOk()) {
                Thread.sleep(9_000);
                return;
            }
            Thread.sleep(200);
        }
        throw new IllegalStateException("the entry does not serve " + prefix);
    }

    /** Returns the starts and ends that workers have printed, in the order of time. */
    List<Event> events() throws IOException {
        List<Event> all = new ArrayList<>();
        Pattern p = Pattern.compile("(\\d+) (start|end) task=(\\S+) run=(\\d+)(?: how=(\\S+))?.*");
        try (Stream<Path> logs = Files.list(work)) {
            for (Path log : logs.toList()) {
                String worker = log.getFileName().toString().replace(".log", "");
                for (String line : Files.readAllLines(log)) {
                    Matcher m = p.matcher(line);
                    if (m.matches()) {
                        all.add(new Event(
                                Long.parseLong(m.group(1)) - startedAt, worker, m.group(2), m.group(3),
                                Integer.parseInt(m.group(4)), m.group(5) == null ? "" : m.group(5)));
                    }
                }
            }
        }
        all.sort(Comparator.comparingLong(Event::at));
        return all;
    }

    /** Returns the events of the work items of one job. */
    List<Event> events(String job) throws IOException {
        return events().stream().filter(e -> e.task.startsWith(job + ".")).toList();
    }

    /** Returns the run of a job's work item that began last and has not ended, or null. */
    Event running(String job) throws IOException {
        Map<String, Event> open = new LinkedHashMap<>();
        for (Event e : events(job)) {
            String key = e.worker + " " + e.task + " " + e.run;
            if (e.kind.equals("start")) {
                open.put(key, e);
            } else {
                open.remove(key);
            }
        }
        Event last = null;
        for (Event e : open.values()) {
            last = e;
        }
        return last;
    }

    /** Writes what the workers ran to the record. */
    void recordEvents(String job) throws IOException {
        note("what the workers ran of " + job + ":");
        for (Event e : events(job)) {
            record.println(String.format(
                    "    %7.2f s  %s %s run %d on %s %s", e.at / 1_000.0, e.kind, e.task, e.run, e.worker, e.how));
        }
        record.flush();
    }

    /** Writes the lines of an entry's log that match to the record. */
    void recordLog(String name, String pattern) throws IOException {
        Pattern p = Pattern.compile(pattern);
        for (String line : Files.readAllLines(log(name))) {
            if (p.matcher(line).find()) {
                record.println("    " + name + ": " + line);
            }
        }
        record.flush();
    }

    static void signal(Process p, String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, Long.toString(p.pid())).inheritIO().start().waitFor();
    }

    @Override
    public void close() {
        synchronized (processes) {
            for (Process p : processes) {
                p.destroyForcibly();
            }
            for (Process p : processes) {
                try {
                    p.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
        try (Stream<Path> files = Files.walk(work)) {
            files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
        } catch (IOException | RuntimeException e) {
            // The folder is temporary; what is left of it does no harm.
        }
    }
}
