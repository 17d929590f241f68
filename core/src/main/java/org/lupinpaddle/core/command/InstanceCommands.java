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
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.List;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/** The commands of the group {@code instance}. */
final class InstanceCommands {

    private static final Pattern ADDRESS = Pattern.compile("([0-9]{1,3}\\.){3}[0-9]{1,3}:[0-9]{1,5}");

    private InstanceCommands() {}

    static List<Class<? extends BaseCommand>> all() {
        return List.of(ListCommand.class, AddCommand.class, RetireCommand.class, ExplainCommand.class);
    }

    /** Lists instances. */
    @Command(name = "list", description = "Lists instances with pool, place and state")
    public static final class ListCommand extends BaseCommand {
        @Option(name = "--pool", title = "POOL", description = "Only those of this pool")
        private @Nullable String pool;

        @Override
        public OperatorCommand get() {
            return new OperatorCommand.InstanceList(pool);
        }
    }

    /** Adds an instance to the fleet. */
    @Command(name = "add", description = "Takes an instance into the fleet")
    public static final class AddCommand extends BaseCommand {
        @Arguments(description = "The instance's id", title = "ID")
        @Required
        private String id = "";

        @Option(name = "--pool", title = "POOL", description = "The one pool it belongs to")
        @Required
        private String pool = "";

        @Option(name = "--hall", title = "HALL", description = "The data hall it stands in")
        @Required
        private String hall = "";

        @Option(name = "--rack", title = "RACK", description = "The rack it stands in")
        @Required
        private String rack = "";

        @Option(name = "--address", title = "IP:PORT", description = "Where its worker listens")
        @Required
        private String address = "";

        @Option(name = "--slots", title = "SLOTS", description = "How many requests it runs at once")
        @Required
        private int slots;

        @Option(name = "--memory", title = "MEMORY_MB", description = "Its memory in megabytes")
        @Required
        private int memoryMb;

        @Override
        public OperatorCommand get() {
            if (!ADDRESS.matcher(address).matches()) {
                throw new IllegalArgumentException("--address " + address + " is no IP:PORT");
            }
            if (slots < 1 || memoryMb < 1) {
                throw new IllegalArgumentException("--slots and --memory must be at least 1");
            }
            return new OperatorCommand.InstanceAdd(
                    name(id), name(pool), name(hall), name(rack), address, slots, memoryMb);
        }
    }

    /** Removes an instance from the fleet. */
    @Command(name = "retire", description = "Takes an instance of a spare pool out of the fleet")
    public static final class RetireCommand extends BaseCommand {
        @Arguments(description = "The instance's id", title = "ID")
        @Required
        private String id = "";

        @Override
        public OperatorCommand get() {
            return new OperatorCommand.InstanceRetire(name(id));
        }
    }

    /** Explains the state of an instance. */
    @Command(name = "explain", description = "Says why an instance is where it is and what holds it")
    public static final class ExplainCommand extends BaseCommand {
        @Arguments(description = "The instance's id", title = "ID")
        @Required
        private String id = "";

        @Override
        public OperatorCommand get() {
            return new OperatorCommand.InstanceExplain(name(id));
        }
    }
}
