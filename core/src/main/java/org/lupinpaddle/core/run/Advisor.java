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
import java.util.Optional;
import java.util.Set;
import java.util.function.ToLongBiFunction;
import org.jspecify.annotations.Nullable;

/**
 * Determines which workers may run a step whose queue requires advice. The service's decision on a worker does not
 * change, but tickets expire.
 *
 * <p>The service is asked about one step at a time. Each placement pass selects the step to ask about next, so that
 * steps which have been placed or cancelled, or for which there is no room, take no turn.
 */
final class Advisor {

    // The service takes longer with each worker in a request; the objective for steps allows one call per 30 workers.
    private static final int MAX_WORKERS_PER_REQUEST = 30;
    private static final long MIN_RETRY_MILLIS = 250;
    private static final long MAX_RETRY_MILLIS = 8_000;
    private static final int MAX_DOUBLINGS = 5;
    // Covers the time from the placement to the start: a store write and the call.
    private static final long MIN_REMAINING_MILLIS = 600;
    private static final long EXPIRED = Long.MIN_VALUE / 2;
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final ServiceState state;
    private final Map<LiveStep, Knowledge> knowledgeByStep = new HashMap<>();

    /** The most urgent step that needs advice for the first time; null if there is none. */
    private @Nullable Candidate first;
    /** The step that needs advice again and has waited longest for it; null if there is none. */
    private @Nullable Candidate repeated;
    /** Whether the last request was a repeated one. */
    private boolean lastWasRepeated;

    /** Whether a turn has been requested, or a request has been sent and is neither answered nor overdue. */
    private boolean busy;

    private record Ticket(String text, long validUntil) {}

    private record Candidate(LiveStep step, Knowledge knowledge, List<String> workers) {}

    /** The advice received for one step. */
    private static final class Knowledge {
        final Map<String, Ticket> tickets = new HashMap<>();
        final Set<String> refused = new HashSet<>();
        boolean requestInFlight;
        long lastRequestedAt = NEVER;
        /** After how long the last request is repeated because it failed or is overdue; 0 if it was answered. */
        long retryMillis;

        long nextRequestAt;
        /** How many starts with a ticket were rejected since the last one that was accepted. */
        int ticketsRefused;

        void requestFailed(long now) {
            retryMillis = Math.min(MAX_RETRY_MILLIS, Math.max(MIN_RETRY_MILLIS, 2 * retryMillis));
            nextRequestAt = now + retryMillis;
        }
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

    /** Returns whether the service has refused the worker for the step's tasks. */
    boolean isRefused(LiveStep step, LiveWorker w) {
        Knowledge k = knowledgeByStep.get(step);
        return k != null && k.refused.contains(w.facts().id());
    }

    /** Prepares for a placement pass. */
    void beginPass() {
        first = null;
        repeated = null;
    }

    /**
     * Considers a step with waiting tasks for the next request. Call this for the steps of a placement pass in the
     * order of their urgency.
     */
    void considerRequest(LiveStep step, List<LiveWorker> workers) {
        Knowledge k = knowledgeByStep.computeIfAbsent(step, s -> new Knowledge());
        boolean wasNeverRequested = k.lastRequestedAt == NEVER;
        if (k.requestInFlight || state.now() < k.nextRequestAt || (wasNeverRequested && first != null)) {
            return;
        }
        List<String> unknown = unknownWorkers(step, k, workers);
        if (unknown.isEmpty()) {
            return;
        }
        boolean isRepeated = k.retryMillis > 0 || unknown.stream().anyMatch(k.tickets::containsKey);
        if (!isRepeated) {
            first = first == null ? new Candidate(step, k, unknown) : first;
        } else if (repeated == null || k.lastRequestedAt < repeated.knowledge.lastRequestedAt) {
            repeated = new Candidate(step, k, unknown);
        }
    }

