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
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.capacity.ServiceReport;
import org.lupinpaddle.core.capacity.WorkerLoad;
import org.lupinpaddle.core.common.Clock;
import org.lupinpaddle.core.queue.ServiceConfig;
import org.lupinpaddle.core.upkeep.EvacuationRecord;
import org.lupinpaddle.core.upkeep.UpkeepWave;

/** What the owner of the fleet believes. */
final class FleetState {

    // A move takes an instance away for two seconds: it stays for as long, or the move was for nothing.
    private static final long LEAST_STAY_MILLIS = 2_500;
    // A loaded worker is empty 0.6 to 2 s after it was asked for; the wait for an earlier owner's order passes
    // meanwhile.
    private static final long EMPTYING_MILLIS = 1_200;

    final FleetTiming timing;
    final FleetPort port;
    final Clock clock;
    final Clock wall;
    final Map<String, PlatformInstance> instances = new TreeMap<>();
    final Map<String, InstanceErrand> errands = new LinkedHashMap<>();
    final Map<String, ServiceReport> reports = new HashMap<>();
    final Map<String, EvacuationRecord> evacuations = new HashMap<>();
    final Map<Long, UpkeepWave> waves = new TreeMap<>();
    final Map<Long, Set<String>> begun = new HashMap<>();
    final Set<Long> completed = new HashSet<>();
    /** When an owner first saw a wave, in milliseconds since 1970. */
    final Map<Long, Long> waveSeen = new HashMap<>();
    /** Workers whose evacuation this planner has ended: their records go a moment later. */
    final Set<String> released = new HashSet<>();
    /** Workers that do not answer their owners, by the newest reports. */
    private final Map<String, Set<String>> unreachedByPool = new HashMap<>();
    /** When an errand of an instance has ended. */
    private final Map<String, Long> arrivedAt = new HashMap<>();
    /** Moves that the platform has said to be impossible, as instance and pool. */
    final Set<String> impossibleMoves = new HashSet<>();

    List<ServiceConfig> services = List.of();
    /** Whether the newest list of instances names all of them. */
    boolean listIsWhole = true;
    /** Until when instances are left alone that an earlier owner has ordered lately; null while that is not known. */
    @Nullable
    Map<String, Long> earlierOrders;
    /** Instances that earlier owners have ordered lately, whoever lives: they may be down by those orders. */
    private final Set<String> orderedEarlier = new HashSet<>();

    private final long startedAt;

    FleetState(FleetTiming timing, FleetPort port, Clock clock, Clock wall) {
        this.timing = timing;
        this.port = port;
        this.clock = clock;
        this.wall = wall;
        this.startedAt = clock.millis();
    }

    /** Returns whether an earlier owner's orders are long past. */
    boolean isAlone() {
        return now() - startedAt >= timing.takeOverMillis();
    }

    /** Takes in which instances earlier owners have ordered lately that must be left alone. */
    void earlierOrders(Map<String, Long> leftAloneUntil) {
        earlierOrders = Map.copyOf(leftAloneUntil);
        orderedEarlier.addAll(leftAloneUntil.keySet());
    }

    /** Returns whether an instance is, or may be, down for upkeep by an earlier owner's order. */
    boolean mayBeDownByOthers(PlatformInstance i) {
        boolean byUs = errands.containsKey(i.id());
        boolean lately = !isAlone() && orderedEarlier.contains(i.id());
        boolean unseen = i.state() == PlatformInstance.State.UPKEEP || i.state() == PlatformInstance.State.UNKNOWN;
        return !byUs && (lately || unseen);
    }

    /** Returns whether the instance may be ordered: no earlier owner has done so lately. */
    boolean mayOrder(String instance) {
        return mayOrderAt(instance, now());
    }

    /** Returns whether the instance may be chosen for a move: it may be ordered by the time that it is empty. */
    boolean mayChoose(PlatformInstance i) {
        boolean toBeEmptied = !isHeadroom(i.pool()) && !i.worker().isEmpty();
        return mayOrderAt(i.id(), now() + (toBeEmptied ? EMPTYING_MILLIS : 0));
    }

