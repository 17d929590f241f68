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
package org.lupinpaddle.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.help.Help;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.lupinpaddle.core.command.CommandParser;
import org.lupinpaddle.core.command.OperatorCommand;
import org.lupinpaddle.ctl.report.ReportCommand;

/**
 * The operators' command-line tool. It validates a command locally, so that errors are reported without contacting an
 * entry, and sends the command unchanged to an entry. It implements three commands itself: {@code load FILE} runs a
 * file with one command per line, {@code wave watch NAME} polls a wave until it has ended, and {@code report LOG}
 * evaluates the log lines of entries.
 */
public final class LupinctlMain {

    private static final long WATCH_SECONDS = 1;

    private final ToolOptions options;

    private LupinctlMain(ToolOptions options) {
        this.options = options;
    }

    /** Runs the command in the arguments. */
    public static void main(String[] args) {
        System.exit(run(args).code());
    }

    private static ExitCode run(String[] args) {
        try {
            ToolOptions o = ToolOptions.parse(
                    args, System.getenv(ToolOptions.ENTRIES_VARIABLE), System.getenv(ToolOptions.TOKEN_VARIABLE));
            return new LupinctlMain(o).run();
        } catch (IllegalArgumentException e) {
            System.err.println("lupinctl: " + e.getMessage());
            return ExitCode.WRONG_WORDS;
        } catch (ToolException e) {
            System.err.println("lupinctl: " + e.getMessage());
            return e.exitCode();
        } catch (Exception e) {
            System.err.println("lupinctl: " + e);
            return ExitCode.UNKNOWN;
        }
    }

    private ExitCode run() throws Exception {
        List<String> words = options.command();
        if (words.isEmpty() || words.get(0).equals("help") || words.contains("--help")) {
            return help(words.stream()
                    .filter(w -> !w.equals("help") && !w.equals("--help"))
                    .toList());
        }
        if (words.get(0).equals("report")) {
            ReportCommand.run(words.subList(1, words.size())).forEach(System.out::println);
            return ExitCode.DONE;
        }
        if (words.get(0).equals("load") && words.size() == 2) {
            return load(Path.of(words.get(1)));
        }
        if (words.size() == 3 && words.subList(0, 2).equals(List.of("wave", "watch"))) {
            return watch(words.get(2));
        }
        validate(words);
        try (EntryClient client = client()) {
            return print(client.send(line(words)));
        }
    }

    private static ExitCode help(List<String> words) throws IOException {
        if (words.isEmpty()) {
            System.out.println("usage: lupinctl [--entry IP:PORT]... [--operator NAME] [--json] COMMAND");
            System.out.println("  entries also from " + ToolOptions.ENTRIES_VARIABLE
                    + " (comma between), the token from " + ToolOptions.TOKEN_VARIABLE);
            System.out.println("  load FILE            runs a file of commands, a line each");
            System.out.println("  wave watch NAME      shows a wave's progress until it has ended");
            System.out.println("  report LOG [PNG]     tells by the entries' lines where jobs waited; asks no entry");
            System.out.println("  exit codes: 0 done, 1 refused, 2 wrong words, 3 no entry answers, 4 not known");
        }
        Help.help(CommandParser.cli().getMetadata(), words);
        return ExitCode.DONE;
    }

    private static void validate(List<String> words) throws ToolException {
        Either<String, OperatorCommand> command = CommandParser.parse(words);
        if (command.isLeft()) {
            throw new ToolException(ExitCode.WRONG_WORDS, command.getLeft());
        }
    }

    private EntryClient client() throws Exception {
        if (options.entries().isEmpty()) {
            throw new ToolException(
                    ExitCode.WRONG_WORDS, "no entry is named; give --entry or set " + ToolOptions.ENTRIES_VARIABLE);
        }
        return new EntryClient(options);
    }

    private static String line(List<String> words) {
        return words.stream().map(LupinctlMain::quote).collect(Collectors.joining(" "));
    }

    private static String quote(String word) {
        boolean plain = !word.isEmpty() && word.chars().noneMatch(c -> Character.isWhitespace(c) || c == '\'');
        return plain ? word : '"' + word + '"';
    }

    private ExitCode load(Path file) throws Exception {
        List<String> lines;
        try {
            lines = Files.readAllLines(file);
        } catch (IOException e) {
            throw new ToolException(ExitCode.WRONG_WORDS, file + " can not be read");
        }
        for (int n = 0; n < lines.size(); n++) {
            List<String> words = CommandParser.split(lines.get(n).replaceFirst("#.*", ""));
            Either<String, OperatorCommand> command =
                    words.isEmpty() ? Either.right(new OperatorCommand.Status()) : CommandParser.parse(words);
            if (command.isLeft()) {
                throw new ToolException(
                        ExitCode.WRONG_WORDS,
                        file + " line " + (n + 1) + ": " + command.getLeft() + "; nothing was sent");
            }
        }
        try (EntryClient client = client()) {
            return load(file, lines, client);
        }
    }

    // Stops at the first line that was refused or whose outcome is unknown, so that no later line builds on it.
    private ExitCode load(Path file, List<String> lines, EntryClient client) throws ToolException {
        for (int n = 0; n < lines.size(); n++) {
            List<String> words = CommandParser.split(lines.get(n).replaceFirst("#.*", ""));
            if (words.isEmpty()) {
                continue;
            }
            ExitCode code = print(client.send(line(words)));
            if (code != ExitCode.DONE) {
                throw new ToolException(
                        code, file + " line " + (n + 1) + " was not accepted; later lines were not sent");
            }
        }
        return ExitCode.DONE;
    }

    private ExitCode watch(String wave) throws Exception {
        String previous = "";
        try (EntryClient client = client()) {
            while (true) {
                JsonNode answer = client.send("wave show " + wave);
                String state = answer.path("data").path("state").asText();
                String text = answer.path("lines").toString();
                if (!text.equals(previous)) {
                    print(answer);
                }
                previous = text;
                if (!state.equals("RUNNING") && !state.equals("PAUSED")) {
                    return state.equals("DONE") ? ExitCode.DONE : ExitCode.REFUSED;
                }
                TimeUnit.SECONDS.sleep(WATCH_SECONDS);
            }
        }
    }

    private ExitCode print(JsonNode answer) {
        if (options.json()) {
            System.out.println(answer);
        } else {
            answer.path("lines").forEach(l -> System.out.println(l.asText()));
        }
        return switch (answer.path("fate").asText()) {
            case "answered", "accepted" -> ExitCode.DONE;
            case "refused" -> ExitCode.REFUSED;
            default -> ExitCode.UNKNOWN;
        };
    }
}
