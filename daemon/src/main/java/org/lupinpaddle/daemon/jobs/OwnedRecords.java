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

import java.util.ArrayDeque;
import java.util.Deque;
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
final class OwnedRecords {

    private static final long RETRY_MILLIS = 150;

    private final KeyValueStore store;
    private final EventLoop loop;
    private final String ownerKey;
    private final long fence;
    private final Map<String, Long> revisions = new HashMap<>();
    private final Deque<Map<String, String>> queue = new ArrayDeque<>();
    private boolean writing;

    /** What became of a write. */
    enum Outcome {
        /** The records are durable. */
        SAVED,
        /** They may not be; try again. */
        RETRY,
        /** Another entry owns the duty. */
        NOT_OWNER
    }

    OwnedRecords(KeyValueStore store, EventLoop loop, String duty, long fence) {
        this.store = store;
        this.loop = loop;
        this.ownerKey = JobKeys.owner(duty);
        this.fence = fence;
    }

    /** Takes in the revision of a record that was read. */
    void known(String key, long revision) {
        revisions.put(key, revision);
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
                values.forEach((key, value) -> revisions.put(key, value.isEmpty() ? 0 : r.revision()));
                yield Outcome.SAVED;
            }
            case CONFLICT -> {
                values.keySet().forEach(key -> revisions.put(key, r.revisionOf(key)));
                yield r.revisionOf(ownerKey) == fence ? Outcome.RETRY : Outcome.NOT_OWNER;
            }
            case LEASE_ENDED, REFUSED, UNKNOWN -> Outcome.RETRY;
        };
    }

    /** Writes values one after the other in the order of the calls, each until it is durable. */
    void writeInOrder(Map<String, String> values, Runnable notOwner) {
        queue.add(new LinkedHashMap<>(values));
        writeNext(notOwner);
    }

    private void writeNext(Runnable notOwner) {
        Map<String, String> next = queue.peek();
        if (writing || next == null) {
            return;
        }
        writing = true;
        write(next, outcome -> {
            writing = false;
            switch (outcome) {
                case SAVED -> {
                    queue.remove();
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

    /** Removes records that nobody needs any more; {@code onGone} is told on the loop when they are gone. */
    void forget(List<String> keys, Runnable onGone) {
        StoreCommit.Builder b = StoreCommit.builder().when(ownerKey, fence);
        for (String key : keys) {
            revisions.remove(key);
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
