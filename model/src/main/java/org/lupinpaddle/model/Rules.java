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
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.job.EndKind;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.job.Submission;
import org.lupinpaddle.core.job.TaskId;
import org.lupinpaddle.core.run.RunResult;
import org.lupinpaddle.core.run.StartOrder;

/** Tracks what workers and callers observe, checks it against the rules, and ends a history at the first violation. */
final class Rules {

    /** The rules that every history must satisfy. */
    enum Rule {
        /** A task runs at most once at a time, and not again after it is done. */
        TWICE,
        /** A task starts after the steps before its own. */
        ORDER,
        /** Only submitted jobs start, and none that was cancelled a while ago. */
        UNASKED,
        /** No task starts if every submission of its job was refused. */
        REFUSED,
        /**
         * A task starts no more often than its queue allows, and a task that crashes its workers is eventually given
         * up.
         */
        BUDGET,
        /**
         * Tasks start on workers of their service that have the required label, within the limit of tasks per worker.
         */
        ROUTE,
        /** A worker that does not enforce its own resource limits is not given more than it has. */
        LIMIT,
        /** No more serving long-running tasks are stopped at a time than their caller allows. */
        AVAIL,
        /** A draining worker gets no new tasks. */
        DRAIN,
        /** Orders on instances come from one owner at a time. */
        ONE,
        /** Callers are told that a job is completed only if it is. */
        MIXED,
        /** Accepted jobs are completed in the end, and callers are told no false failure, cancellation or absence. */
        LOST,
        /** No more instances of a wave are down at a time than allowed, and the wave completes. */
        WAVE,
        /** A workspace's running tasks stay within its quota. */
        QUOTA,
        /** Keys are accepted or refused according to a configuration that may be in force. */
        CONFIG,
        /**
         * No task starts on a worker of a hall that has been cordoned for longer than the bound. An order that the
         * worker carries out late counts from when it was sent.
         */
        CORDON,
        /** Service recovers after all entries lose power. */
        RECOVER
    }

    /** The number of crashed workers after which a task may be given up. */
    static final int MIN_CRASHES_TO_GIVE_UP = 2;

    // A task that has crashed three workers must not start three more times.
    private static final int CRASHES_BEFORE_START_LIMIT = 3;
    private static final int START_LIMIT_AFTER_CRASHES = 3;
    private static final long CANCEL_GRACE_MILLIS = 3_000;
    private static final long DETECTION_MILLIS = 4_500;
    private static final long ACKNOWLEDGED_AFTER_LAPSE_MILLIS = 1_000;

    private final VirtualTime time;
    private final Map<String, TrackedJob> jobs = new HashMap<>();
    private @Nullable SimWorkspaces workspaces;
    private @Nullable SimCordons cordons;
    private @Nullable SimReroutes reroutes;
    private @Nullable LapseCheck lapseCheck;

    /**
     * The sender of an order.
     *
     * @param entry the name of the entry
     * @param sentAt when the order was sent
     * @param late whether the worker carries the order out seconds after it was sent
     */
    record Sender(String entry, long sentAt, boolean late) {}

    /** The actual state of a job, independent of what any entry knows. */
    static final class TrackedJob {
        final String id;
        final String service;
        final int maxAttempts;
        final Submission submission;
        final Map<TaskId, TrackedTask> tasks = new HashMap<>();
        /** The name of its workspace; empty if it has none. */
        String workspace = "";

        boolean alwaysFails;
        long submittedAt = World.NEVER;
        boolean accepted;
        long acceptedAt;
        boolean allRefused;
        long cancelAnsweredAt = World.NEVER;
        boolean cancelSent;
        boolean reportedFailed;

        TrackedJob(String id, String service, int maxAttempts, Submission submission) {
            this.id = id;
            this.service = service;
            this.maxAttempts = maxAttempts;
            this.submission = submission;
        }

        TrackedTask task(TaskId t) {
            return tasks.computeIfAbsent(t, k -> new TrackedTask(acceptedAt));
        }

        StepSpec step(TaskId t) {
            return submission.steps().get(t.step());
        }

        /** Returns the CPU that its running tasks use, in thousandths of a core. */
        long runningCpu() {
            return tasks.entrySet().stream()
                    .filter(e -> e.getValue().runsOn != null
                            && Objects.requireNonNull(e.getValue().runsOn).isUp())
                    .mapToLong(e -> step(e.getKey()).need().cpuMillis())
                    .sum();
        }

        /** Returns the largest number of workers that crashed under any of its tasks. */
        int maxWorkerCrashes() {
            return tasks.values().stream().mapToInt(t -> t.workerCrashes).max().orElse(0);
        }

