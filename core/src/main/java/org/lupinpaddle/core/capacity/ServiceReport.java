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
package org.lupinpaddle.core.capacity;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lupinpaddle.core.common.CheckedRecord;
import org.lupinpaddle.core.common.Unreadable;

/**
 * The report of a service's owner to the rest of the system, in one record that is written when it changes.
 *
 * @param pendingByQueue the number of accepted jobs of each queue without a started task; queues without any are
 *     omitted
 * @param needed the number of workers that all current work requests, including the short-term forecast
 * @param firm the number of workers for the work that can still meet its objective
 * @param late the additional number of workers that late work could use, as long as late completions count
 * @param workers the load of each worker
 */
public record ServiceReport(
        Map<String, Integer> pendingByQueue, int needed, int firm, int late, List<WorkerLoad> workers)
        implements CheckedRecord {

    @Override
    public Optional<Unreadable> findError() {
        if (needed < 0 || firm < 0 || late < 0) {
            return outOfRange("needed");
        }
        if (pendingByQueue.values().stream().anyMatch(p -> p < 0)) {
            return outOfRange("pendingByQueue");
        }
        return workers.stream().allMatch(w -> w.lasting() >= 0 && w.finite() >= 0)
                ? Optional.empty()
                : outOfRange("workers");
    }

    private static Optional<Unreadable> outOfRange(String field) {
        return Optional.of(Unreadable.Reason.OUT_OF_RANGE.in(field));
    }
}
