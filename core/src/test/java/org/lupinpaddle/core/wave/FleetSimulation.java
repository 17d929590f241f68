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
 * Simulates services, their workers, several entries and two drivers that race each other over one store. The
 * order of events comes from a seed. Single rules can be disabled to show that the invariant checks detect the
 * violation.
 */
final class FleetSimulation {

    /** The faults that can be injected. */
    enum Fault {
        /** Drivers pause between deciding and acting, and their views lag. */
        PAUSED_DRIVERS,
        /** Drivers are replaced by new processes. */
        KILLED_DRIVERS,
        /** The store loses writes or their replies; both look the same to a driver that reads again. */
        LOST_WRITES,
        /** Workers fail and restart by themselves. */
        FAILING_WORKERS,
        /** Operators pause and resume waves and change budgets at any time. */
        BUSY_OPERATORS
    }

    /** A rule of the implementation that can be disabled. */
    enum DisabledRule {
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
    private final Set<Fault> faults;
    private final @Nullable DisabledRule disabledRule;
    private final FleetView currentView = new FleetView();
    private final Map<String, Integer> initialBudgets = new TreeMap<>();
    private final Set<String> failedWorkers = new HashSet<>();
    private long now;
    private int writeIds;
    private int interruptedRequests;
    private int actionCount;
    private int maxConcurrentReboots;

    FleetSimulation(long seed, Set<Fault> faults, @Nullable DisabledRule disabledRule) {
        this.random = new Random(seed);
        this.faults = faults.isEmpty() ? EnumSet.noneOf(Fault.class) : EnumSet.copyOf(faults);
        this.disabledRule = disabledRule;
        for (int i = 0; i < ENTRIES; i++) {
            entries.add(new FleetView());
        }
    }

    /** Adds a service with its own pool. */
    void service(String name, int budget, Reserve reserve) {
        initialBudgets.put(name, budget);
        store.put(StoreKeys.service(name), ServiceRecord.create(name, budget, reserve, "test", "w0"));
        store.put(StoreKeys.pool(name), new PoolRecord(name, name, "a", false, "test", "w0"));
    }

    /** Adds a pool of spare instances. */
    void sparePool(String name) {
        store.put(StoreKeys.pool(name), new PoolRecord(name, null, "b", false, "test", "w0"));
    }

    /** Adds an instance, which is a member of its service immediately. */
    void instance(String id, String pool, String rack) {
        workers.put(id, new FakeWorker(id));
        FleetView v = store.view();
        InstanceRecord i = InstanceRecord.builder(id)
                .pool(pool)
                .location("north", rack)
                .address(id)
                .size(8, 1_000)
                .build();
        store.put(StoreKeys.shardOf(id), v.shardOf(id).with(i, "w0"));
        ServiceRecord s = v.services().get(pool);
        if (s != null) {
            store.put(StoreKeys.service(pool), s.withMember(id, "w0"));
        }
    }

    void wave(WaveRecord w) {
        store.put(StoreKeys.wave(w.name()), w);
    }

    /** Runs random steps and checks the invariants after each. */
    void run(int steps) {
        checkInvariants();
        for (int i = 0; i < steps; i++) {
            now++;
            randomStep();
            checkInvariants();
        }
    }

    /**
     * Runs random steps until drivers have performed this many actions, then replaces all drivers by new
     * processes.
     */
    void killDriversAfter(int actions) {
        while (actionCount < actions && !isSettled("full")) {
            now++;
            randomStep();
            checkInvariants();
        }
        drivers.forEach(FakeDriver::restart);
    }

    /** Returns the number of actions that drivers have performed. */
    int actionCount() {
        return actionCount;
    }

    private boolean isSettled(String wave) {
        WaveRecord w = store.view().waves().get(wave);
        return w != null && WaveStepper.isSettled(store.view(), w);
    }

    /** Ends all faults and runs until the wave has ended; fails after the given number of steps. */
    void settle(String wave, int steps) {
        faults.clear();
        workers.values().stream().filter(w -> !w.up && !w.neverReturns).forEach(FakeWorker::restart);
        failedWorkers.clear();
        WaveRecord w = Objects.requireNonNull(store.view().waves().get(wave));
        if (w.state() == WaveState.PAUSED || w.state() == WaveState.HALTED) {
            put(w.withState(WaveState.RUNNING, "resumed", "test", id()));
        }
        initialBudgets.forEach(this::setBudget);
        for (int i = 0; i < steps; i++) {
            now++;
            randomStep();
            checkInvariants();
            if (WaveStepper.isSettled(
                    currentView, Objects.requireNonNull(currentView.waves().get(wave)))) {
                return;
            }
        }
        throw new AssertionError("the wave has not ended: " + describe());
    }

    private void randomStep() {
        switch (random.nextInt(12)) {
            case 0, 1, 2 -> decide(pick(drivers));
            case 3, 4, 5 -> act(pick(drivers));
            case 6 -> store.sync(pick(entries));
            case 7 -> sendWork(pick(entries));
            case 8 -> endWork();
            case 9 -> restartWorker();
            case 10 -> injectFault();
            default -> probeWorkers(pick(drivers));
        }
    }

    private <T> T pick(List<T> all) {
        return all.get(random.nextInt(all.size()));
    }

    private FakeWorker pickWorker() {
        return pick(List.copyOf(workers.values()));
    }

    private void probeWorkers(FakeDriver d) {
        workers.values().forEach(w -> d.probe(w, now));
        d.setFailed(Set.copyOf(failedWorkers), Set.of());
    }

