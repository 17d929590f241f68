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
package org.lupinpaddle.core.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.List;
import java.util.function.Supplier;
import java.util.regex.Pattern;

/** Parsed options and arguments of a command, which produce its typed form. Declares the ungrouped commands. */
public abstract class BaseCommand implements Supplier<OperatorCommand> {

    private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");

    static List<Class<? extends BaseCommand>> all() {
        return List.of(StatusCommand.class, EntriesCommand.class, MetricsCommand.class, TraceCommand.class);
    }

    /** Returns the given name if it is valid, or fails with a message that states the valid form. */
    static String name(String s) {
        if (!NAME.matcher(s).matches()) {
            throw new IllegalArgumentException(
                    "\"" + s + "\" is no name; give small letters, digits and hyphens, 63 at most");
        }
        return s;
    }

    /** Shows the configuration in force. */
    @Command(name = "status", description = "Says what is in force here and at which revision")
    public static final class StatusCommand extends BaseCommand {
        @Override
        public OperatorCommand get() {
            return new OperatorCommand.Status();
        }
    }

    /** Lists the entries. */
    @Command(name = "entries", description = "Lists the entries as this one sees them")
    public static final class EntriesCommand extends BaseCommand {
        @Override
        public OperatorCommand get() {
            return new OperatorCommand.Entries();
        }
    }

    /** Shows the metrics. */
    @Command(name = "metrics", description = "Reads the metrics of one entry")
    public static final class MetricsCommand extends BaseCommand {
        @Override
        public OperatorCommand get() {
            return new OperatorCommand.Metrics();
        }
    }

    /** Shows the trace of a request. */
    @Command(name = "trace", description = "Reads the hops of a request, by the request's id")
    public static final class TraceCommand extends BaseCommand {
        @Arguments(description = "The request's id", title = "REQUEST-ID")
        @Required
        private String requestId = "";

        @Override
        public OperatorCommand get() {
            return new OperatorCommand.Trace(requestId);
        }
    }
}
