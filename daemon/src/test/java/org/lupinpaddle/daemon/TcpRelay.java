/*
 * Copyright 2026 The lupinpaddle authors
 *
 * Licensed under the Apache License, Version 2.0 (the "License");
 * you may not use this file except in compliance with the License.
 * You may obtain a copy of the License at
 *
 *      http://www.apache.org/licenses/LICENSE-2.0
 *
 * Unless required by applicable law or agreed to in writing, software
 * distributed under the License is distributed on an "AS IS" BASIS,
 * WITHOUT WARRANTIES OR CONDITIONS OF ANY KIND, either express or implied.
 * See the License for the specific language governing permissions and
 * limitations under the License.
 */
package org.lupinpaddle.daemon;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Carries connections to an address until it is cut: then all break and none is made. */
final class TcpRelay implements AutoCloseable {

    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final String host;
    private final int port;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private volatile boolean cut;

    TcpRelay(String address) throws IOException {
        int colon = address.indexOf(':');
        host = address.substring(0, colon);
        port = Integer.parseInt(address.substring(colon + 1));
        daemon(this::acceptAll);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    void setCut(boolean isCut) {
        cut = isCut;
        if (isCut) {
            open.forEach(TcpRelay::closeQuietly);
            open.clear();
        }
    }

    private void acceptAll() {
        while (!server.isClosed()) {
            try {
                Socket a = server.accept();
                if (cut) {
                    closeQuietly(a);
                } else {
                    connect(a);
                }
            } catch (IOException e) {
                // The relay was closed, or the other side does not listen: the next connection tells.
            }
        }
    }

    private void connect(Socket a) throws IOException {
        Socket b;
        try {
            b = new Socket(host, port);
        } catch (IOException e) {
            closeQuietly(a);
            throw e;
        }
        open.add(a);
        open.add(b);
        daemon(() -> copy(a, b));
        daemon(() -> copy(b, a));
    }

    private static void copy(Socket from, Socket to) {
        try {
            from.getInputStream().transferTo(to.getOutputStream());
        } catch (IOException e) {
            // Cut, or ended by either side: both are closed below.
        }
        closeQuietly(from);
        closeQuietly(to);
    }

    private static void closeQuietly(Socket s) {
        try {
            s.close();
        } catch (IOException e) {
            // It is closed already.
        }
    }

    private static void daemon(Runnable r) {
        Thread t = new Thread(r, "relay");
        t.setDaemon(true);
        t.start();
    }

    @Override
    public void close() throws IOException {
        server.close();
        setCut(true);
    }
}
