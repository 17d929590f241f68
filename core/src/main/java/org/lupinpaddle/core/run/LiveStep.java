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
import java.util.List;
import java.util.OptionalLong;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.job.TaskId;
import org.lupinpaddle.core.placement.Resources;
import org.lupinpaddle.core.placement.StepRepetition;

/** The tasks of one step in one iteration of a job. */
final class LiveStep {

    final LiveJob job;
    final LiveIteration iteration;
    final int time;
    final int number;
    final StepSpec spec;
    /** Identifies the step among those of all jobs and iterations. */
    final StepRepetition repetition;
    /** The room that each of its tasks occupies on a worker. */
    final Resources room;
    /** The amount charged to the workspace quota per task, even if the task occupies a whole worker. */
    final Resources need;

    final List<LiveTask> tasks = new ArrayList<>();
    // Counters, because they are read in each pass over all steps.
    private int waiting;
    private int done;
    private int completedRuns;
    private long completedRunsMillis;
    private long longestMillis;
    private boolean hasColdRuns;
    /** When the last of its tasks was completed, by the owner's clock. */
    private long doneAt = Long.MIN_VALUE;

    /**
     * The expected duration of the job from the start of this step: the step and the longest chain of steps after it.
     */
    final long criticalPathMillis;
    /** The part of that duration due to the step itself. */
    final long expectedStepMillis;

    LiveStep(LiveIteration iteration, int number, long expectedStepMillis, long criticalPathMillis) {
        this.iteration = iteration;
        this.job = iteration.job;
        this.time = iteration.time;
        this.number = number;
        this.spec = job.spec.steps().get(number);
        this.repetition = new StepRepetition(job.spec.key(), time, number);
        this.expectedStepMillis = expectedStepMillis;
        this.criticalPathMillis = criticalPathMillis;
        this.room = Resources.of(spec);
        StepSpec.Need taskNeed = spec.need();
        this.need = new Resources(taskNeed.cpuMillis(), taskNeed.memoryMb(), taskNeed.accelerators());
        for (int i = 0; i < spec.count(); i++) {
            tasks.add(new LiveTask(this, new TaskId(time, number, i)));
        }
        waiting = tasks.size();
    }

    /** Returns whether it is still in progress and has not been discarded to free memory. */
    boolean isCurrent() {
        return job.stepInProgress(time, number) == this;
    }

    /** Returns whether no task needs a further run: each has been completed or, in a long-running step, given up. */
    boolean isDone() {
        return done == tasks.size();
    }

    /** Returns whether all tasks have been completed; those of a long-running step never are. */
    boolean isCompleted() {
        return isDone() && !spec.longRunning();
    }

    /** Returns whether all tasks have been given up, so that the steps after it cannot start. */
    boolean isGivenUp() {
        return isDone() && spec.longRunning();
    }

    /** Returns whether one of its tasks has been completed. */
    boolean hasCompletedTask() {
        return done > 0 && !spec.longRunning();
    }

    boolean hasTasksOnWorkers() {
        return waiting + done < tasks.size();
    }

    /** Updates the counters and the quota when one of its tasks changes phase. */
    void phaseChanged(LiveTask.Phase from, LiveTask.Phase to) {
        waiting += count(to == LiveTask.Phase.WAITING) - count(from == LiveTask.Phase.WAITING);
        done += count(to == LiveTask.Phase.DONE) - count(from == LiveTask.Phase.DONE);
        if (to.occupiesWorker() && !from.occupiesWorker()) {
            job.quota.add(need);
        } else if (from.occupiesWorker() && !to.occupiesWorker()) {
            job.quota.remove(need);
        }
        if (to == LiveTask.Phase.STOPPING && from != LiveTask.Phase.STOPPING) {
            job.quota.addStopping(need);
        } else if (from == LiveTask.Phase.STOPPING && to != LiveTask.Phase.STOPPING) {
            job.quota.removeStopping(need);
        }
    }

    /** Records when one of its tasks was completed. */
    void doneAt(long now) {
        doneAt = now;
    }

    /**
     * Returns when the last of its predecessors was completed under this owner, by the owner's clock; empty if there
     * is none.
     */
    OptionalLong readySince() {
        return spec.after().stream()
                .mapToLong(before -> iteration.steps.get(before).doneAt)
                .filter(at -> at != Long.MIN_VALUE)
                .max();
    }

    private static int count(boolean matches) {
        return matches ? 1 : 0;
    }

    /** Returns the number of tasks that are not done. */
    int unfinished() {
        return tasks.size() - done;
    }

    /** Returns the number of tasks that are not assigned to a worker. */
    int waiting() {
        return waiting;
    }

    /** Returns whether its tasks may start: the iteration is due and all preceding steps are completed. */
    boolean isReady(long wallMillis) {
        return wallMillis >= job.spec.repeat().dueMillis(time)
                && spec.after().stream()
                        .allMatch(before -> iteration.steps.get(before).isCompleted());
    }

    /** Records the duration of a full run of one of its tasks. */
    void recordRunTime(long millis) {
        completedRuns++;
        completedRunsMillis += millis;
        longestMillis = Math.max(longestMillis, millis);
    }

    /** Records that one of its tasks ran on a cold worker; its duration is not comparable with the others. */
    void recordColdRun() {
        hasColdRuns = true;
    }

    /** Returns whether some of its tasks ran on cold workers. */
    boolean hasColdRuns() {
        return hasColdRuns;
    }

    /** Returns the ratio of the longest to the mean run time of its tasks; 1 with fewer than two runs. */
    double maxToMeanRatio() {
        return completedRuns < 2 ? 1 : (double) longestMillis / meanRunMillis();
    }

    /** Returns the mean run time of its completed tasks; 0 if there is none. */
    long meanRunMillis() {
        return completedRuns == 0 ? 0 : Math.max(1, completedRunsMillis / completedRuns);
    }

    /**
     * Returns the expected remaining duration of the job from this step on, allowing for the progress of running
     * tasks.
     */
    long remainingMillis() {
        long remaining = 0;
        for (LiveTask t : tasks) {
            if (t.phase != LiveTask.Phase.DONE) {
                remaining = Math.max(remaining, t.remainingMillis(expectedStepMillis));
            }
        }
        return criticalPathMillis - expectedStepMillis + remaining;
    }

    /** Returns the minimum amount that one placement requires: that of a single task, or of the whole gang. */
    Resources minPlacement() {
        return spec.gang() ? need.times(tasks.size()) : need;
    }

    boolean hasWaiting() {
        return waiting > 0;
    }
}
