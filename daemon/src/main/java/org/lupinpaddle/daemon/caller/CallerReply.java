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
package org.lupinpaddle.daemon.caller;

import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Sends exactly one response to a caller. A second response to the same request is a bug and throws. */
final class CallerReply {

    private final Response response;
    private final Callback callback;
    private final AtomicBoolean answered = new AtomicBoolean();

    CallerReply(Response response, Callback callback) {
        this.response = response;
        this.callback = callback;
    }

    /** Sends the complete response with a Content-Length, so that the caller can detect a truncated one. */
    void answer(int status, HttpFields headers, byte[] body) {
        if (!answered.compareAndSet(false, true)) {
            throw new IllegalStateException("a response was already sent for this request");
        }
        response.setStatus(status);
        response.getHeaders().add(headers);
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, (long) body.length);
        response.write(true, ByteBuffer.wrap(body), callback);
    }
}
