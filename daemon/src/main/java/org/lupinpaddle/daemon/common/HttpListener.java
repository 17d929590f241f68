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
package org.lupinpaddle.daemon.common;

import java.net.InetSocketAddress;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.NetworkConnectionLimit;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** One HTTP listener of Jetty, set up to stay small. */
public final class HttpListener implements AutoCloseable {

    private final Server server;
    private final ServerConnector connector;
    private final String host;

    /** Makes a listener; it listens from {@link #start} on. */
    public HttpListener(
            String name, InetSocketAddress address, int threads, int headerBytes, int connections, Handler handler) {
        QueuedThreadPool pool = new QueuedThreadPool(threads, 2);
        pool.setName(name);
        server = new Server(pool);
        HttpConfiguration http = new HttpConfiguration();
        http.setSendServerVersion(false);
        http.setSendDateHeader(false);
        http.setRequestHeaderSize(headerBytes);
        connector = new ServerConnector(server, 1, 1, new HttpConnectionFactory(http));
        host = address.getAddress().getHostAddress();
        connector.setHost(host);
        connector.setPort(address.getPort());
        server.addConnector(connector);
        server.addBean(new NetworkConnectionLimit(connections, connector));
        server.setHandler(handler);
    }

    /** Starts listening. */
    public void start() throws Exception {
        server.start();
    }

    /** Returns IP and port. */
    public String address() {
        return host + ":" + connector.getLocalPort();
    }

    @Override
    public void close() throws Exception {
        server.stop();
    }
}