        /** Returns whether one of its tasks has failed as often as its queue allows. */
        boolean hasUsedUpAttempts() {
            return tasks.values().stream().anyMatch(t -> t.failed >= maxAttempts);
        }

        boolean isLongRunning() {
            return submission.steps().stream().anyMatch(StepSpec::longRunning);
        }

        boolean allDone() {
            for (int s = 0; s < submission.steps().size(); s++) {
                if (!isStepDone(0, s)) {
                    return false;
                }
            }
            return true;
        }

        boolean isStepDone(int time, int s) {
            for (int i = 0; i < submission.steps().get(s).count(); i++) {
                if (!task(new TaskId(time, s, i)).done) {
                    return false;
                }
            }
            return true;
        }

        /** Returns the first step that is not done; the last one if all are. */
        StepSpec nextStep() {
            int s = 0;
            while (s < submission.steps().size() - 1 && isStepDone(0, s)) {
                s++;
            }
            return submission.steps().get(s);
        }
    }

    /** The actual state of a task. */
    static final class TrackedTask {
        @Nullable
        SimWorker runsOn;

        boolean done;
        boolean doneAcknowledged;
        /**
         * When a completion was first acknowledged after a lapse of its worker's lease; starts sent before may still
         * arrive.
         */
        long doneAcknowledgedAfterLapseAt = World.NEVER;

        /** Completed runs, by worker and run, after which the task was started again. */
        final Set<String> restartedAfter = new HashSet<>();

        final Set<String> completedRunIds = new HashSet<>();
        /** The completed runs with their state on the worker. */
        final List<CompletedRun> completedRuns = new ArrayList<>();

        /** The number of workers that crashed while they ran it, whatever the cause. */
        int workerCrashes;
        /** The number of workers that the task itself crashed. */
        int crashesCaused;

        int startsAfterCrashes;
        int failuresAcknowledged;
        int failed;
        boolean serving;
        boolean removedByOrder;
        long notServingSince;
        /** When its last run ended; 0 if none has. */
        long lastRunEndedAt;

        TrackedTask(long notServingSince) {
            this.notServingSince = notServingSince;
        }

        /** Returns whether it does not serve, because of an order or for so long that the owner must have noticed. */
        boolean isUnavailable(long now) {
            return !serving && (removedByOrder || now - notServingSince >= DETECTION_MILLIS);
        }
    }

    Rules(VirtualTime time) {
        this.time = time;
    }

    /** Enables the quota check on starts. */
    void checkQuotasOf(SimWorkspaces limitedWorkspaces) {
        workspaces = limitedWorkspaces;
    }

    /** Enables the check of starts in cordoned halls. */
    void checkCordonsOf(SimCordons simulatedCordons) {
        cordons = simulatedCordons;
    }

    /** Allows tasks on workers of all services that their queue has had. */
    void checkRoutesOf(SimReroutes simulatedReroutes) {
        reroutes = simulatedReroutes;
    }

    /** Checks lapses of runs on workers that are up. */
    void checkLapsesBy(LapseCheck check) {
        lapseCheck = check;
    }

    TrackedJob track(String id, String service, int maxAttempts, Submission s) {
        return jobs.computeIfAbsent(id, i -> new TrackedJob(i, service, maxAttempts, s));
    }

    @Nullable
    TrackedJob job(String id) {
        return jobs.get(id);
    }

    Iterable<TrackedJob> jobs() {
        return jobs.values();
    }

    void violation(Rule r, String detail) {
        throw new RuleViolationException(r.name(), "at " + time.now() + " ms: " + detail);
    }

    void require(Rule r, boolean satisfied, String detail) {
        if (!satisfied) {
            violation(r, detail);
        }
    }

