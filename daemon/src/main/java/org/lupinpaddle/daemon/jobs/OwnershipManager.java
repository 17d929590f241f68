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
import org.lupinpaddle.core.job.SchedulerKeys;
import org.lupinpaddle.core.ownership.OwnerRank;
import org.lupinpaddle.daemon.common.EventLoop;
import org.lupinpaddle.daemon.common.Log;
import org.lupinpaddle.daemon.port.CommitResult;
import org.lupinpaddle.daemon.port.KeyValueStore;
import org.lupinpaddle.daemon.port.StoreChanges;
import org.lupinpaddle.daemon.port.StoreCommit;
import org.lupinpaddle.daemon.port.StoreItem;

/**
 * Maintains this entry's lease and acquires duties without an owner. A duty is owned by the entry that holds its key
 * under a live lease; the revision of the acquiring write is the owner's fence, its lowest fencing token.
 */
final class OwnershipManager implements PrefixWatch.Listener, AutoCloseable {

    // A dead entry is succeeded after this time and the time of a renewal; the store grants no lease under 1 s.
    /** The time to live of a lease after its latest renewal, in milliseconds. */
    static final long TTL_MILLIS = 1_500;

    private static final long RENEW_MILLIS = 450;
    // If a renewal is unanswered after this time, another one is sent in parallel. Four renewals are sent before a
    // lease expires, so that a store which loses half of its answers ends the lease one time in sixteen rather than
    // one in four. A slow store takes 250 ms to answer.
    private static final long RENEW_RETRY_MILLIS = 250;
    private static final long RETRY_MILLIS = 200;
    // Delay for each entry that ranks higher for a duty; a write takes 10 ms.
    private static final long STAGGER_MILLIS = 100;
    // Limits the rank in the delay, because any number of the higher-ranked entries may have died at the same moment.
    private static final int MAX_RANK = 5;
    // Additional delay for each duty already owned, up to a limit: after a power loss all entries start within 0.3 s,
    // and the delay leaves duties to the ones that start later.
    private static final long DUTY_DELAY_MILLIS = 200;
    private static final int MAX_DUTY_STEPS = 4;

    // A hand-over leaves a service without an owner for about 100 ms, so hand-overs are limited in rate and never go
    // to an entry that has just started.
    private static final long REBALANCE_INTERVAL_MILLIS = 2_000;
    private static final long MIN_REGISTERED_MILLIS = 2_000;
    // A duty is not handed over before the owner has read all of its state and contacted every worker.
    private static final long MIN_HOLD_MILLIS = 5_000;
    // When the store recovers after all leases have expired, entries register again within this time.
    private static final long REJOIN_MILLIS = 1_000;
    // How long an entry leaves a duty that it could not start to others before it tries again, in case they cannot
    // start it either.
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
    private final RegistrationWriter records;
    private final JobMemory memory;
    private final HandOverCoordinator handOvers;
    private final TreeMap<String, Long> owned = new TreeMap<>();
    private final Set<String> duties = new TreeSet<>();
    private final Set<String> acquiring = new HashSet<>();
    /** Fences of duties that were handed over; the watch may show them for some time. */
    private final Set<Long> releasedFences = new HashSet<>();
    /** Fences under which this entry owned a duty before; its orders and writes may still be in flight. */
    private final Set<Long> endedFences = new HashSet<>();
    /** Duties that this entry could not start, and until when it leaves them to others. */
    private final Map<String, Long> deferredUntil = new HashMap<>();

    /** The time since which each duty is known to be without an owner. */
    private final Map<String, Long> freeSince = new HashMap<>();
    /** The time at which each owned duty was won. */
    private final Map<String, Long> wonAt = new HashMap<>();

    private long lease;
    /** The number of the latest renewal; incremented once that renewal is answered. */
    private long renewal;

    private long reopenedAt = Long.MIN_VALUE / 2;
    private long renewalSentAt = Long.MIN_VALUE / 2;
    private long rebalancedAt = Long.MIN_VALUE / 2;
    private boolean registered;
    private boolean stopping;

    /** Receives changes of ownership. */
    interface Listener {
        /** Called when this entry has acquired a duty. */
        void won(String duty, long fence);

        /**
         * Called before a duty is handed over. The owner must start nothing new and make the state that only it knows
         * durable while its key still permits writes. The duty is released when the future completes, unless it is
         * lost before.
         */
        default CompletableFuture<Void> handOver(String duty, HandOverReason why) {
            return CompletableFuture.completedFuture(null);
        }

        /** Called when this entry no longer owns a duty. */
        void lost(String duty, String why);
    }

    OwnershipManager(KeyValueStore store, EventLoop loop, String entry, long capacity, Listener listener) {
        this.store = store;
        this.loop = loop;
        this.entry = entry;
        this.capacity = capacity;
        this.life = MemberRegistry.newLife(entry);
        this.listener = listener;
        watch = new PrefixWatch(store, loop, SchedulerKeys.MEMBERS, this);
        members = new MemberRegistry(watch, loop.clock(), entry, capacity);
        records = new RegistrationWriter(store, loop);
        memory = new JobMemory(
                watch, records, entry, this::lease, Runtime.getRuntime().maxMemory());
        handOvers = new HandOverCoordinator(loop, listener);
    }

