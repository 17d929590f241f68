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

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.lupinpaddle.daemon.common.EventLoop;
import org.lupinpaddle.daemon.common.Log;

/**
 * The first half of each hand-over: the owner of a duty makes durable what it alone knows, while its key still allows that.
 * The second half, that the key goes, is the {@link OwnershipKeeper}'s.
 */
final class HandOvers {

    // A write without an answer is given up after 1 s, written again 150 ms later and answered within 250 ms by a slow
    // store. An entry that stops serves on for 3 s, so this takes nothing of a planned stop's time; meanwhile nobody
    // starts the service's jobs.
    /** How long a hand-over waits for its owner, in milliseconds. */
    static final long MOST_MILLIS = 1_500;

    private final EventLoop loop;
    private final OwnershipKeeper.Listener owners;
    /** Fences of duties whose hand-over is under way. */
    private final Set<Long> underWay = new HashSet<>();

    HandOvers(EventLoop loop, OwnershipKeeper.Listener owners) {
        this.loop = loop;
        this.owners = owners;
    }

    boolean isUnderWay(long fence) {
        return underWay.contains(fence);
    }

    /** Asks the owner of a duty to get ready; the future ends when it is, and after {@link #MOST_MILLIS} in any case. */
    CompletableFuture<Void> begin(String duty, long fence, HandOver why) {
        long begun = loop.clock().millis();
        underWay.add(fence);
        CompletableFuture<Void> ready = new CompletableFuture<>();
        owners.handOver(duty, why).thenRunAsync(() -> ready.complete(null), loop::execute);
        EventLoop.Timer bound = loop.after(MOST_MILLIS, () -> giveUp(ready, duty, fence));
        return ready.thenRun(() -> {
            bound.cancel();
            underWay.remove(fence);
            long millis = loop.clock().millis() - begun;
            Log.info("hand-over", "duty", duty, "fence", fence, "millis", millis);
        });
    }

    private static void giveUp(CompletableFuture<Void> ready, String duty, long fence) {
        if (!ready.isDone()) {
            Log.warn("hand-over-unfinished", "duty", duty, "fence", fence, "millis", MOST_MILLIS);
            ready.complete(null);
        }
    }
}
