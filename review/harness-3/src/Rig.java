import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.BufferedWriter;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Stand-ins for the platform's store, its list of machines and its workers, as the operators' pages describe them, and a
 * launcher for entries, which run as processes of their own with the command of the deploy file. All addresses are loopback
 * addresses. Each case is a class with a main method that uses this one.
 */
final class Rig implements AutoCloseable {

    static final ObjectMapper JSON = new ObjectMapper();
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    /** Bounds of the small installations (ccta-lupin). */
    static final long HOLD_MAX_MILLIS = 6_000;
    static final long STOP_MILLIS = 200;
    static final long CANCEL_MILLIS = 3_000;
    static final long GANG_MILLIS = 3_000;
    static final long BEAT_MILLIS = 1_500;
    private static final long STORE_MILLIS = 4;

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final ExecutorService threads = Executors.newCachedThreadPool(r -> {
        Thread t = new Thread(r);
        t.setDaemon(true);
        return t;
    });
    final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2, r -> {
        Thread t = new Thread(r);
        t.setDaemon(true);
        return t;
    });
    final Store store = new Store();
    final List<Worker> workers = new CopyOnWriteArrayList<>();
    final List<Entry> entries = new ArrayList<>();
    final List<Start> starts = new CopyOnWriteArrayList<>();
    final List<End> ends = new CopyOnWriteArrayList<>();
    final Path root = Path.of(System.getProperty("rig.root")).toAbsolutePath();
    private final Path temp;
    private final BufferedWriter record;
    private final long origin = System.nanoTime();
    private final HttpServer platform;
    /** When a run fails by its own fault, in milliseconds after its start; negative for never. */
    volatile FailurePlan failures = (task, run) -> -1;
    /** The share of the store's writes that are carried out late, 1 to 2 s later, and not answered; 0 for none. */
    volatile double lostShare = 0;

    volatile int writes;
    volatile int lostWrites;
    volatile long lastLateWriteAt;
    private final java.util.Random random = new java.util.Random(7);

    /** The number of members of the gang steps, by the beginning of their work items' names. */
    final Map<String, Integer> gangs = new java.util.concurrent.ConcurrentHashMap<>();

    private final Map<String, Gang> gangRuns = new java.util.concurrent.ConcurrentHashMap<>();

    /** One run of a gang: it works from the moment at which all members are present. */
    private static final class Gang {
        final java.util.Set<String> present = java.util.concurrent.ConcurrentHashMap.newKeySet();
        final long size;
        volatile long completeAt = Long.MAX_VALUE;
        volatile boolean done;
        volatile boolean broken;

        Gang(long size) {
            this.size = size;
        }
    }

    private Gang gang(String task, int run) {
        String step = task.substring(0, task.lastIndexOf('.') + 1);
        Integer size = gangs.get(step);
        return size == null ? null : gangRuns.computeIfAbsent(step + run, k -> new Gang(size));
    }

    /** The jobs on whose queue a start has to carry a ticket of the service for advice, by id. */
    final java.util.Set<String> ticketed = java.util.concurrent.ConcurrentHashMap.newKeySet();

    private final java.util.Set<String> tickets = java.util.concurrent.ConcurrentHashMap.newKeySet();
    private static final long DECIDE_MILLIS = 100;

    interface FailurePlan {
        long failsAfter(String task, int run);
    }

    record Start(long at, String task, int run, String machine, String life, long fence) {}

    record End(long at, String task, int run, String how, String machine) {}

    record Answer(int status, String body) {
        boolean answered() {
            return status > 0;
        }
    }

    Rig() throws Exception {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        System.setProperty("sun.net.httpserver.maxIdleConnections", "1000");
        temp = Files.createTempDirectory("review-case");
        record = Files.newBufferedWriter(Path.of(System.getProperty("rig.record")));
        platform = HttpServer.create(new InetSocketAddress(LOOPBACK, 0), 200);
        platform.setExecutor(threads);
        platform.createContext("/", this::servePlatform);
        platform.start();
        timer.scheduleAtFixedRate(this::tick, 10, 10, TimeUnit.MILLISECONDS);
        Runtime.getRuntime().addShutdownHook(new Thread(this::end));
        timer.schedule(
                () -> {
                    note("the case ran for 118 s and is given up");
                    finish(2);
                },
                118,
                TimeUnit.SECONDS);
        note("TROUBLE=" + (trouble ? 1 : 0));
    }

    long now() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - origin);
    }

    synchronized void note(String text) {
        try {
            record.write(String.format(Locale.ROOT, "%8.3f %s%n", now() / 1000.0, text));
            record.flush();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Ends the case: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
    void finish(int code) {
        note("exit code " + code);
        end();
        Runtime.getRuntime().halt(code);
    }

    private void end() {
        entries.forEach(Entry::kill);
        try (var files = Files.walk(temp)) {
            boolean keep = System.getenv("KEEP_LOGS") != null;
            if (keep) {
                System.err.println("logs: " + temp);
            } else {
                files.sorted(java.util.Comparator.reverseOrder()).forEach(p -> p.toFile().delete());
            }
        } catch (IOException e) {
            // Only a temporary folder is left behind.
        }
    }

    @Override
    public void close() {
        end();
    }

    void sleep(long millis) throws InterruptedException {
        Thread.sleep(millis);
    }

    String platformAddress() {
        return "127.0.0.1:" + platform.getAddress().getPort();
    }

    private void tick() {
        try {
            store.expire(now());
            workers.forEach(Worker::tick);
        } catch (RuntimeException e) {
            e.printStackTrace();
        }
    }

    // ---- the platform's store ----

    /** The store: revisions, conditions, leases and watches. */
    final class Store {
        private final TreeMap<String, ObjectNode> items = new TreeMap<>();
        private final List<ObjectNode> history = new ArrayList<>();
        private final Map<Long, long[]> leases = new HashMap<>();
        private long revision = 1;
        private long nextLease = 1000;

        synchronized String text(String key) {
            ObjectNode i = items.get(key);
            return i == null
                    ? ""
                    : new String(Base64.getDecoder().decode(i.path("value").asText()), StandardCharsets.UTF_8);
        }

        synchronized void put(String key, String value) {
            revision++;
            write(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
            notifyAll();
        }

        synchronized void remove(String key) {
            revision++;
            gone(key);
            notifyAll();
        }

        private void write(String key, String value, long lease) {
            ObjectNode before = items.get(key);
            ObjectNode item = JSON.createObjectNode()
                    .put("privateKey", key)
                    .put("value", value)
                    .put("revision", revision)
                    .put("made", before == null ? revision : before.path("made").asLong())
                    .put("lease", lease);
            items.put(key, item);
            history.add(item);
        }

        private void gone(String key) {
            if (items.remove(key) != null) {
                history.add(JSON.createObjectNode()
                        .put("privateKey", key)
                        .put("revision", revision)
                        .put("gone", true));
            }
        }

        synchronized void expire(long now) {
            List<Long> over = leases.entrySet().stream()
                    .filter(e -> e.getValue()[1] < now)
                    .map(Map.Entry::getKey)
                    .toList();
            over.forEach(this::endLease);
        }

        private boolean endLease(long id) {
            if (leases.remove(id) == null) {
                return false;
            }
            revision++;
            items.values().stream()
                    .filter(i -> i.path("lease").asLong() == id)
                    .map(i -> i.path("privateKey").asText())
                    .toList()
                    .forEach(this::gone);
            notifyAll();
            return true;
        }

        private synchronized Object[] txn(JsonNode body) {
            for (JsonNode p : body.path("put")) {
                String key = p.path("privateKey").asText();
                if (key.startsWith("op/") || key.startsWith("servers/")) {
                    return new Object[] {403, JSON.createObjectNode()};
                }
                long lease = p.path("lease").asLong();
                if (lease != 0 && !leases.containsKey(lease)) {
                    return new Object[] {404, JSON.createObjectNode()};
                }
            }
            boolean holds = true;
            ObjectNode conflict = JSON.createObjectNode();
            ArrayNode current = conflict.putArray("items");
            for (JsonNode c : body.path("expectedRevision")) {
                ObjectNode i = items.get(c.path("privateKey").asText());
                holds &= (i == null ? 0 : i.path("revision").asLong()) == c.path("revision").asLong();
                if (i != null) {
                    current.add(i);
                }
            }
            if (!holds) {
                return new Object[] {412, conflict};
            }
            revision++;
            body.path("put")
                    .forEach(p -> write(
                            p.path("privateKey").asText(),
                            p.path("value").asText(),
                            p.path("lease").asLong()));
            body.path("remove").forEach(k -> gone(k.asText()));
            notifyAll();
            return new Object[] {200, JSON.createObjectNode().put("revision", revision)};
        }

        private synchronized ObjectNode range(String prefix, String after) {
            ObjectNode answer = JSON.createObjectNode().put("at", revision);
            ArrayNode all = answer.putArray("items");
            boolean more = false;
            for (Map.Entry<String, ObjectNode> e : items.tailMap(prefix).entrySet()) {
                if (!e.getKey().startsWith(prefix)) {
                    break;
                }
                if (e.getKey().compareTo(after) > 0) {
                    if (all.size() == 500) {
                        more = true;
                        break;
                    }
                    all.add(e.getValue());
                }
            }
            return answer.put("more", more);
        }

        private synchronized ObjectNode watch(String prefix, long after, long waitMillis) throws InterruptedException {
            long until = now() + waitMillis;
            while (true) {
                ArrayNode events = JSON.createArrayNode();
                for (ObjectNode h : history) {
                    if (h.path("revision").asLong() > after
                            && h.path("privateKey").asText().startsWith(prefix)) {
                        events.add(h);
                    }
                }
                long left = until - now();
                if (!events.isEmpty() || left <= 0) {
                    ObjectNode answer = JSON.createObjectNode().put("at", revision);
                    answer.set("events", events);
                    return answer;
                }
                wait(left);
            }
        }

        private synchronized ObjectNode read(String key) {
            ObjectNode i = items.get(key);
            return i == null ? null : i.deepCopy().put("at", revision);
        }

        private synchronized ObjectNode openLease(long ttl) {
            long id = nextLease++;
            leases.put(id, new long[] {ttl, now() + ttl});
            return JSON.createObjectNode().put("lease", id).put("ttl_ms", ttl);
        }

        private synchronized ObjectNode keep(long id) {
            long[] lease = leases.get(id);
            if (lease == null) {
                return null;
            }
            lease[1] = now() + lease[0];
            return JSON.createObjectNode().put("ttl_ms", lease[0]);
        }

        private synchronized boolean end(long id) {
            return endLease(id);
        }
    }

    private void servePlatform(HttpExchange x) throws IOException {
        try {
            JsonNode body = body(x);
            String path = x.getRequestURI().getPath();
            Map<String, String> q = query(x);
            String last = path.substring(path.lastIndexOf('/') + 1);
            if (path.startsWith("/api/kv")) {
                Thread.sleep(STORE_MILLIS);
            }
            if (path.startsWith("/api/kv-keep/")) {
                ObjectNode kept = store.keep(Long.parseLong(last));
                answer(x, kept == null ? 404 : 200, kept);
            } else if (path.startsWith("/api/kv-lease-end/")) {
                answer(x, store.end(Long.parseLong(last)) ? 200 : 404, null);
            } else if (path.equals("/api/kv-key")) {
                ObjectNode item = store.read(q.get("privateKey"));
                answer(x, item == null ? 404 : 200, item);
            } else if (path.equals("/api/kv-range")) {
                answer(x, 200, store.range(q.get("pathPrefix"), q.getOrDefault("after", "")));
            } else if (path.equals("/api/kv-watch")) {
                answer(
                        x,
                        200,
                        store.watch(
                                q.get("pathPrefix"), Long.parseLong(q.get("after")), Long.parseLong(q.get("waitMs"))));
            } else if (path.equals("/api/kv-txn")) {
                if (lostShare > 0) {
                    synchronized (random) {
                        writes++;
                        if (random.nextDouble() < lostShare) {
                            lostWrites++;
                            carryOutLate(body, 1_000 + random.nextInt(1_000));
                            // Nothing more is said on this channel.
                            return;
                        }
                    }
                }
                Object[] r = store.txn(body);
                answer(x, (int) r[0], (JsonNode) r[1]);
            } else if (path.equals("/api/kv-lease")) {
                answer(x, 200, store.openLease(body.path("ttl_ms").asLong()));
            } else if (path.equals("/api/machines")) {
                answer(x, 200, machines());
            } else if (path.equals("/api/advise")) {
                Thread.sleep(DECIDE_MILLIS);
                answer(x, 200, advise(body));
            } else if (path.equals("/api/machine-move") || path.equals("/api/machine-upkeep")) {
                note("machine order " + path + " " + body);
                answer(x, 409, JSON.createObjectNode().put("reason", "busy"));
            } else {
                answer(x, 404, null);
            }
        } catch (InterruptedException | RuntimeException e) {
            note("platform: " + e);
            answer(x, 500, null);
        }
    }

    private void carryOutLate(JsonNode body, long millis) {
        timer.schedule(
                () -> {
                    Object[] r = store.txn(body);
                    lastLateWriteAt = now();
                    note("a write that was not answered is carried out after " + millis + " ms: " + r[0]);
                },
                millis,
                TimeUnit.MILLISECONDS);
    }

    /** The service for advice permits every worker to run every step. */
    private ObjectNode advise(JsonNode body) {
        ObjectNode answer = JSON.createObjectNode();
        ArrayNode good = answer.putArray("good");
        for (JsonNode w : body.path("workers")) {
            String ticket = "t-" + body.path("step").asText() + "-" + w.asText();
            tickets.add(ticket);
            good.addArray().add(w.asText()).add(ticket);
        }
        note("advice on " + body.path("step").asText() + " for " + body.path("workers").size() + " workers");
        return answer.put("valid_ms", 3_000);
    }

    private boolean hasTicket(JsonNode start, String worker) {
        String task = start.path("task").asText();
        String expected = "t-" + task.substring(0, task.lastIndexOf('.')) + "-" + worker;
        String ticket = start.path("ticket").asText("");
        return ticket.equals(expected) && tickets.contains(ticket);
    }

    private ObjectNode machines() {
        ObjectNode answer = JSON.createObjectNode();
        ArrayNode all = answer.putArray("machines");
        for (Worker w : workers) {
            boolean up = w.up;
            ObjectNode m = all.addObject()
                    .put("machine", w.machine)
                    .put("pool", w.service)
                    .put("state", up ? "up" : "down")
                    .put("zone", w.zone);
            m.set("labels", w.labels());
            m.set("room", w.room());
            m.put("id", up ? w.life : "");
        }
        return answer.putNull("nextToken");
    }

    // ---- workers ----

    private static final class Run {
        String task;
        int number;
        String spec;
        long startedAt;
        long workMillis;
        long doneBefore;
        long failsAt = -1;
        Gang gang;

        boolean lasts() {
            return spec.startsWith("lasts");
        }

        long worked(long now) {
            long since = gang == null ? startedAt : gang.completeAt;
            return doneBefore + (since > now ? 0 : now - since);
        }

        int percent(long now) {
            long whole = lasts() ? 500 : workMillis;
            return (int) Math.min(lasts() ? 100 : 99, worked(now) * 100 / Math.max(1, whole));
        }

        /** What is saved, with every second of work. */
        String saved(long now) {
            return lasts() ? "" : String.format(Locale.ROOT, "%08x", worked(now) / 1000 * 1000);
        }
    }

    /** A machine with the life of its worker. Specs are {@code work=MILLIS} or {@code lasts}. */
    final class Worker {
        final String machine;
        final String service;
        final String zone;
        final String rack;
        final String kind;
        final int port;
        volatile String life;
        volatile boolean up;
        volatile boolean held;
        volatile long holdAnsweredAt;
        /** Until when no machine of the system reaches the worker, which runs on; its answers are lost meanwhile. */
        volatile long cutUntil = Long.MIN_VALUE;
        private HttpServer server;
        private final Map<String, Run> running = new LinkedHashMap<>();
        private final Map<String, Integer> closed = new HashMap<>();
        private final List<Object[]> finished = new ArrayList<>();
        private long fence;
        private long deadline;
        private long number;
        private long clockBase;
        private long beatAt;
        private long sequence;
        private int lives;
        private long born;
        /** The name of a work item of which the next start is not answered, and is carried out later. */
        volatile String lateTask = "";

        private JsonNode lateStart;
        private long removeAt = Long.MAX_VALUE;
        private String oldLife = "";

        Worker(String machine, String service, String zone, String rack, String kind) throws IOException {
            this.machine = machine;
            this.service = service;
            this.zone = zone;
            this.rack = rack;
            this.kind = kind;
            this.port = freePort();
            begin();
            workers.add(this);
        }

        synchronized void begin() throws IOException {
            begin(String.format(Locale.ROOT, "i-%s-%d", machine, ++lives));
        }

        /** The worker starts again under the id that it had; its clock and its counts start anew, and {@code born} tells. */
        synchronized void restartUnderItsId() throws IOException {
            removeAt = Long.MAX_VALUE;
            begin(life);
        }

        private void begin(String id) throws IOException {
            life = id;
            born = System.currentTimeMillis();
            sequence = 0;
            running.clear();
            closed.clear();
            finished.clear();
            fence = 0;
            deadline = 0;
            number = 0;
            held = false;
            clockBase = 10_000L - now();
            server = HttpServer.create(new InetSocketAddress(LOOPBACK, port), 50);
            server.setExecutor(threads);
            server.createContext("/", this::serve);
            server.start();
            up = true;
            beatAt = 0;
            note("worker " + life + " begins on machine " + machine);
        }

        /** The worker crashes: its port is dead, all that it ran is gone. Its entry goes after three silent beats. */
        void crash() {
            HttpServer old;
            synchronized (this) {
                note("worker " + life + " crashes; running there: " + running.keySet());
                running.values().stream().filter(r -> r.gang != null).forEach(r -> r.gang.broken |= !r.gang.done);
                up = false;
                old = server;
                running.clear();
                oldLife = life;
                removeAt = now() + 3 * BEAT_MILLIS;
                notifyAll();
            }
            old.stop(0);
        }

        /** A new life of the worker begins on the machine, at the same address. */
        void restart() throws IOException {
            begin();
        }

        ArrayNode labels() {
            return JSON.createArrayNode().add(kind).add(rack);
        }

        ObjectNode room() {
            return JSON.createObjectNode().put("cpu", 64_000).put("memMb", 262_144).put("gpu", 0);
        }

        private long clock() {
            return clockBase + now();
        }

        boolean hasLateStart() {
            return lateStart != null;
        }

        synchronized boolean runs(String task) {
            return running.containsKey(task);
        }

        private void tick() {
            long now = now();
            if (now >= removeAt) {
                removeAt = Long.MAX_VALUE;
                store.remove("servers/" + oldLife);
            }
            if (!up) {
                return;
            }
            if (now >= beatAt) {
                beatAt = now + BEAT_MILLIS;
                beat();
            }
            synchronized (this) {
                for (Run r : new ArrayList<>(running.values())) {
                    if (r.failsAt >= 0 && now >= r.failsAt) {
                        end(r, "failed");
                    } else if (r.gang != null && r.gang.broken) {
                        end(r, "broken");
                    } else if (r.gang != null && r.gang.completeAt > now && now - r.startedAt > GANG_MILLIS) {
                        end(r, "alone");
                    } else if (r.gang != null && r.gang.done) {
                        end(r, "done");
                    } else if (!r.lasts() && r.worked(now) >= r.workMillis) {
                        end(r, "done");
                    }
                }
                if (!running.isEmpty() && clock() > deadline) {
                    new ArrayList<>(running.values()).forEach(r -> end(r, "lapsed"));
                }
            }
        }

        private void beat() {
            ObjectNode e = JSON.createObjectNode()
                    .put("service", service)
                    .put("address", "127.0.0.1:" + port)
                    .put("zone", zone)
                    .put("version", "v1")
                    .put("slots", 8)
                    .put("state", "ready")
                    .put("coldLeftMs", 0);
            e.set("room", room());
            e.set("labels", labels());
            e.put("clockMs", clock()).put("born", born).put("sequence", ++sequence);
            store.put("servers/" + life, e.toString());
        }

        private void end(Run r, String how) {
            if (r.gang != null) {
                r.gang.done |= how.equals("done");
                r.gang.broken |= !how.equals("done");
            }
            running.remove(r.task);
            closed.merge(r.task, r.number, Math::max);
            finished.add(new Object[] {++number, r.task, r.number, how, r.saved(now())});
            ends.add(new End(now(), r.task, r.number, how, machine));
            note("end " + r.task + " run " + r.number + " " + how + " on " + life);
            notifyAll();
        }

        void cut(long millis) {
            synchronized (this) {
                cutUntil = now() + millis;
                note("worker " + life + " is cut off for " + millis + " ms");
                notifyAll();
            }
        }

        private boolean isCut() {
            return now() < cutUntil;
        }

        /** Leaves a call without an answer: the sender gives it up before the cut ends. */
        private void drop(HttpExchange x) {
            timer.schedule(x::close, Math.max(0, cutUntil - now()) + 600, TimeUnit.MILLISECONDS);
        }

        private void serve(HttpExchange x) throws IOException {
            try {
                if (isCut()) {
                    drop(x);
                    return;
                }
                JsonNode body = body(x);
                String path = x.getRequestURI().getPath();
                if (path.equals("/healthz")) {
                    answer(x, 200, null);
                    return;
                }
                String expected = x.getRequestHeaders().getFirst("Expect-Instance");
                if (expected != null && !expected.equals(life)) {
                    answer(x, 421, JSON.createObjectNode().put("clockMs", clock()));
                    return;
                }
                switch (path) {
                    case "/api/run-start" -> start(x, body);
                    case "/api/run-stop" -> stop(x, body);
                    case "/api/pace" -> reply(x, isFenced(body) ? "fence" : "");
                    case "/api/hold" -> hold(x, body);
                    default -> answer(x, 404, null);
                }
            } catch (InterruptedException e) {
                answer(x, 500, null);
            }
        }

        private synchronized boolean isFenced(JsonNode body) {
            long token = body.path("fencingToken").asLong();
            boolean low = token < fence;
            fence = Math.max(fence, token);
            return low;
        }

        /** Carries out the start that was not answered, in the life that the worker has now. */
        void carryOutLateStart() {
            JsonNode body = lateStart;
            note("the start of " + body.path("task").asText() + " run " + body.path("run").asInt()
                    + " that was not answered is carried out on " + life + ": " + begin(body));
        }

        private void start(HttpExchange x, JsonNode body) throws IOException {
            if (!lateTask.isEmpty() && body.path("task").asText().equals(lateTask)) {
                lateTask = "";
                lateStart = body;
                note("start " + body.path("task").asText() + " run " + body.path("run").asInt() + " on " + life
                        + " fence " + body.path("fencingToken").asLong() + ": not answered, to be carried out later");
                timer.schedule(x::close, 3_000, TimeUnit.MILLISECONDS);
                return;
            }
            String refused = begin(body);
            note("start " + body.path("task").asText() + " run " + body.path("run").asInt() + " on " + life + " fence "
                    + body.path("fencingToken").asLong() + ": " + (refused.isEmpty() ? "200" : "409 " + refused));
            reply(x, refused);
        }

        private synchronized String begin(JsonNode body) {
            if (isFenced(body)) {
                return "fence";
            }
            long until = body.path("deadlineMs").asLong();
            if (until < clock()) {
                return "late";
            }
            deadline = Math.max(deadline, Math.min(until, clock() + HOLD_MAX_MILLIS));
            String task = body.path("task").asText();
            int run = body.path("run").asInt();
            Run current = running.get(task);
            if (current != null && current.number == run) {
                return "";
            }
            if (current != null || run <= closed.getOrDefault(task, 0)) {
                return "old";
            }
            if (ticketed.contains(task.substring(0, 16)) && !hasTicket(body, life)) {
                return "ticket";
            }
            Run r = new Run();
            r.task = task;
            r.number = run;
            r.spec = body.path("spec").asText();
            r.startedAt = now();
            r.workMillis = r.lasts() ? 0 : Long.parseLong(r.spec.substring("work=".length()));
            String checkpoint = body.path("checkpoint").asText("");
            if (!checkpoint.isEmpty()) {
                r.doneBefore = Long.parseLong(checkpoint, 16);
                r.startedAt += 250;
            }
            long fails = failures.failsAfter(task, run);
            r.failsAt = fails < 0 ? -1 : now() + fails;
            r.gang = gang(task, run);
            if (r.gang != null && r.gang.present.add(task) && r.gang.present.size() == r.gang.size) {
                r.gang.completeAt = now();
                note("gang of " + task + " run " + run + " is complete");
            }
            running.put(task, r);
            starts.add(new Start(now(), task, run, machine, life, body.path("fencingToken").asLong()));
            return "";
        }

        private void stop(HttpExchange x, JsonNode body) throws IOException {
            String refused = "";
            synchronized (this) {
                if (isFenced(body)) {
                    refused = "fence";
                } else {
                    String task = body.path("task").asText();
                    int run = body.path("run").asInt();
                    Run current = running.get(task);
                    if (current != null && current.number <= run) {
                        end(current, "stopped");
                    }
                    closed.merge(task, run, Math::max);
                }
            }
            note("stop " + body.path("task").asText() + " run " + body.path("run").asInt() + " on " + life);
            reply(x, refused);
        }

        private void reply(HttpExchange x, String refused) throws IOException {
            ObjectNode answer = JSON.createObjectNode().put("clockMs", clock());
            if (!refused.isEmpty()) {
                answer.put("reason", refused);
            }
            answer(x, refused.isEmpty() ? 200 : 409, answer);
        }

        private void hold(HttpExchange x, JsonNode body) throws IOException, InterruptedException {
            if (isFenced(body)) {
                reply(x, "fence");
                return;
            }
            ObjectNode answer = JSON.createObjectNode();
            synchronized (this) {
                held = true;
                long seen = body.path("lastSeen").asLong();
                finished.removeIf(f -> (long) f[0] <= seen);
                if (body.has("deadlineMs")) {
                    deadline = Math.max(
                            deadline, Math.min(body.path("deadlineMs").asLong(), clock() + HOLD_MAX_MILLIS));
                }
                String mine = life;
                long until = now() + body.path("waitMs").asLong();
                while (finished.isEmpty() && now() < until && up && mine.equals(life) && !isCut()) {
                    wait(Math.max(1, until - now()));
                }
                if (!up || !mine.equals(life) || isCut()) {
                    drop(x);
                    return;
                }
                long now = now();
                answer.put("clockMs", clock()).put("born", born);
                ArrayNode rows = answer.putArray("running");
                for (Run r : running.values()) {
                    rows.addArray()
                            .add(r.task)
                            .add(r.number)
                            .add(r.saved(now))
                            .add(r.percent(now))
                            .add(r.lasts() ? 20 : 1000);
                }
                holdAnsweredAt = now;
                ArrayNode over = answer.putArray("finished");
                finished.stream().limit(500).forEach(f -> over.addArray()
                        .add((long) f[0])
                        .add((String) f[1])
                        .add((int) f[2])
                        .add((String) f[3])
                        .add((String) f[4]));
            }
            answer(x, 200, answer);
        }
    }

    // ---- entries ----

    /** A process of the system, started with the command of the deploy file. */
    final class Entry {
        final String name;
        final int callers;
        final int ready;
        final Path log;
        private final Path settings;
        private Process process;

        Entry(String name, String zone) throws IOException {
            this.name = name;
            callers = freePort();
            ready = freePort();
            log = temp.resolve(name + ".log");
            settings = temp.resolve(name + ".toml");
            Files.writeString(
                    settings,
                    String.join(
                            "\n",
                            "[entry]",
                            "name = \"" + name + "\"",
                            "hall = \"" + zone + "\"",
                            "halls = [\"hall-a\",\"hall-b\"]",
                            "cpu_share = 0.75",
                            "cpu_speed = 1",
                            "[listen]",
                            "callers = \"127.0.0.1:" + callers + "\"",
                            "ready = \"127.0.0.1:" + ready + "\"",
                            "metrics = \"127.0.0.1:" + freePort() + "\"",
                            "[platform]",
                            "store = \"" + platformAddress() + "\"",
                            "instances = \"" + platformAddress() + "\"",
                            "advice = \"" + platformAddress() + "\"",
                            "[bounds]",
                            "longest_hold_millis = " + HOLD_MAX_MILLIS,
                            "stop_millis = " + STOP_MILLIS,
                            "grace_seconds = 6",
                            "owner_lease_millis = 3000",
                            "upkeep_seconds = 2",
                            "fenced_instances = false",
                            ""));
            start();
            entries.add(this);
        }

        void start() throws IOException {
            String run = Files.readAllLines(root.resolve("deploy/system.toml")).stream()
                    .filter(l -> l.startsWith("run = "))
                    .findFirst()
                    .orElseThrow();
            List<String> words = new ArrayList<>(
                    Arrays.asList(run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" ")));
            ProcessBuilder b = new ProcessBuilder(words).directory(root.toFile()).redirectErrorStream(true);
            b.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            b.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            b.environment().put("LUPINPADDLE_NODE_FILE", settings.toString());
            process = b.start();
            note("entry " + name + " started, callers at " + callers);
        }

        boolean isReady() {
            return call(ready, "GET", "127.0.0.1", "/api/readyz", "", 1_000).status() == 200;
        }

        boolean alive() {
            return process.isAlive();
        }

        void signal(String signal) throws IOException, InterruptedException {
            note("entry " + name + ": SIG" + signal);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        }

        void kill() {
            process.destroyForcibly();
        }

        void waitForEnd() throws InterruptedException {
            process.waitFor();
        }
    }

    /** Starts entries and waits until they are ready, all workers are held and each service has an owner. */
    void startEntries(int count) throws Exception {
        for (int i = 1; i <= count; i++) {
            new Entry("front-" + i, i % 2 == 1 ? "hall-a" : "hall-b");
            sleep(300);
        }
        long until = now() + 25_000;
        while (!(entries.stream().allMatch(Entry::isReady) && workers.stream().allMatch(w -> w.held))) {
            if (now() > until) {
                note("the entries did not get ready");
                finish(2);
            }
            sleep(100);
        }
        // Entries that have just started share out their duties within some seconds.
        sleep(9_000);
        note("all entries are ready, all workers are held");
    }

    /** Returns the entry that owns a service, by the key that it holds in the store. */
    Entry owner(String service) {
        String name = store.text("lupinpaddle/member/owner/" + service);
        return entries.stream().filter(e -> e.name.equals(name)).findFirst().orElse(null);
    }

    /** Writes a configuration with one queue a service, named after it. */
    void configure(int version, String host, List<String> services, int maxAttempts) {
        configure(version, host, services, maxAttempts, false);
    }

    /** Writes a configuration as above, in which the queues may carry {@code advice}. */
    void configure(int version, String host, List<String> services, int maxAttempts, boolean advice) {
        ObjectNode config = JSON.createObjectNode().put("version", version);
        ArrayNode routes = config.putArray("routes");
        ArrayNode all = config.putArray("services");
        for (String s : services) {
            ObjectNode route = routes.addObject();
            if (advice) {
                route.putObject("advice")
                        .put("decide_ms", DECIDE_MILLIS)
                        .put("each_ms", 0)
                        .put("valid_ms", 3_000);
            }
            route.put("name", "r-" + s)
                    .put("host", host)
                    .put("pathPrefix", "/" + s + "/")
                    .put("kind", "non_idempotent")
                    .put("timeoutMs", 3000)
                    .put("sloMs", 600)
                    .put("priority", 0)
                    .put("service", s)
                    .put("maxAttempts", maxAttempts)
                    .put("extension", 1.6);
            all.addObject()
                    .put("name", s)
                    .put("healthPath", "/healthz")
                    .put("maxConns", 64)
                    .put("protocol", "h1")
                    .put("tls", false)
                    .put("rejectsOverload", true)
                    .put("headroom", false);
        }
        config.putObject("limits").put("maxHeaderBytes", 16384).put("maxBodyBytes", 262144);
        store.put("op/config", config.toString());
        note("op/config version " + version);
    }

    // ---- HTTP ----

    private static final java.util.Set<Integer> TAKEN = new java.util.HashSet<>();

    /** Returns a free port below those that the system gives to outgoing channels, so that none of these takes it. */
    static synchronized int freePort() throws IOException {
        while (true) {
            int port = java.util.concurrent.ThreadLocalRandom.current().nextInt(20_000, 32_000);
            if (TAKEN.add(port)) {
                try (ServerSocket s = new ServerSocket(port, 1, LOOPBACK)) {
                    return s.getLocalPort();
                } catch (java.net.BindException e) {
                    // Another program has it.
                }
            }
        }
    }

    /** Sends a request on a channel of its own and leaves after {@code millis}; the status is 0 without an answer. */
    Answer call(int port, String method, String host, String path, String body, long millis) {
        long until = now() + millis;
        try (Socket s = new Socket()) {
            s.connect(new InetSocketAddress(LOOPBACK, port), (int) millis);
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nConnection: close\r\n"
                    + (bytes.length == 0 ? "" : "Content-Type: application/json\r\n")
                    + "Deadline-Ms: " + millis + "\r\nContent-Length: " + bytes.length + "\r\n\r\n";
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            out.write(head.getBytes(StandardCharsets.UTF_8));
            out.write(bytes);
            s.getOutputStream().write(out.toByteArray());
            ByteArrayOutputStream in = new ByteArrayOutputStream();
            byte[] buffer = new byte[8192];
            InputStream stream = s.getInputStream();
            while (true) {
                s.setSoTimeout((int) Math.max(1, until - now()));
                int n = stream.read(buffer);
                if (n < 0) {
                    break;
                }
                in.write(buffer, 0, n);
            }
            String text = in.toString(StandardCharsets.UTF_8);
            if (!text.startsWith("HTTP/1.1 ")) {
                return new Answer(0, "closed");
            }
            int gap = text.indexOf("\r\n\r\n");
            return new Answer(Integer.parseInt(text.substring(9, 12)), gap < 0 ? "" : text.substring(gap + 4));
        } catch (IOException e) {
            return new Answer(0, e.toString());
        }
    }

    /** A request of a client, as {@link #call}, which is recorded. */
    Answer ask(Entry e, String method, String host, String path, String body, long millis) {
        long at = now();
        Answer a = call(e.callers, method, host, path, body, millis);
        note("client: " + method + " " + path + " to " + e.name + " after " + (now() - at) + " ms: "
                + (a.answered() ? a.status() + " " + a.body().strip() : "no answer (" + a.body() + ")"));
        return a;
    }

    private static JsonNode body(HttpExchange x) throws IOException {
        byte[] bytes = x.getRequestBody().readAllBytes();
        return bytes.length == 0 ? JSON.createObjectNode() : JSON.readTree(bytes);
    }

    private static Map<String, String> query(HttpExchange x) {
        Map<String, String> all = new HashMap<>();
        String raw = x.getRequestURI().getRawQuery();
        if (raw != null) {
            for (String part : raw.split("&")) {
                int eq = part.indexOf('=');
                all.put(part.substring(0, eq), URLDecoder.decode(part.substring(eq + 1), StandardCharsets.UTF_8));
            }
        }
        return all;
    }

    private static void answer(HttpExchange x, int status, JsonNode node) {
        try {
            byte[] bytes = (node == null ? JSON.createObjectNode() : node).toString().getBytes(StandardCharsets.UTF_8);
            x.getResponseHeaders().set("Content-Type", "application/json");
            x.sendResponseHeaders(status, bytes.length);
            x.getResponseBody().write(bytes);
            x.close();
        } catch (IOException e) {
            // The caller has left.
            x.close();
        }
    }
}
