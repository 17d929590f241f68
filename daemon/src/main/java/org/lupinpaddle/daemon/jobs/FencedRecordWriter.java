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
import org.lupinpaddle.core.job.JobKeys;
import org.lupinpaddle.daemon.common.EventLoop;
import org.lupinpaddle.daemon.common.Log;
import org.lupinpaddle.daemon.port.CommitResult;
import org.lupinpaddle.daemon.port.KeyValueStore;
import org.lupinpaddle.daemon.port.StoreCommit;

/**
 * Records that the owner of a duty writes, on two conditions: that it still owns the duty, and that each record
 * is the one last known. The second keeps a write that got no answer from replacing a newer one when it is
 * carried out late.
 */
final class FencedRecordWriter {

    private static final long RETRY_MILLIS = 150;
    // A call takes 32 rows: one for the ownership, and a condition and a value for each record.
    /** The most records of one write. */
    static final int MAX_RECORDS_PER_WRITE = 15;

    private final KeyValueStore store;
    private final EventLoop loop;
    private final String ownerKey;
    private final long fence;
    private final Map<String, Long> revisions = new HashMap<>();
    /** The newest write of this owner that was answered, also of records that it has removed. */
    private final Map<String, Long> written = new HashMap<>();

    private final List<Map<String, String>> queue = new ArrayList<>();
    private boolean writing;
    /** So many of the next writes go by themselves, since the store refused them merged. */
    private int unmergedWrites;

    /** What became of a write. */
    enum Outcome {
        /** The records are durable. */
        SAVED,
        /** They may not be; try again. */
        RETRY,
        /** They are not, since another wrote one of them; its revision is known now, so the next try may hold. */
        OVERTAKEN,
        /** They will never be as they are: the store takes no such record. */
        REJECTED,
        /** Another entry owns the duty. */
        NOT_OWNER
    }

    FencedRecordWriter(KeyValueStore store, EventLoop loop, String duty, long fence) {
        this.store = store;
        this.loop = loop;
        this.ownerKey = JobKeys.owner(duty);
        this.fence = fence;
    }

    /** Takes in the revision that the next write of a record is to meet. */
    void expectRevision(String key, long revision) {
        revisions.put(key, revision);
    }

    /** Takes in a revision of a record that a watch has shown; a newer one that is known counts more. */
    void observeRevision(String key, long revision) {
        revisions.merge(key, revision, Math::max);
    }

    /**
     * Returns whether a record that a watch shows is the newest as far as this owner knows: it has not written or removed it
     * since, and is not about to. A watch that is behind would else show an old answer in place of a new request.
     */
    boolean isCurrent(String key, long revision) {
        return revision >= written.getOrDefault(key, 0L) && queue.stream().noneMatch(w -> w.containsKey(key));
    }

    /** Returns how many writes wait for their turn, or for the store. */
    int pendingWrites() {
        return queue.size();
    }

    /** Writes values by key, all or none; an empty value removes the record. The outcome is told on the loop. */
    void write(Map<String, String> values, Consumer<Outcome> onEnd) {
        write(values, Map.of(), onEnd);
    }

    /** Does the same, and in the same write puts others whatever lies there now. */
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
     * Writes values in the order of the calls, each until it is durable. What gathers while the store is asked goes
     * merged: a write takes the store 10 ms and more, and an owner may have a hundred of them at a time.
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

    /** Leaves a write out that the store will never take; where several went merged, they are written one by one. */
    private void skipRejected(int mergedCount) {
        if (mergedCount > 1) {
            unmergedWrites = mergedCount;
        } else {
            Map<String, String> bad = queue.remove(0);
            bad.forEach((key, value) -> Log.warn(
                    "record-rejected", "key", key, "bytes", value.length(), "why", "the store takes no such record"));
        }
    }

    /** Puts merged what one write takes of what has waited longest; of one record the newest value counts. */
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

    /** Removes records that nobody needs any more; {@code onGone} is told on the loop when they are gone. */
    void remove(List<String> keys, Runnable onGone) {
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
                                onGone.run();
                            } else {
                                Log.info("records-not-removed", "count", keys.size(), "outcome", r.outcome());
                            }
                        },
                        loop::execute);
    }
}
