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
package org.lupinpaddle.daemon.jobs;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import org.lupinpaddle.core.common.RendezvousHash;
import org.lupinpaddle.core.job.JobKeys;
import org.lupinpaddle.core.ownership.OwnerRank;
import org.lupinpaddle.daemon.common.EventLoop;
import org.lupinpaddle.daemon.common.Log;
import org.lupinpaddle.daemon.port.CommitResult;
import org.lupinpaddle.daemon.port.KeyValueStore;
import org.lupinpaddle.daemon.port.StoreChanges;
import org.lupinpaddle.daemon.port.StoreCommit;
import org.lupinpaddle.daemon.port.StoreItem;

/**
 * Keeps this entry's lease, and takes duties that nobody owns. A duty is owned by whoever holds its key under
 * a live lease; the revision of the write that took it is the owner's fence.
 */
final class OwnershipManager implements PrefixWatch.Listener, AutoCloseable {

    // An entry that dies is followed after this and a renewal's time; the store gives no lease under 1 s.
    /** How long a lease lasts after its latest renewal, in milliseconds. */
    static final long TTL_MILLIS = 1_500;

    private static final long RENEW_MILLIS = 450;
    // A renewal that has no answer by then is followed by another beside it. Four go out before a lease ends, so that a
    // store that loses half of its answers ends it one time in sixteen, not in four. A slow store takes 250 ms.
    private static final long RENEW_RETRY_MILLIS = 250;
    private static final long RETRY_MILLIS = 200;
    // An entry takes a duty this much later for each one that comes before it: a write takes 10 ms.
    private static final long STAGGER_MILLIS = 100;
    // But not later than after so many: of the entries before it, any number may have died at the same moment.
    private static final int MAX_RANK = 5;
    // And this much later for each one that it has already, up to some: after a loss of power all entries start within
    // 0.3 s, and what the first of them leaves for a moment goes to the others.
    private static final long DUTY_DELAY_MILLIS = 200;
    private static final int MAX_DUTY_STEPS = 4;

    // A hand-over leaves a service without an owner for about 100 ms: not too often, and not to an entry that has
    // just started.
    private static final long REBALANCE_INTERVAL_MILLIS = 2_000;
    private static final long MIN_REGISTERED_MILLIS = 2_000;
    // Nor before it has been of use: its owner has read all that it needs, and asked every worker.
    private static final long MIN_HOLD_MILLIS = 5_000;
    // When the store comes back after all leases have ended, entries come back within this.
    private static final long REJOIN_MILLIS = 1_000;
    // An entry that could not begin with a duty leaves it to the others for so long, and tries retry if they can't
    // either.
    private static final long DEFER_MILLIS = 10_000;
    private static final long MIN_CAPACITY = 1;

    private final KeyValueStore store;
    private final EventLoop loop;
    private final String entry;
    private final String life;
    private final long capacity;
    private final Listener listener;
    private final PrefixWatch watch;
    private final MemberRegistry members;
    private final HandOverCoordinator handOvers;
    private final TreeMap<String, Long> owned = new TreeMap<>();
    private final Set<String> duties = new TreeSet<>();
    private final Set<String> attempts = new HashSet<>();
    /** Fences of duties that were handed over; the watch may show them for a moment longer. */
    private final Set<Long> releasedFences = new HashSet<>();
    /** Fences under which this entry has owned a duty and does not any more: what it sent may still be under way. */
    private final Set<Long> endedFences = new HashSet<>();
    /** Duties that this entry could not begin with, and until when it leaves them to others. */
    private final Map<String, Long> deferredUntil = new HashMap<>();

    /** Since when a duty is known to be free. */
    private final Map<String, Long> freeSince = new HashMap<>();
    /** When a duty was won that this entry owns. */
    private final Map<String, Long> wonAt = new HashMap<>();

    private long lease;
    /** The number of the latest renewal; one more once that is answered. */
    private long renewal;

