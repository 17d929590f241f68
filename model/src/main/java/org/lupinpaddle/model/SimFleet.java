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

/** The instances with the workers that live on them, and the platform's orders on instances. */
final class SimFleet {

    private static final long LIST_LAG_MILLIS = 800;
    private static final long LAPSE_MILLIS = 4_500;
    /** A worker's clock counts from anywhere: it may have been up for as long. */
    private static final int MOST_AGE_MILLIS = 100_000;

    private final VirtualTime time;
    private final SimStore store;
    private final Rules rules;
    private final Random random;
    private final Resources room;
    private final Supplier<Optional<CrashingTasks>> crashing;
    private final BooleanSupplier keepsId;
    private final Map<String, Machine> machines = new TreeMap<>();
    private final Map<String, Machine> byAddress = new HashMap<>();
    private final Set<String> maintained = new HashSet<>();
    private final Map<Long, UpkeepWave> waves = new TreeMap<>();
    private List<PlatformInstance> shown = List.of();
    private int lives;

    private final Set<String> leavers = new HashSet<>();

    private static final class Machine {
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

        Machine(String id, String hall, String rack, String address, String pool) {
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
        String id = "m-" + machines.size();
        Machine m = new Machine(id, hall, rack, "a-" + machines.size(), pool);
        machines.put(id, m);
        byAddress.put(m.address, m);
        bringUp(m);
    }

    void startLagging() {
        List<PlatformInstance> now = snapshot();
        time.after(LIST_LAG_MILLIS, () -> shown = now);
        time.after(LIST_LAG_MILLIS / 4, this::startLagging);
    }

    private List<PlatformInstance> snapshot() {
        List<PlatformInstance> all = new ArrayList<>();
        for (Machine m : machines.values()) {
            all.add(new PlatformInstance(m.id, m.pool, m.state, m.hall, m.worker == null ? "" : m.worker.id()));
        }
        return all;
    }

    private void bringUp(Machine m) {
        m.state = State.UP;
        if (m.pool.equals(World.HEADROOM)) {
            m.worker = null;
            return;
        }
        long age = random.nextInt(MOST_AGE_MILLIS);
        m.worker = new SimWorker(time, rules, random, facts(m, "w-" + lives++), age, crashing);
        list(m.worker);
    }

    private WorkerFacts facts(Machine m, String id) {
        long born = World.EPOCH + time.now();
        return new WorkerFacts(id, born, m.pool, m.address, m.hall, false, 0, room, List.of("kind", m.rack));
    }

    private void list(SimWorker w) {
        store.set(World.WORKERS + w.id(), RecordCodec.write(w.facts()));
    }

    private void unlistLater(SimWorker w) {
        time.after(LAPSE_MILLIS, () -> {
            if (workers().stream().noneMatch(o -> o.id().equals(w.id()))) {
                store.clear(World.WORKERS + w.id());
            }
        });
    }

    @Nullable
    SimWorker atAddress(String address) {
        Machine m = byAddress.get(address);
        return m == null ? null : m.worker;
    }

    List<SimWorker> workers() {
        return machines.values().stream()
                .map(m -> m.worker)
                .filter(w -> w != null && w.isUp())
                .toList();
    }

    /** A worker crashes; its instance comes back with another life, under a new id as a rule. */
    void crash(SimWorker w, long downMillis) {
        if (keepsId.getAsBoolean()) {
            restart(w, downMillis);
        } else {
            crash(w, downMillis, this::bringUp);
        }
    }

    /** A worker crashes and comes back under its id, knowing nothing of before. */
    void restart(SimWorker w, long downMillis) {
        crash(w, downMillis, m -> {
            m.state = State.UP;
            m.worker = new SimWorker(time, rules, random, facts(m, w.id()), 0, crashing);
            list(m.worker);
        });
    }

    private void crash(SimWorker w, long downMillis, Consumer<Machine> comesBack) {
        Machine m = machineOf(w);
        if (m == null || !w.isUp()) {
            return;
        }
        w.crashUnasked();
        unlistLater(w);
        m.state = State.DOWN;
        time.after(downMillis, () -> {
            if (m.state == State.DOWN && m.worker == w) {
                comesBack.accept(m);
            }
        });
    }

    /** A worker drains, leaves, and another comes. */
    void drain(SimWorker w, long remainingMillis) {
        Machine m = machineOf(w);
        if (m == null || !w.isUp() || w.drainsSince() != World.NEVER) {
            return;
        }
        w.drain(remainingMillis);
        list(w);
        time.after(remainingMillis, () -> {
            if (m.worker == w && w.isUp()) {
                w.crash();
                store.clear(World.WORKERS + w.id());
                m.state = State.DOWN;
                time.after(1_000, () -> {
                    if (m.state == State.DOWN) {
                        bringUp(m);
                    }
                });
            }
        });
    }

    /** An entry is told to end, or dies: from then on it is not one of two owners that take turns. */
    void leaves(String entry) {
        leavers.add(entry);
    }

