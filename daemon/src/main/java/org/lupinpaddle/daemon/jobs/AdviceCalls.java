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

import java.util.concurrent.atomic.AtomicInteger;
import org.lupinpaddle.core.run.AdviceCallQueue;
import org.lupinpaddle.core.run.AdviceResult;
import org.lupinpaddle.daemon.common.EventLoop;
import org.lupinpaddle.daemon.common.Log;
import org.lupinpaddle.daemon.port.AdviceService;

/** Sends the calls of an entry's queue to the advice service, and counts and times them. */
final class AdviceCalls implements AdviceCallQueue.Sender {

    private final AdviceService service;
    private final EventLoop loop;
    private final JobMetrics meters;
    private final AdviceCallQueue queue;
    /** The calls that have not ended; read by the thread that serves metrics. */
    private final AtomicInteger open = new AtomicInteger();

    AdviceCalls(AdviceService service, EventLoop loop, JobMetrics meters) {
        this.service = service;
        this.loop = loop;
        this.meters = meters;
        queue = new AdviceCallQueue(loop.clock(), this);
        meters.gauge("advice.open", open::get);
        meters.gauge("advice.waiting", queue::waitingCount);
    }

    /** Returns the queue of calls, for use on the event loop. */
    AdviceCallQueue queue() {
        return queue;
    }

    @Override
    public void send(AdviceCallQueue.Call call) {
        long sentAt = loop.clock().millis();
        meters.adviceTurnTaken(call.waitedMillis());
        open.incrementAndGet();
        service.advise(call.request())
                .exceptionally(AdviceCalls::unreadable)
                .thenAcceptAsync(r -> ended(call, r, loop.clock().millis() - sentAt), loop::execute);
    }

    private static AdviceResult unreadable(Throwable why) {
        Log.warn("advice-unreadable", "why", why);
        return AdviceResult.none(AdviceResult.Outcome.UNANSWERED);
    }

    private void ended(AdviceCallQueue.Call call, AdviceResult result, long millis) {
        open.decrementAndGet();
        meters.adviceEnded(result.outcome(), millis);
        queue.onEnd(call, result);
    }

    @Override
    public void onOverdue(AdviceCallQueue.Call call, long patienceMillis) {
        meters.adviceOverdue();
        Log.info("advice-overdue", "step", call.request().step(), "millis", patienceMillis, "open", open.get());
    }
}
