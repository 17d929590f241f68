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
final class CrashJudge {

    // Two may be chance; the third comes with nothing beside the task (see Suspicion).
    private static final int CRASHES_TO_GIVE_UP = 3;
    // A start without an answer may never have reached a worker that had crashed before; but one that crashes its
    // worker at once has no answer either. So each of these weighs less, and they come to an end too.
    private static final int CERTAIN_BESIDE_DOUBTFUL = 2;
    private static final int ALL_BESIDE_CERTAIN = 4;
    private static final int ALL_DOUBTFUL = 5;
    // Tasks of a step take about the same time; the rest allows for their difference.
    private static final double NEARLY_DONE = 0.9;
    // A lasting task meets a crash now and then for as long as it lasts: what has worked so long has not caused it.
    private static final long SOUND_MILLIS = 600_000;

    private final ServiceState state;

    CrashJudge(ServiceState state) {
        this.state = state;
    }

    /** A task that may have crashed its worker, and whether it was at work there when the worker was lost. */
    record Suspect(LiveTask task, boolean ran) {}

    /** Returns the suspects among the tasks of a worker that is lost, before they are taken off it. */
    List<Suspect> suspects(Collection<LiveTask> tasks, LossLog.Loss loss) {
        // What was never sent there, or was done before, has not crashed it.
        return tasks.stream()
                .filter(t -> t.phase != Phase.PLACED && !t.finished)
                .map(t -> new Suspect(t, t.isKnownToRun() && !mayHaveEndedBefore(t, loss)))
                .toList();
    }

    /**
     * Returns whether a run was due to end when its worker was last known to work: the loss may have come after its end. Of a
     * task that ran alone after several crashes this is less likely than a further one.
     */
    private boolean mayHaveEndedBefore(LiveTask t, LossLog.Loss loss) {
        return !t.step.longRunning()
                && !t.suspicion.closesWorker()
                && loss.from() - t.begunAt >= NEARLY_DONE * state.expectedMillis(t.of);
    }

    /**
     * Takes in that a worker is gone, after its tasks have been taken off it. One that drained has ended as planned; one that
     * can not be reached may live on, with nothing that runs. An order on its instance comes after it was emptied.
     */
    void onLost(LiveWorker w, LossEvidence evidence, LossLog.Loss loss, List<Suspect> suspects) {
        if (!evidence.provesEnd() || w.isKnownToDrain()) {
            return;
        }
        for (Suspect s : suspects) {
            if (!s.task.job.state.ended()) {
                count(s.task, s.ran, loss);
            }
        }
    }

    private void count(LiveTask t, boolean ran, LossLog.Loss loss) {
        if (t.step.longRunning() && t.ranMillis >= SOUND_MILLIS) {
            t.forgetCrashes();
        }
        if (ran) {
            t.certainLosses.add(loss);
        }
        int all = t.crashes + t.doubtfulCrashes + 1;
        // Another worker may have been found lost only now.
        int excused = t.excuse(l -> state.losses.hasCauseOutside(l, t.of, state.workers.values(), state.now()));
        int certain = t.crashes + (ran ? 1 : 0) - excused;
        int doubtful = all - certain;
        t.crashed(certain, doubtful, state.now());
        state.changed(t.job);
        String counts = "crashes=" + certain + " doubtful=" + doubtful + " lost=" + loss.worker();
        state.note(SchedulerEvent.Kind.CRASH_COUNTED, t, t.suspicion.name(), counts);
        if (isProven(certain, all)) {
            giveUp(t, all + " workers crashed under task " + t.id + ", the last was " + loss.worker());
        }
    }

    private static boolean isProven(int certain, int all) {
        return certain >= CRASHES_TO_GIVE_UP
                || (certain >= CERTAIN_BESIDE_DOUBTFUL && all >= ALL_BESIDE_CERTAIN)
                || all >= ALL_DOUBTFUL;
    }

    /**
     * Of a step that serves, the other tasks go on: users have them, and what a caller allows to be away leaves no room for
     * stopping them. Everything else can not be completed without the task.
     */
    private void giveUp(LiveTask t, String reason) {
        state.note(SchedulerEvent.Kind.TASK_GIVEN_UP, t, "", "reason=" + reason);
        boolean othersGoOn = t.step.longRunning() && !t.step.gang();
        if (othersGoOn) {
            state.finish(t, "given up");
        }
        if (!othersGoOn || t.job.allDone()) {
            state.end(t.job, JobState.FAILED, reason);
        }
    }
}