    /** The entry is back. */
    void returns(String entry) {
        if (leavers.remove(entry)) {
            machines.values().stream().filter(m -> m.lastHolder.equals(entry)).forEach(m -> m.lastHolder = "");
        }
    }

    /** The store forgets a worker that lives on, for a while. */
    /** Another writer writes over a worker's record; if the worker lives, it puts its own again after a time. */
    void spoil(SimWorker w, String value, long millis) {
        OtherWriter.put(store, World.WORKERS + w.id(), value);
        time.after(millis, () -> {
            if (w.isUp()) {
                list(w);
            } else if (workers().stream().noneMatch(o -> o.id().equals(w.id()))) {
                store.clear(World.WORKERS + w.id());
            }
        });
    }

    void lapse(SimWorker w, long millis) {
        store.clear(World.WORKERS + w.id());
        time.after(millis, () -> {
            if (w.isUp()) {
                list(w);
            }
        });
    }

    private @Nullable Machine machineOf(SimWorker w) {
        return machines.values().stream().filter(m -> m.worker == w).findFirst().orElse(null);
    }

    void ask(UpkeepWave w) {
        waves.put(w.number(), w);
        store.set(World.WAVES + w.number(), RecordCodec.write(w));
    }

    List<String> machineIds() {
        return List.copyOf(machines.keySet());
    }

    /** Returns the instances of a wave that have not had their upkeep. */
    List<String> notMaintained(long wave) {
        UpkeepWave w = waves.get(wave);
        return w == null
                ? List.of()
                : w.instances().stream()
                        .filter(i -> !maintained.contains(i + "/" + wave))
                        .toList();
    }

    /** Returns the runs that an instance's worker shows. */
    List<RunStatus> tasksOn(String instance) {
        Machine m = machines.get(instance);
        return m == null || m.worker == null ? List.of() : m.worker.running();
    }

    CompletableFuture<List<PlatformInstance>> list(Net net) {
        CompletableFuture<List<PlatformInstance>> f = new CompletableFuture<>();
        net.deliver(net.latency() * 2, () -> f.complete(shown));
        return f;
    }

    CompletableFuture<InstanceOrderOutcome> order(
            Net net, String id, InstanceOperation errand, String holder, long fence) {
        CompletableFuture<InstanceOrderOutcome> f = new CompletableFuture<>();
        net.deliver(net.latency(), () -> {
            InstanceOrderOutcome o = carryOut(machines.get(id), errand, holder, fence);
            net.deliver(net.latency(), () -> f.complete(o));
        });
        return f;
    }

    private InstanceOrderOutcome carryOut(@Nullable Machine m, InstanceOperation errand, String holder, long fence) {
        if (m == null) {
            return InstanceOrderOutcome.IMPOSSIBLE;
        }
        checkOne(m, holder, fence);
        boolean upkeep = errand.kind() == InstanceOperation.Kind.UPKEEP;
        if (upkeep ? maintained.contains(m.id + "/" + errand.target()) : m.pool.equals(errand.target())) {
            return InstanceOrderOutcome.TAKEN;
        }
        if (m.state != State.UP || (m.worker != null && m.worker.drainsSince() != World.NEVER)) {
            return InstanceOrderOutcome.BUSY;
        }
        if (upkeep) {
            checkWave(m, Long.parseLong(errand.target()));
        }
        takeAway(m, errand);
        return InstanceOrderOutcome.TAKEN;
    }

    private void takeAway(Machine m, InstanceOperation errand) {
        boolean upkeep = errand.kind() == InstanceOperation.Kind.UPKEEP;
        SimWorker w = m.worker;
        if (w != null) {
            w.takeAway(errand.toString());
            unlistLater(w);
            m.worker = null;
        }
        if (upkeep) {
            maintained.add(m.id + "/" + errand.target());
        } else {
            m.pool = errand.target();
        }
        m.state = upkeep ? State.UPKEEP : State.MOVING;
        time.after(upkeep ? World.UPKEEP_MILLIS : World.MOVE_MILLIS, () -> bringUp(m));
    }

    private void checkOne(Machine m, String holder, long fence) {
        boolean other = !holder.equals(m.lastHolder) || fence != m.lastFence;
        boolean leaving = leavers.contains(m.lastHolder);
        boolean turns = other && !leaving && time.now() - m.lastOrderAt < World.LEASE_MILLIS && !m.lastHolder.isEmpty();
        rules.require(Rules.Rule.ONE, !turns, holder + " orders " + m.id + " right after " + m.lastHolder);
        rules.require(Rules.Rule.ONE, fence >= m.lastFence, holder + " orders " + m.id + " with an older fence");
        m.lastHolder = holder;
        m.lastFence = fence;
        m.lastOrderAt = time.now();
    }

    private void checkWave(Machine m, long number) {
        UpkeepWave w = Objects.requireNonNull(waves.get(number), "an order names a wave that was asked for");
        long down = w.instances().stream()
                .map(machines::get)
                .filter(o -> o != null && o.state == State.UPKEEP)
                .count();
        rules.require(Rules.Rule.WAVE, down < w.maxDown(), m.id + " goes down while " + down + " of the wave are");
    }
}
