import java.nio.file.Path;
import java.util.List;

/**
 * A work item that lasts may run on the workers of one rack only. It fails now and then, each time on another worker,
 * until it has failed once on each of them.
 */
final class FailedOnceEverywhere {

    private static final String HOST = "demo.example";
    private static final String ID = "5c0e7a21d94b3604";
    private static final String TASK = ID + ".0.0.0";
    private static final String PATH = "/taller/" + ID;
    private static final String BODY = "{\"spec\":\"lasts\",\"steps\":["
            + "{\"count\":1,\"cpu\":4000,\"memMb\":256,\"longRunning\":true,\"constraints\":\"r1\"}]}";
    // A run works for this long before it fails.
    private static final long FAILS_AFTER_MILLIS = 15_000;
    // The rule: 3 s with nothing running, from 6 s after the last run of a work item that lasts.
    private static final long LOST_MILLIS = 9_000;

    public static void main(String[] args) throws Exception {
        int result = 2;
        try (Lab lab = new Lab(Path.of(args[0]), Path.of(args[1]))) {
            result = run(lab);
            lab.log("result " + result);
        }
        System.exit(result);
    }

    private static int run(Lab lab) throws Exception {
        String platform = lab.platform();
        for (int i = 0; i < 8; i++) {
            lab.new Worker("t" + i, "taller", i < 4 ? "north" : "south", "r" + (1 + i / 4), "usual", platform, 16_000);
        }
        lab.put(
                platform,
                "op/config",
                "{\"version\":1,\"routes\":[{\"name\":\"taller\",\"host\":\"demo.example\",\"pathPrefix\":\"/taller/\","
                        + "\"service\":\"taller\",\"priority\":0,\"maxAttempts\":3,\"extension\":1.5,\"sloMs\":600}],"
                        + "\"services\":[{\"name\":\"taller\",\"rejectsOverload\":true}]}");
        Lab.Entry a = lab.new Entry("entry-a", "north", platform, platform).start();
        Lab.Entry b = lab.new Entry("entry-b", "south", platform, platform).start();
        Lab.sleep(6_000);
        if (lab.trouble) {
            lab.failing.put(ID + ".0.0", FAILS_AFTER_MILLIS);
        }
        if (lab.ask("POST", a, HOST, PATH, BODY, 3_000).status() != 200) {
            return 2;
        }
        long handedInAt = lab.millis();
        long ranAt = lab.millis();
        long longestIdle = 0;
        while (lab.millis() < handedInAt + 95_000 && longestIdle <= LOST_MILLIS + 1_000) {
            if (lab.workers.stream().anyMatch(w -> w.isRunning(TASK))) {
                ranAt = lab.millis();
            }
            longestIdle = Math.max(longestIdle, lab.millis() - ranAt);
            Lab.sleep(20);
        }
        lab.ask("GET", b, HOST, PATH, null, 3_000);
        lab.log("4 workers of the rack are up and free; the longest time without a run: " + longestIdle + " ms");
        if (System.getenv("KEEP_LOG") != null) {
            for (String n : List.of("entry-a", "entry-b")) {
                java.nio.file.Files.writeString(Path.of(System.getenv("KEEP_LOG"), n + ".log"), lab.logOf(n));
            }
        }
        return longestIdle > LOST_MILLIS ? 1 : 0;
    }
}
