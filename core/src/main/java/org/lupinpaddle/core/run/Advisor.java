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
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.placement.Placer;

/**
 * Determines which workers may run a step whose queue requires advice. The service's decision on a worker does not
 * change, but tickets expire.
 */
final class Advisor {

    // The service takes longer with each worker in a request; the objective for steps allows one call per 30 workers.
    private static final int MAX_WORKERS_PER_REQUEST = 30;
    private static final long RETRY_MILLIS = 250;
    // Covers the time from the placement to the start: a store write and the call.
    private static final long MIN_REMAINING_MILLIS = 600;

    private final ServiceState state;
    private final Map<LiveStep, Knowledge> knowledgeByStep = new HashMap<>();

    private record Ticket(String text, long validUntil) {}

    /** The advice received for one step. */
    private static final class Knowledge {
        final Map<String, Ticket> tickets = new HashMap<>();
        final Set<String> refused = new HashSet<>();
        boolean requestInFlight;
        long nextRequestAt;
    }

    Advisor(ServiceState state) {
        this.state = state;
    }

    /** Returns the workers that currently have a valid ticket for the step. */
    List<LiveWorker> allowed(LiveStep step, List<LiveWorker> workers) {
        return workers.stream().filter(w -> !ticket(step, w).isEmpty()).toList();
    }

    /** Returns the ticket for starting the step's tasks on a worker; empty if there is no valid one. */
    String ticket(LiveStep step, LiveWorker w) {
        Knowledge k = knowledgeByStep.get(step);
        Ticket t = k == null ? null : k.tickets.get(w.facts().id());
        return t == null || t.validUntil - MIN_REMAINING_MILLIS < state.now() ? "" : t.text;
    }

    /** Requests advice on workers that could run the step's tasks and for which none is known. */
    void requestAdvice(LiveStep step, List<LiveWorker> workers) {
        long now = state.now();
        Knowledge k = knowledgeByStep.computeIfAbsent(step, s -> new Knowledge());
        if (k.requestInFlight || now < k.nextRequestAt) {
            return;
        }
        LiveTask anyTask = step.tasks.get(0);
        List<String> unknown = workers.stream()
                .filter(w ->
                        !k.refused.contains(w.facts().id()) && ticket(step, w).isEmpty())
                .filter(w -> Placer.isEligible(w, anyTask.placementRequirements(now)))
                .map(w -> w.facts().id())
                .sorted()
                .limit(MAX_WORKERS_PER_REQUEST)
                .toList();
        if (!unknown.isEmpty()) {
            k.requestInFlight = true;
            state.port.advise(new AdviceRequest(anyTask.stepTime, unknown));
        }
    }

    /** Handles a response; null if there was none. */
    void onAdvice(LiveStep step, AdviceRequest order, @Nullable AdviceResponse answer) {
        Knowledge k = knowledgeByStep.get(step);
        if (k == null) {
            return;
        }
        long now = state.now();
        k.requestInFlight = false;
        if (answer == null) {
            k.nextRequestAt = now + RETRY_MILLIS;
            return;
        }
        long until = now + answer.validMillis();
        answer.ticketByWorker().forEach((w, text) -> k.tickets.put(w, new Ticket(text, until)));
        order.workers().stream()
                .filter(w -> !answer.ticketByWorker().containsKey(w))
                .forEach(k.refused::add);
    }

    /** Discards the step's ticket for a worker that rejected it. */
    void onTicketRefused(LiveStep step, LiveWorker w) {
        Knowledge k = knowledgeByStep.get(step);
        if (k != null) {
            k.tickets.remove(w.facts().id());
        }
    }

    /** Forgets a worker: advice and tickets apply to one incarnation. */
    void forget(String worker) {
        for (Knowledge k : knowledgeByStep.values()) {
            k.tickets.remove(worker);
            k.refused.remove(worker);
        }
    }

    /** Forgets the steps of jobs that have ended. */
    void forgetEnded() {
        knowledgeByStep.keySet().removeIf(s -> s.job.state.ended() || s.isDone());
    }
}
