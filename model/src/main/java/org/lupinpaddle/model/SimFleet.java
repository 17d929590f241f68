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
package org.lupinpaddle.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.common.RecordCodec;
import org.lupinpaddle.core.fleet.InstanceOperation;
import org.lupinpaddle.core.fleet.InstanceOrderOutcome;
import org.lupinpaddle.core.fleet.PlatformInstance;
import org.lupinpaddle.core.fleet.PlatformInstance.State;
import org.lupinpaddle.core.placement.Resources;
import org.lupinpaddle.core.placement.WorkerFacts;
import org.lupinpaddle.core.run.RunStatus;
import org.lupinpaddle.core.upkeep.UpkeepWave;
import org.lupinpaddle.daemon.port.StoreException;

/** The instances and their workers, with the platform's orders on instances. */
final class SimFleet {

    private static final long LIST_LAG_MILLIS = 800;
    private static final long RECORD_TTL_MILLIS = 4_500;
    /** A worker's clock starts at an arbitrary offset, as if the worker had been up for up to this long. */
    private static final int MAX_WORKER_AGE_MILLIS = 100_000;

    private final VirtualTime time;
    private final SimStore store;
    private final Rules rules;
    private final Random random;
    private final Resources room;
    private final Supplier<Optional<CrashingTasks>> crashing;
    private final BooleanSupplier keepsId;
    private final Map<String, SimInstance> instances = new TreeMap<>();
    private final Map<String, SimInstance> byAddress = new HashMap<>();
    private final Set<String> maintained = new HashSet<>();
    private final Map<Long, UpkeepWave> waves = new TreeMap<>();
    private List<PlatformInstance> visibleList = List.of();
    private int nextWorkerNumber;
    private long listFailsUntil;
    private long listStandsUntil;
    private long workerLostAt = Long.MIN_VALUE / 2;
    /** What the list shows of instances whose workers it still shows although they are lost, by instance id. */
    private final Map<String, ShownInstance> shownInstances = new HashMap<>();

    private final Set<String> leavingEntries = new HashSet<>();

    /** A row of the list that hides the state of an instance until the given time. */
    private record ShownInstance(PlatformInstance row, long until) {}

    private static final class SimInstance {
        final String id;
        final String hall;
        final String rack;
        final String address;
        String pool;
        State state = State.UP;

        @Nullable
        SimWorker worker;

        String lastHolder = "";
        long lastFence;
        long lastOrderAt = Long.MIN_VALUE / 2;

        SimInstance(String id, String hall, String rack, String address, String pool) {
            this.id = id;
            this.hall = hall;
            this.rack = rack;
            this.address = address;
            this.pool = pool;
        }
    }

    SimFleet(
            VirtualTime time,
            SimStore store,
            Rules rules,
            Random random,
            Resources room,
            Supplier<Optional<CrashingTasks>> crashing,
            BooleanSupplier keepsId) {
        this.time = time;
        this.store = store;
        this.rules = rules;
        this.random = random;
        this.room = room;
        this.crashing = crashing;
        this.keepsId = keepsId;
    }

    void add(String hall, String rack, String pool) {
        String id = "m-" + instances.size();
        SimInstance instance = new SimInstance(id, hall, rack, "a-" + instances.size(), pool);
        instances.put(id, instance);
        byAddress.put(instance.address, instance);
        bringUp(instance);
    }

    void startListUpdates() {
        List<PlatformInstance> now = snapshot();
        time.schedule(LIST_LAG_MILLIS, () -> {
            if (time.now() >= listStandsUntil) {
                visibleList = now;
            }
        });
        time.schedule(LIST_LAG_MILLIS / 4, this::startListUpdates);
    }

    /** Lets the list of instances fail, or show what it shows now, for a while. */
    void disturbList(boolean fails, long millis) {
        if (fails) {
            listFailsUntil = time.now() + millis;
        } else {
            listStandsUntil = time.now() + millis;
        }
    }

    /** Lets the list show a worker on an instance that is up for a while, whatever becomes of it. */
    void keepListed(SimWorker w, long millis) {
        SimInstance i = findInstance(w);
        if (i != null) {
            PlatformInstance row = new PlatformInstance(i.id, i.pool, State.UP, i.hall, w.id());
            shownInstances.put(i.id, new ShownInstance(row, time.now() + millis));
        }
    }

