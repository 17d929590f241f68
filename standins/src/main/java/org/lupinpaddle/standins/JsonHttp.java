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

/** JSON over HTTP as both stand-ins speak it. */
public final class JsonHttp {

    /** Reads and writes all bodies. */
    public static final ObjectMapper MAPPER = new ObjectMapper();

    private JsonHttp() {}

    /** Returns an empty object. */
    public static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    /** Returns an empty list. */
    public static ArrayNode array() {
        return MAPPER.createArrayNode();
    }

    /** Reads the whole body of a request as an object; an empty body is an empty object. */
    public static JsonNode body(Request request) throws IOException {
        String text = Content.Source.asString(request, StandardCharsets.UTF_8);
        return text.isBlank() ? object() : MAPPER.readTree(text);
    }

    /** Answers with a status and an object. */
    public static void answer(Response response, Callback callback, int status, JsonNode node) {
        response.setStatus(status);
        response.getHeaders().put("Content-Type", "application/json");
        Content.Sink.write(response, true, node.toString(), callback);
    }
}
