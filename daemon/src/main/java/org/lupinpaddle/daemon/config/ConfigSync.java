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
package org.lupinpaddle.daemon.config;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.common.Clock;
import org.lupinpaddle.core.common.StoreKeys;
import org.lupinpaddle.core.view.FleetView;
import org.lupinpaddle.core.view.StoredRecord;
import org.lupinpaddle.daemon.common.EventLoop;
import org.lupinpaddle.daemon.common.Log;
import org.lupinpaddle.daemon.platform.Platform;
import org.lupinpaddle.daemon.platform.Platform.RangeResult;

/**
 * Keeps the view of the configuration up to date by three ways, each enough by itself: the watch of the
 * hall's one watcher, which hands records on to its neighbours; a slow poll by every entry, one range read
 * above the last revision; and, while the platform is away, asking a neighbour whose heartbeat names a
 * newer revision. All methods are called on the event loop.
 */
public final class ConfigSync {

    private static final long PLATFORM_OK_MILLIS = 6_000;
    private static final long WATCH_RETRY_MILLIS = 1_000;
    private static final long WANT_AGAIN_MILLIS = 500;

    /** What the sync tells the rest of the entry. */
    public interface Listener {
        /** The view has changed; {@code above} is the revision it had before. */
        void onChange(long above);
    }

    private final Platform platform;
    private final EventLoop loop;
    private final Clock clock;
    private final MetricRegistry metrics;
    private final long pollMillis;
    private final Listener listener;
    private final FleetView view = new FleetView();
    private final List<Runnable> waiters = new ArrayList<>();
    private Platform.@Nullable Watch watch;
    private boolean watchWanted;
    private boolean polling;
    private boolean pollAgain;
    private boolean stale;
    private long lastContact = Long.MIN_VALUE / 2;
    private long lastWanted = Long.MIN_VALUE / 2;

    /** Makes the sync, which polls every {@code pollMillis}. */
    public ConfigSync(Platform platform, EventLoop loop, MetricRegistry metrics, long pollMillis, Listener listener) {
        this.platform = platform;
        this.loop = loop;
        this.clock = loop.clock();
        this.metrics = metrics;
        this.pollMillis = pollMillis;
        this.listener = listener;
    }

    /** Returns the view that is in force. */
    public FleetView view() {
        return view;
    }

    /** Returns whether there is a configuration to serve from. */
    public boolean hasConfiguration() {
        return view.revision() > 0;
    }

    /** Returns whether the platform's store has answered lately. */
    public boolean platformOk() {
        return clock.millis() - lastContact <= PLATFORM_OK_MILLIS;
    }

    /** Starts polling. */
    public void start() {
        poll();
    }

    /** Reads what has changed, now; while a read is under way, once more after it. */
    public void pollNow() {
        pollAgain = polling;
        if (!polling) {
            read();
        }
    }

    private void poll() {
        pollNow();
        // The spread keeps entries that started together, or were let back in together, out of step.
        loop.after(pollMillis / 2 + ThreadLocalRandom.current().nextLong(pollMillis), this::poll);
    }

    private void read() {
        polling = true;
        long above = view.revision();
        long asked = clock.millis();
        var unused = platform.range(StoreKeys.CONFIG, above + 1)
                .whenComplete((r, failure) -> loop.execute(() -> {
                    polling = false;
                    if (failure == null) {
                        lastContact = asked;
                        take(r.records(), above, r.revision());
                    }
                    runWaiters();
                    if (pollAgain) {
                        pollAgain = false;
                        read();
                    }
                }));
    }

    private void take(List<StoredRecord> records, long above, long upTo) {
        long before = view.contentRevision();
        boolean applied = view.apply(records, above, upTo);
        view.drainUnreadable().forEach(r -> Log.warn("record-unreadable", "record", r));
        if (applied && (before != view.contentRevision() || before == 0)) {
            metrics.counter("config.changes").inc();
            listener.onChange(before);
        }
    }

    /** Says whether this entry is the one of its hall that watches the store. */
    public void setWatcher(boolean wanted) {
        watchWanted = wanted;
        Platform.Watch w = watch;
        if (!wanted && w != null) {
            w.stop();
            watch = null;
        } else if (wanted && w == null && hasConfiguration()) {
            watch = platform.watch(
                    StoreKeys.CONFIG,
                    view.revision() + 1,
                    r -> loop.execute(() -> onEvents(r)),
                    () -> loop.after(WATCH_RETRY_MILLIS, this::watchEnded));
        }
    }

    private void watchEnded() {
        watch = null;
        setWatcher(watchWanted);
    }

    private void onEvents(RangeResult r) {
        lastContact = clock.millis();
        // Events come in order and without gaps from where the watch began, so none lies between.
        if (!r.records().isEmpty()) {
            take(r.records(), view.revision(), r.revision());
        }
    }

    /** Returns whether this entry watches the store now. */
    public boolean isWatching() {
        return watch != null;
    }

    /** Takes records of a neighbour that hold all writes after {@code above} up to {@code upTo}. */
    public void onRecords(List<StoredRecord> records, long above, long upTo) {
        take(records, above, upTo);
    }

    /** Returns whether to ask a neighbour for records, its newest being {@code revision}. */
    public boolean wantsFrom(long revision) {
        long now = clock.millis();
        if (revision <= view.contentRevision() || now - lastWanted < WANT_AGAIN_MILLIS) {
            return false;
        }
        lastWanted = now;
        return true;
    }

    /** Notes a gap in this entry's own time: nothing new is sent until the view was refreshed or that failed. */
    public void onGap(long millis) {
        Log.warn("clock-gap", "gap_ms", millis);
        stale = true;
        pollNow();
    }

    /** Runs a step once the view is known to be fresh; at once unless there was a gap. */
    public void whenFresh(Runnable step) {
        if (stale) {
            waiters.add(step);
        } else {
            step.run();
        }
    }

    /** Reads what has changed and then runs a step, also where the read failed. */
    public void refresh(Runnable then) {
        waiters.add(then);
        pollNow();
    }

    // A read that began before a step was put off tells it nothing: then the next read follows at once.
    private void runWaiters() {
        if (pollAgain) {
            return;
        }
        stale = false;
        List<Runnable> steps = List.copyOf(waiters);
        waiters.clear();
        steps.forEach(Runnable::run);
    }
}