    private List<PlatformInstance> shownList() {
        return visibleList.stream().map(this::shown).toList();
    }

    private PlatformInstance shown(PlatformInstance i) {
        ShownInstance s = shownInstances.get(i.id());
        return s == null || time.now() >= s.until ? i : s.row;
    }

    /** Returns whether the list or a worker has a fault, or a worker has been lost within the given time. */
    boolean isDisturbed(long millis) {
        return time.now() < Math.max(listFailsUntil, listStandsUntil)
                || time.now() - workerLostAt <= millis
                || workers().stream().anyMatch(w -> !w.isSound());
    }

    private List<PlatformInstance> snapshot() {
        List<PlatformInstance> all = new ArrayList<>();
        for (SimInstance instance : instances.values()) {
            all.add(new PlatformInstance(
                    instance.id,
                    instance.pool,
                    instance.state,
                    instance.hall,
                    instance.worker == null ? "" : instance.worker.id()));
        }
        return all;
    }

    private void bringUp(SimInstance instance) {
        instance.state = State.UP;
        if (instance.pool.equals(World.SPARE_POOL)) {
            instance.worker = null;
            return;
        }
        long age = random.nextInt(MAX_WORKER_AGE_MILLIS);
        instance.worker = new SimWorker(time, rules, random, facts(instance, "w-" + nextWorkerNumber++), age, crashing);
        putRecord(instance.worker);
    }

    private WorkerFacts facts(SimInstance instance, String id) {
        long born = World.EPOCH + time.now();
        return new WorkerFacts(
                id,
                born,
                instance.pool,
                instance.address,
                instance.hall,
                false,
                0,
                room,
                List.of("kind", instance.rack));
    }

    private void putRecord(SimWorker w) {
        store.set(World.WORKERS + w.id(), RecordCodec.write(w.facts()));
    }

    private void removeRecordLater(SimWorker w) {
        time.schedule(RECORD_TTL_MILLIS, () -> {
            if (workers().stream().noneMatch(o -> o.id().equals(w.id()))) {
                store.clear(World.WORKERS + w.id());
            }
        });
    }

    @Nullable
    SimWorker workerAt(String address) {
        SimInstance instance = byAddress.get(address);
        return instance == null ? null : instance.worker;
    }

    List<SimWorker> workers() {
        return instances.values().stream()
                .map(instance -> instance.worker)
                .filter(w -> w != null && w.isUp())
                .toList();
    }

    /** Crashes a worker. Its instance returns with a new worker, under a new id unless the history keeps ids. */
    void crash(SimWorker w, long downMillis) {
        if (keepsId.getAsBoolean()) {
            restart(w, downMillis);
        } else {
            crash(w, downMillis, this::bringUp);
        }
    }

    /** Crashes a worker that restarts under its id without any state. */
    void restart(SimWorker w, long downMillis) {
        crash(w, downMillis, instance -> {
            instance.state = State.UP;
            instance.worker = new SimWorker(time, rules, random, facts(instance, w.id()), 0, crashing).after(w);
            putRecord(instance.worker);
        });
    }

    /** Crashes a worker that restarts under its id with the given clock, and writes its new record after a while. */
    void restart(SimWorker w, long downMillis, long clockMillis, long recordDelayMillis, Consumer<SimWorker> onReturn) {
        crash(w, downMillis, instance -> {
            instance.state = State.UP;
            SimWorker returned =
                    new SimWorker(time, rules, random, facts(instance, w.id()), clockMillis, crashing).after(w);
            instance.worker = returned;
            time.schedule(recordDelayMillis, () -> {
                if (returned.isUp()) {
                    putRecord(returned);
                }
            });
            onReturn.accept(returned);
        });
    }

    /** Crashes all workers of a hall. They return together after a while, cold and under new ids. */
    void loseHall(String hall, long downMillis, SimWorker.ColdPhase cold) {
        List<SimWorker> lost =
                workers().stream().filter(w -> w.hall().equals(hall)).toList();
        lost.forEach(w -> crash(w, downMillis, instance -> {
            bringUp(instance);
            if (instance.worker != null) {
                chill(instance.worker, cold);
            }
        }));
    }

