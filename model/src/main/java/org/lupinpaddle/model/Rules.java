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

/** Holds what workers and callers see against the rules, and ends a history at the first that is broken. */
final class Rules {

    /** A rule. */
    enum Rule {
        /** A task runs at most once at a time, and not again after it was done. */
        TWICE,
        /** A task starts after the steps before its own. */
        ORDER,
        /** Nothing starts that nobody asked for, or that was cancelled a while ago. */
        UNASKED,
        /** Nothing starts of a job all of whose submissions were refused. */
        REFUSED,
        /** No more starts than attempts, and an end to the starts of what crashes its workers. */
        BUDGET,
        /** Tasks start on workers of their service, with the label, within the most of one worker. */
        ROUTE,
        /** A worker that does not guard its room is not taken beyond it. */
        LIMIT,
        /** Lasting tasks at work are not taken away by more than their caller allows. */
        AVAIL,
        /** A worker that drains gets nothing new. */
        DRAIN,
        /** Orders on instances come from one owner at a time. */
        ONE,
        /** Callers are told the truth. */
        MIXED,
        /** Accepted work is done in the end. */
        LOST,
        /** No more instances of a wave are down than allowed. */
        WAVE,
        /** A workspace's running tasks stay within its quota. */
        QUOTA,
        /** Keys are accepted or refused according to a configuration that may be in force. */
        CONFIG,
        /** After a loss of power of all entries service comes back. */
        RECOVER
    }

    /** A task under which so many workers have crashed may be given up. */
    static final int CRASHES_THAT_ALLOW_TO_GIVE_UP = 2;

    // What crashes its workers is not started so often after so many have crashed.
    private static final int CRASHES_THAT_TELL = 3;
    private static final int STARTS_TOO_MANY = 3;
    private static final long CANCEL_MILLIS = 3_000;
    private static final long NOTICE_MILLIS = 4_500;
    private static final long NOTED_AFTER_LAPSE_MILLIS = 1_000;

    private final VirtualTime time;
    private final Map<String, JobTruth> jobs = new HashMap<>();
    private @Nullable SimWorkspaces workspaces;

    /** What is true of a job, whoever knows it. */
    static final class JobTruth {
        final String id;
        final String service;
        final int maxAttempts;
        final Submission submission;
        final Map<TaskId, TaskTruth> tasks = new HashMap<>();
        /** The name of its workspace; empty if it has none. */
        String workspace = "";

        boolean hopeless;
        long handedInAt = World.NEVER;
        boolean accepted;
        long acceptedAt;
        boolean allRefused;
        long cancelAnsweredAt = World.NEVER;
        boolean cancelSent;
        boolean saidToHaveFailed;

        JobTruth(String id, String service, int maxAttempts, Submission submission) {
            this.id = id;
            this.service = service;
            this.maxAttempts = maxAttempts;
            this.submission = submission;
        }

