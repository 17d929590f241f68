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

/** The commands of the group {@code job}: queries about jobs, their owners and workers. */
final class JobCommands {

    private JobCommands() {}

    static List<Class<? extends BaseCommand>> all() {
        return List.of(
                ListCommand.class,
                ExplainCommand.class,
                OwnersCommand.class,
                WorkersCommand.class,
                HallsCommand.class,
                UpkeepCommand.class,
                UnreadableCommand.class);
    }

    /** Lists the jobs. */
    @Command(name = "list", description = "Lists the jobs that the store knows, with their states")
    public static final class ListCommand extends BaseCommand {
        @Override
        public OperatorCommand get() {
            return new OperatorCommand.JobList();
        }
    }

    /** Explains the state of a job. */
    @Command(name = "explain", description = "Says how far a job is, where its tasks run, and why it waits")
    public static final class ExplainCommand extends BaseCommand {
        @Arguments(description = "The job's id", title = "ID")
        @Required
        private String id = "";

        @Override
        public OperatorCommand get() {
            return new OperatorCommand.JobExplain(id);
        }
    }

    /** Lists the owners. */
    @Command(name = "owners", description = "Lists the entries and which duties each owns")
    public static final class OwnersCommand extends BaseCommand {
        @Override
        public OperatorCommand get() {
            return new OperatorCommand.JobOwners();
        }
    }

    /** Lists the workers. */
    @Command(name = "workers", description = "Lists the workers that the platform's store shows, by service")
    public static final class WorkersCommand extends BaseCommand {
        @Override
        public OperatorCommand get() {
            return new OperatorCommand.JobWorkers();
        }
    }

    /** Lists the data halls. */
    @Command(name = "halls", description = "Lists the data halls, whether they are cordoned, and what still runs there")
    public static final class HallsCommand extends BaseCommand {
        @Override
        public OperatorCommand get() {
            return new OperatorCommand.JobHalls();
        }
    }

    /** Lists the unreadable store entries. */
    @Command(name = "unreadable", description = "Lists the store's entries that can not be read, and what is wrong")
    public static final class UnreadableCommand extends BaseCommand {
        @Override
        public OperatorCommand get() {
            return new OperatorCommand.JobUnreadable();
        }
    }

    /** Lists the platform's upkeep waves. */
    @Command(name = "upkeep", description = "Lists the platform's waves of upkeep and how far they are")
    public static final class UpkeepCommand extends BaseCommand {
        @Override
        public OperatorCommand get() {
            return new OperatorCommand.JobUpkeep();
        }
    }
}
