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
 * The answer to a command.
 *
 * @param fate answered (a question), accepted, refused or unknown (a change)
 * @param revision the revision of the configuration that the answer speaks of
 * @param lines the answer for people, a line each
 * @param data the answer for programs
 */
public record CommandResult(String fate, long revision, List<String> lines, JsonNode data) {

    /** The answer to a question. */
    public static final String ANSWERED = "answered";
    /** A change is in the store. */
    public static final String ACCEPTED = "accepted";
    /** A change was not made. */
    public static final String REFUSED = "refused";
    /** The store did not say whether a change was made. */
    public static final String UNKNOWN = "unknown";

    /** Returns a refusal with its reason. */
    public static CommandResult refused(String reason) {
        return new CommandResult(REFUSED, 0, List.of(reason), NullNode.getInstance());
    }

    /** Returns an answer in one line. */
    public static CommandResult of(String fate, long revision, String line) {
        return new CommandResult(fate, revision, List.of(line), NullNode.getInstance());
    }
}
