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

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import org.lupinpaddle.core.fleet.RecentOrders;

/**
 * Tracks the instances that the owners of the fleet have ordered recently, and from when an owner in another process
 * may order each of them.
 */
final class OrderedInstances {

    // A congested link and a slow platform delay an order that has left its sender by up to this long.
    private static final long EXECUTION_MILLIS = 1_000;
    // The registration of a process that has stopped outlasts it by the time to live of its lease.
    private static final long REGISTRATION_LAG_MILLIS = OwnershipManager.TTL_MILLIS + 100;
    // The longest time from the last record of an owner that is killed or cut off until its successor takes over: the
    // time to live of its lease, and the delays with which the other entries try to acquire the duty.
    private static final long SUCCESSION_MILLIS = 4_000;
    // How long an instance is not ordered while a process with a pending order does not respond. A process that is
    // removed for good never responds.
    private static final long MAX_SILENCE_MILLIS = 20_000;

    /** What is known of the process that has sent an order. */
    private enum Sender {
        /** It has received the platform's answer, or has not sent the order. */
        SETTLED,
        /** It has run until the order was settled. */
        CONFIRMED,
        /** It may have stood still or been partitioned, and may have ended, before the order was settled. */
        SILENT,
        /** It has ended. */
        ENDED
    }

    /**
     * An instance ordered by this owner or an earlier one.
     *
     * @param life the life of the entry that ordered it
     * @param recordedAt when the order was recorded, or taken over from an earlier owner
     * @param sentAfter the earliest time at which the order can have been sent
     * @param settledAt from when the order can no longer reach the platform if its sender runs: its call has ended
     * @param orderableAt when an owner with another life may order it; if its sender has ended, from when the order can
     *     no longer be executed
     * @param sender what is known of its sender
     */
    private record Ordered(
            String life, long recordedAt, long sentAfter, long settledAt, long orderableAt, Sender sender) {

        Ordered with(long newSettledAt, long newOrderableAt, Sender newSender) {
            return new Ordered(life, recordedAt, sentAfter, newSettledAt, newOrderableAt, newSender);
        }

        /** Returns from when the order can no longer be executed if its sender has run until it was settled. */
        long overAt() {
            return sender == Sender.SETTLED ? settledAt : settledAt + EXECUTION_MILLIS;
        }
    }

    private final long takeOverMillis;
    private final long ownerGapMillis;
    private final long orderMillis;
    private final Map<String, Ordered> all = new HashMap<>();
    private final Map<String, Ordered> inherited = new HashMap<>();
    /** Until when the latest order without an answer may be executed, by instance. */
    private final Map<String, Long> unansweredUntil = new HashMap<>();

    /**
     * Creates an empty list.
     *
     * @param takeOverMillis how long an instance must not be ordered by another owner after its order was recorded
     * @param orderMillis the part of that time within which the order reaches the platform, if at all
     */
    OrderedInstances(long takeOverMillis, long orderMillis) {
        this.takeOverMillis = takeOverMillis;
        this.ownerGapMillis = takeOverMillis - orderMillis;
        this.orderMillis = orderMillis;
    }

    /**
     * Adds an earlier owner's record. The record was written before this ownership was won at {@code wonAt}, so its
     * remaining waits are at most as long now. The entries are included in this owner's own record in case it is
     * succeeded soon.
     *
     * @param timeOfDay the time of day at {@code wonAt}
     */
    void inherit(RecentOrders r, long wonAt, long timeOfDay) {
        r.lifeByInstance().forEach((i, life) -> {
            Long endedWaitMillis = r.endedWaitMillis(i);
            inherited.put(
                    i,
                    endedWaitMillis == null
                            ? inherited(r, i, life, wonAt, timeOfDay)
                            : new Ordered(life, wonAt, wonAt, wonAt, wonAt + endedWaitMillis, Sender.ENDED));
        });
        all.putAll(inherited);
    }

