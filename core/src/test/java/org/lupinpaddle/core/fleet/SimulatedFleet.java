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

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.lupinpaddle.core.capacity.ServiceReport;
import org.lupinpaddle.core.capacity.WorkerLoad;
import org.lupinpaddle.core.cordon.Cordon;
import org.lupinpaddle.core.cordon.HallCordons;
import org.lupinpaddle.core.queue.ServiceConfig;
import org.lupinpaddle.core.upkeep.EvacuationRecord;
import org.lupinpaddle.core.upkeep.UpkeepRecord;
import org.lupinpaddle.core.upkeep.UpkeepWave;

/**
 * A planner with a simulated platform and simulated owners of two services, {@code clips} and {@code archive}. The
 * platform carries out moves and upkeep, and evacuations end after a fixed time.
 */
final class SimulatedFleet implements FleetPort {

    static final long STEP_MILLIS = 100;
    static final long UPKEEP_MILLIS = 2_000;
    private static final long MOVE_MILLIS = 2_000;
    private static final long EVACUATION_MILLIS = 600;
    private static final long CRASH_MILLIS = 1_000;
    // When the platform carries out an order whose answer was lost, counted from the order.
    private static final long LATE_MILLIS = 500;
    /** How long a new owner does not order instances that its predecessor ordered. */
    private static final long TAKE_OVER_MILLIS = 4_000;

    private static final long WALL_START = 1_700_000_000_000L;

    /** A decision of the planner. */
    record Decision(long at, String kind, String instance, String detail) {

        boolean isBegun(String operation) {
            return kind.equals("errand-begun") && detail.startsWith("errand=" + operation);
        }
    }

    private record Event(long at, Runnable action) {}

    final List<Decision> decisions = new ArrayList<>();
    final List<String> orders = new ArrayList<>();
    final List<Long> completedWaves = new ArrayList<>();
    final Map<String, PlatformInstance> instances = new TreeMap<>();
    /** The number of finite tasks, by worker. */
    final Map<String, Integer> loads = new HashMap<>();
    /** Instances with ongoing upkeep according to the planner. */
    final Set<String> inUpkeep = new HashSet<>();
    /** Workers whose evacuation has been requested as urgent. */
    final Set<String> urgentlyEvacuated = new HashSet<>();
    /** Moves that the planner began or ordered although their hall was cordoned. */
    final List<String> movesOfCordonedHalls = new ArrayList<>();

    /** Supplies the outcome of each order. */
    Supplier<InstanceOrderOutcome> outcomes = () -> InstanceOrderOutcome.TAKEN;

    /** How long the list of instances lags behind the platform. */
    long listLagMillis;

    /** The lists of the current and earlier steps, the oldest first. */
    private final Deque<List<PlatformInstance>> lists = new ArrayDeque<>();

    private final Map<String, Integer> neededByPool = new TreeMap<>();
    private final Map<String, EvacuationRecord> evacuations = new TreeMap<>();
    private final Map<String, String> evacuatedServices = new HashMap<>();
    /** Instances with the upkeep that has been carried out. */
    private final Set<String> maintained = new HashSet<>();

    private final List<UpkeepWave> waves = new ArrayList<>();
    private final Map<Long, UpkeepRecord> upkeepRecords = new TreeMap<>();
    /** When each instance was last ordered. */
    private final Map<String, Long> orderedAt = new HashMap<>();

    private final Set<String> unansweredMoves = new HashSet<>();
    private final List<Event> events = new ArrayList<>();
    private HallCordons cordons = HallCordons.DISABLED;
    private FleetPlanner planner;
    private long now;
    private int workersStarted;

    SimulatedFleet() {
        planner = newPlanner(Map.of());
    }

    private FleetPlanner newPlanner(Map<String, Long> predecessorOrders) {
        FleetTiming timing = FleetTiming.defaults(UPKEEP_MILLIS, predecessorOrders.isEmpty() ? 0 : TAKE_OVER_MILLIS);
        FleetPlanner p = new FleetPlanner(timing, this, () -> now, () -> WALL_START + now);
        p.onPredecessorOrders(predecessorOrders);
        p.onServices(List.of(
                new ServiceConfig("clips", false, true),
                new ServiceConfig("archive", false, true),
                new ServiceConfig("spare", true, true)));
        return p;
    }

