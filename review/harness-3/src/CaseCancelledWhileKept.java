import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;

/**
 * For 4.5 s, three in ten of the store's writes are not answered and are carried out late. Two in five of the callers that hand
 * in jobs leave after 900 ms and cancel their job at another entry, which may answer that there is no such job. Later than
 * {@code cancel_ms} after that answer no work item of the job may start.
 */
final class CaseCancelledWhileKept {

    private static final long LOST_MILLIS = 4_500;
    private static final double LOST_SHARE = 0.3;
    private static final long LEAVES_AFTER_MILLIS = 900;
    private static final long CONTACT_MILLIS = 3_000;
    private static final int JOBS = 60;
    private static final String HOST = "rolls.example";

    /** A job that a caller has handed in and cancelled. */
    private record Cancelled(String id, int handedIn, int answer, long at) {}

    public static void main(String[] args) throws Exception {
        Rig rig = new Rig();
        for (int i = 0; i < 8; i++) {
            rig.new Worker("m" + i, "rolls", i % 2 == 0 ? "hall-a" : "hall-b", "r1-" + i / 4, "a");
        }
        rig.configure(1, HOST, List.of("rolls"), 2);
        rig.startEntries(3);
        if (rig.trouble) {
            rig.note("the store begins to lose answers");
            rig.lostShare = LOST_SHARE;
        }
        long endsAt = rig.now() + LOST_MILLIS;
        rig.timer.schedule(
                () -> {
                    rig.lostShare = 0;
                    rig.note("the store answers again");
                },
                LOST_MILLIS,
                java.util.concurrent.TimeUnit.MILLISECONDS);
        // The jobs come in the last 2 s of that time.
        rig.sleep(LOST_MILLIS - 2_000);
        List<Future<Cancelled>> callers = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            String id = String.format("%016x", 0x324025b34c7a4000L + i);
            Rig.Entry first = rig.entries.get(i % 3);
            Rig.Entry second = rig.entries.get((i + 1) % 3);
            boolean leaves = i % 5 == 1 || i % 5 == 3;
            callers.add(rig.threads.submit(() -> call(rig, first, second, id, leaves)));
            rig.sleep(30);
        }
        List<Cancelled> all = new ArrayList<>();
        for (Future<Cancelled> c : callers) {
            all.add(c.get());
        }
        rig.sleep(16_000);
        // No machine and not the store has been disturbed for contactMs from then on.
        long calmAt = Math.max(endsAt, rig.lastLateWriteAt) + CONTACT_MILLIS;
        int broken = 0;
        int noSuchJob = 0;
        for (Cancelled c : all) {
            boolean acknowledged = c.answer / 100 == 2 || c.answer == 410;
            noSuchJob += c.answer == 410 ? 1 : 0;
            long late = rig.starts.stream()
                    .filter(s -> s.task().startsWith(c.id) && acknowledged)
                    .filter(s -> s.at() > c.at + Rig.CANCEL_MILLIS && s.at() > calmAt)
                    .peek(s -> rig.note("started " + (s.at() - c.at) + " ms after the cancelling was answered with "
                            + c.answer + ": " + s.task() + " run " + s.run() + " on " + s.life()))
                    .count();
            broken += late > 0 ? 1 : 0;
        }
        rig.note("jobs " + JOBS + ", of these cancelled " + JOBS * 2 / 5 + ", with 410 " + noSuchJob + ", writes in that time " + rig.writes
                + ", of these lost " + rig.lostWrites + ", calm from " + calmAt / 1000.0
                + " s; jobs of which work items started later than " + Rig.CANCEL_MILLIS
                + " ms after the acknowledged cancelling, by a machine in touch: " + broken);
        boolean ran = !rig.starts.isEmpty() && rig.entries.stream().allMatch(Rig.Entry::alive);
        rig.finish(!ran ? 2 : broken > 0 ? 1 : 0);
    }

    private static Cancelled call(Rig rig, Rig.Entry first, Rig.Entry second, String id, boolean leaves)
            throws Exception {
        long leavesAt = rig.now() + LEAVES_AFTER_MILLIS;
        StringBuilder steps = new StringBuilder();
        for (int s = 0; s < 4; s++) {
            steps.append(s == 0 ? "" : ",")
                    .append("{\"count\":2,\"cpu\":2000,\"memMb\":2000,\"estimateMs\":2100")
                    .append(s == 0 ? "" : ",\"after\":[" + (s - 1) + "]")
                    .append("}");
        }
        String body = "{\"spec\":\"work=2100\",\"steps\":[" + steps + "]}";
        Rig.Answer a = rig.ask(first, "POST", HOST, "/rolls/" + id, body, leaves ? LEAVES_AFTER_MILLIS : 3_000);
        if (!leaves) {
            // After silence or 504 the same id is sent again, to another entry; this caller does not cancel.
            for (int i = 0; i < 4 && a.status() / 100 != 2; i++) {
                a = rig.ask(i % 2 == 0 ? second : first, "POST", HOST, "/rolls/" + id, body, 3_000);
            }
            return new Cancelled(id, a.status(), 0, rig.now());
        }
        rig.sleep(Math.max(0, leavesAt - rig.now()));
        Rig.Answer c = new Rig.Answer(0, "");
        // As long as there is no acknowledgement, the caller cancels again.
        for (int i = 0; i < 4 && c.status() / 100 != 2 && c.status() != 410; i++) {
            c = rig.ask(second, "DELETE", HOST, "/rolls/" + id, "", 3_000);
        }
        return new Cancelled(id, a.status(), c.status(), rig.now());
    }
}
