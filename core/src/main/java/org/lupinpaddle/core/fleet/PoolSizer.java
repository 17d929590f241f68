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
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lupinpaddle.core.capacity.ServiceReport;

/**
 * Keeps each pool as large as its work needs, and a reserve: fills it from the headroom pool, then from pools
 * that are too large; sends what is too much for a while into the headroom pool.
 */
final class PoolSizer {

    // Of instances that still carry something a pool gives up so many at a time; idle ones leave at once.
    private static final int MOST_EMPTYING = 3;

    private final FleetState state;
    private final Map<String, Long> tooLargeSince = new HashMap<>();

    PoolSizer(FleetState state) {
        this.state = state;
    }

    void run() {
        List<String> pools = new ArrayList<>(state.runningPools());
        pools.sort(Comparator.comparingInt(p -> supply(p) - wanted(p)));
        pools.forEach(this::grow);
        pools.forEach(this::shrink);
    }

    /** Returns how many workers a pool is to have; what it has where its owner has not told yet. */
    int wanted(String pool) {
        ServiceReport r = state.reports.get(pool);
        if (r == null) {
            return supply(pool);
        }
        return Math.max(state.timing.fewest(), r.needed() + state.timing.reserve());
    }

    int supply(String pool) {
        return state.staying(pool).size() + state.coming(pool);
    }

    private void grow(String pool) {
        for (int missing = wanted(pool) - supply(pool); missing > 0; missing--) {
            Optional<PlatformInstance> donor = donor(pool);
            if (donor.isEmpty()) {
                return;
            }
            state.begin(donor.get(), Errand.move(pool));
        }
    }

    private Optional<PlatformInstance> donor(String pool) {
        Optional<PlatformInstance> off = state.headroomPool().stream()
                .flatMap(h -> state.staying(h).stream())
                .filter(i -> mayMove(i, pool))
                .min(Comparator.comparing(this::awaitsUpkeep).thenComparing(i -> inHall(pool, i.hall())));
        if (off.isPresent()) {
            return off;
        }
        return state.runningPools().stream()
                .filter(p -> !p.equals(pool) && supply(p) > wanted(p))
                .flatMap(p -> state.staying(p).stream())
                .filter(i -> mayMove(i, pool))
                .min(Comparator.comparingInt(state::load));
    }

    private boolean mayMove(PlatformInstance i, String pool) {
        return state.mayOrder(i.id()) && !state.impossibleMoves.contains(i.id() + ">" + pool);
    }

    private long inHall(String pool, String hall) {
        return state.staying(pool).stream().filter(i -> i.hall().equals(hall)).count();
    }

    private boolean awaitsUpkeep(PlatformInstance i) {
        return state.waves.values().stream()
                .anyMatch(w -> w.instances().contains(i.id())
                        && !state.begun(w.number()).contains(i.id()));
    }

    private void shrink(String pool) {
        int surplus = supply(pool) - wanted(pool);
        Optional<String> headroom = state.headroomPool();
        if (surplus <= 0 || headroom.isEmpty() || state.coming(pool) > 0) {
            tooLargeSince.remove(pool);
            return;
        }
        long since = tooLargeSince.computeIfAbsent(pool, p -> state.now());
        if (state.now() - since < state.timing.shrinkAfterMillis()) {
            return;
        }
        long emptying = state.errands.values().stream()
                .filter(e -> e.service.equals(pool) && e.errand.kind() == Errand.Kind.MOVE)
                .count();
        List<PlatformInstance> order = state.staying(pool).stream()
                .filter(i -> mayMove(i, headroom.get()))
                .sorted(Comparator.comparingInt(state::load)
                        .thenComparing(Comparator.comparingLong((PlatformInstance i) -> inHall(pool, i.hall()))
                                .reversed()))
                .limit(surplus)
                .toList();
        for (PlatformInstance i : order) {
            boolean idle = state.load(i) == 0;
            if (idle || emptying < MOST_EMPTYING) {
                state.begin(i, Errand.move(headroom.get()));
                emptying += idle ? 0 : 1;
            }
        }
    }
}
