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
package org.lupinpaddle.ctl;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The options before the command: the entries, the operator and the output format. The words after the options form the
 * command, which the entry parses as well.
 *
 * @param entries operator addresses of entries, tried in order
 * @param token the bearer token
 * @param operator the name under which changes are recorded, or null for the operator's address
 * @param json whether the answer is printed as JSON
 * @param command the words of the command
 */
record ToolOptions(
        List<String> entries, String token, @Nullable String operator, boolean json, List<String> command) {

    static final String ENTRIES_VARIABLE = "LUPINCTL_ENTRIES";
    static final String TOKEN_VARIABLE = "LUPINCTL_TOKEN";

    /**
     * Parses the options before the command.
     *
     * @throws IllegalArgumentException with a one-line reason if an option is invalid
     */
    static ToolOptions parse(String[] args, @Nullable String entriesVariable, @Nullable String tokenVariable) {
        List<String> entries = new ArrayList<>();
        String operator = null;
        boolean json = false;
        int i = 0;
        for (; i < args.length && args[i].startsWith("--"); i++) {
            switch (args[i]) {
                case "--json" -> json = true;
                case "--entry" -> entries.add(value(args, ++i, "--entry IP:PORT"));
                case "--operator" -> operator = value(args, ++i, "--operator NAME");
                case "--help" -> {
                    return new ToolOptions(entries, "", operator, json, List.of("help"));
                }
                default ->
                    throw new IllegalArgumentException(
                            args[i] + " is unknown; options before a command are --entry, --operator, --json, --help");
            }
        }
        if (entries.isEmpty() && entriesVariable != null) {
            entries.addAll(List.of(entriesVariable.split(",")));
        }
        List<String> command = List.of(args).subList(i, args.length);
        return new ToolOptions(entries, tokenVariable == null ? "" : tokenVariable, operator, json, command);
    }

    private static String value(String[] args, int index, String usage) {
        if (index >= args.length) {
            throw new IllegalArgumentException("a value is missing; give " + usage);
        }
        return args[index];
    }
}
