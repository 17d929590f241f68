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
 * Takes one request from its arrival to its only answer. An event and a time go in, the actions to carry
 * out come out; the machine holds no thread and no clock.
 *
 * <p>Three rules carry the promises. The caller is answered once and at once: whatever comes after the
 * answer only gives slots back. A request that may have run is sent again only if its caller says that
 * repeating does no harm. A slot is held until its attempt has ended, also when the caller is long gone,
 * since the worker is still busy with it.
 */
public final class RequestMachine {

    // A job that fails on this many workers is the fault of the job, not of the workers.
    private static final int MOST_FAILED_WORKERS = 3;
    // Refusals and dead addresses cost little, yet a request must not wander for ever.
    private static final int MOST_ATTEMPTS = 6;

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
    private boolean asking;
    private int attempt;
    private int openAttempt;
    private long grant;
    private String worker = "";

    /** Makes the machine of a request that draws its retries from {@code retries}. */
    public RequestMachine(CallerRequest request, RetryBudget retries) {
        this.request = request;
        this.retries = retries;
    }

    /** Returns whether the caller has its answer and no slot is held or asked for any more. */
    public boolean isOver() {
        return state == State.ANSWERED && openAttempt == 0 && !asking;
    }

    /** Returns whether the caller has its answer. */
    public boolean isAnswered() {
        return state == State.ANSWERED;
    }

    /** Returns how many attempts were made. */
    public int attempts() {
        return attempt;
    }

    /** Takes an event at a time and returns what is to be done, in order. */
    public List<RequestAction> on(RequestEvent event, long now) {
        List<RequestAction> out = new ArrayList<>();
        if (event instanceof RequestEvent.Arrived) {
            onArrived(now, out);
        } else if (event instanceof RequestEvent.ClaimAnswered e) {
            onClaim(e.result(), now, out);
        } else if (event instanceof RequestEvent.SlotGranted e) {
            onGranted(e.grant(), e.worker(), now, out);
        } else if (event instanceof RequestEvent.SlotRefused e) {
            onSlotRefused(e, out);
        } else if (event instanceof RequestEvent.AttemptEnded e) {
            onAttemptEnded(e, now, out);
        } else if (event instanceof RequestEvent.DeadlinePassed) {
            giveUp(GiveUpReason.EXPIRED, GiveUpReason.EXPIRED.comeBackMillis(), out);
        } else if (event instanceof RequestEvent.CallerGone) {
            giveUp(GiveUpReason.CANCELLED, 0, out);
        }
        return out;
    }

    private void onArrived(long now, List<RequestAction> out) {
        if (state != State.NEW) {
            return;
        }
        retries.onFresh();
        if (now >= request.deadline()) {
            giveUp(GiveUpReason.EXPIRED, GiveUpReason.EXPIRED.comeBackMillis(), out);
        } else if (request.needsClaim()) {
            state = State.CLAIMING;
            out.add(new RequestAction.TakeClaim());
        } else {
            askSlot(out);
        }
    }

    private void onClaim(ClaimResult result, long now, List<RequestAction> out) {
        if (state != State.CLAIMING) {
            // The caller was answered while the store was asked: nothing was sent, so the claim is given back.
            if (result != ClaimResult.HELD) {
                out.add(new RequestAction.SettleClaim());
            }
            return;
        }
        switch (result) {
            case WON -> {
                claimed = true;
                if (now >= request.deadline()) {
                    giveUp(GiveUpReason.EXPIRED, GiveUpReason.EXPIRED.comeBackMillis(), out);
                } else {
                    askSlot(out);
                }
            }
            case HELD -> {
                verdict = Verdict.MAY_HAVE_RUN;
                giveUp(GiveUpReason.CLAIMED, 0, out);
            }
            case UNKNOWN -> {
                claimed = true;
                giveUp(GiveUpReason.STORE_AWAY, GiveUpReason.STORE_AWAY.comeBackMillis(), out);
            }
        }
    }

