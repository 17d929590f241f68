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

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Function;
import org.lupinpaddle.core.common.Clock;
import org.lupinpaddle.core.request.AttemptOutcome;
import org.lupinpaddle.core.slot.SlotDesk;
import org.lupinpaddle.core.slot.SlotMessage;
import org.lupinpaddle.core.slot.SlotMessage.Grant;
import org.lupinpaddle.core.slot.SlotMessage.Outgoing;
import org.lupinpaddle.core.slot.SlotOwner;
import org.lupinpaddle.core.slot.WorkerInfo;
import org.lupinpaddle.daemon.peer.proto.Frame;

/**
 * Carries the slots' decisions: this entry's desk, and the owners of those services whose slots this entry
 * is asked for. Messages to this entry itself take the same way as those to others, without the wire.
 */
public final class SlotHost {

    private final String self;
    private final int queueCapacity;
    private final Clock clock;
    private final MetricRegistry metrics;
    private final Function<String, List<WorkerInfo>> workersByService;
    private final BiConsumer<String, Frame> sender;
    private final SlotDesk desk;
    private final SplittableRandom random = new SplittableRandom();
    private final Map<String, SlotOwner> owners = new TreeMap<>();
    private final Map<Long, SlotReplyListener> pendingAsks = new HashMap<>();
    private final Deque<Outgoing> outbox = new ArrayDeque<>();
    private Set<String> reachable = Set.of();
    private boolean delivering;

    /**
     * Makes the host of an entry.
     *
     * @param workersByService gives the workers of a service as now known
     * @param sender sends a frame to another entry
     */
    public SlotHost(
            String self,
            String hall,
            int queueCapacity,
            Clock clock,
            MetricRegistry metrics,
            Function<String, List<WorkerInfo>> workersByService,
            BiConsumer<String, Frame> sender) {
        this.self = self;
        this.queueCapacity = queueCapacity;
        this.clock = clock;
        this.metrics = metrics;
        this.workersByService = workersByService;
        this.sender = sender;
        this.desk = new SlotDesk(self, hall);
    }

    /** Asks for a slot and returns the ask's number; the reply comes later, or at once from within. */
    public long ask(SlotDesk.Need need, SlotReplyListener listener) {
        List<Outgoing> out = new ArrayList<>();
        long ask = desk.ask(need, clock.millis(), out);
        pendingAsks.put(ask, listener);
        deliver(out);
        return ask;
    }

    /** Takes an ask back; its reply does not come any more. */
    public void cancel(long ask) {
        pendingAsks.remove(ask);
        deliver(desk.cancel(ask));
    }

    /** Gives a grant back. */
    public void release(String service, Grant grant, AttemptOutcome outcome) {
        metrics.counter("attempts." + outcome.name().toLowerCase(java.util.Locale.ROOT))
                .inc();
        deliver(desk.release(service, grant, outcome, clock.millis()));
    }

    /** Takes a frame of another entry; returns whether it was about slots. */
    public boolean onFrame(String from, Frame frame) {
        SlotMessage message = SlotFrames.decode(frame);
        if (message == null) {
            return false;
        }
        handle(from, message);
        return true;
    }

    /** Takes the entries of the region that are reachable and serve. */
    public void onReachable(Set<String> entries) {
        long now = clock.millis();
        Set<String> unreachable = new HashSet<>(reachable);
        unreachable.removeAll(entries);
        reachable = Set.copyOf(entries);
        for (String entry : unreachable) {
            owners.values().forEach(owner -> deliver(owner.onEntryGone(entry, now)));
        }
        deliver(desk.onReachable(entries, now));
    }

    /** Tells the owners of the workers as now known. */
    public void onWorkersChanged() {
        long now = clock.millis();
        owners.forEach((service, owner) -> deliver(owner.onWorkers(workersByService.apply(service), now)));
    }

    /** Lets time pass. */
    public void onTick() {
        long now = clock.millis();
        deliver(desk.onTick(now));
        owners.values().forEach(owner -> deliver(owner.onTick(now)));
    }

    /** Returns the workers that this entry has ejected as owner, by service. */
    public Map<String, List<String>> ejected() {
        Map<String, List<String>> all = new TreeMap<>();
        owners.forEach((service, owner) -> all.put(service, owner.ejected()));
        all.values().removeIf(List::isEmpty);
        return all;
    }

    /** Returns how many asks wait in the queues that this entry owns. */
    public int queueLength() {
        return owners.values().stream().mapToInt(SlotOwner::queueLength).sum();
    }

    /** Returns how many grants are out of the owners on this entry. */
    public int grantsInUse() {
        return owners.values().stream().mapToInt(SlotOwner::grantsInUse).sum();
    }

    private void handle(String from, SlotMessage message) {
        long now = clock.millis();
        if (message instanceof SlotMessage.Ask m) {
            deliver(owner(m.service()).onAsk(from, m, now));
        } else if (message instanceof SlotMessage.Cancel m) {
            owner(m.service()).onCancel(from, m.ask());
        } else if (message instanceof SlotMessage.Release m) {
            deliver(owner(m.service()).onRelease(m, now));
        } else if (message instanceof SlotMessage.InUse m) {
            deliver(owner(m.service()).onInUse(from, m, now));
        } else {
            List<SlotDesk.Reply> replies = new ArrayList<>();
            deliver(desk.onMessage(from, message, replies));
            replies.forEach(this::reply);
        }
    }

    private void reply(SlotDesk.Reply reply) {
        SlotReplyListener listener = pendingAsks.remove(reply.ask());
        if (listener != null) {
            listener.onReply(reply);
        } else if (reply instanceof SlotDesk.Reply.Slot) {
            throw new IllegalStateException("a slot for an ask that nobody waits for: " + reply.ask());
        }
    }

    private SlotOwner owner(String service) {
        return owners.computeIfAbsent(service, s -> {
            SlotOwner owner = new SlotOwner(s, queueCapacity, random);
            owner.onWorkers(workersByService.apply(s), clock.millis());
            return owner;
        });
    }

    // Messages to this entry itself may cause more of them: they are taken in turn, not nested.
    private void deliver(List<Outgoing> messages) {
        outbox.addAll(messages);
        if (delivering) {
            return;
        }
        delivering = true;
        try {
            for (Outgoing outgoing = outbox.poll(); outgoing != null; outgoing = outbox.poll()) {
                if (outgoing.to().equals(self)) {
                    handle(self, outgoing.message());
                } else {
                    sender.accept(outgoing.to(), SlotFrames.encode(outgoing.message()));
                }
            }
        } finally {
            delivering = false;
        }
    }
}
