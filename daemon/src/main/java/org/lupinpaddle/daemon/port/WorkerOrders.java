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
import org.lupinpaddle.core.run.HoldOrder;
import org.lupinpaddle.core.run.OrderOutcome;
import org.lupinpaddle.core.run.PaceOrder;
import org.lupinpaddle.core.run.StartOrder;
import org.lupinpaddle.core.run.StopOrder;

/**
 * Sends orders to workers. The futures never complete exceptionally, and each completes within the time limit of its
 * call.
 */
public interface WorkerOrders {

    /** Starts a run. */
    CompletableFuture<StartResult> start(StartOrder order);

    /** Stops a run. */
    CompletableFuture<OrderOutcome> stop(StopOrder order);

    /** Sets the fraction of full speed at which a run works. */
    CompletableFuture<OrderOutcome> pace(PaceOrder order);

    /** Extends the time for which the worker keeps its tasks running, and reports their state. */
    CompletableFuture<HoldResult> hold(HoldOrder order);
}
