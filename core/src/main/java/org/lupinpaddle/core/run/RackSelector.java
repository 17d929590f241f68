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
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** Orders the racks on which the tasks of a step may be placed together, because they run faster on a common rack. */
final class RackSelector {

    private RackSelector() {}

    /**
     * Returns the workers of each rack that may have room for {@code count} tasks of the step, the preferred rack
     * first: racks with enough warm workers, then the rack that has most of the step's tasks, then the one with the
     * most room. Only a placement shows whether the tasks fit, since each may have further requirements.
     */
    static List<List<LiveWorker>> racksByPreference(LiveStep step, List<LiveWorker> workers, int count) {
        List<LiveWorker> warm = workers.stream().filter(w -> !w.isCold()).toList();
        List<List<LiveWorker>> racks = new ArrayList<>();
        if (warm.size() < workers.size()) {
            racks.addAll(roomyRacks(step, warm, count));
        }
        racks.addAll(roomyRacks(step, workers, count));
        return racks;
    }

    private static List<List<LiveWorker>> roomyRacks(LiveStep step, List<LiveWorker> workers, int count) {
        Map<String, List<LiveWorker>> racks = workers.stream()
                .collect(
                        Collectors.groupingBy(w -> w.facts().failureDomain(), LinkedHashMap::new, Collectors.toList()));
        return racks.entrySet().stream()
                .filter(r -> roomFor(step, r.getValue()) >= count)
                .sorted(Comparator.<Map.Entry<String, List<LiveWorker>>>comparingLong(
                                r -> placedOnRack(step, r.getKey()))
                        .thenComparingLong(r -> roomFor(step, r.getValue()))
                        .reversed())
                .map(Map.Entry::getValue)
                .toList();
    }

    private static long placedOnRack(LiveStep step, String rack) {
        return step.tasks.stream()
                .map(t -> t.worker)
                .filter(w -> w != null && w.facts().failureDomain().equals(rack))
                .count();
    }

    /** Returns an upper bound on the number of the step's tasks that can be placed on the workers. */
    private static long roomFor(LiveStep step, Collection<LiveWorker> workers) {
        return workers.stream()
                .mapToLong(w -> Math.min(step.tasks.size(), w.roomFor(step)))
                .sum();
    }
}
