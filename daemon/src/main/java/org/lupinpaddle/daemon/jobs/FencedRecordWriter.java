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
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.lupinpaddle.core.job.SchedulerKeys;
import org.lupinpaddle.daemon.common.EventLoop;
import org.lupinpaddle.daemon.common.Log;
import org.lupinpaddle.daemon.port.CommitResult;
import org.lupinpaddle.daemon.port.KeyValueStore;
import org.lupinpaddle.daemon.port.StoreCommit;

/**
 * Writes the records of a duty's owner. A write has two conditions: the entry still owns the duty, and each record
 * still has the last known revision. The second condition keeps an unanswered write that is applied late from
 * overwriting a newer record.
 */
final class FencedRecordWriter {

    private static final long RETRY_MILLIS = 150;
    // A store call accepts 32 rows: one for the ownership condition, and a condition and a value for each record.
    /** The maximum number of records in one write. */
    static final int MAX_RECORDS_PER_WRITE = 15;

    private final KeyValueStore store;
    private final EventLoop loop;
    private final String ownerKey;
    private final long fence;
    private final Map<String, Long> revisions = new HashMap<>();
    /** The revisions of this owner's latest answered writes by key, including removals. */
    private final Map<String, Long> written = new HashMap<>();

    private final List<Map<String, String>> queue = new ArrayList<>();
    /** The latest revision at which the store confirmed the ownership by accepting a conditional write. */
    private long ownedRevision;

    private boolean writing;
    /** The number of following writes to send one by one because the store rejected them when merged. */
    private int unmergedWrites;

    /** The result of a write. */
    enum Outcome {
        /** The records are durable. */
        SAVED,
        /** The records may not be durable; the write should be repeated. */
        RETRY,
        /**
         * The records were not written because another writer changed one of them. Its revision is known now, so a
         * repeated write may succeed.
         */
        OVERTAKEN,
        /** The store will never accept these records as they are. */
        REJECTED,
        /** Another entry owns the duty. */
        NOT_OWNER
    }

    FencedRecordWriter(KeyValueStore store, EventLoop loop, String duty, long fence) {
        this.store = store;
        this.loop = loop;
        this.ownerKey = SchedulerKeys.owner(duty);
        this.fence = fence;
        this.ownedRevision = fence;
    }

    /** Sets the revision that the next write of a record expects. */
    void expectRevision(String key, long revision) {
        revisions.put(key, revision);
    }

    /** Records a revision seen by a watch; a newer known revision takes precedence. */
    void observeRevision(String key, long revision) {
        revisions.merge(key, revision, Math::max);
    }

    /**
     * Returns whether a record seen by a watch is the latest version known to this owner: the owner has not written
     * or removed it since and has no write of it queued. Without this check, a watch that lags behind could present
     * the answer to an old request as the answer to a new one.
     */
    boolean isCurrent(String key, long revision) {
        return revision >= written.getOrDefault(key, 0L) && queue.stream().noneMatch(w -> w.containsKey(key));
    }

    /**
     * Returns the latest known store revision at which this entry owned the duty. Every later owner acquires it at a
     * higher one.
     */
    long ownedRevision() {
        return ownedRevision;
    }

    /** Returns the number of writes that are queued or in progress. */
    int pendingWrites() {
        return queue.size();
    }

    /**
     * Writes values by key, all or none; an empty value removes the record. {@code onEnd} receives the outcome on the
     * event loop.
     */
    void write(Map<String, String> values, Consumer<Outcome> onEnd) {
        write(values, Map.of(), onEnd);
    }

    /**
     * Writes values as {@link #write(Map, Consumer)} does, and in the same commit puts {@code others} regardless of
     * their current revisions.
     */
    void write(Map<String, String> values, Map<String, String> others, Consumer<Outcome> onEnd) {
        StoreCommit.Builder b = StoreCommit.builder().when(ownerKey, fence);
        values.forEach((key, value) -> {
            b.when(key, revisions.getOrDefault(key, 0L));
            if (value.isEmpty()) {
                b.remove(key);
            } else {
                b.put(key, value);
            }
        });
        others.forEach(b::put);
        store.commit(b.build()).thenAcceptAsync(r -> onEnd.accept(outcome(values, r)), loop::execute);
    }

