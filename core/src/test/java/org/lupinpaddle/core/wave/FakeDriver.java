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
package org.lupinpaddle.core.wave;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import org.lupinpaddle.core.view.FleetView;

/** A driver with its own view of the configuration, its own probes of the workers, and pending actions. */
final class FakeDriver implements FleetStatus {

    final FleetView view = new FleetView();
    final List<WaveAction> pendingActions = new ArrayList<>();
    private final Map<String, WorkerStatus> statuses = new TreeMap<>();
    private final TreeMap<Long, Long> confirmed = new TreeMap<>();
    private final Map<String, Long> undrainedAt = new HashMap<>();
    private Set<String> failed = Set.of();
    private Set<String> overdue = Set.of();

    void probe(FakeWorker w, long now) {
        WorkerStatus old = statuses.getOrDefault(w.id, WorkerStatus.NONE);
        statuses.put(
                w.id,
                w.up ? w.status(now) : new WorkerStatus(old.incarnation(), false, old.leaving(), old.running(), now));
    }

    void setConfirmed(long revision, long now) {
        if (confirmed.isEmpty() || revision > confirmed.lastKey()) {
            confirmed.put(revision, now);
        }
    }

    void setUndrained(WaveAction.Maintain m, long now) {
        undrainedAt.put(m.instance() + "@" + m.fence(), now);
    }

    void setFailed(Set<String> newFailed, Set<String> newOverdue) {
        failed = newFailed;
        overdue = newOverdue;
    }

    /** Discards all state that is not in the store, like a new process. */
    void restart() {
        pendingActions.clear();
        statuses.clear();
        confirmed.clear();
        undrainedAt.clear();
    }

    @Override
    public WorkerStatus statusOf(String instance) {
        return statuses.getOrDefault(instance, WorkerStatus.NONE);
    }

    @Override
    public Set<String> failed() {
        return failed;
    }

    @Override
    public Set<String> overdue() {
        return overdue;
    }

    @Override
    public OptionalLong confirmedAt(long revision) {
        Map.Entry<Long, Long> e = confirmed.ceilingEntry(revision);
        return e == null ? OptionalLong.empty() : OptionalLong.of(e.getValue());
    }

    @Override
    public OptionalLong undrainedAt(String instance, long fence) {
        Long at = undrainedAt.get(instance + "@" + fence);
        return at == null ? OptionalLong.empty() : OptionalLong.of(at);
    }
}
