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
package org.lupinpaddle.core.run;

import java.util.HashMap;
import java.util.Map;

/**
 * The fencing tokens of an owner's orders, one for each worker. A worker's token is raised when an order to it may
 * arrive after later ones. Once an order with the new token has reached the worker, the late one has no effect. Unlike
 * a stop, this also holds if the worker has restarted under its id: the first order that reaches the new incarnation
 * makes it reject all orders that were sent before. An order that arrives before that one cannot be rejected.
 */
final class FencingTokens {

    /** Below every token. */
    static final long NONE = Long.MIN_VALUE;

    private final SchedulerPort port;
    /** Raised tokens by worker id; kept for workers that were given up, because they may have seen these tokens. */
    private final Map<String, Long> raised = new HashMap<>();
    /** The highest tokens, by worker id, of orders that may arrive late. */
    private final Map<String, Long> superseded = new HashMap<>();

    FencingTokens(SchedulerPort port) {
        this.port = port;
    }

    /** Makes the following orders to a worker carry a higher token than this one. */
    void supersede(String worker, long fence) {
        superseded.merge(worker, fence, Math::max);
    }

    /** Makes the following orders to a worker carry a higher token than all earlier ones. */
    void supersedeAll(String worker) {
        supersede(worker, current(worker));
    }

    /**
     * Returns the token for the next order to a worker. It is not raised while no higher one is known to be below
     * those of later owners.
     */
    long next(String worker) {
        long token = current(worker);
        if (superseded.getOrDefault(worker, NONE) < token || token >= port.highestFence()) {
            return token;
        }
        long next = token + 1;
        raised.put(worker, next);
        port.note(new SchedulerEvent(SchedulerEvent.Kind.FENCE_RAISED, null, null, 0, worker, "", "fence=" + next, 0));
        return next;
    }

    /** Returns whether the token of a worker has been raised. */
    boolean isRaised(String worker) {
        return raised.containsKey(worker);
    }

    /** Returns the highest token that orders to a worker have carried. */
    long current(String worker) {
        return raised.getOrDefault(worker, port.lowestFence());
    }
}
