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
package org.lupinpaddle.standins.jobs;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.lupinpaddle.standins.JsonHttp;

/**
 * One incarnation of a worker: fencing tokens, deadlines, run numbers and numbered ends, as the protocol specifies. A
 * task takes as long as {@code millis=N} in its text says, or one second without it. With {@code lasts} in its text it
 * runs until it is stopped; with {@code fails} it fails.
 */
final class JobWorkerIncarnation {

    private static final Pattern MILLIS = Pattern.compile("millis=(\\d+)");
    private static final long DEFAULT_MILLIS = 1_000;
    private static final long WARM_UP_MILLIS = 500;
    private static final int ALL_PERCENT = 100;

    private final long bornMillis;
    private final LongSupplier clock;
    private final Map<String, Run> running = new TreeMap<>();
    private final Map<String, Integer> highestClosedRun = new HashMap<>();
    private final List<End> ends = new ArrayList<>();
    private long fence;
    private long deadline;
    private long nextEnd = 1;

    private record Run(int number, String text, long startedAt) {
        long millis() {
            Matcher m = MILLIS.matcher(text);
            return m.find() ? Long.parseLong(m.group(1)) : DEFAULT_MILLIS;
        }

        boolean isLongRunning() {
            return text.contains("lasts");
        }

        long percent(long now) {
            long duration = isLongRunning() ? WARM_UP_MILLIS : millis();
            return Math.min(ALL_PERCENT, (now - startedAt) * ALL_PERCENT / Math.max(1, duration));
        }
    }

    private record End(long number, String task, int run, String kind) {}

    JobWorkerIncarnation(long bornMillis, LongSupplier clock) {
        this.bornMillis = bornMillis;
        this.clock = clock;
    }

    long bornMillis() {
        return bornMillis;
    }

    boolean isRunning(String task, int run) {
        Run current = running.get(task);
        return current != null && current.number == run;
    }

    /** Returns the reason if the start is refused, otherwise an empty string. */
    String start(JsonNode order) {
        if (isFenced(order)) {
            return "fence";
        }
        long orderDeadline = order.path("deadlineMs").asLong();
        if (orderDeadline < clock.getAsLong()) {
            return "late";
        }
        deadline = Math.max(deadline, orderDeadline);
        String task = order.path("task").asText();
        int run = order.path("run").asInt();
        Run current = running.get(task);
        if (current != null && current.number == run) {
            return "";
        }
        if (current != null || run <= highestClosedRun.getOrDefault(task, 0)) {
            return "old";
        }
        running.put(task, new Run(run, order.path("spec").asText(), clock.getAsLong()));
        return "";
    }

    /** Returns the reason if the stop is refused, otherwise an empty string. */
    String stop(JsonNode order) {
        if (isFenced(order)) {
            return "fence";
        }
        String task = order.path("task").asText();
        int run = order.path("run").asInt();
        Run current = running.get(task);
        if (current != null && current.number <= run) {
            end(task, "stopped");
        }
        highestClosedRun.merge(task, run, Math::max);
        return "";
    }

    /** Checks only the fencing token of an order; returns the reason if it is refused, otherwise an empty string. */
    String checkFence(JsonNode order) {
        return isFenced(order) ? "fence" : "";
    }

    private boolean isFenced(JsonNode order) {
        long token = order.path("fencingToken").asLong();
        boolean outdated = token < fence;
        fence = Math.max(fence, token);
        return outdated;
    }

    /** Applies the deadline of a hold and removes the ends that it acknowledges. */
    void acceptHold(JsonNode hold) {
        deadline = Math.max(deadline, hold.path("deadlineMs").asLong());
        ends.removeIf(e -> e.number <= hold.path("lastSeen").asLong());
    }

    boolean hasEnds() {
        return !ends.isEmpty();
    }

    /** Ends the runs that are done, failed or past the deadline. */
    void endDueRuns() {
        long now = clock.getAsLong();
        for (Map.Entry<String, Run> e : List.copyOf(running.entrySet())) {
            Run r = e.getValue();
            if (now > deadline) {
                end(e.getKey(), "lapsed");
            } else if (r.text.contains("fails")) {
                end(e.getKey(), "failed");
            } else if (!r.isLongRunning() && now - r.startedAt >= r.millis()) {
                end(e.getKey(), "done");
            }
        }
    }

    private void end(String task, String kind) {
        Run r = running.remove(task);
        if (r != null) {
            highestClosedRun.merge(task, r.number, Math::max);
            ends.add(new End(nextEnd++, task, r.number, kind));
        }
    }

    ObjectNode holdAnswer() {
        long now = clock.getAsLong();
        ObjectNode answer = JsonHttp.object().put("born", bornMillis).put("clockMs", now);
        ArrayNode all = answer.putArray("running");
        running.forEach((task, r) -> all.addArray()
                .add(task)
                .add(r.number)
                .add("")
                .add(r.percent(now))
                .add(0));
        ArrayNode finished = answer.putArray("finished");
        ends.forEach(e -> finished.addArray()
                .add(e.number)
                .add(e.task)
                .add(e.run)
                .add(e.kind)
                .add(""));
        return answer;
    }
}
