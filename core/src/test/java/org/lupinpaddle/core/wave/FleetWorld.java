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
package org.lupinpaddle.core.wave;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.common.StoreKeys;
import org.lupinpaddle.core.instance.InstanceRecord;
import org.lupinpaddle.core.instance.InstanceState;
import org.lupinpaddle.core.pool.PoolRecord;
import org.lupinpaddle.core.service.Permit;
import org.lupinpaddle.core.service.Reserve;
import org.lupinpaddle.core.service.ServiceRecord;
import org.lupinpaddle.core.view.FleetView;

/**
 * Two services, their workers, a few entries and two drivers that all race each other over one store. The
 * order of everything comes from a seed. A rule can be switched off, to see that the check would notice.
 */
final class FleetWorld {

    /** What may go wrong in a run. */
    enum Trouble {
        /** Drivers are paused between deciding and acting, and their views lag. */
        PAUSED_DRIVERS,
        /** Drivers are replaced by new processes. */
        KILLED_DRIVERS,
        /** The store loses the driver's writes or their replies, which is all one to a driver that looks anew. */
        LOST_WRITES,
        /** Workers die and come back by themselves. */
        FAILING_WORKERS,
        /** Operators pause, resume and change budgets at any moment. */
        BUSY_OPERATORS
    }

    /** A rule of the product, switched off. */
    enum Off {
        COMPARE_AND_SWAP,
        SPENT_PERMITS,
        FENCE,
        CONFIRMATION_AND_IDLE
    }

    private static final int ENTRIES = 3;

    final FakeStore store = new FakeStore();
    final Map<String, FakeWorker> workers = new TreeMap<>();
    private final List<FakeDriver> drivers = List.of(new FakeDriver(), new FakeDriver());
    private final List<FleetView> entries = new ArrayList<>();
    private final Random random;
    private final Set<Trouble> troubles;
    private final @Nullable Off off;
    private final FleetView truth = new FleetView();
    private final Map<String, Integer> firstBudgets = new TreeMap<>();
    private final Set<String> unplanned = new HashSet<>();
    private long now;
    private int writeIds;
    private int cutOff;
    private int acted;
    private int worstReboots;

    FleetWorld(long seed, Set<Trouble> troubles, @Nullable Off off) {
        this.random = new Random(seed);
        this.troubles = troubles.isEmpty() ? EnumSet.noneOf(Trouble.class) : EnumSet.copyOf(troubles);
        this.off = off;
        for (int i = 0; i < ENTRIES; i++) {
            entries.add(new FleetView());
        }
    }

    /** Makes a service with a pool of its own. */
    void service(String name, int budget, Reserve reserve) {
        firstBudgets.put(name, budget);
        store.force(StoreKeys.service(name), ServiceRecord.create(name, budget, reserve, "test", "w0"));
        store.force(StoreKeys.pool(name), new PoolRecord(name, name, "a", false, "test", "w0"));
    }

    /** Makes a pool of spare instances. */
    void sparePool(String name) {
        store.force(StoreKeys.pool(name), new PoolRecord(name, null, "b", false, "test", "w0"));
    }

    /** Adds an instance; it is a member of its service at once. */
    void instance(String id, String pool, String rack) {
        workers.put(id, new FakeWorker(id));
        FleetView v = store.view();
        InstanceRecord i = InstanceRecord.builder(id)
                .pool(pool)
                .place("north", rack)
                .address(id)
                .size(8, 1_000)
                .build();
        store.force(StoreKeys.shardOf(id), v.shardOf(id).with(i, "w0"));
        ServiceRecord s = v.services().get(pool);
        if (s != null) {
            store.force(StoreKeys.service(pool), s.withMember(id, "w0"));
        }
    }

    void wave(WaveRecord w) {
        store.force(StoreKeys.wave(w.name()), w);
    }

    /** Lets everything happen in some order for some steps; fails at the first broken promise. */
    void run(int steps) {
        check();
        for (int i = 0; i < steps; i++) {
            now++;
            oneStep();
            check();
        }
    }

    /** Lets everything happen until drivers have acted so often, then replaces all drivers by new processes. */
    void killDriversAfter(int actions) {
        while (acted < actions && !isSettled("full")) {
            now++;
            oneStep();
            check();
        }
        drivers.forEach(FakeDriver::restart);
    }

    /** Returns how often drivers have acted. */
    int acted() {
        return acted;
    }

