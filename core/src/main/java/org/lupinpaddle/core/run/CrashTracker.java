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
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.lupinpaddle.core.job.JobState;
import org.lupinpaddle.core.run.LiveTask.Phase;

/**
 * Counts the workers that crash while running a task, and gives up tasks that keep crashing their workers. Such a
 * task would take down one worker after another, together with the other tasks there. The count must survive a change
 * of owner, so it is saved with the next placement, before the start is sent.
 *
 * <p>Workers that are lost together are detected one after the other. Until no further loss can turn up, a crash is
 * saved as doubtful and no task is given up for it, since neither the next owner nor the caller would learn that it
 * had another cause.
 */
final class CrashTracker {

    // Two crashes may be coincidence; before the third the task runs alone (see Suspicion).
    private static final int CRASHES_TO_GIVE_UP = 3;
    // An unanswered start may never have reached a worker that had already crashed, but a task that crashes its worker
    // at once leaves its start unanswered as well. Such doubtful crashes count less, but are limited too.
    private static final int MIN_CERTAIN_WITH_DOUBTFUL = 2;
    private static final int TOTAL_WITH_CERTAIN = 4;
    private static final int TOTAL_DOUBTFUL = 5;
    // Tasks of a step take about the same time; the margin covers their differences.
    private static final double NEARLY_DONE_SHARE = 0.9;
    // A long-running task sees occasional unrelated crashes; one that has run this long did not cause this one.
    private static final long CRASH_RESET_MILLIS = 600_000;

    private final ServiceState state;
    /** The certain crashes that a loss detected later may still explain, in the order of counting. */
    private final List<CertainCrash> certainCrashes = new ArrayList<>();
    /** The tasks that will be given up unless one of their crashes turns out to have another cause. */
    private final Set<LiveTask> pendingVerdicts = new LinkedHashSet<>();

    CrashTracker(ServiceState state) {
        this.state = state;
    }

    /** A task that may have crashed its worker, and whether it was running when the worker was lost. */
    record Suspect(LiveTask task, boolean wasRunning) {}

    /** A crash that counts as caused by a task. */
    private static final class CertainCrash {

        final LiveTask task;
        final RecentLosses.Loss loss;
        /** Whether no further loss at the same time can turn up. */
        boolean settled;

        CertainCrash(LiveTask task, RecentLosses.Loss loss) {
            this.task = task;
            this.loss = loss;
        }
    }

    /** Returns the suspects among the tasks of a lost worker, before they are removed from it. */
    List<Suspect> suspects(Collection<LiveTask> tasks, RecentLosses.Loss loss) {
        // Tasks that were not sent there, or whose work was done before, did not crash it.
        return tasks.stream()
                .filter(t -> t.phase != Phase.PLACED && !t.workDone)
                .map(t -> new Suspect(t, t.hasStarted() && !mayHaveEndedBefore(t, loss)))
                .toList();
    }

    /**
     * Returns whether a run was due to end before its worker was last known to be alive, so that the loss may have
     * come after its end. For a task that ran alone after several crashes, another crash is more likely.
     */
    private boolean mayHaveEndedBefore(LiveTask t, RecentLosses.Loss loss) {
        return !t.step.longRunning()
                && !t.suspicion.requiresIsolation()
                && loss.from() - t.startedAt >= NEARLY_DONE_SHARE * state.expectedMillis(t.liveStep);
    }

