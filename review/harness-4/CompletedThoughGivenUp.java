import java.nio.file.Path;

/**
 * A job has a work item that lasts and crashes each worker that starts it, and a step that ends by itself. The lasting
 * work item is given up; afterwards the other step ends done.
 */
final class CompletedThoughGivenUp {

    private static final String HOST = "demo.example";
    private static final String ID = "5c0e7a21d94b3603";
    private static final String PATH = "/taller/" + ID;
    private static final String BODY = "{\"spec\":\"millis=30000\",\"steps\":["
            + "{\"count\":1,\"cpu\":4000,\"memMb\":256,\"longRunning\":true},"
            + "{\"count\":1,\"cpu\":9000,\"memMb\":256,\"estimateMs\":30000}]}";

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
            lab.new Worker("t" + i, "taller", i < 4 ? "north" : "south", "r" + i / 2, "usual", platform, 16_000);
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
        lab.lasting.add(ID + ".0.0");
        if (lab.trouble) {
            lab.crashing.add(ID + ".0.0");
        }
        if (lab.ask("POST", a, HOST, PATH, BODY, 3_000).status() != 200) {
            return 2;
        }
        long handedInAt = lab.millis();
        String state = "";
        boolean seen = false;
        while (lab.millis() < handedInAt + 100_000 && !state.equals("completed") && !state.equals("failed")) {
            state = lab.ask("GET", b, HOST, PATH, null, 3_000).body().path("state").asText();
            Lab.sleep(1_000);
        }
        boolean running = lab.workers.stream().anyMatch(w -> w.isRunning(ID + ".0.0.0"));
        lab.log("shown as " + state + "; the lasting work item " + (running ? "runs" : "does not run") + " and has never ended done");
        if (System.getenv("KEEP_LOG") != null) {
            for (String n : java.util.List.of("entry-a", "entry-b")) {
                java.nio.file.Files.writeString(Path.of(System.getenv("KEEP_LOG"), n + ".log"), lab.logOf(n));
            }
        }
        return state.equals("completed") ? 1 : 0;
    }
}
