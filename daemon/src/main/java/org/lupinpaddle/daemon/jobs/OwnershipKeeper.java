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
final class OwnershipKeeper implements PrefixWatch.Listener, AutoCloseable {

    // An entry that dies is followed after this and a renewal's time; the store gives no lease under 1 s.
    /** How long a lease lasts after its newest renewal, in milliseconds. */
    static final long TTL_MILLIS = 1_500;

    private static final long RENEW_MILLIS = 450;
    // A renewal that has no answer by then is followed by another beside it. Four go out before a lease ends, so that a
    // store that loses half of its answers ends it one time in sixteen, not in four. A slow store takes 250 ms.
    private static final long RENEW_AGAIN_MILLIS = 250;
    private static final long RETRY_MILLIS = 200;
    // An entry takes a duty this much later for each one that comes before it: a write takes 10 ms.
    private static final long STAGGER_MILLIS = 100;
    // But not later than after so many: of the entries before it, any number may have died at the same moment.
    private static final int MOST_PLACES = 5;
    // And this much later for each one that it has already, up to some: after a loss of power all entries start within
    // 0.3 s, and what the first of them leaves for a moment goes to the others.
    private static final long NEXT_DUTY_MILLIS = 200;
    private static final int MOST_STEPS = 4;

    // A hand-over leaves a service without an owner for about 100 ms: not too often, and not to an entry that has
    // just started.
    private static final long SHARE_EVERY_MILLIS = 2_000;
    private static final long SETTLED_MILLIS = 2_000;
    // Nor before it has been of use: its owner has read all that it needs, and asked every worker.
    private static final long HELD_MILLIS = 5_000;
    // When the store comes back after all leases have ended, entries come back within this.
    private static final long RETURN_MILLIS = 1_000;
    // An entry that could not begin with a duty leaves it to the others for so long, and tries again if they can't
    // either.
    private static final long LEAVE_TO_OTHERS_MILLIS = 10_000;
    private static final long LEAST_CAPACITY = 1;

    private final KeyValueStore store;
    private final EventLoop loop;
    private final String entry;
    private final String life;
    private final long capacity;
    private final Listener listener;
    private final PrefixWatch watch;
    private final Members members;
    private final HandOvers handOvers;
    private final TreeMap<String, Long> owned = new TreeMap<>();
    private final Set<String> duties = new TreeSet<>();
    private final Set<String> attempts = new HashSet<>();
    /** Fences of duties that were handed over; the watch may show them for a moment longer. */
    private final Set<Long> released = new HashSet<>();
    /** Fences under which this entry has owned a duty and does not any more: what it sent may still be under way. */
    private final Set<Long> spent = new HashSet<>();
    /** Duties that this entry could not begin with, and until when it leaves them to others. */
    private final Map<String, Long> leftUntil = new HashMap<>();

    /** Since when a duty is known to be free. */
    private final Map<String, Long> freeSince = new HashMap<>();
    /** When a duty was won that this entry owns. */
    private final Map<String, Long> wonAt = new HashMap<>();

    private long lease;
    /** The number of the newest renewal; one more once that is answered. */
    private long renewal;

    private long reopenedAt = Long.MIN_VALUE / 2;
    private long keptAt = Long.MIN_VALUE / 2;
    private long sharedAt = Long.MIN_VALUE / 2;
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
        default CompletableFuture<Void> handOver(String duty, HandOver why) {
            return CompletableFuture.completedFuture(null);
        }

