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

import java.util.Collection;
import java.util.List;
import org.lupinpaddle.core.job.JobState;
import org.lupinpaddle.core.run.LiveTask.Phase;

/**
 * Counts the workers that crash under a task, and gives up what goes on crashing them. Such a task takes one worker after
 * another from all others, with what runs there, for as long as it is started again; no owner's memory ends that, so the count
 * is written with the choice of the next worker, before its start goes out.
 */
final class CrashTracker {

    // Two may be chance; the third comes with nothing beside the task (see Suspicion).
    private static final int CRASHES_TO_GIVE_UP = 3;
    // A start without an answer may never have reached a worker that had crashed before; but one that crashes its
    // worker at once has no answer either. So each of these weighs less, and they come to an end too.
    private static final int MIN_CERTAIN_WITH_DOUBTFUL = 2;
    private static final int TOTAL_WITH_CERTAIN = 4;
    private static final int TOTAL_DOUBTFUL = 5;
    // Tasks of a step take about the same time; the rest allows for their difference.
    private static final double NEARLY_DONE_SHARE = 0.9;
    // A lasting task meets a crash now and then for as long as it lasts: what has worked so long has not caused it.
    private static final long CRASH_RESET_MILLIS = 600_000;

    private final ServiceState state;

    CrashTracker(ServiceState state) {
        this.state = state;
    }

    /** A task that may have crashed its worker, and whether it was at work there when the worker was lost. */
    record Suspect(LiveTask task, boolean wasRunning) {}

    /** Returns the suspects among the tasks of a worker that is lost, before they are taken off it. */
    List<Suspect> suspects(Collection<LiveTask> tasks, RecentLosses.Loss loss) {
        // What was never sent there, or was done before, has not crashed it.
        return tasks.stream()
                .filter(t -> t.phase != Phase.PLACED && !t.workDone)
                .map(t -> new Suspect(t, t.hasStarted() && !mayHaveEndedBefore(t, loss)))
                .toList();
    }

    /**
     * Returns whether a run was due to end when its worker was last known to work: the loss may have come after its end. Of a
     * task that ran alone after several crashes this is less likely than a further one.
     */
    private boolean mayHaveEndedBefore(LiveTask t, RecentLosses.Loss loss) {
        return !t.step.longRunning()
                && !t.suspicion.requiresIsolation()
                && loss.from() - t.startedAt >= NEARLY_DONE_SHARE * state.expectedMillis(t.liveStep);
    }

    /**
     * Takes in that a worker is gone, after its tasks have been taken off it. One that drained has ended as planned; one that
     * can not be reached may live on, with nothing that runs. An order on its instance comes after it was emptied.
     */
    void onWorkerLost(LiveWorker w, LossEvidence evidence, RecentLosses.Loss loss, List<Suspect> suspects) {
        if (!evidence.provesEnd() || w.isDraining()) {
            return;
        }
        for (Suspect s : suspects) {
            if (!s.task.job.state.ended()) {
                countCrash(s.task, s.wasRunning, loss);
            }
        }
    }

    private void countCrash(LiveTask t, boolean wasRunning, RecentLosses.Loss loss) {
        if (t.step.longRunning() && t.lastRunMillis >= CRASH_RESET_MILLIS) {
            t.resetCrashes();
        }
        if (wasRunning) {
            t.certainLosses.add(loss);
        }
        int total = t.crashes + t.doubtfulCrashes + 1;
        // Another worker may have been found lost only now.
        int discounted = t.discountLosses(
                l -> state.losses.mayHaveOtherCause(l, t.liveStep, state.workers.values(), state.now()));
        int certain = t.crashes + (wasRunning ? 1 : 0) - discounted;
        int doubtful = total - certain;
        t.recordCrashes(certain, doubtful, state.now());
        state.markChanged(t.job);
        String counts = "crashes=" + certain + " doubtful=" + doubtful + " lost=" + loss.worker();
        state.note(SchedulerEvent.Kind.CRASH_COUNTED, t, t.suspicion.name(), counts);
        if (exceedsCrashLimit(certain, total)) {
            giveUp(t, total + " workers crashed under task " + t.id + ", the last was " + loss.worker());
        }
    }

    private static boolean exceedsCrashLimit(int certain, int total) {
        return certain >= CRASHES_TO_GIVE_UP
                || (certain >= MIN_CERTAIN_WITH_DOUBTFUL && total >= TOTAL_WITH_CERTAIN)
                || total >= TOTAL_DOUBTFUL;
    }

    /**
     * Of a step that serves, the other tasks go on: users have them, and what a caller allows to be away leaves no room for
     * stopping them. Everything else can not be completed without the task.
     */
    private void giveUp(LiveTask t, String reason) {
        state.note(SchedulerEvent.Kind.TASK_GIVEN_UP, t, "", "reason=" + reason);
        boolean keepOthers = t.step.longRunning() && !t.step.gang();
        if (keepOthers) {
            state.finish(t, "given up");
        }
        if (!keepOthers || t.job.allDone()) {
            state.endJob(t.job, JobState.FAILED, reason);
        }
    }
}
