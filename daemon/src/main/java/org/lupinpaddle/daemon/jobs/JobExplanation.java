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
package org.lupinpaddle.daemon.jobs;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lupinpaddle.core.job.JobKey;
import org.lupinpaddle.core.job.JobProgress;
import org.lupinpaddle.core.job.JobSpec;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.job.TaskId;
import org.lupinpaddle.core.job.TaskRecord;

/** Describes the state of a job, where its tasks run and why it waits, as text lines for operators. */
final class JobExplanation {

    private JobExplanation() {}

    /**
     * Describes a job.
     *
     * @param owner the entry that owns the job's service; empty if there is none
     * @param halls the cordoned halls, with the workers and tasks of all halls
     * @param wallMillis the current wall-clock time
     */
    static List<String> of(
            JobSpec spec, JobProgress progress, boolean cancelled, String owner, HallSnapshot halls, long wallMillis) {
        List<String> lines = new ArrayList<>();
        lines.add(state(spec.key(), spec.service(), progress));
        lines.add("accepted " + (wallMillis - spec.acceptedMillis()) + " ms ago, last change "
                + (wallMillis - progress.changedMillis()) + " ms ago" + byCaller(cancelled));
        lines.add(owner.isEmpty() ? "waits: nobody owns " + spec.service() : "owner of its service: " + owner);
        if (!progress.state().ended()) {
            lines.addAll(steps(spec, progress, halls, wallMillis));
            progress.tasks().stream().filter(JobExplanation::hasCrashes).forEach(t -> lines.add(crashes(t)));
        }
        return lines;
    }

    /** Describes a finished job, of which only the progress is kept. */
    static List<String> ofFinished(
            JobKey job, String service, JobProgress progress, boolean cancelled, long wallMillis) {
        return List.of(
                state(job, service, progress),
                "over for " + (wallMillis - progress.changedMillis()) + " ms" + byCaller(cancelled)
                        + "; its steps are not kept any more");
    }

    private static String state(JobKey job, String service, JobProgress progress) {
        return "job " + job.id() + " of queue " + job.queue() + " on service " + service + ": " + progress.state()
                + (progress.reason().isEmpty() ? "" : ", " + progress.reason());
    }

    private static String byCaller(boolean cancelled) {
        return cancelled ? ", cancelled by its caller" : "";
    }

    private static List<String> steps(JobSpec spec, JobProgress progress, HallSnapshot halls, long wallMillis) {
        Map<TaskId, TaskRecord> tasks = new HashMap<>();
        progress.tasks().forEach(t -> tasks.put(new TaskId(t.time(), t.step(), t.index()), t));
        List<String> lines = new ArrayList<>();
        for (int time = 0; time < spec.repeat().repetitions(); time++) {
            for (int step = 0; step < spec.steps().size(); step++) {
                lines.add(step(spec, tasks, time, step, halls, wallMillis));
            }
        }
        return lines;
    }

    private static String step(
            JobSpec spec, Map<TaskId, TaskRecord> tasks, int time, int step, HallSnapshot halls, long wallMillis) {
        StepSpec s = spec.steps().get(step);
        int done = 0;
        List<String> on = new ArrayList<>();
        for (int i = 0; i < s.count(); i++) {
            TaskRecord t = tasks.get(new TaskId(time, step, i));
            if (t != null && t.done()) {
                done++;
            } else if (t != null && !t.worker().isEmpty()) {
                on.add(i + " on " + t.worker() + " (run " + t.run() + ", " + t.failures() + " failed)");
            }
        }
        int waiting = s.count() - done - on.size();
        String text = "step " + step + (spec.repeat().count() > 0 ? " of time " + time : "") + ": " + done + " of "
                + s.count() + " done" + (on.isEmpty() ? "" : ", placed: " + String.join(", ", on));
        return waiting == 0
                ? text
                : text + ", " + waiting + " wait " + reason(spec, tasks, time, step, halls, wallMillis);
    }

    private static boolean hasCrashes(TaskRecord t) {
        return t.knownCrashes() + t.knownDoubtfulCrashes() > 0;
    }

    private static String crashes(TaskRecord t) {
        TaskId id = new TaskId(t.time(), t.step(), t.index());
        return "task " + id + ": " + t.knownCrashes() + " workers crashed while they ran it, "
                + t.knownDoubtfulCrashes() + " more may have" + (t.done() ? "; it is not started again" : "");
    }

    private static String reason(
            JobSpec spec, Map<TaskId, TaskRecord> tasks, int time, int step, HallSnapshot halls, long wallMillis) {
        StepSpec s = spec.steps().get(step);
        long due = spec.repeat().dueMillis(time);
        if (wallMillis < due) {
            return "for their time, in " + (due - wallMillis) + " ms";
        }
        for (int before : s.after()) {
            for (int i = 0; i < spec.steps().get(before).count(); i++) {
                TaskRecord t = tasks.get(new TaskId(time, before, i));
                if (t == null || !t.done()) {
                    return "for step " + before;
                }
            }
        }
        HallSnapshot.CordonBlock block = halls.blockOf(spec, time, step);
        return "for a worker" + (block == null ? "" : outside(block)) + " with "
                + s.need().cpuMillis() + " thousandths of a core and "
                + s.need().memoryMb() + " MB"
                + (s.label().isEmpty() ? "" : " and the label " + s.label())
                + (block == null
                        ? ""
                        : block.isListedElsewhere()
                                ? "; the other halls have too little free room"
                                : "; the other halls have too few");
    }

    private static String outside(HallSnapshot.CordonBlock block) {
        return " outside of the cordoned " + (block.halls().size() == 1 ? "hall " : "halls ")
                + String.join(", ", block.halls());
    }
}
