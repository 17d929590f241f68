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
import java.util.Set;
import org.lupinpaddle.core.capacity.FleetShares;
import org.lupinpaddle.core.capacity.ServiceReport;

/**
 * Sizes each pool to its demand plus a reserve, or to its share of the fleet while total demand exceeds the
 * number of instances. Pools grow from the headroom pool first, then from pools with a surplus. A surplus that
 * persists moves to the headroom pool. Instances of cordoned halls count in no pool and are not moved.
 */
final class PoolSizer {

    // Limits how many loaded instances of a pool are evacuated at the same time; idle instances leave at once.
    private static final int MAX_CONCURRENT_EVACUATIONS = 3;

    // Half of the fleet is divided evenly between the pools, the other half goes where the demand is. A pool
    // whose demand starts can thus begin with its own instances while others are moving to it (docs/POLICY.md,
    // rounds 10, 11).
    private static final int STANDBY_DIVISOR = 2;

    private final FleetState state;
    private Map<String, Integer> shares = Map.of();
    /** The minimum number of instances of each pool, regardless of demand. */
    private int standby;
    /** Whether total demand exceeds the number of instances. */
    private boolean overcommitted;

    private final Map<String, SlidingMaximum> recentHighs = new HashMap<>();
    /** The number of instances that each pool does not give to other pools. */
    private final Map<String, Integer> retained = new HashMap<>();

    private final Map<String, Long> oversizedSince = new HashMap<>();
    /** The cordoned halls in the previous run. */
    private Set<String> cordonedHalls = Set.of();

    PoolSizer(FleetState state) {
        this.state = state;
    }

    void run() {
        restartShrinkDelayOnCordonChange();
        List<String> pools = new ArrayList<>(state.servicePools());
        shares = computeShares(pools);
        shares.forEach(this::updateRetained);
        pools.sort(Comparator.comparingInt(p -> supply(p) - share(p)));
        pools.forEach(this::grow);
        pools.forEach(this::shrink);
    }

    /**
     * Restarts the delay before pools shrink. Otherwise a pool that was already oversized would give away the
     * instances of a hall as soon as its cordon is lifted.
     */
    private void restartShrinkDelayOnCordonChange() {
        Set<String> halls = state.cordons.halls();
        if (!halls.equals(cordonedHalls)) {
            cordonedHalls = halls;
            oversizedSince.clear();
        }
    }

    private void updateRetained(String pool, int share) {
        int high = recentHighs.computeIfAbsent(pool, p -> new SlidingMaximum()).update(state.now(), share);
        retained.put(pool, overcommitted ? high : share);
    }

    /** Returns the target size of each pool: its demand, or its share while demand exceeds the fleet. */
    private Map<String, Integer> computeShares(List<String> pools) {
        int instances = state.headroomPool()
                        .map(h -> state.availableInstances(h).size())
                        .orElse(0)
                + pools.stream().mapToInt(this::supply).sum();
        standby = Math.max(state.timing.minWorkers(), instances / (STANDBY_DIVISOR * Math.max(1, pools.size())));
        overcommitted = pools.stream().mapToLong(this::requested).sum() > instances;
        return FleetShares.divide(instances, pools.stream().map(this::claim).toList());
    }

    private int share(String pool) {
        return shares.getOrDefault(pool, 0);
    }

    /**
     * Returns the number of instances that a pool's work requests, or its current size if its owner has not
     * reported yet.
     */
    private int requested(String pool) {
        ServiceReport r = state.reports.get(pool);
        return r == null ? supply(pool) : Math.max(standby, plusReserve(r.needed()));
    }

    private FleetShares.Claim claim(String pool) {
        ServiceReport r = state.reports.get(pool);
        if (r == null) {
            return new FleetShares.Claim(pool, supply(pool), supply(pool), 0, 0);
        }
        int firm = Math.max(standby, plusReserve(r.firm()));
        long optional = (long) requested(pool) - firm - r.late();
        return new FleetShares.Claim(pool, standby, firm, r.late(), (int) Math.max(0, optional));
    }

    private int plusReserve(int workers) {
        return (int) Math.min(Integer.MAX_VALUE, (long) workers + state.timing.reserve());
    }

    /**
     * Returns whether a pool has too few instances for the work that can still meet its deadline. That work includes
     * running tasks, so instances of cordoned halls that still run some count.
     */
    private boolean lacksRequiredInstances(String pool) {
        ServiceReport r = state.reports.get(pool);
        int lacking = r == null ? 0 : r.firm() - supply(pool);
        return lacking > 0 && lacking > state.busyCordonedCount(pool);
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
                .flatMap(h -> state.availableInstances(h).stream())
                .filter(i -> mayMove(i, pool))
                .min(Comparator.comparing(this::awaitsUpkeep).thenComparing(i -> countInHall(pool, i.hall())));
        if (spare.isPresent()) {
            return spare;
        }
        return state.servicePools().stream()
                .filter(p -> !p.equals(pool) && hasSurplus(p))
                .flatMap(p -> state.usableInstances(p).stream())
                .filter(i -> mayMove(i, pool)
                        && !state.isRecentReplacement(i)
                        && (!overcommitted || state.hasMinimumStay(i)))
                .min(Comparator.comparingInt(state::load));
    }

    /**
     * Returns whether a pool has more usable instances than it retains. Incoming instances are not counted: they
     * arrive 2 to 4 s later, and counting them caused a quarter to a half of all moves to take instances from
     * pools that were themselves waiting for some.
     */
    private boolean hasSurplus(String pool) {
        return state.usableInstances(pool).size() > retained.getOrDefault(pool, 0);
    }

    private boolean mayMove(PlatformInstance i, String pool) {
        return state.mayOrderOnceEvacuated(i)
                && !state.isHeldBack(i)
                && state.now() >= state.refusedUntil.getOrDefault(i.id(), Long.MIN_VALUE)
                && !state.impossibleMoves.contains(i.id() + ">" + pool);
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
        // Work that is too late to count is still completed, on instances that no other pool requests.
        int surplus = supply(pool) - Math.max(share(pool), requested(pool));
        Optional<String> headroom = state.headroomPool();
        if (surplus <= 0 || headroom.isEmpty() || state.incomingCount(pool) > 0) {
            oversizedSince.remove(pool);
            return;
        }
        long since = oversizedSince.computeIfAbsent(pool, p -> state.now());
        if (state.now() - since < state.timing.shrinkAfterMillis() || state.hasRecentReplacement(pool)) {
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
