import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A queue's route is changed to another service while a job of the queue runs; the client sends the job's id again, as
 * PROTOCOL.md lets it. With TROUBLE=0 the configuration stays as it is. Judged is whether a work item runs twice at once
 * on workers that are up.
 */
final class RerouteCase {

    private static final String ID = "5c0e7a21d94b36f8";
    private static final String BODY = "{\"spec\":\"millis=8000\",\"steps\":[{\"count\":3,\"cpu\":1000,\"memMb\":256,"
            + "\"estimateMs\":8000}]}";

    private RerouteCase() {}

    public static void main(String[] args) {
        Harness.run(args, RerouteCase::held);
    }

    private static String config(int version, String service) {
        return """
            {"version":%d,"routes":[{"name":"clips","host":"127.0.0.1","pathPrefix":"/clips/","service":"%s","priority":0,"maxAttempts":3,"extension":1.5,"sloMs":600},
            {"name":"promos","host":"127.0.0.1","pathPrefix":"/promos/","service":"promo-svc","priority":0,"maxAttempts":3,"extension":1.5,"sloMs":600}],
            "services":[{"name":"clip-svc","rejectsOverload":true},{"name":"promo-svc","rejectsOverload":true}]}"""
                .formatted(version, service);
    }

    private static boolean held(Harness h) throws Exception {
        h.startPlatform();
        h.startWorker("clip-1", "clip-svc", "north", "r1");
        h.startWorker("clip-2", "clip-svc", "south", "r2");
        h.startWorker("promo-1", "promo-svc", "north", "r1");
        h.startWorker("promo-2", "promo-svc", "south", "r2");
        h.putAsOperator("op/config", config(3, "clip-svc"));
        h.startEntry("entry-north", "north", "\"north\", \"south\"");
        h.startEntry("entry-south", "south", "\"north\", \"south\"");
        h.awaitOwners("clip-svc", "promo-svc");
        Harness.sleep(3_000);

        Harness.Answer first = h.ask(h.entries.get(0), "POST", "/clips/" + ID, BODY);
        if (!first.isOk()) {
            throw new Harness.NotRun("the job was not taken");
        }
        Harness.sleep(1_500);
        if (h.trouble) {
            h.putAsOperator("op/config", config(7, "promo-svc"));
        }
        Harness.sleep(1_500);
        h.ask(h.entries.get(1), "POST", "/clips/" + ID, BODY);
        Harness.sleep(2_000);
        h.ask(h.entries.get(0), "GET", "/clips/" + ID, "");
        Harness.sleep(12_000);
        h.ask(h.entries.get(0), "GET", "/clips/" + ID, "");
        return !twice(h);
    }

    /** Returns whether the workers' records show a work item that ran twice at once, or again after it had ended done. */
    private static boolean twice(Harness h) throws Exception {
        Map<String, List<Harness.WorkerEvent>> open = new LinkedHashMap<>();
        Map<String, Harness.WorkerEvent> done = new LinkedHashMap<>();
        boolean twice = false;
        for (Harness.WorkerEvent e : h.workerEvents()) {
            List<Harness.WorkerEvent> runs = open.computeIfAbsent(e.task(), t -> new ArrayList<>());
            if (e.kind().equals("start")) {
                for (Harness.WorkerEvent other : runs) {
                    h.record("TWICE: " + e.task() + " runs on " + other.machine() + " (run " + other.run() + ") and on "
                            + e.machine() + " (run " + e.run() + ") at once");
                    twice = true;
                }
                if (done.containsKey(e.task())) {
                    h.record("TWICE: " + e.task() + " starts on " + e.machine() + " after it had ended done on "
                            + done.get(e.task()).machine());
                    twice = true;
                }
                runs.add(e);
            } else if (e.kind().equals("end")) {
                runs.removeIf(r -> r.machine().equals(e.machine()) && r.run() == e.run());
                if (e.detail().equals("done")) {
                    done.put(e.task(), e);
                }
            }
        }
        return twice;
    }
}
