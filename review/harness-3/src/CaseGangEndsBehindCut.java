import java.util.List;

/**
 * The two workers of a gang are cut off for 5.5 s. Behind the cut the gang ends {@code done}, and one of the two workers crashes
 * afterwards. The other one tells the end after the cut; one such end stands for all members, so that the next step's turn has
 * come and the job has to be completed.
 */
final class CaseGangEndsBehindCut {

    private static final int WORKERS = 12;
    private static final long CUT_MILLIS = 5_500;
    private static final String HOST = "packs.example";
    private static final String LASTING = "a000000000000001";
    private static final String ID = "5d60038a5ed791db";
    private static final String GANG = ID + ".0.0.";
    private static final String NEXT = ID + ".0.1.0";
    private static final long NOTHING_RUNS_MILLIS = 3_000;
    private static final long CONTACT_MILLIS = 3_000;

    public static void main(String[] args) throws Exception {
        Rig rig = new Rig();
        for (int i = 0; i < WORKERS; i++) {
            rig.new Worker("m" + i, "packs", i % 2 == 0 ? "hall-a" : "hall-b", "r1-" + i / 4, "a");
        }
        rig.configure(1, HOST, List.of("packs"), 4);
        rig.startEntries(2);
        // Ten work items that last leave no room for the gang but on two workers.
        Rig.Answer lasting = rig.ask(
                rig.entries.get(0),
                "POST",
                HOST,
                "/packs/" + LASTING,
                "{\"spec\":\"lasts\",\"steps\":[{\"count\":10,\"cpu\":30000,\"memMb\":20000,\"estimateMs\":500,"
                        + "\"longRunning\":true,\"antiAffinity\":1}]}",
                3_000);
        long until = rig.now() + 10_000;
        while (rig.starts.size() < 10 && rig.now() < until) {
            rig.sleep(50);
        }
        rig.sleep(1_500);
        rig.gangs.put(GANG, 2);
        Rig.Answer accepted = rig.ask(
                rig.entries.get(0),
                "POST",
                HOST,
                "/packs/" + ID,
                "{\"spec\":\"work=3000\",\"steps\":[{\"count\":2,\"cpu\":40000,\"memMb\":20000,\"estimateMs\":3000,"
                        + "\"gang\":true},{\"count\":1,\"cpu\":1000,\"memMb\":1000,\"estimateMs\":3000,\"after\":[0]}]}",
                3_000);
        until = rig.now() + 5_000;
        while (gangWorkers(rig).size() < 2 && rig.now() < until) {
            rig.sleep(20);
        }
        List<Rig.Worker> members = gangWorkers(rig);
        if (lasting.status() != 200 || accepted.status() != 200 || members.size() != 2) {
            rig.finish(2);
        }
        rig.sleep(1_500);
        // A worker that runs something answers about once a second. The cut begins in the middle between two answers, so that
        // the deadline of its runs, 5 s ahead, has passed well before the cut ends.
        until = rig.now() + 1_000;
        while (rig.now() - members.get(0).holdAnsweredAt < 400 && rig.now() < until) {
            rig.sleep(5);
        }
        long healsAt = rig.now() + CUT_MILLIS;
        if (rig.trouble) {
            members.forEach(w -> w.cut(CUT_MILLIS));
        }
        while (rig.ends.stream().noneMatch(e -> e.task().startsWith(GANG) && e.how().equals("done"))) {
            rig.sleep(20);
        }
        rig.sleep(500);
        if (rig.trouble) {
            Rig.Worker lost = members.get(1);
            lost.crash();
            rig.sleep(2_500);
            lost.restart();
        }
        rig.sleep(Math.max(0, healsAt - rig.now()));
        rig.note("the cut has ended");
        // Only what happens when nothing has been wrong for contactMs counts.
        long idleSince = rig.now() + CONTACT_MILLIS;
        long longest = 0;
        String state = "";
        until = rig.now() + 40_000;
        while (rig.now() < until && !state.contains("completed") && !state.contains("failed")) {
            boolean runs = rig.workers.stream().anyMatch(w -> w.runs(NEXT) || w.runs(GANG + 0) || w.runs(GANG + 1));
            idleSince = runs ? rig.now() : idleSince;
            longest = Math.max(longest, rig.now() - idleSince);
            rig.sleep(100);
            state = rig.call(rig.entries.get(1).callers, "GET", HOST, "/packs/" + ID, "", 3_000)
                    .body();
        }
        rig.ask(rig.entries.get(1), "GET", HOST, "/packs/" + ID, "", 3_000);
        rig.note("longest time with nothing of the job running, from " + CONTACT_MILLIS + " ms after the cut: " + longest
                + " ms; allowed: less than " + NOTHING_RUNS_MILLIS + " ms; starts of the next step "
                + rig.starts.stream().filter(s -> s.task().equals(NEXT)).count() + ", state " + state.strip());
        if (rig.entries.stream().anyMatch(e -> !e.alive())) {
            rig.finish(2);
        }
        rig.finish(longest >= NOTHING_RUNS_MILLIS ? 1 : state.contains("completed") ? 0 : 2);
    }

    private static List<Rig.Worker> gangWorkers(Rig rig) {
        return rig.workers.stream()
                .filter(w -> w.runs(GANG + 0) || w.runs(GANG + 1))
                .toList();
    }
}