    private Outcome outcome(Map<String, String> values, CommitResult r) {
        return switch (r.outcome()) {
            case MADE -> {
                ownedRevision = Math.max(ownedRevision, r.revision());
                values.forEach((key, value) -> {
                    revisions.put(key, value.isEmpty() ? 0 : r.revision());
                    written.put(key, r.revision());
                });
                yield Outcome.SAVED;
            }
            case CONFLICT -> {
                values.keySet().forEach(key -> revisions.put(key, r.revisionOf(key)));
                yield r.revisionOf(ownerKey) == fence ? Outcome.OVERTAKEN : Outcome.NOT_OWNER;
            }
            case LEASE_ENDED, REFUSED, UNKNOWN -> Outcome.RETRY;
            case REJECTED -> Outcome.REJECTED;
        };
    }

    /**
     * Writes values in call order and repeats each write until it is durable. Writes that queue up while the store is
     * busy are merged, because a write takes the store 10 ms or more and an owner may have a hundred of them at a
     * time.
     */
    void writeInOrder(Map<String, String> values, Runnable notOwner) {
        queue.add(new LinkedHashMap<>(values));
        writeNext(notOwner);
    }

    private void writeNext(Runnable notOwner) {
        if (writing || queue.isEmpty()) {
            return;
        }
        Map<String, String> merged = new LinkedHashMap<>();
        int mergedCount = mergeQueued(merged);
        writing = true;
        write(merged, outcome -> {
            writing = false;
            switch (outcome) {
                case SAVED -> {
                    queue.subList(0, mergedCount).clear();
                    writeNext(notOwner);
                }
                case OVERTAKEN -> writeNext(notOwner);
                case REJECTED -> {
                    skipRejected(mergedCount);
                    writeNext(notOwner);
                }
                case RETRY -> loop.after(RETRY_MILLIS, () -> writeNext(notOwner));
                case NOT_OWNER -> {
                    queue.clear();
                    notOwner.run();
                }
            }
        });
    }

    /**
     * Drops a write that the store will never accept. If several writes were merged, they are repeated one by one to
     * find it.
     */
    private void skipRejected(int mergedCount) {
        if (mergedCount > 1) {
            unmergedWrites = mergedCount;
        } else {
            Map<String, String> rejected = queue.remove(0);
            rejected.forEach((key, value) -> Log.warn(
                    "record-rejected", "key", key, "bytes", value.length(), "why", "the store rejected the record"));
        }
    }

    /** Merges the oldest queued writes up to the size of one commit; the newest value of each record is used. */
    private int mergeQueued(Map<String, String> merged) {
        int mergedCount = 0;
        for (Map<String, String> next : queue) {
            Map<String, String> more = new LinkedHashMap<>(merged);
            more.putAll(next);
            if (mergedCount > 0 && (unmergedWrites > 0 || more.size() > MAX_RECORDS_PER_WRITE)) {
                return mergedCount;
            }
            merged.putAll(next);
            mergedCount++;
        }
        unmergedWrites = Math.max(0, unmergedWrites - 1);
        return mergedCount;
    }

    /** Removes records that are no longer needed; {@code onRemoved} runs on the event loop once they are removed. */
    void remove(List<String> keys, Runnable onRemoved) {
        StoreCommit.Builder b = StoreCommit.builder().when(ownerKey, fence);
        for (String key : keys) {
            revisions.remove(key);
            written.remove(key);
            b.remove(key);
        }
        store.commit(b.build())
                .thenAcceptAsync(
                        r -> {
                            if (r.outcome() == CommitResult.Outcome.MADE) {
                                ownedRevision = Math.max(ownedRevision, r.revision());
                                onRemoved.run();
                            } else {
                                Log.info("records-not-removed", "count", keys.size(), "outcome", r.outcome());
                            }
                        },
                        loop::execute);
    }
}
