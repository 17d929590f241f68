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
package org.lupinpaddle.core.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lupinpaddle.core.capacity.ServiceReport;
import org.lupinpaddle.core.upkeep.UpkeepRecord;
import org.lupinpaddle.core.upkeep.UpkeepWave;

/**
 * Drives waves of upkeep: never more of a wave out at one time than its operators allow, instances that run
 * nothing first, and from a pool that works no more at one time than its work can do without.
 */
final class WavePass {

    // A wave that keeps to this share of its time disturbs no pool that has work for all its instances; one that is
    // behind does.
    private static final double PATIENT_SHARE = 0.7;

    private final FleetState state;
    private final Set<Long> told = new HashSet<>();
    private final Map<Long, Long> freshSince = new HashMap<>();

    WavePass(FleetState state) {
        this.state = state;
    }

    void run() {
        for (UpkeepWave w : state.waves.values()) {
            if (!state.completed.contains(w.number())) {
                drive(w);
            }
        }
    }

    private void drive(UpkeepWave w) {
        if (told.add(w.number())) {
            state.port.tellWaveRunning(w.number());
            if (state.begun(w.number()).isEmpty()) {
                freshSince.put(w.number(), state.now());
            }
        }
        long out = state.errands.values().stream()
                .filter(e -> e.errand.isUpkeepOf(w.number()))
                .count();
        List<PlatformInstance> next = candidates(w);
        for (PlatformInstance i : next) {
            if (out >= w.most()) {
                break;
            }
            if (mayLeave(i, isBehind(w))) {
                state.begin(i, Errand.upkeep(w.number()), false);
                out++;
            }
        }
        if (out == 0 && isDone(w)) {
            complete(w);
        }
    }

    private List<PlatformInstance> candidates(UpkeepWave w) {
        List<PlatformInstance> all = new ArrayList<>();
        for (String id : w.instances()) {
            PlatformInstance i = state.instances.get(id);
            boolean free = i != null
                    && i.state() == PlatformInstance.State.UP
                    && !state.errands.containsKey(id)
                    && !state.begun(w.number()).contains(id);
            if (free) {
                all.add(i);
            }
        }
        all.sort(Comparator.<PlatformInstance>comparingInt(i -> state.isHeadroom(i.pool()) ? 0 : 1)
                .thenComparingInt(state::load));
        return all;
    }

    private boolean mayLeave(PlatformInstance i, boolean behind) {
        if (state.isHeadroom(i.pool())) {
            return true;
        }
        ServiceReport r = state.reports.get(i.pool());
        if (r == null) {
            return false;
        }
        long out = state.errands.values().stream()
                .filter(e -> e.service.equals(i.pool()))
                .count();
        int spare = state.staying(i.pool()).size() - r.needed();
        return spare > 0 || (behind && out == 0);
    }

    /** Returns whether too few instances have begun for the time that has passed; unknown after a change of owner. */
    private boolean isBehind(UpkeepWave w) {
        Long since = freshSince.get(w.number());
        if (since == null || w.durationMillis() <= 0) {
            return true;
        }
        double due = w.instances().size() * (state.now() - since) / (PATIENT_SHARE * w.durationMillis());
        return state.begun(w.number()).size() < due;
    }

    private boolean isDone(UpkeepWave w) {
        return !state.instances.isEmpty()
                && w.instances().stream()
                        .allMatch(i -> state.begun(w.number()).contains(i) || !state.instances.containsKey(i));
    }

    private void complete(UpkeepWave w) {
        state.completed.add(w.number());
        state.port.note("wave-completed", "", "wave=" + w.number());
        state.port.tellWaveCompleted(w.number(), new UpkeepRecord(List.copyOf(state.begun(w.number())), true));
    }
}
