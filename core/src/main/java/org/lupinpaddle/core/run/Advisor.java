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
 * Finds out which workers may run a step whose queue asks for advice. What the service has said of a worker does not
 * change, but its tickets end.
 */
final class Advisor {

    // The service takes longer with each worker that it is asked about; the steps' objective counts one call for
    // each 30 workers.
    private static final int MOST_ASKED = 30;
    private static final long RETRY_MILLIS = 250;
    // From the choice of a worker until the start arrives: a write of the store, and the call.
    private static final long NEEDED_MILLIS = 600;

    private final ServiceState state;
    private final Map<LiveStep, Known> known = new HashMap<>();

    private record Ticket(String text, long validUntil) {}

    /** What is known of one step. */
    private static final class Known {
        final Map<String, Ticket> tickets = new HashMap<>();
        final Set<String> refused = new HashSet<>();
        boolean asking;
        long askAt;
    }

    Advisor(ServiceState state) {
        this.state = state;
    }

    /** Returns those of the workers that are known to be allowed to run the step now. */
    List<LiveWorker> allowed(LiveStep step, List<LiveWorker> workers) {
        return workers.stream().filter(w -> !ticket(step, w).isEmpty()).toList();
    }

    /** Returns the ticket for a start of the step's tasks on a worker; empty when there is none that holds. */
    String ticket(LiveStep step, LiveWorker w) {
        Known k = known.get(step);
        Ticket t = k == null ? null : k.tickets.get(w.facts().id());
        return t == null || t.validUntil - NEEDED_MILLIS < state.now() ? "" : t.text;
    }

    /** Asks about workers that could carry the step's tasks and of which nothing is known. */
    void ask(LiveStep step, List<LiveWorker> workers) {
        long now = state.now();
        Known k = known.computeIfAbsent(step, s -> new Known());
        if (k.asking || now < k.askAt) {
            return;
        }
        LiveTask any = step.tasks.get(0);
        List<String> unknown = workers.stream()
                .filter(w ->
                        !k.refused.contains(w.facts().id()) && ticket(step, w).isEmpty())
                .filter(w -> Placer.isEligible(w, any.wish(now)))
                .map(w -> w.facts().id())
                .sorted()
                .limit(MOST_ASKED)
                .toList();
        if (!unknown.isEmpty()) {
            k.asking = true;
            state.port.advise(new AdviceOrder(any.stepTime, unknown));
        }
    }

    /** Takes in an answer, or that there was none. */
    void onAdvised(LiveStep step, AdviceOrder order, @Nullable AdviceAnswer answer) {
        Known k = known.get(step);
        if (k == null) {
            return;
        }
        long now = state.now();
        k.asking = false;
        if (answer == null) {
            k.askAt = now + RETRY_MILLIS;
            return;
        }
        long until = now + answer.validMillis();
        answer.ticketByWorker().forEach((w, text) -> k.tickets.put(w, new Ticket(text, until)));
        order.workers().stream()
                .filter(w -> !answer.ticketByWorker().containsKey(w))
                .forEach(k.refused::add);
    }

    /** Takes in that a worker did not take the step's ticket. */
    void onTicketRefused(LiveStep step, LiveWorker w) {
        Known k = known.get(step);
        if (k != null) {
            k.tickets.remove(w.facts().id());
        }
    }

    /** Forgets what is known of a worker: advice and tickets hold for one life of it. */
    void forget(String worker) {
        for (Known k : known.values()) {
            k.tickets.remove(worker);
            k.refused.remove(worker);
        }
    }

    /** Forgets the steps of jobs that have ended. */
    void forgetEnded() {
        known.keySet().removeIf(s -> s.job.state.ended() || s.isDone());
    }
}
