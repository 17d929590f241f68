import java.util.List;

/**
 * The worker that runs a work item crashes three times, each time another one, one of eight at a time. No run of the item ends
 * {@code failed}, so the job must not be shown as failed.
 */
final class CaseWorkerCrashesCounted {

    private static final int CRASHES = 3;
    private static final long CRASH_AFTER_MILLIS = 5_000;
    private static final long DOWN_MILLIS = 4_500;
    private static final String HOST = "rolls.example";
    private static final String ID = "7a3f90c2d1e8b645";
    private static final String TASK = ID + ".0.0.0";

    public static void main(String[] args) throws Exception {
        Rig rig = new Rig();
        for (int i = 0; i < 8; i++) {
            rig.new Worker("m" + i, "rolls", i % 2 == 0 ? "hall-a" : "hall-b", "r1-" + i / 4, "a");
        }
        rig.configure(1, HOST, List.of("rolls"), 4);
        rig.startEntries(2);
        Rig.Answer accepted = rig.ask(
                rig.entries.get(0),
                "POST",
                HOST,
                "/rolls/" + ID,
                "{\"spec\":\"work=30000\",\"steps\":[{\"count\":1,\"cpu\":9900,\"memMb\":20000,\"estimateMs\":30000,"
                        + "\"checkpointing\":true}]}",
                3_000);
        if (accepted.status() != 200) {
            rig.finish(2);
        }
        int crashes = 0;
        String state = "";
        long until = rig.now() + 80_000;
        while (rig.now() < until && !state.contains("failed") && !state.contains("completed")) {
            rig.sleep(500);
            Rig.Worker w =
                    rig.workers.stream().filter(o -> o.runs(TASK)).findFirst().orElse(null);
            Rig.Start last = rig.starts.isEmpty() ? null : rig.starts.get(rig.starts.size() - 1);
            boolean isDue = w != null && last != null && rig.now() - last.at() >= CRASH_AFTER_MILLIS;
            if (rig.trouble && crashes < CRASHES && isDue) {
                crashes++;
                w.crash();
                rig.timer.schedule(
                        () -> {
                            w.restart();
                            return null;
                        },
                        DOWN_MILLIS,
                        java.util.concurrent.TimeUnit.MILLISECONDS);
            }
            state = rig.call(rig.entries.get(1).callers, "GET", HOST, "/rolls/" + ID, "", 3_000)
                    .body();
        }
        rig.ask(rig.entries.get(1), "GET", HOST, "/rolls/" + ID, "", 3_000);
        long failed = rig.ends.stream().filter(e -> e.how().equals("failed")).count();
        rig.note("crashes of workers " + crashes + ", starts " + rig.starts.size() + ", runs that ended failed " + failed
                + ", maxAttempts 4, state " + state.strip());
        if (rig.starts.isEmpty() || rig.entries.stream().anyMatch(e -> !e.alive())) {
            rig.finish(2);
        }
        rig.finish(state.contains("failed") && failed == 0 ? 1 : state.contains("completed") ? 0 : 2);
    }
}