    /**
     * Counts the loss of a worker after its tasks have been removed. A draining worker ended as planned, and an
     * unreachable one may still be alive without running anything. Instances are only taken away from evacuated
     * workers.
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
            certainCrashes.removeIf(c -> c.task == t);
        }
        boolean certain = wasRunning && !mayHaveOtherCause(t, loss);
        t.recordCrashes(t.crashes + (certain ? 1 : 0), t.doubtfulCrashes + (certain ? 0 : 1), state.now());
        if (certain) {
            t.unsettledCrashes++;
            certainCrashes.add(new CertainCrash(t, loss));
        }
        state.markChanged(t.job);
        t.lastCrashedWorker = loss.worker();
        note(SchedulerEvent.Kind.CRASH_COUNTED, t, loss);
        if (exceedsCrashLimit(t)) {
            t.crashVerdictPending = true;
            pendingVerdicts.add(t);
        }
    }

    /**
     * Reviews the counted crashes: discounts those that losses detected since may explain, settles those that no
     * further loss can explain, and gives up the tasks that have caused too many.
     */
    void review() {
        long now = state.now();
        certainCrashes.removeIf(c -> c.task.job.state.ended() || discountIfExplained(c));
        certainCrashes.stream().filter(c -> !c.settled && isSettled(c.loss)).forEach(this::settle);
        certainCrashes.removeIf(c -> now - c.loss.to() > RecentLosses.RETENTION_MILLIS);
        for (LiveTask t : List.copyOf(pendingVerdicts)) {
            decide(t);
        }
    }

    private boolean mayHaveOtherCause(LiveTask t, RecentLosses.Loss loss) {
        return state.losses.mayHaveOtherCause(loss, t.liveStep, state.workers.values(), state.now());
    }

    private boolean isSettled(RecentLosses.Loss loss) {
        return RecentLosses.isSettled(loss, state.workers.values(), state.timing.silentMillis(), state.now());
    }

    private boolean discountIfExplained(CertainCrash c) {
        LiveTask t = c.task;
        boolean explained = mayHaveOtherCause(t, c.loss);
        if (explained) {
            t.unsettledCrashes -= c.settled ? 0 : 1;
            t.discountCrash();
            state.markChanged(t.job);
            note(SchedulerEvent.Kind.CRASH_DISCOUNTED, t, c.loss);
        }
        return explained;
    }

    private void settle(CertainCrash c) {
        c.settled = true;
        c.task.unsettledCrashes--;
        state.markChanged(c.task.job);
    }

    private void decide(LiveTask t) {
        boolean isNeeded = !t.job.state.ended() && t.phase != Phase.DONE && !t.workDone;
        boolean isDue = isNeeded && exceedsCrashLimit(t);
        if (isDue && mayStillBeDiscounted(t)) {
            return;
        }
        pendingVerdicts.remove(t);
        t.crashVerdictPending = false;
        if (isDue) {
            giveUp(t);
        }
    }

    /** Returns whether a loss detected later may bring the task below the limits again. */
    private static boolean mayStillBeDiscounted(LiveTask t) {
        return t.unsettledCrashes > 0 && t.crashes + t.doubtfulCrashes < TOTAL_DOUBTFUL;
    }

    private void note(SchedulerEvent.Kind kind, LiveTask t, RecentLosses.Loss loss) {
        String counts = "crashes=" + t.crashes + " doubtful=" + t.doubtfulCrashes + " lost=" + loss.worker();
        state.note(kind, t, t.suspicion.name(), counts);
    }

    private static boolean exceedsCrashLimit(LiveTask t) {
        int total = t.crashes + t.doubtfulCrashes;
        return t.crashes >= CRASHES_TO_GIVE_UP
                || (t.crashes >= MIN_CERTAIN_WITH_DOUBTFUL && total >= TOTAL_WITH_CERTAIN)
                || total >= TOTAL_DOUBTFUL;
    }

    /**
     * Gives up the task. In a long-running step the other tasks continue: users depend on them, and the caller's
     * limit on unavailable tasks does not allow stopping them. The job fails when nothing else of it is left to run. Any
     * other job cannot complete without the task.
     */
    private void giveUp(LiveTask t) {
        int total = t.crashes + t.doubtfulCrashes;
        String reason = total + " workers crashed under task " + t.id + ", the last was " + t.lastCrashedWorker;
        state.note(SchedulerEvent.Kind.TASK_GIVEN_UP, t, "", "reason=" + reason);
        boolean keepOthers = t.step.longRunning() && !t.step.gang();
        if (keepOthers) {
            t.job.reason = reason;
            state.finish(t, "given up");
            state.endIfFinished(t.job);
        } else {
            state.endJob(t.job, JobState.FAILED, reason);
        }
    }
}
