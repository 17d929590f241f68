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
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.lupinpaddle.core.capacity.ServiceReport;
import org.lupinpaddle.core.upkeep.UpkeepRecord;
import org.lupinpaddle.core.upkeep.UpkeepWave;

/**
 * Drives waves of upkeep: never more of a wave out at one time than its operators allow, instances that run
 * nothing first, and from a pool that works no more at one time than its work can do without.
 */
final class WavePass {

    // By this share of its time all of a wave is to have begun: what is left is for emptying the last workers, which
    // takes as long as their tasks, and for their upkeep.
    private static final double PATIENT_SHARE = 0.7;

    /** How a wave stands by its time, and what its pools have to bear for it. */
    private enum Pace {
        /** Only instances leave that their pool's work can do without. */
        IN_TIME,
        /** Too few have begun for the time that has passed: a pool that works gives one at a time. */
        BEHIND,
        /** As many leave as may be down at one time, whatever their pools have to do. */
        OUT_OF_TIME
    }

    private final FleetState state;
    private final Set<Long> told = new HashSet<>();

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
            tellBegun(w);
        }
        long out = out(w);
        Pace pace = pace(w);
        for (PlatformInstance i : candidates(w)) {
            if (out >= w.most()) {
                break;
            }
            if (mayLeave(i, pace)) {
                state.begin(i, Errand.upkeep(w.number()), false);
                out++;
            }
        }
        if (out == 0 && isDone(w)) {
            complete(w);
        }
    }

    private void tellBegun(UpkeepWave w) {
        state.port.tellWaveRunning(w.number());
        if (!state.waveSeen.containsKey(w.number())) {
            long seen = state.seenMillis(w.number());
            state.port.writeUpkeep(w.number(), new UpkeepRecord(List.copyOf(state.begun(w.number())), false, seen));
        }
    }

    /** Returns how many instances of the wave are down, or on their way, by this owner's orders or an earlier one's. */
    private long out(UpkeepWave w) {
        long ours = state.errands.values().stream()
                .filter(e -> e.errand.isUpkeepOf(w.number()))
                .count();
        long others = w.instances().stream()
                .map(state.instances::get)
                .filter(i -> i != null && state.mayBeDownByOthers(i))
                .count();
        return ours + others;
    }

    private List<PlatformInstance> candidates(UpkeepWave w) {
        List<PlatformInstance> all = new ArrayList<>();
        for (String id : w.instances()) {
            PlatformInstance i = state.instances.get(id);
            boolean free = i != null
                    && i.state() == PlatformInstance.State.UP
                    && !state.errands.containsKey(id)
                    && !state.mayBeDownByOthers(i)
                    && !state.begun(w.number()).contains(id);
            if (free) {
                all.add(i);
            }
        }
        all.sort(Comparator.<PlatformInstance>comparingInt(i -> state.isHeadroom(i.pool()) ? 0 : 1)
                .thenComparingInt(state::load));
        return all;
    }

    private boolean mayLeave(PlatformInstance i, Pace pace) {
        if (state.isHeadroom(i.pool()) || pace == Pace.OUT_OF_TIME) {
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
        return spare > 0 || (pace == Pace.BEHIND && out == 0);
    }

    private Pace pace(UpkeepWave w) {
        if (w.durationMillis() <= 0) {
            return Pace.BEHIND;
        }
        double patient = PATIENT_SHARE * w.durationMillis();
        long passed = state.wall.millis() - state.seenMillis(w.number());
        if (passed >= patient) {
            return Pace.OUT_OF_TIME;
        }
        double due = w.instances().size() * passed / patient;
        return state.begun(w.number()).size() < due ? Pace.BEHIND : Pace.IN_TIME;
    }

    private boolean isDone(UpkeepWave w) {
        return state.listIsWhole
                && !state.instances.isEmpty()
                && w.instances().stream()
                        .allMatch(i -> state.begun(w.number()).contains(i) || !state.instances.containsKey(i));
    }

    private void complete(UpkeepWave w) {
        state.completed.add(w.number());
        state.port.note("wave-completed", "", "wave=" + w.number());
        state.port.tellWaveCompleted(
                w.number(), new UpkeepRecord(List.copyOf(state.begun(w.number())), true, state.seenMillis(w.number())));
    }
}
