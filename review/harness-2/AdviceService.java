import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The service for advice as one machine of the system meets it, after PROTOCOL: it handles one call at a time, in turn, and
 * answers each after {@code decide_ms} plus {@code each_ms} for each worker named; when 32 calls are waiting, it answers 429.
 * It lets every worker run every step. A ticket names the worker and the time until which it holds.
 */
final class AdviceService {

    private static final int MAX_WAITING = 32;

    private final HttpServer server;
    private final ExecutorService turns = Executors.newSingleThreadExecutor();
    private final AtomicInteger waiting = new AtomicInteger();
    private final long decideMillis;
    private final long eachMillis;
    private final long validMillis;
    private final AtomicInteger calls = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger unread = new AtomicInteger();

    AdviceService(long decideMillis, long eachMillis, long validMillis) throws IOException {
        this.decideMillis = decideMillis;
        this.eachMillis = eachMillis;
        this.validMillis = validMillis;
        server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 0);
        ExecutorService readers = Executors.newCachedThreadPool(r -> {
            Thread t = new Thread(r);
            t.setDaemon(true);
            return t;
        });
        server.setExecutor(readers);
        server.createContext("/api/advise", this::take);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Returns what became of the calls so far. */
    String counts() {
        return calls + " calls, " + refused + " answered 429, " + answered + " answered with tickets, " + unread
                + " decided when the caller had closed its channel";
    }

    private void take(HttpExchange x) throws IOException {
        byte[] body = x.getRequestBody().readAllBytes();
        calls.incrementAndGet();
        if (waiting.incrementAndGet() > MAX_WAITING) {
            waiting.decrementAndGet();
            refused.incrementAndGet();
            answer(x, 429, Json.object());
            return;
        }
        turns.execute(() -> decide(x, Json.map(Json.read(new String(body, StandardCharsets.UTF_8)))));
    }

    private void decide(HttpExchange x, Map<String, Object> call) {
        waiting.decrementAndGet();
        List<Object> workers = Json.list(call.get("workers"));
        try {
            Thread.sleep(decideMillis + eachMillis * workers.size());
            List<Object> good = new ArrayList<>();
            for (Object w : workers) {
                good.add(List.of(w, w + "/" + (System.currentTimeMillis() + validMillis)));
            }
            answer(x, 200, Json.object("good", good, "valid_ms", validMillis));
            answered.incrementAndGet();
        } catch (IOException e) {
            unread.incrementAndGet();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void answer(HttpExchange x, int status, Map<String, Object> body) throws IOException {
        byte[] bytes = Json.write(body).getBytes(StandardCharsets.UTF_8);
        x.getResponseHeaders().set("Content-Type", "application/json");
        x.sendResponseHeaders(status, bytes.length);
        x.getResponseBody().write(bytes);
        x.close();
    }
}
