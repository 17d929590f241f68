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
package org.lupinpaddle.core.slot;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.lupinpaddle.core.common.RendezvousHash;
import org.lupinpaddle.core.common.Urgency;
import org.lupinpaddle.core.request.AttemptOutcome;
import org.lupinpaddle.core.request.GiveUpReason;
import org.lupinpaddle.core.slot.SlotMessage.Ask;
import org.lupinpaddle.core.slot.SlotMessage.Cancel;
import org.lupinpaddle.core.slot.SlotMessage.Grant;
import org.lupinpaddle.core.slot.SlotMessage.InUse;
import org.lupinpaddle.core.slot.SlotMessage.Outgoing;
import org.lupinpaddle.core.slot.SlotMessage.Release;

/**
 * Requests slots on behalf of an entry. Finds the owner of each service's slots among the reachable entries, asks
 * it, and moves on to the next one if the owner is gone or does not answer. A new owner is told of the grants in
 * use, so that it does not grant the same slots twice.
 */
public final class SlotClient {

    // Owners in the same region answer within a few milliseconds.
    private static final long ANSWER_TIMEOUT_MILLIS = 300;
    private static final long SUSPICION_MILLIS = 3_000;
    // Recovers asks and grants that were lost with a connection.
    private static final long RESEND_MILLIS = 2_000;
    private static final long REPORT_INTERVAL_MILLIS = 5_000;

    private final String self;
    private final String hall;
    private final Set<String> reachable = new TreeSet<>();
    private final Map<String, Long> suspectUntil = new HashMap<>();
    private final Map<String, String> ownerByService = new HashMap<>();
    private final Set<String> servicesToReport = new TreeSet<>();
    private final Map<Long, Pending> pending = new TreeMap<>();
    private final Map<Long, HeldGrant> grants = new HashMap<>();
    private long lastAskId;
    private long lastReportMillis;

    /** Creates the client of an entry in a data hall. */
    public SlotClient(String self, String hall) {
        this.self = self;
        this.hall = hall;
        reachable.add(self);
    }

    /** The requirements of a request for a slot. */
    public record SlotRequest(
            String service, Urgency urgency, long arrival, long deadline, Set<String> avoid, int memoryMb) {}

    /** A reply to the request that asked for a slot. */
    public sealed interface Reply {
        /** Returns the number returned by {@link #ask}. */
        long ask();

        /** The slot was granted. */
        record Slot(long ask, Grant grant) implements Reply {}

        /** No slot will be granted. */
        record NoSlot(long ask, GiveUpReason reason, long retryAfterMillis) implements Reply {}
    }

    /** Sets the reachable entries, excluding this one. */
    public List<Outgoing> onReachable(Collection<String> entries, long now) {
        Set<String> next = new TreeSet<>(entries);
        next.add(self);
        if (next.equals(reachable)) {
            return List.of();
        }
        reachable.clear();
        reachable.addAll(next);
        return reassignPending(now);
    }

    /** Asks for a slot and adds the message to {@code out}; returns the number of the ask. */
    public long ask(SlotRequest request, long now, List<Outgoing> out) {
        long ask = ++lastAskId;
        Pending p = new Pending(request);
        pending.put(ask, p);
        send(ask, p, now, out);
        return ask;
    }

    private void send(long ask, Pending p, long now, List<Outgoing> out) {
        SlotRequest n = p.request;
        p.owner = ownerOf(n.service(), now, out);
        p.answered = false;
        p.sentAt = now;
        servicesToReport.add(n.service());
        long waited = now - n.arrival();
        long remaining = n.deadline() - now;
        Ask message = new Ask(n.service(), ask, n.urgency(), waited, remaining, hall, n.avoid(), n.memoryMb());
        out.add(new Outgoing(p.owner, message));
    }

    /** Cancels an ask. */
    public List<Outgoing> cancel(long ask) {
        Pending p = pending.remove(ask);
        return p == null ? List.of() : List.of(new Outgoing(p.owner, new Cancel(p.request.service(), ask)));
    }

    /**
     * Releases a grant to the owner that gave it and, if another owner has been told of it, to that one as well.
     */
    public List<Outgoing> release(String service, Grant grant, AttemptOutcome outcome, long now) {
        HeldGrant heldGrant = grants.remove(grant.id());
        List<Outgoing> out = new ArrayList<>();
        String owner = ownerOf(service, now, out);
        Release release = new Release(service, grant.id(), grant.worker(), outcome);
        out.add(new Outgoing(owner, release));
        if (heldGrant != null && !heldGrant.granter.equals(owner)) {
            out.add(new Outgoing(heldGrant.granter, release));
        }
        return out;
    }

