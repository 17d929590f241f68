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

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/** A program of this build as a process of its own, which a test can kill, freeze and stop. */
class JavaProcess {

    private static final long START_SECONDS = 40;

    final String started;
    private final Process process;
    private final Path log;

    /** Starts a main class and waits until its log says that it has started. */
    JavaProcess(Path dir, String name, String mainClass, String... arguments) throws IOException {
        log = dir.resolve(name + "-" + System.nanoTime() + ".log");
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                // The flags of bin/lupinpaddle.
                "-XX:+UseSerialGC",
                "-Xmx48m",
                "-Xss512k",
                "-XX:TieredStopAtLevel=1",
                "-XX:MaxDirectMemorySize=24m",
                "-XX:CICompilerCount=1",
                "-Xshare:auto",
                "-Dio.netty.allocator.maxOrder=3",
                "-cp",
                System.getProperty("java.class.path"),
                mainClass));
        command.addAll(List.of(arguments));
        process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(log.toFile())
                .start();
        started = Await.value("start of " + name, START_SECONDS, () -> line("event=started"));
    }

    /** Returns the value of a key in the line that says that the program has started. */
    final String field(String key) {
        Matcher m = Pattern.compile(" " + key + "=(\\S+)").matcher(started);
        if (!m.find()) {
            throw new AssertionError("no " + key + " in " + started);
        }
        return m.group(1);
    }

    /** Returns the last line of the log that holds the text, or null. */
    final @Nullable String line(String text) {
        try {
            return Files.readAllLines(log).stream()
                    .filter(l -> l.contains(text))
                    .reduce((a, b) -> b)
                    .orElse(null);
        } catch (IOException e) {
            return null;
        }
    }

    final String log() throws IOException {
        return Files.readString(log);
    }

    final long pid() {
        return process.pid();
    }

    final void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    final void freeze() throws Exception {
        signal("-STOP");
    }

    final void thaw() throws Exception {
        signal("-CONT");
    }

    /** Asks the process to stop as planned. */
    final void terminate() {
        process.destroy();
    }

    final boolean hasEnded(long seconds) throws InterruptedException {
        return process.waitFor(seconds, TimeUnit.SECONDS);
    }

    private void signal(String which) throws Exception {
        new ProcessBuilder("kill", which, Long.toString(process.pid())).start().waitFor();
    }
}
