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

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.lupinpaddle.core.common.Verdict;
import org.lupinpaddle.core.request.CallerRequest;
import org.lupinpaddle.core.request.GiveUpReason;
import org.lupinpaddle.core.service.ServiceRecord;
import org.lupinpaddle.daemon.settings.Settings;

/**
 * Serves the HTTP API for callers: {@code POST /v1/services/NAME/requests} runs a request, {@code DELETE
 * /v1/requests/ID} cancels a request on whichever entry holds it, {@code GET /health} is the health check
 * of the load balancer.
 */
final class CallerHandler extends Handler.Abstract.NonBlocking {

    private static final String HEALTH = "/health";
    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int TOO_LARGE = 413;
    private static final int UNAVAILABLE = 503;

    private final RequestServices services;
    private final Settings.Limits limits;
    private final BooleanSupplier serving;
    private final Consumer<String> forwardCancel;
    private final Map<String, RequestExecution> openRequests = new HashMap<>();

    /**
     * Creates the handler.
     *
     * @param serving whether this entry accepts new requests
     * @param forwardCancel forwards the id of a request to cancel to the other entries
     */
    CallerHandler(
            RequestServices services, Settings.Limits limits, BooleanSupplier serving, Consumer<String> forwardCancel) {
        this.services = services;
        this.limits = limits;
        this.serving = serving;
        this.forwardCancel = forwardCancel;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        List<String> path =
                List.of(request.getHttpURI().getCanonicalPath().substring(1).split("/"));
        CallerReply reply = new CallerReply(response, callback);
        boolean post = HttpMethod.POST.is(request.getMethod());
        if (request.getHttpURI().getCanonicalPath().equals(HEALTH)) {
            services.loop().execute(() -> answerHealth(reply));
        } else if (post
                && path.size() == 4
                && path.get(0).equals("v1")
                && path.get(1).equals("services")
                && path.get(3).equals("requests")) {
            readBody(request, reply, path.get(2));
        } else if (HttpMethod.DELETE.is(request.getMethod())
                && path.size() == 3
                && path.get(0).equals("v1")
                && path.get(1).equals("requests")) {
            services.loop().execute(() -> cancelFromCaller(path.get(2), reply));
        } else {
            refuse(reply, NOT_FOUND, "no-such-path", "POST /v1/services/NAME/requests runs a request");
        }
        return true;
    }

    private void answerHealth(CallerReply reply) {
        boolean good = serving.getAsBoolean();
        reply.answer(
                good ? OK : UNAVAILABLE,
                HttpFields.EMPTY,
                (good ? "serving\n" : "not serving\n").getBytes(StandardCharsets.UTF_8));
    }

    private void readBody(Request request, CallerReply reply, String service) {
        if (request.getLength() > limits.bodyBytes()) {
            refuse(reply, TOO_LARGE, "body-too-large", "a body has at most " + limits.bodyBytes() + " bytes");
            return;
        }
        HttpFields headers = request.getHeaders();
        CompletableFuture<byte[]> body = Content.Source.asByteArrayAsync(request, limits.bodyBytes());
        body.whenComplete((bytes, failure) -> {
            if (failure != null) {
                refuse(reply, TOO_LARGE, "body-too-large", "a body has at most " + limits.bodyBytes() + " bytes");
            } else {
                services.loop().execute(() -> accept(service, headers, bytes, reply));
            }
        });
    }

    private void accept(String service, HttpFields headers, byte[] body, CallerReply reply) {
        long now = services.loop().clock().millis();
        Either<String, CallerRequest> parsed = CallerHeaders.read(service, headers, now);
        if (parsed.isLeft()) {
            refuse(reply, BAD_REQUEST, "bad-request", parsed.getLeft());
            return;
        }
        CallerRequest callerRequest = parsed.get();
        ServiceRecord known = services.config().view().services().get(service);
        if (!serving.getAsBoolean()) {
            giveUp(reply, GiveUpReason.NOT_SERVING);
        } else if (known == null || known.retired()) {
            giveUp(reply, GiveUpReason.UNKNOWN_SERVICE);
        } else if (openRequests.size() >= limits.open()) {
            giveUp(reply, GiveUpReason.SHED);
        } else if (openRequests.containsKey(callerRequest.id())) {
            refuse(reply, CONFLICT, "request-id-in-use", "a request with this id is in progress here");
        } else {
            RequestExecution execution = new RequestExecution(
                    services, callerRequest, headers, body, reply, () -> openRequests.remove(callerRequest.id()));
            openRequests.put(callerRequest.id(), execution);
            execution.start();
        }
    }

    private void cancelFromCaller(String id, CallerReply reply) {
        if (!cancel(id)) {
            forwardCancel.accept(id);
        }
        reply.answer(ACCEPTED, HttpFields.EMPTY, new byte[0]);
    }

    /** Cancels a request if this entry holds it and returns whether it does. Call on the event loop. */
    boolean cancel(String id) {
        RequestExecution execution = openRequests.get(id);
        if (execution != null) {
            execution.cancel();
        }
        return execution != null;
    }

    /** Returns the number of requests in progress on this entry. Call on the event loop. */
    int openCount() {
        return openRequests.size();
    }

    private void giveUp(CallerReply reply, GiveUpReason reason) {
        HttpFields.Mutable headers = notRunHeaders(reason.wireName());
        if (reason.retryAfterMillis() > 0) {
            headers.put("Retry-After", Long.toString((reason.retryAfterMillis() + 999) / 1_000));
            headers.put(CallerHeaders.RETRY_AFTER_MILLIS, Long.toString(reason.retryAfterMillis()));
        }
        services.metrics().counter("requests." + reason.wireName()).inc();
        reply.answer(reason.status(), headers, new byte[0]);
    }

    private void refuse(CallerReply reply, int status, String reason, String text) {
        services.metrics().counter("requests.refused").inc();
        reply.answer(status, notRunHeaders(reason), (text + "\n").getBytes(StandardCharsets.UTF_8));
    }

    private static HttpFields.Mutable notRunHeaders(String reason) {
        return HttpFields.build()
                .put(CallerHeaders.VERDICT, Verdict.NOT_RUN.wireName())
                .put(CallerHeaders.REASON, reason);
    }
}