    /** Returns some of the workers that could run the step's tasks now and for which no advice is known. */
    private List<String> unknownWorkers(LiveStep step, Knowledge k, List<LiveWorker> workers) {
        StepRoom room = StepRoom.of(step, state.now());
        // A gang that waits for permitted starts on cold workers needs its tickets by then.
        ToLongBiFunction<LiveWorker, LiveStep> roomOf =
                step.spec.gang() ? LiveWorker::roomPerStart : LiveWorker::roomFor;
        List<LiveWorker> notRefused = workers.stream()
                .filter(w -> !k.refused.contains(w.facts().id()))
                .toList();
        if (room == null || !room.fits(notRefused, roomOf)) {
            return List.of();
        }
        return notRefused.stream()
                .filter(w -> ticket(step, w).isEmpty() && room.fitsOne(w, roomOf))
                .map(w -> w.facts().id())
                .sorted()
                .limit(MAX_WORKERS_PER_REQUEST)
                .toList();
    }

    /** Requests a turn for the step that was selected in the pass, if any. */
    void endPass() {
        if (!busy && (first != null || repeated != null)) {
            busy = true;
            state.port.requestAdviceTurn();
        }
    }

    /** Returns the request for a turn that has come; empty if no step needs advice any more. */
    Optional<AdviceRequest> nextRequest() {
        busy = false;
        // Neither new steps nor steps whose tickets keep expiring may take all turns.
        boolean repeats = repeated != null && (first == null || !lastWasRepeated);
        Candidate next = repeats ? repeated : first;
        beginPass();
        if (next == null || next.step.job.state.ended() || !next.step.isCurrent()) {
            return Optional.empty();
        }
        busy = true;
        lastWasRepeated = repeats;
        next.knowledge.requestInFlight = true;
        next.knowledge.lastRequestedAt = state.now();
        return Optional.of(new AdviceRequest(next.step.repetition, next.workers));
    }

    /** Handles a response; null if there was none, or none yet. */
    void onAdvice(AdviceRequest order, @Nullable AdviceResponse answer) {
        busy = false;
        LiveJob job = state.jobs.get(order.step().job());
        LiveStep step = job == null
                ? null
                : job.stepInProgress(order.step().repetition(), order.step().step());
        Knowledge k = step == null ? null : knowledgeByStep.get(step);
        if (k == null) {
            return;
        }
        long now = state.now();
        k.requestInFlight = false;
        if (answer == null) {
            k.requestFailed(now);
            return;
        }
        k.retryMillis = 0;
        long until = now + answer.validMillis();
        answer.ticketByWorker().forEach((w, text) -> k.tickets.put(w, new Ticket(text, until)));
        order.workers().stream()
                .filter(w -> !answer.ticketByWorker().containsKey(w))
                .forEach(k.refused::add);
    }

    /**
     * Discards the step's ticket for a worker that rejected it. The first time, it has probably expired; if new tickets
     * are rejected as well, the next ones are requested with increasing delays.
     */
    void onTicketRefused(LiveStep step, LiveWorker w) {
        Knowledge k = knowledgeByStep.get(step);
        if (k != null) {
            k.tickets.computeIfPresent(w.facts().id(), (id, t) -> new Ticket(t.text, EXPIRED));
            if (k.ticketsRefused > 0) {
                int doublings = Math.min(k.ticketsRefused - 1, MAX_DOUBLINGS);
                k.nextRequestAt = state.now() + Math.min(MAX_RETRY_MILLIS, MIN_RETRY_MILLIS << doublings);
            }
            k.ticketsRefused++;
        }
    }

    /** Records that a worker accepted a start of the step. */
    void onTicketAccepted(LiveStep step) {
        Knowledge k = knowledgeByStep.get(step);
        if (k != null) {
            k.ticketsRefused = 0;
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
        knowledgeByStep.keySet().removeIf(s -> s.job.state.ended() || s.isDone() || !s.isCurrent());
    }
}
