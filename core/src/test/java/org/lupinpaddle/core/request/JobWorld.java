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
 * One job whose caller tries it at several entries, workers that run it, and a network and a store that
 * lose what they like. Everything's order comes from a seed. A rule can be switched off, to see that the
 * check would notice.
 */
final class JobWorld {

    /** A rule of the product, switched off. */
    enum Off {
        /** A broken connection is taken for one that was never made. */
        BROKEN_IS_NOT_SENT,
        /** The claim is not asked of the store. */
        NO_CLAIM,
        /** A claim whose reply was lost is taken for ours. */
        LOST_CLAIM_IS_WON
    }

    private static final int WORKERS = 3;

    private final Random random;
    private final boolean repeatable;
    private final @Nullable Off off;
    private final RetryBudget retries = new RetryBudget();
    private final List<Try> tries = new ArrayList<>();
    private final List<Runnable> pending = new ArrayList<>();
    private @Nullable Try claimHolder;
    private boolean claimNotRun;
    private int runs;
    private long now;
    private long grants;

    JobWorld(long seed, boolean repeatable, @Nullable Off off) {
        this.random = new Random(seed);
        this.repeatable = repeatable;
        this.off = off;
    }

    /** One try of the caller at one entry. */
    private final class Try {
        private final RequestMachine machine;
        private final Map<Long, Boolean> held = new HashMap<>();
        private @Nullable Verdict verdict;
        private int answers;
        private int runsOfThis;
        private boolean dead;
        private boolean answered;

        private Try() {
            machine = new RequestMachine(
                    CallerRequest.builder("r" + tries.size(), "bills")
                            .urgency(Urgency.NORMAL)
                            .times(now, now + 200)
                            .repeatable(repeatable)
                            .jobId("job")
                            .build(),
                    retries);
        }

        private void on(RequestEvent e) {
            if (dead) {
                return;
            }
            for (RequestAction a : machine.on(e, now)) {
                carryOut(a);
            }
        }

        private void carryOut(RequestAction a) {
            if (a instanceof RequestAction.TakeClaim) {
                takeClaim();
            } else if (a instanceof RequestAction.SettleClaim) {
                pending.add(this::settle);
            } else if (a instanceof RequestAction.AskSlot) {
                pending.add(this::answerAsk);
            } else if (a instanceof RequestAction.Send s) {
                require(!answered, "sent after the caller was answered");
                send(s.attempt());
            } else if (a instanceof RequestAction.ReleaseSlot r) {
                require(held.remove(r.grant()) != null, "a slot was given back twice");
            } else if (a instanceof RequestAction.PassAnswer) {
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

        // The store may take the claim at once, later, never, or take it and lose the reply.
        private void takeClaim() {
            if (off == Off.NO_CLAIM) {
                pending.add(() -> on(new RequestEvent.ClaimAnswered(ClaimResult.WON)));
                return;
            }
            ClaimResult lost = off == Off.LOST_CLAIM_IS_WON ? ClaimResult.WON : ClaimResult.UNKNOWN;
            switch (random.nextInt(5)) {
                case 0 -> pending.add(() -> on(new RequestEvent.ClaimAnswered(lost)));
                case 1 -> {
                    // Given up on here, and landing in the store later all the same.
                    pending.add(() -> on(new RequestEvent.ClaimAnswered(lost)));
                    pending.add(this::claim);
                }
                default -> pending.add(() -> on(new RequestEvent.ClaimAnswered(claim())));
            }
        }

        private ClaimResult claim() {
            if (claimHolder == null || claimNotRun) {
                claimHolder = this;
                claimNotRun = false;
            }
            return claimHolder == this ? ClaimResult.WON : ClaimResult.HELD;
        }

        private void settle() {
            if (claimHolder == this) {
                claimNotRun = true;
            }
        }

        private void answerAsk() {
            if (dead || machine.isAnswered() && random.nextBoolean()) {
                return;
            }
            if (random.nextInt(6) == 0) {
                on(new RequestEvent.SlotRefused(GiveUpReason.SHED, 1_000));
            } else {
                long g = ++grants;
                held.put(g, true);
                on(new RequestEvent.SlotGranted(g, "w" + random.nextInt(WORKERS)));
            }
        }

        private void send(int attempt) {
            switch (random.nextInt(7)) {
                case 0 -> end(attempt, AttemptOutcome.NOT_SENT);
                case 1 -> end(attempt, AttemptOutcome.REFUSED_FULL);
                case 2 -> end(attempt, AttemptOutcome.REFUSED_LEAVING);
                case 3 -> {
                    // Broken off, and run by the worker all the same, perhaps much later.
                    end(attempt, off == Off.BROKEN_IS_NOT_SENT ? AttemptOutcome.NOT_SENT : AttemptOutcome.BROKEN);
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
            runsOfThis++;
        }

        private void end(int attempt, AttemptOutcome outcome) {
            pending.add(() -> on(new RequestEvent.AttemptEnded(attempt, outcome)));
            if (random.nextInt(5) == 0) {
                // A reply that comes twice, the second time for an attempt that is over.
                pending.add(() -> on(new RequestEvent.AttemptEnded(attempt, AttemptOutcome.ANSWERED)));
            }
        }
    }

    private void require(boolean good, String what) {
        if (!good) {
            throw new AssertionError(what);
        }
    }

    /** Runs to the end of everything; fails at the first broken promise. */
    void run() {
        for (int i = 0; i < 200; i++) {
            now += random.nextInt(10);
            if (tries.size() < 4 && random.nextInt(15) == 0) {
                Try t = new Try();
                tries.add(t);
                t.on(new RequestEvent.Arrived());
            }
            if (!pending.isEmpty()) {
                pending.remove(random.nextInt(pending.size())).run();
            }
            disturb();
        }
        tries.forEach(t -> t.on(new RequestEvent.DeadlinePassed()));
        while (!pending.isEmpty()) {
            pending.remove(0).run();
        }
        check();
    }

    private void disturb() {
        if (tries.isEmpty()) {
            return;
        }
        Try t = tries.get(random.nextInt(tries.size()));
        switch (random.nextInt(40)) {
            case 0 -> t.dead = true;
            case 1 -> t.on(new RequestEvent.CallerGone());
            case 2 -> t.on(new RequestEvent.DeadlinePassed());
            default -> {}
        }
    }

    private void check() {
        require(repeatable || runs <= 1, "an unsafe job ran " + runs + " times");
        for (Try t : tries) {
            require(t.dead || t.answers == 1, "a caller was answered " + t.answers + " times");
            require(t.verdict != Verdict.NOT_RUN || t.runsOfThis == 0, "\"not run\" was said of a job that ran");
            require(t.dead || t.held.isEmpty(), "a slot was never given back");
            require(t.dead || t.machine.isOver(), "a request never ended");
        }
    }

    /** Returns how often the job ran. */
    int runs() {
        return runs;
    }

    /** Returns the verdicts that callers got. */
    Set<Verdict> verdicts() {
        return tries.stream()
                .map(t -> t.verdict)
                .filter(java.util.Objects::nonNull)
                .collect(java.util.stream.Collectors.toSet());
    }
}
