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
import org.lupinpaddle.core.fleet.InstanceList;
import org.lupinpaddle.core.fleet.InstanceOperation;
import org.lupinpaddle.core.fleet.InstanceOrderOutcome;

/** The platform's list of instances, and orders on them. */
public interface InstanceOrders {

    // A call ends within this, so that an owner can tell whether its lease lasts for one more.
    /** The longest that a call takes, in milliseconds. */
    long CALL_MILLIS = 700;

    /** Reads all pages of the list; the future ends with a {@link StoreException} when the platform does not serve it. */
    CompletableFuture<InstanceList> list();

    /** Orders an errand; {@code holder} and {@code fence} name the owner. The future never ends exceptionally. */
    CompletableFuture<InstanceOrderOutcome> order(String instance, InstanceOperation errand, String holder, long fence);
}
