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

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.api.trace.StatusCode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.common.Verdict;
import org.lupinpaddle.core.instance.InstanceRecord;
import org.lupinpaddle.core.request.AttemptOutcome;
import org.lupinpaddle.core.request.CallerRequest;
import org.lupinpaddle.core.request.RequestAction;
import org.lupinpaddle.core.request.RequestEvent;
import org.lupinpaddle.core.request.RequestMachine;
import org.lupinpaddle.core.slot.SlotClient;
import org.lupinpaddle.core.slot.SlotMessage.Grant;
import org.lupinpaddle.daemon.common.EventLoop;
import org.lupinpaddle.daemon.common.Log;
import org.lupinpaddle.daemon.trace.Traces;

/**
 * Executes one request: passes its events to the {@link RequestMachine} and performs the actions that the
 * state machine returns. All methods are called on the event loop.
 */
final class RequestExecution {

    private static final Set<String> NOT_FORWARDED_HEADERS = Set.of(
            "connection",
            "content-length",
            "expect",
            "host",
            "keep-alive",
            "proxy-authorization",
            "request-id",
            "te",
            "traceparent",
            "trailer",
            "transfer-encoding",
            "upgrade");

    private final RequestServices services;
    private final CallerRequest request;
    private final HttpFields headers;
    private final byte[] body;
    private final CallerReply reply;
    private final Runnable onFinished;
    private final RequestMachine machine;
    private final Span span;
    private final Deque<RequestEvent> events = new ArrayDeque<>();
    private final String claimId = UUID.randomUUID().toString();
    private @Nullable Span waitSpan;
    private EventLoop.@Nullable Timer deadline;
    private long pendingSlotRequest;
    private WorkerClient.@Nullable Attempt attempt;
    private @Nullable WorkerResponse answer;
    private String workerAddress = "";
    private String taskId = "";
    private boolean running;

    RequestExecution(
            RequestServices services,
            CallerRequest request,
            HttpFields headers,
            byte[] body,
            CallerReply reply,
            Runnable onFinished) {
        this.services = services;
        this.request = request;
        this.headers = headers;
        this.body = body;
        this.reply = reply;
        this.onFinished = onFinished;
        this.machine = new RequestMachine(request, services.retries());
        this.span = services.traces().request(request.id(), request.service(), headers);
    }

    void start() {
        long left = request.deadline() - services.loop().clock().millis();
        deadline = services.loop().after(left, () -> handle(new RequestEvent.DeadlinePassed()));
        handle(new RequestEvent.Arrived());
    }

    void cancel() {
        handle(new RequestEvent.CallerDisconnected());
    }

    // An action can raise the next event synchronously: events are queued and handled in order, not nested.
    private void handle(RequestEvent event) {
        events.add(event);
        if (running) {
            return;
        }
        running = true;
        try {
            for (RequestEvent e = events.poll(); e != null; e = events.poll()) {
                for (RequestAction a :
                        machine.onEvent(e, services.loop().clock().millis())) {
                    perform(a);
                }
            }
        } finally {
            running = false;
        }
        if (machine.isFinished()) {
            onFinished.run();
        }
    }

    private void perform(RequestAction action) {
        if (action instanceof RequestAction.AcquireClaim) {
            takeClaim();
        } else if (action instanceof RequestAction.MarkClaimNotRun) {
            services.claims().release(request.service(), jobId(), claimId);
        } else if (action instanceof RequestAction.RequestSlot a) {
            requestSlot(a);
        } else if (action instanceof RequestAction.CancelSlotRequest) {
            services.slots().cancel(pendingSlotRequest);
        } else if (action instanceof RequestAction.Send a) {
            services.config().whenFresh(() -> sendAttempt(a));
        } else if (action instanceof RequestAction.ReleaseSlot a) {
            services.slots().release(request.service(), new Grant(a.grant(), a.worker()), a.outcome());
        } else if (action instanceof RequestAction.ForwardResponse) {
            forwardAnswer();
        } else if (action instanceof RequestAction.GiveUp a) {
            giveUp(a);
        }
    }

    private String jobId() {
        return Objects.requireNonNull(request.jobId(), "a claim requires a job id");
    }

    private void takeClaim() {
        Span hop = services.traces().hop(span, request.id(), "claim", SpanKind.CLIENT);
        services.claims().acquire(request.service(), jobId(), claimId, result -> {
            hop.setAttribute("claim.result", result.name());
            hop.end();
            handle(new RequestEvent.ClaimCompleted(result));
        });
    }

    private void requestSlot(RequestAction.RequestSlot a) {
        Span hop = services.traces().hop(span, request.id(), "slot", SpanKind.INTERNAL);
        waitSpan = hop;
        SlotClient.SlotRequest need = new SlotClient.SlotRequest(
                request.service(),
                request.urgency(),
                request.arrival(),
                request.deadline(),
                a.excludedWorkers(),
                request.memoryMb());
        pendingSlotRequest = services.slots().ask(need, r -> {
            hop.end();
            handle(event(r));
        });
    }