    private long reopenedAt = Long.MIN_VALUE / 2;
    private long renewalSentAt = Long.MIN_VALUE / 2;
    private long rebalancedAt = Long.MIN_VALUE / 2;
    private boolean registered;
    private boolean stopping;

    /** What is told of duties. */
    interface Listener {
        /** This entry owns the duty from now on. */
        void won(String duty, long fence);

        /**
         * This entry is about to hand a duty over: it is to begin nothing new, and to make durable what it alone knows,
         * while its key still allows that. The duty goes when the future ends, or is lost before.
         */
        default CompletableFuture<Void> handOver(String duty, HandOverReason why) {
            return CompletableFuture.completedFuture(null);
        }

        /** This entry does not own the duty any more. */
        void lost(String duty, String why);
    }

    OwnershipManager(KeyValueStore store, EventLoop loop, String entry, long capacity, Listener listener) {
        this.store = store;
        this.loop = loop;
        this.entry = entry;
        this.capacity = capacity;
        this.life = MemberRegistry.newLife(entry);
        this.listener = listener;
        watch = new PrefixWatch(store, loop, JobKeys.MEMBERS, this);
        members = new MemberRegistry(watch, loop.clock(), entry, capacity);
        handOvers = new HandOverCoordinator(loop, listener);
    }

    void start() {
        openLease();
        watch.start();
    }

    /** Sets the duties that are to have an owner. */
    void setDuties(Set<String> wanted) {
        duties.clear();
        duties.addAll(wanted);
        acquireFreeDuties();
    }

    /** Returns since when this entry's ownership may have ended: when the latest renewal was sent. */
    long confirmedAt() {
        return renewalSentAt;
    }

    /** Returns whether the store has answered within a lease's time. */
    boolean reachesStore() {
        return loop.clock().millis() - renewalSentAt <= TTL_MILLIS;
    }

    /** Returns until when the lease lives for certain, by this entry's clock. */
    long leaseEndsAt() {
        return renewalSentAt + TTL_MILLIS;
    }

    /** Returns the duties that this entry owns, with their fences. */
    Map<String, Long> owned() {
        return Map.copyOf(owned);
    }

    /** Returns what names this entry's process, from its start to its end. */
    String life() {
        return life;
    }

    /** Returns whether a life is over for certain: its entry is registered with another one. */
    boolean isOver(String otherLife) {
        return members.isOver(otherLife, life);
    }

    /**
     * Gives a duty up that was won with this fence, because it is owned elsewhere or can not be fulfilled here. A
     * duty that has been won anew since is kept. If the key turns out to be still this entry's, it is taken up
     * retry under a new fence: nobody else could.
     */
    void giveUp(String duty, long fence, String why) {
        if (owned.remove(duty, fence)) {
            endedFences.add(fence);
            listener.lost(duty, why);
            loop.after(RETRY_MILLIS, this::reconcile);
        }
    }

    /**
     * Hands a duty over that was won with this fence and with which this entry can not begin; for a time it does not try
     * for it retry. Without another entry, or while the store is away, it is kept: nobody could do better.
     */
    void deferToOthers(String duty, long fence, String why) {
        boolean mine = Long.valueOf(fence).equals(owned.get(duty));
        if (!mine || !reachesStore() || members.entries().size() == 1) {
            return;
        }
        deferredUntil.put(duty, loop.clock().millis() + DEFER_MILLIS);
        loop.after(DEFER_MILLIS, this::onDeferralEnded);
        release(duty, why);
        publishCapacity();
    }

    private void onDeferralEnded() {
        publishCapacity();
        acquireFreeDuties();
    }

    private boolean defersAny() {
        return deferredUntil.keySet().stream().anyMatch(this::isDeferred);
    }

    /** Returns what the others are told: next to nothing while a duty is left to them, so that none is given to it. */
    private long publishedCapacity() {
        return defersAny() ? MIN_CAPACITY : capacity;
    }

