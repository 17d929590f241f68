import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;

/** UNASKED: requesters cancel jobs whose submission got no certain answer, and the system runs these jobs later. */
public final class CancelCase {

    private static final int JOBS = 90;
    private static final long GAP_MILLIS = 50;
    private static final double SHARE = 0.35;

    /** What a requester knows of its cancelling: when it was answered, and how. */
    private record Cancelled(long at, Harness.Answer answer) {}

    public static void main(String[] args) throws Exception {
        Harness.run(args, CancelCase::holds);
    }

    private static boolean holds(Harness h) throws Exception {
        h.startPlatform();
        for (int i = 0; i < 8; i++) {
            h.startWorker("w" + i, "feeds", i % 2 == 0 ? "north" : "south", "r" + i / 4);
        }
        h.put("op/config", Json.object("version", 1, "routes", List.of(Harness.route("feeds", "feeds", 4)), "services",
                List.of(Json.object("name", "feeds", "rejectsOverload", true))));
        LossyStore store = new LossyStore(h.platform, 20261204);
        String north = h.startEntry("entry-north", "north", "\"north\", \"south\"", store.address());
        String south = h.startEntry("entry-south", "south", "\"north\", \"south\"", store.address());
        h.awaitServing(south, "/feeds/");
        h.awaitServing(north, "/feeds/");

        Map<String, Cancelled> cancelled = new ConcurrentSkipListMap<>();
        Map<String, Integer> outcomes = Collections.synchronizedMap(new TreeMap<>());
        List<Thread> requesters = new ArrayList<>();
        if (h.trouble) {
            store.lose(SHARE);
            h.note("from now on the answers of " + SHARE + " of the writes to the store are lost; they are done 1 to 6 s later");
        }
        long windowEndsAt = h.millis() + JOBS * GAP_MILLIS;
        for (int i = 0; i < JOBS; i++) {
            int number = i;
            String id = String.format("%016x", 0x5c0e7a2100000000L + number);
            Thread t = new Thread(() -> request(h, number % 2 == 0 ? north : south, number % 2 == 0 ? south : north, id,
                    number, cancelled, outcomes));
            t.start();
            requesters.add(t);
            Thread.sleep(GAP_MILLIS);
        }
        store.lose(0);
        h.note("the store answers all writes again, after " + (h.millis() - windowEndsAt + JOBS * GAP_MILLIS) + " ms; lost: "
                + store.counts());
        for (Thread t : requesters) {
            t.join();
        }
        h.note("submissions by answer: " + outcomes + "; cancelled: " + cancelled.size());
        // 6 s for the late writes, then cancel_ms + stop_ms = 3.2 s, and more than twice that again.
        Thread.sleep(Math.max(0, windowEndsAt + 16_000 - h.millis()));
        int broken = 0;
        for (Map.Entry<String, Cancelled> c : cancelled.entrySet()) {
            Harness.Event runs = h.running(c.getKey());
            if (runs != null && h.millis() - c.getValue().at > 3_200) {
                broken++;
                Harness.Answer shown = h.request("GET", south, "/feeds/" + c.getKey(), "");
                h.note("BROKEN: the cancelling of " + c.getKey() + " was answered at "
                        + c.getValue().at / 1_000.0 + " s with " + c.getValue().answer + "; " + runs.task() + " was started at "
                        + runs.at() / 1_000.0 + " s on " + runs.worker() + " and still runs at " + h.millis() / 1_000.0
                        + " s; the job is shown as " + shown.state());
            }
        }
        h.note(broken + " of " + cancelled.size() + " cancelled jobs still run");
        return broken == 0;
    }

    /** Submits a job. Without a certain answer, and else for each tenth job, cancels it at the other entry. */
    private static void request(
            Harness h, String entry, String other, String id, int number, Map<String, Cancelled> cancelled,
            Map<String, Integer> outcomes) {
        Harness.Answer a = h.request("POST", entry, "/feeds/" + id,
                "{\"spec\":\"lasts\",\"steps\":[{\"count\":1,\"cpu\":50,\"memMb\":16,\"estimateMs\":500,\"longRunning\":true}]}");
        outcomes.merge(a.status() == 0 ? "none" : Integer.toString(a.status()), 1, Integer::sum);
        boolean uncertain = a.status() == 0 || a.status() == 502 || a.status() == 504;
        if (!uncertain && !(a.isOk() && number % 10 == 0)) {
            return;
        }
        for (int i = 0; i < 5; i++) {
            Harness.Answer d = h.request("DELETE", other, "/feeds/" + id, "");
            if (d.isOk() || d.status() == 410) {
                cancelled.put(id, new Cancelled(h.millis(), d));
                return;
            }
        }
    }
}
