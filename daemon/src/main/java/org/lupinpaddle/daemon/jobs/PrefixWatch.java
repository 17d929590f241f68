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
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.lupinpaddle.daemon.common.EventLoop;
import org.lupinpaddle.daemon.common.Log;
import org.lupinpaddle.daemon.port.KeyValueStore;
import org.lupinpaddle.daemon.port.StoreChanges;
import org.lupinpaddle.daemon.port.StoreException;
import org.lupinpaddle.daemon.port.StoreItem;
import org.lupinpaddle.daemon.port.StoreRange;

/**
 * Maintains a copy of all items under a prefix: reads them and then watches for changes. If the store no longer has
 * the required history, everything is read again. All calls and callbacks run on the event loop unless stated
 * otherwise.
 */
final class PrefixWatch implements AutoCloseable {

    private static final long RETRY_MILLIS = 200;
    // A lost answer is noticed after this time and the time limit of a call, which is sooner than the 3 s without
    // faults after which the platform measures an entry against its limits.
    static final long WATCH_MILLIS = 1_500;

    private final KeyValueStore store;
    private final EventLoop loop;
    private final String prefix;
    private final long batchMillis;
    private final long watchMillis;
    private final Listener listener;
    private final Map<String, StoreItem> items = new LinkedHashMap<>();
    private long revision;
    private long confirmedAt = Long.MIN_VALUE / 2;
    private boolean reachable = true;
    private boolean closed;

    /** Receives changes of the items. */
    interface Listener {
        /** Called when all items have been read; items not among them no longer exist. */
        void onRead();

        /** Called on any thread when a page of a read has arrived; more may follow. */
        default void onPage() {}

        /** Called when items were changed or removed. */
        void onChanges(List<StoreChanges.Change> changes);

        /** Returns a listener that runs the same action for every read and every change. */
        static Listener forAnyChange(Runnable step) {
            return new Listener() {
                @Override
                public void onRead() {
                    step.run();
                }

                @Override
                public void onChanges(List<StoreChanges.Change> changes) {
                    step.run();
                }
            };
        }
    }

    PrefixWatch(KeyValueStore store, EventLoop loop, String prefix, Listener listener) {
        this(store, loop, prefix, 0, listener);
    }

    /**
     * Creates a watch that waits after each change so that further changes are batched, since every answer has a
     * cost.
     */
    PrefixWatch(KeyValueStore store, EventLoop loop, String prefix, long batchMillis, Listener listener) {
        this(store, loop, prefix, batchMillis, WATCH_MILLIS, listener);
    }

    /**
     * Creates a watch that waits after each change, and whose calls are answered after a given time without changes.
     *
     * @param batchMillis the waiting time after a change
     * @param watchMillis the time after which a call without changes is answered
     */
    PrefixWatch(
            KeyValueStore store, EventLoop loop, String prefix, long batchMillis, long watchMillis, Listener listener) {
        this.store = store;
        this.loop = loop;
        this.prefix = prefix;
        this.batchMillis = batchMillis;
        this.watchMillis = watchMillis;
        this.listener = listener;
    }

    /** Reads all items, then watches until closed. */
    void start() {
        if (closed) {
            return;
        }
        long sentAt = loop.clock().millis();
        store.range(prefix, listener::onPage)
                .whenComplete((r, why) -> loop.execute(() -> {
                    if (why != null) {
                        retryAfterFailure(why, this::start);
                    } else {
                        onRangeRead(r, sentAt);
                    }
                }));
    }

    private void onRangeRead(StoreRange r, long sentAt) {
        if (closed) {
            return;
        }
        onAnswered(sentAt);
        items.clear();
        r.items().forEach(i -> items.put(i.key(), i));
        revision = r.revision();
        notifyListener(listener::onRead);
        watch();
    }

    private void watch() {
        if (closed) {
            return;
        }
        long sentAt = loop.clock().millis();
        store.watch(prefix, revision, watchMillis)
                .whenComplete((c, why) -> loop.execute(() -> {
                    if (why != null) {
                        watchFailed(why);
                    } else {
                        onWatchAnswered(c, sentAt);
                    }
                }));
    }

    private void watchFailed(Throwable why) {
        boolean gone = StoreFailure.kind(why) == StoreException.Kind.HISTORY_GONE;
        if (gone) {
            Log.info("watch-history-gone", "prefix", prefix, "revision", revision);
            start();
        } else {
            retryAfterFailure(why, this::start);
        }
    }

    private void onWatchAnswered(StoreChanges c, long sentAt) {
        if (closed) {
            return;
        }
        onAnswered(sentAt);
        revision = Math.max(revision, c.revision());
        for (StoreChanges.Change change : c.changes()) {
            if (change.item() == null) {
                items.remove(change.key());
            } else {
                items.put(change.key(), change.item());
            }
        }
        if (c.changes().isEmpty()) {
            watch();
            return;
        }
        notifyListener(() -> listener.onChanges(c.changes()));
        if (batchMillis == 0) {
            watch();
        } else {
            loop.after(batchMillis, this::watch);
        }
    }

    /** Calls the listener. If it fails, the watch continues, so that later changes are not missed. */
    private void notifyListener(Runnable call) {
        try {
            call.run();
        } catch (RuntimeException | StackOverflowError e) {
            Log.error("watch-listener-failed", e);
        }
    }

    private void onAnswered(long sentAt) {
        confirmedAt = sentAt;
        if (!reachable) {
            reachable = true;
            Log.info("watch-regained", "prefix", prefix);
        }
    }

    private void retryAfterFailure(Throwable why, Runnable retry) {
        if (closed) {
            return;
        }
        if (reachable) {
            reachable = false;
            Log.warn("watch-lost", "prefix", prefix, "why", StoreFailure.text(why));
        }
        loop.after(RETRY_MILLIS, retry);
    }

    /** Returns the items as last seen. */
    Collection<StoreItem> items() {
        return items.values();
    }

    /** Returns the store revision up to which the items are known. */
    long revision() {
        return revision;
    }

    /** Returns the time since which the items may be out of date: when the latest answered call was sent. */
    long confirmedAt() {
        return confirmedAt;
    }

    @Override
    public void close() {
        closed = true;
    }
}
