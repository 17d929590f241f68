import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** One of two entries is lost. The other one has to own the services of both. */
final class ManyServices {

    private static final String HOST = "demo.example";
    private static final long LOST_MILLIS = 3_000;
    private static final int SERVICES = Integer.getInteger("services", 32);

    public static void main(String[] args) throws Exception {
        int result = 2;
        try (Lab lab = new Lab(Path.of(args[0]), Path.of(args[1]))) {
            result = run(lab);
            lab.log("result " + result);
        }
        System.exit(result);
    }

    private static int run(Lab lab) throws Exception {
        String platform = lab.platform();
        StringBuilder routes = new StringBuilder();
        StringBuilder services = new StringBuilder();
        for (int i = 0; i < SERVICES; i++) {
            lab.new Worker("w" + i, "s" + i, i % 2 == 0 ? "north" : "south", "r" + i / 4, "usual", platform, 16_000);
            routes.append(i == 0 ? "" : ",")
                    .append("{\"name\":\"q" + i + "\",\"host\":\"demo.example\",\"pathPrefix\":\"/q" + i + "/\",\"service\":\"s" + i
                            + "\",\"priority\":0,\"maxAttempts\":3,\"extension\":1.5,\"sloMs\":600}");
            services.append(i == 0 ? "" : ",").append("{\"name\":\"s" + i + "\",\"rejectsOverload\":true}");
        }
        lab.put(platform, "op/config", "{\"version\":1,\"routes\":[" + routes + "],\"services\":[" + services + "]}");
        Lab.Entry a = lab.new Entry("entry-a", "north", platform, platform).start();
        Lab.Entry b = lab.new Entry("entry-b", "south", platform, platform).start();
        Lab.sleep(12_000);
        if (lab.trouble) {
            a.kill();
        }
        // Nothing is disrupted from here on. The other entry is in touch again after contactMs, 3 s.
        Lab.sleep(20_000);
        Map<String, Long> acceptedAt = handIn(lab, b);
        Map<String, Long> waitedMillis = new HashMap<>();
        while (lab.millis() < 100_000 && waitedMillis.size() < acceptedAt.size()) {
            for (String path : acceptedAt.keySet()) {
                String task = path.substring(path.lastIndexOf('/') + 1) + ".0.0.0";
                Long started = lab.startedAt.get(task);
                if (started != null) {
                    waitedMillis.putIfAbsent(path, started - acceptedAt.get(path));
                }
            }
            Lab.sleep(50);
        }
        long now = lab.millis();
        long late = 0;
        long longest = 0;
        for (Map.Entry<String, Long> e : acceptedAt.entrySet()) {
            long waited = waitedMillis.getOrDefault(e.getKey(), now - e.getValue());
            longest = Math.max(longest, waited);
            late += waited > LOST_MILLIS ? 1 : 0;
        }
        lab.log("accepted " + acceptedAt.size() + " of " + SERVICES + "; begun " + waitedMillis.size() + "; with nothing running for over "
                + LOST_MILLIS + " ms though their service's only worker was free: " + late + "; longest " + longest + " ms");
        if (System.getenv("KEEP_LOG") != null) {
            for (Lab.Entry e : List.of(a, b)) {
                java.nio.file.Files.writeString(Path.of(System.getenv("KEEP_LOG"), e.name + ".log"), lab.logOf(e.name));
            }
        }
        if (acceptedAt.isEmpty()) {
            return 2;
        }
        return late > 0 ? 1 : 0;
    }

    /** Hands in one job to each queue and returns when the accepted ones were accepted. */
    private static Map<String, Long> handIn(Lab lab, Lab.Entry e) throws Exception {
        Map<String, Long> acceptedAt = new ConcurrentHashMap<>();
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < SERVICES; i++) {
            String path = String.format("/q%d/5c0e7a21d94b00%02x", i, i);
            Thread t = new Thread(() -> {
                for (int attempt = 0; attempt < 8 && !acceptedAt.containsKey(path); attempt++) {
                    Lab.Answer a = lab.ask(
                            "POST",
                            e,
                            HOST,
                            path,
                            "{\"spec\":\"millis=1000\",\"steps\":[{\"count\":1,\"cpu\":1000,\"memMb\":256}]}",
                            3_000);
                    if (a.status() == 200) {
                        acceptedAt.put(path, lab.millis());
                    } else {
                        Lab.sleep(1_000);
                    }
                }
            });
            t.start();
            callers.add(t);
            Lab.sleep(50);
        }
        for (Thread t : callers) {
            t.join();
        }
        return acceptedAt;
    }
}
