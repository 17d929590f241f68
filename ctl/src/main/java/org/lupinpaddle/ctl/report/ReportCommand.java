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
package org.lupinpaddle.ctl.report;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.MalformedInputException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * {@code lupinctl report LOG [PICTURE.png]}: evaluates the collected log lines of all entries without contacting one.
 */
public final class ReportCommand {

    /** The syntax of the command. */
    public static final String USAGE = "report LOG [PICTURE.png]";

    private ReportCommand() {}

    /** Returns the table for a log file, and writes the plot if an image path is given. */
    public static List<String> run(List<String> arguments) throws IOException {
        if (arguments.isEmpty() || arguments.size() > 2) {
            throw new IllegalArgumentException("wrong number of words; use " + USAGE);
        }
        Path log = Path.of(arguments.get(0));
        if (!Files.isReadable(log)) {
            throw new IllegalArgumentException(log + " can not be read");
        }
        LoadReport report = new LoadReport();
        try (BufferedReader r = Files.newBufferedReader(log, StandardCharsets.UTF_8)) {
            r.lines().forEach(report::add);
        } catch (UncheckedIOException e) {
            if (e.getCause() instanceof MalformedInputException) {
                throw new IllegalArgumentException(log + " is not text", e);
            }
            throw e;
        }
        List<String> table = LoadTable.lines(report);
        if (arguments.size() > 1) {
            LoadPlot.write(report, Path.of(arguments.get(1)));
        }
        return table;
    }
}