    private Ordered inherited(RecentOrders r, String instance, String life, long wonAt, long timeOfDay) {
        long waitMillis = r.waitMillis(instance, takeOverMillis);
        long settledAt = wonAt + waitMillis - ownerGapMillis;
        // The time of day may differ between machines.
        long minRecordAgeMillis = r.isPassedOn(instance, takeOverMillis) ? 0 : SUCCESSION_MILLIS;
        long recordAgeMillis = Math.max(minRecordAgeMillis, r.ageMillis(timeOfDay, SUCCESSION_MILLIS));
        long unsettledMillis = r.unsettledMillis(instance, takeOverMillis);
        long sentAfter = wonAt - recordAgeMillis - unsettledMillis;
        long silenceMillis = SUCCESSION_MILLIS + MAX_SILENCE_MILLIS - minRecordAgeMillis - unsettledMillis;
        long silenceEndsAt = wonAt + Math.max(takeOverMillis, silenceMillis);
        // The sender was running when it wrote the record, so its orders that were settled by then are confirmed.
        return waitMillis <= ownerGapMillis
                ? new Ordered(life, wonAt, sentAfter, settledAt, wonAt + waitMillis, Sender.CONFIRMED)
                : new Ordered(life, wonAt, sentAfter, settledAt, silenceEndsAt, Sender.SILENT);
    }

    /**
     * Shortens the waits for orders of ended lives, removes the orders that can no longer be executed, and returns the
     * instances of those that were inherited.
     */
    Set<String> dropEnded(Predicate<String> hasEnded, long now) {
        UnaryOperator<Ordered> end = o -> o.sender == Sender.ENDED || !hasEnded.test(o.life) ? o : endedAt(o, now);
        inherited.replaceAll((i, o) -> end.apply(o));
        all.replaceAll((i, o) -> end.apply(o));
        Predicate<Ordered> isOver = o -> o.sender == Sender.ENDED && now >= o.orderableAt;
        Set<String> dropped = new TreeSet<>(inherited.keySet());
        inherited.values().removeIf(isOver);
        all.values().removeIf(isOver);
        dropped.removeAll(inherited.keySet());
        return dropped;
    }

    /**
     * The bytes of a process that was killed during a partition may still be retransmitted after it, at intervals that
     * double: the next attempt comes at the latest when the order is twice as old as at the end of the partition. The
     * wait does not exceed that for a silent sender.
     */
    private Ordered endedAt(Ordered o, long now) {
        if (o.sender != Sender.SILENT) {
            return o.with(o.settledAt, Math.min(o.orderableAt, o.overAt()), Sender.ENDED);
        }
        long lastAttemptAt = now + (now - o.sentAfter);
        long limit = Math.max(o.orderableAt, now + EXECUTION_MILLIS);
        return o.with(o.settledAt, Math.min(lastAttemptAt + EXECUTION_MILLIS, limit), Sender.ENDED);
    }

    /**
     * Marks silent senders that are registered as confirmed: they have been running since their orders were due to be
     * settled. A process that was suspended or partitioned settles its orders when it resumes.
     *
     * @param seenAt since when the registrations may have changed unseen
     */
    void confirmRunning(Predicate<String> isRegistered, long seenAt, long now) {
        UnaryOperator<Ordered> confirm = o -> {
            boolean heard = o.sender == Sender.SILENT
                    && seenAt >= o.settledAt + REGISTRATION_LAG_MILLIS
                    && isRegistered.test(o.life);
            return heard ? confirmedAt(o, now) : o;
        };
        inherited.replaceAll((i, o) -> confirm.apply(o));
        all.replaceAll((i, o) -> confirm.apply(o));
    }

    private Ordered confirmedAt(Ordered o, long now) {
        long orderableAt = Math.max(o.settledAt + ownerGapMillis, now + EXECUTION_MILLIS);
        return o.with(now, orderableAt, Sender.CONFIRMED);
    }

