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
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One entry as a process of its own, which a test can kill, freeze and stop. */
final class EntryProcess {

    private static final long START_SECONDS = 40;

    final String id;
    final String caller;
    final String operator;
    final String peer;
    private final Process process;
    private final Path log;

    private EntryProcess(String id, Process process, Path log) {
        this.id = id;
        this.process = process;
        this.log = log;
        String line = Await.value("start of " + id, START_SECONDS, () -> line("event=started"));
        this.caller = field(line, "caller");
        this.operator = field(line, "operator");
        this.peer = field(line, "peer");
    }

    /** Starts an entry with these settings and waits until it listens. */
    static EntryProcess start(Path dir, String id, String toml) throws IOException {
        Path config = dir.resolve(id + ".toml");
        Files.writeString(config, toml);
        Path log = dir.resolve(id + "-" + System.nanoTime() + ".log");
        Process p = new ProcessBuilder(List.of(
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
                        "org.lupinpaddle.daemon.LupinpaddleMain",
                        "run",
                        "--config",
                        config.toString()))
                .redirectErrorStream(true)
                .redirectOutput(log.toFile())
                .start();
        return new EntryProcess(id, p, log);
    }

    private static String field(String line, String key) {
        Matcher m = Pattern.compile(" " + key + "=(\\S+)").matcher(line);
        if (!m.find()) {
            throw new AssertionError("no " + key + " in " + line);
        }
        return m.group(1);
    }

    /** Returns the last line of the log that holds the text, or null. */
    @org.jspecify.annotations.Nullable
    String line(String text) {
        try {
            return Files.readAllLines(log).stream()
                    .filter(l -> l.contains(text))
                    .reduce((a, b) -> b)
                    .orElse(null);
        } catch (IOException e) {
            return null;
        }
    }

    String log() throws IOException {
        return Files.readString(log);
    }

    long pid() {
        return process.pid();
    }

    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    void freeze() throws Exception {
        signal("-STOP");
    }

    void thaw() throws Exception {
        signal("-CONT");
    }

    /** Asks the process to stop as planned. */
    void terminate() {
        process.destroy();
    }

    boolean hasEnded(long seconds) throws InterruptedException {
        return process.waitFor(seconds, TimeUnit.SECONDS);
    }

    private void signal(String which) throws Exception {
        new ProcessBuilder("kill", which, Long.toString(process.pid())).start().waitFor();
    }
}
