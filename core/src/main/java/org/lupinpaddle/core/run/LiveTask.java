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
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.job.TaskId;
import org.lupinpaddle.core.job.TaskRecord;
import org.lupinpaddle.core.placement.PlacementRequest;
import org.lupinpaddle.core.placement.StepRepetition;
import org.lupinpaddle.core.placement.WorkerIncarnation;

/** One task at the owner of its service: where it runs and what has become of its runs. */
final class LiveTask {

    /** Where a task is between being wanted and being done. */
    enum Phase {
        /** No worker holds it. */
        WAITING,
        /** A worker is chosen; the choice is being written. */
        PLACED,
        /** The start has gone out and is not known to have been carried out. */
        STARTING,
        /** The worker has said that it runs. */
        RUNNING,
        /** A stop has been asked for; the worker may still run it, or start it late. */
        STOPPING,
        /** An earlier owner placed it; its worker has not told yet what became of it. */
        RECOVERING,
        /** It needs no further run. */
        DONE;

        /** Returns whether the task takes room on its worker. */
        boolean onWorker() {
            return this != WAITING && this != DONE;
        }
    }

    private static final int ALL_PERCENT = 100;
    private static final WorkerIncarnation NO_LIFE = new WorkerIncarnation("", WorkerIncarnation.UNKNOWN_START);

    // From the third attempt on, another rack is tried: two failures on one may be the rack's.
    private static final int ATTEMPTS_BEFORE_OTHER_RACK = 2;

    // So long a task waits for a worker on which it has not failed, and longer with each failure: an instance
    // comes into a pool within 2 s, and a worker that fails everything had better not get the last attempt.
    private static final long ELSEWHERE_MILLIS = 4_000;
    // So long the last attempt waits for a worker on which something has ended well: two that fail everything, with a
    // chance failure before, use up three attempts within 0.4 s, before anything can speak against them. The platform
    // lets a job have nothing at work for 3 s. A job that has failed where others end well is not kept waiting for its
    // answer.
    private static final long PROVEN_MILLIS = 2_500;
    // So long a suspect waits for a worker on which it takes nothing with it; the same time, for the same reason.
    private static final long COMPANY_MILLIS = 2_500;
    // What crashes its worker as it starts has done so after this; what does so after a part of its work had run as
    // long before.
    private static final long ISOLATION_MILLIS = 3_000;
    // One that had run for long before its worker crashed keeps a whole worker for no longer than this.
    private static final long MOST_ISOLATION_MILLIS = 10_000;

    final LiveJob job;
    final TaskId id;
    final StepSpec step;
    final StepRepetition stepTime;
    /** The step and time that it belongs to. */
    final LiveStep of;

    Phase phase = Phase.WAITING;
    int run;
    int failures;
    int lastFailedRun;
    /** How many workers have crashed while they ran it, and how many that may not have begun it yet. */
    int crashes;

    int doubtfulCrashes;
    /** The losses of workers that this owner counts as crashes under it. */
    final List<LossLog.Loss> certainLosses = new ArrayList<>();
    /** The longest that a run of it was at work before its worker crashed. */
    private long ranBeforeCrashMillis;

    Suspicion suspicion = Suspicion.NONE;
    private long companyUntil = Long.MIN_VALUE;
    String checkpoint = "";
    /** What a start must carry where its queue asks for advice; empty elsewhere. */
    String ticket = "";

    @Nullable
    LiveWorker worker;
    /** The life of its worker that its newest run was given to. */
    WorkerIncarnation incarnation = NO_LIFE;

    /** The job's version that must be durable before the start goes out. */
    long placedVersion;
    /** How often the start of this run was sent without an answer. */
    int unanswered;
    /** When an order for it is due next. */
    long orderDueAt;

    boolean orderInFlight;
    /** Whether its worker is being asked for a sign of life before the start goes out. */
    boolean probeInFlight;
    /** When its newest start, or the probe before it, went out. */
    long orderSentAt;
    /** From when on a hold that does not list the run proves that it is gone. */
    long provenFrom = Long.MAX_VALUE;

