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

/** Decides which calls arrive, how long they take and which fault they meet. */
final class Network {

    private static final int MIN_LATE_MILLIS = 2_000;
    private static final int LATE_RANGE_MILLIS = 10_000;

    private final VirtualTime time;
    private final Random random;
    /** Halls that are cut off from everything outside themselves. */
    final Set<String> isolatedHalls = new HashSet<>();
    /** Entries whose calls to the store fail, with the kind of failure. */
    final Map<String, CallFault> storeFaults = new HashMap<>();
    /** Entries that never receive a page of records, though the store answers their other calls. */
    final Set<String> entriesLosingPages = new HashSet<>();
    /** Entries that receive no answer to reads and watches of the operators' records; their other calls work. */
    final Set<String> entriesWithoutOperatorRecords = new HashSet<>();
    /** Ids of workers that answer nobody. */
    final Set<String> unreachableWorkers = new HashSet<>();
    /** Ids of workers for which some orders get no answer and take effect late. */
    final Set<String> workersWithLateOrders = new HashSet<>();
    /** A fault of the store itself that affects every entry. */
    CallFault storeFault = CallFault.NONE;
    /** The share of writes that {@link #storeFault} affects if answers are lost or late. */
    double storeFaultShare = 1;
    /** Additional delay of each call to the store in milliseconds. */
    long storeDelay;

    Network(VirtualTime time, Random random) {
        this.time = time;
        this.random = random;
    }

    /** Returns whether a fault is in effect. */
    boolean isDisturbed() {
        return !isolatedHalls.isEmpty()
                || !storeFaults.isEmpty()
                || !entriesLosingPages.isEmpty()
                || !entriesWithoutOperatorRecords.isEmpty()
                || !unreachableWorkers.isEmpty()
                || !workersWithLateOrders.isEmpty()
                || storeFault != CallFault.NONE
                || storeDelay > 0;
    }

    long latency() {
        return 1 + random.nextInt(3);
    }

    long lateDelay() {
        return MIN_LATE_MILLIS + random.nextInt(LATE_RANGE_MILLIS);
    }

    CallFault faultToStore(String entry, String hall, boolean write) {
        CallFault entryFault =
                isolatedHalls.contains(hall) ? CallFault.SILENT : storeFaults.getOrDefault(entry, CallFault.NONE);
        if (entryFault != CallFault.NONE) {
            return entryFault;
        }
        boolean writesOnly = storeFault == CallFault.ANSWER_LOST || storeFault == CallFault.LATE;
        if (writesOnly) {
            return write && random.nextDouble() < storeFaultShare ? storeFault : CallFault.NONE;
        }
        return storeFault;
    }

    /** Returns whether the store answers nobody. */
    boolean isStoreAway() {
        return storeFault == CallFault.SILENT || storeFault == CallFault.REFUSED;
    }

    /** Returns whether no call from the hall reaches the worker. */
    boolean isSeparated(String entryHall, SimWorker w) {
        boolean crossesIsolation =
                !entryHall.equals(w.hall()) && (isolatedHalls.contains(entryHall) || isolatedHalls.contains(w.hall()));
        return crossesIsolation || unreachableWorkers.contains(w.id());
    }

    CallFault faultToWorker(String entryHall, SimWorker w, boolean order) {
        if (isSeparated(entryHall, w)) {
            return CallFault.SILENT;
        }
        if (order && workersWithLateOrders.contains(w.id()) && random.nextInt(2) == 0) {
            return CallFault.LATE;
        }
        return CallFault.NONE;
    }

    void deliver(long millis, Runnable action) {
        time.schedule(millis, action);
    }
}
