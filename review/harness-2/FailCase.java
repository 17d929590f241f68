import java.util.List;

/** LOST: a lasting work item fails from time to time, once on each worker of its service. */
public final class FailCase {

    private static final String JOB = "7e2a9c43fb6d581a";
    private static final int WORKERS = 4;
    private static final long RUN_MILLIS = 6_000;
    /** From 6 s after the last run, for 3 s without a break. */
    private static final long BOUND_MILLIS = 9_000;

    private static final long ENOUGH_MILLIS = 14_000;

    public static void main(String[] args) throws Exception {
        Harness.run(args, FailCase::holds);
    }

    private static boolean holds(Harness h) throws Exception {
        h.startPlatform();
        for (int i = 0; i < WORKERS; i++) {
            h.startWorker("w" + i, "feeds", i % 2 == 0 ? "north" : "south", "r" + i % 2);
        }
        h.put("op/config", Json.object("version", 1, "routes", List.of(Harness.route("feeds", "feeds", 4)), "services",
                List.of(Json.object("name", "feeds", "rejectsOverload", true))));
        String north = h.startEntry("entry-north", "north", "\"north\", \"south\"", h.platform);
        String south = h.startEntry("entry-south", "south", "\"north\", \"south\"", h.platform);
        h.awaitServing(south, "/feeds/");

        String spec = h.trouble ? "lasts failruns=" + WORKERS + " failmillis=" + RUN_MILLIS : "lasts";
        h.submit(north, "/feeds/" + JOB, "{\"spec\":\"" + spec
                + "\",\"steps\":[{\"count\":1,\"cpu\":1000,\"memMb\":256,\"estimateMs\":500,\"longRunning\":true}]}");

        // The runs that fail take 24 s.
        long watchUntil = h.millis() + 65_000;
        long idleSince = h.millis();
        long longestIdle = 0;
        while (h.millis() < watchUntil && longestIdle < ENOUGH_MILLIS) {
            Thread.sleep(100);
            if (h.running(JOB) != null) {
                idleSince = -1;
            } else {
                idleSince = idleSince < 0 ? h.millis() : idleSince;
                longestIdle = Math.max(longestIdle, h.millis() - idleSince);
            }
        }
        Harness.Answer shown = h.request("GET", south, "/feeds/" + JOB, "");
        h.recordEvents(JOB);
        for (String entry : List.of("entry-north", "entry-south")) {
            h.recordLog(entry, "kind=(TASK_PLACED|RUN_ENDED|TASK_GIVEN_UP|JOB_ENDED|WORKER_AVOIDED)");
        }
        h.note("the longest time seen without a run of the lasting work item was " + longestIdle
                + " ms; nothing else runs on the " + WORKERS + " workers");
        boolean broken = longestIdle > BOUND_MILLIS && !shown.state().equals("cancelled");
        if (broken) {
            h.note("BROKEN: from 6 s after its last run, the lasting work item did not run for "
                    + (longestIdle - 6_000) + " ms");
        }
        return !broken;
    }
}
