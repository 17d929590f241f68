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
package org.lupinpaddle.core.request;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.lupinpaddle.core.common.Verdict;
import org.lupinpaddle.core.request.RequestEvent.ClaimResult;

/**
 * The state machine of one request, from its arrival to its only answer. It maps each event and its time to the actions
 * to perform, and has neither a thread nor a clock of its own.
 *
 * <p>It guarantees three things. The caller is answered exactly once and without delay: events after the answer only
 * release slots. A request that may have run is sent again only if the caller declared it repeatable. A slot is held
 * until its attempt has ended, even after the caller has disconnected, because the worker is still busy with it.
 */
public final class RequestMachine {

    // A request that fails on this many workers is itself at fault, not the workers.
    private static final int MAX_FAILED_WORKERS = 3;
    // Refusals and unreachable addresses are cheap, but a request must not be retried without end.
    private static final int MAX_ATTEMPTS = 6;

    private enum State {
        NEW,
        CLAIMING,
        WAITING,
        SENDING,
        ANSWERED
    }

    private final CallerRequest request;
    private final RetryBudget retries;
    private final Set<String> failedWorkers = new HashSet<>();
    private final Set<String> triedWorkers = new HashSet<>();
    private State state = State.NEW;
    private Verdict verdict = Verdict.NOT_RUN;
    private boolean claimed;
    private boolean slotRequested;
    private int attempt;
    private int pendingAttempt;
    private long grant;
    private String worker = "";

    /** Creates the state machine of a request whose retries are limited by {@code retries}. */
    public RequestMachine(CallerRequest request, RetryBudget retries) {
        this.request = request;
        this.retries = retries;
    }

    /** Returns whether the caller has been answered and no slot is held or requested. */
    public boolean isFinished() {
        return state == State.ANSWERED && pendingAttempt == 0 && !slotRequested;
    }

    /** Returns whether the caller has been answered. */
    public boolean isAnswered() {
        return state == State.ANSWERED;
    }

    /** Returns the number of attempts so far. */
    public int attempts() {
        return attempt;
    }

    /** Handles an event and returns the actions to perform, in order. */
    public List<RequestAction> onEvent(RequestEvent event, long now) {
        List<RequestAction> actions = new ArrayList<>();
        if (event instanceof RequestEvent.Arrived) {
            onArrived(now, actions);
        } else if (event instanceof RequestEvent.ClaimCompleted e) {
            onClaimCompleted(e.result(), now, actions);
        } else if (event instanceof RequestEvent.SlotGranted e) {
            onSlotGranted(e.grant(), e.worker(), now, actions);
        } else if (event instanceof RequestEvent.SlotRefused e) {
            onSlotRefused(e, actions);
        } else if (event instanceof RequestEvent.AttemptEnded e) {
            onAttemptEnded(e, now, actions);
        } else if (event instanceof RequestEvent.DeadlinePassed) {
            giveUp(GiveUpReason.EXPIRED, GiveUpReason.EXPIRED.retryAfterMillis(), actions);
        } else if (event instanceof RequestEvent.CallerDisconnected) {
            giveUp(GiveUpReason.CANCELLED, 0, actions);
        }
        return actions;
    }

    private void onArrived(long now, List<RequestAction> actions) {
        if (state != State.NEW) {
            return;
        }
        retries.onNewRequest();
        if (now >= request.deadline()) {
            giveUp(GiveUpReason.EXPIRED, GiveUpReason.EXPIRED.retryAfterMillis(), actions);
        } else if (request.requiresClaim()) {
            state = State.CLAIMING;
            actions.add(new RequestAction.AcquireClaim());
        } else {
            requestSlot(actions);
        }
    }

    private void onClaimCompleted(ClaimResult result, long now, List<RequestAction> actions) {
        if (state != State.CLAIMING) {
            // The caller was answered while the claim was pending. Nothing was sent, so the claim is marked as not run.
            if (result != ClaimResult.HELD) {
                actions.add(new RequestAction.MarkClaimNotRun());
            }
            return;
        }
        switch (result) {
            case WON -> {
                claimed = true;
                if (now >= request.deadline()) {
                    giveUp(GiveUpReason.EXPIRED, GiveUpReason.EXPIRED.retryAfterMillis(), actions);
                } else {
                    requestSlot(actions);
                }
            }
            case HELD -> {
                verdict = Verdict.MAY_HAVE_RUN;
                giveUp(GiveUpReason.CLAIMED, 0, actions);
            }
            case UNKNOWN -> {
                claimed = true;
                giveUp(GiveUpReason.STORE_AWAY, GiveUpReason.STORE_AWAY.retryAfterMillis(), actions);
            }
        }
    }

