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
import java.util.function.ToLongBiFunction;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.placement.PlacementRequest;
import org.lupinpaddle.core.placement.Placer;

/** Counts the room of workers for tasks of a step. */
final class StepRoom {

    private final LiveStep step;
    private final PlacementRequest request;

    private StepRoom(LiveStep step, PlacementRequest request) {
        this.step = step;
        this.request = request;
    }

    /** Returns the counter for tasks with the requirements of the given one. */
    static StepRoom of(LiveTask t, long now) {
        return new StepRoom(t.liveStep, t.placementRequirements(now));
    }

    /**
     * Returns the counter for a task with the same requirements, except that it may share a worker with any other
     * tasks.
     */
    StepRoom regardlessOfColocation() {
        return new StepRoom(step, with(request.excludeAvoidedWorkers(), request.requireProvenWorker()));
    }

    /** Returns the counter for a task with the same requirements that has neither failed nor crashed a worker. */
    StepRoom regardlessOfHistory() {
        return new StepRoom(step, with(false, false));
    }

    private PlacementRequest with(boolean excludeAvoidedWorkers, boolean requireProvenWorker) {
        return new PlacementRequest(
                request.step(),
                request.repetition(),
                request.avoidWorkers(),
                excludeAvoidedWorkers,
                request.avoidDomains(),
                request.colocation(),
                false,
                requireProvenWorker);
    }

    /** Returns the counter for the step's waiting tasks; null if none of them may be placed now. */
    static @Nullable StepRoom of(LiveStep s, long now) {
        LiveTask t = representative(s, now);
        return t == null ? null : of(t, now);
    }

    /**
     * Returns a waiting task that may be placed now, if possible one that avoids no worker, so that one task that has
     * failed does not stand for all others; null if there is none. A gang is placed as a whole.
     */
    private static @Nullable LiveTask representative(LiveStep s, long now) {
        LiveTask first = null;
        for (LiveTask t : s.tasks) {
            boolean placeable = t.isPlaceable(now);
            if (s.spec.gang() && !placeable) {
                return null;
            }
            if (placeable && (first == null || (!first.acceptsAnyWorker() && t.acceptsAnyWorker()))) {
                first = t;
            }
        }
        return first;
    }

    /** Returns the number of tasks in the smallest placement: one, or the whole gang. */
    long required() {
        return step.spec.gang() ? step.tasks.size() : 1;
    }

    /** Returns whether one placement fits on the workers, each of which has room for the given number of tasks. */
    boolean fits(List<LiveWorker> workers, ToLongBiFunction<LiveWorker, LiveStep> room) {
        return count(workers, room, required()) == required();
    }

    /** Returns whether the worker may run one more task as soon as it has room. */
    boolean isSuitable(LiveWorker w) {
        return Placer.isSuitable(w, request);
    }

    /** Returns whether the worker is suitable and has room for at least one task. */
    boolean fitsOne(LiveWorker w, ToLongBiFunction<LiveWorker, LiveStep> room) {
        return count(List.of(w), room, 1) == 1;
    }

    /** Returns the sum of the rooms of suitable workers, at most {@code limit}. */
    long count(List<LiveWorker> workers, ToLongBiFunction<LiveWorker, LiveStep> room, long limit) {
        long sum = 0;
        for (LiveWorker w : workers) {
            if (isSuitable(w)) {
                sum += room.applyAsLong(w, step);
                if (sum >= limit) {
                    return limit;
                }
            }
        }
        return sum;
    }
}
