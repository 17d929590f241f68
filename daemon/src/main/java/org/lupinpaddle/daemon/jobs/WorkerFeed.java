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
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lupinpaddle.core.placement.WorkerFacts;
import org.lupinpaddle.daemon.common.EventLoop;
import org.lupinpaddle.daemon.jobs.UnreadableEntries.Kind;
import org.lupinpaddle.daemon.port.KeyValueStore;
import org.lupinpaddle.daemon.port.PlatformRecords;
import org.lupinpaddle.daemon.port.StoreChanges;
import org.lupinpaddle.daemon.port.StoreItem;

/** Follows the workers that the platform lists. */
final class WorkerFeed implements PrefixWatch.Listener, AutoCloseable {

    // Workers' records change every few dozen milliseconds; a worker gives 2 s notice before it leaves.
    private static final long BATCH_MILLIS = 250;

    private final PlatformRecords records;
    private final UnreadableEntries unreadable;
    private final PrefixWatch watch;
    private final Runnable onChange;
    private final Map<String, WorkerFacts> byKey = new HashMap<>();

    WorkerFeed(
            KeyValueStore store,
            EventLoop loop,
            PlatformRecords records,
            UnreadableEntries unreadable,
            Runnable onChange) {
        this.records = records;
        this.unreadable = unreadable;
        this.onChange = onChange;
        watch = new PrefixWatch(store, loop, records.workerPrefix(), BATCH_MILLIS, this);
    }

    void start() {
        watch.start();
    }

    /** Returns the time since which the list may be out of date. */
    long confirmedAt() {
        return watch.confirmedAt();
    }

    /** Returns the workers of a service. */
    List<WorkerFacts> of(String service) {
        return byKey.values().stream().filter(w -> w.service().equals(service)).toList();
    }

    @Override
    public void onRead() {
        byKey.clear();
        unreadable.retainOnly(records.workerPrefix(), watch.items());
        new ArrayList<>(watch.items()).forEach(this::update);
        onChange.run();
    }

    @Override
    public void onChanges(List<StoreChanges.Change> changes) {
        for (StoreChanges.Change c : changes) {
            if (c.item() == null) {
                byKey.remove(c.key());
                unreadable.onRemoved(c.key());
            } else {
                update(c.item());
            }
        }
        onChange.run();
    }

    /**
     * Removes a worker with an unreadable record from the list, so nothing new is started on it. Its running tasks
     * are kept: the owner continues to use the known address.
     */
    private void update(StoreItem item) {
        WorkerFacts w = unreadable.recordOrNull(Kind.WORKER, item, records::worker);
        if (w == null) {
            byKey.remove(item.key());
        } else {
            byKey.put(item.key(), w);
        }
    }

    @Override
    public void close() {
        watch.close();
    }
}
