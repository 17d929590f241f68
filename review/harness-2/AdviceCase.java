import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** LOST: a queue that needs advice gets many jobs within some seconds. */
public final class AdviceCase {

    private static final int JOBS = 60;
    private static final long PEAK_GAP_MILLIS = 50;
    private static final long MEAN_GAP_MILLIS = 250;
    private static final long DECIDE_MILLIS = 150;
    private static final long EACH_MILLIS = 2;
    private static final long VALID_MILLIS = 3_000;

    public static void main(String[] args) throws Exception {
        Harness.run(args, AdviceCase::holds);
    }

    private static boolean holds(Harness h) throws Exception {
        h.startPlatform();
        for (int i = 0; i < 8; i++) {
            h.startWorker("w" + i, "checks", i < 4 ? "north" : "south", "r" + i / 4);
        }
        Map<String, Object> route = Harness.route("checks", "checks", 3);
        route.put("advice", Json.object("decide_ms", DECIDE_MILLIS, "each_ms", EACH_MILLIS, "valid_ms", VALID_MILLIS));
        h.put("op/config", Json.object("version", 1, "routes", List.of(route), "services",
                List.of(Json.object("name", "checks", "rejectsOverload", true))));
        // For each calling machine the service handles one call at a time: one counter for each entry.
        AdviceService forNorth = new AdviceService(DECIDE_MILLIS, EACH_MILLIS, VALID_MILLIS);
        AdviceService forSouth = new AdviceService(DECIDE_MILLIS, EACH_MILLIS, VALID_MILLIS);
        String north = h.startEntry("entry-north", "north", "\"north\", \"south\"", h.platform, forNorth.address());
        String south = h.startEntry("entry-south", "south", "\"north\", \"south\"", h.platform, forSouth.address());
        h.awaitServing(south, "/checks/");

        List<String> ids = new ArrayList<>();
        List<Thread> requesters = new ArrayList<>();
        Map<String, Long> acceptedAt = new LinkedHashMap<>();
        for (int i = 0; i < JOBS; i++) {
            String id = String.format("%016x", 0x3d6f90b100000000L + i);
            String entry = i % 2 == 0 ? north : south;
            ids.add(id);
            Thread t = new Thread(() -> {
                Harness.Answer a = h.request("POST", entry, "/checks/" + id, "{\"spec\":\"advised millis=1000\","
                        + "\"steps\":[{\"count\":2,\"cpu\":50,\"memMb\":32,\"estimateMs\":1000}]}");
                if (a.isOk()) {
                    synchronized (acceptedAt) {
                        acceptedAt.put(id, h.millis());
                    }
                }
            });
            t.start();
            requesters.add(t);
            Thread.sleep(h.trouble ? PEAK_GAP_MILLIS : MEAN_GAP_MILLIS);
        }
        for (Thread t : requesters) {
            t.join();
        }
        long lastAt = h.millis();
        h.note(acceptedAt.size() + " of " + JOBS + " jobs were accepted; the last request was sent "
                + (lastAt - acceptedAt.values().stream().min(Long::compare).orElse(lastAt)) + " ms after the first answer");
        long watchMillis = h.trouble ? 50_000 : 10_000;
        List<String> waiting = List.of();
        while (h.millis() < lastAt + watchMillis) {
            Thread.sleep(5_000);
            List<String> startedIds = h.events().stream()
                    .filter(e -> e.kind().equals("start"))
                    .map(e -> e.task().substring(0, 16))
                    .distinct()
                    .toList();
            waiting = acceptedAt.keySet().stream().filter(id -> !startedIds.contains(id)).toList();
            h.note(startedIds.size() + " jobs have begun, " + waiting.size() + " accepted jobs have nothing started; calls for advice: "
                    + forNorth.counts() + "; " + forSouth.counts());
        }
        for (String id : waiting.stream().limit(3).toList()) {
            h.request("GET", south, "/checks/" + id, "");
        }
        for (String id : ids) {
            h.recordEvents(id);
        }
        if (!waiting.isEmpty()) {
            h.note("BROKEN: " + waiting.size() + " accepted jobs have had nothing running for " + (h.millis() - lastAt)
                    + " ms; each asks for 100 of the 32000 cpu of 8 sound workers");
        }
        return waiting.isEmpty();
    }
}
