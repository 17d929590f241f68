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

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.BooleanSupplier;

/**
 * One direction of an entry's network link. Concurrent transfers share the bandwidth evenly, as multiplexed streams do;
 * a transfer that is no longer needed stops using it.
 */
final class Link {

    /** A bandwidth at which all transfers complete immediately. */
    static final long UNLIMITED = 0;

    // Small enough that a short answer is not delayed by a long one, large enough to keep the number of events low.
    private static final long CHUNK_BYTES = 4_096;

    private final VirtualTime time;
    private final long bytesPerMilli;
    private final Deque<Transfer> transfers = new ArrayDeque<>();
    private boolean transferring;
    private double freeAtMillis;

    private static final class Transfer {
        final BooleanSupplier wanted;
        final Runnable onArrival;
        long remainingBytes;

        Transfer(long bytes, BooleanSupplier wanted, Runnable onArrival) {
            this.remainingBytes = bytes;
            this.wanted = wanted;
            this.onArrival = onArrival;
        }
    }

    Link(VirtualTime time, long bytesPerMilli) {
        this.time = time;
        this.bytesPerMilli = bytesPerMilli;
    }

    boolean isLimited() {
        return bytesPerMilli != UNLIMITED;
    }

    /** Transfers bytes and then runs {@code onArrival}, unless {@code wanted} returns false by then. */
    void transfer(long bytes, BooleanSupplier wanted, Runnable onArrival) {
        if (!isLimited()) {
            onArrival.run();
            return;
        }
        transfers.add(new Transfer(bytes, wanted, onArrival));
        if (!transferring) {
            freeAtMillis = Math.max(freeAtMillis, (double) time.now());
            startNextChunk();
        }
    }

    private void startNextChunk() {
        while (!transfers.isEmpty() && !transfers.peek().wanted.getAsBoolean()) {
            transfers.remove();
        }
        Transfer t = transfers.poll();
        transferring = t != null;
        if (t == null) {
            return;
        }
        long chunk = Math.min(CHUNK_BYTES, t.remainingBytes);
        t.remainingBytes -= chunk;
        freeAtMillis += (double) chunk / bytesPerMilli;
        time.schedule((long) Math.ceil(freeAtMillis - (double) time.now()), () -> chunkTransferred(t));
    }

    private void chunkTransferred(Transfer t) {
        if (t.remainingBytes > 0) {
            transfers.add(t);
        } else if (t.wanted.getAsBoolean()) {
            t.onArrival.run();
        }
        startNextChunk();
    }
}