    private boolean isSettled(String wave) {
        WaveRecord w = store.view().waves().get(wave);
        return w != null && WaveStepper.isSettled(store.view(), w);
    }

    /** Ends all trouble and runs on until the wave has ended, or fails after so many steps. */
    void settle(String wave, int steps) {
        troubles.clear();
        workers.values().stream().filter(w -> !w.up && !w.neverReturns).forEach(FakeWorker::restart);
        unplanned.clear();
        WaveRecord w = Objects.requireNonNull(store.view().waves().get(wave));
        if (w.state() == WaveState.PAUSED || w.state() == WaveState.HALTED) {
            put(w.in(WaveState.RUNNING, "resumed", "test", id()));
        }
        firstBudgets.forEach(this::setBudget);
        for (int i = 0; i < steps; i++) {
            now++;
            oneStep();
            check();
            if (WaveStepper.isSettled(
                    truth, Objects.requireNonNull(truth.waves().get(wave)))) {
                return;
            }
        }
        throw new AssertionError("the wave has not ended: " + describe());
    }

    private void oneStep() {
        switch (random.nextInt(12)) {
            case 0, 1, 2 -> decide(pick(drivers));
            case 3, 4, 5 -> act(pick(drivers));
            case 6 -> store.sync(pick(entries));
            case 7 -> sendWork(pick(entries));
            case 8 -> endWork();
            case 9 -> bringBack();
            case 10 -> trouble();
            default -> look(pick(drivers));
        }
    }

    private <T> T pick(List<T> all) {
        return all.get(random.nextInt(all.size()));
    }

    private FakeWorker pickWorker() {
        return pick(List.copyOf(workers.values()));
    }

    private void look(FakeDriver d) {
        workers.values().forEach(w -> d.look(w, now));
        d.noteFailed(Set.copyOf(unplanned), Set.of());
    }

    private void decide(FakeDriver d) {
        boolean lags = troubles.contains(Trouble.PAUSED_DRIVERS) && random.nextInt(3) == 0;
        if (!lags) {
            store.sync(d.view);
        }
        long least =
                entries.stream().mapToLong(FleetView::contentRevision).min().orElse(0);
        d.noteConfirmed(off == Off.CONFIRMATION_AND_IDLE ? Long.MAX_VALUE : least, now);
        boolean keepsOld = troubles.contains(Trouble.PAUSED_DRIVERS) && random.nextInt(2) == 0;
        if (!keepsOld) {
            d.decided.clear();
        }
        for (String wave : List.copyOf(d.view.waves().keySet())) {
            d.decided.addAll(WaveStepper.step(d.view, wave, d, this::id));
        }
    }

    private void act(FakeDriver d) {
        if (d.decided.isEmpty()) {
            return;
        }
        acted++;
        WaveAction a = d.decided.remove(random.nextInt(d.decided.size()));
        if (troubles.contains(Trouble.LOST_WRITES) && random.nextInt(3) == 0) {
            return;
        }
        if (a instanceof WaveAction.PutService p) {
            swap(StoreKeys.service(p.next().name()), p.next(), p.expectedRevision());
        } else if (a instanceof WaveAction.PutShard p) {
            putShard(d, p);
        } else if (a instanceof WaveAction.PutWave p) {
            swap(StoreKeys.wave(p.next().name()), p.next(), p.expectedRevision());
        } else if (a instanceof WaveAction.Maintain m) {
            maintain(d, m);
        }
    }

    private void swap(String key, Object value, long expected) {
        if (off == Off.COMPARE_AND_SWAP) {
            store.force(key, value);
        } else {
            store.swap(key, value, expected);
        }
    }

    // With the rule off a permit that is not wanted is struck off in one step, its instance not asked.
    private void putShard(FakeDriver d, WaveAction.PutShard p) {
        if (off == Off.SPENT_PERMITS) {
            for (InstanceRecord i : p.next().instances().values()) {
                ServiceRecord s = d.view.serviceOf(i).orElse(null);
                Permit permit = s == null ? null : s.permits().get(i.id());
                boolean declined = permit != null
                        && i.state() == InstanceState.IN_SERVICE
                        && permit.id().equals(i.spentPermit());
                if (s != null && declined) {
                    String key = StoreKeys.service(s.name());
                    swap(key, s.withoutPermit(i.id(), id()), d.view.revisionOf(key));
                    return;
                }
            }
        }
        swap(p.key(), p.next(), p.expectedRevision());
    }