    void start() {
        openLease();
        watch.start();
    }

    /** Returns the limits on the memory that jobs take. */
    JobMemory memory() {
        return memory;
    }

    private long lease() {
        return stopping ? 0 : lease;
    }

    /** Sets the duties that must have an owner. */
    void setDuties(Set<String> wanted) {
        duties.clear();
        duties.addAll(wanted);
        acquireFreeDuties();
    }

    /**
     * Returns the time since which this entry's ownership may have ended: the time at which the latest answered
     * renewal was sent.
     */
    long confirmedAt() {
        return renewalSentAt;
    }

    /** Returns whether the store has answered within the time to live of a lease. */
    boolean reachesStore() {
        return loop.clock().millis() - renewalSentAt <= TTL_MILLIS;
    }

    /** Returns the time until which the lease is certainly alive, by this entry's clock. */
    long leaseEndsAt() {
        return renewalSentAt + TTL_MILLIS;
    }

    /** Returns the duties owned by this entry with their fences. */
    Map<String, Long> owned() {
        return Map.copyOf(owned);
    }

    /** Returns the unique name of this run of the entry's process. */
    String life() {
        return life;
    }

    /**
     * Returns whether a life that a record of an owned duty names has certainly ended: its entry is registered under a
     * different one. A registration that was read before the duty was won may be older than the life.
     */
    boolean hasEnded(String otherLife) {
        long latestFence =
                owned.values().stream().mapToLong(Long::longValue).max().orElse(0);
        return watch.revision() >= latestFence && members.hasEnded(otherLife, life);
    }

    /** Returns whether a life is the current process or is registered in the store. */
    boolean isRegistered(String otherLife) {
        return members.isRegistered(otherLife, life);
    }

    /** Returns since when registrations may have changed unseen. */
    long registrationsSeenAt() {
        return watch.confirmedAt();
    }

    /**
     * Gives up a duty that was won with this fence, because another entry owns it or it cannot be fulfilled here. If
     * the duty has been won again since, it is kept. If the key still belongs to this entry, the duty is acquired
     * again under a new fence, because no other entry could take it.
     */
    void giveUp(String duty, long fence, String why) {
        if (owned.remove(duty, fence)) {
            endedFences.add(fence);
            listener.lost(duty, why);
            loop.after(RETRY_MILLIS, this::reconcile);
        }
    }

    /**
     * Hands over a duty that was won with this fence but cannot be started here, and does not try to acquire it for
     * some time. The duty is kept if there is no other entry or the store is unreachable, because nobody could do
     * better.
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

    /**
     * Returns the capacity to publish, which is minimal while this entry leaves a duty to others, so that no duty is
     * handed over to it.
     */
    private long publishedCapacity() {
        return defersAny() ? MIN_CAPACITY : capacity;
    }

    private void publishCapacity() {
        if (lease == 0 || stopping) {
            return;
        }
        Map<String, String> published = Map.of(SchedulerKeys.capacity(entry), Long.toString(publishedCapacity()));
        records.write(published, lease, outcome -> {
            if (outcome != CommitResult.Outcome.MADE) {
                Log.info("capacity-untold", "outcome", outcome);
                loop.after(retryMillis(outcome), this::publishCapacity);
            }
        });
    }

    /** A conflict tells the current revisions, so that the write can be repeated at once. */
    private static long retryMillis(CommitResult.Outcome outcome) {
        return outcome == CommitResult.Outcome.CONFLICT ? 0 : RETRY_MILLIS;
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
        boolean reopened = renewalSentAt >= 0;
        reopenedAt = reopened ? loop.clock().millis() : reopenedAt;
        lease = id;
        renewalSentAt = sentAt;
        Log.info("lease-opened", "lease", id, "ttl-millis", TTL_MILLIS);
        register();
        loop.after(RENEW_MILLIS, this::renew);
        acquireFreeDuties();
    }