    /**
     * Handles a message from an owner. Adds replies for requests to {@code replies} and returns messages to send.
     */
    public List<Outgoing> onMessage(String from, SlotMessage message, List<Reply> replies) {
        if (message instanceof SlotMessage.Queued m) {
            Pending p = pending.get(m.ask());
            if (p != null && p.owner.equals(from)) {
                p.answered = true;
            }
        } else if (message instanceof SlotMessage.Granted m) {
            return onGranted(from, m, replies);
        } else if (message instanceof SlotMessage.Refused m) {
            Pending p = pending.get(m.ask());
            if (p != null && p.owner.equals(from)) {
                pending.remove(m.ask());
                replies.add(new Reply.NoSlot(m.ask(), m.reason(), m.retryAfterMillis()));
            }
        }
        return List.of();
    }

    private List<Outgoing> onGranted(String from, SlotMessage.Granted m, List<Reply> replies) {
        Pending p = pending.get(m.ask());
        if (p == null || !p.owner.equals(from)) {
            // The ask was cancelled or sent to another owner, so the grant is returned.
            Grant g = m.grant();
            return List.of(new Outgoing(from, new Release(m.service(), g.id(), g.worker(), AttemptOutcome.UNUSED)));
        }
        pending.remove(m.ask());
        grants.put(m.grant().id(), new HeldGrant(m.service(), m.grant(), from));
        replies.add(new Reply.Slot(m.ask(), m.grant()));
        return List.of();
    }

    /** Avoids owners that have not answered in time, and resends and reports what is due. */
    public List<Outgoing> onTick(long now) {
        boolean changed = suspectUntil.values().removeIf(until -> now >= until);
        for (Pending p : pending.values()) {
            if (!p.answered && now - p.sentAt >= ANSWER_TIMEOUT_MILLIS && !p.owner.equals(self)) {
                suspectUntil.put(p.owner, now + SUSPICION_MILLIS);
                changed = true;
            }
        }
        List<Outgoing> out = new ArrayList<>();
        if (changed) {
            out.addAll(reassignPending(now));
        }
        resendAsks(now, out);
        report(now, out);
        return out;
    }

    private void resendAsks(long now, List<Outgoing> out) {
        pending.forEach((ask, p) -> {
            if (now - p.sentAt >= RESEND_MILLIS) {
                send(ask, p, now, out);
            }
        });
    }

    private void report(long now, List<Outgoing> out) {
        if (now - lastReportMillis < REPORT_INTERVAL_MILLIS) {
            return;
        }
        lastReportMillis = now;
        for (String service : List.copyOf(servicesToReport)) {
            out.add(new Outgoing(ownerOf(service, now, out), inUse(service)));
        }
        servicesToReport.clear();
        grants.values().forEach(g -> servicesToReport.add(g.service));
    }

    private InUse inUse(String service) {
        return new InUse(
                service,
                grants.values().stream()
                        .filter(g -> g.service.equals(service))
                        .map(HeldGrant::grant)
                        .toList());
    }

    private List<Outgoing> reassignPending(long now) {
        List<Outgoing> out = new ArrayList<>();
        for (Map.Entry<Long, Pending> e : pending.entrySet()) {
            Pending p = e.getValue();
            String service = p.request.service();
            if (!ownerOf(service, now, out).equals(p.owner)) {
                out.add(new Outgoing(p.owner, new Cancel(service, e.getKey())));
                send(e.getKey(), p, now, out);
            }
        }
        List.copyOf(ownerByService.keySet()).forEach(s -> ownerOf(s, now, out));
        return out;
    }

    private String ownerOf(String service, long now, List<Outgoing> out) {
        String owner = RendezvousHash.rank(service, reachable).stream()
                .filter(e -> now >= suspectUntil.getOrDefault(e, Long.MIN_VALUE))
                .findFirst()
                .orElse(self);
        String before = ownerByService.put(service, owner);
        if (before != null && !before.equals(owner)) {
            out.add(new Outgoing(before, new InUse(service, List.of())));
            out.add(new Outgoing(owner, inUse(service)));
        }
        return owner;
    }

    private record HeldGrant(String service, Grant grant, String granter) {}

    private static final class Pending {
        private final SlotRequest request;
        private String owner = "";
        private boolean answered;
        private long sentAt;

        private Pending(SlotRequest request) {
            this.request = request;
        }
    }
}
