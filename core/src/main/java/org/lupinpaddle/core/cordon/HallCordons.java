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
package org.lupinpaddle.core.cordon;

import java.util.Collection;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * An immutable view of the cordoned data halls. A view that has not been confirmed recently may be missing a cordon,
 * so nothing is started based on it.
 *
 * @param byHall the cordons in force, by hall
 * @param confirmedAt the time up to which the view is known to be complete, in milliseconds of the monotonic clock
 * @param maxAgeMillis how long after that time tasks may be started
 */
public record HallCordons(Map<String, Cordon> byHall, long confirmedAt, long maxAgeMillis) {

    /** The view of a deployment without cordons: always current. */
    public static final HallCordons DISABLED = new HallCordons(Map.of(), 0, Long.MAX_VALUE);

    /** Creates a view with a copy of the map. */
    public HallCordons {
        byHall = Map.copyOf(byHall);
    }

    /** Returns the view of an entry that has not read the cordons yet; it is not current. */
    public static HallCordons unread(long maxAgeMillis) {
        return new HallCordons(Map.of(), Long.MIN_VALUE / 2, maxAgeMillis);
    }

    /** Returns a view of the given cordons. */
    public static HallCordons of(Collection<Cordon> cordons, long confirmedAt, long maxAgeMillis) {
        return new HallCordons(
                cordons.stream().collect(Collectors.toMap(Cordon::hall, Function.identity(), (a, b) -> b)),
                confirmedAt,
                maxAgeMillis);
    }

    /** Returns whether the hall is cordoned. */
    public boolean isCordoned(String hall) {
        return byHall.containsKey(hall);
    }

    /** Returns whether any hall is cordoned. */
    public boolean isAnyCordoned() {
        return !byHall.isEmpty();
    }

    /** Returns the cordoned halls. */
    public Set<String> halls() {
        return byHall.keySet();
    }

    /** Returns whether the view is recent enough to start tasks at {@code now}, by the monotonic clock. */
    public boolean isCurrent(long now) {
        return now - confirmedAt <= maxAgeMillis;
    }

    /** Returns whether all the given halls are cordoned; false if none is given. */
    public boolean coversAll(Set<String> halls) {
        return !halls.isEmpty() && byHall.keySet().containsAll(halls);
    }
}
