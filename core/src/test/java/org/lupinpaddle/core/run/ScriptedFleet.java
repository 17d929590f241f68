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

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.job.JobProgress;

/** Carries orders between schedulers and scripted workers; a test decides the fate of each one. */
final class ScriptedFleet {

    static final long CALL_MILLIS = 500;
    private static final long STEP_MILLIS = 5;
    private static final long TOKENS_OF_AN_OWNER = 1_000;

    /** What becomes of an order. */
    enum Fate {
        /** Carried out and answered at once. */
        AT_ONCE,
        /** Never carried out nor answered. */
        LOST,
        /** Carried out at once, but not answered. */
        ANSWER_LOST,
        /** Carried out at once and answered when the test says so. */
        ANSWER_LATE,
        /** Carried out when the test says so, by whichever incarnation has the id then. */
        LATE
    }

    /** A scheduler with its fencing token and its own clock. */
    static final class Owner {
        final SchedulerDriver driver = new SchedulerDriver();
        final long token;
        int starts;
        int stops;
        int holds;

        @Nullable
        JobProgress saved;

        Owner(long token) {
            this.token = token;
            driver.port.lowestFence = token * TOKENS_OF_AN_OWNER;
            driver.port.highestFence = (token + 1) * TOKENS_OF_AN_OWNER - 1;
        }
    }

    /** An order on its way. */
    static final class Call {
        final Owner owner;
        final Object order;
        final ScriptedWorker worker;
        final long sentAt;
        final long localSentAt;
        final long failsAt;
        final int incarnation;
        boolean open = true;

        @Nullable
        OrderOutcome outcome;
        /** The worker's clock when it carried out the order. */
        OptionalLong clock = OptionalLong.empty();

        Call(Owner owner, Object order, ScriptedWorker worker, long sentAt, long waitMillis) {
            this.owner = owner;
            this.order = order;
            this.worker = worker;
            this.sentAt = sentAt;
            this.localSentAt = owner.driver.now;
            this.failsAt = sentAt + waitMillis + CALL_MILLIS;
            this.incarnation = worker.incarnation;
        }
    }

    final RunJudge judge = new RunJudge();
    final List<ScriptedWorker> workers = new ArrayList<>();
    final List<Owner> owners = new ArrayList<>();
    final Deque<Fate> starts = new ArrayDeque<>();
    final Deque<Fate> stops = new ArrayDeque<>();
    final Deque<Fate> holds = new ArrayDeque<>();
    /** What becomes of the stops that no entry of {@link #stops} decides. */
    Fate otherStops = Fate.AT_ONCE;

    /** The starts that the test carries out. */
    final List<Call> lateStarts = new ArrayList<>();
    /** The stops that the test carries out or answers. */
    final List<Call> lateStops = new ArrayList<>();
    /** The holds that the test carries out. */
    final List<Call> lateHolds = new ArrayList<>();

    private final List<Call> calls = new ArrayList<>();
    private final List<Call> waitingHolds = new ArrayList<>();
    long now;

    ScriptedFleet() {
        owners.add(new Owner(1));
    }

    /** Returns the fencing token of an order. */
    private static long fenceOf(Object order) {
        if (order instanceof StartOrder s) {
            return s.fence();
        }
        return order instanceof StopOrder s ? s.fence() : ((HoldOrder) order).fence();
    }

    SchedulerDriver driver() {
        return owners.get(owners.size() - 1).driver;
    }

    ScriptedWorker add(String id, long born, long clockMillis) {
        ScriptedWorker w = new ScriptedWorker(id, born, clockMillis, judge);
        w.advanceTo(now);
        workers.add(w);
        return w;
    }

    /** Lists workers as the store does. */
    void list() {
        owners.forEach(o -> o.driver.scheduler.onWorkers(workers.stream()
                .map(w -> SchedulerDriver.workerBornAt(w.id, w.born))
                .toList()));
    }

    /** Lists the instances that are up. */
    void listInstances(String... ids) {
        driver().scheduler.onRunningWorkers(Set.of(ids), driver().now);
    }

    void run(long millis) {
        long until = now + millis;
        while (now < until) {
            step();
        }
    }

    void runUntil(BooleanSupplier reached) {
        for (long until = now + 60_000; !reached.getAsBoolean(); step()) {
            if (now >= until) {
                throw new IllegalStateException("not reached");
            }
        }
    }

    /** Carries out a late order. */
    void carryOut(Call c) {
        execute(c);
        if (c.open) {
            answer(c);
        }
    }

