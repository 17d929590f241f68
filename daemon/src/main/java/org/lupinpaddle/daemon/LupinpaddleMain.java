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
package org.lupinpaddle.daemon;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.model.GlobalMetadata;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CountDownLatch;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.daemon.settings.Settings;
import org.lupinpaddle.daemon.settings.SettingsException;
import org.lupinpaddle.daemon.settings.SettingsReader;

/**
 * The daemon's command line: {@code run} starts an entry, {@code check} only checks its settings. Exit
 * codes: 0 done, 1 a fault while running, 2 wrong words or wrong settings.
 */
public final class LupinpaddleMain {

    private static final int EXIT_DONE = 0;
    private static final int EXIT_FAULT = 1;
    private static final int EXIT_WRONG = 2;

    private LupinpaddleMain() {}

    /** Runs the command that the arguments name. */
    public static void main(String[] args) {
        System.exit(run(args));
    }

    private static int run(String[] args) {
        Cli<ExitCommand> cli = Cli.<ExitCommand>builder("lupinpaddle")
                .withDescription("An entry instance of lupinpaddle")
                .withDefaultCommand(HelpWords.class)
                .withCommands(HelpWords.class, RunWords.class, CheckWords.class)
                .build();
        try {
            return cli.parse(args).run();
        } catch (ParseException e) {
            System.err.println("lupinpaddle: " + e.getMessage());
            return EXIT_WRONG;
        } catch (SettingsException e) {
            System.err.println("lupinpaddle: " + e.getMessage());
            return EXIT_WRONG;
        } catch (Exception e) {
            System.err.println("lupinpaddle: " + e);
            return EXIT_FAULT;
        }
    }

    /** A command that ends with an exit code. */
    interface ExitCommand {
        int run() throws Exception;
    }

    /** Shows what there is. */
    @Command(name = "help", description = "Shows the commands and their options")
    public static final class HelpWords implements ExitCommand {
        @AirlineModule
        private @Nullable GlobalMetadata<ExitCommand> global;

        @Arguments(description = "The command to show", title = "COMMAND")
        private List<String> words = new ArrayList<>();

        @Override
        public int run() throws IOException {
            Help.help(Objects.requireNonNull(global, "set by the parser"), words);
            return EXIT_DONE;
        }
    }

    /** Words that name a settings file. */
    abstract static class ConfigWords implements ExitCommand {
        @Option(name = "--config", title = "FILE", description = "The settings, in TOML")
        @Required
        private String file = "";

        Settings read() throws SettingsException {
            Settings s = SettingsReader.read(Path.of(file));
            checkFree("listen.caller", s.listen().caller());
            checkFree("listen.operator", s.listen().operator());
            checkFree("listen.peer", s.listen().peer());
            return s;
        }

        private void checkFree(String key, String address) throws SettingsException {
            InetSocketAddress a = Addresses.parse(address);
            try (ServerSocket s = new ServerSocket()) {
                s.setReuseAddress(true);
                s.bind(a);
            } catch (IOException e) {
                throw new SettingsException(
                        file,
                        key,
                        "can not listen on " + address + " (" + e.getMessage()
                                + "); give an address of this machine and a port that is free");
            }
        }
    }

    /** Checks settings. */
    @Command(name = "check", description = "Checks the settings and that the ports are free; starts nothing")
    public static final class CheckWords extends ConfigWords {
        @Override
        public int run() throws SettingsException {
            read();
            System.out.println("the settings are good");
            return EXIT_DONE;
        }
    }

    /** Runs an entry. */
    @Command(name = "run", description = "Runs an entry until it is told to stop by SIGTERM")
    public static final class RunWords extends ConfigWords {
        @Override
        public int run() throws Exception {
            Entry entry = new Entry(read());
            CountDownLatch stopped = new CountDownLatch(1);
            Runtime.getRuntime().addShutdownHook(new Thread(() -> {
                entry.stop();
                stopped.countDown();
            }));
            entry.start();
            stopped.await();
            return EXIT_DONE;
        }
    }
}
