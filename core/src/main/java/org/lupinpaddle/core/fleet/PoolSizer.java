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
import org.lupinpaddle.core.capacity.FleetShares;
import org.lupinpaddle.core.capacity.ServiceReport;

/**
 * Keeps each pool as large as its work needs, and a reserve, or at its share of the fleet while all work asks for more than
 * there is: fills it from the headroom pool, then from pools that have more; sends what is too much for a while into
 * the headroom pool.
 */
final class PoolSizer {

    // Of instances that still carry something a pool gives up so many at a time; idle ones leave at once.
    private static final int MAX_CONCURRENT_EVACUATIONS = 3;

    // Half of the fleet belongs to the pools in equal parts, the other half to where the work is: a pool whose demand
    // begins has something to begin with while other pools' instances are on their way (docs/POLICY.md, rounds 10, 11).
    private static final int STANDBY_DIVISOR = 2;

    private final FleetState state;
    private Map<String, Integer> shares = Map.of();
    /** How many instances each pool has at least, needed or not. */
    private int standby;
    /** Whether all work asks for more instances than there are. */
    private boolean overcommitted;

    private final Map<String, SlidingMaximum> recentHighs = new HashMap<>();
    /** How many instances each pool does not give away. */
    private final Map<String, Integer> retained = new HashMap<>();

    private final Map<String, Long> oversizedSince = new HashMap<>();

    PoolSizer(FleetState state) {
        this.state = state;
    }

    void run() {
        List<String> pools = new ArrayList<>(state.servicePools());
        shares = computeShares(pools);
        shares.forEach(this::updateRetained);
        pools.sort(Comparator.comparingInt(p -> supply(p) - share(p)));
        pools.forEach(this::grow);
        pools.forEach(this::shrink);
    }

    private void updateRetained(String pool, int share) {
        int high = recentHighs.computeIfAbsent(pool, p -> new SlidingMaximum()).update(state.now(), share);
        retained.put(pool, overcommitted ? high : share);
    }

    /** Returns how many instances each pool is to have: what all its work asks for, or its part while that is too much. */
    private Map<String, Integer> computeShares(List<String> pools) {
        int instances = state.headroomPool()
                        .map(h -> state.remainingInstances(h).size())
                        .orElse(0)
                + pools.stream().mapToInt(this::supply).sum();
        standby = Math.max(state.timing.minWorkers(), instances / (STANDBY_DIVISOR * Math.max(1, pools.size())));
        overcommitted = pools.stream().mapToInt(this::requested).sum() > instances;
        return FleetShares.divide(instances, pools.stream().map(this::claim).toList());
    }

    private int share(String pool) {
        return shares.getOrDefault(pool, 0);
    }

    /** Returns how many instances all of a pool's work asks for; what it has where its owner has not told yet. */
    private int requested(String pool) {
        ServiceReport r = state.reports.get(pool);
        return r == null ? supply(pool) : Math.max(standby, r.needed() + state.timing.reserve());
    }

    private FleetShares.Claim claim(String pool) {
        ServiceReport r = state.reports.get(pool);
        if (r == null) {
            return new FleetShares.Claim(pool, supply(pool), supply(pool), 0, 0);
        }
        int firm = Math.max(standby, r.firm() + state.timing.reserve());
        return new FleetShares.Claim(pool, standby, firm, r.late(), Math.max(0, requested(pool) - firm - r.late()));
    }

    /** Returns whether a pool lacks instances for work that can still end in time. */
    private boolean lacksRequiredInstances(String pool) {
        ServiceReport r = state.reports.get(pool);
        return r != null && supply(pool) < r.firm();
    }

    private int supply(String pool) {
        return state.usableInstances(pool).size() + state.incomingCount(pool);
    }

    private void grow(String pool) {
        for (int missing = share(pool) - supply(pool); missing > 0; missing--) {
            Optional<PlatformInstance> donor = donor(pool);
            if (donor.isEmpty()) {
                return;
            }
            state.startOperation(
                    donor.get(), InstanceOperation.move(pool), overcommitted && lacksRequiredInstances(pool));
        }
    }

    private Optional<PlatformInstance> donor(String pool) {
        Optional<PlatformInstance> spare = state.headroomPool().stream()
                .flatMap(h -> state.remainingInstances(h).stream())
                .filter(i -> mayMove(i, pool))
                .min(Comparator.comparing(this::awaitsUpkeep).thenComparing(i -> countInHall(pool, i.hall())));
        if (spare.isPresent()) {
            return spare;
        }
        return state.servicePools().stream()
                .filter(p -> !p.equals(pool) && hasSurplus(p))
                .flatMap(p -> state.usableInstances(p).stream())
                .filter(i -> mayMove(i, pool) && (!overcommitted || state.hasMinimumStay(i)))
                .min(Comparator.comparingInt(state::load));
    }

    /**
     * Returns whether a pool has more at work than it keeps. Those on their way to it do not count: they come 2 to 4 s later,
     * and a quarter to a half of all moves took instances from pools that were waiting for others.
     */
    private boolean hasSurplus(String pool) {
        return state.usableInstances(pool).size() > retained.getOrDefault(pool, 0);
    }

    private boolean mayMove(PlatformInstance i, String pool) {
        return state.mayOrderOnceEvacuated(i) && !state.impossibleMoves.contains(i.id() + ">" + pool);
    }

    private long countInHall(String pool, String hall) {
        return state.remainingInstances(pool).stream()
                .filter(i -> i.hall().equals(hall))
                .count();
    }

    private boolean awaitsUpkeep(PlatformInstance i) {
        return state.waves.values().stream()
                .anyMatch(w -> w.instances().contains(i.id())
                        && !state.begunInstances(w.number()).contains(i.id()));
    }

    private void shrink(String pool) {
        // Also work that is too late to count is finished, on what nobody else asks for.
        int surplus = supply(pool) - Math.max(share(pool), requested(pool));
        Optional<String> headroom = state.headroomPool();
        if (surplus <= 0 || headroom.isEmpty() || state.incomingCount(pool) > 0) {
            oversizedSince.remove(pool);
            return;
        }
        long since = oversizedSince.computeIfAbsent(pool, p -> state.now());
        if (state.now() - since < state.timing.shrinkAfterMillis()) {
            return;
        }
        long evacuating = state.ongoingOperations.values().stream()
                .filter(e -> e.service.equals(pool) && e.operation.kind() == InstanceOperation.Kind.MOVE)
                .count();
        List<PlatformInstance> leaving = state.usableInstances(pool).stream()
                .filter(i -> mayMove(i, headroom.get()))
                .sorted(Comparator.comparingInt(state::load)
                        .thenComparing(Comparator.comparingLong((PlatformInstance i) -> countInHall(pool, i.hall()))
                                .reversed()))
                .limit(surplus)
                .toList();
        for (PlatformInstance i : leaving) {
            boolean idle = state.load(i) == 0;
            if (idle || evacuating < MAX_CONCURRENT_EVACUATIONS) {
                state.startOperation(i, InstanceOperation.move(headroom.get()), false);
                evacuating += idle ? 0 : 1;
            }
        }
    }
}
