import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * LOST: a gang that prefers one rack, at most one work item a worker. One worker of the rack with the most room crashes for
 * good; the other rack has the room and the workers that the gang needs.
 */
public final class RackCase {

    private static final String STANDING = "1b4d7e90a2c35f68";
    private static final String GANG = "2c5e8fa1b3d46079";
    private static final int MEMBERS = 4;

    public static void main(String[] args) throws Exception {
        Harness.run(args, RackCase::holds);
    }

    private static boolean holds(Harness h) throws Exception {
        h.startPlatform();
        Map<String, Process> workers = new HashMap<>();
        for (int i = 0; i < 10; i++) {
            workers.put("w" + i, h.startWorker("w" + i, "packs", i < 4 ? "north" : "south", i < 4 ? "r0" : "r1"));
        }
        h.put("op/config", Json.object("version", 1, "routes", List.of(Harness.route("packs", "packs", 3)), "services",
                List.of(Json.object("name", "packs", "rejectsOverload", true))));
        String north = h.startEntry("entry-north", "north", "\"north\", \"south\"", h.platform);
        String south = h.startEntry("entry-south", "south", "\"north\", \"south\"", h.platform);
        h.awaitServing(south, "/packs/");

        h.note("each of the 10 workers has 4000 cpu and 8192 memMb; w0 to w3 stand on rack r0, w4 to w9 on rack r1");
        h.submit(north, "/packs/" + STANDING, "{\"spec\":\"lasts\",\"steps\":[{\"count\":6,\"cpu\":2100,\"memMb\":256,"
                + "\"estimateMs\":500,\"longRunning\":true,\"antiAffinity\":1,\"constraints\":\"r1\"}]}");
        for (int i = 0; i < 100 && h.events(STANDING).stream().filter(e -> e.kind().equals("start")).count() < 6; i++) {
            Thread.sleep(100);
        }
        if (h.trouble) {
            h.note("SIGKILL to the worker w0, for good");
            Harness.signal(workers.get("w0"), "KILL");
        }
        // The owner and the platform have long noticed, and all is calm.
        Thread.sleep(15_000);
        long handedInAt = h.millis();
        h.submit(north, "/packs/" + GANG, "{\"spec\":\"millis=3000\",\"steps\":[{\"count\":" + MEMBERS
                + ",\"cpu\":1000,\"memMb\":256,\"estimateMs\":3000,\"gang\":true,\"rackLocal\":true,\"antiAffinity\":1}]}");
        long until = h.millis() + 40_000;
        while (h.millis() < until
                && !h.ask("GET", south, "/packs/" + GANG, "", 1_000).state().equals("completed")) {
            Thread.sleep(200);
        }
        Harness.Answer shown = h.request("GET", south, "/packs/" + GANG, "");
        h.recordEvents(STANDING);
        h.recordEvents(GANG);
        long firstStart = h.events(GANG).stream().mapToLong(Harness.Event::at).findFirst().orElse(-1);
        h.note(firstStart < 0
                ? "no work item of the gang was started in " + (h.millis() - handedInAt) + " ms; 12600 of at least 36000 cpu are in use; "
                        + "each of the 6 workers of r1 has 1900 cpu free, and each of the other 3 of r0 has 4000"
                : "the gang was started after " + (firstStart - handedInAt) + " ms");
        boolean broken = firstStart < 0 && !shown.state().equals("completed");
        if (broken) {
            h.note("BROKEN: the accepted job has nothing running; it is shown as " + shown.state());
        }
        return !broken;
    }
}
