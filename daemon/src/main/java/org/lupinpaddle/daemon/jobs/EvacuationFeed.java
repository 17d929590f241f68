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
import org.lupinpaddle.core.job.JobKeys;
import org.lupinpaddle.core.upkeep.EvacuationRecord;
import org.lupinpaddle.daemon.common.EventLoop;
import org.lupinpaddle.daemon.common.Log;
import org.lupinpaddle.daemon.jobs.UnreadableEntries.Kind;
import org.lupinpaddle.daemon.port.KeyValueStore;
import org.lupinpaddle.daemon.port.StoreItem;

/** Which workers of a service the owner of the fleet asks to be emptied, and the answers to that. */
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
    /** Workers whose request was readable once and is not now; such a one is not answered. */
    private final Set<String> unreadableWorkers = new HashSet<>();
    /** The revision of the request that was answered last, by worker: requests anew, it is answered anew. */
    private final Map<String, Long> answered = new HashMap<>();

    /**
     * Makes the feed.
     *
     * @param records writes the answers
     * @param onChange is told the workers that are to be empty, and those of them that other work waits for
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
                store, loop, JobKeys.evacuations(service), PrefixWatch.Listener.forAnyChange(this::changed));
    }

    void start() {
        watch.start();
    }

    /** Returns whether it is known which workers are to be emptied. */
    boolean isRead() {
        return read;
    }

    private void changed() {
        read = true;
        Map<String, StoreItem> before = Map.copyOf(requests);
        requests.clear();
        unreadableWorkers.clear();
        unreadable.retainOnly(JobKeys.evacuations(service), watch.items());
        Set<String> urgent = new HashSet<>();
        for (StoreItem i : watch.items()) {
            EvacuationRecord r = unreadable.recordOrNull(Kind.EVACUATION, i, read(i));
            if (r == null) {
                keepLastReadable(i, before);
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

    /** A request that was good is not taken back by what nobody can read: its errand may be about to be ordered. */
    private void keepLastReadable(StoreItem i, Map<String, StoreItem> before) {
        String worker = JobKeys.evacuatedWorker(i.key());
        StoreItem good = before.get(worker);
        if (good != null) {
            requests.put(worker, good);
            unreadableWorkers.add(worker);
        }
    }

    /**
     * Answers that a worker carries nothing. A request that is written again, because its writer got no answer, has
     * lost what was answered before; so each one that does not show the answer gets it.
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
            write(worker, item, RecordCodec.write(record.toEmpty()));
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

    /** Returns the request that an item holds, or what is wrong with it. */
    static Either<Unreadable, EvacuationRecord> read(StoreItem i) {
        return i.text().flatMap(t -> EvacuationRecord.read(t, JobKeys.evacuatedWorker(i.key())));
    }

    @Override
    public void close() {
        watch.close();
    }
}