    private void publishCapacity() {
        if (lease == 0 || stopping) {
            return;
        }
        store.commit(StoreCommit.builder()
                        .put(JobKeys.capacity(entry), Long.toString(publishedCapacity()), lease)
                        .build())
                .thenAcceptAsync(
                        r -> {
                            if (r.outcome() != CommitResult.Outcome.MADE) {
                                Log.info("capacity-untold", "outcome", r.outcome());
                                loop.after(RETRY_MILLIS, this::publishCapacity);
                            }
                        },
                        loop::execute);
    }

    private boolean isDeferred(String duty) {
        return deferredUntil.getOrDefault(duty, Long.MIN_VALUE) > loop.clock().millis();
    }

    private void openLease() {
        if (stopping) {
            return;
        }
        long sentAt = loop.clock().millis();
        store.openLease(TTL_MILLIS)
                .whenComplete((id, why) -> loop.execute(() -> {
                    if (why != null) {
                        loop.after(RETRY_MILLIS, this::openLease);
                    } else {
                        leaseOpened(id, sentAt);
                    }
                }));
    }

    private void leaseOpened(long id, long sentAt) {
        boolean retry = renewalSentAt >= 0;
        reopenedAt = retry ? loop.clock().millis() : reopenedAt;
        lease = id;
        renewalSentAt = sentAt;
        Log.info("lease-opened", "lease", id, "ttl-millis", TTL_MILLIS);
        register();
        loop.after(RENEW_MILLIS, this::renew);
        acquireFreeDuties();
    }

    private void register() {
        long forLease = lease;
        store.commit(StoreCommit.builder()
                        .put(JobKeys.entry(entry), life, forLease)
                        .put(JobKeys.capacity(entry), Long.toString(publishedCapacity()), forLease)
                        .build())
                .thenAcceptAsync(
                        r -> {
                            boolean retry = r.outcome() == CommitResult.Outcome.REFUSED
                                    || r.outcome() == CommitResult.Outcome.UNKNOWN;
                            registered = r.outcome() == CommitResult.Outcome.MADE && forLease == lease;
                            if (retry && forLease == lease) {
                                loop.after(RETRY_MILLIS, this::register);
                            }
                        },
                        loop::execute);
    }

    private void renew() {
        if (lease == 0) {
            return;
        }
        long forLease = lease;
        long sentAt = loop.clock().millis();
        long number = ++renewal;
        loop.after(RENEW_RETRY_MILLIS, () -> renewUnless(number));
        store.keepLease(forLease)
                .whenComplete((alive, why) -> loop.execute(() -> {
                    if (why == null && forLease == lease) {
                        renewed(number, sentAt, alive);
                    }
                }));
    }

    /** Renews retry unless the latest renewal, with this number, has been answered. */
    private void renewUnless(long number) {
        if (number == renewal) {
            renew();
        }
    }

    private void renewed(long number, long sentAt, boolean alive) {
        if (!alive) {
            leaseEnded();
            return;
        }
        renewalSentAt = Math.max(renewalSentAt, sentAt);
        rebalance();
        if (number == renewal) {
            renewal++;
            long next = renewal;
            loop.after(Math.max(0, RENEW_MILLIS - (loop.clock().millis() - sentAt)), () -> renewUnless(next));
        }
    }

    private void leaseEnded() {
        Log.warn("lease-ended", "lease", lease, "owned", owned.size());
        lease = 0;
        Map.copyOf(owned).forEach((duty, fence) -> giveUp(duty, fence, "the store has ended the lease"));
        openLease();
    }

    @Override
    public void onRead() {
        reconcile();
    }

    @Override
    public void onChanges(List<StoreChanges.Change> changes) {
        reconcile();
    }