    private void register() {
        long forLease = lease;
        Map<String, String> own = Map.of(
                SchedulerKeys.entry(entry), life, SchedulerKeys.capacity(entry), Long.toString(publishedCapacity()));
        records.write(own, forLease, outcome -> {
            boolean retry = outcome == CommitResult.Outcome.CONFLICT
                    || outcome == CommitResult.Outcome.REFUSED
                    || outcome == CommitResult.Outcome.UNKNOWN;
            registered = outcome == CommitResult.Outcome.MADE && forLease == lease;
            if (retry && forLease == lease) {
                loop.after(retryMillis(outcome), this::register);
            }
        });
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

    /** Renews the lease unless the latest renewal, which has this number, has been answered. */
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
        Map.copyOf(owned).forEach((duty, fence) -> giveUp(duty, fence, "the lease has expired"));
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
                giveUp(o.getKey(), o.getValue(), i == null ? "the ownership key was removed" : "owned by " + i.value());
            }
        }
        owners.forEach(this::adopt);
        restoreRegistration();
        acquireFreeDuties();
    }

    /** Registers again if the store has removed keys while their lease is alive. */
    private void restoreRegistration() {
        boolean complete = members.hasOwnRecords(lease);
        if (!complete && registered && lease != 0 && !stopping) {
            registered = false;
            register();
        }
    }

    /**
     * Adopts a duty whose acquisition succeeded without an answer, or one that was given up while the store still
     * shows this entry as the owner.
     */
    private void adopt(String duty, StoreItem i) {
        if (stopping) {
            return;
        }
        boolean mine =
                i.value().equals(entry) && i.lease() == lease && lease != 0 && !releasedFences.contains(i.revision());
        if (mine && !owned.containsKey(duty) && !acquiring.contains(duty)) {
            if (endedFences.contains(i.revision())) {
                reacquire(duty, i.revision());
            } else {
                won(duty, i.revision());
            }
        }
    }

    /**
     * Writes the key again to raise its revision. Workers and the store then reject orders and writes with the
     * earlier fence, however late they arrive.
     */
    private void reacquire(String duty, long fence) {
        acquiring.add(duty);
        String key = SchedulerKeys.owner(duty);
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
        // Usually no duty is free; this runs on every change of any entry.
        if (free.isEmpty()) {
            return;
        }
        long now = loop.clock().millis();
        free.forEach(d -> freeSince.putIfAbsent(d, now));
        OwnerRank order = members.order(owners);
        int steps = owned.size() + acquiring.size();
        // Each entry starts with a different duty, so entries that start together try for all duties at once.
        for (String duty : RendezvousHash.rank(entry, free)) {
            if (acquiring.add(duty)) {
                long delay = delayMillis(order, duty, steps);
                loop.after(delay, () -> acquire(duty));
                steps++;
            }
        }
    }

    private boolean isRejoining() {
        return loop.clock().millis() - reopenedAt <= REJOIN_MILLIS;
    }

    /**
     * Returns how long this entry waits before it tries for a free duty, given the number of duties that it owns or
     * is acquiring.
     */
    private long delayMillis(OwnerRank order, String duty, int steps) {
        int rank = defersAny()
                ? MAX_RANK
                : Math.min(MAX_RANK, order.position(entry, duty, members.candidates(isRejoining())));
        return rank * STAGGER_MILLIS + Math.min(steps, MAX_DUTY_STEPS) * DUTY_DELAY_MILLIS;
    }

    /**
     * Hands over one duty if another entry is better suited: planned restarts leave all duties with the entry that is
     * restarted last, and a small entry may win a duty while the large ones start.
     */
    private void rebalance() {
        long now = loop.clock().millis();
        members.trackRegistrations();
        if (stopping || now - rebalancedAt < REBALANCE_INTERVAL_MILLIS || owned.isEmpty()) {
            return;
        }
        Map<String, StoreItem> owners = members.owners();
        // The duty won last is handed over; those owned for longer stay.
        Optional<String> latest = owned.keySet().stream().max(Comparator.comparingLong(this::wonAt));
        Optional<String> held = latest.filter(d -> now - wonAt(d) >= MIN_HOLD_MILLIS);
        Optional<String> target =
                members.order(owners).handOverTarget(entry, members.registeredFor(MIN_REGISTERED_MILLIS));
        if (held.isPresent() && target.isPresent() && owners.keySet().containsAll(duties)) {
            rebalancedAt = now;
            release(held.get(), target.get() + " has a lower load for its capacity");
        }
    }

    private long wonAt(String duty) {
        return wonAt.getOrDefault(duty, loop.clock().millis());
    }

    /** Hands over a duty: the owner makes its state durable, and then the key is removed. */
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
        String key = SchedulerKeys.owner(duty);
        store.commit(StoreCommit.builder().when(key, fence).remove(key).build())
                .thenAcceptAsync(
                        r -> {
                            Log.info("duty-released", "duty", duty, "fence", fence, "outcome", r.outcome());
                            if (r.outcome() != CommitResult.Outcome.MADE) {
                                // The key may still belong to this entry, in which case no other entry could acquire
                                // the duty.
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
            acquiring.remove(duty);
            return;
        }
        // The duty may have been owned and become free again since this attempt was scheduled, so the delay starts
        // again.
        long now = loop.clock().millis();
        long due = freeSince.getOrDefault(duty, now) + delayMillis(members.order(owners), duty, owned.size());
        if (now < due) {
            loop.after(due - now, () -> acquire(duty));
            return;
        }
        String key = SchedulerKeys.owner(duty);
        store.commit(StoreCommit.builder().when(key, 0).put(key, entry, lease).build())
                .thenAcceptAsync(r -> onAcquireResult(duty, r), loop::execute);
    }

    private void onAcquireResult(String duty, CommitResult r) {
        acquiring.remove(duty);
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

    /**
     * Hands over all duties and then ends the lease, so that others succeed at once; the lease is renewed until then.
     */
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
        Map.copyOf(owned).forEach((duty, fence) -> giveUp(duty, fence, "this entry is shutting down"));
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
