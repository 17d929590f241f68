import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * A worker leaves one start unanswered, carries out its repetition, and crashes. It is back under its id after 4.5 s, is cut
 * off right then, and carries out the first start as its first order. By then the work item runs elsewhere.
 */
final class CaseLateStartAfterRestart {

    private static final long DOWN_MILLIS = 4_500;
    private static final long CUT_MILLIS = 5_500;
    private static final long LATE_MILLIS = 8_000;
    private static final String HOST = "rolls.example";
    private static final String ID = "64272925b76774cd";
    private static final String TASK = ID + ".0.0.0";

    public static void main(String[] args) throws Exception {
        Rig rig = new Rig();
        for (int i = 0; i < 8; i++) {
            rig.new Worker("m" + i, "rolls", i % 2 == 0 ? "hall-a" : "hall-b", "r1-" + i / 4, "a");
        }
        rig.configure(1, HOST, List.of("rolls"), 4);
        rig.startEntries(2);
        if (rig.trouble) {
            rig.workers.forEach(w -> w.lateTask = TASK);
        }
        Set<String> twice = new TreeSet<>();
        rig.timer.scheduleAtFixedRate(
                () -> {
                    List<Rig.Worker> running =
                            rig.workers.stream().filter(w -> w.up && w.runs(TASK)).toList();
                    String at = running.stream().map(w -> w.life).collect(Collectors.joining(" and "));
                    if (running.size() > 1 && twice.add(at)) {
                        rig.note(TASK + " runs on " + at + " at once, both up");
                    }
                },
                5,
                5,
                java.util.concurrent.TimeUnit.MILLISECONDS);
        Rig.Answer accepted = rig.ask(
                rig.entries.get(0),
                "POST",
                HOST,
                "/rolls/" + ID,
                "{\"spec\":\"work=20000\",\"steps\":[{\"count\":1,\"cpu\":9900,\"memMb\":20000,\"estimateMs\":20000}]}",
                3_000);
        if (accepted.status() != 200) {
            rig.finish(2);
        }
        long until = rig.now() + 5_000;
        while (rig.starts.isEmpty() && rig.now() < until) {
            rig.sleep(5);
        }
        if (rig.starts.isEmpty()) {
            rig.finish(2);
        }
        rig.workers.forEach(w -> w.lateTask = "");
        if (rig.trouble) {
            Rig.Worker w = rig.workers.stream()
                    .filter(Rig.Worker::hasLateStart)
                    .findFirst()
                    .orElseThrow();
            long sentAt = rig.now();
            rig.sleep(1_000);
            w.crash();
            rig.sleep(DOWN_MILLIS);
            w.cut(CUT_MILLIS);
            w.restartUnderItsId();
            rig.sleep(Math.max(0, sentAt + LATE_MILLIS - rig.now()));
            w.carryOutLateStart();
        }
        rig.sleep(12_000);
        until = rig.now() + 60_000;
        String state = "";
        while (rig.now() < until && !state.contains("completed")) {
            state = rig.call(rig.entries.get(1).callers, "GET", HOST, "/rolls/" + ID, "", 3_000)
                    .body();
            rig.sleep(500);
        }
        rig.note("starts " + rig.starts.size() + ", twice at once: " + twice + ", state " + state.strip());
        if (rig.entries.stream().anyMatch(e -> !e.alive())) {
            rig.finish(2);
        }
        rig.finish(twice.isEmpty() ? 0 : 1);
    }
}
