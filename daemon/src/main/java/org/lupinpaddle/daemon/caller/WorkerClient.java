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

import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpMethod;
import org.lupinpaddle.core.request.AttemptOutcome;

/**
 * Sends an attempt to a worker and reports whether it may have run. The client does nothing implicitly: no
 * redirects, no authentication and no resending. An attempt counts as not sent only if it failed before the
 * client began to write to a connection; a pooled connection that the worker closes at the same moment is
 * therefore reported as "may have run".
 */
final class WorkerClient {

    private static final String REFUSED = "Worker-Refused";
    private static final String LEAVING = "leaving";
    private static final int UNAVAILABLE = 503;
    private static final int SERVER_ERROR = 500;
    // Shorter than the idle timeout of any worker, so that a worker does not close a pooled connection during use.
    private static final long POOLED_IDLE_TIMEOUT_MILLIS = 5_000;
    private static final long STOP_TIMEOUT_MILLIS = 2_000;

    private final HttpClient client;
    private final int maxAnswerBytes;

    /** Creates the client. The Jetty client must be started and set up with {@link #configureClient}. */
    WorkerClient(HttpClient client, int maxAnswerBytes) {
        this.client = client;
        this.maxAnswerBytes = maxAnswerBytes;
    }

    /** Disables redirects, protocol handlers and content decoding on a Jetty client. Call it after its start. */
    static void configureClient(HttpClient client) {
        client.setIdleTimeout(POOLED_IDLE_TIMEOUT_MILLIS);
        client.setFollowRedirects(false);
        client.getProtocolHandlers().clear();
        client.getContentDecoderFactories().clear();
        client.setUserAgentField(null);
    }

    /** An attempt in progress. */
    interface Attempt {
        /** Aborts the attempt. */
        void abort();
    }

    /** Sends an attempt; {@code onEnd} is called exactly once, on a thread of the Jetty client. */
    Attempt send(
            String address,
            String path,
            HttpFields headers,
            byte[] body,
            long timeoutMillis,
            Consumer<WorkerResponse> onEnd) {
        AtomicBoolean sendBegun = new AtomicBoolean();
        Request request = client.newRequest("http://" + address + path)
                .method(HttpMethod.POST)
                .headers(h -> h.add(headers))
                .body(new BytesRequestContent(body))
                .timeout(timeoutMillis, TimeUnit.MILLISECONDS)
                .idleTimeout(timeoutMillis, TimeUnit.MILLISECONDS)
                .onRequestBegin(r -> sendBegun.set(true));
        request.send(new BufferingResponseListener(maxAnswerBytes) {
            @Override
            public void onComplete(Result result) {
                onEnd.accept(toResponse(result, sendBegun.get(), getContent()));
            }
        });
        return () -> {
            var unused = request.abort(new TimeoutException("attempt aborted"));
        };
    }

    private static WorkerResponse toResponse(Result result, boolean sendBegun, byte[] content) {
        if (result.isFailed()) {
            return WorkerResponse.withoutBody(sendBegun ? AttemptOutcome.BROKEN : AttemptOutcome.NOT_SENT);
        }
        var response = result.getResponse();
        String refused = response.getHeaders().get(REFUSED);
        if (response.getStatus() == UNAVAILABLE && refused != null) {
            return WorkerResponse.withoutBody(
                    refused.equals(LEAVING) ? AttemptOutcome.REFUSED_LEAVING : AttemptOutcome.REFUSED_FULL);
        }
        AttemptOutcome outcome = response.getStatus() >= SERVER_ERROR ? AttemptOutcome.FAILED : AttemptOutcome.ANSWERED;
        byte[] body = content == null ? new byte[0] : content;
        return new WorkerResponse(outcome, response.getStatus(), response.getHeaders(), body);
    }

    /** Asks a worker to stop a task whose caller no longer waits; the response is ignored. */
    void stopTask(String address, String taskId) {
        client.newRequest("http://" + address + "/tasks/" + taskId)
                .method(HttpMethod.DELETE)
                .timeout(STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .send(r -> {});
    }
}