    int percent;
    /** What the worker told last: the tail of answer times of a serving task in milliseconds; -1 while not known. */
    long load = -1;
    /** The share of its speed at which it is to work, and since when. */
    int pace = 100;

    long pacedAt = Long.MIN_VALUE / 2;
    boolean paceKnown = true;
    /** Whether an earlier owner may have set another share: nobody else knows that. */
    boolean paceInherited;

    boolean paceInFlight;
    long paceDueAt;
    /** Since when nothing that serves beside it is near its target. */
    long comfortableSince = Long.MAX_VALUE;
    /** Since when no worker holds it; unknown while it has never been on one. */
    private long waitingSince = Long.MIN_VALUE;
    /** When its worker is known to have begun this run, and whether from the beginning. */
    long begunAt = Long.MAX_VALUE;

    boolean begunAfresh;
    /** How long the run that left its worker last was known to be at work. */
    long ranMillis;
    /** When its progress was last seen to grow. */
    long movedAt = Long.MAX_VALUE;
    /** How many answers of its worker since then have shown the same progress. */
    int unmovedAnswers;
    /** Whether an earlier owner has started its run, and may have ordered its end. */
    boolean inherited;
    /** An older run, or another member of its gang, has done the work: it is done once it is off its worker. */
    boolean finished;

    private long elsewhereUntil = Long.MIN_VALUE;
    private long provenUntil = Long.MIN_VALUE;
    /** Whether it has failed on a worker on which the run before had ended well: then it may fail by itself. */
    boolean failedWhereOthersEndWell;
    /** Workers that are avoided, by their names, with the life and the moment of the newest reason. */
    private final Map<String, Avoided> avoided = new HashMap<>();

    private final Set<String> failedDomains = new HashSet<>();

    private record Avoided(LiveWorker worker, long since) {}

    LiveTask(LiveStep of, TaskId id) {
        this.of = of;
        this.job = of.job;
        this.id = id;
        this.step = of.spec;
        this.stepTime = new StepRepetition(job.spec.key(), id.time(), id.step());
    }

    void enter(Phase next, long now) {
        become(next);
        orderDueAt = now;
        unanswered = 0;
        provenFrom = Long.MAX_VALUE;
    }

    /** Goes into a phase, and nothing else. */
    void become(Phase next) {
        of.moved(phase, next);
        phase = next;
    }

    /** Takes the task off its worker; it waits for a new run, or is done. */
    void leaveWorker(Phase next, long now) {
        if (worker != null) {
            worker.remove(this);
        }
        worker = null;
        probeInFlight = false;
        ranMillis = begunAt == Long.MAX_VALUE ? 0 : now - begunAt;
        inherited = false;
        percent = 0;
        begunAt = Long.MAX_VALUE;
        load = -1;
        pace = 100;
        paceKnown = true;
        paceInherited = false;
        paceInFlight = false;
        enter(next, now);
        waitingSince = now;
        if (next == Phase.DONE) {
            of.doneAt(now);
        }
    }

    /**
     * Takes over what an earlier owner has written. Where it failed is not written, and this owner knows no worker that fails
     * what it runs: the last attempt waits for one that is seen to do well, as under the owner that counted the others.
     */
    void restore(TaskRecord r, long now) {
        run = r.run();
        failures = r.failures();
        crashed(r.knownCrashes(), r.knownDoubtfulCrashes(), now);
        checkpoint = r.checkpoint();
        incarnation = new WorkerIncarnation(r.worker(), r.knownWorkerBornMillis());
        finished = r.done() && !r.worker().isEmpty();
        provenUntil = provenBy(now);
    }

    /** Returns since when it has waited for a worker, by the owner's clock: its job's begin counts for a first step. */
    long waitingSince(long jobBegan) {
        return Math.max(waitingSince, of.readySince().orElse(jobBegan));
    }

    void failedOn(LiveWorker w, long now) {
        failedDomains.add(w.facts().failureDomain());
        avoid(w, now);
        provenUntil = provenBy(now);
    }

    /** Returns until when only a worker will do on which something has ended well. */
    private long provenBy(long now) {
        return isAtLastAttempt() ? now + PROVEN_MILLIS : Long.MIN_VALUE;
    }

