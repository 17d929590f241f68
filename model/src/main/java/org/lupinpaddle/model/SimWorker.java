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
package org.lupinpaddle.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.job.EndKind;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.job.TaskId;
import org.lupinpaddle.core.placement.Resources;
import org.lupinpaddle.core.placement.WorkerFacts;
import org.lupinpaddle.core.run.HoldOrder;
import org.lupinpaddle.core.run.HoldResponse;
import org.lupinpaddle.core.run.OrderOutcome;
import org.lupinpaddle.core.run.RunResult;
import org.lupinpaddle.core.run.RunStatus;
import org.lupinpaddle.core.run.StartOrder;
import org.lupinpaddle.core.run.StopOrder;

/**
 * One incarnation of a worker. It runs tasks until the lease on its own clock expires, and reports the ends of runs
 * until they are acknowledged.
 */
final class SimWorker {

    static final long MAX_HOLD_MILLIS = 10_000;
    static final long STOP_MILLIS = 300;
    private static final long WARM_UP_MILLIS = 500;
    private static final double MIN_CLOCK_RATE = 0.98;
    private static final ColdPhase WARM = new ColdPhase(1, 0);

    private final VirtualTime time;
    private final Rules rules;
    private final Random random;
    private final Supplier<Optional<CrashingTasks>> crashing;
    private final long startedAt;
    private final double clockRate;
    private WorkerFacts facts;
    /** The incarnation that had this id before; null if there was none. */
    private @Nullable SimWorker predecessor;

    private boolean up = true;
    private long removedAt = World.NEVER;
    private boolean leaseLapsedAtRemoval;
    private long drainingSince = World.NEVER;
    private long fence;
    private long leaseDeadline;
    private int leaseLapses;
    private long nextEnd = 1;
    private long firstAnswerAt = World.NEVER;
    private final Map<TaskKey, ActiveRun> running = new LinkedHashMap<>();
    private final Map<TaskKey, Integer> highestClosedRun = new HashMap<>();
    private final List<EndedRun> ends = new ArrayList<>();
    private final List<Runnable> pendingHolds = new ArrayList<>();
    boolean failsAllTasks;
    boolean stalled;
    double slowness = 1;
    private ColdPhase cold = WARM;
    private long coldUntil;

    /**
     * How a worker behaves after it was idle or has been replaced.
     *
     * @param slowness the factor by which runs that begin in this phase take longer
     * @param millis how long the phase lasts
     */
    record ColdPhase(double slowness, long millis) {

        private static final int MIN_MILLIS = 2_000;
        private static final int RANGE_MILLIS = 8_000;
        private static final double MIN_SLOWNESS = 1.5;
        private static final double SLOWNESS_RANGE = 4.5;

        /** Returns a random phase of 2 to 10 s with a factor of 1.5 to 6. */
        static ColdPhase random(Random random) {
            return new ColdPhase(
                    MIN_SLOWNESS + random.nextDouble() * SLOWNESS_RANGE, MIN_MILLIS + random.nextInt(RANGE_MILLIS));
        }
    }

    private record TaskKey(String job, TaskId task) {}

    private record EndedRun(RunResult report, int leaseLapsesBefore, CompletedRun completion) {}

    private static final class ActiveRun {
        final int run;
        final long begunAt;
        boolean stopping;
        boolean ended;

        ActiveRun(int run, long begunAt) {
            this.run = run;
            this.begunAt = begunAt;
        }
    }

    SimWorker(
            VirtualTime time,
            Rules rules,
            Random random,
            WorkerFacts facts,
            long ageMillis,
            Supplier<Optional<CrashingTasks>> crashing) {
        this.time = time;
        this.rules = rules;
        this.random = random;
        this.facts = facts;
        this.crashing = crashing;
        this.startedAt = time.now() - ageMillis;
        this.clockRate = MIN_CLOCK_RATE + random.nextDouble() * (1 - MIN_CLOCK_RATE);
    }

    String id() {
        return facts.id();
    }

    /** Records that it has restarted under the id of another incarnation. */
    SimWorker after(SimWorker previous) {
        predecessor = previous;
        return this;
    }

    /**
     * Returns whether it would begin this run as its first order although the start was sent to the incarnation
     * before, which crashed and did not end the run.
     */
    @SuppressWarnings("ReferenceEquality") // Incarnations have no other identity.
    boolean wouldBeginFirst(StartOrder o, SimWorker addressed) {
        return predecessor == addressed && fence == 0 && !addressed.hasEnded(o);
    }

    private boolean hasEnded(StartOrder o) {
        return o.run() <= highestClosedRun.getOrDefault(new TaskKey(o.jobId(), o.task()), 0);
    }

    /** Returns a key for this incarnation; several incarnations may share a worker id. */
    String incarnationId() {
        return facts.id() + "@" + facts.startMillis();
    }

    String hall() {
        return facts.hall();
    }

    String service() {
        return facts.service();
    }

