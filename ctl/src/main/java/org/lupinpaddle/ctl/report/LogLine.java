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
 * A line of an entry's log.
 *
 * @param atMillis when it was written: the relative time in seconds that a log collector has put in front, otherwise
 *     the timestamp of the line itself
 * @param event the name of the event
 * @param fields the other fields, including those inside a quoted {@code why}
 */
record LogLine(long atMillis, String event, Map<String, String> fields) {

    private static final Pattern RELATIVE_TIME = Pattern.compile("^\\s*(-?\\d+\\.\\d+)\\s");
    private static final Pattern TIMESTAMP =
            Pattern.compile("(\\d{4}-\\d\\d-\\d\\d \\d\\d:\\d\\d:\\d\\d\\.\\d{3}) level=");
    private static final Pattern FIELD = Pattern.compile("([a-z-]+)=(?:\"((?:[^\"\\\\]|\\\\.)*)\"|(\\S+))");
    private static final DateTimeFormatter TIMESTAMP_FORMAT = DateTimeFormatter.ofPattern("yyyy-MM-dd HH:mm:ss.SSS");
    private static final String EVENT_KEY = "event=";
    private static final int MILLIS_PER_SECOND = 1_000;

    /** Parses a line; returns nothing if it has no event or no time. */
    static Optional<LogLine> parse(String line) {
        int start = line.indexOf(EVENT_KEY);
        if (start < 0) {
            return Optional.empty();
        }
        Map<String, String> fields = new HashMap<>();
        addFields(line.substring(start), fields);
        String event = fields.getOrDefault("event", "");
        return time(line.substring(0, start)).map(t -> new LogLine(t, event, fields));
    }

    private static void addFields(String text, Map<String, String> fields) {
        Matcher matcher = FIELD.matcher(text);
        while (matcher.find()) {
            String quoted = matcher.group(2);
            fields.putIfAbsent(matcher.group(1), quoted == null ? matcher.group(3) : quoted);
            if (quoted != null) {
                addFields(quoted, fields);
            }
        }
    }

    private static Optional<Long> time(String prefix) {
        Matcher relative = RELATIVE_TIME.matcher(prefix);
        if (relative.find()) {
            return Optional.of(Math.round(Double.parseDouble(relative.group(1)) * MILLIS_PER_SECOND));
        }
        Matcher timestamp = TIMESTAMP.matcher(prefix);
        if (!timestamp.find()) {
            return Optional.empty();
        }
        try {
            LocalDateTime t = LocalDateTime.parse(timestamp.group(1), TIMESTAMP_FORMAT);
            return Optional.of(t.toInstant(ZoneOffset.UTC).toEpochMilli());
        } catch (DateTimeParseException e) {
            // Not a valid timestamp, for example in a truncated line.
            return Optional.empty();
        }
    }

    /** Returns the text of a field, or an empty string if it is missing. */
    String text(String field) {
        return fields.getOrDefault(field, "");
    }

    /** Returns the integer value of a field, or the default if it is missing or not an integer. */
    long number(String field, long defaultValue) {
        try {
            return Long.parseLong(text(field));
        } catch (NumberFormatException e) {
            return defaultValue;
        }
    }

    /** Returns whether this line logs a decision of the given kind. */
    boolean isDecision(String kind) {
        return event.equals("decision") && text("kind").equals(kind);
    }
}
