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

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PlainHttpTest {

    @Nested
    class AClient {

        @Test
        void readsNoTrustStoreWhenItStarts() throws Exception {
            HttpClient client = PlainHttp.client();
            client.start();
            assertThrows(
                    IllegalStateException.class,
                    () -> client.getSslContextFactory().getSslContext(),
                    "there is nothing to encrypt with");
            client.stop();
        }

        @Test
        void isAnswered() throws Exception {
            Server server = new Server(0);
            server.setHandler(new Handler.Abstract() {
                @Override
                public boolean handle(Request request, Response response, Callback callback) {
                    Content.Sink.write(response, true, "here", callback);
                    return true;
                }
            });
            server.start();
            HttpClient client = PlainHttp.client();
            client.start();
            int port = ((ServerConnector) server.getConnectors()[0]).getLocalPort();
            assertEquals("here", client.GET("http://127.0.0.1:" + port + "/").getContentAsString());
            client.stop();
            server.stop();
        }
    }
}
