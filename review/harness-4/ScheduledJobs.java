import java.nio.file.Path;
import java.util.List;

/** Callers hand in jobs that are to run a thousand times each, the first time tomorrow. */
final class ScheduledJobs {

    private static final String HOST = "demo.example";
    private static final int JOBS = Integer.getInteger("jobs", 200);
    private static final int TIMES = 1_000;
    private static final long GAP_MILLIS = 100;
    private static final long LOST_MILLIS = 3_000;

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
        long tomorrow = System.currentTimeMillis() + 24 * 3_600_000L;
        int accepted = 0;
        int unanswered = 0;
        for (int i = 0; i < JOBS && unanswered < 5; i++) {
            String body = "{\"spec\":\"millis=500\"," + (lab.trouble ? "\"repeatCount\":" + TIMES + "," : "\"repeatCount\":1,")
                    + "\"firstMs\":" + tomorrow + ",\"intervalMs\":60000,"
                    + "\"steps\":[{\"count\":1,\"cpu\":1000,\"memMb\":256,\"estimateMs\":500}]}";
            Lab.Answer x = Lab.call(
                    "POST",
                    (i % 2 == 0 ? a : b).callers,
                    String.format("/taller/dddddddddddd%04x", i),
                    java.util.Map.of("Host", HOST, "Content-Type", "application/json"),
                    body.getBytes(),
                    3_000);
            accepted += x.status() == 200 ? 1 : 0;
            unanswered += x.status() == 0 ? 1 : 0;
            if (x.status() != 200) {
                lab.log("job " + i + " answered " + x.status());
            }
            Lab.sleep(GAP_MILLIS);
        }
        lab.log("accepted " + accepted + " of " + JOBS + " jobs of " + (lab.trouble ? TIMES : 1) + " times, the first one tomorrow");
        Lab.sleep(10_000);
        String id = "5c0e7a21d94b3607";
        Lab.Answer now = lab.ask("POST", a, HOST, "/taller/" + id,
                "{\"spec\":\"millis=500\",\"steps\":[{\"count\":1,\"cpu\":1000,\"memMb\":256}]}", 3_000);
        if (now.status() != 200) {
            now = lab.ask("POST", b, HOST, "/taller/" + id,
                    "{\"spec\":\"millis=500\",\"steps\":[{\"count\":1,\"cpu\":1000,\"memMb\":256}]}", 3_000);
        }
        long acceptedAt = lab.millis();
        while (lab.millis() < acceptedAt + 30_000 && !lab.startedAt.containsKey(id + ".0.0.0")) {
            Lab.sleep(50);
        }
        long waited = lab.startedAt.getOrDefault(id + ".0.0.0", lab.millis()) - acceptedAt;
        // A job of tomorrow that was accepted long ago.
        String old = "/taller/dddddddddddd0000";
        boolean answered = lab.ask("GET", a, HOST, old, null, 3_000).status() != 0
                && lab.ask("GET", b, HOST, old, null, 3_000).status() != 0;
        lab.log("the job that is due at once was answered " + now.status() + " and has "
                + (lab.startedAt.containsKey(id + ".0.0.0") ? "begun after " : "not begun after ") + waited + " ms");
        for (Lab.Entry e : List.of(a, b)) {
            String log = lab.logOf(e.name);
            lab.log(e.name + ": alive " + e.process.isAlive() + ", times that its log names an OutOfMemoryError: " + (log.split("OutOfMemoryError", -1).length - 1));
            if (System.getenv("KEEP_LOG") != null) {
                java.nio.file.Files.writeString(Path.of(System.getenv("KEEP_LOG"), e.name + ".log"), log);
            }
        }
        boolean stands = now.status() == 200 && waited > LOST_MILLIS;
        return stands || !answered ? 1 : 0;
    }
}
