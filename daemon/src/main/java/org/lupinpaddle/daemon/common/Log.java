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

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * Writes one line of key=value pairs for each event. Values with spaces or quotes are quoted. No secret is
 * ever given to it: tokens stay inside the class that compares them.
 */
public final class Log {

    private static final long FLUSH_MILLIS = 300;
    private static final long LOOK_MILLIS = 5;

    private static final BoundedWriter WRITER = started();

    private Log() {}

    private static BoundedWriter started() {
        long origin = System.nanoTime();
        BoundedWriter w =
                new BoundedWriter(() -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - origin), Log::write);
        Thread t = new Thread(w::run, "log");
        t.setDaemon(true);
        t.start();
        return w;
    }

    private static void write(BoundedWriter.Line line) {
        switch (line.level()) {
            case INFO -> Logger.info(line.text());
            case WARN -> Logger.warn(line.text());
            case ERROR -> Logger.error(line.text());
        }
    }

    /** Logs what only a developer wants to see; the fields are keys and values in turn. */
    public static void debug(String event, Object... fields) {
        if (Logger.isDebugEnabled()) {
            Logger.debug(line(event, fields));
        }
    }

    /** Logs an ordinary event; the fields are keys and values in turn. */
    public static void info(String event, Object... fields) {
        if (Logger.isInfoEnabled()) {
            WRITER.offer(kind(event, fields), new BoundedWriter.Line(BoundedWriter.Level.INFO, line(event, fields)));
        }
    }

    /** Logs an event that an operator should look at when awake. */
    public static void warn(String event, Object... fields) {
        if (Logger.isWarnEnabled()) {
            WRITER.offer(kind(event, fields), new BoundedWriter.Line(BoundedWriter.Level.WARN, line(event, fields)));
        }
    }

    /** Logs a fault of this program. */
    public static void error(String event, Throwable why) {
        StringWriter trace = new StringWriter();
        why.printStackTrace(new PrintWriter(trace));
        String text = line(event, "why", why, "trace", trace);
        WRITER.offer(event, new BoundedWriter.Line(BoundedWriter.Level.ERROR, text));
    }

    /** Returns how many lines have been left out since the process began. */
    public static long leftOut() {
        return WRITER.leftOut();
    }

    /** Waits a little for the lines that have been taken: the process is about to end. */
    public static void flush() {
        for (long waited = 0; waited < FLUSH_MILLIS && !WRITER.isIdle(); waited += LOOK_MILLIS) {
            try {
                TimeUnit.MILLISECONDS.sleep(LOOK_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    /** Rates are kept for each event, and for each kind of decision. */
    private static String kind(String event, Object... fields) {
        boolean kinds = fields.length >= 2 && fields[0].equals("kind");
        return kinds ? event + "/" + fields[1] : event;
    }

    static String line(String event, Object... fields) {
        StringBuilder s = new StringBuilder("event=").append(event);
        for (int i = 0; i + 1 < fields.length; i += 2) {
            s.append(' ').append(fields[i]).append('=').append(quoted(String.valueOf(fields[i + 1])));
        }
        return s.toString();
    }

    /** A loop, not a stream: each task makes three lines of a dozen fields, on the thread that decides. */
    private static boolean isPlain(String v) {
        for (int i = 0; i < v.length(); i++) {
            char c = v.charAt(i);
            if (c <= ' ' || c == '"' || c == '=') {
                return false;
            }
        }
        return true;
    }

    private static String quoted(String v) {
        if (isPlain(v)) {
            return v.isEmpty() ? "\"\"" : v;
        }
        String escaped = v.replace("\\", "\\\\")
                .replace("\"", "\\\"")
                .replace("\n", "\\n")
                .replace("\r", "\\r");
        return '"' + escaped + '"';
    }
}