    private static RequestEvent event(SlotClient.Reply r) {
        if (r instanceof SlotClient.Reply.NoSlot n) {
            return new RequestEvent.SlotRefused(n.reason(), n.retryAfterMillis());
        }
        Grant g = ((SlotClient.Reply.Slot) r).grant();
        return new RequestEvent.SlotGranted(g.id(), g.worker());
    }

    private void sendAttempt(RequestAction.Send a) {
        InstanceRecord worker = services.config().view().instances().get(a.worker());
        if (machine.isAnswered()) {
            handle(new RequestEvent.AttemptEnded(a.attempt(), AttemptOutcome.UNUSED));
            return;
        }
        if (worker == null || !worker.state().acceptsWork()) {
            // The slot was granted before the slot owner learned that the worker is leaving.
            handle(new RequestEvent.AttemptEnded(a.attempt(), AttemptOutcome.REFUSED_LEAVING));
            return;
        }
        long waited = services.loop().clock().millis() - request.arrival();
        services.metrics()
                .histogram("request.start.millis." + request.urgency().wireName())
                .update(waited);
        Span hop = services.traces().hop(span, request.id(), "attempt " + a.worker(), SpanKind.CLIENT);
        workerAddress = worker.address();
        taskId = request.id() + "." + a.attempt();
        long timeoutMillis =
                Math.max(0, request.deadline() - services.loop().clock().millis()) + services.holdMillis();
        attempt = services.worker()
                .send(
                        workerAddress,
                        "/work",
                        workerHeaders(hop),
                        body,
                        timeoutMillis,
                        w -> services.loop().execute(() -> onAttemptEnded(a, hop, w)));
    }

    private void onAttemptEnded(RequestAction.Send a, Span hop, WorkerResponse w) {
        hop.setAttribute("outcome", w.outcome().name());
        hop.setStatus(w.outcome() == AttemptOutcome.ANSWERED ? StatusCode.OK : StatusCode.ERROR);
        hop.end();
        answer = w;
        attempt = null;
        handle(new RequestEvent.AttemptEnded(a.attempt(), w.outcome()));
    }

    private HttpFields workerHeaders(Span hop) {
        HttpFields.Mutable out = HttpFields.build();
        headers.forEach(f -> {
            String name = f.getLowerCaseName();
            if (!NOT_FORWARDED_HEADERS.contains(name) && !name.startsWith(CallerHeaders.PREFIX)) {
                out.add(f);
            }
        });
        out.put(CallerHeaders.REQUEST_ID, taskId);
        out.put("traceparent", Traces.traceparent(hop));
        return out.asImmutable();
    }

    private void forwardAnswer() {
        WorkerResponse w = Objects.requireNonNull(answer, "no worker response to forward");
        finish(Verdict.RAN, "answered", 0);
        HttpFields.Mutable out = HttpFields.build();
        w.headers().forEach(f -> {
            if (!NOT_FORWARDED_HEADERS.contains(f.getLowerCaseName())
                    && !f.getLowerCaseName().startsWith(CallerHeaders.PREFIX)) {
                out.add(f);
            }
        });
        out.put(CallerHeaders.VERDICT, Verdict.RAN.wireName());
        out.put(CallerHeaders.REQUEST_ID, request.id());
        reply.answer(w.status(), out, w.body());
    }

    private void giveUp(RequestAction.GiveUp a) {
        finish(a.verdict(), a.reason().wireName(), a.retryAfterMillis());
        HttpFields.Mutable out = HttpFields.build();
        out.put(CallerHeaders.VERDICT, a.verdict().wireName());
        out.put(CallerHeaders.REASON, a.reason().wireName());
        out.put(CallerHeaders.REQUEST_ID, request.id());
        if (a.retryAfterMillis() > 0) {
            long seconds = TimeUnit.MILLISECONDS.toSeconds(a.retryAfterMillis() + 999);
            out.put(HttpHeader.RETRY_AFTER, Long.toString(seconds));
            out.put(CallerHeaders.RETRY_AFTER_MILLIS, Long.toString(a.retryAfterMillis()));
        }
        reply.answer(a.reason().status(), out, new byte[0]);
        if (attempt != null) {
            // The caller no longer waits for this attempt: the worker may stop it, which frees the slot.
            services.worker().stopTask(workerAddress, taskId);
        }
    }

    private void finish(Verdict verdict, String reason, long comeBackMillis) {
        EventLoop.Timer t = deadline;
        if (t != null) {
            t.cancel();
        }
        Span w = waitSpan;
        if (w != null) {
            w.end();
        }
        long elapsedMillis = services.loop().clock().millis() - request.arrival();
        span.setAttribute("verdict", verdict.wireName());
        span.setAttribute("reason", reason);
        span.end();
        services.metrics().counter("requests." + reason).inc();
        services.metrics()
                .histogram("request.millis." + request.urgency().wireName())
                .update(elapsedMillis);
        List<Object> fields = new ArrayList<>(List.of("request", request.id(), "service", request.service()));
        fields.addAll(List.of("class", request.urgency().wireName(), "verdict", verdict.wireName()));
        fields.addAll(List.of("reason", reason, "attempts", machine.attempts(), "took_ms", elapsedMillis));
        fields.addAll(List.of("come_back_ms", comeBackMillis));
        Log.info("request", fields.toArray());
    }
}
