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

import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.ssl.SslContextFactory;

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
        ClientConnector connector = new ClientConnector();
        connector.setSelectors(SELECTORS);
        connector.setSslContextFactory(new NoTls());
        return new HttpClient(new HttpClientTransportOverHTTP(connector));
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
