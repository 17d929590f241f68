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

import java.util.Random;
import java.util.function.Consumer;

/** The faults that a history can inject. Each draws its target and duration from the world's random generator. */
enum Fault {
    /** An entry is killed and restarts. */
    ENTRY_KILLED((w, context) -> context.entry(w).kill(500 + context.millis(4_000))),
    /** An entry freezes and resumes. */
    ENTRY_FROZEN((w, context) -> context.entry(w).freeze(500 + context.millis(8_000))),
    /** An entry is stopped gracefully and restarts. */
    ENTRY_STOPPED((w, context) -> context.entry(w).stopGracefully()),
    /** All entries are killed at once. */
    ALL_KILLED((w, context) -> {
        long down = 500 + context.millis(3_000);
        w.entries.forEach(e -> e.kill(down));
    }),
    /** An entry cannot reach the store, and the keys under its leases are removed. */
    ENTRY_TURNED_AWAY((w, context) -> context.cutFromStore(w, true)),
    /** An entry cannot reach the store. */
    ENTRY_CUT_FROM_STORE((w, context) -> context.cutFromStore(w, false)),
    /** A hall is cut off from the others and the store. */
    HALL_CUT((w, context) -> {
        String hall = context.entry(w).hall;
        w.net.isolatedHalls.add(hall);
        context.scheduleEnd(w, 2_000 + context.millis(5_000), () -> w.net.isolatedHalls.remove(hall));
    }),
    /** The store is down. */
    STORE_DOWN((w, context) -> {
        w.net.storeFault = context.coinFlip() ? CallFault.SILENT : CallFault.REFUSED;
        w.store.setLeasesPaused(context.coinFlip());
        context.scheduleEnd(w, 2_000 + context.millis(7_000), () -> {
            w.net.storeFault = CallFault.NONE;
            w.store.setLeasesPaused(false);
        });
    }),
    /** The store loses answers to writes, or carries writes out late without an answer. */
    STORE_LOSES_ANSWERS((w, context) -> {
        w.net.storeFault = context.coinFlip() ? CallFault.ANSWER_LOST : CallFault.LATE;
        w.net.storeFaultShare = 0.35;
        context.scheduleEnd(w, 2_000 + context.millis(4_000), () -> w.net.storeFault = CallFault.NONE);
    }),
    /** The store is slow. */
    STORE_SLOW((w, context) -> {
        w.net.storeDelay = 240;
        context.scheduleEnd(w, 2_000 + context.millis(4_000), () -> w.net.storeDelay = 0);
    }),
    /** The store compacts its change history. */
    HISTORY_DROPPED((w, context) -> w.store.compact()),
    /** The operators change the configuration. */
    CONFIGURED((w, context) -> w.writeConfiguration()),
    /** A worker crashes. */
    WORKER_CRASHED((w, context) -> w.fleet.crash(context.worker(w), 500 + context.millis(8_000))),
    /** A worker is replaced. */
    WORKER_DRAINED((w, context) -> w.fleet.drain(context.worker(w), World.DRAIN_MILLIS + context.millis(4_000))),
    /** A worker is unreachable, but its tasks run on. */
    WORKER_CUT((w, context) -> {
        SimWorker target = context.worker(w);
        w.net.unreachableWorkers.add(target.id());
        context.scheduleEnd(w, 1_000 + context.millis(12_000), () -> w.net.unreachableWorkers.remove(target.id()));
    }),
    /** Some orders to a worker get no answer and take effect late. */
    WORKER_LATE((w, context) -> {
        SimWorker target = context.worker(w);
        w.net.workersWithLateOrders.add(target.id());
        context.scheduleEnd(w, 2_000 + context.millis(4_000), () -> w.net.workersWithLateOrders.remove(target.id()));
    }),
    /** A worker fails every task that it starts. */
    WORKER_FAILS_ALL((w, context) -> {
        SimWorker target = context.worker(w);
        target.failsAllTasks = true;
        context.scheduleEnd(w, 2_000 + context.millis(5_000), () -> target.failsAllTasks = false);
    }),
    /** A worker is slow. */
    WORKER_SLOW((w, context) -> {
        SimWorker target = context.worker(w);
        target.slowness = 6;
        context.scheduleEnd(w, 2_000 + context.millis(5_000), () -> target.slowness = 1);
    }),
    /** The record of a running worker expires in the store for a while. */
    WORKER_LAPSED((w, context) -> w.fleet.loseRecord(context.worker(w), 500 + context.millis(3_000)));

    private final Action action;

    /** Applies a fault to a world. */
    private interface Action {
        void apply(World w, Context context);
    }

    Fault(Action action) {
        this.action = action;
    }

    void inject(World w, Random random, Consumer<String> log) {
        Context context = new Context(random);
        action.apply(w, context);
        log.accept(this + context.description.toString());
    }

    /** Draws the target and duration of one fault and records them for the history. */
    private static final class Context {
        private final Random random;
        private final StringBuilder description = new StringBuilder();

        Context(Random random) {
            this.random = random;
        }

        SimEntry entry(World w) {
            SimEntry e = w.entries.get(random.nextInt(w.entries.size()));
            description.append(' ').append(e.name);
            return e;
        }

        SimWorker worker(World w) {
            var all = w.fleet.workers();
            SimWorker target = all.get(random.nextInt(all.size()));
            description.append(' ').append(target.id());
            return target;
        }

        long millis(int bound) {
            return random.nextInt(bound);
        }

        boolean coinFlip() {
            return random.nextBoolean();
        }

        void scheduleEnd(World w, long millis, Runnable end) {
            description.append(" for ").append(millis).append(" ms");
            w.time.schedule(millis, end);
        }

        void cutFromStore(World w, boolean revoke) {
            SimEntry e = entry(w);
            w.net.storeFaults.put(e.name, coinFlip() ? CallFault.SILENT : CallFault.REFUSED);
            if (revoke) {
                w.store.revoke(e.name);
            }
            scheduleEnd(w, 2_000 + millis(8_000), () -> w.net.storeFaults.remove(e.name));
        }
    }
}