    /** Takes in how many workers have crashed under it by now, while none has it. */
    void crashed(int certain, int doubtful, long now) {
        crashes = certain;
        doubtfulCrashes = doubtful;
        suspicion = Suspicion.of(certain + doubtful);
        companyUntil = now + COMPANY_MILLIS;
        ranBeforeCrashMillis = Math.max(ranBeforeCrashMillis, ranMillis);
    }

    /** Takes losses back that another cause explains, and returns how many these are. */
    int excuse(Predicate<LossLog.Loss> explained) {
        int before = certainLosses.size();
        certainLosses.removeIf(explained);
        return before - certainLosses.size();
    }

    /** Lets the count of crashes begin anew. */
    void forgetCrashes() {
        crashes = 0;
        doubtfulCrashes = 0;
        certainLosses.clear();
    }

    /** Returns how long a run of it must have been at work before other tasks may join it. */
    long isolationMillis() {
        return Math.min(MOST_ISOLATION_MILLIS, ISOLATION_MILLIS + ranBeforeCrashMillis);
    }

    private boolean isAtLastAttempt() {
        return !step.longRunning()
                && !step.gang()
                && !failedWhereOthersEndWell
                && failures == job.spec.policy().maxAttempts() - 1;
    }

    /** Lets the next runs go to other workers, for a while at any price, then where there is a choice. */
    void avoid(LiveWorker w, long now) {
        avoided.put(w.facts().id(), new Avoided(w, now));
        elsewhereUntil = now + ELSEWHERE_MILLIS * Math.max(1, failures);
    }

    PlacementRequest wish(long now) {
        avoided.values().removeIf(a -> a.worker.over);
        Set<String> domains = failures >= ATTEMPTS_BEFORE_OTHER_RACK ? failedDomains : Set.of();
        boolean onlyProven = now < provenUntil;
        Set<String> workers = onlyProven ? stillDoubted() : avoided.keySet();
        return new PlacementRequest(
                step,
                stepTime,
                workers,
                now < elsewhereUntil,
                domains,
                suspicion.company(),
                now < companyUntil,
                onlyProven);
    }

    /** Returns whether its run was given to an earlier life of its worker than the one that answers now. */
    boolean isOfEarlierLife() {
        return worker != null && worker.incarnation().isKnownToDifferFrom(incarnation);
    }

    /** Returns the workers on which it has failed and nothing has ended well since. */
    private Set<String> stillDoubted() {
        return avoided.entrySet().stream()
                .filter(e -> !e.getValue().worker().isProvenSince(e.getValue().since()))
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
    }

    /** Returns how much of a whole run is left, by the progress that its worker has told. */
    long leftMillis(long wholeMillis) {
        return wholeMillis * (ALL_PERCENT - percent) / ALL_PERCENT;
    }

    /** Returns whether a worker has said that it runs, or ran when its stop was asked for. */
    boolean isKnownToRun() {
        return begunAt != Long.MAX_VALUE;
    }

    /** Returns whether any worker that has room will do: it has failed nowhere, and no worker has crashed under it. */
    boolean takesAnyWorker() {
        return avoided.isEmpty() && !suspicion.isSuspect();
    }

    /** Returns how many workers there must be for the task to find one on which it has not failed. */
    int workersWanted() {
        return phase == Phase.WAITING ? avoided.size() + 1 : 0;
    }

    boolean touched() {
        return run > 0;
    }

    TaskRecord record() {
        String w = worker == null ? "" : worker.facts().id();
        // Also while a run that nobody needs any more is being stopped: what says that it is done is soon forgotten.
        boolean done = phase == Phase.DONE || finished;
        // What is done goes on nowhere; only members of a gang go on from each other's.
        String from = done && !step.gang() ? "" : checkpoint;
        Long born = worker != null && incarnation.hasStartTime() ? (Long) incarnation.startMillis() : null;
        return new TaskRecord(
                id.time(), id.step(), id.index(), run, failures, done, w, from, crashes, doubtfulCrashes, born);
    }
}