    /** Checks the start of a run. Time limits do not apply to an order that the worker carries out late. */
    void onStart(SimWorker w, StartOrder o, Sender sender) {
        boolean late = sender.late();
        String what = o.jobId() + "." + o.task() + " run " + o.run() + " on " + w.incarnationId();
        TrackedJob job = jobs.get(o.jobId());
        if (job == null) {
            violation(Rule.UNASKED, what + ": no such job");
            return;
        }
        require(Rule.UNASKED, o.text().equals(job.submission.text()), what + ": another text");
        require(Rule.REFUSED, !job.allRefused, what + ": every submission was refused");
        require(
                Rule.UNASKED,
                late || time.now() <= job.cancelAnsweredAt + CANCEL_GRACE_MILLIS,
                what + ": cancelled at " + job.cancelAnsweredAt);
        require(Rule.ROUTE, isRoutedTo(job, w.service()), what + ": worker of " + w.service());
        require(Rule.ROUTE, w.facts().hasLabel(job.step(o.task()).label()), what + ": label missing");
        require(Rule.DRAIN, late || time.now() <= w.drainingSince() + World.DRAIN_MILLIS, what + ": draining");
        if (cordons != null) {
            // The delay of a late order is not caused by the entry, so such an order counts from when it was sent.
            cordons.checkStart(w, sender.entry(), late ? sender.sentAt() : time.now(), what);
        }
        checkOrder(job, o.task(), what);
        checkPerWorkerLimit(job, o.task(), w, what);
        TrackedTask t = job.task(o.task());
        require(
                Rule.TWICE,
                t.runsOn == null || !t.runsOn.isUp(),
                what + ": it runs already on " + (t.runsOn == null ? "" : t.runsOn.id()));
        if (t.done) {
            require(Rule.TWICE, !t.doneAcknowledged, what + ": it was done and that was noted");
            t.completedRuns.forEach(e -> require(
                    Rule.TWICE, !e.forbidsRestart(), what + ": it was done on " + e.worker.id() + ", which kept that"));
            t.restartedAfter.addAll(t.completedRunIds);
            require(
                    Rule.TWICE,
                    late || time.now() <= t.doneAcknowledgedAfterLapseAt + ACKNOWLEDGED_AFTER_LAPSE_MILLIS,
                    what + ": its end as done was noted at " + t.doneAcknowledgedAfterLapseAt
                            + ", after a lapse of the lease");
        }
        if (!job.step(o.task()).longRunning()) {
            require(
                    Rule.BUDGET,
                    t.failuresAcknowledged < job.maxAttempts,
                    what + ": failed " + t.failuresAcknowledged + " times");
        }
        checkCrashes(t, what);
        t.runsOn = w;
        t.serving = false;
        checkQuota(job, o.task(), what);
    }

    /** Returns whether a configuration has sent the job's queue, named after its first service, to the given service. */
    private boolean isRoutedTo(TrackedJob job, String service) {
        SimReroutes r = reroutes;
        return r == null ? job.service.equals(service) : r.hasAssigned(job.service, service);
    }

    private void checkQuota(TrackedJob job, TaskId started, String what) {
        SimWorkspaces limitedWorkspaces = workspaces;
        if (limitedWorkspaces == null || job.workspace.isEmpty()) {
            return;
        }
        long running = runningCpu(job.workspace, j -> true);
        // The rule allows one task beyond the tolerance.
        double limit = limitedWorkspaces.maxCpu(job.workspace)
                + job.step(started).need().cpuMillis();
        require(Rule.QUOTA, running <= limit, what + ": " + job.workspace + " runs " + running + ", limit " + limit);
    }

    /** Returns the CPU that the running tasks of a workspace's matching jobs use, in thousandths of a core. */
    long runningCpu(String workspace, Predicate<TrackedJob> which) {
        return jobs.values().stream()
                .filter(j -> j.workspace.equals(workspace) && which.test(j))
                .mapToLong(TrackedJob::runningCpu)
                .sum();
    }

    private void checkCrashes(TrackedTask t, String what) {
        if (t.crashesCaused >= CRASHES_BEFORE_START_LIMIT) {
            t.startsAfterCrashes++;
            require(
                    Rule.BUDGET,
                    t.startsAfterCrashes < START_LIMIT_AFTER_CRASHES,
                    what + ": started " + t.startsAfterCrashes + " times after its third crash");
        }
    }

    /** Records that a worker crashed while it ran the task, whatever the cause. */
    void onWorkerCrash(String jobId, TaskId id) {
        TrackedJob job = jobs.get(jobId);
        if (job != null) {
            job.task(id).workerCrashes++;
        }
    }

    /** Records that a task crashed its worker. */
    void onCrashByTask(String jobId, TaskId id) {
        TrackedJob job = jobs.get(jobId);
        if (job != null) {
            job.task(id).crashesCaused++;
        }
    }

    private void checkOrder(TrackedJob job, TaskId id, String what) {
        for (int before : job.step(id).after()) {
            require(Rule.ORDER, job.isStepDone(id.time(), before), what + ": step " + before);
        }
    }

