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
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.cordon.Cordon;
import org.lupinpaddle.core.cordon.HallCordons;
import org.lupinpaddle.daemon.common.Log;
import org.lupinpaddle.daemon.jobs.UnreadableEntries.Kind;
import org.lupinpaddle.daemon.port.StoreItem;

/** Maintains this entry's view of the cordoned data halls, and logs its changes. */
final class CordonFeed {

    // Part of the bound: a start that is sent at the greatest age of the view may reach its worker this much later.
    private static final long START_CALL_MILLIS = 1_200;
    // A slow store takes 250 ms to answer; with less, an idle view was not current for part of each period.
    private static final long WATCH_CALL_MILLIS = 300;

    private final CordonRecords records;
    private final UnreadableEntries unreadable;
    private final long boundMillis;
    private Map<String, Cordon> byHall = Map.of();
    /** Since when the view is logged as not current; null if it is logged as current. */
    private @Nullable Long unconfirmedSince;

    /**
     * Creates a feed without any cordon.
     *
     * @param boundMillis how long after a hall was cordoned tasks may still start there; 0 if the deployment has no
     *     cordons
     */
    CordonFeed(CordonRecords records, UnreadableEntries unreadable, long boundMillis) {
        this.records = records;
        this.unreadable = unreadable;
        this.boundMillis = boundMillis;
    }

    /** Returns whether the deployment has cordons. */
    boolean isEnabled() {
        return boundMillis > 0;
    }

    /** Returns the waiting time of the watch, in milliseconds, with which an idle view stays current. */
    long watchMillis() {
        return Math.min(PrefixWatch.WATCH_MILLIS, maxAgeMillis() / 2 - WATCH_CALL_MILLIS);
    }

    private long maxAgeMillis() {
        return Math.min(ConfigurationFeed.CONFIRMED_MILLIS, boundMillis - START_CALL_MILLIS);
    }

    /** Replaces the view by the cordons among all items of the operators. */
    void update(Collection<StoreItem> items) {
        report(items.stream().filter(records::isCordon).toList());
        Map<String, Cordon> next = Map.copyOf(records.inForce(items));
        Map<String, Cordon> previous = byHall;
        byHall = next;
        new TreeMap<>(previous).forEach((hall, c) -> {
            if (!next.containsKey(hall)) {
                log(c, "lifted");
            }
        });
        new TreeMap<>(next).forEach((hall, c) -> {
            if (!c.equals(previous.get(hall))) {
                log(c, "in-force");
            }
        });
    }

    private static void log(Cordon c, String state) {
        Log.info("cordon", "hall", c.hall(), "state", state, "revision", c.revision());
    }

    private void report(List<StoreItem> items) {
        unreadable.retainOnly(records.prefix(), items);
        for (StoreItem i : items) {
            records.fault(i)
                    .ifPresentOrElse(
                            why -> unreadable.markUnreadable(
                                    new UnreadableEntries.Entry(Kind.CORDON, i.key(), i.revision(), why)),
                            () -> unreadable.markReadable(i.key()));
        }
    }

    /** Returns the view, given the time up to which the items are known to be complete. */
    HallCordons view(long confirmedAt) {
        return isEnabled() ? new HallCordons(byHall, confirmedAt, maxAgeMillis()) : HallCordons.DISABLED;
    }

    /** Returns whether all halls of the deployment are cordoned for certain at {@code now}. */
    boolean coversAllHalls(long confirmedAt, long now) {
        HallCordons view = view(confirmedAt);
        return view.isCurrent(now) && view.coversAll(records.halls());
    }

    /**
     * Logs whether the view is current, if that has changed and the entry owns a service, which depends on it. Returns
     * whether the view counts as current in the log; it does for an entry that owns no service.
     */
    boolean logConfirmation(boolean ownsService, long confirmedAt, long now) {
        boolean current = !ownsService || view(confirmedAt).isCurrent(now);
        Long since = unconfirmedSince;
        if (!current && since == null) {
            unconfirmedSince = now;
            Log.warn(
                    "cordons-unconfirmed",
                    "age-millis",
                    confirmedAt <= Long.MIN_VALUE / 2 ? "never" : now - confirmedAt);
        } else if (current && since != null) {
            unconfirmedSince = null;
            if (ownsService) {
                Log.info("cordons-confirmed", "after-millis", now - since, "halls", byHall.size());
            }
        }
        return current;
    }
}