    /** Returns its properties as of now, with the remaining time for which it is cold. */
    WorkerFacts facts() {
        long coldMillis = Math.max(0, coldUntil - time.now());
        return coldMillis == 0
                ? facts
                : new WorkerFacts(
                        facts.id(),
                        facts.startMillis(),
                        facts.service(),
                        facts.address(),
                        facts.hall(),
                        facts.draining(),
                        facts.remainingMillis(),
                        facts.capacity(),
                        facts.labels(),
                        coldMillis);
    }

    /** Makes the worker cold from now on. */
    void chill(ColdPhase phase) {
        cold = phase;
        coldUntil = time.now() + phase.millis();
    }

    private double coldSlowness() {
        return time.now() < coldUntil ? cold.slowness() : 1;
    }

    boolean isUp() {
        return up;
    }

    /** Returns whether it works at its usual speed and without failing tasks on purpose. */
    boolean isSound() {
        return !failsAllTasks && !stalled && slowness == 1;
    }

    long drainingSince() {
        return drainingSince;
    }

    boolean isEmpty() {
        return running.isEmpty();
    }

    /** Returns its clock in milliseconds. */
    long clock() {
        return (long) ((time.now() - startedAt) * clockRate);
    }

    void drain(long remainingMillis) {
        drainingSince = time.now();
        facts = new WorkerFacts(
                facts.id(),
                facts.startMillis(),
                facts.service(),
                facts.address(),
                facts.hall(),
                true,
                remainingMillis,
                facts.capacity(),
                facts.labels());
    }

    /** Simulates a crash that no order caused. */
    void crashUnexpectedly() {
        running.keySet().forEach(key -> rules.onWorkerCrash(key.job, key.task));
        crash();
    }

    /** Stops the worker together with all its runs. */
    void crash() {
        up = false;
        running.forEach((key, r) -> {
            r.ended = true;
            rules.onRunEnded(this, key.job, key.task, r.run, EndKind.LAPSED);
        });
        running.clear();
    }

    /** Stops the worker because of an order. */
    void removeByOrder(String order) {
        removedAt = time.now();
        leaseLapsedAtRemoval = clock() >= leaseDeadline;
        running.forEach((key, r) -> rules.onRemovedByOrder(this, key.job, key.task, order));
        crash();
    }

    OrderOutcome start(StartOrder o, long orderFence, Rules.Sender sender) {
        if (orderFence < fence) {
            return OrderOutcome.FENCED;
        }
        fence = orderFence;
        if (o.deadlineMillis() < clock()) {
            return OrderOutcome.LATE;
        }
        extendLease(o.deadlineMillis());
        TaskKey key = new TaskKey(o.jobId(), o.task());
        ActiveRun current = running.get(key);
        if (current != null && current.run == o.run()) {
            return current.stopping ? OrderOutcome.OLD_RUN : OrderOutcome.ACCEPTED;
        }
        if (current != null || o.run() <= highestClosedRun.getOrDefault(key, 0)) {
            return OrderOutcome.OLD_RUN;
        }
        StepSpec step = World.step(rules, o.jobId(), o.task());
        if (step != null && !freeRoom().canHold(Resources.of(step))) {
            return OrderOutcome.NO_ROOM;
        }
        rules.onStart(this, o, sender);
        beginRun(key, o.run(), step);
        return OrderOutcome.ACCEPTED;
    }

    /** Returns the room that its runs leave. */
    Resources freeRoom() {
        Resources used = Resources.NONE;
        for (TaskKey key : running.keySet()) {
            StepSpec s = World.step(rules, key.job, key.task);
            used = s == null ? used : used.plus(Resources.of(s));
        }
        return facts.capacity().minus(used);
    }

    private void beginRun(TaskKey key, int run, @Nullable StepSpec step) {
        ActiveRun r = new ActiveRun(run, time.now());
        running.put(key, r);
        if (step == null || stalled) {
            return;
        }
        crashing.get().ifPresent(c -> scheduleCrash(c, key, r));
        boolean fails = failsAllTasks || World.alwaysFails(rules, key.job) || (run == 1 && random.nextInt(100) == 0);
        if (fails) {
            time.schedule(50 + random.nextInt(200), () -> endRunIfActive(key, r, EndKind.FAILED));
        } else if (step.longRunning()) {
            time.schedule(WARM_UP_MILLIS, () -> {
                if (!r.ended && up) {
                    rules.onServing(key.job, key.task);
                }
            });
        } else {
            long millis = (long) (World.taskMillis(rules, key.job, key.task) * slowness * coldSlowness());
            time.schedule(millis, () -> endRunIfActive(key, r, EndKind.DONE));
        }
    }

    private void scheduleCrash(CrashingTasks crashingTasks, TaskKey key, ActiveRun r) {
        crashingTasks
                .crashDelayMillis(key.job, key.task)
                .ifPresent(millis -> time.schedule(millis, () -> {
                    if (!r.ended && up) {
                        rules.onCrashByTask(key.job, key.task);
                        crashingTasks.onCrash(this, key.job, key.task);
                    }
                }));
    }

