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

/** All tasks of one step at one of the job's times. */
final class LiveStep {

    final LiveJob job;
    final int time;
    final int number;
    final StepSpec spec;
    /** What each of its tasks takes of a worker. */
    final Resources room;
    /** The amount charged to the workspace quota per task, also if a task fills its worker. */
    final Resources need;

    final List<LiveTask> tasks = new ArrayList<>();
    // Asked for in each pass over all steps, so counted and not looked up.
    private int waiting;
    private int done;
    private int wholeRuns;
    private long wholeRunsMillis;
    private long longestMillis;
    /** When the last of its tasks was done, by the owner's clock. */
    private long doneAt = Long.MIN_VALUE;

    /** How long the job still takes once this step begins, by what is expected: this step and those after it. */
    long tailMillis;
    /** The part of that which is this step's own. */
    long ownMillis;

    LiveStep(LiveJob job, int time, int number) {
        this.job = job;
        this.time = time;
        this.number = number;
        this.spec = job.spec.steps().get(number);
        this.room = Resources.of(spec);
        StepSpec.Need taskNeed = spec.need();
        this.need = new Resources(taskNeed.cpuMillis(), taskNeed.memoryMb(), taskNeed.accelerators());
        for (int i = 0; i < spec.count(); i++) {
            tasks.add(new LiveTask(this, new TaskId(time, number, i)));
        }
        waiting = tasks.size();
    }

    boolean isDone() {
        return done == tasks.size();
    }

    /** Takes in that one of its tasks goes from one phase to another. */
    void moved(LiveTask.Phase from, LiveTask.Phase to) {
        waiting += count(to == LiveTask.Phase.WAITING) - count(from == LiveTask.Phase.WAITING);
        done += count(to == LiveTask.Phase.DONE) - count(from == LiveTask.Phase.DONE);
        if (to.onWorker() && !from.onWorker()) {
            job.quota.add(need);
        } else if (from.onWorker() && !to.onWorker()) {
            job.quota.remove(need);
        }
    }

    /** Takes in that one of its tasks was done just now. */
    void doneAt(long now) {
        doneAt = now;
    }

    /** Returns when the last of the steps before it was done here, by the owner's clock; nothing without such steps. */
    OptionalLong readySince() {
        return spec.after().stream()
                .mapToLong(before -> job.step(time, before).doneAt)
                .filter(at -> at != Long.MIN_VALUE)
                .max();
    }

    private static int count(boolean one) {
        return one ? 1 : 0;
    }

    /** Returns how many of its tasks need a further run or its end. */
    int open() {
        return tasks.size() - done;
    }

    /** Returns how many of its tasks no worker holds. */
    int waiting() {
        return waiting;
    }

    /** Returns whether its tasks may start: its time has come and the steps before it are done. */
    boolean isReady(long wallMillis) {
        return wallMillis >= job.spec.repeat().dueMillis(time)
                && spec.after().stream()
                        .allMatch(before -> job.step(time, before).isDone());
    }

    /** Takes in how long a whole run of one of its tasks took. */
    void learn(long millis) {
        wholeRuns++;
        wholeRunsMillis += millis;
        longestMillis = Math.max(longestMillis, millis);
    }

    /** Returns how many times their mean the longest of its tasks took; 1 where one alone tells nothing. */
    double spread() {
        return wholeRuns < 2 ? 1 : (double) longestMillis / siblingsMillis();
    }

    /** Returns how long its tasks took that are done, on the mean; 0 when none is. */
    long siblingsMillis() {
        return wholeRuns == 0 ? 0 : Math.max(1, wholeRunsMillis / wholeRuns);
    }

    /** Returns how long the job still takes from this step on: less where all that is left of the step is at work. */
    long leftMillis() {
        long own = 0;
        for (LiveTask t : tasks) {
            if (t.phase != LiveTask.Phase.DONE) {
                own = Math.max(own, t.leftMillis(ownMillis));
            }
        }
        return tailMillis - ownMillis + own;
    }

    /** Returns the minimum amount that one placement requires: that of a single task, or of the whole gang. */
    Resources smallestPlacement() {
        return spec.gang() ? need.times(tasks.size()) : need;
    }

    boolean hasWaiting() {
        return waiting > 0;
    }
}
