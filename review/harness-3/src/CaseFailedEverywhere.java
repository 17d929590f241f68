import java.util.List;

/**
 * A work item that lasts fails now and then by its own fault, each time on another worker of its pool. Once it has failed on
 * each of them it has to be started again as before: while nothing else is wrong, 6 s after its last run it may be without one
 * for less than 3 s.
 */
final class CaseFailedEverywhere {

    private static final int WORKERS = 8;
    private static final int FAILURES = 8;
    private static final long FAILS_AFTER_MILLIS = 3_500;
    private static final long MOST_WITHOUT_RUN_MILLIS = 6_000 + 3_000;
    private static final String ID = "5c0e7a21d94b36f8";
    private static final String TASK = ID + ".0.0.0";

    public static void main(String[] args) throws Exception {
        Rig rig = new Rig();
        for (int i = 0; i < WORKERS; i++) {
            rig.new Worker("m" + i, "feeds", i % 2 == 0 ? "hall-a" : "hall-b", "r1-" + i / 4, "a");
        }
        rig.configure(1, "feeds.example", List.of("feeds"), 4);
        rig.startEntries(2);
        rig.failures = (task, run) -> rig.trouble && run <= FAILURES ? FAILS_AFTER_MILLIS : -1;
        Rig.Answer a = rig.ask(
                rig.entries.get(0),
                "POST",
                "feeds.example",
                "/feeds/" + ID,
                "{\"spec\":\"lasts\",\"steps\":[{\"count\":1,\"cpu\":5300,\"memMb\":25000,\"estimateMs\":500,"
                        + "\"longRunning\":true}]}",
                3_000);
        if (a.status() != 200) {
            rig.finish(2);
        }
        long acceptedAt = rig.now();
        long lastAt = acceptedAt;
        long longest = 0;
        long runningSince = -1;
        while (rig.now() - acceptedAt < 95_000) {
            boolean runs = rig.workers.stream().anyMatch(w -> w.runs(TASK));
            long now = rig.now();
            if (runs) {
                lastAt = now;
                runningSince = runningSince < 0 ? now : runningSince;
            } else {
                runningSince = -1;
                longest = Math.max(longest, now - lastAt);
            }
            if (runningSince >= 0 && now - runningSince > (rig.trouble ? 8_000 : 40_000)) {
                break;
            }
            rig.sleep(20);
        }
        longest = Math.max(longest, rig.now() - lastAt);
        rig.ask(rig.entries.get(1), "GET", "feeds.example", "/feeds/" + ID, "", 3_000);
        long failed = rig.ends.stream().filter(e -> e.how().equals("failed")).count();
        boolean allUp = rig.workers.stream().allMatch(w -> w.up)
                && rig.entries.stream().allMatch(Rig.Entry::alive);
        rig.note("starts " + rig.starts.size() + ", ended failed " + failed + ", on machines "
                + rig.starts.stream().map(Rig.Start::machine).distinct().count() + "; all entries and workers up: "
                + allUp);
        rig.note("longest time without a run: " + longest + " ms; allowed: less than " + MOST_WITHOUT_RUN_MILLIS
                + " ms, while " + WORKERS + " idle workers have room");
        if (rig.starts.isEmpty() || !allUp) {
            rig.finish(2);
        }
        rig.finish(longest >= MOST_WITHOUT_RUN_MILLIS ? 1 : 0);
    }
}
