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
 * One direction of an entry's link to the store. What is under way shares the rate evenly, as channels do; what nobody
 * waits for any more is dropped where it stands.
 */
final class Link {

    /** A rate at which everything arrives at once. */
    static final long UNLIMITED = 0;

    // Small enough that a short answer is not held up by a long one, large enough to be few steps.
    private static final long PIECE_BYTES = 4_096;

    private final VirtualTime time;
    private final long bytesPerMilli;
    private final Deque<Transfer> waiting = new ArrayDeque<>();
    private boolean busy;
    private double freeAt;

    private static final class Transfer {
        final BooleanSupplier wanted;
        final Runnable arrived;
        long left;

        Transfer(long bytes, BooleanSupplier wanted, Runnable arrived) {
            this.left = bytes;
            this.wanted = wanted;
            this.arrived = arrived;
        }
    }

    Link(VirtualTime time, long bytesPerMilli) {
        this.time = time;
        this.bytesPerMilli = bytesPerMilli;
    }

    boolean isLimited() {
        return bytesPerMilli != UNLIMITED;
    }

    /** Carries so many bytes, then runs a step; it is not run when nobody wants them by then. */
    void carry(long bytes, BooleanSupplier wanted, Runnable arrived) {
        if (!isLimited()) {
            arrived.run();
            return;
        }
        waiting.add(new Transfer(bytes, wanted, arrived));
        if (!busy) {
            freeAt = Math.max(freeAt, (double) time.now());
            next();
        }
    }

    private void next() {
        while (!waiting.isEmpty() && !waiting.peek().wanted.getAsBoolean()) {
            waiting.remove();
        }
        Transfer t = waiting.poll();
        busy = t != null;
        if (t == null) {
            return;
        }
        long piece = Math.min(PIECE_BYTES, t.left);
        t.left -= piece;
        freeAt += (double) piece / bytesPerMilli;
        time.after((long) Math.ceil(freeAt - (double) time.now()), () -> carried(t));
    }

    private void carried(Transfer t) {
        if (t.left > 0) {
            waiting.add(t);
        } else if (t.wanted.getAsBoolean()) {
            t.arrived.run();
        }
        next();
    }
}
