import java.util.List;

/**
 * A new version of the configuration gives a queue {@code advice} while a job of it runs. When a work item that lasts then
 * fails by its own fault, it has to be started again, with a ticket, as the queue's starts have to carry one now.
 */
final class CaseAdviceComesLater {

    private static final long FAILS_AFTER_MILLIS = 10_000;
    private static final long MOST_WITHOUT_RUN_MILLIS = 6_000 + 3_000;
    private static final String HOST = "feeds.example";
    private static final String OLD = "d78661c7307c8887";
    private static final String NEW = "d78661c7307c8888";

    public static void main(String[] args) throws Exception {
        Rig rig = new Rig();
        for (int i = 0; i < 8; i++) {
            rig.new Worker("m" + i, "feeds", i % 2 == 0 ? "hall-a" : "hall-b", "r1-" + i / 4, "a");
        }
        rig.configure(1, HOST, List.of("feeds"), 4);
        rig.startEntries(2);
        rig.failures = (task, run) -> run == 1 ? FAILS_AFTER_MILLIS : -1;
        String body = "{\"spec\":\"lasts\",\"steps\":[{\"count\":1,\"cpu\":5300,\"memMb\":25000,\"estimateMs\":500,"
                + "\"longRunning\":true}]}";
        if (rig.ask(rig.entries.get(0), "POST", HOST, "/feeds/" + OLD, body, 3_000).status() != 200) {
            rig.finish(2);
        }
        rig.sleep(3_000);
        if (rig.trouble) {
            rig.configure(2, HOST, List.of("feeds"), 4, true);
            rig.ticketed.add(OLD);
            rig.ticketed.add(NEW);
        }
        rig.sleep(3_000);
        // A job that is handed in under the new version is there for comparison.
        if (rig.ask(rig.entries.get(0), "POST", HOST, "/feeds/" + NEW, body, 3_000).status() != 200) {
            rig.finish(2);
        }
        long until = rig.now() + 50_000;
        long[] lastAt = {rig.now(), rig.now()};
        long[] longest = new long[2];
        while (rig.now() < until) {
            for (int i = 0; i < 2; i++) {
                String task = (i == 0 ? OLD : NEW) + ".0.0.0";
                boolean runs = rig.workers.stream().anyMatch(w -> w.runs(task));
                lastAt[i] = runs ? rig.now() : lastAt[i];
                longest[i] = Math.max(longest[i], rig.now() - lastAt[i]);
            }
            rig.sleep(20);
        }
        rig.ask(rig.entries.get(1), "GET", HOST, "/feeds/" + OLD, "", 3_000);
        long failed = rig.ends.stream().filter(e -> e.how().equals("failed")).count();
        rig.note("ended failed " + failed + "; longest time without a run: accepted before the new version " + longest[0]
                + " ms, accepted under it " + longest[1] + " ms; allowed: less than " + MOST_WITHOUT_RUN_MILLIS
                + " ms, while eight idle workers have room");
        if (failed == 0 || rig.entries.stream().anyMatch(e -> !e.alive())) {
            rig.finish(2);
        }
        rig.finish(longest[0] >= MOST_WITHOUT_RUN_MILLIS ? 1 : 0);
    }
}