    private boolean mayOrderAt(String instance, long at) {
        Map<String, Long> earlier = earlierOrders;
        return isAlone() || (earlier != null && at >= earlier.getOrDefault(instance, Long.MIN_VALUE));
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

    List<String> runningPools() {
        return services.stream()
                .filter(s -> !s.headroom())
                .map(ServiceConfig::name)
                .toList();
    }

    /** Returns the instances of a pool that are up and are not about to leave it. */
    List<PlatformInstance> staying(String pool) {
        return instances.values().stream()
                .filter(i ->
                        i.pool().equals(pool) && i.state() == PlatformInstance.State.UP && !errands.containsKey(i.id()))
                .toList();
    }

    /** Takes in a report of a service's owner. */
    void report(String service, ServiceReport report) {
        reports.put(service, report);
        unreachedByPool.put(
                service,
                report.workers().stream()
                        .filter(w -> !w.reached())
                        .map(WorkerLoad::worker)
                        .collect(Collectors.toSet()));
    }

    /** Returns the staying instances of a pool that are of use now: whose worker answers its owner, as far as is known. */
    List<PlatformInstance> useful(String pool) {
        Set<String> unreached = unreachedByPool.getOrDefault(pool, Set.of());
        return staying(pool).stream()
                .filter(i -> !unreached.contains(i.worker()))
                .toList();
    }

    /** Returns how many instances are on their way into a pool, by this planner's order or an earlier one's. */
    int coming(String pool) {
        long ordered = errands.values().stream().filter(e -> e.isMoveTo(pool)).count();
        long byOthers = instances.values().stream()
                .filter(i -> i.state() == PlatformInstance.State.MOVING
                        && i.pool().equals(pool)
                        && !errands.containsKey(i.id()))
                .count();
        return (int) (ordered + byOthers);
    }

    /** Returns how many tasks an instance's worker carries, lasting ones counted several times. */
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

    // A lasting task has to be moved and is away meanwhile; a finite one ends by itself.
    private static final int LASTING_WEIGHT = 10;

    private static int weight(WorkerLoad w) {
        return w.lasting() * LASTING_WEIGHT + w.finite();
    }

    /** Returns when an owner first saw the wave, in milliseconds since 1970: now, where none is known to have. */
    long seenMillis(long wave) {
        return waveSeen.computeIfAbsent(wave, w -> wall.millis());
    }

    Set<String> begun(long wave) {
        return begun.computeIfAbsent(wave, w -> new HashSet<>());
    }

    /** Sends an instance on an errand; an urgent one is for work that waits. */
    void begin(PlatformInstance i, Errand errand, boolean urgent) {
        boolean off = isHeadroom(i.pool()) || i.worker().isEmpty();
        InstanceErrand e = new InstanceErrand(i.id(), errand, i.pool(), off ? "" : i.worker(), now());
        errands.put(i.id(), e);
        port.note("errand-begun", i.id(), "errand=" + errand + " pool=" + i.pool() + " load=" + load(i));
        if (!e.worker.isEmpty()) {
            released.remove(e.worker);
            port.askEvacuation(i.pool(), new EvacuationRecord(e.worker, i.id(), errand.toString(), urgent, false));
        }
    }

    /** Returns whether the instance has been in its pool for long enough to have been of use there. */
    boolean hasStayed(PlatformInstance i) {
        return now() - arrivedAt.getOrDefault(i.id(), Long.MIN_VALUE / 2) >= LEAST_STAY_MILLIS;
    }

    /** Ends an errand, done or not. */
    void end(InstanceErrand e, String why) {
        arrivedAt.put(e.instance, now());
        errands.remove(e.instance);
        port.note("errand-ended", e.instance, "errand=" + e.errand + " millis=" + (now() - e.begunAt) + " why=" + why);
        if (!e.worker.isEmpty()) {
            released.add(e.worker);
            // What it answers to is over; its service may give the worker tasks from now on.
            evacuations.remove(e.worker);
            port.endEvacuation(e.service, e.worker);
        }
    }
}
