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
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;

/**
 * Reads checked values out of a settings file in TOML. What is missing, of a wrong type, out of range or
 * unknown is one line with the file, the key and what would be right.
 */
final class TomlChecks {

    private static final int FEWEST_TOKEN_CHARS = 16;
    private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final int MOST_PORT = 65_535;

    private final String file;
    private final JsonNode root;
    private final Set<String> known = new TreeSet<>();

    private TomlChecks(String file, JsonNode root) {
        this.file = file;
        this.root = root;
    }

    /** Returns the text of a file, or says why it can not be read. */
    static String load(Path path) throws SettingsException {
        try {
            return Files.readString(path);
        } catch (NoSuchFileException e) {
            throw new SettingsException(path.toString(), "file", "does not exist; give an existing TOML file");
        } catch (IOException e) {
            throw new SettingsException(path.toString(), "file", "can not be read: " + e.getMessage());
        }
    }

    /** Parses a text; the file's name is for messages. */
    static TomlChecks parse(String file, String text) throws SettingsException {
        try {
            return new TomlChecks(file, new TomlMapper().readTree(text));
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 0 : e.getLocation().getLineNr();
            throw new SettingsException(file, "line " + line, "is not TOML: " + e.getOriginalMessage());
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

    String text(String key, String want) throws SettingsException {
        JsonNode n = at(key);
        if (n.isMissingNode()) {
            throw new SettingsException(file, key, "is missing; give " + want);
        }
        if (!n.isTextual()) {
            throw new SettingsException(file, key, "has the wrong type; give " + want);
        }
        return n.textValue();
    }

    /** Returns whether a table is there. */
    boolean has(String key) {
        return !root.path(key).isMissingNode();
    }

    String token(String key) throws SettingsException {
        String want = "a text of at least " + FEWEST_TOKEN_CHARS + " characters without spaces";
        String v = text(key, want);
        if (v.length() < FEWEST_TOKEN_CHARS || v.chars().anyMatch(c -> c <= ' ')) {
            throw new SettingsException(file, key, "is too short or has spaces; give " + want);
        }
        return v;
    }

    String name(String key) throws SettingsException {
        String want = "a name of small letters, digits and hyphens, 63 at most, in quotes";
        String v = text(key, want);
        if (!NAME.matcher(v).matches()) {
            throw new SettingsException(file, key, "\"" + v + "\" is no name; give " + want);
        }
        return v;
    }

    /** Returns a set of names; empty if it is missing. */
    Set<String> names(String key) throws SettingsException {
        JsonNode n = at(key);
        Set<String> all = new LinkedHashSet<>();
        if (n.isMissingNode()) {
            return all;
        }
        String want = "a list of names of small letters, digits and hyphens, 63 at most, in quotes";
        if (!n.isArray()) {
            throw new SettingsException(file, key, "has the wrong type; give " + want);
        }
        for (JsonNode a : n) {
            if (!a.isTextual() || !NAME.matcher(a.textValue()).matches()) {
                throw new SettingsException(file, key, a + " is no name; give " + want);
            }
            all.add(a.textValue());
        }
        return all;
    }

    String address(String key, boolean mayBeZero) throws SettingsException {
        String want = "IP:PORT in quotes, such as \"127.0.0.1:8080\"";
        return checkAddress(key, text(key, want), mayBeZero, want);
    }

    List<String> addresses(String key) throws SettingsException {
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

    long number(String key, long least, long most) throws SettingsException {
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

    long number(String key, long least, long most, long otherwise) throws SettingsException {
        return at(key).isMissingNode() ? otherwise : number(key, least, most);
    }

    /** Returns a time, given in milliseconds with or without a fraction, rounded up; the other where it is missing. */
    long millis(String key, long otherwise) throws SettingsException {
        JsonNode n = at(key);
        if (n.isMissingNode()) {
            return otherwise;
        }
        if (!n.isNumber() || n.doubleValue() < 0) {
            throw new SettingsException(file, key, "has the wrong type; give milliseconds, 0 or more");
        }
        return (long) Math.ceil(n.doubleValue());
    }

    /**
     * Returns a time as {@link #millis(String, long)} does, where {@code least} to {@code most} and 0 are in range.
     */
    long millisOrZero(String key, long least, long most) throws SettingsException {
        double v = at(key).asDouble();
        long millis = millis(key, 0);
        if (Double.isNaN(v) || (millis != 0 && (millis < least || millis > most))) {
            throw new SettingsException(
                    file, key, at(key).asText() + " is out of range; give 0, or " + least + " to " + most + " ms");
        }
        return millis;
    }

    /** Returns a number above 0, with or without a fraction; the other where it is missing. */
    double fraction(String key, double otherwise) throws SettingsException {
        JsonNode n = at(key);
        if (n.isMissingNode()) {
            return otherwise;
        }
        if (!n.isNumber() || n.doubleValue() <= 0) {
            throw new SettingsException(file, key, "has the wrong type or is not above 0; give a number, such as 0.75");
        }
        return n.doubleValue();
    }

    /** Returns a time, given in seconds with or without a fraction, in milliseconds. */
    long seconds(String key) throws SettingsException {
        JsonNode n = at(key);
        if (!n.isNumber() || n.doubleValue() < 0) {
            throw new SettingsException(file, key, "is missing or has the wrong type; give seconds, 0 or more");
        }
        return Math.round(n.doubleValue() * MILLIS_PER_SECOND);
    }

    boolean flag(String key) throws SettingsException {
        JsonNode n = at(key);
        if (n.isMissingNode()) {
            throw new SettingsException(file, key, "is missing; give true or false");
        }
        if (!n.isBoolean()) {
            throw new SettingsException(file, key, "has the wrong type; give true or false");
        }
        return n.booleanValue();
    }

    /** Refuses every key that has not been asked for. */
    void refuseUnknown() throws SettingsException {
        refuseUnknown("", root);
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
