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
import org.jspecify.annotations.Nullable;

/** The commands of the group {@code pool}. */
final class PoolCommands {

    private PoolCommands() {}

    static List<Class<? extends BaseCommand>> all() {
        return List.of(ListCommand.class, CreateCommand.class, RetireCommand.class);
    }

    /** Lists the pools. */
    @Command(name = "list", description = "Lists pools with service, site and instances by state")
    public static final class ListCommand extends BaseCommand {
        @Override
        public OperatorCommand get() {
            return new OperatorCommand.PoolList();
        }
    }

    /** Creates a pool. */
    @Command(name = "create", description = "Makes a pool; without --service, one of spare instances")
    public static final class CreateCommand extends BaseCommand {
        @Arguments(description = "The pool's name", title = "NAME")
        @Required
        private String pool = "";

        @Option(name = "--service", title = "SERVICE", description = "The service that its workers run")
        private @Nullable String service;

        @Option(name = "--site", title = "SITE", description = "The site that it stands for")
        @Required
        private String site = "";

        @Override
        public OperatorCommand get() {
            String s = service;
            return new OperatorCommand.PoolCreate(name(pool), s == null ? null : name(s), name(site));
        }
    }

    /** Retires a pool. */
    @Command(name = "retire", description = "Ends a pool that has no instances")
    public static final class RetireCommand extends BaseCommand {
        @Arguments(description = "The pool's name", title = "NAME")
        @Required
        private String pool = "";

        @Override
        public OperatorCommand get() {
            return new OperatorCommand.PoolRetire(name(pool));
        }
    }
}
