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
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.job.JobProgress;
import org.lupinpaddle.core.job.JobSpec;
import org.lupinpaddle.core.job.JobState;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.job.TaskId;
import org.lupinpaddle.core.job.TaskRecord;

/** One job at the owner of its service, with all its tasks. */
final class LiveJob {

    final JobSpec spec;
    final List<LiveTask> tasks = new ArrayList<>();
    JobState state = JobState.QUEUED;
    String reason = "";
    /** Whether a worker has begun one of its tasks. */
    boolean begun;
    /** Counts changes that must become durable; the saved one is the newest known to be in the store. */
    long version;

    long savedVersion;
    long endedAt = Long.MAX_VALUE;
    private final Map<TaskId, LiveTask> byId = new HashMap<>();

    LiveJob(JobSpec spec) {
        this.spec = spec;
        for (int k = 0; k < spec.repeat().times(); k++) {
            for (int s = 0; s < spec.steps().size(); s++) {
                addStep(k, s);
            }
        }
    }

    private void addStep(int time, int stepNumber) {
        StepSpec step = spec.steps().get(stepNumber);
        for (int i = 0; i < step.count(); i++) {
            LiveTask t = new LiveTask(this, new TaskId(time, stepNumber, i), step);
            tasks.add(t);
            byId.put(t.id, t);
        }
    }

    @Nullable
    LiveTask task(TaskId id) {
        return byId.get(id);
    }

    /** Returns whether the tasks of a step may start: its time has come and the steps before it are done. */
    boolean stepReady(TaskId id, long wallMillis) {
        if (wallMillis < spec.repeat().dueMillis(id.time())) {
            return false;
        }
        for (int before : spec.steps().get(id.step()).after()) {
            if (!stepDone(id.time(), before)) {
                return false;
            }
        }
        return true;
    }

    private boolean stepDone(int time, int step) {
        for (LiveTask t : tasks) {
            if (t.id.time() == time && t.id.step() == step && t.phase != LiveTask.Phase.DONE) {
                return false;
            }
        }
        return true;
    }

    List<LiveTask> members(TaskId of) {
        return tasks.stream()
                .filter(t -> t.id.time() == of.time() && t.id.step() == of.step())
                .toList();
    }

    boolean allDone() {
        return tasks.stream().allMatch(t -> t.phase == LiveTask.Phase.DONE);
    }

    boolean onWorkers() {
        return tasks.stream().anyMatch(t -> t.phase.onWorker());
    }

    /** Takes over what an earlier owner has written; returns the tasks that a worker may hold. */
    List<TaskRecord> restore(JobProgress p) {
        state = p.state();
        begun = state != JobState.QUEUED;
        reason = p.reason();
        List<TaskRecord> held = new ArrayList<>();
        for (TaskRecord r : p.tasks()) {
            LiveTask t = byId.get(new TaskId(r.time(), r.step(), r.index()));
            if (t == null) {
                continue;
            }
            t.run = r.run();
            t.failures = r.failures();
            t.checkpoint = r.checkpoint();
            if (r.done()) {
                t.phase = LiveTask.Phase.DONE;
            } else if (!r.worker().isEmpty()) {
                held.add(r);
            }
        }
        return held;
    }

    JobProgress progress(long wallMillis) {
        List<TaskRecord> touched =
                tasks.stream().filter(LiveTask::touched).map(LiveTask::record).toList();
        return new JobProgress(state, touched, reason, wallMillis);
    }
}
