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
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.lupinpaddle.core.common.StoreKeys;
import org.lupinpaddle.core.instance.InstanceRecord;
import org.lupinpaddle.core.instance.InstanceState;
import org.lupinpaddle.core.pool.PoolRecord;
import org.lupinpaddle.core.service.MemberReconciler;
import org.lupinpaddle.core.service.Reserve;
import org.lupinpaddle.core.service.ServiceRecord;
import org.lupinpaddle.core.view.FleetView;

/**
 * Prints roll-out time, moves, buffer and store writes of full waves and migrations at today's sizes, with one
 * driver pass per second of virtual time. Arguments are seeds; figures are means over the seeds.
 */
public final class FleetExperiment {

    private static final int SERVICES = 5;
    private static final int WORKERS = 8;
    private static final int BUDGET = 5;
    private static final int REBOOT_SECONDS = 60;
    private static final int LIMIT_SECONDS = 40_000;
    private static final int FAILED_SECONDS = 300;

    /** The maximum remaining run time of work on an instance when it starts to leave. */
    private enum Deployment {
        /** Transcodes of archive recordings run for minutes. */
        RADIO(300),
        /** Fault checks and reports run for seconds. */
        TRACTOR(10);

        private final int longestJobSeconds;

        Deployment(int longestJobSeconds) {
            this.longestJobSeconds = longestJobSeconds;
        }
    }

    private static final class Run {
        private final FakeStore store = new FakeStore();
        private final FakeDriver driver = new FakeDriver();
        private final TreeMap<String, FakeWorker> workers = new TreeMap<>();
        private final Map<String, Integer> idleAt = new HashMap<>();
        private final Map<String, Integer> backAt = new HashMap<>();
        private final Set<String> failed = new HashSet<>();
        private final SplittableRandom random;
        private final Deployment deployment;
        private int moves;
        private int lowestAboveBudget = Integer.MAX_VALUE;
        private long outSeconds;
        private int ids;

        private Run(long seed, Deployment deployment) {
            this.random = new SplittableRandom(seed);
            this.deployment = deployment;
        }

        private String id() {
            return "x" + ++ids;
        }

        private void fleet(Reserve reserve, boolean migration) {
            for (int s = 0; s < SERVICES; s++) {
                String name = "s" + s;
                store.put(StoreKeys.service(name), ServiceRecord.create(name, BUDGET, reserve, "m", "m"));
                store.put(StoreKeys.pool(name), new PoolRecord(name, name, "a", false, "m", "m"));
                for (int w = 0; w < WORKERS; w++) {
                    // Four halls with four workers per rack, so two workers of a service share a rack.
                    instance(name + "w" + w, name, "hall" + w % 4, "rack" + (s * WORKERS + w / 4) / 4 % 3);
                }
            }
            if (migration) {
                store.put(StoreKeys.pool("spare-a"), new PoolRecord("spare-a", null, "a", false, "m", "m"));
                for (int s = 0; s < SERVICES; s++) {
                    String spares = "spare" + s;
                    store.put(StoreKeys.pool(spares), new PoolRecord(spares, null, "b", false, "m", "m"));
                    for (int w = 0; w < WORKERS; w++) {
                        instance(spares + "w" + w, spares, "far" + w % 4, "rack" + s);
                    }
                }
            }
        }

        private void instance(String id, String pool, String hall, String rack) {
            workers.put(id, new FakeWorker(id));
            FleetView v = store.view();
            InstanceRecord i = InstanceRecord.builder(id)
                    .pool(pool)
                    .location(hall, rack)
                    .address(id)
                    .build();
            store.put(StoreKeys.shardOf(id), v.shardOf(id).with(i, "m"));
            ServiceRecord s = v.services().get(pool);
            if (s != null) {
                store.put(StoreKeys.service(pool), s.withMember(id, "m"));
            }
        }

        private void wave(WaveOrder order, boolean migration) {
            List<WaveTarget> targets = new ArrayList<>();
            FleetView v = store.view();
            v.instances().values().stream()
                    .sorted(order.comparator())
                    .filter(i -> i.pool().startsWith("spare"))
                    .forEach(i ->
                            targets.add(new WaveTarget(i.id(), "s" + i.pool().substring(5))));
            v.instances().values().stream()
                    .sorted(order.comparator())
                    .filter(i -> !i.pool().startsWith("spare"))
                    .forEach(i -> targets.add(new WaveTarget(i.id(), migration ? "spare-a" : null)));
            WaveScope scope = new WaveScope(null, null, null);
            store.put(
                    StoreKeys.wave("w"),
                    new WaveRecord("w", WaveKind.REBOOT, scope, targets, order, WaveState.RUNNING, "", "m", "m"));
        }

        /** Returns the number of seconds until the wave was done, or the limit if it was not. */
        private int run(int failAt, int failures) {
            for (int t = 0; t < LIMIT_SECONDS; t++) {
                if (t == failAt) {
                    fail(failures, t);
                }
                advanceWorkers(t);
                stepDriver(t);
                if (Objects.requireNonNull(driver.view.waves().get("w")).state() == WaveState.DONE) {
                    return t;
                }
            }
            return LIMIT_SECONDS;
        }

