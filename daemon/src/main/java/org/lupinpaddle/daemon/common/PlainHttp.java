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

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.NetworkChannel;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.ssl.SslContextFactory;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Makes HTTP clients for calls that are not encrypted. A client of the library's own making reads the trust store when it
 * starts, whether it needs it or not: a third of the processor time that an entry's start takes, and after a loss of power
 * nobody is served until entries have started.
 */
public final class PlainHttp {

    // An entry has less than a core.
    private static final int SELECTORS = 1;

    private PlainHttp() {}

    /** Returns a client that is not started. */
    public static HttpClient client() {
        return client(new ClientConnector());
    }

    /**
     * Returns a client that is not started and resets its connections when it closes them. A call that was given up then
     * has no effect later, unless the server has received it already: a reset discards what the network has not
     * delivered yet. The operating system resets the connections of a process that ends too, where it supports that.
     */
    public static HttpClient resettingClient() {
        return client(new ResettingConnector());
    }

    private static HttpClient client(ClientConnector connector) {
        connector.setSelectors(SELECTORS);
        connector.setSslContextFactory(new NoTls());
        return new HttpClient(new HttpClientTransportOverHTTP(connector));
    }

    /** Connects with a linger time of zero, so that the operating system resets a connection when it is closed. */
    private static final class ResettingConnector extends ClientConnector {
        @Override
        protected void configure(SelectableChannel channel) throws IOException {
            super.configure(channel);
            ((NetworkChannel) channel).setOption(StandardSocketOptions.SO_LINGER, 0);
        }

        @Override
        protected EndPoint newEndPoint(SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
            return new ResettingEndPoint((SocketChannel) channel, selector, key, getScheduler());
        }
    }

    /** A connection that is never half-closed, because a half-closed connection still delivers what was sent. */
    private static final class ResettingEndPoint extends SocketChannelEndPoint {
        ResettingEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
            super(channel, selector, key, scheduler);
        }

        @Override
        protected void doShutdownOutput() {
            // The client closes the connection right after this.
        }
    }

    /** What would be asked for keys and certificates, and has none. */
    private static final class NoTls extends SslContextFactory.Client {
        @Override
        protected void doStart() {
            // Nothing is to be read.
        }

        @Override
        protected void doStop() {
            // Nothing was read.
        }
    }
}