    private void askSlot(List<RequestAction> out) {
        state = State.WAITING;
        asking = true;
        out.add(new RequestAction.AskSlot(Set.copyOf(triedWorkers)));
    }

    private void onGranted(long newGrant, String newWorker, long now, List<RequestAction> out) {
        asking = false;
        if (state != State.WAITING) {
            out.add(new RequestAction.ReleaseSlot(newGrant, newWorker, AttemptOutcome.UNUSED));
            return;
        }
        if (now >= request.deadline()) {
            out.add(new RequestAction.ReleaseSlot(newGrant, newWorker, AttemptOutcome.UNUSED));
            giveUp(GiveUpReason.EXPIRED, GiveUpReason.EXPIRED.comeBackMillis(), out);
            return;
        }
        state = State.SENDING;
        attempt++;
        openAttempt = attempt;
        grant = newGrant;
        worker = newWorker;
        out.add(new RequestAction.Send(attempt, worker));
    }

    private void onSlotRefused(RequestEvent.SlotRefused e, List<RequestAction> out) {
        asking = false;
        if (state == State.WAITING) {
            giveUp(e.reason(), e.comeBackMillis(), out);
        }
    }

    private void onAttemptEnded(RequestEvent.AttemptEnded e, long now, List<RequestAction> out) {
        if (e.attempt() != openAttempt) {
            // A late word of an earlier attempt belongs to nobody.
            return;
        }
        openAttempt = 0;
        out.add(new RequestAction.ReleaseSlot(grant, worker, e.outcome()));
        if (state != State.SENDING) {
            return;
        }
        verdict = verdict.and(e.outcome().verdict());
        triedWorkers.add(worker);
        switch (e.outcome()) {
            case ANSWERED -> passAnswer(out);
            case FAILED -> onFailed(now, out);
            case BROKEN -> onBroken(now, out);
            case NOT_SENT, REFUSED_FULL, REFUSED_LEAVING, UNUSED -> retryOr(GiveUpReason.NO_RETRY, now, out);
        }
    }

    private void onFailed(long now, List<RequestAction> out) {
        failedWorkers.add(worker);
        if (failedWorkers.size() >= MOST_FAILED_WORKERS) {
            giveUp(GiveUpReason.CAN_NOT_RUN, 0, out);
        } else if (request.repeatable() && mayRetry(now)) {
            askSlot(out);
        } else {
            passAnswer(out);
        }
    }

    private void onBroken(long now, List<RequestAction> out) {
        failedWorkers.add(worker);
        if (failedWorkers.size() >= MOST_FAILED_WORKERS) {
            giveUp(GiveUpReason.CAN_NOT_RUN, 0, out);
        } else if (request.repeatable()) {
            retryOr(GiveUpReason.BROKEN, now, out);
        } else {
            giveUp(GiveUpReason.BROKEN, 0, out);
        }
    }

    private void retryOr(GiveUpReason reason, long now, List<RequestAction> out) {
        if (mayRetry(now)) {
            askSlot(out);
        } else {
            giveUp(reason, reason.comeBackMillis(), out);
        }
    }

    private boolean mayRetry(long now) {
        return now < request.deadline() && attempt < MOST_ATTEMPTS && retries.tryTake();
    }

    private void passAnswer(List<RequestAction> out) {
        state = State.ANSWERED;
        out.add(new RequestAction.PassAnswer(attempt));
    }

    private void giveUp(GiveUpReason reason, long comeBackMillis, List<RequestAction> out) {
        if (state == State.ANSWERED) {
            return;
        }
        if (state == State.SENDING && openAttempt != 0) {
            verdict = verdict.and(Verdict.MAY_HAVE_RUN);
        }
        state = State.ANSWERED;
        out.add(new RequestAction.GiveUp(verdict, reason, comeBackMillis));
        if (asking) {
            out.add(new RequestAction.CancelAsk());
            asking = false;
        }
        if (claimed && verdict == Verdict.NOT_RUN) {
            out.add(new RequestAction.SettleClaim());
        }
    }
}
