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
package org.lupinpaddle.daemon.port;

import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.lupinpaddle.core.fleet.InstanceList;
import org.lupinpaddle.core.fleet.InstanceOperation;
import org.lupinpaddle.core.fleet.InstanceOrderOutcome;

/** Lists the platform's instances and sends orders for them. */
public interface InstanceOrders {

    // Every call ends within this time, so an owner can tell whether its lease outlasts another call.
    /** The maximum duration of a call, in milliseconds. */
    long CALL_MILLIS = 700;

    /**
     * Reads all pages of the list. The future completes with a {@link StoreException} if the platform does not serve
     * the call.
     */
    CompletableFuture<InstanceList> list();

    /**
     * Orders maintenance or a move of an instance on behalf of the owner that {@code holder} and {@code fence}
     * identify. The future never completes exceptionally. Once it has completed with {@link
     * InstanceOrderOutcome#UNKNOWN}, the order is no longer sent: it has left this host, and may still be executed for a
     * short time, or never will be.
     *
     * @param maySend whether the order may still be sent; asked right before the order is written to the network, from
     *     any thread. If not, the order is {@link InstanceOrderOutcome#REFUSED}.
     */
    CompletableFuture<InstanceOrderOutcome> order(
            String instance, InstanceOperation errand, String holder, long fence, BooleanSupplier maySend);
}