    private void requestSlot(List<RequestAction> actions) {
        state = State.WAITING;
        slotRequested = true;
        actions.add(new RequestAction.RequestSlot(Set.copyOf(triedWorkers)));
    }

    private void onSlotGranted(long newGrant, String newWorker, long now, List<RequestAction> actions) {
        slotRequested = false;
        if (state != State.WAITING) {
            actions.add(new RequestAction.ReleaseSlot(newGrant, newWorker, AttemptOutcome.UNUSED));
            return;
        }
        if (now >= request.deadline()) {
            actions.add(new RequestAction.ReleaseSlot(newGrant, newWorker, AttemptOutcome.UNUSED));
            giveUp(GiveUpReason.EXPIRED, GiveUpReason.EXPIRED.retryAfterMillis(), actions);
            return;
        }
        state = State.SENDING;
        attempt++;
        pendingAttempt = attempt;
        grant = newGrant;
        worker = newWorker;
        actions.add(new RequestAction.Send(attempt, worker));
    }

    private void onSlotRefused(RequestEvent.SlotRefused e, List<RequestAction> actions) {
        slotRequested = false;
        if (state == State.WAITING) {
            giveUp(e.reason(), e.retryAfterMillis(), actions);
        }
    }

    private void onAttemptEnded(RequestEvent.AttemptEnded e, long now, List<RequestAction> actions) {
        if (e.attempt() != pendingAttempt) {
            // Ignores a late event of an earlier attempt.
            return;
        }
        pendingAttempt = 0;
        actions.add(new RequestAction.ReleaseSlot(grant, worker, e.outcome()));
        if (state != State.SENDING) {
            return;
        }
        verdict = verdict.and(e.outcome().verdict());
        triedWorkers.add(worker);
        switch (e.outcome()) {
            case ANSWERED -> forwardResponse(actions);
            case FAILED -> onFailed(now, actions);
            case BROKEN -> onBroken(now, actions);
            case NOT_SENT, REFUSED_FULL, REFUSED_LEAVING, UNUSED -> retryOrGiveUp(GiveUpReason.NO_RETRY, now, actions);
        }
    }

    private void onFailed(long now, List<RequestAction> actions) {
        failedWorkers.add(worker);
        if (failedWorkers.size() >= MAX_FAILED_WORKERS) {
            giveUp(GiveUpReason.CAN_NOT_RUN, 0, actions);
        } else if (request.repeatable() && mayRetry(now)) {
            requestSlot(actions);
        } else {
            forwardResponse(actions);
        }
    }

    private void onBroken(long now, List<RequestAction> actions) {
        failedWorkers.add(worker);
        if (failedWorkers.size() >= MAX_FAILED_WORKERS) {
            giveUp(GiveUpReason.CAN_NOT_RUN, 0, actions);
        } else if (request.repeatable()) {
            retryOrGiveUp(GiveUpReason.BROKEN, now, actions);
        } else {
            giveUp(GiveUpReason.BROKEN, 0, actions);
        }
    }

    private void retryOrGiveUp(GiveUpReason reason, long now, List<RequestAction> actions) {
        if (mayRetry(now)) {
            requestSlot(actions);
        } else {
            giveUp(reason, reason.retryAfterMillis(), actions);
        }
    }

    private boolean mayRetry(long now) {
        return now < request.deadline() && attempt < MAX_ATTEMPTS && retries.tryAcquire();
    }

    private void forwardResponse(List<RequestAction> actions) {
        state = State.ANSWERED;
        actions.add(new RequestAction.ForwardResponse(attempt));
    }

    private void giveUp(GiveUpReason reason, long retryAfterMillis, List<RequestAction> actions) {
        if (state == State.ANSWERED) {
            return;
        }
        if (state == State.SENDING && pendingAttempt != 0) {
            verdict = verdict.and(Verdict.MAY_HAVE_RUN);
        }
        state = State.ANSWERED;
        actions.add(new RequestAction.GiveUp(verdict, reason, retryAfterMillis));
        if (slotRequested) {
            actions.add(new RequestAction.CancelSlotRequest());
            slotRequested = false;
        }
        if (claimed && verdict == Verdict.NOT_RUN) {
            actions.add(new RequestAction.MarkClaimNotRun());
        }
    }
}
