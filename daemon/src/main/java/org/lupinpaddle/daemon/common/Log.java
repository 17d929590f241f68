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
package org.lupinpaddle.daemon.common;

import org.tinylog.Logger;

/**
 * Writes one line of key=value pairs for each event. Values with spaces or quotes are quoted. No secret is
 * ever given to it: tokens stay inside the class that compares them.
 */
public final class Log {

    private Log() {}

    /** Logs what only a developer wants to see; the fields are keys and values in turn. */
    public static void debug(String event, Object... fields) {
        if (Logger.isDebugEnabled()) {
            Logger.debug(line(event, fields));
        }
    }

    /** Logs an ordinary event; the fields are keys and values in turn. */
    public static void info(String event, Object... fields) {
        if (Logger.isInfoEnabled()) {
            Logger.info(line(event, fields));
        }
    }

    /** Logs an event that an operator should look at when awake. */
    public static void warn(String event, Object... fields) {
        if (Logger.isWarnEnabled()) {
            Logger.warn(line(event, fields));
        }
    }

    /** Logs a fault of this program. */
    public static void error(String event, Throwable why) {
        Logger.error(why, line(event, "why", why));
    }

    static String line(String event, Object... fields) {
        StringBuilder s = new StringBuilder("event=").append(event);
        for (int i = 0; i + 1 < fields.length; i += 2) {
            s.append(' ').append(fields[i]).append('=').append(quoted(String.valueOf(fields[i + 1])));
        }
        return s.toString();
    }

    private static String quoted(String v) {
        if (v.chars().noneMatch(c -> c <= ' ' || c == '"' || c == '=')) {
            return v.isEmpty() ? "\"\"" : v;
        }
        String escaped = v.replace("\\", "\\\\")
                .replace("\"", "\\\"")
                .replace("\n", "\\n")
                .replace("\r", "\\r");
        return '"' + escaped + '"';
    }
}
