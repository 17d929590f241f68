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
package org.lupinpaddle.core.placement;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * Chooses the worker for a task. Resources, label and the limit of tasks of a step per worker are hard
 * conditions. Earlier failures, cold workers, the rack of the data and the load are preferences, in this order.
 *
 * <p>Long-running tasks of a step are spread over workers that already run such tasks: moving them is slow, so
 * the other workers stay free to leave. Finite tasks are packed: they do not slow one another down, and idle
 * workers can leave the pool. Suspect tasks are spread too, and other tasks avoid their workers.
 *
 * <p>A warm worker is preferred to a cold one on the rack of the data, because running away from the data costs a
 * known factor of 1.5 to 3 and the slowness of a cold worker is unknown until a run on it has been seen. Tasks are
 * spread over cold workers, so that workers that return together share the load.
 */
public final class Placer {

    private Placer() {}

    /** Returns the best eligible candidate, or empty if there is none. */
    public static <C extends Candidate> Optional<C> choose(Collection<C> candidates, PlacementRequest request) {
        return candidates.stream().filter(c -> isEligible(c, request)).min(preference(request));
    }

    /** Returns whether the worker may run one more task of this kind. */
    public static boolean isEligible(Candidate c, PlacementRequest request) {
        return c.free().canHold(Resources.of(request.step())) && isSuitable(c, request);
    }

    /** Returns whether the worker may run one more task of this kind as soon as it has room. */
    public static boolean isSuitable(Candidate c, PlacementRequest request) {
        int maxPerWorker = request.step().perWorkerMost();
        return c.facts().hasLabel(request.step().label())
                && !(request.excludeAvoidedWorkers()
                        && request.avoidWorkers().contains(c.facts().id()))
                && (!request.requireProvenWorker() || c.lastRunSucceeded())
                && (!request.requireColocation() || request.colocation().allows(c))
                && (maxPerWorker == 0 || c.taskCount(request.repetition()) < maxPerWorker);
    }

    private static Comparator<Candidate> preference(PlacementRequest request) {
        return Comparator.<Candidate>comparingInt(
                        c -> request.avoidWorkers().contains(c.facts().id()) ? 1 : 0)
                .thenComparingInt(c -> request.avoidDomains().contains(c.facts().failureDomain()) ? 1 : 0)
                .thenComparingInt(c -> request.colocation().allows(c) ? 0 : 1)
                .thenComparingInt(c -> c.runsSuspectTask() ? 1 : 0)
                .thenComparingInt(c -> c.isCold() ? 1 : 0)
                .thenComparingInt(c -> c.facts().hasLabel(request.step().affinityRack()) ? 0 : 1)
                .thenComparingInt(c -> request.step().longRunning() ? c.taskCount(request.repetition()) : 0)
                .thenComparingInt(c -> request.step().longRunning() && !c.runsLongRunningTask() ? 1 : 0)
                .thenComparingLong(c -> prefersLeastLoaded(c, request) ? loadPerMille(c) : -loadPerMille(c))
                .thenComparing(c -> c.facts().id());
    }

    /**
     * Returns whether the least loaded worker is preferred, so that a suspect that crashes its worker takes down
     * few other tasks. Load is compared only between workers that are both warm or both cold.
     */
    private static boolean prefersLeastLoaded(Candidate c, PlacementRequest request) {
        return request.step().longRunning() || request.colocation() != Colocation.ANY || c.isCold();
    }

    private static long loadPerMille(Candidate c) {
        long total = Math.max(1, c.facts().capacity().cpuMillis());
        return (total - c.free().cpuMillis()) * 1000 / total;
    }
}
