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
package org.lupinpaddle.daemon.trace;

import io.opentelemetry.api.common.AttributeKey;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator;
import io.opentelemetry.context.Context;
import io.opentelemetry.context.propagation.TextMapGetter;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.data.SpanData;
import io.opentelemetry.sdk.trace.export.SimpleSpanProcessor;
import java.util.List;
import org.eclipse.jetty.http.HttpFields;
import org.jspecify.annotations.Nullable;

/**
 * Makes the spans of a request, one for each hop, and keeps the newest of them in memory so that an
 * operator can read them by the request's id. The W3C trace context goes from the caller to the worker.
 */
public final class Traces implements AutoCloseable {

    private static final AttributeKey<String> REQUEST_ID = AttributeKey.stringKey("request.id");
    private static final int SPANS_KEPT = 2_000;

    private static final TextMapGetter<HttpFields> GETTER = new TextMapGetter<>() {
        @Override
        public Iterable<String> keys(HttpFields fields) {
            return fields.getFieldNamesCollection();
        }

        @Override
        public @Nullable String get(@Nullable HttpFields fields, String key) {
            return fields == null ? null : fields.get(key);
        }
    };

    private final SpanKeeper keeper = new SpanKeeper(SPANS_KEPT);
    private final SdkTracerProvider provider = SdkTracerProvider.builder()
            .addSpanProcessor(SimpleSpanProcessor.create(keeper))
            .build();
    private final Tracer tracer = provider.get("lupinpaddle");

    /** Starts the span of a request that came with these headers. */
    public Span request(String requestId, String service, HttpFields headers) {
        Context parent = W3CTraceContextPropagator.getInstance().extract(Context.root(), headers, GETTER);
        return tracer.spanBuilder("request " + service)
                .setParent(parent)
                .setSpanKind(SpanKind.SERVER)
                .setAttribute(REQUEST_ID, requestId)
                .startSpan();
    }

    /** Starts the span of one hop under the request's. */
    public Span hop(Span request, String requestId, String name, SpanKind kind) {
        return tracer.spanBuilder(name)
                .setParent(Context.root().with(request))
                .setSpanKind(kind)
                .setAttribute(REQUEST_ID, requestId)
                .startSpan();
    }

    /** Returns the value of the traceparent header that a worker gets with this span. */
    public static String traceparent(Span span) {
        var c = span.getSpanContext();
        return "00-" + c.getTraceId() + "-" + c.getSpanId() + "-"
                + c.getTraceFlags().asHex();
    }

    /** Returns the spans of a request that are kept, oldest first. */
    public List<SpanData> of(String requestId) {
        return keeper.find(s -> requestId.equals(s.getAttributes().get(REQUEST_ID)));
    }

    @Override
    public void close() {
        provider.close();
    }
}
