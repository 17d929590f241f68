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
import java.util.TreeMap;
import java.util.function.BiPredicate;
import java.util.function.Predicate;
import org.lupinpaddle.core.fleet.RecentOrders;

/** Which instances the owners of the fleet have ordered lately, and from when on an owner of another life may order each. */
final class OrderedInstances {

    /**
     * An instance that this owner or an inherited one has ordered.
     *
     * @param life the life of the entry that ordered it
     * @param at when that was written down, or taken over
     * @param freeAt from when on an owner of another life may order it
     */
    private record Ordered(String life, long at, long freeAt) {}

    private final long takeOverMillis;
    private final long orderMillis;
    private final Map<String, Ordered> all = new HashMap<>();
    private final Map<String, Ordered> inherited = new HashMap<>();

    /**
     * Makes an empty list.
     *
     * @param takeOverMillis how long an instance is left alone from the writing of its order on
     * @param orderMillis the part of it within which the order reaches the platform, if it does
     */
    OrderedInstances(long takeOverMillis, long orderMillis) {
        this.takeOverMillis = takeOverMillis;
        this.orderMillis = orderMillis;
    }

    /**
     * Takes in an inherited owner's record. It was written before this ownership was won, at {@code wonAt}: what was left to
     * wait then is no longer now. It is told on, should this owner be followed soon.
     */
    void takeOver(RecentOrders r, long wonAt) {
        r.lifeByInstance()
                .forEach((i, life) ->
                        inherited.put(i, new Ordered(life, wonAt, wonAt + r.waitMillis(i, takeOverMillis))));
        all.putAll(inherited);
    }

    /** Drops what lives that are over have ordered, and returns how many of the inherited owners' instances that were. */
    int dropEnded(Predicate<String> isOver) {
        int before = inherited.size();
        inherited.values().removeIf(o -> isOver.test(o.life));
        all.values().removeIf(o -> isOver.test(o.life));
        return before - inherited.size();
    }

    /** Returns until when the instances are to be left alone that inherited owners have ordered. */
    Map<String, Long> blockedUntil() {
        Map<String, Long> until = new HashMap<>();
        inherited.forEach((i, o) -> until.put(i, o.freeAt));
        return until;
    }

    /** Takes in that this owner is about to order instances. */
    void onOrdering(Collection<String> instances, String life, long now) {
        instances.forEach(i -> all.put(i, new Ordered(life, now, now + takeOverMillis)));
    }

    /** Takes in that no order of before can reach the platform any more: the time between two owners runs from now on. */
    void onAnswered(String instance, long now) {
        long freeAt = now + takeOverMillis - orderMillis;
        all.computeIfPresent(instance, (i, o) -> new Ordered(o.life, o.at, Math.min(o.freeAt, freeAt)));
    }

    /** Drops all but those that pass, by instance and the life that ordered it. */
    void keepOnly(BiPredicate<String, String> kept) {
        all.entrySet().removeIf(o -> !kept.test(o.getKey(), o.getValue().life));
    }

    /** Returns whether an instance is on the record for too long. */
    boolean hasExpired(long now) {
        return all.values().stream().anyMatch(o -> isExpired(o, now));
    }

    /** Returns whether an instance is still to be left alone, so that a record written now tells of a shorter wait. */
    boolean hasWaiting(long now) {
        return all.values().stream().anyMatch(o -> now < o.freeAt);
    }

    /** Drops what is old, and returns the record of the rest, as of now. */
    RecentOrders record(long now) {
        all.values().removeIf(o -> isExpired(o, now));
        Map<String, String> lives = new TreeMap<>();
        Map<String, Long> waits = new TreeMap<>();
        all.forEach((i, o) -> {
            lives.put(i, o.life);
            waits.put(i, Math.max(0, o.freeAt - now));
        });
        return new RecentOrders(lives, waits);
    }

    private boolean isExpired(Ordered o, long now) {
        return now - o.at > takeOverMillis;
    }
}
