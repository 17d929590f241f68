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
 * Runs the first half of a hand-over, in which the owner of a duty makes the state that only it knows durable while
 * its key still permits writes. {@link OwnershipManager} runs the second half and removes the key.
 */
final class HandOverCoordinator {

    // An unanswered write is given up after 1 s, repeated 150 ms later and answered within 250 ms by a slow store. A
    // stopping entry serves for 3 s more, so this does not delay a planned stop. No jobs of the service start
    // meanwhile.
    /** The maximum time that a hand-over waits for the owner, in milliseconds. */
    static final long TIMEOUT_MILLIS = 1_500;

    private final EventLoop loop;
    private final OwnershipManager.Listener listener;
    /** Fences of the duties that are being handed over. */
    private final Set<Long> inProgress = new HashSet<>();

    HandOverCoordinator(EventLoop loop, OwnershipManager.Listener listener) {
        this.loop = loop;
        this.listener = listener;
    }

    boolean isInProgress(long fence) {
        return inProgress.contains(fence);
    }

    /**
     * Asks the owner of a duty to prepare; the future completes when it has done so, or after {@link
     * #TIMEOUT_MILLIS}.
     */
    CompletableFuture<Void> begin(String duty, long fence, HandOverReason why) {
        long startedAt = loop.clock().millis();
        inProgress.add(fence);
        CompletableFuture<Void> ready = new CompletableFuture<>();
        listener.handOver(duty, why).thenRunAsync(() -> ready.complete(null), loop::execute);
        EventLoop.Timer timeout = loop.after(TIMEOUT_MILLIS, () -> onTimeout(ready, duty, fence));
        return ready.thenRun(() -> {
            timeout.cancel();
            inProgress.remove(fence);
            long millis = loop.clock().millis() - startedAt;
            Log.info("hand-over", "duty", duty, "fence", fence, "millis", millis);
        });
    }

    private static void onTimeout(CompletableFuture<Void> ready, String duty, long fence) {
        if (!ready.isDone()) {
            Log.warn("hand-over-unfinished", "duty", duty, "fence", fence, "millis", TIMEOUT_MILLIS);
            ready.complete(null);
        }
    }
}
