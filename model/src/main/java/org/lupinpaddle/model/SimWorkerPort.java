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
package org.lupinpaddle.model;

import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;
import java.util.function.BiPredicate;
import org.lupinpaddle.core.placement.WorkerFacts;
import org.lupinpaddle.core.run.HoldOrder;
import org.lupinpaddle.core.run.OrderOutcome;
import org.lupinpaddle.core.run.PaceOrder;
import org.lupinpaddle.core.run.StartOrder;
import org.lupinpaddle.core.run.StopOrder;
import org.lupinpaddle.daemon.port.HoldResult;
import org.lupinpaddle.daemon.port.StartResult;
import org.lupinpaddle.daemon.port.WorkerOrders;

/** An entry's client for the workers. */
final class SimWorkerPort implements WorkerOrders {

    private static final long CALL_TIMEOUT_MILLIS = 500;
    // A worker that has restarted under its id cannot refuse an order to its predecessor before an owner has reached it
    // and closed the earlier runs. Some late orders that arrive earlier are dropped, because no owner could keep the
    // rules with them.
    private static final long REFUSABLE_AFTER_MILLIS = 1_000;

    private final World world;
    private final String entry;
    private final String hall;
    private final Link out;
    private final Link in;

    /**
     * How an order is executed.
     *
     * @param fence the fencing token of the owner
     * @param late whether it takes effect seconds after the caller's timeout
     */
    private record Execution(long fence, boolean late) {}

    SimWorkerPort(World world, String entry, String hall, Link out, Link in) {
        this.world = world;
        this.entry = entry;
        this.hall = hall;
        this.out = out;
        this.in = in;
    }

    private long effective(long fence, WorkerFacts worker) {
        return switch (world.sabotage) {
            case NO_FENCES -> 1;
            case FENCES_NOT_RAISED -> unraised(fence, world.fence(worker.service()));
            default -> fence;
        };
    }

    /** Returns the token of the write that acquired the service if the order is from its present owner. */
    private static long unraised(long fence, long ownersFence) {
        return ownersFence == 0 ? fence : Math.min(fence, ownersFence);
    }

    private HoldOrder effective(HoldOrder o) {
        return world.sabotage == Sabotage.ENDS_FORGOTTEN_EARLY
                ? new HoldOrder(o.worker(), o.deadlineMillis(), Long.MAX_VALUE, o.waitMillis(), o.fence())
                : o;
    }

    @Override
    public CompletableFuture<StartResult> start(StartOrder o) {
        if (world.sabotage == Sabotage.LIMITED_TASKS_REFUSED && isLimited(o)) {
            return CompletableFuture.completedFuture(StartResult.withoutClock(OrderOutcome.UNHEALTHY));
        }
        world.restartCuts().ifPresent(r -> r.onStart(o.worker().id()));
        SimWorker target = world.fleet.workerAt(o.worker().address());
        if (target != null && target.isUp() && target.id().equals(o.worker().id())) {
            world.ownerChains().ifPresent(c -> c.onStart(o.jobId(), target));
        }
        long sentAt = world.time.now();
        OptionalLong[] clock = {OptionalLong.empty()};
        BiFunction<SimWorker, Execution, OrderOutcome> action = (w, c) -> {
            clock[0] = OptionalLong.of(clockInStartAnswer(w));
            return mayStart(o) ? w.start(o, c.fence, new Rules.Sender(entry, sentAt, c.late)) : OrderOutcome.NO_TICKET;
        };
        BiPredicate<SimWorker, SimWorker> executesFirst =
                (w, addressed) -> world.hasLateFirstStarts() && w.wouldBeginFirst(o, addressed);
        return order(o.worker(), WireBytes.of(o), action, effective(o.fence(), o.worker()), executesFirst)
                .thenApply(outcome ->
                        outcome.isSilence() ? StartResult.withoutClock(outcome) : new StartResult(outcome, clock[0]));
    }

    private long clockInStartAnswer(SimWorker w) {
        return world.sabotage == Sabotage.RESTART_HIDDEN_FROM_STARTS && !w.hasAnsweredFor(0)
                ? world.restartCuts().map(r -> r.formerClock(w)).orElse(w.clock())
                : w.clock();
    }

    private boolean mayStart(StartOrder o) {
        return world.advice().map(a -> a.allows(o)).orElse(true);
    }

    private boolean isLimited(StartOrder o) {
        Rules.TrackedJob job = world.rules.job(o.jobId());
        return job != null
                && !job.isLongRunning()
                && world.workspaces().filter(w -> w.limits(job.workspace)).isPresent();
    }

    @Override
    public CompletableFuture<OrderOutcome> stop(StopOrder o) {
        return order(
                o.worker(), WireBytes.OVERHEAD_BYTES, (w, c) -> w.stop(o, c.fence), effective(o.fence(), o.worker()));
    }

    @Override
    public CompletableFuture<OrderOutcome> pace(PaceOrder o) {
        // Simulated tasks do not interfere with each other, so pacing has no effect.
        return order(o.worker(), WireBytes.OVERHEAD_BYTES, (w, c) -> OrderOutcome.ACCEPTED, o.fence());
    }

    private CompletableFuture<OrderOutcome> order(
            WorkerFacts to, long bytes, BiFunction<SimWorker, Execution, OrderOutcome> action, long fence) {
        return order(to, bytes, action, fence, (w, addressed) -> false);
    }