    /** Makes all running workers of a hall cold. */
    void chillHall(String hall, SimWorker.ColdPhase cold) {
        workers().stream().filter(w -> w.hall().equals(hall)).forEach(w -> chill(w, cold));
    }

    private void chill(SimWorker w, SimWorker.ColdPhase cold) {
        w.chill(cold);
        putRecord(w);
        time.schedule(cold.millis(), () -> {
            if (w.isUp()) {
                putRecord(w);
            }
        });
    }

    private void crash(SimWorker w, long downMillis, Consumer<SimInstance> onReturn) {
        SimInstance instance = findInstance(w);
        if (instance == null || !w.isUp()) {
            return;
        }
        w.crashUnexpectedly();
        workerLostAt = time.now();
        removeRecordLater(w);
        instance.state = State.DOWN;
        time.schedule(downMillis, () -> {
            if (instance.state == State.DOWN && instance.worker == w) {
                onReturn.accept(instance);
            }
        });
    }

    /** Drains a worker, removes it and starts another one on its instance. */
    void drain(SimWorker w, long remainingMillis) {
        SimInstance instance = findInstance(w);
        if (instance == null || !w.isUp() || w.drainingSince() != World.NEVER) {
            return;
        }
        w.drain(remainingMillis);
        putRecord(w);
        time.schedule(remainingMillis, () -> {
            if (instance.worker == w && w.isUp()) {
                w.crash();
                store.clear(World.WORKERS + w.id());
                instance.state = State.DOWN;
                time.schedule(1_000, () -> {
                    if (instance.state == State.DOWN) {
                        bringUp(instance);
                    }
                });
            }
        });
    }

    /** Ends a worker as an order on its instance does, without an entry that has sent it. */
    void remove(SimWorker w, long downMillis) {
        SimInstance instance = findInstance(w);
        if (instance == null || !w.isUp()) {
            return;
        }
        w.crash();
        workerLostAt = time.now();
        removeRecordLater(w);
        instance.worker = null;
        instance.state = State.MOVING;
        time.schedule(downMillis, () -> bringUp(instance));
    }

    /**
     * Marks an entry that stops or dies. An order of its successor does not count as one of two alternating owners.
     */
    void markLeaving(String entry) {
        leavingEntries.add(entry);
    }

    /** Marks an entry as restarted. */
    void markReturned(String entry) {
        if (leavingEntries.remove(entry)) {
            instances.values().stream()
                    .filter(instance -> instance.lastHolder.equals(entry))
                    .forEach(instance -> instance.lastHolder = "");
        }
    }

    /**
     * Overwrites a worker's record with a malformed value. The worker writes its own record again after a while if it
     * still runs.
     */
    void corruptRecord(SimWorker w, String value, long millis) {
        CorruptRecordWriter.put(store, World.WORKERS + w.id(), value);
        time.schedule(millis, () -> {
            if (w.isUp()) {
                putRecord(w);
            } else if (workers().stream().noneMatch(o -> o.id().equals(w.id()))) {
                store.clear(World.WORKERS + w.id());
            }
        });
    }

    /** Removes a running worker's record from the store for a while. */
    void loseRecord(SimWorker w, long millis) {
        store.clear(World.WORKERS + w.id());
        time.schedule(millis, () -> {
            if (w.isUp()) {
                putRecord(w);
            }
        });
    }

    private @Nullable SimInstance findInstance(SimWorker w) {
        return instances.values().stream()
                .filter(instance -> instance.worker == w)
                .findFirst()
                .orElse(null);
    }

    void requestWave(UpkeepWave w) {
        waves.put(w.number(), w);
        store.set(World.WAVES + w.number(), RecordCodec.write(w));
    }

    List<String> instanceIds() {
        return List.copyOf(instances.keySet());
    }

    /** Returns the instances of a wave that have not had their maintenance yet. */
    List<String> notMaintained(long wave) {
        UpkeepWave w = waves.get(wave);
        return w == null
                ? List.of()
                : w.instances().stream()
                        .filter(i -> !maintained.contains(i + "/" + wave))
                        .toList();
    }

