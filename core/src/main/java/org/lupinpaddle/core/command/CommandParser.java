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

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.parser.errors.ParseException;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/**
 * Parses the words of one operator command. The same command-line parser serves the tool and the listener, so
 * both accept the same language.
 */
public final class CommandParser {

    /** The name of the command-line tool; usage texts begin with it. */
    public static final String TOOL = "lupinctl";

    @SuppressWarnings("unchecked")
    private static final Cli<Supplier<OperatorCommand>> CLI = (Cli<Supplier<OperatorCommand>>) (Cli<?>) builder();

    private CommandParser() {}

    private static Cli<BaseCommand> builder() {
        return com.github.rvesse.airline.Cli.<BaseCommand>builder(TOOL)
                .withDescription("Asks and commands a fleet through any of its entries")
                .withCommands(BaseCommand.all())
                .withGroup("service")
                .withDescription("Services and their availability budgets")
                .withCommands(ServiceCommands.all())
                .parent()
                .withGroup("pool")
                .withDescription("Pools of instances")
                .withCommands(PoolCommands.all())
                .parent()
                .withGroup("instance")
                .withDescription("Instances and their places")
                .withCommands(InstanceCommands.all())
                .parent()
                .withGroup("wave")
                .withDescription("Waves of maintenance and migration")
                .withCommands(WaveCommands.all())
                .parent()
                .withGroup("job")
                .withDescription("Jobs on the operators' platform, their owners and workers")
                .withCommands(JobCommands.all())
                .parent()
                .build();
    }

    /** Returns the parsed command, or a one-line error message. */
    public static Either<String, OperatorCommand> parse(List<String> words) {
        if (words.isEmpty()) {
            return Either.left("no command; try: " + TOOL + " help");
        }
        try {
            return Either.right(CLI.parse(words.toArray(new String[0])).get());
        } catch (ParseException | IllegalArgumentException e) {
            return Either.left(String.valueOf(e.getMessage()).replace('\n', ' '));
        }
    }

    /** Returns the command-line model, for help texts. */
    public static Cli<?> cli() {
        return CLI;
    }

    /** Splits a line into words; quotes preserve spaces, as in a shell. */
    public static List<String> split(String line) {
        List<String> words = new ArrayList<>();
        StringBuilder word = new StringBuilder();
        boolean inWord = false;
        char quote = 0;
        for (int i = 0; i < line.length(); i++) {
            char c = line.charAt(i);
            if (quote != 0 && c == quote) {
                quote = 0;
            } else if (quote == 0 && (c == '"' || c == '\'')) {
                quote = c;
                inWord = true;
            } else if (quote == 0 && Character.isWhitespace(c)) {
                if (inWord) {
                    words.add(word.toString());
                    word.setLength(0);
                }
                inWord = false;
            } else {
                word.append(c);
                inWord = true;
            }
        }
        if (inWord) {
            words.add(word.toString());
        }
        return words;
    }
}
