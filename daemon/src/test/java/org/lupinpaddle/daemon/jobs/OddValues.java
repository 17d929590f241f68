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
package org.lupinpaddle.daemon.jobs;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;
import java.util.ArrayList;
import java.util.List;

/** Values that another writer of the store may have left, each odd in one way; the same in each run. */
final class OddValues {

    private static final int DEEP = 200_000;
    private static final String MARK = "@odd@";
    private static final ObjectMapper JSON = new ObjectMapper();

    private OddValues() {}

    /** Returns texts that are odd in the place of any JSON value; some are not JSON. */
    static List<String> json() {
        List<String> all = new ArrayList<>(List.of(
                "[".repeat(DEEP) + "]".repeat(DEEP),
                "{'a':".repeat(DEEP) + "1" + "}".repeat(DEEP),
                "[".repeat(900) + "]".repeat(900),
                "[".repeat(DEEP),
                "[null]",
                "{'a':null}",
                "{'':[null]}",
                "[[null],{},[[]],0]",
                "null",
                "true",
                "[]",
                "{}",
                "''",
                "' '",
                "'" + "x".repeat(100_000) + "'",
                "'\u00e9\ud83d\ude00\ufeff\u2028'",
                "'\\u0000\\ud800\\n\\r'",
                "'a/b%2F..'",
                "'NaN'",
                "NaN",
                "-Infinity",
                "Infinity",
                "1e400",
                "-1e400",
                "1e999999999",
                "1e99999999999",
                "9".repeat(900),
                "9".repeat(5_000),
                "0." + "9".repeat(5_000),
                "9223372036854775807",
                "9223372036854775808",
                "-9223372036854775808",
                "2147483647",
                "2147483648",
                "-2147483648",
                "-0",
                "-0.0",
                "-1",
                "0",
                "1",
                "1.0",
                "1.5",
                "65536",
                "00",
                "+1",
                "0x10",
                "",
                "\ufeff1",
                "'",
                "tru",
                "}"));
        return all.stream().map(t -> t.replace('\'', '"')).toList();
    }

    /** Returns texts that are the given JSON object with one odd change each. */
    static List<String> changed(String object) {
        List<String> all = new ArrayList<>(json());
        try {
            JsonNode sound = JSON.readTree(object);
            for (String path : paths(sound)) {
                String marked = marked(JSON.readTree(object), path).toString();
                json().forEach(odd -> all.add(marked.replace('"' + MARK + '"', odd)));
            }
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(object, e);
        }
        for (int i = 0; i < object.length(); i++) {
            all.add(object.substring(0, i));
        }
        String members = object.substring(1, object.length() - 1);
        json().forEach(odd -> all.add("{" + members + ",\"unknown\":" + odd + "}"));
        all.addAll(List.of(
                "\ufeff" + object,
                object + object,
                object + "x",
                "{" + members + "," + members + "}",
                "over",
                "\u0000"));
        return all;
    }

    private static JsonNode marked(JsonNode of, String path) {
        int slash = path.lastIndexOf('/');
        String last = path.substring(slash + 1);
        JsonNode parent = of.at(path.substring(0, slash));
        if (parent instanceof ArrayNode a) {
            a.set(Integer.parseInt(last), new TextNode(MARK));
        } else {
            ((ObjectNode) parent).set(last, new TextNode(MARK));
        }
        return of;
    }

    private static List<String> paths(JsonNode of) {
        List<String> all = new ArrayList<>();
        addPaths("", of, all);
        return all;
    }

    private static void addPaths(String path, JsonNode of, List<String> all) {
        if (!path.isEmpty()) {
            all.add(path);
        }
        of.fields().forEachRemaining(f -> addPaths(path + "/" + f.getKey(), f.getValue(), all));
        if (of.isArray()) {
            for (int i = 0; i < of.size(); i++) {
                addPaths(path + "/" + i, of.path(i), all);
            }
        }
    }
}
