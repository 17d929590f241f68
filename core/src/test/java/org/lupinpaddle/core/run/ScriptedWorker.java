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
package org.lupinpaddle.core.run;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;
import org.lupinpaddle.core.job.EndKind;
import org.lupinpaddle.core.job.TaskId;

/** A worker that obeys the protocol, one incarnation at a time; a restart under its id makes it forget everything. */
final class ScriptedWorker {

    final String id;
    private final RunJudge judge;
    private final Map<Task, Integer> running = new HashMap<>();
    private final Map<Task, Long> begunAt = new HashMap<>();
    private final Map<Task, Integer> highestClosed = new HashMap<>();
    private final List<RunResult> ends = new ArrayList<>();
    private long fence;
    private long deadline;
    private long lastEnd;
    private long now;
    private long clockBase;
    private long clockBaseAt;

    long born;
    /** How far ahead the deadline of an order may be. */
    long longestHoldMillis = 10_000;
    /** The progress in percent that it reports of a task. */
    ToIntFunction<Task> progress = t -> 10;
    /** By how much its clock advances in a millisecond. */
    double clockRate = 1;

    int incarnation = 1;
    /** Whether no call reaches it and none of its answers arrives. */
    boolean cut;
    /** Whether its process has ended and the next one has not started. */
    boolean down;
    /** When it first answered a poll in this incarnation; -1 before. */
    long firstAnswerAt = -1;

    /** A task, as orders name it. */
    record Task(String job, TaskId id) {}

    ScriptedWorker(String id, long born, long clockMillis, RunJudge judge) {
        this.id = id;
        this.born = born;
        this.judge = judge;
        this.clockBase = clockMillis;
    }

    /** Ends with all that it runs; it executes nothing until it starts again. */
    void crash() {
        running.keySet().forEach(t -> judge.ended(this, t));
        running.clear();
        down = true;
    }

    /** Starts again under the same id, with a clock that starts at 0. */
    void restart(long nextBorn) {
        restart(nextBorn, 0);
    }

    /** Starts again under the same id, with a clock that starts at this value. */
    void restart(long nextBorn, long clockMillis) {
        crash();
        down = false;
        highestClosed.clear();
        ends.clear();
        fence = 0;
        deadline = 0;
        lastEnd = 0;
        clockBase = clockMillis;
        clockBaseAt = now;
        born = nextBorn;
        incarnation++;
        firstAnswerAt = -1;
    }

    void advanceTo(long millis) {
        now = millis;
        if (clock() > deadline) {
            List.copyOf(running.keySet()).forEach(t -> end(t, EndKind.LAPSED));
        }
    }

    long clock() {
        return clockBase + (long) ((now - clockBaseAt) * clockRate);
    }

    /** Returns whether this incarnation has executed an order. */
    boolean hasExecutedAnOrder() {
        return fence > 0;
    }

    /** Returns the tasks that it runs. */
    List<Task> tasks() {
        return List.copyOf(running.keySet());
    }

    /** Returns for how long it has been running a task. */
    long elapsedMillis(Task t) {
        return now - begunAt.getOrDefault(t, now);
    }

    OrderOutcome start(StartOrder o, long token) {
        if (isFenced(token)) {
            return OrderOutcome.FENCED;
        }
        if (o.deadlineMillis() < clock()) {
            return OrderOutcome.LATE;
        }
        extendDeadline(o.deadlineMillis());
        Task t = new Task(o.jobId(), o.task());
        Integer present = running.get(t);
        if (present != null) {
            return present == o.run() ? OrderOutcome.ACCEPTED : OrderOutcome.OLD_RUN;
        }
        if (o.run() <= highestClosed.getOrDefault(t, 0)) {
            return OrderOutcome.OLD_RUN;
        }
        running.put(t, o.run());
        begunAt.put(t, now);
        judge.began(this, t, o.run());
        return OrderOutcome.ACCEPTED;
    }

    OrderOutcome stop(StopOrder o, long token) {
        if (isFenced(token)) {
            return OrderOutcome.FENCED;
        }
        Task t = new Task(o.jobId(), o.task());
        Integer present = running.get(t);
        if (present != null && present <= o.run()) {
            end(t, EndKind.STOPPED);
        }
        highestClosed.merge(t, o.run(), Math::max);
        return OrderOutcome.ACCEPTED;
    }

    /** Carries out a hold and returns whether it is answered with the lists. */
    boolean hold(HoldOrder o, long token) {
        if (isFenced(token)) {
            return false;
        }
        extendDeadline(o.deadlineMillis());
        ends.removeIf(e -> {
            boolean seen = e.number() <= o.acknowledgedUpTo();
            if (seen && e.kind() == EndKind.DONE) {
                judge.acknowledged(new Task(e.jobId(), e.task()));
            }
            return seen;
        });
        return true;
    }

    boolean hasEnds() {
        return !ends.isEmpty();
    }

    HoldResponse lists() {
        if (firstAnswerAt < 0) {
            firstAnswerAt = now;
        }
        List<RunStatus> listed = running.entrySet().stream()
                .map(e -> new RunStatus(
                        e.getKey().job, e.getKey().id, e.getValue(), "", progress.applyAsInt(e.getKey()), -1))
                .toList();
        return new HoldResponse(born, clock(), listed, List.copyOf(ends));
    }

    boolean runs(String job) {
        return running.keySet().stream().anyMatch(t -> t.job.equals(job));
    }

    /** Ends the running task of a job. */
    void end(String job, EndKind how) {
        running.keySet().stream().filter(t -> t.job.equals(job)).toList().forEach(t -> end(t, how));
    }

    void end(Task t, EndKind how) {
        Integer run = running.remove(t);
        if (run == null) {
            return;
        }
        lastEnd++;
        ends.add(new RunResult(lastEnd, t.job, t.id, run, how, ""));
        highestClosed.merge(t, run, Math::max);
        judge.ended(this, t);
        if (how == EndKind.DONE) {
            judge.done(t);
        }
    }

    private boolean isFenced(long token) {
        boolean outdated = token < fence;
        fence = Math.max(fence, token);
        return outdated;
    }

    private void extendDeadline(long millis) {
        deadline = Math.max(deadline, Math.min(millis, clock() + longestHoldMillis));
    }

    @Override
    public String toString() {
        return id + " in incarnation " + incarnation;
    }
}
