import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Stands between the entries and the stand-in of the platform's store. While it is told to, it loses the answers of a share
 * of the writes: these are done 1 to 6 s later, as far as their conditions still hold then, and their channels say nothing
 * further.
 */
final class LossyStore {

    private final String backend;
    private final ServerSocket server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final ScheduledExecutorService later = Executors.newScheduledThreadPool(4);
    private final Random random;
    private volatile double share;
    private int writes;
    private int lost;

    LossyStore(String backend, long seed) throws IOException {
        this.backend = backend;
        random = new Random(seed);
        Thread t = new Thread(this::accept);
        t.setDaemon(true);
        t.start();
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Sets the share of the writes that are done late and not answered. */
    void lose(double newShare) {
        share = newShare;
    }

    /** Returns how many writes came while answers were lost, and how many of them lost theirs. */
    synchronized String counts() {
        return lost + " of " + writes + " writes";
    }

    private synchronized boolean isLost() {
        if (share == 0) {
            return false;
        }
        writes++;
        // Never more than the share.
        boolean loses = random.nextDouble() < share && lost + 1 <= share * Math.max(writes, 20);
        lost += loses ? 1 : 0;
        return loses;
    }

    private synchronized long delayMillis() {
        return 1_000 + random.nextInt(5_000);
    }

    private void accept() {
        while (true) {
            try {
                Socket s = server.accept();
                s.setTcpNoDelay(true);
                Thread t = new Thread(() -> serve(s));
                t.setDaemon(true);
                t.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket s) {
        try (s) {
            InputStream in = new BufferedInputStream(s.getInputStream());
            OutputStream out = s.getOutputStream();
            boolean silent = false;
            while (true) {
                String head = head(in);
                if (head.isEmpty()) {
                    return;
                }
                String[] first = head.substring(0, head.indexOf("\r\n")).split(" ");
                byte[] body = in.readNBytes(length(head));
                if (silent) {
                    // The store reads nothing more from a channel on which an answer was lost.
                    continue;
                }
                if (first[1].startsWith("/api/kv-txn") && isLost()) {
                    silent = true;
                    var unused = later.schedule(() -> forward(first, body), delayMillis(), TimeUnit.MILLISECONDS);
                    continue;
                }
                HttpResponse<byte[]> r = forward(first, body);
                if (r == null) {
                    return;
                }
                String answer = "HTTP/1.1 " + r.statusCode() + " X\r\nContent-Type: application/json\r\nContent-Length: "
                        + r.body().length + "\r\n\r\n";
                out.write(answer.getBytes(StandardCharsets.ISO_8859_1));
                out.write(r.body());
                out.flush();
            }
        } catch (IOException e) {
            // The entry has closed the channel.
        }
    }

    private HttpResponse<byte[]> forward(String[] first, byte[] body) {
        try {
            return client.send(
                    HttpRequest.newBuilder(URI.create("http://" + backend + first[1]))
                            .timeout(Duration.ofSeconds(35))
                            .header("Content-Type", "application/json")
                            .method(first[0], HttpRequest.BodyPublishers.ofByteArray(body))
                            .build(),
                    HttpResponse.BodyHandlers.ofByteArray());
        } catch (IOException | InterruptedException e) {
            return null;
        }
    }

    private static String head(InputStream in) throws IOException {
        ByteArrayOutputStream b = new ByteArrayOutputStream();
        int last = 0;
        while (true) {
            int c = in.read();
            if (c < 0) {
                return "";
            }
            b.write(c);
            last = last << 8 | c;
            if (last == 0x0d0a0d0a) {
                return b.toString(StandardCharsets.ISO_8859_1);
            }
        }
    }

    private static int length(String head) {
        for (String line : head.split("\r\n")) {
            if (line.toLowerCase().startsWith("content-length:")) {
                return Integer.parseInt(line.substring(15).trim());
            }
        }
        return 0;
    }
}
