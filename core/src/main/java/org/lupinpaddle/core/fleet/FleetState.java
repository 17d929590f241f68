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

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.capacity.ServiceReport;
import org.lupinpaddle.core.capacity.WorkerLoad;
import org.lupinpaddle.core.common.Clock;
import org.lupinpaddle.core.cordon.HallCordons;
import org.lupinpaddle.core.queue.ServiceConfig;
import org.lupinpaddle.core.upkeep.EvacuationRecord;
import org.lupinpaddle.core.upkeep.UpkeepWave;

/** The state of the fleet as known to its owner. */
final class FleetState {

    // A move makes an instance unavailable for two seconds. It must stay at least as long to make the move
    // worthwhile.
    private static final long MIN_STAY_MILLIS = 2_500;
    // A loaded worker is evacuated 0.6 to 2 s after the request. Evacuation overlaps with the wait for a
    // predecessor's order.
    private static final long EXPECTED_EVACUATION_MILLIS = 1_200;

    final FleetTiming timing;
    final FleetPort port;
    final Clock clock;
    final Clock wallClock;
    final Map<String, PlatformInstance> instances = new TreeMap<>();
    final Map<String, OngoingOperation> ongoingOperations = new LinkedHashMap<>();
    final Map<String, ServiceReport> reports = new HashMap<>();
    final Map<String, EvacuationRecord> evacuations = new HashMap<>();
    final Map<Long, UpkeepWave> waves = new TreeMap<>();
    final Map<Long, Set<String>> begunByWave = new HashMap<>();
    final Set<Long> completed = new HashSet<>();
    /** When any owner first saw each wave, in milliseconds since 1970. */
    final Map<Long, Long> waveFirstSeenMillis = new HashMap<>();
    /** Workers whose evacuation this planner has ended. Their stored records are deleted slightly later. */
    final Set<String> releasedWorkers = new HashSet<>();
    /** Workers that do not respond to their owner, by pool, according to the latest reports. */
    private final Map<String, Set<String>> unreachableByPool = new HashMap<>();
    /** When the last operation of each instance ended. */
    private final Map<String, Long> operationEndedAt = new HashMap<>();
    /** Instances whose last operation was a move that began while a hall was cordoned. */
    private final Set<String> movedDuringCordon = new HashSet<>();
    /** Until when instances are not moved because the platform kept refusing it. */
    final Map<String, Long> refusedUntil = new HashMap<>();
    /** Instances that were busy when ordered, with the time from which a received list shows what became of them. */
    private final Map<String, Long> listRequiredSince = new HashMap<>();
    /** Moves that the platform rejected as impossible, as {@code instance>pool}. */
    final Set<String> impossibleMoves = new HashSet<>();

    List<ServiceConfig> services = List.of();
    /** The cordoned data halls. */
    HallCordons cordons = HallCordons.DISABLED;
    /** When the latest instance list was received. */
    long listReceivedAt = Long.MIN_VALUE;
    /** Whether the latest instance list was complete. */
    boolean listComplete = true;
    /**
     * The time until which each instance ordered by a predecessor must not be ordered again; null until known.
     */
    @Nullable
    Map<String, Long> predecessorOrders;
    /**
     * Instances recently ordered by predecessors, including processes that have ended: the orders may still have
     * taken them down.
     */
    private final Set<String> orderedByPredecessors = new HashSet<>();

    private final long startedAt;

    FleetState(FleetTiming timing, FleetPort port, Clock clock, Clock wallClock) {
        this.timing = timing;
        this.port = port;
        this.clock = clock;
        this.wallClock = wallClock;
        this.startedAt = clock.millis();
    }

    /**
     * Returns whether the take-over period has passed. An order of a predecessor that has crashed or does not respond may
     * still take effect later.
     */
    boolean isTakeOverComplete() {
        return now() - startedAt >= timing.takeOverMillis();
    }

    /** Sets the instances that predecessors have recently ordered, with the end of their wait. */
    void onPredecessorOrders(Map<String, Long> blockedUntilByInstance) {
        predecessorOrders = Map.copyOf(blockedUntilByInstance);
        orderedByPredecessors.addAll(blockedUntilByInstance.keySet());
    }

