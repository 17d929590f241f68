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
package org.lupinpaddle.daemon.settings;

import java.nio.file.Path;

/**
 * Reads a settings file in TOML and checks all of it: an unknown key, a wrong type, a value out of range
 * or limits that can not be met together are each one line with the file, the key and what would be right.
 * Only {@code [timing]} and {@code entry.seeds} have defaults; a default elsewhere could do harm unseen.
 */
public final class SettingsReader {

    private static final int MEGABYTE = 1 << 20;
    // Bodies and answers that are held at once must leave half of the heap to everything else.
    private static final int HEAP_SHARE = 2;

    private final String file;
    private final TomlChecks toml;

    private SettingsReader(String file, TomlChecks toml) {
        this.file = file;
        this.toml = toml;
    }

    /** Returns the settings in a file, or says what is wrong with them. */
    public static Settings read(Path path) throws SettingsException {
        return parse(
                path.toString(), TomlChecks.load(path), Runtime.getRuntime().maxMemory());
    }

    /** Returns the settings in a text; {@code heapBytes} is the heap they must fit into. */
    static Settings parse(String file, String text, long heapBytes) throws SettingsException {
        SettingsReader r = new SettingsReader(file, TomlChecks.parse(file, text));
        Settings s = r.settings();
        r.toml.refuseUnknown();
        r.checkLimits(s.limits(), heapBytes);
        r.checkTiming(s.timing());
        return s;
    }

    private Settings settings() throws SettingsException {
        Settings.Entry entry = new Settings.Entry(
                toml.name("entry.id"),
                toml.name("entry.hall"),
                toml.name("entry.region"),
                toml.addresses("entry.seeds"));
        Settings.Listen listen = new Settings.Listen(
                toml.address("listen.caller", true),
                toml.address("listen.operator", true),
                toml.address("listen.peer", true));
        Settings.PlatformAddress platform = new Settings.PlatformAddress(toml.address("platform.address", false));
        Settings.Operator operator = new Settings.Operator(toml.token("operator.token"));
        Settings.Limits limits = new Settings.Limits(
                (int) toml.number("limits.body_bytes", 1, 64L * MEGABYTE),
                (int) toml.number("limits.answer_bytes", 1, 64L * MEGABYTE),
                (int) toml.number("limits.header_bytes", 1_024, MEGABYTE),
                (int) toml.number("limits.connections", 1, 100_000),
                (int) toml.number("limits.waiting", 1, 100_000),
                (int) toml.number("limits.open", 1, 100_000));
        Settings.Timing timing = new Settings.Timing(
                toml.number("timing.poll_millis", 100, 4_000, 2_000),
                toml.number("timing.heartbeat_millis", 100, 10_000, 1_000),
                toml.number("timing.lease_seconds", 2, 600, 10),
                toml.number("timing.hold_millis", 1_000, 86_400_000, 60_000),
                toml.number("timing.stop_millis", 0, 86_400_000, 60_000),
                toml.number("timing.return_millis", 1_000, 86_400_000, 600_000));
        return new Settings(entry, listen, platform, operator, limits, timing);
    }

    private void checkLimits(Settings.Limits l, long heapBytes) throws SettingsException {
        long held = (long) l.open() * (l.bodyBytes() + (long) l.answerBytes());
        long room = heapBytes / HEAP_SHARE;
        if (held > room) {
            throw new SettingsException(
                    file,
                    "limits.open",
                    "can not be met: " + l.open() + " requests of body_bytes + answer_bytes are " + held
                            + " bytes, half of the heap is " + room + "; lower one of the three or raise -Xmx");
        }
        if (l.waiting() > l.open()) {
            throw new SettingsException(
                    file, "limits.waiting", "is " + l.waiting() + "; must be at most limits.open, " + l.open());
        }
    }

    private void checkTiming(Settings.Timing t) throws SettingsException {
        if (t.leaseSeconds() * 1_000 < 2 * t.heartbeatMillis()) {
            throw new SettingsException(file, "timing.lease_seconds", "must be at least twice timing.heartbeat_millis");
        }
    }
}
