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

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;

/**
 * Reads a settings file in TOML and checks all of it: an unknown key, a wrong type, a value out of range
 * or limits that can not be met together are each one line with the file, the key and what would be right.
 * Only {@code [timing]} and {@code entry.seeds} have defaults; a default elsewhere could do harm unseen.
 */
public final class SettingsReader {

    private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");
    private static final int FEWEST_TOKEN_CHARS = 16;
    private static final int MOST_PORT = 65_535;
    private static final int MEGABYTE = 1 << 20;
    // Bodies and answers that are held at once must leave half of the heap to everything else.
    private static final int HEAP_SHARE = 2;

    private final String file;
    private final JsonNode root;
    private final Set<String> known = new TreeSet<>();

    private SettingsReader(String file, JsonNode root) {
        this.file = file;
        this.root = root;
    }

    /** Returns the settings in a file, or says what is wrong with them. */
    public static Settings read(Path path) throws SettingsException {
        String text;
        try {
            text = Files.readString(path);
        } catch (NoSuchFileException e) {
            throw new SettingsException(path.toString(), "file", "does not exist; give an existing TOML file");
        } catch (IOException e) {
            throw new SettingsException(path.toString(), "file", "can not be read: " + e.getMessage());
        }
        return parse(path.toString(), text, Runtime.getRuntime().maxMemory());
    }

    /** Returns the settings in a text; {@code heapBytes} is the heap they must fit into. */
    static Settings parse(String file, String text, long heapBytes) throws SettingsException {
        JsonNode root;
        try {
            root = new TomlMapper().readTree(text);
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 0 : e.getLocation().getLineNr();
            throw new SettingsException(file, "line " + line, "is not TOML: " + e.getOriginalMessage());
        }
        SettingsReader r = new SettingsReader(file, root);
        Settings s = r.settings();
        r.refuseUnknown("", root);
        r.checkLimits(s.limits(), heapBytes);
        r.checkTiming(s.timing());
        return s;
    }

    private Settings settings() throws SettingsException {
        Settings.Entry entry = new Settings.Entry(
                name("entry.id"), name("entry.hall"), name("entry.region"), addresses("entry.seeds"));
        Settings.Listen listen = new Settings.Listen(
                address("listen.caller", true), address("listen.operator", true), address("listen.peer", true));
        Settings.PlatformAddress platform = new Settings.PlatformAddress(address("platform.address", false));
        Settings.Operator operator = new Settings.Operator(token());
        Settings.Limits limits = new Settings.Limits(
                (int) number("limits.body_bytes", 1, 64L * MEGABYTE),
                (int) number("limits.answer_bytes", 1, 64L * MEGABYTE),
                (int) number("limits.header_bytes", 1_024, MEGABYTE),
                (int) number("limits.connections", 1, 100_000),
                (int) number("limits.waiting", 1, 100_000),
                (int) number("limits.open", 1, 100_000));
        Settings.Timing timing = new Settings.Timing(
                number("timing.poll_millis", 100, 4_000, 2_000),
                number("timing.heartbeat_millis", 100, 10_000, 1_000),
                number("timing.lease_seconds", 2, 600, 10),
                number("timing.hold_millis", 1_000, 86_400_000, 60_000),
                number("timing.stop_millis", 0, 86_400_000, 60_000),
                number("timing.return_millis", 1_000, 86_400_000, 600_000));
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

    private JsonNode at(String key) {
        known.add(key);
        JsonNode n = root;
        for (String part : key.split("\\.")) {
            n = n.path(part);
        }
        return n;
    }

    private String text(String key, String want) throws SettingsException {
        JsonNode n = at(key);
        if (n.isMissingNode()) {
            throw new SettingsException(file, key, "is missing; give " + want);
        }
        if (!n.isTextual()) {
            throw new SettingsException(file, key, "has the wrong type; give " + want);
        }
        return n.textValue();
    }

    private String name(String key) throws SettingsException {
        String want = "a name of small letters, digits and hyphens, 63 at most, in quotes";
        String v = text(key, want);
        if (!NAME.matcher(v).matches()) {
            throw new SettingsException(file, key, "\"" + v + "\" is no name; give " + want);
        }
        return v;
    }

    private String token() throws SettingsException {
        String want = "a text of at least " + FEWEST_TOKEN_CHARS + " characters without spaces";
        String v = text("operator.token", want);
        if (v.length() < FEWEST_TOKEN_CHARS || v.chars().anyMatch(c -> c <= ' ')) {
            throw new SettingsException(file, "operator.token", "is too short or has spaces; give " + want);
        }
        return v;
    }

    private String address(String key, boolean mayBeZero) throws SettingsException {
        String want = "IP:PORT in quotes, such as \"127.0.0.1:8080\"";
        return checkAddress(key, text(key, want), mayBeZero, want);
    }

    private List<String> addresses(String key) throws SettingsException {
        JsonNode n = at(key);
        List<String> all = new ArrayList<>();
        if (n.isMissingNode()) {
            return all;
        }
        String want = "a list of IP:PORT in quotes";
        if (!n.isArray()) {
            throw new SettingsException(file, key, "has the wrong type; give " + want);
        }
        for (JsonNode a : n) {
            all.add(checkAddress(key, a.asText(), false, want));
        }
        return all;
    }

    private String checkAddress(String key, String v, boolean mayBeZero, String want) throws SettingsException {
        int colon = v.lastIndexOf(':');
        boolean good = colon > 0 && isIp(v.substring(0, colon)) && isPort(v.substring(colon + 1), mayBeZero);
        if (!good) {
            throw new SettingsException(file, key, "\"" + v + "\" is no address; give " + want);
        }
        return v;
    }

    private static boolean isIp(String s) {
        String[] parts = s.split("\\.", -1);
        if (parts.length != 4) {
            return false;
        }
        for (String p : parts) {
            if (!p.matches("[0-9]{1,3}") || Integer.parseInt(p) > 255) {
                return false;
            }
        }
        return true;
    }

    private static boolean isPort(String s, boolean mayBeZero) {
        if (!s.matches("[0-9]{1,5}")) {
            return false;
        }
        int p = Integer.parseInt(s);
        return p <= MOST_PORT && (p > 0 || mayBeZero);
    }

    private long number(String key, long least, long most) throws SettingsException {
        String want = "a whole number from " + least + " to " + most;
        JsonNode n = at(key);
        if (n.isMissingNode()) {
            throw new SettingsException(file, key, "is missing; give " + want);
        }
        if (!n.isIntegralNumber()) {
            throw new SettingsException(file, key, "has the wrong type; give " + want);
        }
        long v = n.longValue();
        if (!n.canConvertToLong() || v < least || v > most) {
            throw new SettingsException(file, key, n.asText() + " is out of range; give " + want);
        }
        return v;
    }

    private long number(String key, long least, long most, long otherwise) throws SettingsException {
        return at(key).isMissingNode() ? otherwise : number(key, least, most);
    }

    private void refuseUnknown(String prefix, JsonNode node) throws SettingsException {
        Iterator<String> names = node.fieldNames();
        while (names.hasNext()) {
            String name = names.next();
            String key = prefix + name;
            boolean table = known.stream().anyMatch(k -> k.startsWith(key + "."));
            if (table && !node.get(name).isObject()) {
                throw new SettingsException(file, key, "has the wrong type; give a table");
            }
            if (table) {
                refuseUnknown(key + ".", node.get(name));
            } else if (!known.contains(key)) {
                throw new SettingsException(file, key, "is unknown; known keys are " + String.join(", ", known));
            }
        }
    }
}
