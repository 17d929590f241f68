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
import org.lupinpaddle.core.command.OperatorCommand.Steering;
import org.lupinpaddle.core.command.OperatorCommand.WaveDraft;
import org.lupinpaddle.core.wave.WaveOrder;
import org.lupinpaddle.core.wave.WaveScope;

/** The commands of the group {@code wave}. */
final class WaveCommands {

    private WaveCommands() {}

    static List<Class<? extends BaseCommand>> all() {
        return List.of(
                PlanCommand.class,
                StartCommand.class,
                PauseCommand.class,
                ResumeCommand.class,
                CancelCommand.class,
                ListCommand.class,
                ShowCommand.class);
    }

    /** Options that define a new wave. */
    abstract static class WaveDraftCommand extends BaseCommand {
        @Arguments(description = "The wave's name", title = "NAME")
        @Required
        private String wave = "";

        @Option(name = "--pool", title = "POOL", description = "Only instances of this pool")
        private @Nullable String pool;

        @Option(name = "--hall", title = "HALL", description = "Only instances of this data hall")
        private @Nullable String hall;

        @Option(name = "--rack", title = "RACK", description = "Only instances of this rack")
        private @Nullable String rack;

        @Option(name = "--to", title = "POOL", description = "Migrate: the pool that the instances go to")
        private @Nullable String toPool;

        @Option(
                name = "--spares",
                title = "POOL",
                description = "Migrate between sites: instances of this pool take the place of those that leave; "
                        + "those that leave go to --to")
        private @Nullable String spares;

        @Option(name = "--order", title = "ORDER", description = "one-at-a-time, wide or rack-by-rack")
        @AllowedRawValues(allowedValues = {"one-at-a-time", "wide", "rack-by-rack"})
        private String order = "wide";

        WaveDraft draft() {
            WaveScope scope = new WaveScope(pool, hall, rack);
            if (scope.isEmpty()) {
                throw new IllegalArgumentException("a wave needs --pool, --hall or --rack");
            }
            if (spares != null && (toPool == null || pool == null)) {
                throw new IllegalArgumentException("--spares needs --pool and --to");
            }
            WaveOrder o = WaveOrder.valueOf(order.toUpperCase(Locale.ROOT).replace('-', '_'));
            return new WaveDraft(name(wave), scope, toPool, spares, o);
        }
    }

    /** Shows what a wave would do. */
    @Command(name = "plan", description = "Says what a wave would do, in which order, and what holds it back")
    public static final class PlanCommand extends WaveDraftCommand {
        @Override
        public OperatorCommand get() {
            return new OperatorCommand.WavePlan(draft());
        }
    }

    /** Starts a wave. */
    @Command(name = "start", description = "Starts a wave, unless it can never finish within its budgets")
    public static final class StartCommand extends WaveDraftCommand {
        @Override
        public OperatorCommand get() {
            return new OperatorCommand.WaveStart(draft());
        }
    }

    /** A command that takes the name of an existing wave. */
    abstract static class NamedWaveCommand extends BaseCommand {
        @Arguments(description = "The wave's name", title = "NAME")
        @Required
        private String wave = "";

        String wave() {
            return name(wave);
        }
    }

    /** Pauses a wave. */
    @Command(name = "pause", description = "Takes out no more instances and puts back those not yet rebooting")
    public static final class PauseCommand extends NamedWaveCommand {
        @Override
        public OperatorCommand get() {
            return new OperatorCommand.WaveSteer(wave(), Steering.PAUSE);
        }
    }

    /** Resumes a wave. */
    @Command(name = "resume", description = "Goes on with a wave that is paused or halted")
    public static final class ResumeCommand extends NamedWaveCommand {
        @Override
        public OperatorCommand get() {
            return new OperatorCommand.WaveSteer(wave(), Steering.RESUME);
        }
    }

    /** Cancels a wave. */
    @Command(name = "cancel", description = "Ends a wave for good; reboots that were begun are finished")
    public static final class CancelCommand extends NamedWaveCommand {
        @Override
        public OperatorCommand get() {
            return new OperatorCommand.WaveSteer(wave(), Steering.CANCEL);
        }
    }

    /** Lists the waves. */
    @Command(name = "list", description = "Lists the waves")
    public static final class ListCommand extends BaseCommand {
        @Override
        public OperatorCommand get() {
            return new OperatorCommand.WaveList();
        }
    }

    /** Shows a wave. */
    @Command(name = "show", description = "Shows a wave's progress, instance by instance, and what it waits for")
    public static final class ShowCommand extends NamedWaveCommand {
        @Override
        public OperatorCommand get() {
            return new OperatorCommand.WaveShow(wave());
        }
    }
}
