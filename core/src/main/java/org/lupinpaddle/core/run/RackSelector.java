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
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.lupinpaddle.core.placement.Resources;

/** Selects one rack for the tasks of a step that run faster on a common rack, if one has room for all of them. */
final class RackSelector {

    private RackSelector() {}

    /**
     * Returns the workers for the step's waiting tasks: those on the rack that has most of its tasks, or else on the
     * rack with the most room; all workers if no rack has enough room. Racks with enough warm workers come first.
     */
    static List<LiveWorker> selectWorkers(LiveStep step, List<LiveWorker> workers) {
        List<LiveWorker> warm = workers.stream().filter(w -> !w.isCold()).toList();
        Optional<List<LiveWorker>> warmRack = warm.size() < workers.size() ? selectRack(step, warm) : Optional.empty();
        return warmRack.or(() -> selectRack(step, workers)).orElse(workers);
    }

    private static Optional<List<LiveWorker>> selectRack(LiveStep step, List<LiveWorker> workers) {
        Map<String, List<LiveWorker>> racks = workers.stream()
                .collect(
                        Collectors.groupingBy(w -> w.facts().failureDomain(), LinkedHashMap::new, Collectors.toList()));
        long waiting = step.tasks.stream()
                .filter(t -> t.phase == LiveTask.Phase.WAITING)
                .count();
        Resources taskRoom = Resources.of(step.spec);
        return racks.entrySet().stream()
                .filter(r -> capacityFor(taskRoom, r.getValue()) >= waiting)
                .max(Comparator.<Map.Entry<String, List<LiveWorker>>>comparingLong(r -> placedOnRack(step, r.getKey()))
                        .thenComparingLong(r -> capacityFor(taskRoom, r.getValue())))
                .map(Map.Entry::getValue);
    }

    private static long placedOnRack(LiveStep step, String rack) {
        return step.tasks.stream()
                .map(t -> t.worker)
                .filter(w -> w != null && w.facts().failureDomain().equals(rack))
                .count();
    }

    private static long capacityFor(Resources need, Collection<LiveWorker> workers) {
        return workers.stream().mapToLong(w -> w.free().countOf(need)).sum();
    }
}
