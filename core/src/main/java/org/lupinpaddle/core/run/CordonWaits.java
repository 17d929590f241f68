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

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.placement.Resources;
import org.lupinpaddle.core.run.LiveTask.Phase;

/**
 * Determines which tasks wait only because halls are cordoned, and for how long. Such a task would fit on a worker of a
 * cordoned hall that is otherwise usable, and on no usable worker.
 */
final class CordonWaits {

    // Looks at all waiting steps; the precision suffices for waits of seconds.
    private static final long UPDATE_INTERVAL_MILLIS = 100;
    private static final long NOT_WAITING = Long.MIN_VALUE;

    private final ServiceState state;
    /** The waits of tasks that are still to be placed. */
    private final Map<LiveTask, Wait> waits = new LinkedHashMap<>();
    /** The workers that could be given new tasks if no hall were cordoned. */
    private List<LiveWorker> cordoned = List.of();

    private long nextUpdateAt = Long.MIN_VALUE;

    private static final class Wait {
        long since = NOT_WAITING;
        long millis;

        void pause(long now) {
            millis = totalMillis(now);
            since = NOT_WAITING;
        }

        long totalMillis(long now) {
            return since == NOT_WAITING ? millis : millis + now - since;
        }
    }

    CordonWaits(ServiceState state) {
        this.state = state;
    }

    /** Prepares for a placement pass. */
    void beginPass() {
        cordoned = state.cordons.isAnyCordoned()
                ? state.workers.values().stream()
                        .filter(w -> state.isCordoned(w) && state.isUsableIfNotCordoned(w))
                        .toList()
                : List.of();
    }

    /**
     * Returns whether a hall is cordoned and none of the usable workers could run the step's waiting tasks, so that
     * quota would be of no use to them.
     */
    boolean needsNoQuota(LiveStep s, List<LiveWorker> usable) {
        if (!state.cordons.isAnyCordoned()) {
            return false;
        }
        StepRoom room = StepRoom.of(s, state.now());
        return room != null && !room.fits(usable, LiveWorker::roomPerStart);
    }

    /** Returns whether only a cordon keeps the step's waiting tasks from a worker, given the usable workers. */
    boolean isCause(LiveStep s, List<LiveWorker> usable) {
        StepRoom room = StepRoom.of(s, state.now());
        if (room == null) {
            return false;
        }
        long inCordonedHalls = room.count(cordoned, LiveWorker::roomFor, room.required());
        if (inCordonedHalls == 0) {
            return false;
        }
        // A wait for the next start on a cold worker is not due to the cordon.
        long elsewhere = room.count(usable, LiveWorker::roomBetweenStarts, room.required());
        return elsewhere < room.required() && elsewhere + inCordonedHalls >= room.required();
    }

    /** Returns whether workers could be given new tasks if no hall were cordoned, as of the last placement pass. */
    boolean hasCordonedWorkers() {
        return !cordoned.isEmpty();
    }

    /** Pauses all waits while nothing is placed for another reason. */
    void pause() {
        waits.values().forEach(w -> w.pause(state.now()));
    }

    /** Updates the waits after a placement pass over the usable workers. */
    void update(List<LiveWorker> usable) {
        long now = state.now();
        if (cordoned.isEmpty() ? waits.isEmpty() : now < nextUpdateAt) {
            return;
        }
        nextUpdateAt = now + UPDATE_INTERVAL_MILLIS;
        waits.keySet().removeIf(t -> t.phase != Phase.WAITING || t.job.state.ended() || !t.liveStep.isCurrent());
        pause();
        if (!cordoned.isEmpty()) {
            resumeAll(usable, now);
        }
    }

    private void resumeAll(List<LiveWorker> usable, long now) {
        // Most of thousands of waiting steps need more than any worker has free, and thus no look at each worker.
        Resources maxCordoned = LiveWorker.maxFree(cordoned, LiveWorker::free);
        Resources maxUsable = LiveWorker.maxFree(usable, LiveWorker::freeBetweenStarts);
        for (LiveStep s : state.waitingSteps(maxCordoned)) {
            if (isCause(s, maxUsable.canHold(s.room) ? usable : List.of())) {
                resume(s, now);
            }
        }
    }

    private void resume(LiveStep s, long now) {
        for (LiveTask t : s.tasks) {
            if (t.isPlaceable(now)) {
                waits.computeIfAbsent(t, k -> new Wait()).since = now;
            }
        }
    }

    /** Returns for how long a cordon alone has kept a task from a worker until its placement, and forgets it. */
    long placed(LiveTask t) {
        Wait w = waits.remove(t);
        return w == null ? 0 : w.totalMillis(state.now());
    }

    /** Returns the load due to cordons; null while no hall is cordoned. */
    LoadSummary.@Nullable CordonLoad load() {
        if (!state.cordons.isAnyCordoned()) {
            return null;
        }
        int running = state.workers.values().stream()
                .filter(state::isCordoned)
                .mapToInt(w -> w.tasks.size())
                .sum();
        int waiting = (int)
                waits.values().stream().filter(w -> w.since != NOT_WAITING).count();
        return new LoadSummary.CordonLoad(running, waiting);
    }
}
