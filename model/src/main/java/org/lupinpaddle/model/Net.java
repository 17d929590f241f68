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

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** Which calls arrive, how long they take and what goes wrong with them. */
final class Net {

    private static final int LATE_LEAST_MILLIS = 2_000;
    private static final int LATE_MOST_MILLIS = 10_000;

    private final VirtualTime time;
    private final Random random;
    /** Halls that reach nothing outside themselves. */
    final Set<String> cutHalls = new HashSet<>();
    /** Entries that do not reach the store, and what happens to their calls. */
    final Map<String, Trouble> storeTrouble = new HashMap<>();
    /** Entries to which no page of the store arrives, though their other calls are answered. */
    final Set<String> pagesLost = new HashSet<>();
    /** Workers, by id, that answer nobody. */
    final Set<String> cutWorkers = new HashSet<>();
    /** Workers, by id, of whose orders some get no answer and are carried out late. */
    final Set<String> lateWorkers = new HashSet<>();
    /** Trouble of the store itself, for every entry. */
    Trouble store = Trouble.NONE;
    /** The share of writes that {@link #store} hits when answers are lost. */
    double storeShare = 1;
    /** How much longer the store takes. */
    long storeDelay;

    Net(VirtualTime time, Random random) {
        this.time = time;
        this.random = random;
    }

    long latency() {
        return 1 + random.nextInt(3);
    }

    long lateness() {
        return LATE_LEAST_MILLIS + random.nextInt(LATE_MOST_MILLIS);
    }

    Trouble toStore(String entry, String hall, boolean write) {
        if (cutHalls.contains(hall)) {
            return Trouble.SILENT;
        }
        Trouble own = storeTrouble.getOrDefault(entry, Trouble.NONE);
        if (own != Trouble.NONE) {
            return own;
        }
        boolean lossy = store == Trouble.ANSWER_LOST || store == Trouble.LATE;
        if (lossy) {
            return write && random.nextDouble() < storeShare ? store : Trouble.NONE;
        }
        return store;
    }

    Trouble toWorker(String entryHall, SimWorker w, boolean order) {
        boolean across = !entryHall.equals(w.hall()) && (cutHalls.contains(entryHall) || cutHalls.contains(w.hall()));
        if (across || cutWorkers.contains(w.id())) {
            return Trouble.SILENT;
        }
        if (order && lateWorkers.contains(w.id()) && random.nextInt(2) == 0) {
            return Trouble.LATE;
        }
        return Trouble.NONE;
    }

    void deliver(long millis, Runnable what) {
        time.after(millis, what);
    }
}
