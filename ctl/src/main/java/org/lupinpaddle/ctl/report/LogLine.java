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

import java.time.LocalDateTime;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.time.format.DateTimeParseException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One line of an entry's log.
 *
 * @param atMillis when it was written: by the number of seconds that whoever gathered the lines has put in front, else
 *     by the line's own time of day
 * @param event the event's name
 * @param fields the other pairs; those inside a quoted {@code why} are among them
 */
record LogLine(long atMillis, String event, Map<String, String> fields) {

    private static final Pattern GATHERED = Pattern.compile("^\\s*(-?\\d+\\.\\d+)\\s");
    private static final Pattern DATED = Pattern.compile("(\\d{4}-\\d\\d-\\d\\d \\d\\d:\\d\\d:\\d\\d\\.\\d{3}) level=");
    private static final Pattern PAIR = Pattern.compile("([a-z-]+)=(?:\"((?:[^\"\\\\]|\\\\.)*)\"|(\\S+))");
    private static final DateTimeFormatter TIME = DateTimeFormatter.ofPattern("yyyy-MM-dd HH:mm:ss.SSS");
    private static final String EVENT = "event=";
    private static final int MILLIS = 1_000;

    /** Returns the event of a line, or nothing where the line has none or no time. */
    static Optional<LogLine> parse(String line) {
        int at = line.indexOf(EVENT);
        if (at < 0) {
            return Optional.empty();
        }
        Map<String, String> fields = new HashMap<>();
        addPairs(line.substring(at), fields);
        String event = fields.getOrDefault("event", "");
        return time(line.substring(0, at)).map(t -> new LogLine(t, event, fields));
    }

    private static void addPairs(String text, Map<String, String> fields) {
        Matcher m = PAIR.matcher(text);
        while (m.find()) {
            String quoted = m.group(2);
            fields.putIfAbsent(m.group(1), quoted == null ? m.group(3) : quoted);
            if (quoted != null) {
                addPairs(quoted, fields);
            }
        }
    }

    private static Optional<Long> time(String head) {
        Matcher gathered = GATHERED.matcher(head);
        if (gathered.find()) {
            return Optional.of(Math.round(Double.parseDouble(gathered.group(1)) * MILLIS));
        }
        Matcher dated = DATED.matcher(head);
        if (!dated.find()) {
            return Optional.empty();
        }
        try {
            LocalDateTime t = LocalDateTime.parse(dated.group(1), TIME);
            return Optional.of(t.toInstant(ZoneOffset.UTC).toEpochMilli());
        } catch (DateTimeParseException e) {
            // Not a time of day after all, as in a line that was cut.
            return Optional.empty();
        }
    }

    /** Returns a field's text; empty where there is none. */
    String text(String field) {
        return fields.getOrDefault(field, "");
    }

    /** Returns a field's whole number, or the other where there is none. */
    long number(String field, long other) {
        try {
            return Long.parseLong(text(field));
        } catch (NumberFormatException e) {
            return other;
        }
    }

    /** Returns whether this is a decision of the kind. */
    boolean decides(String kind) {
        return event.equals("decision") && text("kind").equals(kind);
    }
}
