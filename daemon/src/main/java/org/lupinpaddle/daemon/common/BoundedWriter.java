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

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.lupinpaddle.core.common.Clock;

/**
 * Writes log lines on a thread of its own, so that no decision waits for a reader of standard output. What is more
 * than a rate for each kind of event, or does not fit into the queue, is left out and counted; the count is written
 * once a second.
 */
final class BoundedWriter {

    // Some 2 MB of lines: enough for a second at the rates below.
    private static final int MOST_WAITING = 8_192;
    // A busy entry decides some 400 times a second for each of the kinds of a task; ten times that is left out.
    private static final int LINES_PER_SECOND = 600;
    private static final int MOST_AT_ONCE = 1_200;
    private static final long SECOND_MILLIS = 1_000;
    private static final long LOOK_MILLIS = 200;

    private final BlockingQueue<Line> waiting = new ArrayBlockingQueue<>(MOST_WAITING);
    private final Map<String, Allowance> allowances = new HashMap<>();
    private final AtomicLong leftOut = new AtomicLong();
    private final AtomicLong written = new AtomicLong();
    private final AtomicLong taken = new AtomicLong();
    private final Clock clock;
    private final Consumer<Line> sink;

    /** How a line is to be marked. */
    enum Level {
        INFO,
        WARN,
        ERROR
    }

    /**
     * One line.
     *
     * @param level its level
     * @param text the key=value pairs
     */
    record Line(Level level, String text) {}

    /** What a kind of event may still write. */
    private static final class Allowance {
        double lines = MOST_AT_ONCE;
        long filledAt;
        long leftOut;
    }

    BoundedWriter(Clock clock, Consumer<Line> sink) {
        this.clock = clock;
        this.sink = sink;
    }

    /** Takes a line of a kind of event, or counts it as left out; never waits for the output. */
    void offer(String kind, Line line) {
        if (!allowed(kind) || !waiting.offer(line)) {
            leftOut.incrementAndGet();
        } else {
            taken.incrementAndGet();
        }
    }

    private synchronized boolean allowed(String kind) {
        long now = clock.millis();
        Allowance a = allowances.computeIfAbsent(kind, k -> {
            Allowance fresh = new Allowance();
            fresh.filledAt = now;
            return fresh;
        });
        double grown = a.lines + (now - a.filledAt) * (double) LINES_PER_SECOND / SECOND_MILLIS;
        a.lines = Math.min(MOST_AT_ONCE, grown);
        a.filledAt = now;
        if (a.lines < 1) {
            a.leftOut++;
            return false;
        }
        a.lines--;
        return true;
    }

    /** Returns how many lines have been left out. */
    long leftOut() {
        return leftOut.get();
    }

    /** Writes what waits, for as long as the thread lives. */
    void run() {
        long toldAt = clock.millis();
        try {
            while (true) {
                Line line = waiting.poll(LOOK_MILLIS, TimeUnit.MILLISECONDS);
                if (line != null) {
                    sink.accept(line);
                    written.incrementAndGet();
                }
                if (clock.millis() - toldAt >= SECOND_MILLIS) {
                    toldAt = clock.millis();
                    tellLeftOut();
                }
            }
        } catch (InterruptedException e) {
            // The process ends; what still waits is not written.
            Thread.currentThread().interrupt();
        }
    }

    /** Writes one line for each kind of which lines were left out since the last time. */
    synchronized void tellLeftOut() {
        allowances.forEach((kind, a) -> {
            if (a.leftOut > 0) {
                sink.accept(new Line(Level.WARN, "event=log-lines-left-out kind=" + kind + " count=" + a.leftOut));
                a.leftOut = 0;
            }
        });
    }

    /** Returns whether all that was taken has been written. */
    boolean isIdle() {
        return written.get() == taken.get();
    }
}
