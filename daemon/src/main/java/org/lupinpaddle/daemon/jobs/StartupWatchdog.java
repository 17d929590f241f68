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
 * How long a new owner tries to begin with its duty. A lease tells that the owner's process lives, not that it gets
 * anywhere; so the owner looks itself whether its reads go on, and makes room when they do not.
 */
final class StartupWatchdog {

    // A page may take some seconds over a thin link that is shared; service is to be back 12 to 15 s after a loss of
    // power.
    /** How long a new owner waits for the next page of what it has to read, in milliseconds. */
    static final long MAX_STALL_MILLIS = 5_000;

    private static final long CHECK_MILLIS = 500;

    private final EventLoop loop;
    private final BooleanSupplier needed;
    private final BooleanSupplier reachesStore;
    private final Runnable onStalled;
    private volatile long lastProgressAt;

    /**
     * Makes it; it looks from now on.
     *
     * @param needed whether the duty is still this owner's and has not been begun with
     * @param reachesStore whether the store answers this entry; while it does not, nobody could read
     * @param onStalled is run each time when nothing has onProgress for too long
     */
    StartupWatchdog(EventLoop loop, BooleanSupplier needed, BooleanSupplier reachesStore, Runnable onStalled) {
        this.loop = loop;
        this.needed = needed;
        this.reachesStore = reachesStore;
        this.onStalled = onStalled;
        onProgress();
        loop.after(CHECK_MILLIS, this::check);
    }

    /** Takes in that something has been read. Any thread may tell. */
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