    /** Returns whether an instance is or may be down because of a predecessor's order. */
    boolean mayBeDownByPredecessor(PlatformInstance i) {
        boolean hasOwnOperation = ongoingOperations.containsKey(i.id());
        boolean orderedRecently = !isTakeOverComplete() && orderedByPredecessors.contains(i.id());
        boolean listedDownOrUnknown =
                i.state() == PlatformInstance.State.UPKEEP || i.state() == PlatformInstance.State.UNKNOWN;
        return !hasOwnOperation && (orderedRecently || listedDownOrUnknown);
    }

    /** Returns whether the instance may be ordered now, given the recent orders of predecessors. */
    boolean mayOrder(String instance) {
        return mayOrderAt(instance, now());
    }

    /**
     * Returns whether the instance may be selected for a move: whether it may be ordered by the time its
     * evacuation is expected to end.
     */
    boolean mayOrderOnceEvacuated(PlatformInstance i) {
        boolean needsEvacuation = !isHeadroom(i.pool()) && !i.worker().isEmpty();
        return mayOrderAt(i.id(), now() + (needsEvacuation ? EXPECTED_EVACUATION_MILLIS : 0));
    }

    private boolean mayOrderAt(String instance, long at) {
        Map<String, Long> orders = predecessorOrders;
        return orders != null && at >= orders.getOrDefault(instance, Long.MIN_VALUE);
    }

    /** Holds an instance back from orders and operations until a list is received at or after the given time. */
    void holdBack(String instance, long listTime) {
        listRequiredSince.put(instance, listTime);
    }

    /** Returns whether an instance is held back: another worker than the listed one may run there. */
    boolean isHeldBack(PlatformInstance i) {
        return listReceivedAt < listRequiredSince.getOrDefault(i.id(), Long.MIN_VALUE);
    }

    long now() {
        return clock.millis();
    }

    Optional<String> headroomPool() {
        return services.stream()
                .filter(ServiceConfig::headroom)
                .map(ServiceConfig::name)
                .findFirst();
    }

    boolean isHeadroom(String pool) {
        return headroomPool().filter(pool::equals).isPresent();
    }

    List<String> servicePools() {
        return services.stream()
                .filter(s -> !s.headroom())
                .map(ServiceConfig::name)
                .toList();
    }

    /** Returns the instances of a pool that are up and have no ongoing operation. */
    List<PlatformInstance> remainingInstances(String pool) {
        return remaining(pool).toList();
    }

    private Stream<PlatformInstance> remaining(String pool) {
        return instances.values().stream()
                .filter(i -> i.pool().equals(pool)
                        && i.state() == PlatformInstance.State.UP
                        && !ongoingOperations.containsKey(i.id()));
    }

    private Stream<PlatformInstance> available(String pool) {
        return remaining(pool).filter(i -> !isCordoned(i));
    }

    /** Returns whether the data hall of an instance is cordoned. */
    boolean isCordoned(PlatformInstance i) {
        return cordons.isCordoned(i.hall());
    }

    /** Returns the remaining instances of a pool that can be given new work: those whose hall is not cordoned. */
    List<PlatformInstance> availableInstances(String pool) {
        return available(pool).toList();
    }

    /** Returns the number of remaining instances of a pool that run tasks in a cordoned hall. */
    int busyCordonedCount(String pool) {
        return (int) remaining(pool).filter(i -> isCordoned(i) && load(i) > 0).count();
    }

    /** Handles a report from the owner of a service. */
    void onReport(String service, ServiceReport report) {
        reports.put(service, report);
        unreachableByPool.put(
                service,
                report.workers().stream()
                        .filter(w -> !w.reached())
                        .map(WorkerLoad::worker)
                        .collect(Collectors.toSet()));
    }

    /** Returns the available instances of a pool whose worker is not reported as unreachable. */
    List<PlatformInstance> usableInstances(String pool) {
        return available(pool).filter(this::isReachable).toList();
    }

    private boolean isReachable(PlatformInstance i) {
        return !unreachableByPool.getOrDefault(i.pool(), Set.of()).contains(i.worker());
    }

    /** Returns whether the owner of the service reports the instance's worker as reachable and without tasks. */
    boolean isIdle(PlatformInstance i) {
        return reports.containsKey(i.pool()) && isReachable(i) && load(i) == 0;
    }

