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

/** One driver with its own view of the configuration, its own looks at workers, and steps it has decided on. */
final class FakeDriver implements FleetSight {

    final FleetView view = new FleetView();
    final List<WaveAction> decided = new ArrayList<>();
    private final Map<String, Sight> sights = new TreeMap<>();
    private final TreeMap<Long, Long> confirmed = new TreeMap<>();
    private final Map<String, Long> undrained = new HashMap<>();
    private Set<String> failed = Set.of();
    private Set<String> overdue = Set.of();

    void look(FakeWorker w, long now) {
        Sight old = sights.getOrDefault(w.id, Sight.NONE);
        sights.put(w.id, w.up ? w.look(now) : new Sight(old.incarnation(), false, old.leaving(), old.running(), now));
    }

    void noteConfirmed(long revision, long now) {
        if (confirmed.isEmpty() || revision > confirmed.lastKey()) {
            confirmed.put(revision, now);
        }
    }

    void noteUndrained(WaveAction.Maintain m, long now) {
        undrained.put(m.instance() + "@" + m.fence(), now);
    }

    void noteFailed(Set<String> now, Set<String> late) {
        failed = now;
        overdue = late;
    }

    /** Forgets all that is not in the store, as a new process does. */
    void restart() {
        decided.clear();
        sights.clear();
        confirmed.clear();
        undrained.clear();
    }

    @Override
    public Sight of(String instance) {
        return sights.getOrDefault(instance, Sight.NONE);
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
        Long at = undrained.get(instance + "@" + fence);
        return at == null ? OptionalLong.empty() : OptionalLong.of(at);
    }
}