    private void checkPerWorkerLimit(TrackedJob job, TaskId id, SimWorker w, String what) {
        int maxPerWorker = job.step(id).perWorkerMost();
        if (maxPerWorker == 0) {
            return;
        }
        long runningOnWorker = job.tasks.entrySet().stream()
                .filter(e -> e.getKey().step() == id.step() && e.getValue().runsOn == w)
                .count();
        require(Rule.ROUTE, runningOnWorker < maxPerWorker, what + ": " + runningOnWorker + " of its step are there");
    }

    /** Records that a run has ended on its worker. */
    void onRunEnded(SimWorker w, String jobId, TaskId id, int run, EndKind kind) {
        TrackedJob job = jobs.get(jobId);
        if (job == null) {
            return;
        }
        TrackedTask t = job.task(id);
        if (t.runsOn == w) {
            t.runsOn = null;
            t.lastRunEndedAt = time.now();
            setServing(t, false);
        }
        LapseCheck lapses = lapseCheck;
        if (kind == EndKind.LAPSED && w.isUp() && lapses != null) {
            lapses.onLapsed(w, jobId + "." + id + " run " + run);
        }
        if (kind == EndKind.DONE) {
            t.done = true;
            t.completedRunIds.add(w.incarnationId() + "/" + run);
        } else if (kind == EndKind.FAILED) {
            t.failed++;
        }
    }

    /** Records that a run has completed its task. */
    void onTaskDone(String jobId, TaskId id, CompletedRun end) {
        TrackedJob job = jobs.get(jobId);
        if (job != null) {
            job.task(id).completedRuns.add(end);
        }
    }

    /**
     * Records that an owner acknowledged the end of a run. After a lapse of the worker's lease the acknowledgement no
     * longer proves that the owner received the end.
     */
    void onAcknowledged(SimWorker w, RunResult end, boolean lapsedSince) {
        TrackedJob job = jobs.get(end.jobId());
        if (job == null) {
            return;
        }
        TrackedTask t = job.task(end.task());
        if (end.kind() == EndKind.DONE) {
            if (lapsedSince) {
                t.doneAcknowledgedAfterLapseAt = Math.min(t.doneAcknowledgedAfterLapseAt, time.now());
            } else {
                t.doneAcknowledged = true;
            }
            boolean restarted = t.restartedAfter.contains(w.incarnationId() + "/" + end.run());
            require(
                    Rule.TWICE,
                    !restarted || lapsedSince,
                    end.jobId() + "." + end.task() + ": started again after the end that is noted now");
        } else if (end.kind() == EndKind.FAILED && !lapsedSince) {
            t.failuresAcknowledged++;
        }
    }

    void onServing(String jobId, TaskId id) {
        TrackedJob job = jobs.get(jobId);
        if (job != null) {
            setServing(job.task(id), true);
        }
    }

    private void setServing(TrackedTask t, boolean isServing) {
        if (t.serving && !isServing) {
            t.notServingSince = time.now();
        } else if (isServing) {
            t.removedByOrder = false;
        }
        t.serving = isServing;
    }

    /** Checks an order that is about to stop a serving long-running task. */
    void onRemovedByOrder(SimWorker w, String jobId, TaskId id, String order) {
        TrackedJob job = jobs.get(jobId);
        if (job == null || job.cancelSent) {
            return;
        }
        StepSpec step = job.step(id);
        boolean covered =
                step.longRunning() && step.mayMiss() > 0 && job.task(id).serving && w.drainingSince() == World.NEVER;
        if (!covered) {
            return;
        }
        Set<Integer> unavailable = new HashSet<>();
        for (int i = 0; i < step.count(); i++) {
            TaskId other = new TaskId(id.time(), id.step(), i);
            if (i != id.index() && job.task(other).isUnavailable(time.now())) {
                unavailable.add(i);
            }
        }
        require(
                Rule.AVAIL,
                unavailable.size() < step.mayMiss(),
                jobId + "." + id + " taken from " + w.id() + " by " + order + " while " + unavailable + " are away");
        job.task(id).removedByOrder = true;
    }

    /** Checks that a job reported as completed is completed. */
    void onReportedCompleted(TrackedJob job) {
        require(Rule.MIXED, job.allDone(), job.id + " is said to be completed, and is not");
    }

    void onReportedFailed(TrackedJob job) {
        boolean mayHaveFailed = job.hasUsedUpAttempts() || job.maxWorkerCrashes() >= MIN_CRASHES_TO_GIVE_UP;
        job.reportedFailed = true;
        require(Rule.LOST, mayHaveFailed, job.id + " is said to have failed, without cause");
    }

    void onReportedUnknown(TrackedJob job) {
        require(Rule.LOST, !job.accepted, job.id + " was accepted at " + job.acceptedAt + " and is said not to exist");
    }
}