        /** This entry does not own the duty any more. */
        void lost(String duty, String why);
    }

    OwnershipKeeper(KeyValueStore store, EventLoop loop, String entry, long capacity, Listener listener) {
        this.store = store;
        this.loop = loop;
        this.entry = entry;
        this.capacity = capacity;
        this.life = Members.newLife(entry);
        this.listener = listener;
        watch = new PrefixWatch(store, loop, JobKeys.MEMBERS, this);
        members = new Members(watch, loop.clock(), entry, capacity);
        handOvers = new HandOvers(loop, listener);
    }

    void start() {
        openLease();
        watch.start();
    }

    /** Sets the duties that are to have an owner. */
    void setDuties(Set<String> wanted) {
        duties.clear();
        duties.addAll(wanted);
        seekDuties();
    }

    /** Returns since when this entry's ownership may have ended: when the newest renewal was sent. */
    long confirmedAt() {
        return keptAt;
    }

    /** Returns whether the store has answered within a lease's time. */
    boolean reachesStore() {
        return loop.clock().millis() - keptAt <= TTL_MILLIS;
    }

    /** Returns until when the lease lives for certain, by this entry's clock. */
    long leaseEndsAt() {
        return keptAt + TTL_MILLIS;
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
     * again under a new fence: nobody else could.
     */
    void giveUp(String duty, long fence, String why) {
        if (owned.remove(duty, fence)) {
            spent.add(fence);
            listener.lost(duty, why);
            loop.after(RETRY_MILLIS, this::review);
        }
    }

    /**
     * Hands a duty over that was won with this fence and with which this entry can not begin; for a time it does not try
     * for it again. Without another entry, or while the store is away, it is kept: nobody could do better.
     */
    void leaveToOthers(String duty, long fence, String why) {
        boolean mine = Long.valueOf(fence).equals(owned.get(duty));
        if (!mine || !reachesStore() || members.entries().size() == 1) {
            return;
        }
        leftUntil.put(duty, loop.clock().millis() + LEAVE_TO_OTHERS_MILLIS);
        loop.after(LEAVE_TO_OTHERS_MILLIS, this::tryAgain);
        release(duty, why);
        tellCapacity();
    }

    private void tryAgain() {
        tellCapacity();
        seekDuties();
    }

    private boolean leavesAny() {
        return leftUntil.keySet().stream().anyMatch(this::leavesToOthers);
    }

    /** Returns what the others are told: next to nothing while a duty is left to them, so that none is given to it. */
    private long toldCapacity() {
        return leavesAny() ? LEAST_CAPACITY : capacity;
    }

    private void tellCapacity() {
        if (lease == 0 || stopping) {
            return;
        }
        store.commit(StoreCommit.builder()
                        .put(JobKeys.capacity(entry), Long.toString(toldCapacity()), lease)
                        .build())
                .thenAcceptAsync(
                        r -> {
                            if (r.outcome() != CommitResult.Outcome.MADE) {
                                Log.info("capacity-untold", "outcome", r.outcome());
                                loop.after(RETRY_MILLIS, this::tellCapacity);
                            }
                        },
                        loop::execute);
    }

    private boolean leavesToOthers(String duty) {
        return leftUntil.getOrDefault(duty, Long.MIN_VALUE) > loop.clock().millis();
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
        boolean again = keptAt >= 0;
        reopenedAt = again ? loop.clock().millis() : reopenedAt;
        lease = id;
        keptAt = sentAt;
        Log.info("lease-opened", "lease", id, "ttl-millis", TTL_MILLIS);
        register();
        loop.after(RENEW_MILLIS, this::renew);
        seekDuties();
    }

    private void register() {
        long forLease = lease;
        store.commit(StoreCommit.builder()
                        .put(JobKeys.entry(entry), life, forLease)
                        .put(JobKeys.capacity(entry), Long.toString(toldCapacity()), forLease)
                        .build())
                .thenAcceptAsync(
                        r -> {
                            boolean again = r.outcome() == CommitResult.Outcome.REFUSED
                                    || r.outcome() == CommitResult.Outcome.UNKNOWN;
                            registered = r.outcome() == CommitResult.Outcome.MADE && forLease == lease;
                            if (again && forLease == lease) {
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
        loop.after(RENEW_AGAIN_MILLIS, () -> renewUnless(number));
        store.keepLease(forLease)
                .whenComplete((alive, why) -> loop.execute(() -> {
                    if (why == null && forLease == lease) {
                        renewed(number, sentAt, alive);
                    }
                }));
    }

    /** Renews again unless the newest renewal, with this number, has been answered. */
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
        keptAt = Math.max(keptAt, sentAt);
        shareOut();
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
        review();
    }

    @Override
    public void onChanges(List<StoreChanges.Change> changes) {
        review();
    }

    private void review() {
        Map<String, StoreItem> owners = members.owners();
        freeSince.keySet().removeAll(owners.keySet());
        members.remember();
        for (Map.Entry<String, Long> o : new ArrayList<>(owned.entrySet())) {
            StoreItem i = owners.get(o.getKey());
            boolean seen = watch.revision() >= o.getValue();
            if (seen && (i == null || i.revision() != o.getValue())) {
                giveUp(o.getKey(), o.getValue(), i == null ? "its key is gone" : "owned by " + i.value());
            }
        }
        owners.forEach(this::adopt);
        registerAgain();
        seekDuties();
    }

    /** The store may take keys away while their lease lives on. */
    private void registerAgain() {
        boolean whole = members.holdsAllOf(lease);
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
        boolean mine = i.value().equals(entry) && i.lease() == lease && lease != 0 && !released.contains(i.revision());
        if (mine && !owned.containsKey(duty) && !attempts.contains(duty)) {
            if (spent.contains(i.revision())) {
                takeAnew(duty, i.revision());
            } else {
                won(duty, i.revision());
            }
        }
    }

    /**
     * Writes the key once more, so that its revision rises: orders and writes of the time before carry a fence that
     * workers and the store refuse from then on, however late they arrive.
     */
    private void takeAnew(String duty, long fence) {
        attempts.add(duty);
        String key = JobKeys.owner(duty);
        store.commit(StoreCommit.builder()
                        .when(key, fence)
                        .put(key, entry, lease)
                        .build())
                .thenAcceptAsync(r -> taken(duty, r), loop::execute);
    }

    private void seekDuties() {
        if (stopping || lease == 0) {
            return;
        }
        Map<String, StoreItem> owners = members.owners();
        List<String> free = duties.stream()
                .filter(d -> !owners.containsKey(d) && !owned.containsKey(d) && !leavesToOthers(d))
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
                long later = delayMillis(order, duty, steps);
                loop.after(later, () -> take(duty));
                steps++;
            }
        }
    }

    private boolean isReturning() {
        return loop.clock().millis() - reopenedAt <= RETURN_MILLIS;
    }

    /** Returns how long after it has become free this entry tries for a duty, with so many others that it has by then. */
    private long delayMillis(OwnerRank order, String duty, int steps) {
        int place =
                leavesAny() ? MOST_PLACES : Math.min(MOST_PLACES, order.of(entry, duty, members.ranked(isReturning())));
        return place * STAGGER_MILLIS + Math.min(steps, MOST_STEPS) * NEXT_DUTY_MILLIS;
    }

    /**
     * Hands one duty over when another entry had better do it: planned restarts leave all duties to the entry that is
     * restarted last, and a small entry may win one while the large ones start.
     */
    private void shareOut() {
        long now = loop.clock().millis();
        members.see();
        if (stopping || now - sharedAt < SHARE_EVERY_MILLIS || owned.isEmpty()) {
            return;
        }
        Map<String, StoreItem> owners = members.owners();
        // What it has done for longest it goes on doing.
        Optional<String> newest = owned.keySet().stream().max(Comparator.comparingLong(this::wonAt));
        Optional<String> held = newest.filter(d -> now - wonAt(d) >= HELD_MILLIS);
        Optional<String> relief = members.order(owners).reliefOf(entry, members.settled(SETTLED_MILLIS));
        if (held.isPresent() && relief.isPresent() && owners.keySet().containsAll(duties)) {
            sharedAt = now;
            release(held.get(), relief.get() + " has less to do for what it can do");
        }
    }

    private long wonAt(String duty) {
        return wonAt.getOrDefault(duty, loop.clock().millis());
    }

    /** Hands a duty over: its owner writes what it alone knows, then the key goes. */
    private void release(String duty, String why) {
        Long fence = owned.get(duty);
        if (fence == null || handOvers.isUnderWay(fence)) {
            return;
        }
        handOvers
                .begin(duty, fence, HandOver.TO_ANOTHER_ENTRY)
                .thenRunAsync(() -> removeKey(duty, fence, why), loop::execute);
    }

    private void removeKey(String duty, long fence, String why) {
        if (!owned.remove(duty, fence)) {
            return;
        }
        spent.add(fence);
        listener.lost(duty, why);
        released.add(fence);
        String key = JobKeys.owner(duty);
        store.commit(StoreCommit.builder().when(key, fence).remove(key).build())
                .thenAcceptAsync(
                        r -> {
                            Log.info("duty-released", "duty", duty, "fence", fence, "outcome", r.outcome());
                            if (r.outcome() != CommitResult.Outcome.MADE) {
                                // It may still be this entry's, and then nobody else could take it up.
                                released.remove(fence);
                                loop.after(RETRY_MILLIS, this::review);
                            }
                        },
                        loop::execute);
    }

    private void take(String duty) {
        Map<String, StoreItem> owners = members.owners();
        boolean free = !owners.containsKey(duty) && !owned.containsKey(duty);
        if (!free || stopping || lease == 0 || !duties.contains(duty)) {
            attempts.remove(duty);
            return;
        }
        // It may have been owned and become free again since this try was planned: its time counts anew.
        long now = loop.clock().millis();
        long due = freeSince.getOrDefault(duty, now) + delayMillis(members.order(owners), duty, owned.size());
        if (now < due) {
            loop.after(due - now, () -> take(duty));
            return;
        }
        String key = JobKeys.owner(duty);
        store.commit(StoreCommit.builder().when(key, 0).put(key, entry, lease).build())
                .thenAcceptAsync(r -> taken(duty, r), loop::execute);
    }

    private void taken(String duty, CommitResult r) {
        attempts.remove(duty);
        if (r.outcome() == CommitResult.Outcome.MADE && !stopping) {
            won(duty, r.revision());
        } else if (r.outcome() != CommitResult.Outcome.CONFLICT) {
            loop.after(RETRY_MILLIS, this::review);
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
        owned.forEach((duty, fence) -> all.add(handOvers.begin(duty, fence, HandOver.OF_AN_ENTRY_THAT_ENDS)));
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
