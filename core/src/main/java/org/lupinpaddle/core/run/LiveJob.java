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
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.job.JobProgress;
import org.lupinpaddle.core.job.JobSpec;
import org.lupinpaddle.core.job.JobState;
import org.lupinpaddle.core.job.Policy;
import org.lupinpaddle.core.job.StepOrder;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.job.TaskId;
import org.lupinpaddle.core.job.TaskRecord;
import org.lupinpaddle.core.workspace.WorkspaceQuota;

/**
 * The scheduler's state of one job. The tasks of an iteration exist only while it is in progress, so that a job with
 * many iterations takes little memory (see {@link IterationPass}).
 */
final class LiveJob {

    /** Returned if no iteration is due. */
    static final int NONE_DUE = -1;

    final JobSpec spec;
    final WorkspaceQuota quota;
    /** The policy that applies now; see {@link QueuePolicies}. */
    Policy policy;

    JobState state = JobState.QUEUED;
    /** Why it failed, or will fail once nothing else is running. */
    String reason = "";
    /** Whether a worker has started one of its tasks. */
    boolean started;
    /**
     * Incremented by each change that must be saved; {@code savedVersion} is the newest version known to be durable.
     */
    long version;

    long savedVersion;
    /** Whether a write of its record is in flight. */
    boolean saveInFlight;
    /** Whether its record is written alone, because a batch that contained it was rejected permanently. */
    boolean savedAlone;

    /**
     * Whether its record omits the tasks still on workers, because the store rejected the full record after the job's
     * end. The next owner learns of these runs from the workers and stops runs of unknown jobs.
     */
    boolean savedWithoutTasks;

    long endedAt = Long.MAX_VALUE;
    private final NavigableMap<Integer, LiveIteration> inProgress = new TreeMap<>();
    private final CompletedIterations completed;
    /** The first iteration that is neither in progress nor completed. */
    private int nextIteration;

    private final long[] stepMillis;
    private final long[] criticalPaths;
    private final long longestPathMillis;

    LiveJob(JobSpec spec, WorkspaceQuota quota, RunTimeEstimator times) {
        this.spec = spec;
        this.quota = quota;
        policy = spec.policy();
        completed = new CompletedIterations(spec);
        stepMillis = IntStream.range(0, spec.steps().size())
                .mapToLong(s -> ownMillis(s, times))
                .toArray();
        criticalPaths = criticalPaths(stepMillis);
        longestPathMillis = Arrays.stream(criticalPaths).max().orElse(0);
    }

    /**
     * Returns for each step the expected duration of the longest chain of steps that begins with it. Takes time
     * proportional to the number of steps and dependencies.
     */
    private long[] criticalPaths(long[] stepMillis) {
        List<Integer> order = StepOrder.of(spec.steps())
                .orElseThrow(
                        () -> new IllegalArgumentException("steps depend on each other in a cycle: " + spec.key()));
        long[] longestSuccessor = new long[stepMillis.length];
        long[] paths = new long[stepMillis.length];
        for (int i = order.size() - 1; i >= 0; i--) {
            int step = order.get(i);
            paths[step] = longestSuccessor[step] + stepMillis[step];
            for (int dependency : spec.steps().get(step).after()) {
                longestSuccessor[dependency] = Math.max(longestSuccessor[dependency], paths[step]);
            }
        }
        return paths;
    }

    /** The duration of a step is that of its longest task. */
    private long ownMillis(int step, RunTimeEstimator times) {
        StepSpec s = spec.steps().get(step);
        double spread =
                s.count() > 1 && !s.gang() ? times.maxToMeanRatio(spec.key().queue()) : 1;
        return Math.round(spread * times.expectedMillis(spec.key().queue(), s.estimateMillis()));
    }

    /** Returns a task of an iteration in progress, or null. */
    @Nullable
    LiveTask task(TaskId id) {
        LiveStep s = stepInProgress(id.time(), id.step());
        return s == null || id.index() < 0 || id.index() >= s.tasks.size() ? null : s.tasks.get(id.index());
    }

    /** Returns a step of an iteration in progress, or null. */
    @Nullable
    LiveStep stepInProgress(int time, int number) {
        LiveIteration i = inProgress.get(time);
        return i == null || number < 0 || number >= i.steps.size() ? null : i.steps.get(number);
    }

    /** Returns an iteration in progress, or null. */
    @Nullable
    LiveIteration iteration(int time) {
        return inProgress.get(time);
    }

    /** Returns the iterations in progress, the earliest first. */
    Collection<LiveIteration> iterations() {
        return inProgress.values();
    }

    /** Returns the steps of the iterations in progress. */
    Stream<LiveStep> steps() {
        return inProgress.values().stream().flatMap(i -> i.steps.stream());
    }

    /** Returns the tasks of the iterations in progress. */
    Stream<LiveTask> tasks() {
        return steps().flatMap(s -> s.tasks.stream());
    }

    /** Returns the number of tasks of the iterations in progress. */
    int tasksInProgress() {
        return inProgress.size() * tasksPerIteration();
    }

    int tasksPerIteration() {
        return completed.tasksPerIteration();
    }

