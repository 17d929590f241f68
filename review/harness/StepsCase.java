import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * A client hands in one job of 32 steps that run one after the other; "after" of each step names all earlier steps. With
 * TROUBLE=0 it names only the step before, which asks for the same order. Judged is what becomes of other clients' jobs,
 * which were accepted before and after it.
 */
final class StepsCase {

    private static final int STEPS = Integer.parseInt(System.getenv().getOrDefault("STEPS", "32"));
    private static final long FINISH_MILLIS = 14_000;
    private static final String CONFIG =
            """
            {"version":1,"routes":[
            {"name":"clips","host":"127.0.0.1","pathPrefix":"/clips/","service":"clip-svc","priority":0,"maxAttempts":3,"extension":1.5,"sloMs":600},
            {"name":"archive","host":"127.0.0.1","pathPrefix":"/archive/","service":"archive-svc","priority":1,"maxAttempts":3,"extension":1.5,"sloMs":600}],
            "services":[{"name":"clip-svc","rejectsOverload":true},{"name":"archive-svc","rejectsOverload":true}]}""";

    private StepsCase() {}

    public static void main(String[] args) {
        Harness.run(args, StepsCase::held);
    }

    private static String steps(boolean namesAllEarlier) {
        return IntStream.range(0, STEPS)
                .mapToObj(i -> {
                    String after = IntStream.range(namesAllEarlier ? 0 : Math.max(0, i - 1), i)
                            .mapToObj(Integer::toString)
                            .collect(Collectors.joining(","));
                    return "{\"count\":1,\"cpu\":1000,\"memMb\":256,\"estimateMs\":300"
                            + (i == 0 ? "" : ",\"after\":[" + after + "]") + "}";
                })
                .collect(Collectors.joining(","));
    }

    private static boolean held(Harness h) throws Exception {
        h.startPlatform();
        for (String w : List.of("clip-1", "clip-2", "clip-3", "clip-4")) {
            h.startWorker(w, "clip-svc", w.endsWith("1") || w.endsWith("2") ? "north" : "south", "r1");
        }
        for (String w : List.of("archive-1", "archive-2", "archive-3", "archive-4")) {
            h.startWorker(w, "archive-svc", w.endsWith("1") || w.endsWith("2") ? "north" : "south", "r2");
        }
        h.putAsOperator("op/config", CONFIG);
        h.startEntry("entry-north-1", "north", "\"north\", \"south\"");
        h.startEntry("entry-north-2", "north", "\"north\", \"south\"");
        h.startEntry("entry-south-1", "south", "\"north\", \"south\"");
        h.startEntry("entry-south-2", "south", "\"north\", \"south\"");
        h.awaitOwners("clip-svc", "archive-svc");
        Harness.sleep(3_000);

        Map<String, Long> accepted = new LinkedHashMap<>();
        List<String> shownCompleted = new ArrayList<>();
        int next = 0;
        for (int i = 0; i < 4; i++) {
            next = submit(h, next, 8_000, accepted);
        }
        Harness.sleep(2_000);
        h.record("the job of " + STEPS + " steps, each of one work item of 300 ms; steps=" + (h.trouble ? "name all earlier"
                + " steps" : "name the step before"));
        String id = "00000000000000ff";
        Harness.Answer a = h.ask(
                h.entries.get(0), "POST", "/clips/" + id, "{\"spec\":\"millis=300\",\"steps\":[" + steps(h.trouble) + "]}");
        if (!a.isOk()) {
            throw new Harness.NotRun("the job was not taken");
        }
        accepted.put("/clips/" + id, a.answeredAt());
        // Other clients go on for 40 s: a job a second, to any entry.
        long end = h.now() + 40_000;
        while (h.now() < end) {
            long from = h.now();
            next = submit(h, next, 500, accepted);
            Harness.sleep(Math.max(0, 1_000 - (h.now() - from)));
        }
        h.record("the traffic has ended");
        Harness.sleep(FINISH_MILLIS);
        for (Harness.Part e : h.entries) {
            h.record(e.name + ": process " + (e.process.isAlive() ? "runs" : "has ended") + ", ready "
                    + h.isReady(e) + ", processor time "
                    + e.process.info().totalCpuDuration().map(d -> d.toSeconds() + " s").orElse("unknown"));
        }
        // Each accepted job is asked for, all at the same time: at one entry after the other until one answers.
        Map<String, String> states = new ConcurrentHashMap<>();
        ExecutorService clients = Executors.newFixedThreadPool(16);
        accepted.keySet().forEach(path -> clients.execute(() -> states.put(path, state(h, path))));
        clients.shutdown();
        if (!clients.awaitTermination(30, TimeUnit.SECONDS)) {
            throw new Harness.NotRun("the requests for states did not end");
        }
        List<String> lost = new ArrayList<>();
        for (String path : accepted.keySet()) {
            if (states.get(path).contains("completed")) {
                shownCompleted.add(path);
            } else {
                lost.add(path + " " + states.get(path));
            }
        }
        h.record(accepted.size() + " jobs were accepted, " + shownCompleted.size() + " are shown as completed "
                + FINISH_MILLIS / 1_000 + " s after the traffic; not: " + lost);
        return lost.isEmpty();
    }

    private static String state(Harness h, String path) {
        for (Harness.Part e : h.entries) {
            Harness.Answer a = h.ask(e, "GET", path, "");
            if (a.isOk() || a.status() == 410) {
                return a.status() + " " + a.body();
            }
        }
        return "gets no answer";
    }

    /** Hands in a job of two work items to the next entry. */
    private static int submit(Harness h, int number, int millis, Map<String, Long> accepted) {
        String path = (number % 2 == 0 ? "/clips/" : "/archive/") + String.format("%016x", 0x1000 + number);
        Harness.Part entry = h.entries.get(number % h.entries.size());
        Harness.Answer a = h.ask(entry, "POST", path, "{\"spec\":\"millis=" + millis
                + "\",\"steps\":[{\"count\":2,\"cpu\":1000,\"memMb\":256,\"estimateMs\":" + millis + "}]}");
        if (a.isOk()) {
            accepted.put(path, a.answeredAt());
        }
        return number + 1;
    }
}
