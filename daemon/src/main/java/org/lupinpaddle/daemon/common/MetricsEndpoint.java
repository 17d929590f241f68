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

import com.codahale.metrics.MetricRegistry;
import io.prometheus.client.CollectorRegistry;
import io.prometheus.client.dropwizard.DropwizardExports;
import io.prometheus.client.exporter.common.TextFormat;
import java.io.IOException;
import java.io.StringWriter;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Serves all figures of a registry as text, in the form that scrapers of Prometheus read. */
public final class MetricsEndpoint extends Handler.Abstract {

    private static final String PATH = "/metrics";
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;

    private final CollectorRegistry collectors = new CollectorRegistry();

    /** Makes it for the figures of a registry. */
    public MetricsEndpoint(MetricRegistry figures) {
        collectors.register(new DropwizardExports(figures));
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws IOException {
        if (!PATH.equals(request.getHttpURI().getPath())) {
            response.setStatus(NOT_FOUND);
            callback.succeeded();
            return true;
        }
        StringWriter text = new StringWriter();
        TextFormat.write004(text, collectors.metricFamilySamples());
        response.setStatus(OK);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, TextFormat.CONTENT_TYPE_004);
        Content.Sink.write(response, true, text.toString(), callback);
        return true;
    }
}
