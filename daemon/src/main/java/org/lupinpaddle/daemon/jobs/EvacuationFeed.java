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

import io.vavr.control.Either;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import org.lupinpaddle.core.common.RecordCodec;
import org.lupinpaddle.core.common.Unreadable;
import org.lupinpaddle.core.job.SchedulerKeys;
import org.lupinpaddle.core.upkeep.EvacuationRecord;
import org.lupinpaddle.daemon.common.EventLoop;
import org.lupinpaddle.daemon.common.Log;
import org.lupinpaddle.daemon.jobs.UnreadableEntries.Kind;
import org.lupinpaddle.daemon.port.KeyValueStore;
import org.lupinpaddle.daemon.port.StoreItem;

/** Follows the requests of the fleet's owner to evacuate workers of a service, and answers them. */
final class EvacuationFeed implements AutoCloseable {

    private static final long RETRY_MILLIS = 150;

    private final EventLoop loop;
    private final String service;
    private final FencedRecordWriter records;
    private final UnreadableEntries unreadable;
    private final PrefixWatch watch;
    private final BiConsumer<Set<String>, Set<String>> onChange;
    private final Map<String, StoreItem> requests = new HashMap<>();
    private boolean read;
    /** Workers whose request was readable before but is not now; these requests are not answered. */
    private final Set<String> unreadableWorkers = new HashSet<>();
    /**
     * The revision of the last answered request by worker. A repeated request has a newer revision and is answered
     * again.
     */
    private final Map<String, Long> answered = new HashMap<>();

    /**
     * Creates the feed.
     *
     * @param records writes the answers
     * @param onChange receives the workers to evacuate and, of these, the ones whose evacuation is urgent
     */
    EvacuationFeed(
            KeyValueStore store,
            EventLoop loop,
            String service,
            FencedRecordWriter records,
            UnreadableEntries unreadable,
            BiConsumer<Set<String>, Set<String>> onChange) {
        this.loop = loop;
        this.service = service;
        this.records = records;
        this.unreadable = unreadable;
        this.onChange = onChange;
        watch = new PrefixWatch(
                store, loop, SchedulerKeys.evacuations(service), PrefixWatch.Listener.forAnyChange(this::changed));
    }

    void start() {
        watch.start();
    }

    /** Returns whether the evacuation requests have been read. */
    boolean isRead() {
        return read;
    }

    private void changed() {
        read = true;
        Map<String, StoreItem> previous = Map.copyOf(requests);
        requests.clear();
        unreadableWorkers.clear();
        unreadable.retainOnly(SchedulerKeys.evacuations(service), watch.items());
        Set<String> urgent = new HashSet<>();
        for (StoreItem i : watch.items()) {
            EvacuationRecord r = unreadable.recordOrNull(Kind.EVACUATION, i, EvacuationFeed::read);
            if (r == null) {
                keepLastReadable(i, previous);
            } else {
                requests.put(r.worker(), i);
                if (r.urgent()) {
                    urgent.add(r.worker());
                }
            }
        }
        answered.keySet().retainAll(requests.keySet());
        onChange.accept(requests.keySet(), urgent);
    }

    /**
     * Keeps the last readable version of a request that has become unreadable, because the instance order that
     * depends on it may be about to be sent.
     */
    private void keepLastReadable(StoreItem i, Map<String, StoreItem> previous) {
        String worker = SchedulerKeys.evacuatedWorker(i.key());
        StoreItem lastReadable = previous.get(worker);
        if (lastReadable != null) {
            requests.put(worker, lastReadable);
            unreadableWorkers.add(worker);
        }
    }

    /**
     * Reports that a worker runs no tasks. If the requester got no answer to its write it writes the request again,
     * which overwrites the earlier report; therefore every request that does not show the report is answered.
     */
    void answerEmpty(String worker) {
        StoreItem item = requests.get(worker);
        if (item == null
                || unreadableWorkers.contains(worker)
                || Long.valueOf(item.revision()).equals(answered.get(worker))) {
            return;
        }
        EvacuationRecord record = read(item).getOrNull();
        if (record != null && !record.empty()) {
            answered.put(worker, item.revision());
            Log.info("worker-emptied", "worker", worker, "errand", record.errand());
            write(worker, item, RecordCodec.write(record.asEmpty()));
        }
    }

    private void write(String worker, StoreItem item, String answer) {
        records.expectRevision(item.key(), item.revision());
        records.write(Map.of(item.key(), answer), outcome -> {
            if (outcome == FencedRecordWriter.Outcome.RETRY || outcome == FencedRecordWriter.Outcome.OVERTAKEN) {
                loop.after(RETRY_MILLIS, () -> answered.remove(worker, item.revision()));
            }
        });
    }

    /** Parses an evacuation request, or returns why it is unreadable. */
    static Either<Unreadable, EvacuationRecord> read(StoreItem i) {
        return i.text().flatMap(t -> EvacuationRecord.read(t, SchedulerKeys.evacuatedWorker(i.key())));
    }

    @Override
    public void close() {
        watch.close();
    }
}