    long now() {
        return now;
    }

    FleetPlanner planner() {
        return planner;
    }

    /** Replaces the planner by that of a new owner, who must not order some instances yet. */
    void changeOwner(Map<String, Long> predecessorOrders) {
        planner = newPlanner(predecessorOrders);
        upkeepRecords.forEach(planner::onUpkeep);
        planner.onWaves(waves);
        inUpkeep.clear();
    }

    /** Replaces the planner by that of a new owner, who must not order the recently ordered instances yet. */
    void changeOwner() {
        Map<String, Long> blockedUntil = new HashMap<>();
        orderedAt.forEach((id, at) -> blockedUntil.put(id, at + TAKE_OVER_MILLIS));
        blockedUntil.values().removeIf(until -> until <= now);
        changeOwner(blockedUntil);
    }

    /** Adds instances with an idle worker each, or without a worker in the headroom pool. */
    void add(int count, String pool, String hall) {
        for (int i = 0; i < count; i++) {
            String id = hall.charAt(0) + "-" + pool + i;
            instances.put(id, up(id, pool, hall));
        }
    }

    private PlatformInstance up(String id, String pool, String hall) {
        String worker = pool.equals("spare") ? "" : "w" + workersStarted++;
        return new PlatformInstance(id, pool, PlatformInstance.State.UP, hall, worker);
    }

    /** Sets the number of workers that a service reports as needed. */
    void need(String pool, int needed) {
        neededByPool.put(pool, needed);
    }

    void load(String instance, int tasks) {
        loads.put(instance(instance).worker(), tasks);
    }

    void wave(int maxDown, long durationMillis, Collection<String> ids) {
        waves.add(new UpkeepWave(1, List.copyOf(ids), durationMillis, maxDown));
        planner.onWaves(waves);
    }

    /** Sets the view of the cordons. */
    void cordons(HallCordons view) {
        cordons = view;
    }

    void cordon(String... halls) {
        cordons = HallCordons.of(
                List.of(halls).stream().map(h -> new Cordon(h, 1)).toList(), now, 3_300);
    }

    PlatformInstance instance(String id) {
        PlatformInstance i = instances.get(id);
        if (i == null) {
            throw new IllegalArgumentException(id);
        }
        return i;
    }

    long count(String pool, String hall) {
        return instances.values().stream()
                .filter(i -> i.pool().equals(pool) && i.hall().equals(hall) && i.state() == PlatformInstance.State.UP)
                .count();
    }

    long count(PlatformInstance.State state) {
        return instances.values().stream().filter(i -> i.state() == state).count();
    }

    /** Returns the decisions to begin an operation, {@code MOVE:pool} or {@code UPKEEP:wave}; a prefix is enough. */
    List<Decision> begun(String operation) {
        return decisions.stream().filter(d -> d.isBegun(operation)).toList();
    }

    void run(long millis) {
        for (long end = now + millis; now < end; ) {
            step();
        }
    }

    /** Passes the current state to the planner, lets it decide, and advances the clock. */
    void step() {
        List<Event> due = events.stream().filter(e -> e.at() <= now).toList();
        events.removeAll(due);
        due.forEach(e -> e.action().run());
        lists.addLast(List.copyOf(instances.values()));
        while (lists.size() > 1 + listLagMillis / STEP_MILLIS) {
            lists.removeFirst();
        }
        planner.onInstances(InstanceList.of(lists.getFirst()));
        neededByPool.forEach((pool, needed) -> planner.onReport(pool, report(pool, needed)));
        Map<EvacuationRecord, String> records = new HashMap<>();
        evacuations.forEach((worker, r) -> records.put(r, evacuatedServices.getOrDefault(worker, "")));
        planner.onEvacuations(records);
        planner.onCordons(cordons);
        planner.tick();
        now += STEP_MILLIS;
    }

    private ServiceReport report(String pool, int needed) {
        List<WorkerLoad> workers = instances.values().stream()
                .filter(i -> i.pool().equals(pool))
                .map(i -> new WorkerLoad(i.worker(), 0, loads.getOrDefault(i.worker(), 0), true))
                .toList();
        return new ServiceReport(Map.of(), needed, needed, 0, workers);
    }

