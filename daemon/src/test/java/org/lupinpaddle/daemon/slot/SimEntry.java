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
package org.lupinpaddle.daemon.slot;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.request.AttemptOutcome;
import org.lupinpaddle.core.request.CallerRequest;
import org.lupinpaddle.core.request.GiveUpReason;
import org.lupinpaddle.core.request.RequestAction;
import org.lupinpaddle.core.request.RequestEvent;
import org.lupinpaddle.core.request.RequestMachine;
import org.lupinpaddle.core.request.RetryBudget;
import org.lupinpaddle.core.slot.SlotClient;
import org.lupinpaddle.core.slot.SlotMessage;
import org.lupinpaddle.core.slot.SlotMessage.Grant;
import org.lupinpaddle.core.slot.SlotMessage.Outgoing;
import org.lupinpaddle.core.slot.SlotOwner;

/** A simulated entry: the real request machines, desk and owner on virtual time, or the baseline policy instead. */
final class SimEntry {

    private static final String SERVICE = "clips";
    private static final int QUEUE_CAPACITY = 400;
    private static final long RETRY_MILLIS = 50;

    final String id;
    final String hall;
    boolean frozen;
    boolean dead;
    final SlotOwner owner;
    private final SimFleet fleet;
    private final SlotClient desk;
    private final RetryBudget retries = new RetryBudget();
    private final Map<Long, Run> pendingAsks = new HashMap<>();
    private final List<Runnable> inbox = new ArrayList<>();
    private final Map<String, Integer> inFlight = new HashMap<>();
    private final TreeSet<Run> queue =
            new TreeSet<>(Comparator.<Run>comparingLong(r -> r.job.urgency.orderTime(r.askedAt))
                    .thenComparingLong(r -> r.number));
    private long nextNumber;
    private boolean retryScheduled;

    SimEntry(String id, String hall, SimFleet fleet) {
        this.id = id;
        this.hall = hall;
        this.fleet = fleet;
        this.desk = new SlotClient(id, hall);
        this.owner = new SlotOwner(SERVICE, QUEUE_CAPACITY, fleet.random);
    }

    /** One submission of a job to this entry. */
    private final class Run {
        private final SimJob job;
        private final CallerRequest request;
        private final RequestMachine machine;
        private final long number = nextNumber++;
        private long askedAt;
        private long ask;
        private int attempts;
        private boolean lastFailed;
        private boolean sendAgain;
        private String worker = "";
        private RequestAction.@Nullable Send sending;

        private Run(SimJob job, long deadlineMillis) {
            this.job = job;
            long now = fleet.time.now();
            request = CallerRequest.builder(id + number, SERVICE)
                    .urgency(job.urgency)
                    .times(now, now + deadlineMillis)
                    .repeatable(job.repeatable)
                    .build();
            machine = new RequestMachine(request, retries);
        }

        private void onEvent(RequestEvent e) {
            if (dead) {
                return;
            }
            machine.onEvent(e, fleet.time.now()).forEach(this::execute);
        }

        private void execute(RequestAction a) {
            if (a instanceof RequestAction.RequestSlot s) {
                askedAt = fleet.time.now();
                askSlot(s);
            } else if (a instanceof RequestAction.CancelSlotRequest) {
                queue.remove(this);
                route(desk.cancel(ask));
            } else if (a instanceof RequestAction.Send s) {
                send(s);
            } else if (a instanceof RequestAction.ReleaseSlot r) {
                release(r);
            } else if (a instanceof RequestAction.ForwardResponse) {
                fleet.onAnswer(job, attempts, !lastFailed);
            } else if (a instanceof RequestAction.GiveUp g) {
                fleet.onGiveUp(job, attempts, g);
            }
        }

        private void askSlot(RequestAction.RequestSlot s) {
            if (fleet.policy == SimPolicy.TWO_CHOICES) {
                if (queue.size() >= job.urgency.queueLimit(QUEUE_CAPACITY)) {
                    fleet.time.after(0, () -> onEvent(new RequestEvent.SlotRefused(GiveUpReason.SHED, 2_000)));
                } else {
                    queue.add(this);
                    fleet.time.after(0, SimEntry.this::serveQueue);
                }
                return;
            }
            List<Outgoing> out = new ArrayList<>();
            ask = desk.ask(
                    new SlotClient.SlotRequest(
                            SERVICE, job.urgency, request.arrival(), request.deadline(), s.excludedWorkers(), 0),
                    fleet.time.now(),
                    out);
            pendingAsks.put(ask, this);
            route(out);
        }

        private void send(RequestAction.Send s) {
            sending = s;
            sendTo(s, s.worker());
        }

        private void sendTo(RequestAction.Send s, String worker) {
            SimWorker w = fleet.worker(worker);
            attempts++;
            fleet.statistics.attempts++;
            long started = fleet.time.now() - job.createdAt;
            Runnable startRun =
                    () -> w.run(job, o -> fleet.time.after(1, () -> deliver(() -> onAttemptEnded(s, o, started))));
            if (fleet.isCut(hall, w.hall)) {
                fleet.time.after(500, () -> deliver(() -> onAttemptEnded(s, AttemptOutcome.NOT_SENT, started)));
            } else {
                fleet.time.after(1, startRun);
            }
        }