    /** Gives the answer of an order that was carried out before. */
    void answer(Call c) {
        if (c.open && c.outcome != null) {
            complete(c, c.outcome);
        }
    }

    private void step() {
        now += STEP_MILLIS;
        workers.forEach(w -> w.advanceTo(now));
        for (Owner o : owners) {
            o.driver.advance(STEP_MILLIS);
            if (!o.driver.port.saves.isEmpty()) {
                List<SchedulerPort.ProgressWrite> last = o.driver.port.saves.get(o.driver.port.saves.size() - 1);
                o.saved = last.get(last.size() - 1).progress();
                o.driver.completeSaves();
            }
            sendOrders(o);
        }
        List.copyOf(waitingHolds).forEach(this::answerHold);
        for (Call c : List.copyOf(calls)) {
            if (c.open && now >= c.failsAt) {
                complete(c, OrderOutcome.UNKNOWN);
            }
        }
        calls.removeIf(c -> !c.open);
    }

    private void sendOrders(Owner o) {
        FakeSchedulerPort port = o.driver.port;
        while (o.starts < port.starts.size()) {
            StartOrder s = port.starts.get(o.starts++);
            send(call(o, s, s.worker().id(), 0), next(starts, Fate.AT_ONCE), lateStarts);
        }
        while (o.stops < port.stops.size()) {
            StopOrder s = port.stops.get(o.stops++);
            send(call(o, s, s.worker().id(), 0), next(stops, otherStops), lateStops);
        }
        while (o.holds < port.holds.size()) {
            HoldOrder h = port.holds.get(o.holds++);
            Call c = call(o, h, h.worker().id(), h.waitMillis());
            Fate f = next(holds, Fate.AT_ONCE);
            if (f == Fate.LATE) {
                lateHolds.add(c);
            } else if (f == Fate.ANSWER_LOST && !c.worker.cut) {
                execute(c);
            } else if (f == Fate.AT_ONCE && !c.worker.cut) {
                execute(c);
                if (c.open) {
                    waitingHolds.add(c);
                }
            }
        }
    }

    private static Fate next(Deque<Fate> fates, Fate otherwise) {
        Fate f = fates.poll();
        return f == null ? otherwise : f;
    }

    private Call call(Owner o, Object order, String worker, long waitMillis) {
        ScriptedWorker to =
                workers.stream().filter(w -> w.id.equals(worker)).findFirst().orElseThrow();
        Call c = new Call(o, order, to, now, waitMillis);
        calls.add(c);
        return c;
    }

    private void send(Call c, Fate f, List<Call> late) {
        if (f == Fate.LATE || f == Fate.ANSWER_LATE) {
            late.add(c);
        }
        if (f != Fate.LATE && f != Fate.LOST && !c.worker.cut) {
            execute(c);
            if (f == Fate.AT_ONCE) {
                answer(c);
            }
        }
    }

    private void execute(Call c) {
        long token = fenceOf(c.order);
        c.clock = OptionalLong.of(c.worker.clock());
        if (c.order instanceof StartOrder s) {
            c.outcome = c.worker.start(s, token);
        } else if (c.order instanceof StopOrder s) {
            c.outcome = c.worker.stop(s, token);
        } else if (c.order instanceof HoldOrder h && !c.worker.hold(h, token)) {
            complete(c, OrderOutcome.FENCED);
        }
    }

    private void answerHold(Call c) {
        HoldOrder h = (HoldOrder) c.order;
        if (!c.open || c.worker.incarnation != c.incarnation || c.worker.cut) {
            waitingHolds.remove(c);
        } else if (now >= c.sentAt + h.waitMillis() || c.worker.hasEnds()) {
            waitingHolds.remove(c);
            c.open = false;
            c.owner.driver.scheduler.onHoldAnswered(h, c.localSentAt, c.worker.lists());
        }
    }

    private static void complete(Call c, OrderOutcome outcome) {
        c.open = false;
        ServiceScheduler scheduler = c.owner.driver.scheduler;
        if (c.order instanceof StartOrder s) {
            scheduler.onStarted(s, outcome, outcome.isSilence() ? OptionalLong.empty() : c.clock);
        } else if (c.order instanceof StopOrder s) {
            scheduler.onStopped(s, outcome);
        } else if (c.order instanceof HoldOrder h) {
            scheduler.onHoldFailed(h, outcome);
        }
    }
}
