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
package org.lupinpaddle.core.common;

import java.util.Optional;

/**
 * The urgency classes of work. Each class is queued as if it had arrived later by its handicap, so urgent work
 * goes first, while work that has waited longer than its handicap can not be starved.
 */
public enum Urgency {
    /** Starts before everything else, such as a clip for the morning news or a fault check. */
    URGENT("urgent", 0, 100),
    /** Ordinary work. */
    NORMAL("normal", 60_000, 80),
    /** May wait for minutes behind the other classes, such as archive and rebroadcast work. */
    MAY_WAIT("may-wait", 600_000, 50);

    private static final int PERCENT = 100;

    private final String wireName;
    private final long handicapMillis;
    private final int queueShare;

    Urgency(String wireName, long handicapMillis, int queueShare) {
        this.wireName = wireName;
        this.handicapMillis = handicapMillis;
        this.queueShare = queueShare;
    }

    /** Returns the name used in headers and commands. */
    public String wireName() {
        return wireName;
    }

    /** Returns the time by which work of this class that arrived at {@code arrival} is ordered in a queue. */
    public long orderTime(long arrival) {
        return arrival + handicapMillis;
    }

    /** Returns the queue length from which work of this class is refused, for a queue of this capacity. */
    public int queueLimit(int capacity) {
        return capacity * queueShare / PERCENT;
    }

    /** Returns the class with this wire name, or empty if there is none. */
    public static Optional<Urgency> ofWireName(String name) {
        for (Urgency u : values()) {
            if (u.wireName.equals(name)) {
                return Optional.of(u);
            }
        }
        return Optional.empty();
    }
}