    private void maintain(FakeDriver d, WaveAction.Maintain m) {
        FakeWorker w = Objects.requireNonNull(workers.get(m.instance()));
        long fence = off == Off.FENCE ? Long.MAX_VALUE : m.fence();
        int running = w.running;
        boolean accepted = w.maintain(new WaveAction.Maintain(m.step(), m.instance(), m.incarnation(), fence));
        if (accepted && m.step() == WaveAction.Step.REBOOT) {
            cutOff += running;
            w.running = 0;
        } else if (accepted && m.step() == WaveAction.Step.UNDRAIN) {
            d.noteUndrained(m, now);
        }
    }

    private void sendWork(FleetView entry) {
        FakeWorker w = pickWorker();
        InstanceRecord i = entry.instances().get(w.id);
        // With the rule off the worker does not refuse either: only the entries' confirmation is left.
        boolean refuses = w.leaving && off != Off.CONFIRMATION_AND_IDLE;
        if (i != null && i.state().takesWork() && w.up && !refuses && w.running < 8) {
            w.running++;
        }
    }

    private void endWork() {
        FakeWorker w = pickWorker();
        w.running = Math.max(0, w.running - 1);
    }

    private void bringBack() {
        FakeWorker w = pickWorker();
        if (!w.up && !w.neverReturns && (w.rebooting || !troubles.contains(Trouble.FAILING_WORKERS))) {
            w.restart();
            unplanned.remove(w.id);
        }
    }

    private void trouble() {
        if (troubles.contains(Trouble.KILLED_DRIVERS) && random.nextInt(4) == 0) {
            pick(drivers).restart();
        }
        if (troubles.contains(Trouble.FAILING_WORKERS)) {
            failOrRecover();
        }
        if (troubles.contains(Trouble.BUSY_OPERATORS)) {
            operate();
        }
    }

    private void failOrRecover() {
        FakeWorker w = pickWorker();
        if (!w.up && unplanned.contains(w.id)) {
            w.restart();
            unplanned.remove(w.id);
        } else if (w.up && random.nextInt(4) == 0) {
            w.up = false;
            w.running = 0;
            unplanned.add(w.id);
        }
    }

    private void operate() {
        FleetView v = truth;
        WaveRecord wave = pick(List.copyOf(v.waves().values()));
        if (random.nextInt(3) == 0 && !wave.state().ended()) {
            WaveState next = wave.state() == WaveState.RUNNING ? WaveState.PAUSED : WaveState.RUNNING;
            put(wave.in(next, "test", "test", id()));
        } else {
            ServiceRecord s = pick(List.copyOf(v.services().values()));
            int budget = random.nextInt(s.members().size() + 1);
            if (budget <= s.available(Set.of())) {
                setBudget(s.name(), budget);
            }
        }
    }

    private void setBudget(String service, int budget) {
        ServiceRecord s = Objects.requireNonNull(store.view().services().get(service));
        String key = StoreKeys.service(service);
        store.swap(
                key,
                s.withBudget(Math.min(budget, s.available(Set.of())), s.reserve(), "test", id()),
                store.revisionOf(key));
    }

    private void put(WaveRecord w) {
        store.swap(StoreKeys.wave(w.name()), w, store.revisionOf(StoreKeys.wave(w.name())));
    }

    private String id() {
        return "w" + ++writeIds;
    }

    private void check() {
        store.sync(truth);
        FleetView v = truth;
        for (ServiceRecord s : v.services().values()) {
            // Counted is what serves unless it failed by itself: a failure is not of the system's doing.
            long serving = v.instancesOf(s.name()).stream()
                    .filter(i -> i.state() == InstanceState.IN_SERVICE)
                    .filter(i -> !Objects.requireNonNull(workers.get(i.id())).leaving)
                    .count();
            if (serving < s.budget()) {
                throw new AssertionError("below budget, " + serving + " serve: " + describe());
            }
        }
        if (cutOff > 0) {
            throw new AssertionError("a reboot cut off work: " + describe());
        }
        long inPools = v.instances().values().stream()
                .filter(i -> v.pools().containsKey(i.pool()))
                .count();
        if (inPools != workers.size()) {
            throw new AssertionError("an instance is in no pool: " + describe());
        }
        long away = workers.values().stream().filter(w -> w.rebooting).count();
        worstReboots = Math.max(worstReboots, (int) away);
    }

    int worstReboots() {
        return worstReboots;
    }

    private String describe() {
        FleetView v = store.view();
        return "step " + now + " " + v.services() + " " + v.instances().values() + " " + v.waves();
    }
}
