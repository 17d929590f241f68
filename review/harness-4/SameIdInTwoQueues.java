import java.nio.file.Path;
import java.util.List;

/** Two requesters of two queues of one service choose the same id for their jobs. Both jobs are accepted. */
final class SameIdInTwoQueues {

    private static final String HOST = "demo.example";
    private static final String ID = "5c0e7a21d94b3605";
    private static final String OTHER_ID = "5c0e7a21d94b36ff";
    private static final String BODY = "{\"spec\":\"millis=1000\",\"steps\":[{\"count\":1,\"cpu\":1000,\"memMb\":256}]}";

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
        StringBuilder routes = new StringBuilder();
        for (String q : List.of("peek", "roll")) {
            routes.append(routes.isEmpty() ? "" : ",")
                    .append("{\"name\":\"" + q + "\",\"host\":\"demo.example\",\"pathPrefix\":\"/" + q + "/\",\"service\":"
                            + "\"taller\",\"priority\":0,\"maxAttempts\":3,\"extension\":1.5,\"sloMs\":600}");
        }
        lab.put(
                platform,
                "op/config",
                "{\"version\":1,\"routes\":[" + routes + "],\"services\":[{\"name\":\"taller\",\"rejectsOverload\":true}]}");
        Lab.Entry a = lab.new Entry("entry-a", "north", platform, platform).start();
        Lab.Entry b = lab.new Entry("entry-b", "south", platform, platform).start();
        Lab.sleep(6_000);
        String first = "/peek/" + ID;
        String second = "/roll/" + (lab.trouble ? ID : OTHER_ID);
        if (lab.ask("POST", a, HOST, first, BODY, 3_000).status() != 200) {
            return 2;
        }
        Lab.Answer accepted = lab.ask("POST", b, HOST, second, BODY, 3_000);
        if (accepted.status() != 200) {
            lab.log("the second job was not accepted, so nothing is owed for it");
            return 0;
        }
        long acceptedAt = lab.millis();
        String state = "";
        while (lab.millis() < acceptedAt + 60_000 && !state.equals("completed")) {
            state = lab.ask("GET", b, HOST, second, null, 3_000).body().path("state").asText();
            Lab.sleep(2_000);
        }
        lab.ask("GET", a, HOST, first, null, 3_000);
        lab.ask("GET", a, HOST, "/roll/", null, 3_000);
        lab.log("the second job is " + state + " " + (lab.millis() - acceptedAt) + " ms after it was accepted; 8 workers are free");
        return state.equals("completed") ? 0 : 1;
    }
}
