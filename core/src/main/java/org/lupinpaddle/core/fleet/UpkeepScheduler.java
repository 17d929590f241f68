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
 * Runs upkeep waves. The number of instances that are down at the same time never exceeds the wave's limit,
 * instances without tasks go first, and a busy pool gives up only what it can spare while the wave is on
 * schedule. Instances of cordoned halls are not among those that a pool can spare; idle ones are taken out regardless
 * of the needs of their pool, because they get no new work.
 */
final class UpkeepScheduler {

    // All upkeep should have started after this fraction of a wave's duration. The rest is needed to evacuate the
    // last workers, which takes as long as their tasks, and for their upkeep.
    private static final double START_DEADLINE_FRACTION = 0.7;

    /** The progress of a wave relative to its deadline, which decides what its pools must give up. */
    private enum Pace {
        /** Only instances that their pool can spare are taken out. */
        ON_SCHEDULE,
        /** Too few instances have started for the elapsed time: a busy pool gives up one at a time. */
        BEHIND_SCHEDULE,
        /** Instances are taken out up to the wave's limit, whatever the load of their pools. */
        OVERDUE
    }

    /**
     * An instance that may be taken out, with the values by which candidates are ordered. They are computed once,
     * because the load is looked up by a scan of the pool's report.
     */
    private record Candidate(PlatformInstance instance, boolean headroom, boolean idleInCordonedHall, int load) {

        static final Comparator<Candidate> ORDER = Comparator.comparing((Candidate c) -> !c.headroom())
                .thenComparing(c -> !c.idleInCordonedHall())
                .thenComparingInt(Candidate::load);
    }

    private final FleetState state;
    private final Set<Long> announced = new HashSet<>();

    UpkeepScheduler(FleetState state) {
        this.state = state;
    }

    void run() {
        for (UpkeepWave w : state.waves.values()) {
            if (!state.completed.contains(w.number())) {
                advance(w);
            }
        }
    }

    private void advance(UpkeepWave w) {
        if (announced.add(w.number())) {
            announce(w);
        }
        long down = countDown(w);
        Pace pace = pace(w);
        for (Candidate c : candidates(w)) {
            if (down >= w.maxDown()) {
                break;
            }
            if (mayTakeOut(c, pace)) {
                state.startOperation(c.instance(), InstanceOperation.upkeep(w.number()), false);
                down++;
            }
        }
        if (down == 0 && isDone(w)) {
            complete(w);
        }
    }

    private void announce(UpkeepWave w) {
        state.port.reportWaveRunning(w.number());
        if (!state.waveFirstSeenMillis.containsKey(w.number())) {
            long seen = state.firstSeenMillis(w.number());
            state.port.writeUpkeep(
                    w.number(), new UpkeepRecord(List.copyOf(state.begunInstances(w.number())), false, seen));
        }
    }

    /**
     * Returns the number of the wave's instances that are down or about to be, by order of this owner or a
     * predecessor.
     */
    private long countDown(UpkeepWave w) {
        long ownDown = state.ongoingOperations.values().stream()
                .filter(e -> e.operation.isUpkeepOf(w.number()))
                .count();
        long predecessorDown = w.instances().stream()
                .map(state.instances::get)
                .filter(i -> i != null && state.mayBeDownByPredecessor(i))
                .count();
        return ownDown + predecessorDown;
    }

    private List<Candidate> candidates(UpkeepWave w) {
        List<Candidate> all = new ArrayList<>();
        for (String id : w.instances()) {
            PlatformInstance i = state.instances.get(id);
            if (i != null && isSelectable(i, w)) {
                boolean idleInCordonedHall = state.isCordoned(i) && state.isIdle(i);
                all.add(new Candidate(i, state.isHeadroom(i.pool()), idleInCordonedHall, state.load(i)));
            }
        }
        all.sort(Candidate.ORDER);
        return all;
    }

    private boolean isSelectable(PlatformInstance i, UpkeepWave w) {
        return i.state() == PlatformInstance.State.UP
                && !state.ongoingOperations.containsKey(i.id())
                && !state.mayBeDownByPredecessor(i)
                && !state.isHeldBack(i)
                && !state.begunInstances(w.number()).contains(i.id());
    }

    private boolean mayTakeOut(Candidate c, Pace pace) {
        if (c.headroom() || c.idleInCordonedHall() || pace == Pace.OVERDUE) {
            return true;
        }
        PlatformInstance i = c.instance();
        ServiceReport r = state.reports.get(i.pool());
        if (r == null) {
            return false;
        }
        long down = state.ongoingOperations.values().stream()
                .filter(e -> e.service.equals(i.pool()))
                .count();
        int spare = state.availableInstances(i.pool()).size() - r.needed();
        return spare > 0 || (pace == Pace.BEHIND_SCHEDULE && down == 0);
    }

    private Pace pace(UpkeepWave w) {
        if (w.durationMillis() <= 0) {
            return Pace.BEHIND_SCHEDULE;
        }
        double startDeadlineMillis = START_DEADLINE_FRACTION * w.durationMillis();
        long elapsedMillis = state.wallClock.millis() - state.firstSeenMillis(w.number());
        if (elapsedMillis >= startDeadlineMillis) {
            return Pace.OVERDUE;
        }
        double expectedBegun = w.instances().size() * elapsedMillis / startDeadlineMillis;
        return state.begunInstances(w.number()).size() < expectedBegun ? Pace.BEHIND_SCHEDULE : Pace.ON_SCHEDULE;
    }

    private boolean isDone(UpkeepWave w) {
        return state.listComplete
                && !state.instances.isEmpty()
                && w.instances().stream()
                        .allMatch(i -> state.begunInstances(w.number()).contains(i) || !state.instances.containsKey(i));
    }

    private void complete(UpkeepWave w) {
        state.completed.add(w.number());
        state.port.logDecision("wave-completed", "", "wave=" + w.number());
        state.port.reportWaveCompleted(
                w.number(),
                new UpkeepRecord(
                        List.copyOf(state.begunInstances(w.number())), true, state.firstSeenMillis(w.number())));
    }
}
