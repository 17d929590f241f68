import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;

/**
 * One of eight workers is cut off for 5.5 s, and jobs are handed in that can run only there. Meanwhile the entry that owns the
 * service is stopped as planned. Jobs that were accepted more than {@code visible_ms} + 2 s before and have not begun have to
 * be counted as pending.
 */
final class CasePendingAfterHandOver {

    private static final long CUT_MILLIS = 5_500;
    private static final long VISIBLE_MILLIS = 3_000;
    private static final int JOBS = 10;
    private static final String HOST = "clips.example";

    public static void main(String[] args) throws Exception {
        Rig rig = new Rig();
        for (int i = 0; i < 8; i++) {
            rig.new Worker("m" + i, "clips", i % 2 == 0 ? "hall-a" : "hall-b", "r1-" + i / 4, i == 7 ? "b" : "a");
        }
        rig.configure(1, HOST, List.of("clips"), 3);
        rig.startEntries(3);
        Rig.Entry owner = rig.owner("clips");
        if (owner == null) {
            rig.finish(2);
        }
        Rig.Entry other =
                rig.entries.stream().filter(e -> e != owner).findFirst().orElseThrow();
        long cutAt = rig.now();
        if (rig.trouble) {
            rig.workers.get(7).cut(CUT_MILLIS);
        }
        List<Future<Rig.Answer>> answers = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            String id = String.format("%016x", 0x632d231c2fb50000L + i);
            answers.add(rig.threads.submit(() -> rig.ask(
                    other,
                    "POST",
                    HOST,
                    "/clips/" + id,
                    "{\"spec\":\"work=800\",\"steps\":[{\"count\":2,\"cpu\":1000,\"memMb\":1000,\"estimateMs\":800,"
                            + "\"constraints\":\"b\"}]}",
                    3_000)));
        }
        for (Future<Rig.Answer> a : answers) {
            if (a.get().status() != 200) {
                rig.finish(2);
            }
        }
        long acceptedAt = rig.now();
        rig.sleep(1_000);
        if (rig.trouble) {
            owner.signal("TERM");
        }
        boolean broken = false;
        int asked = 0;
        long askUntil = cutAt + CUT_MILLIS - 20;
        rig.sleep(Math.max(0, acceptedAt + VISIBLE_MILLIS + 2_000 + 20 - rig.now()));
        while (rig.now() < askUntil || asked == 0) {
            long begun = rig.starts.stream()
                    .map(s -> s.task().substring(0, 16))
                    .distinct()
                    .count();
            Rig.Answer a = rig.ask(other, "GET", HOST, "/clips/", "", 3_000);
            long waiting = JOBS - begun;
            asked++;
            JsonNode pending = Rig.JSON.readTree(a.body()).path("pending");
            boolean tooFew = a.status() == 200 && pending.asLong() * 2 < waiting;
            rig.note("accepted over " + (VISIBLE_MILLIS + 2_000) + " ms before and not begun: " + waiting
                    + ", told as pending: " + pending);
            broken |= tooFew;
            rig.sleep(50);
        }
        rig.sleep(8_000);
        rig.note("asked " + asked + " times; owner before " + owner.name + ", now "
                + (rig.owner("clips") == null ? "none" : rig.owner("clips").name) + "; jobs begun in the end "
                + rig.starts.stream().map(s -> s.task().substring(0, 16)).distinct().count());
        rig.finish(broken ? 1 : 0);
    }
}
