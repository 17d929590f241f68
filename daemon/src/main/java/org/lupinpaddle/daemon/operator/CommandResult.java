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
package org.lupinpaddle.daemon.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.NullNode;
import java.util.List;

/**
 * The result of a command.
 *
 * @param fate {@link #ANSWERED} for a question; {@link #ACCEPTED}, {@link #REFUSED} or {@link #UNKNOWN} for a change
 * @param revision the revision of the configuration that the result refers to
 * @param lines the human-readable lines of the result
 * @param data the machine-readable result
 */
public record CommandResult(String fate, long revision, List<String> lines, JsonNode data) {

    /** The question was answered. */
    public static final String ANSWERED = "answered";
    /** The change was written to the store. */
    public static final String ACCEPTED = "accepted";
    /** The change was not made. */
    public static final String REFUSED = "refused";
    /** The store did not confirm whether the change was written. */
    public static final String UNKNOWN = "unknown";

    /** Returns a refusal with the given reason. */
    public static CommandResult refused(String reason) {
        return new CommandResult(REFUSED, 0, List.of(reason), NullNode.getInstance());
    }

    /** Returns a result of one line. */
    public static CommandResult of(String fate, long revision, String line) {
        return new CommandResult(fate, revision, List.of(line), NullNode.getInstance());
    }
}
