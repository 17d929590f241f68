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
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.common.Urgency;
import org.lupinpaddle.core.common.Verdict;
import org.lupinpaddle.core.request.RequestEvent.ClaimResult;

/**
 * Simulates a job that its caller submits to several entries, the workers that run it, and a network and a store that
 * lose messages at random. The order of all events follows from a seed. A rule can be disabled, to verify that the checks
 * detect its absence.
 */
final class JobSimulation {

    /** A rule of the request handling that is disabled, to verify that the checks detect it. */
    enum DisabledRule {
        /** Treats a broken connection as one that was never opened. */
        BROKEN_IS_NOT_SENT,
        /** Sends requests without acquiring a claim. */
        NO_CLAIM,
        /** Treats a claim whose reply was lost as acquired. */
        LOST_CLAIM_IS_WON
    }

    private static final int WORKERS = 3;

    private final Random random;
    private final boolean repeatable;
    private final @Nullable DisabledRule disabledRule;
    private final RetryBudget retries = new RetryBudget();
    private final List<SimulatedRequest> requests = new ArrayList<>();
    private final List<Runnable> pending = new ArrayList<>();
    private @Nullable SimulatedRequest claimHolder;
    private boolean claimNotRun;
    private int runs;
    private long now;
    private long grants;

    JobSimulation(long seed, boolean repeatable, @Nullable DisabledRule disabledRule) {
        this.random = new Random(seed);
        this.repeatable = repeatable;
        this.disabledRule = disabledRule;
    }

    /** One request of the caller at one entry. */
    private final class SimulatedRequest {
        private final RequestMachine machine;
        private final Map<Long, Boolean> heldGrants = new HashMap<>();
        private @Nullable Verdict verdict;
        private int answers;
        private int ownRuns;
        private boolean crashed;
        private boolean answered;

        private SimulatedRequest() {
            machine = new RequestMachine(
                    CallerRequest.builder("r" + requests.size(), "bills")
                            .urgency(Urgency.NORMAL)
                            .times(now, now + 200)
                            .repeatable(repeatable)
                            .jobId("job")
                            .build(),
                    retries);
        }

        private void on(RequestEvent e) {
            if (crashed) {
                return;
            }
            for (RequestAction a : machine.onEvent(e, now)) {
                perform(a);
            }
        }

        private void perform(RequestAction a) {
            if (a instanceof RequestAction.AcquireClaim) {
                acquireClaim();
            } else if (a instanceof RequestAction.MarkClaimNotRun) {
                pending.add(this::markClaimNotRun);
            } else if (a instanceof RequestAction.RequestSlot) {
                pending.add(this::answerSlotRequest);
            } else if (a instanceof RequestAction.Send s) {
                require(!answered, "sent after the caller was answered");
                send(s.attempt());
            } else if (a instanceof RequestAction.ReleaseSlot r) {
                require(heldGrants.remove(r.grant()) != null, "a slot was released twice");
            } else if (a instanceof RequestAction.ForwardResponse) {
                answer(Verdict.RAN);
            } else if (a instanceof RequestAction.GiveUp g) {
                answer(g.verdict());
            }
        }

        private void answer(Verdict v) {
            answers++;
            answered = true;
            verdict = v;
            require(answers == 1, "answered twice");
        }

        // The store may apply the claim at once, later or never, or apply it and lose the reply.
        private void acquireClaim() {
            if (disabledRule == DisabledRule.NO_CLAIM) {
                pending.add(() -> on(new RequestEvent.ClaimCompleted(ClaimResult.WON)));
                return;
            }
            ClaimResult lost = disabledRule == DisabledRule.LOST_CLAIM_IS_WON ? ClaimResult.WON : ClaimResult.UNKNOWN;
            switch (random.nextInt(5)) {
                case 0 -> pending.add(() -> on(new RequestEvent.ClaimCompleted(lost)));
                case 1 -> {
                    // The entry stops waiting, but the store still applies the claim later.
                    pending.add(() -> on(new RequestEvent.ClaimCompleted(lost)));
                    pending.add(this::claim);
                }
                default -> pending.add(() -> on(new RequestEvent.ClaimCompleted(claim())));
            }
        }

