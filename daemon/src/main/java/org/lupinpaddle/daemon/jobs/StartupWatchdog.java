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
package org.lupinpaddle.daemon.jobs;

import java.util.function.BooleanSupplier;
import org.lupinpaddle.daemon.common.EventLoop;

/**
 * Detects that a new owner makes no progress in starting its duty. A lease shows that the owner's process is alive
 * but not that it advances, so the owner checks that its reads make progress and hands the duty over if they do not.
 */
final class StartupWatchdog {

    // A page may take some seconds over a slow shared link; service must be restored 12 to 15 s after a power loss.
    /** The maximum time that a new owner waits for the next page of its reads, in milliseconds. */
    static final long MAX_STALL_MILLIS = 5_000;

    private static final long CHECK_MILLIS = 500;

    private final EventLoop loop;
    private final BooleanSupplier needed;
    private final BooleanSupplier reachesStore;
    private final Runnable onStalled;
    private volatile long lastProgressAt;

    /**
     * Creates and starts the watchdog.
     *
     * @param needed whether this entry still owns the duty and has not started it yet
     * @param reachesStore whether the store answers this entry; while it does not, no entry could read
     * @param onStalled runs at each check that finds no progress for too long
     */
    StartupWatchdog(EventLoop loop, BooleanSupplier needed, BooleanSupplier reachesStore, Runnable onStalled) {
        this.loop = loop;
        this.needed = needed;
        this.reachesStore = reachesStore;
        this.onStalled = onStalled;
        onProgress();
        loop.after(CHECK_MILLIS, this::check);
    }

    /** Records that data has been read. Thread-safe. */
    void onProgress() {
        lastProgressAt = loop.clock().millis();
    }

    private void check() {
        if (!needed.getAsBoolean()) {
            return;
        }
        if (!reachesStore.getAsBoolean()) {
            onProgress();
        }
        if (loop.clock().millis() - lastProgressAt > MAX_STALL_MILLIS) {
            onStalled.run();
        }
        loop.after(CHECK_MILLIS, this::check);
    }
}
