/**
 * A tenant may have 9,000 thousandths of a core running and has a lasting work item of 1,500 in each of two services. While
 * another of its jobs takes 3,500 more in a third service, it hands in one job of 3,500 for each service; then the other job ends. With
 * TROUBLE=0 only the first of the two jobs is handed in. Judged is whether an accepted job has nothing running for 3 s.
 */
final class QuotaCase {

    private static final String KEY = "radio-key";
    private static final String CONFIG =
            """
            {"version":1,"routes":[
            {"name":"clips","host":"127.0.0.1","pathPrefix":"/clips/","service":"clip-svc","priority":0,"maxAttempts":3,"extension":1.5,"sloMs":600,"public":false},
            {"name":"archive","host":"127.0.0.1","pathPrefix":"/archive/","service":"archive-svc","priority":0,"maxAttempts":3,"extension":1.5,"sloMs":600,"public":false},
            {"name":"promos","host":"127.0.0.1","pathPrefix":"/promos/","service":"promo-svc","priority":0,"maxAttempts":3,"extension":1.5,"sloMs":600,"public":false}],
            "services":[{"name":"clip-svc","rejectsOverload":true},{"name":"archive-svc","rejectsOverload":true},{"name":"promo-svc","rejectsOverload":true}],
            "tenants":[{"name":"radio","keys":["radio-key"],"weight":1,"maximum":{"cpu":9000,"memMb":0,"gpu":0}},
            {"name":"others","keys":["others-key"],"weight":1,"maximum":{"cpu":0,"memMb":0,"gpu":0}}]}""";
    private static final String BUSY = "0000000000000003";
    private static final String CLIP = "000000000000000a";
    private static final String ARCHIVE = "000000000000000b";
    private static final long NOTHING_RUNNING_MILLIS = 3_000;

    private QuotaCase() {}

    public static void main(String[] args) {
        Harness.run(args, QuotaCase::held);
    }

    private static void submit(Harness h, int entry, String path, int cpu, int millis) throws Exception {
        String body = "{\"spec\":\"cpu=" + cpu + (millis == 0 ? " lasts" : " millis=" + millis) + "\",\"steps\":[{\"count\":1,"
                + "\"cpu\":" + cpu + ",\"memMb\":256,\"estimateMs\":" + Math.max(700, millis)
                + (millis == 0 ? ",\"longRunning\":true" : "") + "}]}";
        if (!h.ask(h.entries.get(entry), "POST", path, body).isOk()) {
            throw new Harness.NotRun(path + " was not taken");
        }
    }

    /** Another tenant, without a maximum, hands in a short job to each service about twice a second. */
    private static void others(Harness h) {
        for (int i = 0; ; i++) {
            for (String path : new String[] {"/clips/", "/archive/"}) {
                h.ask(h.entries.get(i % 2), "POST", path + String.format("%016x", 0xf000 + i), "{\"spec\":\"cpu=500 millis=200\","
                        + "\"steps\":[{\"count\":1,\"cpu\":500,\"memMb\":64,\"estimateMs\":200}]}", "others-key");
            }
            Harness.sleep(400);
        }
    }

    /** Returns when the first work item of a job began, or ended if {@code end}; 0 if it did not. */
    private static long at(Harness h, String id, boolean end) throws Exception {
        return h.workerEvents().stream()
                .filter(e -> e.task().startsWith(id) && e.kind().equals(end ? "end" : "start"))
                .mapToLong(Harness.WorkerEvent::at)
                .findFirst()
                .orElse(0);
    }

    private static boolean held(Harness h) throws Exception {
        h.startPlatform();
        h.key = KEY;
        for (int i = 1; i <= 4; i++) {
            h.startWorker("clip-" + i, "clip-svc", i <= 2 ? "north" : "south", "r1");
            h.startWorker("archive-" + i, "archive-svc", i <= 2 ? "north" : "south", "r2");
            h.startWorker("promo-" + i, "promo-svc", i <= 2 ? "north" : "south", "r3");
        }
        h.putAsOperator("op/config", CONFIG);
        h.startEntry("entry-north", "north", "\"north\", \"south\"");
        h.startEntry("entry-south", "south", "\"north\", \"south\"");
        for (int i = 5; i <= 7; i++) {
            h.startColdWorker("promo-" + i, "promo-svc", "north", "r3", 90_000);
            Harness.sleep(500);
        }
        h.awaitOwners("clip-svc", "archive-svc", "promo-svc");
        Thread others = new Thread(() -> others(h));
        others.setDaemon(true);
        others.start();
        Harness.sleep(4_000);

        submit(h, 0, "/clips/0000000000000001", 1_500, 0);
        submit(h, 1, "/archive/0000000000000002", 1_500, 0);
        Harness.sleep(3_000);
        submit(h, 0, "/promos/" + BUSY, 3_500, 8_000);
        Harness.sleep(3_000);
        submit(h, 1, "/clips/" + CLIP, 3_500, 2_000);
        if (h.trouble) {
            submit(h, 0, "/archive/" + ARCHIVE, 3_500, 2_000);
        }
        while (at(h, BUSY, true) == 0) {
            Harness.sleep(200);
        }
        long freeSince = at(h, BUSY, true);
        h.record("the busy job has ended: the tenant has 3,000 of its 9,000 running");
        long end = freeSince + 40_000;
        boolean bothBegan = false;
        while (h.now() < end && !bothBegan) {
            Harness.sleep(1_000);
            bothBegan = at(h, CLIP, false) > 0 && (!h.trouble || at(h, ARCHIVE, false) > 0);
        }
        h.ask(h.entries.get(0), "GET", "/clips/" + CLIP, "");
        long first = at(h, CLIP, false);
        if (h.trouble) {
            h.ask(h.entries.get(1), "GET", "/archive/" + ARCHIVE, "");
            long second = at(h, ARCHIVE, false);
            first = first == 0 || (second > 0 && second < first) ? second : first;
        }
        // Both jobs fit only one after the other, so it counts when the first of them begins.
        long nothing = (first == 0 ? h.now() : first) - freeSince;
        h.record("no accepted job that waits had anything running for " + nothing + " ms after there was room for one");
        return nothing <= NOTHING_RUNNING_MILLIS;
    }
}