    /** Returns each inherited instance with the life that ordered it and the remaining wait, for the log. */
    String describeInherited(long now) {
        return new TreeMap<>(inherited)
                .entrySet().stream()
                        .map(e -> e.getKey() + "=" + e.getValue().life + "+"
                                + Math.max(0, e.getValue().orderableAt - now))
                        .collect(Collectors.joining(","));
    }

    /** Returns the instances that earlier owners have ordered, and until when they must not be ordered. */
    Map<String, Long> blockedUntil() {
        Map<String, Long> until = new HashMap<>();
        inherited.forEach((i, o) -> until.put(i, o.orderableAt));
        return until;
    }

    /**
     * Records that the call of the instance's latest order has ended without an answer. The order is not on its way any
     * more, but may still be executed.
     */
    void onUnanswered(String instance, long now) {
        unansweredUntil.put(instance, now + EXECUTION_MILLIS);
        settle(instance, now, Sender.CONFIRMED);
    }

    private void settle(String instance, long settledAt, Sender sender) {
        all.computeIfPresent(
                instance,
                (i, o) -> o.with(
                        Math.min(o.settledAt, settledAt), Math.min(o.orderableAt, settledAt + ownerGapMillis), sender));
    }

    /** Records that this owner is about to order instances. */
    void onOrdering(Collection<String> instances, String life, long now) {
        Ordered o = new Ordered(life, now, now, now + orderMillis, now + takeOverMillis, Sender.CONFIRMED);
        instances.forEach(i -> all.put(i, o));
    }

    /**
     * Records that the platform has answered the latest order of the instance, or that it was not sent. The required
     * time between two owners' orders starts now, or once an earlier order without an answer can no longer be executed.
     */
    void onSettled(String instance, long now) {
        settle(instance, Math.max(now, unansweredUntil.getOrDefault(instance, now)), Sender.SETTLED);
    }

    /**
     * Removes the orders of a life that is about to end, except those that may still be executed and those for the given
     * instances.
     */
    void dropSettledOf(String life, Set<String> exceptions, long now) {
        all.entrySet().removeIf(e -> {
            Ordered o = e.getValue();
            boolean over = o.sender != Sender.SILENT && now >= o.overAt();
            return o.life.equals(life) && over && !exceptions.contains(e.getKey());
        });
    }

    /** Returns whether an order is recorded that has expired. */
    boolean hasExpired(long now) {
        return all.values().stream().anyMatch(o -> isExpired(o, now));
    }

    /**
     * Returns whether an instance still must not be ordered, in which case rewriting the record now would shorten the
     * recorded wait.
     */
    boolean hasWaiting(long now) {
        return all.values().stream().anyMatch(o -> now < o.orderableAt);
    }

    /** Removes expired orders and returns a record of the others with their remaining waits. */
    RecentOrders record(long now, long timeOfDay) {
        all.values().removeIf(o -> isExpired(o, now));
        Map<String, String> lives = new TreeMap<>();
        Map<String, Long> waits = new TreeMap<>();
        Map<String, Long> endedWaits = new TreeMap<>();
        all.forEach((i, o) -> {
            lives.put(i, o.life);
            waits.put(i, waitForSuccessor(o, now));
            if (o.sender == Sender.ENDED) {
                endedWaits.put(i, Math.max(0, o.orderableAt - now));
            }
        });
        return new RecentOrders(lives, waits, endedWaits, timeOfDay);
    }

    private long waitForSuccessor(Ordered o, long now) {
        // A value above the maximum wait marks an order that may be pending; the excess is its age.
        return o.sender == Sender.SILENT
                ? takeOverMillis + now - o.sentAfter
                // A successor derives from it until when the order may be executed.
                : Math.max(0, o.settledAt + ownerGapMillis - now);
    }

    private boolean isExpired(Ordered o, long now) {
        return now >= o.orderableAt && now - o.recordedAt > takeOverMillis;
    }
}