    private void reconcile() {
        Map<String, StoreItem> owners = members.owners();
        freeSince.keySet().removeAll(owners.keySet());
        members.rememberRegistered();
        for (Map.Entry<String, Long> o : new ArrayList<>(owned.entrySet())) {
            StoreItem i = owners.get(o.getKey());
            boolean seen = watch.revision() >= o.getValue();
            if (seen && (i == null || i.revision() != o.getValue())) {
                giveUp(o.getKey(), o.getValue(), i == null ? "its key is gone" : "owned by " + i.value());
            }
        }
        owners.forEach(this::adopt);
        restoreRegistration();
        acquireFreeDuties();
    }

    /** The store may take keys away while their lease lives on. */
    private void restoreRegistration() {
        boolean whole = members.hasOwnRecords(lease);
        if (!whole && registered && lease != 0 && !stopping) {
            registered = false;
            register();
        }
    }

    /** Takes up a duty whose taking got no answer, but was made; and one that it gave up, whose key it still holds. */
    private void adopt(String duty, StoreItem i) {
        if (stopping) {
            return;
        }
        boolean mine =
                i.value().equals(entry) && i.lease() == lease && lease != 0 && !releasedFences.contains(i.revision());
        if (mine && !owned.containsKey(duty) && !attempts.contains(duty)) {
            if (endedFences.contains(i.revision())) {
                reacquire(duty, i.revision());
            } else {
                won(duty, i.revision());
            }
        }
    }

    /**
     * Writes the key once more, so that its revision rises: orders and writes of the time before carry a fence that
     * workers and the store refuse from then on, however late they arrive.
     */
    private void reacquire(String duty, long fence) {
        attempts.add(duty);
        String key = JobKeys.owner(duty);
        store.commit(StoreCommit.builder()
                        .when(key, fence)
                        .put(key, entry, lease)
                        .build())
                .thenAcceptAsync(r -> onAcquireResult(duty, r), loop::execute);
    }

    private void acquireFreeDuties() {
        if (stopping || lease == 0) {
            return;
        }
        Map<String, StoreItem> owners = members.owners();
        List<String> free = duties.stream()
                .filter(d -> !owners.containsKey(d) && !owned.containsKey(d) && !isDeferred(d))
                .toList();
        // As a rule there is none: this is asked at every change of any entry.
        if (free.isEmpty()) {
            return;
        }
        long now = loop.clock().millis();
        free.forEach(d -> freeSince.putIfAbsent(d, now));
        OwnerRank order = members.order(owners);
        int steps = owned.size() + attempts.size();
        // Each entry begins with another one: where all start at once, all duties are tried for at once.
        for (String duty : RendezvousHash.rank(entry, free)) {
            if (attempts.add(duty)) {
                long delay = delayMillis(order, duty, steps);
                loop.after(delay, () -> acquire(duty));
                steps++;
            }
        }
    }

    private boolean isRejoining() {
        return loop.clock().millis() - reopenedAt <= REJOIN_MILLIS;
    }

    /** Returns how long after it has become free this entry tries for a duty, with so many others that it has by then. */
    private long delayMillis(OwnerRank order, String duty, int steps) {
        int rank =
                defersAny() ? MAX_RANK : Math.min(MAX_RANK, order.of(entry, duty, members.candidates(isRejoining())));
        return rank * STAGGER_MILLIS + Math.min(steps, MAX_DUTY_STEPS) * DUTY_DELAY_MILLIS;
    }

    /**
     * Hands one duty over when another entry had better do it: planned restarts leave all duties to the entry that is
     * restarted last, and a small entry may win one while the large ones start.
     */
    private void rebalance() {
        long now = loop.clock().millis();
        members.trackRegistrations();
        if (stopping || now - rebalancedAt < REBALANCE_INTERVAL_MILLIS || owned.isEmpty()) {
            return;
        }
        Map<String, StoreItem> owners = members.owners();
        // What it has done for longest it goes on doing.
        Optional<String> latest = owned.keySet().stream().max(Comparator.comparingLong(this::wonAt));
        Optional<String> held = latest.filter(d -> now - wonAt(d) >= MIN_HOLD_MILLIS);
        Optional<String> target = members.order(owners).reliefOf(entry, members.registeredFor(MIN_REGISTERED_MILLIS));
        if (held.isPresent() && target.isPresent() && owners.keySet().containsAll(duties)) {
            rebalancedAt = now;
            release(held.get(), target.get() + " has less to do for what it can do");
        }
    }