    /**
     * Returns the number of instances moving into a pool, by order of this planner or a predecessor. Instances of
     * cordoned halls do not count.
     */
    int incomingCount(String pool) {
        long ordered = ongoingOperations.values().stream()
                .filter(ongoing -> ongoing.isMoveTo(pool) && !cordons.isCordoned(ongoing.hall))
                .count();
        long orderedByOthers = instances.values().stream()
                .filter(i -> i.state() == PlatformInstance.State.MOVING
                        && i.pool().equals(pool)
                        && !isCordoned(i)
                        && !ongoingOperations.containsKey(i.id()))
                .count();
        return (int) (ordered + orderedByOthers);
    }

    /**
     * Returns the weighted number of tasks of an instance's worker; a long-running task counts {@link
     * #LONG_RUNNING_WEIGHT} times.
     */
    int load(PlatformInstance i) {
        ServiceReport r = reports.get(i.pool());
        if (r == null) {
            return 0;
        }
        return r.workers().stream()
                .filter(w -> w.worker().equals(i.worker()))
                .mapToInt(FleetState::weight)
                .findFirst()
                .orElse(0);
    }

    // A long-running task must be moved and is interrupted meanwhile; a finite task ends by itself.
    private static final int LONG_RUNNING_WEIGHT = 10;

    private static int weight(WorkerLoad w) {
        return w.lasting() * LONG_RUNNING_WEIGHT + w.finite();
    }

    /**
     * Returns when any owner first saw the wave, in milliseconds since 1970. Records the current time if unknown.
     */
    long firstSeenMillis(long wave) {
        return waveFirstSeenMillis.computeIfAbsent(wave, w -> wallClock.millis());
    }

    Set<String> begunInstances(long wave) {
        return begunByWave.computeIfAbsent(wave, w -> new HashSet<>());
    }

    /** Starts an operation on an instance. An urgent operation is one that waiting work depends on. */
    void startOperation(PlatformInstance i, InstanceOperation operation, boolean urgent) {
        boolean runsNothing = isHeadroom(i.pool()) || i.worker().isEmpty();
        OngoingOperation ongoing = new OngoingOperation(
                i, operation, i.pool(), runsNothing ? "" : i.worker(), cordons.isAnyCordoned(), now());
        ongoingOperations.put(i.id(), ongoing);
        port.logDecision("errand-begun", i.id(), "errand=" + operation + " pool=" + i.pool() + " load=" + load(i));
        if (!ongoing.worker.isEmpty()) {
            releasedWorkers.remove(ongoing.worker);
            port.requestEvacuation(
                    i.pool(), new EvacuationRecord(ongoing.worker, i.id(), operation.toString(), urgent, false));
        }
    }

    /** Returns whether the instance has been in its pool for long enough to have been of use there. */
    boolean hasMinimumStay(PlatformInstance i) {
        return now() - operationEndedAt.getOrDefault(i.id(), Long.MIN_VALUE / 2) >= MIN_STAY_MILLIS;
    }

    /**
     * Returns whether the instance replaced one of a cordoned hall and has not been in its pool for the minimum stay.
     * After the cordon is lifted its pool has a surplus, which must not make the instance move again at once.
     */
    boolean isRecentReplacement(PlatformInstance i) {
        return movedDuringCordon.contains(i.id()) && !hasMinimumStay(i);
    }

    /** Returns whether a pool has usable instances that are recent replacements. */
    boolean hasRecentReplacement(String pool) {
        return !movedDuringCordon.isEmpty() && usableInstances(pool).stream().anyMatch(this::isRecentReplacement);
    }

    /** Ends an operation, whether it succeeded or not. */
    void endOperation(OngoingOperation ongoing, String why) {
        operationEndedAt.put(ongoing.instance, now());
        if (ongoing.isMove() && ongoing.begunDuringCordon) {
            movedDuringCordon.add(ongoing.instance);
        } else {
            movedDuringCordon.remove(ongoing.instance);
        }
        ongoingOperations.remove(ongoing.instance);
        port.logDecision(
                "errand-ended",
                ongoing.instance,
                "errand=" + ongoing.operation + " millis=" + (now() - ongoing.begunAt) + " why=" + why);
        if (!ongoing.worker.isEmpty()) {
            releasedWorkers.add(ongoing.worker);
            // The stored answer belongs to the ended operation and must not be used for the next one: the service
            // may give the worker tasks again from now on.
            evacuations.remove(ongoing.worker);
            port.endEvacuation(ongoing.service, ongoing.worker);
        }
    }
}
