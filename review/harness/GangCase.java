import java.util.ArrayList;
import java.util.List;

/**
 * A gang of two runs on two workers. Both are cut off from the entries for 5.5 s and run on; the gang ends done
 * meanwhile, and one of the two workers crashes behind the cut and is back 4.5 s later. With TROUBLE=0 there is neither.
 * Judged is whether the job, once there is room for it twice over, is shown as completed or has something running.
 */
final class GangCase {

    private static final String CONFIG =
            """
            {"version":1,"routes":[
            {"name":"clips","host":"127.0.0.1","pathPrefix":"/clips/","service":"clip-svc","priority":0,"maxAttempts":3,"extension":1.5,"sloMs":600}],
            "services":[{"name":"clip-svc","rejectsOverload":true}]}""";
    private static final String OTHER = "/clips/00000000000000aa";
    private static final String GANG = "/clips/5c0e7a21d94b36f8";
    private static final long CUT_MILLIS = 5_500;
    private static final long CRASH_MILLIS = 4_500;
    private static final long NOTHING_RUNNING_MILLIS = 3_000;

    private GangCase() {}

    public static void main(String[] args) {
        Harness.run(args, GangCase::held);
    }

    private static String job(String spec, boolean gang, int millis) {
        return "{\"spec\":\"" + spec + "\",\"steps\":[{\"count\":2,\"cpu\":3000,\"memMb\":256,\"estimateMs\":" + millis
                + (gang ? ",\"gang\":true" : "") + ",\"constraints\":\"r2\"}]}";
    }

    private static boolean held(Harness h) throws Exception {
        h.startPlatform();
        for (int i = 1; i <= 8; i++) {
            h.startWorker("north-" + i, "clip-svc", "north", i <= 4 ? "r1" : "r3");
        }
        List<Relay> relays = new ArrayList<>();
        List<String> south = List.of("south-1", "south-2", "south-3", "south-4");
        for (String name : south) {
            relays.add(h.startWorkerBehindRelay(name, "clip-svc", "south", "r2"));
        }
        h.putAsOperator("op/config", CONFIG);
        h.startEntry("entry-north-1", "north", "\"north\", \"south\"");
        h.startEntry("entry-north-2", "north", "\"north\", \"south\"");
        h.startEntry("entry-south-1", "south", "\"north\", \"south\"");
        h.awaitOwners("clip-svc");
        Harness.sleep(4_000);

        // Another job takes two of the four workers of the rack for 20 s.
        if (!h.ask(h.entries.get(0), "POST", OTHER, job("cpu=3000 millis=20000", false, 20_000)).isOk()) {
            throw new Harness.NotRun("the other job was not taken");
        }
        Harness.sleep(1_000);
        if (!h.ask(h.entries.get(1), "POST", GANG, job("gang=2 cpu=3000 millis=6000", true, 6_000)).isOk()) {
            throw new Harness.NotRun("the gang's job was not taken");
        }
        Harness.sleep(4_000);
        List<String> members = h.workerEvents().stream()
                .filter(e -> e.kind().equals("start") && e.task().startsWith(GANG.substring(7)))
                .map(Harness.WorkerEvent::machine)
                .toList();
        if (members.size() != 2 || !south.containsAll(members)) {
            throw new Harness.NotRun("the gang runs on " + members);
        }
        if (h.trouble) {
            trouble(h, members, members.stream().map(m -> relays.get(south.indexOf(m))).toList());
        }
        // From the end of the other job on, the rack has room for the gang twice over.
        while (!h.ask(h.entries.get(0), "GET", OTHER, "").body().contains("completed")) {
            Harness.sleep(2_000);
        }
        h.record("the other job is over: the rack's four workers have room for the gang twice over");
        long freeSince = h.now();
        String state = "";
        while (h.now() < freeSince + 30_000 && !state.contains("completed")) {
            Harness.sleep(3_000);
            state = h.ask(h.entries.get(h.trouble ? 1 : 0), "GET", GANG, "").body();
        }
        long lastEvent = h.workerEvents().stream()
                .filter(e -> e.task().startsWith(GANG.substring(7)))
                .mapToLong(Harness.WorkerEvent::at)
                .max()
                .orElse(0);
        long nothingRan = h.now() - Math.max(freeSince, lastEvent);
        h.record("the gang's job is shown as " + state + "; for " + nothingRan + " ms it has had nothing running");
        return state.contains("completed") || nothingRan <= NOTHING_RUNNING_MILLIS;
    }

    private static void trouble(Harness h, List<String> members, List<Relay> relays) throws Exception {
        h.record("the workers " + members + " are cut off from all entries");
        for (Relay r : relays) {
            r.cut();
        }
        long healAt = h.now() + CUT_MILLIS;
        Harness.sleep(3_300);
        String crashed = members.get(1);
        h.record("worker " + crashed + " crashes");
        h.kill(h.workers.stream().filter(w -> w.name.equals(crashed)).findFirst().orElseThrow());
        long backAt = h.now() + CRASH_MILLIS;
        Harness.sleep(healAt - h.now());
        for (Relay r : relays) {
            r.heal();
        }
        h.record("the cut has ended");
        Harness.sleep(backAt - h.now());
        h.startWorker(crashed, "clip-svc", "south", "r2");
        h.record("worker " + crashed + " is back");
    }
}
