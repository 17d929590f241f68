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

import com.codahale.metrics.MetricRegistry;
import java.net.InetSocketAddress;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.eclipse.jetty.client.HttpClient;
import org.lupinpaddle.core.request.RetryBudget;
import org.lupinpaddle.daemon.claim.ClaimKeeper;
import org.lupinpaddle.daemon.common.EventLoop;
import org.lupinpaddle.daemon.common.HttpListener;
import org.lupinpaddle.daemon.config.ConfigSync;
import org.lupinpaddle.daemon.settings.Settings;
import org.lupinpaddle.daemon.slot.SlotHost;
import org.lupinpaddle.daemon.trace.Traces;

/** The HTTP server for callers. */
public final class CallerServer implements AutoCloseable {

    private static final int THREADS = 12;

    private final CallerHandler handler;
    private final HttpListener listener;

    private CallerServer(CallerHandler handler, HttpListener listener) {
        this.handler = handler;
        this.listener = listener;
    }

    /** Disables redirects, protocol handlers and content decoding on a started Jetty client. */
    public static void configureClient(HttpClient client) {
        WorkerClient.configureClient(client);
    }

    /** Starts listening. */
    public void start() throws Exception {
        listener.start();
    }

    /** Returns the listening address as IP:PORT. */
    public String address() {
        return listener.address();
    }

    /** Cancels a request if this entry holds it. Call on the event loop. */
    public void cancel(String requestId) {
        handler.cancel(requestId);
    }

    /** Returns the number of requests in progress on this entry. Call on the event loop. */
    public int openCount() {
        return handler.openCount();
    }

    @Override
    public void close() throws Exception {
        listener.close();
    }

    /** Returns a builder. */
    public static Builder builder() {
        return new Builder();
    }

    /** Builds a {@link CallerServer}; every property must be set. */
    @SuppressWarnings("NullAway.Init")
    public static final class Builder {
        private Settings settings;
        private EventLoop loop;
        private ConfigSync config;
        private SlotHost slots;
        private ClaimKeeper claims;
        private HttpClient workers;
        private Traces traces;
        private MetricRegistry metrics;
        private BooleanSupplier serving;
        private Consumer<String> forwardCancel;

        private Builder() {}

        /** Sets the settings. */
        public Builder settings(Settings s) {
            this.settings = s;
            return this;
        }

        /** Sets the event loop. */
        public Builder loop(EventLoop l) {
            this.loop = l;
            return this;
        }

        /** Sets the source of the current configuration. */
        public Builder config(ConfigSync c) {
            this.config = c;
            return this;
        }

        /** Sets the components that grant slots and hold claims. */
        public Builder slotsAndClaims(SlotHost s, ClaimKeeper c) {
            this.slots = s;
            this.claims = c;
            return this;
        }

        /** Sets the HTTP client for requests to workers. */
        public Builder workers(HttpClient w) {
            this.workers = w;
            return this;
        }

        /** Sets the destinations of spans and metrics. */
        public Builder telemetry(Traces t, MetricRegistry m) {
            this.traces = t;
            this.metrics = m;
            return this;
        }

        /** Sets the supplier that says whether this entry accepts new requests. */
        public Builder serving(BooleanSupplier s) {
            this.serving = s;
            return this;
        }

        /** Sets the consumer that forwards a cancellation to the other entries. */
        public Builder forwardCancel(Consumer<String> c) {
            this.forwardCancel = c;
            return this;
        }

        /** Returns a server for this address; {@link CallerServer#start} opens the listener. */
        public CallerServer build(InetSocketAddress address) {
            Settings.Limits limits = settings.limits();
            RequestServices services = new RequestServices(
                    loop,
                    config,
                    slots,
                    claims,
                    new WorkerClient(workers, limits.answerBytes()),
                    new RetryBudget(),
                    traces,
                    metrics,
                    settings.timing().holdMillis());
            CallerHandler handler = new CallerHandler(services, limits, serving, forwardCancel);
            return new CallerServer(
                    handler,
                    new HttpListener("callers", address, THREADS, limits.headerBytes(), limits.connections(), handler));
        }
    }
}
