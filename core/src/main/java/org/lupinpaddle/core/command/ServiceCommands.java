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
import com.github.rvesse.airline.annotations.restrictions.AllowedRawValues;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.List;
import java.util.Locale;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.service.Reserve;

/** The commands of the group {@code service}. */
final class ServiceCommands {

    private ServiceCommands() {}

    static List<Class<? extends BaseCommand>> all() {
        return List.of(ListCommand.class, CreateCommand.class, ChangeCommand.class, RetireCommand.class);
    }

    private static Reserve reserve(String s) {
        return Reserve.valueOf(s.toUpperCase(Locale.ROOT));
    }

    private static int budget(int n) {
        if (n < 0) {
            throw new IllegalArgumentException("--budget " + n + " is negative; give 0 or more instances");
        }
        return n;
    }

    /** Lists the services. */
    @Command(name = "list", description = "Lists services with budget, members and who is out on purpose")
    public static final class ListCommand extends BaseCommand {
        @Override
        public OperatorCommand get() {
            return new OperatorCommand.ServiceList();
        }
    }

    /** Creates a service. */
    @Command(name = "create", description = "Makes a service with an availability budget")
    public static final class CreateCommand extends BaseCommand {
        @Arguments(description = "The service's name", title = "NAME")
        @Required
        private String service = "";

        @Option(name = "--budget", title = "BUDGET", description = "Least number of instances that stay available")
        @Required
        private int budget;

        @Option(name = "--reserve", title = "KIND", description = "Held back above the budget during waves")
        @AllowedRawValues(allowedValues = {"none", "instance", "rack"})
        @Required
        private String reserve = "";

        @Override
        public OperatorCommand get() {
            return new OperatorCommand.ServiceCreate(name(service), budget(budget), reserve(reserve));
        }
    }

    /** Changes a service's budget or reserve. */
    @Command(name = "change", description = "Changes a service's budget or reserve")
    public static final class ChangeCommand extends BaseCommand {
        @Arguments(description = "The service's name", title = "NAME")
        @Required
        private String service = "";

        @Option(name = "--budget", title = "BUDGET", description = "Least number of instances that stay available")
        private @Nullable Integer budget;

        @Option(name = "--reserve", title = "KIND", description = "Held back above the budget during waves")
        @AllowedRawValues(allowedValues = {"none", "instance", "rack"})
        private @Nullable String reserve;

        @Override
        public OperatorCommand get() {
            Integer b = budget;
            String r = reserve;
            if (b == null && r == null) {
                throw new IllegalArgumentException("nothing to change; give --budget or --reserve");
            }
            return new OperatorCommand.ServiceChange(
                    name(service), b == null ? null : budget(b), r == null ? null : reserve(r));
        }
    }

    /** Retires a service. */
    @Command(name = "retire", description = "Ends a service that no pool runs")
    public static final class RetireCommand extends BaseCommand {
        @Arguments(description = "The service's name", title = "NAME")
        @Required
        private String service = "";

        @Override
        public OperatorCommand get() {
            return new OperatorCommand.ServiceRetire(name(service));
        }
    }
}