    /** Returns the number of tasks of all iterations that are neither in progress nor completed. */
    long tasksDueOrLater() {
        int iterations = spec.repeat().repetitions() - inProgress.size() - completed.count();
        return (long) iterations * tasksPerIteration();
    }

    /** Returns the first iteration that is due and has not begun; {@link #NONE_DUE} if there is none. */
    int nextDue(long wallMillis) {
        boolean due = nextIteration < spec.repeat().repetitions()
                && wallMillis >= spec.repeat().dueMillis(nextIteration);
        return due ? nextIteration : NONE_DUE;
    }

    /** Creates the tasks of an iteration unless it has been completed. */
    void begin(int time) {
        if (!completed.contains(time)) {
            inProgress.computeIfAbsent(time, t -> new LiveIteration(this, t, stepMillis, criticalPaths));
        }
        updateNextIteration(nextIteration);
    }

    /** Discards the tasks of an iteration none of whose tasks has been placed; it begins again later. */
    void discard(int time) {
        inProgress.remove(time);
        updateNextIteration(Math.min(nextIteration, time));
    }

    /** Replaces the tasks of completed iterations by their records. */
    void retireCompleted() {
        // An immediate job ends when its only iteration does.
        if (spec.repeat().repetitions() == 1 || inProgress.values().stream().noneMatch(LiveIteration::isDone)) {
            return;
        }
        List<LiveIteration> done =
                inProgress.values().stream().filter(LiveIteration::isDone).toList();
        for (LiveIteration i : done) {
            completed.add(i.time, i.records());
            inProgress.remove(i.time);
        }
    }

    private void updateNextIteration(int from) {
        nextIteration = from;
        while (inProgress.containsKey(nextIteration) || completed.contains(nextIteration)) {
            nextIteration++;
        }
    }

    /** Returns when an iteration of the job is due, in milliseconds since 1970. */
    long dueMillis(int time) {
        return Math.max(spec.acceptedMillis(), spec.repeat().dueMillis(time));
    }

    /** Returns the time after its due time within which the job should end, by the expected duration of its steps. */
    long objectiveMillis() {
        return Math.round(policy.extension() * longestPathMillis) + policy.sloMillis();
    }

    /** Returns whether a task may still run, now or later. */
    boolean hasUnfinishedTasks() {
        return completed.count() + inProgress.size() < spec.repeat().repetitions()
                || inProgress.values().stream()
                        .anyMatch(i -> !i.unfinishedSteps().isEmpty());
    }

    /** Returns whether one of its tasks has been completed. */
    boolean hasCompletedTask() {
        boolean hasEndingStep = !spec.steps().stream().allMatch(StepSpec::longRunning);
        return (completed.count() > 0 && hasEndingStep) || steps().anyMatch(LiveStep::hasCompletedTask);
    }

    boolean hasTasksOnWorkers() {
        return tasks().anyMatch(t -> t.phase.occupiesWorker());
    }

    /** Restores the progress saved by an earlier owner and returns the tasks that a worker may hold. */
    List<TaskRecord> restore(JobProgress p, long now) {
        state = p.state();
        started = state != JobState.QUEUED;
        reason = p.reason();
        Map<Integer, List<TaskRecord>> byIteration = p.tasks().stream()
                .filter(this::isOwnTask)
                .collect(Collectors.groupingBy(TaskRecord::time, TreeMap::new, Collectors.toList()));
        List<TaskRecord> assigned = new ArrayList<>();
        byIteration.forEach((time, records) -> {
            if (isCompleted(records)) {
                completed.add(time, records);
            } else {
                begin(time);
                assigned.addAll(restore(records, now));
            }
        });
        updateNextIteration(0);
        return assigned;
    }

    private boolean isOwnTask(TaskRecord r) {
        return r.time() < spec.repeat().repetitions()
                && r.step() < spec.steps().size()
                && r.index() < spec.steps().get(r.step()).count();
    }

    private boolean isCompleted(List<TaskRecord> records) {
        return spec.repeat().repetitions() > 1
                && records.stream()
                                .filter(r -> r.done() && r.worker().isEmpty())
                                .count()
                        == tasksPerIteration();
    }

    private List<TaskRecord> restore(List<TaskRecord> records, long now) {
        List<TaskRecord> assigned = new ArrayList<>();
        for (TaskRecord r : records) {
            LiveTask t = task(new TaskId(r.time(), r.step(), r.index()));
            if (t == null) {
                continue;
            }
            t.restore(r, now);
            if (r.done() && !t.workDone) {
                t.setPhase(LiveTask.Phase.DONE);
            } else if (!r.worker().isEmpty()) {
                assigned.add(r);
            }
        }
        return assigned;
    }

    JobProgress progress(long wallMillis) {
        if (savedWithoutTasks) {
            return new JobProgress(state, List.of(), "", wallMillis, spec.workspace());
        }
        // For an ended job, the next owner only needs the tasks that are still on workers.
        Stream<TaskRecord> toSave = state.ended()
                ? tasks().filter(t -> t.phase.occupiesWorker()).map(LiveTask::toRecord)
                : Stream.concat(
                        completed.records(), inProgress.values().stream().flatMap(i -> i.records().stream()));
        return new JobProgress(state, toSave.toList(), reason, wallMillis, spec.workspace());
    }
}
