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

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.common.Clock;

/**
 * Shares an entry's calls to the advice service between the services that the entry owns.
 *
 * <p>The advice service processes the calls of an entry one after the other, including those that the entry has given
 * up on. Therefore the next call is sent only when the previous one has ended or is overdue. The time after which a
 * call is overdue follows the time that the service takes; it doubles with each overdue call, so that few calls are
 * open even if the service becomes much slower. An overdue call stays open, and its response is still used.
 */
public final class AdviceCallQueue {

    private static final long INITIAL_PATIENCE_MILLIS = 3_000;
    private static final long MIN_PATIENCE_MILLIS = 1_000;
    private static final long MAX_PATIENCE_MILLIS = 8_000;
    // A call that names many workers takes longer than one that names few.
    private static final int PATIENCE_FACTOR = 4;
    private static final double LATEST_CALL_WEIGHT = 0.25;
    private static final long MIN_BACKOFF_MILLIS = 250;
    private static final long MAX_BACKOFF_MILLIS = 2_000;

    private final Clock clock;
    private final Sender sender;
    /** The callers that wait for a turn and since when, the first one first. */
    private final Map<Caller, Long> waiting = new LinkedHashMap<>();
    /** The newest call unless it has ended or is overdue. */
    private @Nullable Call current;

    private long patienceMillis = INITIAL_PATIENCE_MILLIS;
    /** The recent duration of answered calls; 0 if there was none. */
    private double answerMillis;

    private long backoffMillis;
    private long nextCallAt = Long.MIN_VALUE;

    /** A service that needs advice for some of its steps. */
    public interface Caller {

        /** Returns the request to send now; empty if no step needs advice any more. */
        Optional<AdviceRequest> nextAdviceRequest();

        /**
         * Handles the end of a call.
         *
         * @param response the advice; null if the call has failed or is overdue. An overdue call may still be answered.
         */
        void onAdvice(AdviceRequest request, @Nullable AdviceResponse response);
    }

    /** Sends calls to the advice service. */
    public interface Sender {

        /** Sends a call; its end is to be reported to {@link AdviceCallQueue#onEnd}. */
        void send(Call call);

        /** Handles a call that has become overdue. */
        void onOverdue(Call call, long patienceMillis);
    }

    /** A call to the advice service. */
    public static final class Call {
        private final Caller caller;
        private final AdviceRequest request;
        private final long sentAt;
        private final long waitedMillis;
        private boolean overdue;

        private Call(Caller caller, AdviceRequest request, long sentAt, long waitedMillis) {
            this.caller = caller;
            this.request = request;
            this.sentAt = sentAt;
            this.waitedMillis = waitedMillis;
        }

        /** Returns what is asked. */
        public AdviceRequest request() {
            return request;
        }

        /** Returns how long the caller waited for its turn. */
        public long waitedMillis() {
            return waitedMillis;
        }

        /** Returns whether the next call no longer waits for the end of this one. */
        public boolean isOverdue() {
            return overdue;
        }
    }

    /** Creates the queue of an entry. */
    public AdviceCallQueue(Clock clock, Sender sender) {
        this.clock = clock;
        this.sender = sender;
    }

    /** Requests a turn for the caller, which has no effect if it waits for one already. */
    public void requestTurn(Caller caller) {
        waiting.putIfAbsent(caller, clock.millis());
        run();
    }

    /** Removes a caller that needs no more turns. */
    public void withdraw(Caller caller) {
        waiting.remove(caller);
    }

    /** Returns how many callers wait for a turn. */
    public int waitingCount() {
        return waiting.size();
    }

    /** Sends the next call if it is due. Call this every few dozen milliseconds while calls are open or awaited. */
    public void run() {
        long now = clock.millis();
        if (current != null && now - current.sentAt >= patienceMillis) {
            giveUp(current);
        }
        while (current == null && now >= nextCallAt && !waiting.isEmpty()) {
            sendNext(now);
        }
    }

    private void giveUp(Call call) {
        call.overdue = true;
        current = null;
        sender.onOverdue(call, patienceMillis);
        patienceMillis = Math.min(MAX_PATIENCE_MILLIS, 2 * patienceMillis);
        call.caller.onAdvice(call.request, null);
    }

    private void sendNext(long now) {
        Iterator<Map.Entry<Caller, Long>> first = waiting.entrySet().iterator();
        Map.Entry<Caller, Long> next = first.next();
        Caller caller = next.getKey();
        long waitedMillis = now - next.getValue();
        first.remove();
        caller.nextAdviceRequest().ifPresent(request -> {
            current = new Call(caller, request, now, waitedMillis);
            sender.send(current);
        });
    }

    /** Handles the end of a call. */
    public void onEnd(Call call, AdviceResult result) {
        long now = clock.millis();
        if (call == current) {
            current = null;
        }
        AdviceResponse response = result.response();
        if (response != null) {
            recordAnswer(now - call.sentAt);
        } else if (!call.overdue) {
            backoffMillis = Math.min(MAX_BACKOFF_MILLIS, Math.max(MIN_BACKOFF_MILLIS, 2 * backoffMillis));
            nextCallAt = now + backoffMillis;
        }
        if (response != null || !call.overdue) {
            call.caller.onAdvice(call.request, response);
        }
        run();
    }

    private void recordAnswer(long millis) {
        answerMillis = Math.max(millis, answerMillis + LATEST_CALL_WEIGHT * (millis - answerMillis));
        patienceMillis = Math.max(
                MIN_PATIENCE_MILLIS, Math.min(MAX_PATIENCE_MILLIS, Math.round(PATIENCE_FACTOR * answerMillis)));
        backoffMillis = 0;
        nextCallAt = Long.MIN_VALUE;
    }
}