    private void endRunIfActive(TaskKey key, ActiveRun r, EndKind kind) {
        if (!r.ended && up) {
            endRun(key, r, kind);
        }
    }

    private void endRun(TaskKey key, ActiveRun r, EndKind kind) {
        r.ended = true;
        running.remove(key);
        highestClosedRun.merge(key, r.run, Math::max);
        rules.onRunEnded(this, key.job, key.task, r.run, kind);
        CompletedRun completion = new CompletedRun(this, leaseLapses);
        if (kind == EndKind.DONE) {
            rules.onTaskDone(key.job, key.task, completion);
        }
        ends.add(new EndedRun(new RunResult(nextEnd++, key.job, key.task, r.run, kind, ""), leaseLapses, completion));
        List<Runnable> waiting = List.copyOf(pendingHolds);
        pendingHolds.clear();
        waiting.forEach(Runnable::run);
    }

    OrderOutcome stop(StopOrder o, long orderFence) {
        if (orderFence < fence) {
            return OrderOutcome.FENCED;
        }
        fence = orderFence;
        TaskKey key = new TaskKey(o.jobId(), o.task());
        highestClosedRun.merge(key, o.run(), Math::max);
        ActiveRun r = running.get(key);
        if (r != null && r.run == o.run() && !r.stopping) {
            rules.onRemovedByOrder(this, o.jobId(), o.task(), "a stop");
            r.stopping = true;
            time.schedule(random.nextInt((int) STOP_MILLIS), () -> endRunIfActive(key, r, EndKind.STOPPED));
        }
        return OrderOutcome.ACCEPTED;
    }

    private void extendLease(long deadlineMillis) {
        long maxDeadline = clock() + MAX_HOLD_MILLIS;
        if (clock() >= leaseDeadline) {
            // Counts a lapse even if nothing runs, because the worker may then forget the ends that it holds under the
            // lease.
            leaseLapses++;
        }
        leaseDeadline = Math.max(leaseDeadline, Math.min(deadlineMillis, maxDeadline));
        long remaining = (long) ((leaseDeadline - clock()) / clockRate) + 1;
        time.schedule(remaining, this::expireLeaseIfDue);
    }

    private void expireLeaseIfDue() {
        if (up && clock() >= leaseDeadline && !running.isEmpty()) {
            new ArrayList<>(running.entrySet()).forEach(e -> endRun(e.getKey(), e.getValue(), EndKind.LAPSED));
        }
    }

    /** Answers a hold immediately if runs have ended; otherwise when a run ends or the wait time is over. */
    void hold(HoldOrder o, long orderFence, Consumer<HoldResponse> answer, Runnable fenced) {
        if (orderFence < fence) {
            fenced.run();
            return;
        }
        fence = orderFence;
        if (o.deadlineMillis() > 0) {
            extendLease(o.deadlineMillis());
        }
        acknowledge(o.acknowledgedUpTo());
        boolean[] answered = new boolean[1];
        Runnable answerOnce = () -> {
            if (!answered[0] && up) {
                answered[0] = true;
                answer.accept(answer());
            }
        };
        if (!ends.isEmpty() || o.waitMillis() == 0) {
            answerOnce.run();
        } else {
            pendingHolds.add(answerOnce);
            time.schedule(o.waitMillis(), answerOnce);
        }
    }

    private void acknowledge(long upTo) {
        while (!ends.isEmpty() && ends.get(0).report.number() <= upTo) {
            EndedRun e = ends.remove(0);
            rules.onAcknowledged(this, e.report, leaseLapses > e.leaseLapsesBefore);
        }
    }

    /**
     * Returns whether an owner can still learn of a completed run from this worker, or could have before an order
     * stopped the worker.
     */
    boolean retains(CompletedRun e) {
        boolean held = leaseLapses == e.leaseLapsesBefore;
        if (up) {
            return held && clock() < leaseDeadline;
        }
        return held && removedAt != World.NEVER && !leaseLapsedAtRemoval && e.wasReportedBefore(removedAt);
    }

    /** Returns whether its first answer to a hold was at least this long ago. */
    boolean hasAnsweredFor(long millis) {
        return time.now() - firstAnswerAt >= millis;
    }

    private HoldResponse answer() {
        firstAnswerAt = Math.min(firstAnswerAt, time.now());
        ends.forEach(e -> e.completion.reported(time.now()));
        return new HoldResponse(
                facts.startMillis(),
                clock(),
                runningReports(),
                ends.stream().map(EndedRun::report).toList());
    }

    /** Returns the active runs in the form of an answer to a hold. */
    List<RunStatus> runningReports() {
        List<RunStatus> all = new ArrayList<>();
        running.forEach((key, r) -> all.add(new RunStatus(key.job, key.task, r.run, "", percent(r), -1)));
        return all;
    }

    private int percent(ActiveRun r) {
        return stalled ? 0 : (int) Math.min(100, (time.now() - r.begunAt) * 100 / WARM_UP_MILLIS);
    }
}
