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

/** What can go wrong, and how it is done to a world. Each takes its share of luck from the world's seed. */
enum Fault {
    /** An entry is killed and comes back. */
    ENTRY_KILLED((w, f) -> f.entry(w).kill(500 + f.millis(4_000))),
    /** An entry stands still and wakes. */
    ENTRY_FROZEN((w, f) -> f.entry(w).freeze(500 + f.millis(8_000))),
    /** An entry is stopped as planned. */
    ENTRY_STOPPED((w, f) -> f.entry(w).stopGracefully()),
    /** All entries are killed at once. */
    ALL_KILLED((w, f) -> {
        long down = 500 + f.millis(3_000);
        w.entries.forEach(e -> e.kill(down));
    }),
    /** The store turns an entry away, and ends its leases. */
    ENTRY_TURNED_AWAY((w, f) -> f.turnAway(w, true)),
    /** An entry does not reach the store. */
    ENTRY_CUT_FROM_STORE((w, f) -> f.turnAway(w, false)),
    /** A hall is cut off from the others and the store. */
    HALL_CUT((w, f) -> {
        String hall = f.entry(w).hall;
        w.net.cutHalls.add(hall);
        f.later(w, 2_000 + f.millis(5_000), () -> w.net.cutHalls.remove(hall));
    }),
    /** The store is down. */
    STORE_DOWN((w, f) -> {
        w.net.store = f.heads() ? Trouble.SILENT : Trouble.REFUSED;
        w.store.leasesWait(f.heads());
        f.later(w, 2_000 + f.millis(7_000), () -> {
            w.net.store = Trouble.NONE;
            w.store.leasesWait(false);
        });
    }),
    /** Answers of the store to writes are lost; some are carried out late. */
    STORE_LOSES_ANSWERS((w, f) -> {
        w.net.store = f.heads() ? Trouble.ANSWER_LOST : Trouble.LATE;
        w.net.storeShare = 0.35;
        f.later(w, 2_000 + f.millis(4_000), () -> w.net.store = Trouble.NONE);
    }),
    /** The store is slow. */
    STORE_SLOW((w, f) -> {
        w.net.storeDelay = 240;
        f.later(w, 2_000 + f.millis(4_000), () -> w.net.storeDelay = 0);
    }),
    /** The store forgets its history. */
    HISTORY_DROPPED((w, f) -> w.store.compact()),
    /** The operators change the configuration. */
    CONFIGURED((w, f) -> w.configure()),
    /** A worker crashes. */
    WORKER_CRASHED((w, f) -> w.fleet.crash(f.worker(w), 500 + f.millis(8_000))),
    /** A worker is replaced. */
    WORKER_DRAINED((w, f) -> w.fleet.drain(f.worker(w), World.DRAIN_MILLIS + f.millis(4_000))),
    /** A worker answers nobody, and runs on. */
    WORKER_CUT((w, f) -> {
        SimWorker one = f.worker(w);
        w.net.cutWorkers.add(one.id());
        f.later(w, 1_000 + f.millis(12_000), () -> w.net.cutWorkers.remove(one.id()));
    }),
    /** Some of a worker's orders get no answer and are carried out late. */
    WORKER_LATE((w, f) -> {
        SimWorker one = f.worker(w);
        w.net.lateWorkers.add(one.id());
        f.later(w, 2_000 + f.millis(4_000), () -> w.net.lateWorkers.remove(one.id()));
    }),
    /** A worker fails all that it starts. */
    WORKER_FAILS_ALL((w, f) -> {
        SimWorker one = f.worker(w);
        one.failsAll = true;
        f.later(w, 2_000 + f.millis(5_000), () -> one.failsAll = false);
    }),
    /** A worker is slow. */
    WORKER_SLOW((w, f) -> {
        SimWorker one = f.worker(w);
        one.slowness = 6;
        f.later(w, 2_000 + f.millis(5_000), () -> one.slowness = 1);
    }),
    /** The store forgets a worker that lives on. */
    WORKER_LAPSED((w, f) -> w.fleet.lapse(f.worker(w), 500 + f.millis(3_000)));

    private final Action action;

    /** How a fault is done. */
    private interface Action {
        void to(World w, Luck f);
    }

    Fault(Action action) {
        this.action = action;
    }

    void strike(World w, Random random, Consumer<String> tell) {
        Luck luck = new Luck(random);
        action.to(w, luck);
        tell.accept(this + luck.chosen.toString());
    }

    /** The luck of one fault: whom it hits and for how long. */
    private static final class Luck {
        private final Random random;
        private final StringBuilder chosen = new StringBuilder();

        Luck(Random random) {
            this.random = random;
        }

        SimEntry entry(World w) {
            SimEntry e = w.entries.get(random.nextInt(w.entries.size()));
            chosen.append(' ').append(e.name);
            return e;
        }

        SimWorker worker(World w) {
            var all = w.fleet.workers();
            SimWorker one = all.get(random.nextInt(all.size()));
            chosen.append(' ').append(one.id());
            return one;
        }

        long millis(int most) {
            return random.nextInt(most);
        }

        boolean heads() {
            return random.nextBoolean();
        }

        void later(World w, long millis, Runnable end) {
            chosen.append(" for ").append(millis).append(" ms");
            w.time.after(millis, end);
        }

        void turnAway(World w, boolean revoke) {
            SimEntry e = entry(w);
            w.net.storeTrouble.put(e.name, heads() ? Trouble.SILENT : Trouble.REFUSED);
            if (revoke) {
                w.store.revoke(e.name);
            }
            later(w, 2_000 + millis(8_000), () -> w.net.storeTrouble.remove(e.name));
        }
    }
}
