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
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.job.JobProgress;
import org.lupinpaddle.core.job.JobSpec;
import org.lupinpaddle.core.job.JobState;
import org.lupinpaddle.core.job.StepOrder;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.job.TaskId;
import org.lupinpaddle.core.job.TaskRecord;
import org.lupinpaddle.core.workspace.WorkspaceQuota;

/** The scheduler's state of one job and its tasks. */
final class LiveJob {

    final JobSpec spec;
    final WorkspaceQuota quota;

    final List<LiveTask> tasks = new ArrayList<>();
    final List<LiveStep> steps = new ArrayList<>();
    JobState state = JobState.QUEUED;
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
    private final Map<TaskId, LiveTask> byId = new HashMap<>();
    private final long objectiveMillis;

    LiveJob(JobSpec spec, WorkspaceQuota quota, RunTimeEstimator times) {
        this.spec = spec;
        this.quota = quota;
        for (int k = 0; k < spec.repeat().repetitions(); k++) {
            for (int s = 0; s < spec.steps().size(); s++) {
                LiveStep step = new LiveStep(this, k, s);
                steps.add(step);
                tasks.addAll(step.tasks);
                step.tasks.forEach(t -> byId.put(t.id, t));
            }
        }
        long[] stepMillis = IntStream.range(0, spec.steps().size())
                .mapToLong(s -> ownMillis(s, times))
                .toArray();
        long[] criticalPaths = criticalPaths(stepMillis);
        for (LiveStep s : steps) {
            s.expectedStepMillis = stepMillis[s.number];
            s.criticalPathMillis = criticalPaths[s.number];
        }
        long criticalPath = Arrays.stream(criticalPaths).max().orElse(0);
        objectiveMillis = Math.round(spec.policy().extension() * criticalPath)
                + spec.policy().sloMillis();
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

    @Nullable
    LiveTask task(TaskId id) {
        return byId.get(id);
    }

    LiveStep step(int time, int number) {
        return steps.get(time * spec.steps().size() + number);
    }

    /** Returns the steps of one iteration. */
    List<LiveStep> steps(int time) {
        int count = spec.steps().size();
        return steps.subList(time * count, (time + 1) * count);
    }

    /** Returns when an iteration of the job is due, in milliseconds since 1970. */
    long dueMillis(int time) {
        return Math.max(spec.acceptedMillis(), spec.repeat().dueMillis(time));
    }

    /** Returns the expected remaining duration of an iteration, with its steps in sequence. */
    long remainingMillis(int time) {
        long longest = 0;
        for (LiveStep s : steps(time)) {
            if (!s.isDone()) {
                longest = Math.max(longest, s.remainingMillis());
            }
        }
        return longest;
    }

    /** Returns the time after its due time within which the job should end, by the expected duration of its steps. */
    long objectiveMillis() {
        return objectiveMillis;
    }

    boolean allDone() {
        return steps.stream().allMatch(LiveStep::isDone);
    }

    boolean hasTasksOnWorkers() {
        return tasks.stream().anyMatch(t -> t.phase.occupiesWorker());
    }

    /** Restores the progress saved by an earlier owner and returns the tasks that a worker may hold. */
    List<TaskRecord> restore(JobProgress p, long now) {
        state = p.state();
        started = state != JobState.QUEUED;
        reason = p.reason();
        List<TaskRecord> assigned = new ArrayList<>();
        for (TaskRecord r : p.tasks()) {
            LiveTask t = byId.get(new TaskId(r.time(), r.step(), r.index()));
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
        List<TaskRecord> tasksToSave = tasks.stream()
                .filter(t -> state.ended() ? t.phase.occupiesWorker() : t.hasBeenPlaced())
                .map(LiveTask::toRecord)
                .toList();
        return new JobProgress(state, tasksToSave, reason, wallMillis, spec.workspace());
    }
}
