import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A gang runs on two workers that are cut off from the entries, and ends done behind the cut. One of the two machines
 * is lost for good behind it, so that only one member's end is ever listed.
 */
final class HalfDoneGang {

    // node_cut with how = "servers": share 0.17 of the workers, 5.5 s. srv_crash with how = "gone": share 0.14.
    private static final long CUT_MILLIS = 5_500;
    // The 3 s of the rule LOST, after 4 s of calm.
    private static final long LOST_MILLIS = 7_000;
    private static final String HOST = "demo.example";
    private static final String ID = "5c0e7a21d94b3602";
    private static final String PATH = "/taller/" + ID;
    private static final String BODY = "{\"spec\":\"millis=5000\",\"steps\":["
            + "{\"count\":2,\"cpu\":9000,\"memMb\":256,\"estimateMs\":5000,\"gang\":true,\"antiAffinity\":1}]}";
    private static final String OTHER = "5c0e7a21d94b36ff";
    private static final String OTHER_BODY = "{\"spec\":\"millis=15000\",\"steps\":["
            + "{\"count\":10,\"cpu\":9000,\"memMb\":256,\"estimateMs\":15000,\"antiAffinity\":1}]}";

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
        List<Lab.Worker> taller = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            taller.add(lab.new Worker("t" + i, "taller", i < 6 ? "north" : "south", "r" + i / 2, "usual", platform, 16_000));
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
        lab.gangSizes.put(ID + ".0.0", 2);
        if (lab.ask("POST", a, HOST, PATH, BODY, 3_000).status() != 200) {
            return 2;
        }
        for (int i = 0; i < 200 && running(lab).size() < 2; i++) {
            Lab.sleep(20);
        }
        List<Lab.Worker> members = running(lab);
        if (members.size() != 2) {
            lab.log("the gang does not run on two workers");
            return 2;
        }
        // Fills the other ten workers until some time after the cut.
        if (lab.ask("POST", b, HOST, "/taller/" + OTHER, OTHER_BODY, 3_000).status() != 200) {
            return 2;
        }
        Lab.sleep(2_000);
        if (lab.trouble) {
            lab.log("2 of 12 workers are cut off from the entries and run on");
            members.forEach(w -> w.cut = true);
        }
        long cutAt = lab.millis();
        Lab.sleep(4_000);
        if (lab.trouble) {
            members.get(1).crash();
        }
        lab.sleepUntil(cutAt + CUT_MILLIS);
        members.get(0).cut = false;
        lab.log("the cut has healed");
        long healedAt = lab.millis();
        String state = "";
        String other = "";
        long idleSince = healedAt;
        while (lab.millis() < healedAt + 45_000 && !state.equals("completed")) {
            state = lab.ask("GET", b, HOST, PATH, null, 3_000).body().path("state").asText();
            boolean othersRun = !other.equals("completed");
            if (othersRun) {
                other = lab.ask("GET", a, HOST, "/taller/" + OTHER, null, 3_000).body().path("state").asText();
            }
            if (!running(lab).isEmpty() || othersRun) {
                idleSince = lab.millis();
            }
            Lab.sleep(500);
        }
        long idle = lab.millis() - idleSince;
        lab.log("state " + state + "; since the other job has ended, 11 workers have been free and no task of the job has run for "
                + idle + " ms");
        if (System.getenv("KEEP_LOG") != null) {
            for (String n : List.of("entry-a", "entry-b")) {
                java.nio.file.Files.writeString(Path.of(System.getenv("KEEP_LOG"), n + ".log"), lab.logOf(n));
            }
        }
        return state.equals("completed") || idle <= LOST_MILLIS ? 0 : 1;
    }

    private static List<Lab.Worker> running(Lab lab) {
        return lab.workers.stream().filter(w -> w.running().stream().anyMatch(t -> t.startsWith(ID))).toList();
    }
}
