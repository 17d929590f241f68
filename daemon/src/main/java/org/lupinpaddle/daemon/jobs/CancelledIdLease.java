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

import java.util.concurrent.CompletableFuture;
import org.lupinpaddle.daemon.common.EventLoop;
import org.lupinpaddle.daemon.port.KeyValueStore;

/**
 * The lease of the marks of cancelled ids. It is never renewed, so that the store removes the marks by itself; several
 * marks share one, so that a cancellation seldom opens a lease.
 */
final class CancelledIdLease {

    /** The longest time for which a mark remains. */
    static final long MAX_MARK_MILLIS = 180_000;

    // A mark must outlast each write that can still store its job: the attempts of a submission, which take about a
    // second, and the seconds by which the store may carry out the last one late.
    private static final long MIN_MARK_MILLIS = 120_000;

    private final KeyValueStore store;
    private final EventLoop loop;
    private CompletableFuture<Long> lease = CompletableFuture.failedFuture(new IllegalStateException("no lease yet"));
    private long openedAt;

    CancelledIdLease(KeyValueStore store, EventLoop loop) {
        this.store = store;
        this.loop = loop;
    }

    /** Returns a lease that lasts long enough for a new mark. The future fails if the store opens none. */
    CompletableFuture<Long> current() {
        long now = loop.clock().millis();
        if (lease.isCompletedExceptionally() || now - openedAt > MAX_MARK_MILLIS - MIN_MARK_MILLIS) {
            // The time to live starts when the call arrives, which is later.
            openedAt = now;
            lease = store.openLease(MAX_MARK_MILLIS);
        }
        return lease;
    }

    /** Opens another lease for the next mark, because the store has ended this one. */
    void ended() {
        lease = CompletableFuture.failedFuture(new IllegalStateException("the lease has ended"));
    }
}
