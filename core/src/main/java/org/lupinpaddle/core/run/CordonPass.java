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

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.lupinpaddle.core.run.LiveTask.Phase;

/**
 * Takes work off the workers of cordoned halls. Placements whose starts have not been sent are withdrawn, and
 * unanswered starts are stopped, in both cases with the whole gang. Long-running tasks move to other halls; finite
 * tasks end in place.
 */
final class CordonPass {

    // A move takes most of a second, and each check looks at all workers.
    private static final long MOVE_INTERVAL_MILLIS = 200;

    private final ServiceState state;
    private final Evacuator evacuator;
    /** Tasks that were stopped in order to move and have no new worker yet. */
    private final Set<LiveTask> moving = new HashSet<>();

    private long nextMovesAt = Long.MIN_VALUE;

    CordonPass(ServiceState state, Evacuator evacuator) {
        this.state = state;
        this.evacuator = evacuator;
    }

    void run() {
        if (!state.cordons.isAnyCordoned()) {
            moving.clear();
            return;
        }
        List<LiveWorker> cordoned =
                state.workers.values().stream().filter(state::isCordoned).toList();
        cordoned.forEach(this::withdrawStarts);
        if (state.now() >= nextMovesAt && state.isWorkerListFresh()) {
            nextMovesAt = state.now() + MOVE_INTERVAL_MILLIS;
            moveLongRunning(cordoned);
        }
    }

    /** A start in flight is left until its answer is due: it may have been carried out before the cordon. */
    private void withdrawStarts(LiveWorker w) {
        for (LiveTask t : List.copyOf(w.tasks)) {
            if (t.phase == Phase.PLACED || t.hasStartToSend()) {
                state.stopWithGang(t, "hall-cordoned");
            }
        }
    }

    private void moveLongRunning(List<LiveWorker> cordoned) {
        moving.removeIf(t -> t.job.state.ended() || (t.phase != Phase.STOPPING && t.phase != Phase.WAITING));
        Set<LiveStep> withoutRoom = new HashSet<>();
        for (LiveWorker w : cordoned) {
            if (w.runsLongRunningTask() && !w.isUnresponsive()) {
                w.tasks.forEach(t -> moveIfAllowed(w, t, withoutRoom));
            }
        }
    }

    /** A gang stays in place: to move one member would stop all, and its limit on unavailable tasks forbids that. */
    private void moveIfAllowed(LiveWorker w, LiveTask t, Set<LiveStep> withoutRoom) {
        boolean mayMove = t.step.longRunning()
                && !t.step.gang()
                && t.phase == Phase.RUNNING
                && !withoutRoom.contains(t.liveStep)
                && t.job.quota.mayReplace(t.liveStep.need)
                && evacuator.mayMove(w, t);
        if (!mayMove) {
            return;
        }
        if (hasRoomBesideMoving(t)) {
            moving.add(t);
            state.stop(t, "hall-cordoned");
        } else if (t.acceptsAnyWorker()) {
            // There is no room for the other tasks of the step either, since they need the same.
            withoutRoom.add(t.liveStep);
        }
    }

    /**
     * Returns whether usable workers have room for the task and for all tasks that are moving. Without this check a
     * cordon of a large hall would stop one task of each step at once, although only a few of them find room. Tasks
     * with other needs move in another round, since their room cannot be counted in units of this task's room.
     */
    private boolean hasRoomBesideMoving(LiveTask t) {
        if (!moving.stream().allMatch(m -> hasSameNeeds(m, t))) {
            return false;
        }
        long required = moving.size() + 1L;
        List<LiveWorker> usable = state.usableWorkers();
        return StepRoom.of(t, state.now()).count(usable, LiveWorker::roomFor, required) == required;
    }

    private static boolean hasSameNeeds(LiveTask a, LiveTask b) {
        return a.liveStep.room.equals(b.liveStep.room) && a.step.label().equals(b.step.label());
    }
}
