import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.HashSet;
import java.util.Set;

/**
 * The network between the entries and one worker. While it is cut it says nothing: open channels hang, and new ones are
 * not served. What it held up is lost when the cut ends, and its channels are reset.
 */
final class Relay {

    private final ServerSocket server = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
    private final Set<Socket> open = new HashSet<>();
    private volatile int target;
    private boolean cut;

    Relay() throws IOException {
        Thread t = new Thread(this::accept, "relay");
        t.setDaemon(true);
        t.start();
    }

    int port() {
        return server.getLocalPort();
    }

    void target(int port) {
        target = port;
    }

    synchronized void cut() {
        cut = true;
    }

    synchronized void heal() throws IOException {
        cut = false;
        for (Socket s : open) {
            s.setSoLinger(true, 0);
            s.close();
        }
        open.clear();
        notifyAll();
    }

    /** Waits while the network is cut; returns whether the channel still exists. */
    private synchronized boolean passes(Socket channel) throws InterruptedException {
        while (cut) {
            wait();
        }
        return open.contains(channel);
    }

    private void accept() {
        while (true) {
            try {
                Socket a = server.accept();
                synchronized (this) {
                    open.add(a);
                }
                Thread t = new Thread(() -> serve(a), "relay");
                t.setDaemon(true);
                t.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket a) {
        try {
            if (!passes(a)) {
                return;
            }
            Socket b = new Socket();
            b.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), target), 1_000);
            synchronized (this) {
                open.add(b);
            }
            Thread back = new Thread(() -> copy(b, a), "relay");
            back.setDaemon(true);
            back.start();
            copy(a, b);
        } catch (IOException | InterruptedException e) {
            drop(a);
        }
    }

    private void copy(Socket from, Socket to) {
        byte[] buffer = new byte[16_384];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                if (!passes(from)) {
                    break;
                }
                out.write(buffer, 0, n);
                out.flush();
            }
        } catch (IOException | InterruptedException e) {
            // The channel has ended.
        }
        try {
            if (passes(from)) {
                drop(from);
                drop(to);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void drop(Socket s) {
        open.remove(s);
        try {
            s.close();
        } catch (IOException e) {
            // It is closed already.
        }
    }
}
