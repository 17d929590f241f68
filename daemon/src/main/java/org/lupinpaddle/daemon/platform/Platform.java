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
package org.lupinpaddle.daemon.platform;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.lupinpaddle.core.view.StoredRecord;

/**
 * All that the daemon needs of the platform. Calls return at once; a future that fails with a
 * {@link PlatformAwayException} says that nothing is known of the call's effect, or, where the exception
 * says so, that it had none.
 */
public interface Platform {

    /** Reads the records whose key has this prefix and whose last write is {@code fromRevision} or later. */
    CompletableFuture<RangeResult> range(String prefix, long fromRevision);

    /** Writes one key if its last write is still the one expected. */
    CompletableFuture<SwapResult> swap(Swap swap);

    /** Makes a lease and returns its id. */
    CompletableFuture<Long> grantLease(long ttlSeconds);

    /** Keeps a lease alive; the result says whether the lease still was. */
    CompletableFuture<Boolean> keepAlive(long lease);

    /** Ends a lease and with it all its keys. */
    CompletableFuture<Void> revoke(long lease);

    /** Watches the keys with this prefix from a revision on; {@code onEnd} is called once when it breaks off. */
    Watch watch(String prefix, long fromRevision, Consumer<RangeResult> onEvents, Runnable onEnd);

    /** Reads the instances of a data hall that the platform says are leaving; the list lags. */
    CompletableFuture<List<LeavingInstance>> leavingInstances(String hall);

    /** Asks the platform for one step of maintenance on an instance. */
    CompletableFuture<MaintenanceResult> maintain(MaintenanceStep step, String instance, long incarnation, long fence);

    /**
     * Records at one revision of the store.
     *
     * @param records the records read
     * @param revision the store's revision when they were read
     */
    record RangeResult(List<StoredRecord> records, long revision) {}

    /**
     * One compare-and-swap.
     *
     * @param key the key
     * @param value the value to write
     * @param expectedRevision the revision of the key's last write; 0 where the key must not exist
     * @param lease the lease that the key goes with, or 0
     */
    record Swap(String key, String value, long expectedRevision, long lease) {}

    /**
     * What the store said to a compare-and-swap.
     *
     * @param swapped whether the value was written
     * @param revision the store's revision after the call
     */
    record SwapResult(boolean swapped, long revision) {}

    /** An instance that the platform's list says is leaving or not live. */
    record LeavingInstance(String id, long incarnation) {}

    /** The steps of maintenance that the platform carries out. */
    enum MaintenanceStep {
        /** The worker refuses new work and finishes what it has. */
        DRAIN("drain"),
        /** The worker takes work again. */
        UNDRAIN("undrain"),
        /** The worker is restarted. */
        REBOOT("reboot");

        private final String path;

        MaintenanceStep(String path) {
            this.path = path;
        }

        /** Returns the last part of the step's path. */
        public String path() {
            return path;
        }
    }

    /** What the platform said to a step of maintenance. */
    enum MaintenanceResult {
        /** It is done or being done. */
        ACCEPTED,
        /** The incarnation or the fence was out of date; nothing was done. */
        REFUSED
    }

    /** A watch that is running. */
    @FunctionalInterface
    interface Watch {
        /** Ends the watch; {@code onEnd} is not called any more. */
        void stop();
    }
}
