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
import org.lupinpaddle.core.slot.SlotClient;
import org.lupinpaddle.core.slot.SlotMessage;
import org.lupinpaddle.core.slot.SlotMessage.Grant;
import org.lupinpaddle.core.slot.SlotMessage.Outgoing;
import org.lupinpaddle.core.slot.SlotOwner;
import org.lupinpaddle.core.slot.WorkerInfo;
import org.lupinpaddle.daemon.peer.proto.Frame;

/**
 * Runs the slot logic of an entry: its desk, which asks for slots, and the owners of the services whose slots this entry
 * grants. Messages to this entry itself are handled like those to other entries, but without being encoded.
 */
public final class SlotHost {

    private final String self;
    private final int queueCapacity;
    private final Clock clock;
    private final MetricRegistry metrics;
    private final Function<String, List<WorkerInfo>> workersByService;
    private final BiConsumer<String, Frame> sender;
    private final SlotClient desk;
    private final SplittableRandom random = new SplittableRandom();
    private final Map<String, SlotOwner> owners = new TreeMap<>();
    private final Map<Long, SlotReplyListener> pendingAsks = new HashMap<>();
    private final Deque<Outgoing> outbox = new ArrayDeque<>();
    private Set<String> reachable = Set.of();
    private boolean delivering;

    /**
     * Creates the host of an entry.
     *
     * @param workersByService returns the currently known workers of a service
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
        this.desk = new SlotClient(self, hall);
    }

    /** Asks for a slot and returns the number of the ask; the listener may be called before this method returns. */
    public long ask(SlotClient.SlotRequest need, SlotReplyListener listener) {
        List<Outgoing> out = new ArrayList<>();
        long ask = desk.ask(need, clock.millis(), out);
        pendingAsks.put(ask, listener);
        deliver(out);
        return ask;
    }

    /** Cancels an ask; its listener is not called any more. */
    public void cancel(long ask) {
        pendingAsks.remove(ask);
        deliver(desk.cancel(ask));
    }

    /** Releases a granted slot and reports the outcome of the attempt that used it. */
    public void release(String service, Grant grant, AttemptOutcome outcome) {
        metrics.counter("attempts." + outcome.name().toLowerCase(java.util.Locale.ROOT))
                .inc();
        deliver(desk.release(service, grant, outcome, clock.millis()));
    }

    /** Handles a frame from another entry; returns false if it is not a slot message. */
    public boolean onFrame(String from, Frame frame) {
        SlotMessage message = SlotFrames.decode(frame);
        if (message == null) {
            return false;
        }
        handle(from, message);
        return true;
    }

    /** Updates the set of entries in the region that are reachable and serving. */
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

    /** Passes the currently known workers to the owners. */
    public void onWorkersChanged() {
        long now = clock.millis();
        owners.forEach((service, owner) -> deliver(owner.onWorkers(workersByService.apply(service), now)));
    }

    /** Runs the time-dependent steps of the desk and the owners. */
    public void onTick() {
        long now = clock.millis();
        deliver(desk.onTick(now));
        owners.values().forEach(owner -> deliver(owner.onTick(now)));
    }

    /** Returns the workers that the owners on this entry have ejected, by service. */
    public Map<String, List<String>> ejected() {
        Map<String, List<String>> all = new TreeMap<>();
        owners.forEach((service, owner) -> all.put(service, owner.ejected()));
        all.values().removeIf(List::isEmpty);
        return all;
    }

    /** Returns the number of asks in the queues of the owners on this entry. */
    public int queueLength() {
        return owners.values().stream().mapToInt(SlotOwner::queueLength).sum();
    }

    /** Returns the number of grants in use that the owners on this entry have given. */
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
            List<SlotClient.Reply> replies = new ArrayList<>();
            deliver(desk.onMessage(from, message, replies));
            replies.forEach(this::reply);
        }
    }

    private void reply(SlotClient.Reply reply) {
        SlotReplyListener listener = pendingAsks.remove(reply.ask());
        if (listener != null) {
            listener.onReply(reply);
        } else if (reply instanceof SlotClient.Reply.Slot) {
            throw new IllegalStateException("slot granted for an unknown ask: " + reply.ask());
        }
    }

    private SlotOwner owner(String service) {
        return owners.computeIfAbsent(service, s -> {
            SlotOwner owner = new SlotOwner(s, queueCapacity, random);
            owner.onWorkers(workersByService.apply(s), clock.millis());
            return owner;
        });
    }

    // Handling a message to this entry itself may produce further messages; the queue avoids nested handling.
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