    private void decide(FakeDriver d) {
        boolean viewLags = faults.contains(Fault.PAUSED_DRIVERS) && random.nextInt(3) == 0;
        if (!viewLags) {
            store.sync(d.view);
        }
        long minRevision =
                entries.stream().mapToLong(FleetView::contentRevision).min().orElse(0);
        d.setConfirmed(disabledRule == DisabledRule.CONFIRMATION_AND_IDLE ? Long.MAX_VALUE : minRevision, now);
        boolean keepsOldActions = faults.contains(Fault.PAUSED_DRIVERS) && random.nextInt(2) == 0;
        if (!keepsOldActions) {
            d.pendingActions.clear();
        }
        for (String wave : List.copyOf(d.view.waves().keySet())) {
            d.pendingActions.addAll(WaveStepper.step(d.view, wave, d, this::id));
        }
    }

    private void act(FakeDriver d) {
        if (d.pendingActions.isEmpty()) {
            return;
        }
        actionCount++;
        WaveAction a = d.pendingActions.remove(random.nextInt(d.pendingActions.size()));
        if (faults.contains(Fault.LOST_WRITES) && random.nextInt(3) == 0) {
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
        if (disabledRule == DisabledRule.COMPARE_AND_SWAP) {
            store.put(key, value);
        } else {
            store.compareAndSwap(key, value, expected);
        }
    }

    // With the rule disabled, an unneeded permit is removed in one step, without asking its instance.
    private void putShard(FakeDriver d, WaveAction.PutShard p) {
        if (disabledRule == DisabledRule.SPENT_PERMITS) {
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
        long fence = disabledRule == DisabledRule.FENCE ? Long.MAX_VALUE : m.fence();
        int running = w.running;
        boolean accepted = w.maintain(new WaveAction.Maintain(m.step(), m.instance(), m.incarnation(), fence));
        if (accepted && m.step() == WaveAction.Step.REBOOT) {
            interruptedRequests += running;
            w.running = 0;
        } else if (accepted && m.step() == WaveAction.Step.UNDRAIN) {
            d.setUndrained(m, now);
        }
    }

    private void sendWork(FleetView entry) {
        FakeWorker w = pickWorker();
        InstanceRecord i = entry.instances().get(w.id);
        // With the rule disabled the worker does not refuse work either, so only the confirmation by the entries
        // is left.
        boolean refuses = w.leaving && disabledRule != DisabledRule.CONFIRMATION_AND_IDLE;
        if (i != null && i.state().acceptsWork() && w.up && !refuses && w.running < 8) {
            w.running++;
        }
    }

    private void endWork() {
        FakeWorker w = pickWorker();
        w.running = Math.max(0, w.running - 1);
    }

    private void restartWorker() {
        FakeWorker w = pickWorker();
        if (!w.up && !w.neverReturns && (w.rebooting || !faults.contains(Fault.FAILING_WORKERS))) {
            w.restart();
            failedWorkers.remove(w.id);
        }
    }

    private void injectFault() {
        if (faults.contains(Fault.KILLED_DRIVERS) && random.nextInt(4) == 0) {
            pick(drivers).restart();
        }
        if (faults.contains(Fault.FAILING_WORKERS)) {
            failOrRecover();
        }
        if (faults.contains(Fault.BUSY_OPERATORS)) {
            runOperatorCommand();
        }
    }

    private void failOrRecover() {
        FakeWorker w = pickWorker();
        if (!w.up && failedWorkers.contains(w.id)) {
            w.restart();
            failedWorkers.remove(w.id);
        } else if (w.up && random.nextInt(4) == 0) {
            w.up = false;
            w.running = 0;
            failedWorkers.add(w.id);
        }
    }

    private void runOperatorCommand() {
        FleetView v = currentView;
        WaveRecord wave = pick(List.copyOf(v.waves().values()));
        if (random.nextInt(3) == 0 && !wave.state().ended()) {
            WaveState next = wave.state() == WaveState.RUNNING ? WaveState.PAUSED : WaveState.RUNNING;
            put(wave.withState(next, "test", "test", id()));
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
        store.compareAndSwap(
                key,
                s.withBudget(Math.min(budget, s.available(Set.of())), s.reserve(), "test", id()),
                store.revisionOf(key));
    }

    private void put(WaveRecord w) {
        store.compareAndSwap(StoreKeys.wave(w.name()), w, store.revisionOf(StoreKeys.wave(w.name())));
    }

    private String id() {
        return "w" + ++writeIds;
    }

    private void checkInvariants() {
        store.sync(currentView);
        FleetView v = currentView;
        for (ServiceRecord s : v.services().values()) {
            // Workers that failed by themselves still count, because the system does not cause those failures.
            long serving = v.instancesOf(s.name()).stream()
                    .filter(i -> i.state() == InstanceState.IN_SERVICE)
                    .filter(i -> !Objects.requireNonNull(workers.get(i.id())).leaving)
                    .count();
            if (serving < s.budget()) {
                throw new AssertionError("below budget, " + serving + " in service: " + describe());
            }
        }
        if (interruptedRequests > 0) {
            throw new AssertionError("a reboot interrupted running requests: " + describe());
        }
        long inPools = v.instances().values().stream()
                .filter(i -> v.pools().containsKey(i.pool()))
                .count();
        if (inPools != workers.size()) {
            throw new AssertionError("an instance is in no pool: " + describe());
        }
        long rebooting = workers.values().stream().filter(w -> w.rebooting).count();
        maxConcurrentReboots = Math.max(maxConcurrentReboots, (int) rebooting);
    }

    int maxConcurrentReboots() {
        return maxConcurrentReboots;
    }

    private String describe() {
        FleetView v = store.view();
        return "step " + now + " " + v.services() + " " + v.instances().values() + " " + v.waves();
    }
}