    private void after(long millis, Runnable action) {
        events.add(new Event(now + millis, action));
    }

    @Override
    public void requestEvacuation(String service, EvacuationRecord r) {
        evacuations.put(r.worker(), r);
        evacuatedServices.put(r.worker(), service);
        if (r.urgent()) {
            urgentlyEvacuated.add(r.worker());
        }
        after(EVACUATION_MILLIS, () -> {
            if (r.equals(evacuations.get(r.worker()))) {
                loads.remove(r.worker());
                evacuations.put(
                        r.worker(), new EvacuationRecord(r.worker(), r.instance(), r.errand(), r.urgent(), true));
            }
        });
    }

    @Override
    public void endEvacuation(String service, String worker) {
        evacuations.remove(worker);
    }

    /** Returns the workers whose evacuation is requested. */
    Set<String> evacuatingWorkers() {
        return evacuations.keySet();
    }

    @Override
    public void order(String id, InstanceOperation operation) {
        orders.add(id + " " + operation);
        orderedAt.put(id, now);
        boolean move = operation.kind() == InstanceOperation.Kind.MOVE;
        if (move && cordons.isCordoned(instance(id).hall()) && !unansweredMoves.contains(id)) {
            movesOfCordonedHalls.add("order at " + now + ": " + id);
        }
        InstanceOrderOutcome outcome = outcomes.get();
        if (outcome == InstanceOrderOutcome.UNKNOWN) {
            unansweredMoves.add(id);
            after(LATE_MILLIS, () -> carryOut(id, operation));
        } else if (outcome == InstanceOrderOutcome.TAKEN) {
            carryOut(id, operation);
        }
        FleetPlanner orderedBy = planner;
        after(0, () -> {
            if (orderedBy.equals(planner)) {
                planner.onOrderOutcome(id, operation, outcome);
            }
        });
    }

    /** Takes an instance down for a second if it is up; it returns with a new worker. */
    void crash(String id) {
        PlatformInstance i = instance(id);
        if (i.state() == PlatformInstance.State.UP) {
            instances.put(id, new PlatformInstance(id, i.pool(), PlatformInstance.State.DOWN, i.hall(), ""));
            after(CRASH_MILLIS, () -> instances.put(id, up(id, i.pool(), i.hall())));
        }
    }

    private void carryOut(String id, InstanceOperation operation) {
        PlatformInstance i = instance(id);
        boolean move = operation.kind() == InstanceOperation.Kind.MOVE;
        boolean done = move ? i.pool().equals(operation.target()) : maintained.contains(id + operation);
        if (done || i.state() != PlatformInstance.State.UP) {
            return;
        }
        maintained.add(id + operation);
        String pool = move ? operation.target() : i.pool();
        PlatformInstance.State state = move ? PlatformInstance.State.MOVING : PlatformInstance.State.UPKEEP;
        instances.put(id, new PlatformInstance(id, pool, state, i.hall(), ""));
        after(move ? MOVE_MILLIS : UPKEEP_MILLIS, () -> instances.put(id, up(id, pool, i.hall())));
    }

    @Override
    public void writeUpkeep(long wave, UpkeepRecord record) {
        upkeepRecords.put(wave, record);
    }

    @Override
    public void reportWaveRunning(long wave) {}

    @Override
    public void reportWaveCompleted(long wave, UpkeepRecord record) {
        completedWaves.add(wave);
        upkeepRecords.put(wave, record);
    }

    @Override
    public void logDecision(String kind, String id, String detail) {
        Decision d = new Decision(now, kind, id, detail);
        decisions.add(d);
        if (d.isBegun("MOVE")) {
            unansweredMoves.remove(id);
            if (cordons.isCordoned(instance(id).hall())) {
                movesOfCordonedHalls.add("begun at " + now + ": " + id);
            }
        } else if (d.isBegun("UPKEEP")) {
            inUpkeep.add(id);
        } else if (kind.equals("errand-ended")) {
            inUpkeep.remove(id);
        }
    }
}