        private ClaimResult claim() {
            if (claimHolder == null || claimNotRun) {
                claimHolder = this;
                claimNotRun = false;
            }
            return claimHolder == this ? ClaimResult.WON : ClaimResult.HELD;
        }

        private void markClaimNotRun() {
            if (claimHolder == this) {
                claimNotRun = true;
            }
        }

        private void answerSlotRequest() {
            if (crashed || machine.isAnswered() && random.nextBoolean()) {
                return;
            }
            if (random.nextInt(6) == 0) {
                on(new RequestEvent.SlotRefused(GiveUpReason.SHED, 1_000));
            } else {
                long g = ++grants;
                heldGrants.put(g, true);
                on(new RequestEvent.SlotGranted(g, "w" + random.nextInt(WORKERS)));
            }
        }

        private void send(int attempt) {
            switch (random.nextInt(7)) {
                case 0 -> end(attempt, AttemptOutcome.NOT_SENT);
                case 1 -> end(attempt, AttemptOutcome.REFUSED_FULL);
                case 2 -> end(attempt, AttemptOutcome.REFUSED_LEAVING);
                case 3 -> {
                    // The connection breaks, but the worker still runs the request, perhaps much later.
                    end(
                            attempt,
                            disabledRule == DisabledRule.BROKEN_IS_NOT_SENT
                                    ? AttemptOutcome.NOT_SENT
                                    : AttemptOutcome.BROKEN);
                    pending.add(this::run);
                }
                case 4 ->
                    pending.add(() -> {
                        run();
                        end(attempt, AttemptOutcome.FAILED);
                    });
                default ->
                    pending.add(() -> {
                        run();
                        end(attempt, AttemptOutcome.ANSWERED);
                    });
            }
        }

        private void run() {
            runs++;
            ownRuns++;
        }

        private void end(int attempt, AttemptOutcome outcome) {
            pending.add(() -> on(new RequestEvent.AttemptEnded(attempt, outcome)));
            if (random.nextInt(5) == 0) {
                // Repeats the reply for an attempt that has already ended.
                pending.add(() -> on(new RequestEvent.AttemptEnded(attempt, AttemptOutcome.ANSWERED)));
            }
        }
    }

    private void require(boolean condition, String message) {
        if (!condition) {
            throw new AssertionError(message);
        }
    }

    /** Runs until no work is pending; fails at the first violated guarantee. */
    void run() {
        for (int i = 0; i < 200; i++) {
            now += random.nextInt(10);
            if (requests.size() < 4 && random.nextInt(15) == 0) {
                SimulatedRequest t = new SimulatedRequest();
                requests.add(t);
                t.on(new RequestEvent.Arrived());
            }
            if (!pending.isEmpty()) {
                pending.remove(random.nextInt(pending.size())).run();
            }
            injectFault();
        }
        requests.forEach(t -> t.on(new RequestEvent.DeadlinePassed()));
        while (!pending.isEmpty()) {
            pending.remove(0).run();
        }
        check();
    }

    private void injectFault() {
        if (requests.isEmpty()) {
            return;
        }
        SimulatedRequest t = requests.get(random.nextInt(requests.size()));
        switch (random.nextInt(40)) {
            case 0 -> t.crashed = true;
            case 1 -> t.on(new RequestEvent.CallerDisconnected());
            case 2 -> t.on(new RequestEvent.DeadlinePassed());
            default -> {}
        }
    }

    private void check() {
        require(repeatable || runs <= 1, "a non-repeatable job ran " + runs + " times");
        for (SimulatedRequest t : requests) {
            require(t.crashed || t.answers == 1, "a caller was answered " + t.answers + " times");
            require(t.verdict != Verdict.NOT_RUN || t.ownRuns == 0, "NOT_RUN was reported for a job that ran");
            require(t.crashed || t.heldGrants.isEmpty(), "a slot was never released");
            require(t.crashed || t.machine.isFinished(), "a request never finished");
        }
    }

    /** Returns the number of times that the job ran. */
    int runs() {
        return runs;
    }

    /** Returns the verdicts that callers received. */
    Set<Verdict> verdicts() {
        return requests.stream()
                .map(t -> t.verdict)
                .filter(java.util.Objects::nonNull)
                .collect(java.util.stream.Collectors.toSet());
    }
}
