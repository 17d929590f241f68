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
package org.lupinpaddle.daemon.caller;

import com.codahale.metrics.MetricRegistry;
import org.lupinpaddle.core.request.RetryBudget;
import org.lupinpaddle.daemon.claim.ClaimKeeper;
import org.lupinpaddle.daemon.common.EventLoop;
import org.lupinpaddle.daemon.config.ConfigSync;
import org.lupinpaddle.daemon.slot.SlotHost;
import org.lupinpaddle.daemon.trace.Traces;

/**
 * Dependencies shared by all requests of an entry.
 *
 * @param loop the event loop that runs all requests
 * @param config the source of the current configuration
 * @param slots grants slots
 * @param claims holds claims on jobs that are not safe to repeat
 * @param worker sends attempts to workers
 * @param retries the retry budget shared by all requests of the entry
 * @param traces creates spans
 * @param metrics the metric registry
 * @param holdMillis how long a slot stays held after the response to the caller
 */
record RequestServices(
        EventLoop loop,
        ConfigSync config,
        SlotHost slots,
        ClaimKeeper claims,
        WorkerClient worker,
        RetryBudget retries,
        Traces traces,
        MetricRegistry metrics,
        long holdMillis) {}