        TaskTruth task(TaskId t) {
            return tasks.computeIfAbsent(t, k -> new TaskTruth(acceptedAt));
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

        /** Returns how many workers have crashed under one of its tasks, at most. */
        int maxCrashedUnder() {
            return tasks.values().stream().mapToInt(t -> t.crashedUnder).max().orElse(0);
        }

        /** Returns whether a task has failed as often as its queue allows. */
        boolean hasUsedUpAttempts() {
            return tasks.values().stream().anyMatch(t -> t.failed >= maxAttempts);
        }

        boolean lasting() {
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

    /** What is true of a task. */
    static final class TaskTruth {
        @Nullable
        SimWorker runsOn;

        boolean done;
        boolean doneNoted;
        /** When an end as done was first noted after a lapse of its worker's lease; starts sent before may still arrive. */
        long doneNotedAfterLapseAt = World.NEVER;

        /** Ends as done, by worker and run, after which the task was started again. */
        final Set<String> startedAfter = new HashSet<>();

        final Set<String> doneEnds = new HashSet<>();
        /** The same, with what has become of them. */
        final List<SimEnd> doneKept = new ArrayList<>();

        /** How many workers have crashed while they ran it, whatever the cause. */
        int crashedUnder;
        /** How many it has crashed itself. */
        int crashedByIt;

        int startedAfterCrashes;
        int failedNoted;
        int failed;
        boolean atWork;
        boolean takenAway;
        long awaySince;

        TaskTruth(long awaySince) {
            this.awaySince = awaySince;
        }

        /** Away through an order, or for so long that any cause counts. */
        boolean isAway(long now) {
            return !atWork && (takenAway || now - awaySince >= NOTICE_MILLIS);
        }
    }

    Rules(VirtualTime time) {
        this.time = time;
    }

    /** Enables the quota check on starts. */
    void checkQuotasOf(SimWorkspaces checked) {
        workspaces = checked;
    }

    JobTruth submitted(String id, String service, int maxAttempts, Submission s) {
        return jobs.computeIfAbsent(id, i -> new JobTruth(i, service, maxAttempts, s));
    }

    @Nullable
    JobTruth job(String id) {
        return jobs.get(id);
    }

    Iterable<JobTruth> jobs() {
        return jobs.values();
    }

    void broken(Rule r, String how) {
        throw new RuleBrokenException(r.name(), "at " + time.now() + " ms: " + how);
    }

    void require(Rule r, boolean holds, String how) {
        if (!holds) {
            broken(r, how);
        }
    }

    /** A worker begins a run; bounds of time do not hold for an order that it carries out late. */
    void started(SimWorker w, StartOrder o, boolean late) {
        String what = o.jobId() + "." + o.task() + " run " + o.run() + " on " + w.life();
        JobTruth job = jobs.get(o.jobId());
        if (job == null) {
            broken(Rule.UNASKED, what + ": no such job");
            return;
        }
        require(Rule.UNASKED, o.text().equals(job.submission.text()), what + ": another text");
        require(Rule.REFUSED, !job.allRefused, what + ": every submission was refused");
        require(
                Rule.UNASKED,
                late || time.now() <= job.cancelAnsweredAt + CANCEL_MILLIS,
                what + ": cancelled at " + job.cancelAnsweredAt);
        require(Rule.ROUTE, job.service.equals(w.service()), what + ": worker of " + w.service());
        require(Rule.ROUTE, w.facts().hasLabel(job.step(o.task()).label()), what + ": label missing");
        require(Rule.DRAIN, late || time.now() <= w.drainsSince() + World.DRAIN_MILLIS, what + ": draining");
        checkOrder(job, o.task(), what);
        checkSpread(job, o.task(), w, what);
        TaskTruth t = job.task(o.task());
        require(
                Rule.TWICE,
                t.runsOn == null || !t.runsOn.isUp(),
                what + ": it runs already on " + (t.runsOn == null ? "" : t.runsOn.id()));
        if (t.done) {
            require(Rule.TWICE, !t.doneNoted, what + ": it was done and that was noted");
            t.doneKept.forEach(e -> require(
                    Rule.TWICE, !e.mustBeKnown(), what + ": it was done on " + e.on.id() + ", which kept that"));
            t.startedAfter.addAll(t.doneEnds);
            require(
                    Rule.TWICE,
                    late || time.now() <= t.doneNotedAfterLapseAt + NOTED_AFTER_LAPSE_MILLIS,
                    what + ": its end as done was noted at " + t.doneNotedAfterLapseAt
                            + ", after a lapse of the lease");
        }
        if (!job.step(o.task()).longRunning()) {
            require(Rule.BUDGET, t.failedNoted < job.maxAttempts, what + ": failed " + t.failedNoted + " times");
        }
        checkCrashes(t, what);
        t.runsOn = w;
        t.atWork = false;
        checkQuota(job, o.task(), what);
    }

    private void checkQuota(JobTruth job, TaskId started, String what) {
        SimWorkspaces checked = workspaces;
        if (checked == null || job.workspace.isEmpty()) {
            return;
        }
        long running = runningCpu(job.workspace, j -> true);
        // The rule allows one task beyond the tolerated overage.
        double limit = checked.maxCpu(job.workspace) + job.step(started).need().cpuMillis();
        require(Rule.QUOTA, running <= limit, what + ": " + job.workspace + " runs " + running + ", limit " + limit);
    }

    /** Returns the CPU that a workspace's running tasks of some jobs use, in thousandths of a core. */
    long runningCpu(String workspace, Predicate<JobTruth> which) {
        return jobs.values().stream()
                .filter(j -> j.workspace.equals(workspace) && which.test(j))
                .mapToLong(JobTruth::runningCpu)
                .sum();
    }

    private void checkCrashes(TaskTruth t, String what) {
        if (t.crashedByIt >= CRASHES_THAT_TELL) {
            t.startedAfterCrashes++;
            require(
                    Rule.BUDGET,
                    t.startedAfterCrashes < STARTS_TOO_MANY,
                    what + ": started " + t.startedAfterCrashes + " times after its third crash");
        }
    }

    /** A worker crashes while it runs the task, whatever the cause. */
    void crashedUnder(String jobId, TaskId id) {
        JobTruth job = jobs.get(jobId);
        if (job != null) {
            job.task(id).crashedUnder++;
        }
    }

    /** A task crashes its worker. */
    void crashedByTask(String jobId, TaskId id) {
        JobTruth job = jobs.get(jobId);
        if (job != null) {
            job.task(id).crashedByIt++;
        }
    }

    private void checkOrder(JobTruth job, TaskId id, String what) {
        for (int before : job.step(id).after()) {
            require(Rule.ORDER, job.isStepDone(id.time(), before), what + ": step " + before);
        }
    }

    private void checkSpread(JobTruth job, TaskId id, SimWorker w, String what) {
        int most = job.step(id).perWorkerMost();
        if (most == 0) {
            return;
        }
        long there = job.tasks.entrySet().stream()
                .filter(e -> e.getKey().step() == id.step() && e.getValue().runsOn == w)
                .count();
        require(Rule.ROUTE, there < most, what + ": " + there + " of its step are there");
    }

    /** A run is over on its worker. */
    void ended(SimWorker w, String jobId, TaskId id, int run, EndKind kind) {
        JobTruth job = jobs.get(jobId);
        if (job == null) {
            return;
        }
        TaskTruth t = job.task(id);
        if (t.runsOn == w) {
            t.runsOn = null;
            setAtWork(t, false);
        }
        if (kind == EndKind.DONE) {
            t.done = true;
            t.doneEnds.add(w.life() + "/" + run);
        } else if (kind == EndKind.FAILED) {
            t.failed++;
        }
    }

    /** A run has done its task. */
    void done(String jobId, TaskId id, SimEnd end) {
        JobTruth job = jobs.get(jobId);
        if (job != null) {
            job.task(id).doneKept.add(end);
        }
    }

    /** A worker has been told to forget an end: that notes it, unless the worker's lease has lapsed since the end. */
    void noted(SimWorker w, RunResult end, boolean lapsedSince) {
        JobTruth job = jobs.get(end.jobId());
        if (job == null) {
            return;
        }
        TaskTruth t = job.task(end.task());
        if (end.kind() == EndKind.DONE) {
            if (lapsedSince) {
                t.doneNotedAfterLapseAt = Math.min(t.doneNotedAfterLapseAt, time.now());
            } else {
                t.doneNoted = true;
            }
            boolean again = t.startedAfter.contains(w.life() + "/" + end.run());
            require(
                    Rule.TWICE,
                    !again || lapsedSince,
                    end.jobId() + "." + end.task() + ": started again after the end that is noted now");
        } else if (end.kind() == EndKind.FAILED && !lapsedSince) {
            t.failedNoted++;
        }
    }

    void atWork(String jobId, TaskId id) {
        JobTruth job = jobs.get(jobId);
        if (job != null) {
            setAtWork(job.task(id), true);
        }
    }

    private void setAtWork(TaskTruth t, boolean yes) {
        if (t.atWork && !yes) {
            t.awaySince = time.now();
        } else if (yes) {
            t.takenAway = false;
        }
        t.atWork = yes;
    }

    /** A lasting task that is at work is about to be ended by an order. */
    void takenAway(SimWorker w, String jobId, TaskId id, String by) {
        JobTruth job = jobs.get(jobId);
        if (job == null || job.cancelSent) {
            return;
        }
        StepSpec step = job.step(id);
        boolean covered =
                step.longRunning() && step.mayMiss() > 0 && job.task(id).atWork && w.drainsSince() == World.NEVER;
        if (!covered) {
            return;
        }
        Set<Integer> away = new HashSet<>();
        for (int i = 0; i < step.count(); i++) {
            TaskId other = new TaskId(id.time(), id.step(), i);
            if (i != id.index() && job.task(other).isAway(time.now())) {
                away.add(i);
            }
        }
        require(
                Rule.AVAIL,
                away.size() < step.mayMiss(),
                jobId + "." + id + " taken from " + w.id() + " by " + by + " while " + away + " are away");
        job.task(id).takenAway = true;
    }

    /** A caller is told that a job has come to an end. */
    void toldCompleted(JobTruth job) {
        require(Rule.MIXED, job.allDone(), job.id + " is said to be completed, and is not");
    }

    void toldFailed(JobTruth job) {
        boolean cause = job.hasUsedUpAttempts() || job.maxCrashedUnder() >= CRASHES_THAT_ALLOW_TO_GIVE_UP;
        job.saidToHaveFailed = true;
        require(Rule.LOST, cause, job.id + " is said to have failed, without cause");
    }

    void toldUnknown(JobTruth job) {
        require(Rule.LOST, !job.accepted, job.id + " was accepted at " + job.acceptedAt + " and is said not to exist");
    }
}