        private void fail(int failures, int t) {
            workers.values().stream()
                    .filter(w -> w.up && !w.leaving && w.id.startsWith("s0"))
                    .limit(failures)
                    .forEach(w -> {
                        w.up = false;
                        failed.add(w.id);
                        backAt.put(w.id, t + FAILED_SECONDS);
                    });
        }

        private void advanceWorkers(int t) {
            for (FakeWorker w : workers.values()) {
                if (w.leaving && t >= idleAt.getOrDefault(w.id, 0)) {
                    w.running = 0;
                }
                if (!w.up && t >= backAt.getOrDefault(w.id, Integer.MAX_VALUE)) {
                    w.restart();
                    backAt.remove(w.id);
                    failed.remove(w.id);
                }
            }
        }

        private void stepDriver(int t) {
            store.sync(driver.view);
            driver.setConfirmed(driver.view.contentRevision(), t - 1);
            workers.values().forEach(w -> driver.probe(w, t));
            driver.setFailed(Set.copyOf(failed), Set.of());
            for (WaveAction a : WaveStepper.step(driver.view, "w", driver, this::id)) {
                perform(a, t);
            }
            recordMetrics();
        }

        private void perform(WaveAction a, int t) {
            if (a instanceof WaveAction.PutService p) {
                store.compareAndSwap(StoreKeys.service(p.next().name()), p.next(), p.expectedRevision());
            } else if (a instanceof WaveAction.PutShard p) {
                store.compareAndSwap(p.key(), p.next(), p.expectedRevision());
            } else if (a instanceof WaveAction.PutWave p) {
                store.compareAndSwap(StoreKeys.wave(p.next().name()), p.next(), p.expectedRevision());
            } else if (a instanceof WaveAction.Maintain m) {
                maintain(m, t);
            }
        }

        private void maintain(WaveAction.Maintain m, int t) {
            FakeWorker w = Objects.requireNonNull(workers.get(m.instance()));
            boolean wasLeaving = w.leaving;
            if (!w.maintain(m)) {
                return;
            }
            switch (m.step()) {
                case DRAIN -> {
                    if (!wasLeaving) {
                        moves++;
                        w.running = 1;
                        idleAt.put(w.id, t + 1 + random.nextInt(deployment.longestJobSeconds));
                    }
                }
                case REBOOT -> backAt.put(w.id, t + REBOOT_SECONDS);
                case UNDRAIN -> driver.setUndrained(m, t);
            }
        }

        private void recordMetrics() {
            FleetView v = driver.view;
            for (ServiceRecord s : v.services().values()) {
                int available = s.available(failed);
                lowestAboveBudget = Math.min(lowestAboveBudget, available - s.budget());
            }
            outSeconds += v.instances().values().stream()
                    .filter(i ->
                            i.state() != InstanceState.IN_SERVICE && !i.pool().startsWith("spare"))
                    .count();
        }

        private int reserveHeld() {
            FleetView v = store.view();
            return v.services().values().stream()
                    .mapToInt(s -> MemberReconciler.minAvailable(v, s) - s.budget())
                    .sum();
        }
    }

    private FleetExperiment() {}

    /** Prints the tables for the seeds given, or for three fixed ones. */
    public static void main(String[] args) {
        long[] seeds = args.length == 0
                ? new long[] {1, 2, 3}
                : Arrays.stream(args).mapToLong(Long::parseLong).toArray();
        System.out.println("| deployment | work | order | reserve | failures | roll-out s (spread) | moves "
                + "| mean instances out | reserve held | lowest above budget | store writes |");
        System.out.println("|---|---|---|---|---|---|---|---|---|---|---|");
        for (Deployment d : Deployment.values()) {
            for (boolean migration : new boolean[] {false, true}) {
                for (WaveOrder o : WaveOrder.values()) {
                    for (Reserve r : Reserve.values()) {
                        printRow(seeds, d, migration, o, r, 0);
                        printRow(seeds, d, migration, o, r, 2);
                    }
                }
            }
        }
    }

    private static void printRow(
            long[] seeds, Deployment d, boolean migration, WaveOrder order, Reserve reserve, int failures) {
        double time = 0;
        double moves = 0;
        double out = 0;
        double writes = 0;
        int low = Integer.MAX_VALUE;
        int high = 0;
        int worst = Integer.MAX_VALUE;
        int held = 0;
        for (long seed : seeds) {
            Run r = new Run(seed, d);
            r.fleet(reserve, migration);
            r.wave(order, migration);
            held = r.reserveHeld();
            long before = r.store.writes();
            int t = r.run(200, failures);
            time += t;
            low = Math.min(low, t);
            high = Math.max(high, t);
            moves += r.moves;
            out += (double) r.outSeconds / t;
            writes += r.store.writes() - before;
            worst = Math.min(worst, r.lowestAboveBudget);
        }
        int n = seeds.length;
        System.out.printf(
                Locale.ROOT,
                "| %s | %s | %s | %s | %d | %.0f (%d-%d) | %.1f | %.2f | %d | %d | %.0f |%n",
                d,
                migration ? "migration" : "wave",
                order,
                reserve,
                failures,
                time / n,
                low,
                high,
                moves / n,
                out / n,
                held,
                worst,
                writes / n);
    }
}