    /** Returns the active runs on an instance. */
    List<RunStatus> tasksOn(String instanceId) {
        SimInstance instance = instances.get(instanceId);
        return instance == null || instance.worker == null ? List.of() : instance.worker.runningReports();
    }

    CompletableFuture<List<PlatformInstance>> list(Network net) {
        CompletableFuture<List<PlatformInstance>> f = new CompletableFuture<>();
        net.deliver(net.latency() * 2, () -> {
            if (time.now() < listFailsUntil) {
                f.completeExceptionally(new StoreException(StoreException.Kind.AWAY, "list instances: model"));
            } else {
                f.complete(shownList());
            }
        });
        return f;
    }

    CompletableFuture<InstanceOrderOutcome> order(
            Network net, String id, InstanceOperation errand, String holder, long fence) {
        CompletableFuture<InstanceOrderOutcome> f = new CompletableFuture<>();
        net.deliver(net.latency(), () -> {
            InstanceOrderOutcome o = execute(id, errand, holder, fence, false);
            net.deliver(net.latency(), () -> f.complete(o));
        });
        return f;
    }

    /** Executes an order that has reached the platform, perhaps after a partition has held it up. */
    InstanceOrderOutcome execute(String id, InstanceOperation errand, String holder, long fence, boolean heldUp) {
        SimInstance instance = instances.get(id);
        if (instance == null) {
            return InstanceOrderOutcome.IMPOSSIBLE;
        }
        checkSingleOwner(instance, holder, fence, heldUp);
        boolean upkeep = errand.kind() == InstanceOperation.Kind.UPKEEP;
        if (upkeep ? maintained.contains(instance.id + "/" + errand.target()) : instance.pool.equals(errand.target())) {
            return InstanceOrderOutcome.TAKEN;
        }
        if (instance.state != State.UP || (instance.worker != null && instance.worker.drainingSince() != World.NEVER)) {
            return InstanceOrderOutcome.BUSY;
        }
        if (upkeep) {
            checkWave(instance, Long.parseLong(errand.target()));
        }
        execute(instance, errand);
        return InstanceOrderOutcome.TAKEN;
    }

    private void execute(SimInstance instance, InstanceOperation errand) {
        boolean upkeep = errand.kind() == InstanceOperation.Kind.UPKEEP;
        SimWorker w = instance.worker;
        if (w != null) {
            w.removeByOrder(errand.toString());
            removeRecordLater(w);
            instance.worker = null;
        }
        if (upkeep) {
            maintained.add(instance.id + "/" + errand.target());
        } else {
            instance.pool = errand.target();
        }
        instance.state = upkeep ? State.UPKEEP : State.MOVING;
        time.schedule(upkeep ? World.UPKEEP_MILLIS : World.MOVE_MILLIS, () -> bringUp(instance));
    }

    /**
     * Checks that fences never fall, and that owners do not take turns within a lease. The sender of an order that was
     * held up was partitioned until then, so that order does not count as one of two turns.
     */
    private void checkSingleOwner(SimInstance instance, String holder, long fence, boolean heldUp) {
        boolean ownerChanged = !holder.equals(instance.lastHolder) || fence != instance.lastFence;
        boolean leaving = leavingEntries.contains(instance.lastHolder);
        boolean alternates = ownerChanged
                && !leaving
                && !heldUp
                && time.now() - instance.lastOrderAt < World.LEASE_MILLIS
                && !instance.lastHolder.isEmpty();
        rules.require(
                Rules.Rule.ONE,
                fence >= instance.lastFence,
                holder + " orders " + instance.id + " with an older fence");
        rules.require(
                Rules.Rule.ONE, !alternates, holder + " orders " + instance.id + " right after " + instance.lastHolder);
        instance.lastHolder = heldUp ? "" : holder;
        instance.lastFence = fence;
        instance.lastOrderAt = time.now();
    }

    private void checkWave(SimInstance instance, long number) {
        UpkeepWave w = Objects.requireNonNull(waves.get(number), "an order names a wave that was asked for");
        long down = w.instances().stream()
                .map(instances::get)
                .filter(o -> o != null && o.state == State.UPKEEP)
                .count();
        rules.require(
                Rules.Rule.WAVE, down < w.maxDown(), instance.id + " goes down while " + down + " of the wave are");
    }
}
