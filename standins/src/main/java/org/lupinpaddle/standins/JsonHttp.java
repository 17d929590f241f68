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
package org.lupinpaddle.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Helpers for JSON over HTTP, shared by the stand-ins. */
public final class JsonHttp {

    /** The mapper for all bodies. */
    public static final ObjectMapper MAPPER = new ObjectMapper();

    private JsonHttp() {}

    public static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    public static ArrayNode array() {
        return MAPPER.createArrayNode();
    }

    /** Reads the whole body of a request as JSON; an empty body counts as an empty object. */
    public static JsonNode body(Request request) throws IOException {
        String text = Content.Source.asString(request, StandardCharsets.UTF_8);
        return text.isBlank() ? object() : MAPPER.readTree(text);
    }

    /** Sends an answer with a status and a JSON body. */
    public static void answer(Response response, Callback callback, int status, JsonNode node) {
        response.setStatus(status);
        response.getHeaders().put("Content-Type", "application/json");
        Content.Sink.write(response, true, node.toString(), callback);
    }
}