        private void onAttemptEnded(RequestAction.Send s, AttemptOutcome o, long started) {
            lastFailed = o == AttemptOutcome.FAILED;
            if (o == AttemptOutcome.REFUSED_FULL) {
                fleet.statistics.refusals++;
                if (fleet.policy == SimPolicy.TWO_CHOICES && !machine.isAnswered()) {
                    // The baseline expects refusals: refused jobs return to its queue and do not count as retries.
                    inFlight.merge(worker, -1, Integer::sum);
                    sendAgain = true;
                    queue.add(this);
                    scheduleRetry();
                    return;
                }
            } else if (o != AttemptOutcome.NOT_SENT) {
                fleet.statistics.recordWait(job.urgency, started);
            }
            onEvent(new RequestEvent.AttemptEnded(s.attempt(), o));
        }

        private void onGranted(String grantedWorker) {
            RequestAction.Send s = sending;
            worker = grantedWorker;
            if (!sendAgain || s == null) {
                onEvent(new RequestEvent.SlotGranted(nextNumber++, grantedWorker));
            } else if (machine.isAnswered()) {
                onEvent(new RequestEvent.AttemptEnded(s.attempt(), AttemptOutcome.UNUSED));
            } else {
                sendAgain = false;
                sendTo(s, grantedWorker);
            }
        }

        private void release(RequestAction.ReleaseSlot r) {
            if (fleet.policy == SimPolicy.TWO_CHOICES) {
                inFlight.merge(worker, -1, Integer::sum);
                long wait = r.outcome() == AttemptOutcome.REFUSED_FULL ? RETRY_MILLIS : 0;
                fleet.time.after(wait, SimEntry.this::serveQueue);
            } else {
                route(desk.release(SERVICE, new Grant(r.grant(), r.worker()), r.outcome(), fleet.time.now()));
            }
        }
    }

    /** Accepts a job from a caller. */
    void accept(SimJob job, long deadlineMillis) {
        deliver(() -> {
            Run r = new Run(job, deadlineMillis);
            r.onEvent(new RequestEvent.Arrived());
            fleet.time.after(deadlineMillis, () -> deliver(() -> r.onEvent(new RequestEvent.DeadlinePassed())));
        });
    }

    /** Runs a task on this entry, or defers it while the entry is frozen; a dead entry drops it. */
    void deliver(Runnable task) {
        if (dead) {
            return;
        }
        if (frozen) {
            inbox.add(task);
        } else {
            task.run();
        }
    }

    void unfreeze() {
        frozen = false;
        List<Runnable> delayed = List.copyOf(inbox);
        inbox.clear();
        delayed.forEach(Runnable::run);
    }

    void reachable(List<String> entries, List<String> unreachable) {
        long now = fleet.time.now();
        unreachable.forEach(g -> route(owner.onEntryGone(g, now)));
        route(desk.onReachable(entries, now));
    }

    void tick() {
        route(desk.onTick(fleet.time.now()));
        route(owner.onTick(fleet.time.now()));
    }

    private void serveQueue() {
        for (Run r = queue.pollFirst(); r != null; r = queue.pollFirst()) {
            String w = lessBusyOfTwo();
            if (inFlight.getOrDefault(w, 0) >= SimWorker.SLOTS) {
                queue.add(r);
                scheduleRetry();
                return;
            }
            inFlight.merge(w, 1, Integer::sum);
            r.onGranted(w);
        }
    }

    private void scheduleRetry() {
        if (!retryScheduled) {
            retryScheduled = true;
            fleet.time.after(RETRY_MILLIS, () -> {
                retryScheduled = false;
                serveQueue();
            });
        }
    }

    private String lessBusyOfTwo() {
        List<SimWorker> all = fleet.workers();
        String a = all.get(fleet.random.nextInt(all.size())).id;
        String b = all.get(fleet.random.nextInt(all.size())).id;
        return inFlight.getOrDefault(a, 0) <= inFlight.getOrDefault(b, 0) ? a : b;
    }

    void route(List<Outgoing> out) {
        for (Outgoing o : out) {
            if (o.to().equals(id)) {
                fleet.time.after(0, () -> deliver(() -> handle(id, o.message())));
            } else {
                fleet.transmit(id, o);
            }
        }
    }

    void handle(String from, SlotMessage message) {
        long now = fleet.time.now();
        if (message instanceof SlotMessage.Ask m) {
            route(owner.onAsk(from, m, now));
        } else if (message instanceof SlotMessage.Cancel m) {
            owner.onCancel(from, m.ask());
        } else if (message instanceof SlotMessage.Release m) {
            route(owner.onRelease(m, now));
        } else if (message instanceof SlotMessage.InUse m) {
            route(owner.onInUse(from, m, now));
        } else {
            List<SlotClient.Reply> replies = new ArrayList<>();
            route(desk.onMessage(from, message, replies));
            replies.forEach(this::reply);
        }
    }

    private void reply(SlotClient.Reply reply) {
        Run r = pendingAsks.remove(reply.ask());
        if (r == null) {
            return;
        }
        if (reply instanceof SlotClient.Reply.Slot s) {
            r.onEvent(new RequestEvent.SlotGranted(s.grant().id(), s.grant().worker()));
        } else if (reply instanceof SlotClient.Reply.NoSlot n) {
            r.onEvent(new RequestEvent.SlotRefused(n.reason(), n.retryAfterMillis()));
        }
    }
}
