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
 * Throttles tasks that use spare capacity while the latency of a serving task on the same worker exceeds its target,
 * and moves them away if that does not help. Workers report the tail latency of the last half second.
 */
final class PacingPass {

    // A new pace takes effect after the platform's 100 ms and is visible in the latency half a second later; the next
    // answer to a hold takes up to a second more. The platform's limit of 4 s leaves time for three changes.
    private static final long SETTLE_MILLIS = 900;
    private static final int FULL = 100;
    private static final int FIRST_CUT = 40;
    private static final int STOPPED = 0;
    private static final int RAISE_STEP = 20;
    // Serving tasks must stay this far below their target, for this long, before the pace is raised.
    private static final double RAISE_THRESHOLD = 0.7;
    private static final long RAISE_DELAY_MILLIS = 2_000;
    // A task that has been paused for this long is moved to another worker.
    private static final long MOVE_AFTER_MILLIS = 4_000;
    private static final long RESEND_MILLIS = 200;

    private final ServiceState state;

    PacingPass(ServiceState state) {
        this.state = state;
    }

    void run() {
        for (LiveWorker w : state.workers.values()) {
            if (!w.hasFillerTasks()) {
                continue;
            }
            List<LiveTask> fillers = w.tasks.stream()
                    .filter(t -> t.step.fills() && t.phase == Phase.RUNNING)
                    .toList();
            if (!fillers.isEmpty()) {
                fillers.forEach(t -> decide(w, t));
                fillers.forEach(t -> send(w, t));
            }
        }
    }

    private void decide(LiveWorker w, LiveTask t) {
        long now = state.now();
        boolean overTarget = w.tasks.stream().anyMatch(s -> isServing(s) && s.reportedLoad > s.step.targetMillis());
        boolean belowThreshold = w.tasks.stream()
                .noneMatch(s -> isServing(s) && s.reportedLoad > RAISE_THRESHOLD * s.step.targetMillis());
        if (!belowThreshold) {
            t.belowTargetSince = Long.MAX_VALUE;
        } else if (t.belowTargetSince == Long.MAX_VALUE) {
            t.belowTargetSince = now;
        }
        if (t.paceInherited) {
            resetInheritedPace(w, t, now);
        }
        if (w.lastAnswerAt - t.paceChangedAt < SETTLE_MILLIS) {
            return;
        }
        if (overTarget && t.pacePercent > STOPPED) {
            setPace(t, t.pacePercent == FULL ? FIRST_CUT : STOPPED, now);
        } else if (overTarget && now - t.paceChangedAt > MOVE_AFTER_MILLIS && mayStop(w, t)) {
            t.avoid(w, now);
            state.stop(t, "disturbs-though-paced");
        } else if (t.pacePercent < FULL && now - t.belowTargetSince > RAISE_DELAY_MILLIS) {
            setPace(t, Math.min(FULL, t.pacePercent + RAISE_STEP), now);
            t.belowTargetSince = now;
        }
    }

    /** In a cordoned hall the task could not return to its worker, so it stays paused unless another one has room. */
    private boolean mayStop(LiveWorker w, LiveTask t) {
        return !state.isCordoned(w) || state.canMoveElsewhere(t);
    }

    /** Replaces the unknown pace set by an earlier owner: full speed if no task on the worker can be disturbed. */
    private void resetInheritedPace(LiveWorker w, LiveTask t, long now) {
        t.paceInherited = false;
        setPace(t, w.tasks.stream().anyMatch(PacingPass::hasTarget) ? FIRST_CUT : FULL, now);
    }

    private static boolean isServing(LiveTask t) {
        return t.phase == Phase.RUNNING && hasTarget(t);
    }

    private static boolean hasTarget(LiveTask t) {
        return t.step.targetMillis() > 0 && !t.step.fills();
    }

    private void setPace(LiveTask t, int percent, long now) {
        state.note(SchedulerEvent.Kind.TASK_PACED, t, Integer.toString(percent), "before=" + t.pacePercent);
        t.pacePercent = percent;
        t.paceChangedAt = now;
        t.nextPaceOrderAt = now;
        t.paceConfirmed = false;
    }

    private void send(LiveWorker w, LiveTask t) {
        if (!t.paceConfirmed && !t.paceInFlight && state.now() >= t.nextPaceOrderAt) {
            t.paceInFlight = true;
            state.port.pace(
                    new PaceOrder(w.facts(), t.job.spec.key().id(), t.id, t.run, t.pacePercent, state.nextFence(w)));
        }
    }

    void onPaced(PaceOrder order, OrderOutcome outcome) {
        LiveTask t = state.task(order.jobId(), order.task());
        if (t == null || t.run != order.run()) {
            return;
        }
        t.paceInFlight = false;
        if (outcome == OrderOutcome.FENCED && !state.wasFencedByOwnOrder(order.worker(), order.fence())) {
            state.port.ownershipLost(
                    "a pace was refused by the fence of " + order.worker().id());
        } else if (outcome == OrderOutcome.ACCEPTED) {
            t.paceConfirmed = order.percent() == t.pacePercent;
        } else {
            if (outcome == OrderOutcome.UNKNOWN) {
                state.fences.supersede(order.worker().id(), order.fence());
            }
            t.nextPaceOrderAt = state.now() + RESEND_MILLIS;
        }
    }
}
