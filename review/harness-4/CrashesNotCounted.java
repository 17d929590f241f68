import java.nio.file.Path;
import java.util.List;

/** A work item crashes each worker that starts it. While the first of them is down, the list of machines is not served. */
final class CrashesNotCounted {

    // cloud_down, silent: 5 s.
    private static final long DOWN_MILLIS = 5_000;
    private static final String HOST = "demo.example";
    private static final String ID = "5c0e7a21d94b3606";
    private static final String TASK = ID + ".0.0.0";
    private static final String PATH = "/taller/" + ID;
    private static final String BODY =
            "{\"spec\":\"millis=3000\",\"steps\":[{\"count\":1,\"cpu\":4000,\"memMb\":256,\"estimateMs\":3000}]}";

    public static void main(String[] args) throws Exception {
        int result = 2;
        try (Lab lab = new Lab(Path.of(args[0]), Path.of(args[1]))) {
            result = run(lab);
            lab.log("result " + result);
        }
        System.exit(result);
    }

    private static volatile long downFrom = Long.MAX_VALUE / 2;

    private static int run(Lab lab) throws Exception {
        String platform = lab.platform();
        for (int i = 0; i < 12; i++) {
            lab.new Worker("t" + i, "taller", i < 6 ? "north" : "south", "r" + i / 4, "usual", platform, 16_000);
        }
        lab.put(
                platform,
                "op/config",
                "{\"version\":1,\"routes\":[{\"name\":\"taller\",\"host\":\"demo.example\",\"pathPrefix\":\"/taller/\","
                        + "\"service\":\"taller\",\"priority\":0,\"maxAttempts\":3,\"extension\":1.5,\"sloMs\":600}],"
                        + "\"services\":[{\"name\":\"taller\",\"rejectsOverload\":true}]}");
        String instances = lab.serve(x -> {
            byte[] body = x.getRequestBody().readAllBytes();
            boolean down = lab.trouble && lab.millis() >= downFrom && lab.millis() < downFrom + DOWN_MILLIS;
            if (!down) {
                Lab.forward(x, body, platform);
            }
        });
        Lab.Entry a = lab.new Entry("entry-a", "north", platform, instances).start();
        Lab.Entry b = lab.new Entry("entry-b", "south", platform, instances).start();
        Lab.sleep(6_000);
        lab.crashing.add(ID + ".0.0");
        lab.answeredRuns = 1;
        lab.crashMillis = 6_500;
        if (lab.ask("POST", a, HOST, PATH, BODY, 3_000).status() != 200) {
            return 2;
        }
        for (int i = 0; i < 200 && !lab.starts.containsKey(TASK); i++) {
            Lab.sleep(10);
        }
        downFrom = lab.millis() + 1_500;
        lab.log(lab.trouble ? "in 1.5 s the list of machines is not served for " + DOWN_MILLIS + " ms" : "no disruption of the list");
        long until = lab.millis() + 85_000;
        String state = "";
        while (lab.millis() < until && !state.equals("failed")) {
            Lab.sleep(1_000);
            state = lab.ask("GET", b, HOST, PATH, null, 3_000).body().path("state").asText();
        }
        int starts = lab.starts.getOrDefault(TASK, 0);
        lab.log("state " + state + "; started " + starts + " times, each time its worker crashed");
        if (System.getenv("KEEP_LOG") != null) {
            for (String n : List.of("entry-a", "entry-b")) {
                java.nio.file.Files.writeString(Path.of(System.getenv("KEEP_LOG"), n + ".log"), lab.logOf(n));
            }
        }
        return starts >= 6 ? 1 : 0;
    }
}
