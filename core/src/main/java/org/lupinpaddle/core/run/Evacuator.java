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

import java.util.List;
import org.lupinpaddle.core.run.LiveTask.Phase;

/**
 * Evacuates workers that are about to leave. Long-running tasks move to other workers, with no more tasks of a step
 * unavailable at one time than its caller allows; other tasks finish in place as long as the worker stays.
 */
final class Evacuator {

    private static final int READY_PERCENT = 100;
    // A call to a worker usually takes a few milliseconds; if it is slower, tasks are better left in place.
    private static final long ANSWER_SLACK_MILLIS = 500;
    // Resumable tasks of a draining worker are stopped below this remaining time, to save their progress.
    private static final long SAVE_WORK_MILLIS = 700;

    // A task that ends by itself about as soon as a stop would end it is left to finish.
    private static final long YIELD_MARGIN_MILLIS = 300;

    // Entries that lapsed during a store outage are back within this time after it.
    private static final long ENTRY_RETURN_MILLIS = 2_000;

    private final ServiceState state;

    Evacuator(ServiceState state) {
        this.state = state;
    }

    void run() {
        for (LiveWorker w : List.copyOf(state.workers.values())) {
            boolean evacuating = state.evacuating.contains(w.facts().id());
            if (evacuating && canBeRemoved(w)) {
                state.port.emptied(w.facts().id());
            } else if (evacuating || w.facts().draining() || isLeavingUnannounced(w)) {
                evacuate(w);
            }
        }
    }

    /**
     * Returns whether a worker continues to answer without an entry. It will end some seconds later without notice.
     * Long-running tasks should move while they can be stopped, but within the caller's limit on unavailable tasks,
     * since the entry may only have lapsed.
     */
    private boolean isLeavingUnannounced(LiveWorker w) {
        boolean isAnswering = state.now() - w.lastAnswerAt <= state.timing.silentMillis();
        return !w.listed && isAnswering && state.workersConfirmedAt - w.unlistedSince > ENTRY_RETURN_MILLIS;
    }

    /**
     * Returns whether the worker's instance may be taken away. Unreported results would be lost with it. A result
     * that only this owner has received would be lost if the owner were replaced before saving it, and completed work
     * would run again.
     */
    private static boolean canBeRemoved(LiveWorker w) {
        return w.tasks.isEmpty()
                && !w.runsUnreadableJobs
                && !w.results().hasPending()
                && !w.results().hasRetained();
    }

    private boolean isLate(LiveTask t) {
        int time = t.id.time();
        return !t.step.longRunning()
                && StepUrgency.Tier.of(t.job, time, state.wallNow() + t.liveStep.iteration.remainingMillis())
                        != StepUrgency.Tier.ON_TIME;
    }

    private void evacuate(LiveWorker w) {
        for (LiveTask t : List.copyOf(w.tasks)) {
            if (t.phase == Phase.PLACED && !t.step.gang()) {
                // Its start has not been sent, so moving it costs nothing. A gang starts as a whole or not at all.
                state.stop(t, "worker-is-emptied");
                state.markChanged(t.job);
            }
            if (t.phase != Phase.RUNNING) {
                continue;
            }
            if (t.step.longRunning()) {
                moveLongRunning(w, t);
            } else if (state.urgentlyEvacuating.contains(w.facts().id()) && shouldYield(w, t)) {
                state.stop(t, "gives-way percent=" + t.percent);
            } else if (w.facts().draining()
                    && t.step.checkpointing()
                    && w.remainingMillis(state.now()) < SAVE_WORK_MILLIS) {
                state.stop(t, "worker-ends-soon");
            }
        }
    }

    /**
     * Returns whether to stop a task so that its instance can serve waiting work. This applies to tasks that can
     * resume elsewhere, and to tasks that are already late; since the latter lose their progress, only if no other
     * task keeps the worker.
     */
    private boolean shouldYield(LiveWorker w, LiveTask t) {
        boolean canYield =
                canResumeElsewhere(t) || (isLate(t) && w.tasks.stream().noneMatch(this::mustFinishInPlace));
        return canYield
                && t.remainingMillis(state.expectedMillis(t.liveStep))
                        > state.timing.stopMillis() + YIELD_MARGIN_MILLIS;
    }

    private boolean mustFinishInPlace(LiveTask t) {
        return !t.step.longRunning() && !canResumeElsewhere(t) && !isLate(t);
    }

    private static boolean canResumeElsewhere(LiveTask t) {
        return t.step.checkpointing() && !t.step.gang();
    }

    private void moveLongRunning(LiveWorker w, LiveTask t) {
        if (mayMove(w, t) && state.canMoveElsewhere(t)) {
            state.stop(t, w.facts().draining() ? "worker-drains" : "worker-is-emptied");
        }
    }

    /** Returns whether a running long-running task may be stopped now in order to move to another worker. */
    boolean mayMove(LiveWorker w, LiveTask t) {
        if (w.isIsolated(t) && !w.facts().draining()) {
            // Each start of a task that may crash its worker puts another worker at risk, so a run that has not proven
            // itself is left in place.
            return false;
        }
        return w.facts().draining() || unavailableSiblings(t) < Math.max(1, t.step.mayMiss());
    }

    private long unavailableSiblings(LiveTask t) {
        return t.liveStep.tasks.stream().filter(m -> m != t && !isServing(m)).count();
    }

    /**
     * Returns whether a task is ready. A worker that has not answered for a while may be gone with its tasks, and a
     * task that an earlier owner has stopped looks ready until it ends.
     */
    private boolean isServing(LiveTask t) {
        LiveWorker w = t.worker;
        return t.phase == Phase.RUNNING
                && t.percent >= READY_PERCENT
                && w != null
                && !(t.inherited && w.mayFollowEarlierOwner(state.now(), state.timing.stopMillis()))
                && state.now() - w.lastAnswerAt <= state.timing.busyWaitMillis() + ANSWER_SLACK_MILLIS;
    }
}
