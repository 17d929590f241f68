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
package org.lupinpaddle.standins;

import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * The HTTP server of a platform stand-in, which listens on the loopback address and passes all requests to one handler.
 */
public final class LoopbackServer implements AutoCloseable {

    private static final String LOOPBACK = "127.0.0.1";
    // Waiting watches hold no thread; only the short calls of some dozens of entries block one.
    private static final int MAX_THREADS = 64;
    private static final int MIN_THREADS = 4;

    private final Server server = new Server(new QueuedThreadPool(MAX_THREADS, MIN_THREADS));
    private final ServerConnector connector = new ServerConnector(server, 1, 1);

    /** Handles a request and completes its callback. */
    public interface RequestHandler {
        void handle(Request request, Response response, Callback callback) throws Exception;
    }

    /** Creates a server for a port, or for a free one if the port is 0. It does not listen until {@link #start}. */
    public LoopbackServer(int port, RequestHandler handler) {
        connector.setHost(LOOPBACK);
        connector.setPort(port);
        server.addConnector(connector);
        server.setHandler(new Handler.Abstract() {
            @Override
            public boolean handle(Request request, Response response, Callback callback) throws Exception {
                handler.handle(request, response, callback);
                return true;
            }
        });
    }

    /** Sets how long idle connections stay open; Jetty's default is 30 s. */
    public void setIdleTimeout(long millis) {
        connector.setIdleTimeout(millis);
    }

    public void start() throws Exception {
        server.start();
    }

    /** Returns the address as IP:PORT. */
    public String address() {
        return LOOPBACK + ":" + connector.getLocalPort();
    }

    @Override
    public void close() throws Exception {
        server.stop();
    }
}