    private long wonAt(String duty) {
        return wonAt.getOrDefault(duty, loop.clock().millis());
    }

    /** Hands a duty over: its owner writes what it alone knows, then the key goes. */
    private void release(String duty, String why) {
        Long fence = owned.get(duty);
        if (fence == null || handOvers.isInProgress(fence)) {
            return;
        }
        handOvers
                .begin(duty, fence, HandOverReason.TO_ANOTHER_ENTRY)
                .thenRunAsync(() -> removeKey(duty, fence, why), loop::execute);
    }

    private void removeKey(String duty, long fence, String why) {
        if (!owned.remove(duty, fence)) {
            return;
        }
        endedFences.add(fence);
        listener.lost(duty, why);
        releasedFences.add(fence);
        String key = JobKeys.owner(duty);
        store.commit(StoreCommit.builder().when(key, fence).remove(key).build())
                .thenAcceptAsync(
                        r -> {
                            Log.info("duty-released", "duty", duty, "fence", fence, "outcome", r.outcome());
                            if (r.outcome() != CommitResult.Outcome.MADE) {
                                // It may still be this entry's, and then nobody else could take it up.
                                releasedFences.remove(fence);
                                loop.after(RETRY_MILLIS, this::reconcile);
                            }
                        },
                        loop::execute);
    }

    private void acquire(String duty) {
        Map<String, StoreItem> owners = members.owners();
        boolean free = !owners.containsKey(duty) && !owned.containsKey(duty);
        if (!free || stopping || lease == 0 || !duties.contains(duty)) {
            attempts.remove(duty);
            return;
        }
        // It may have been owned and become free retry since this try was planned: its time counts anew.
        long now = loop.clock().millis();
        long due = freeSince.getOrDefault(duty, now) + delayMillis(members.order(owners), duty, owned.size());
        if (now < due) {
            loop.after(due - now, () -> acquire(duty));
            return;
        }
        String key = JobKeys.owner(duty);
        store.commit(StoreCommit.builder().when(key, 0).put(key, entry, lease).build())
                .thenAcceptAsync(r -> onAcquireResult(duty, r), loop::execute);
    }

    private void onAcquireResult(String duty, CommitResult r) {
        attempts.remove(duty);
        if (r.outcome() == CommitResult.Outcome.MADE && !stopping) {
            won(duty, r.revision());
        } else if (r.outcome() != CommitResult.Outcome.CONFLICT) {
            loop.after(RETRY_MILLIS, this::reconcile);
        }
    }

    private void won(String duty, long fence) {
        owned.put(duty, fence);
        wonAt.put(duty, loop.clock().millis());
        listener.won(duty, fence);
    }

    /** Hands all duties over, then ends the lease, so that others follow at once; until then the lease is renewed. */
    void stop() {
        if (stopping) {
            return;
        }
        stopping = true;
        List<CompletableFuture<Void>> all = new ArrayList<>();
        owned.forEach((duty, fence) -> all.add(handOvers.begin(duty, fence, HandOverReason.ENTRY_SHUTDOWN)));
        CompletableFuture.allOf(all.toArray(CompletableFuture[]::new)).thenRunAsync(this::endLease, loop::execute);
    }

    private void endLease() {
        Map.copyOf(owned).forEach((duty, fence) -> giveUp(duty, fence, "this entry stops"));
        long last = lease;
        lease = 0;
        if (last != 0) {
            store.endLease(last)
                    .whenComplete(
                            (ended, why) -> Log.info("lease-given-back", "lease", last, "done", why == null && ended));
        }
    }

    @Override
    public void close() {
        watch.close();
    }
}