    /**
     * Sends an order.
     *
     * @param executesFirst whether a worker executes it late before any order that was sent to itself, given the worker
     *     that the order was sent to
     */
    private CompletableFuture<OrderOutcome> order(
            WorkerFacts to,
            long bytes,
            BiFunction<SimWorker, Execution, OrderOutcome> action,
            long fence,
            BiPredicate<SimWorker, SimWorker> executesFirst) {
        CompletableFuture<OrderOutcome> future = new CompletableFuture<>();
        SimWorker w = world.fleet.workerAt(to.address());
        if (w == null) {
            // A worker that is down does not answer here; a refused connection is the easier case.
            world.time.schedule(CALL_TIMEOUT_MILLIS, () -> future.complete(OrderOutcome.UNKNOWN));
            return future;
        }
        CallFault fault = world.net.faultToWorker(hall, w, true);
        out.transfer(bytes, () -> !future.isDone(), () -> arrive(w, to, action, fence, executesFirst, fault, future));
        world.time.schedule(CALL_TIMEOUT_MILLIS, () -> {
            if (future.complete(OrderOutcome.UNKNOWN)) {
                world.lapseCheck().onCallFailed(w);
            }
        });
        return future;
    }

    private void arrive(
            SimWorker w,
            WorkerFacts to,
            BiFunction<SimWorker, Execution, OrderOutcome> action,
            long fence,
            BiPredicate<SimWorker, SimWorker> executesFirst,
            CallFault fault,
            CompletableFuture<OrderOutcome> future) {
        if (fault == CallFault.NONE) {
            world.net.deliver(world.net.latency(), () -> {
                OrderOutcome o = execute(w, to, action, new Execution(fence, false));
                if (o != OrderOutcome.UNKNOWN && world.net.faultToWorker(hall, w, false) == CallFault.NONE) {
                    world.net.deliver(
                            world.net.latency(),
                            () -> in.transfer(
                                    WireBytes.OVERHEAD_BYTES, () -> !future.isDone(), () -> future.complete(o)));
                }
            });
        } else if (fault == CallFault.LATE) {
            world.net.deliver(world.net.lateDelay(), () -> {
                // The order reaches the worker that has the address by then; a worker that has restarted under its id
                // takes the order for its own.
                SimWorker current = world.fleet.workerAt(to.address());
                if (current != null
                        && (current == w
                                || current.hasAnsweredFor(REFUSABLE_AFTER_MILLIS)
                                || executesFirst.test(current, w))) {
                    execute(current, to, action, new Execution(fence, true));
                }
            });
        }
    }

    private static OrderOutcome execute(
            SimWorker w, WorkerFacts to, BiFunction<SimWorker, Execution, OrderOutcome> action, Execution execution) {
        if (!w.isUp()) {
            return OrderOutcome.UNKNOWN;
        }
        return w.id().equals(to.id()) ? action.apply(w, execution) : OrderOutcome.OTHER_LIFE;
    }

    @Override
    public CompletableFuture<HoldResult> hold(HoldOrder o) {
        CompletableFuture<HoldResult> future = new CompletableFuture<>();
        SimWorker w = world.fleet.workerAt(o.worker().address());
        if (w != null && world.lateHolds().filter(l -> l.delaysNext(w)).isPresent()) {
            executeLate(w, effective(o), effective(o.fence(), o.worker()));
        } else if (w != null && world.net.faultToWorker(hall, w, false) == CallFault.NONE) {
            out.transfer(
                    WireBytes.OVERHEAD_BYTES,
                    () -> !future.isDone(),
                    () -> world.net.deliver(
                            world.net.latency(),
                            () -> arrive(w, effective(o), effective(o.fence(), o.worker()), future)));
        }
        world.time.schedule(o.waitMillis() + CALL_TIMEOUT_MILLIS, () -> {
            if (future.complete(new HoldResult(OrderOutcome.UNKNOWN, null)) && w != null) {
                world.lapseCheck().onCallFailed(w);
            }
        });
        return future;
    }

    private void executeLate(SimWorker addressed, HoldOrder o, long fence) {
        long delay = world.lateHolds().orElseThrow().delayMillis();
        world.net.deliver(delay, () -> {
            SimWorker w = world.fleet.workerAt(o.worker().address());
            boolean arrives = w != null && (w == addressed || w.hasAnsweredFor(REFUSABLE_AFTER_MILLIS));
            if (w != null && arrives && w.isUp() && w.id().equals(o.worker().id())) {
                w.hold(o, fence, answer -> {}, () -> {});
            }
        });
    }

    private void arrive(SimWorker w, HoldOrder o, long fence, CompletableFuture<HoldResult> future) {
        if (!w.isUp()) {
            return;
        }
        if (!w.id().equals(o.worker().id())) {
            reply(w, future, new HoldResult(OrderOutcome.OTHER_LIFE, null));
            return;
        }
        w.hold(
                o,
                fence,
                a -> reply(w, future, new HoldResult(OrderOutcome.ACCEPTED, a)),
                () -> reply(w, future, new HoldResult(OrderOutcome.FENCED, null)));
    }

    private void reply(SimWorker w, CompletableFuture<HoldResult> future, HoldResult r) {
        if (world.net.faultToWorker(hall, w, false) == CallFault.NONE) {
            world.net.deliver(
                    world.net.latency(),
                    () -> in.transfer(WireBytes.of(r), () -> !future.isDone(), () -> future.complete(r)));
        }
    }
}
