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

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.lupinpaddle.daemon.common.EventLoop;
import org.lupinpaddle.daemon.port.CommitResult;
import org.lupinpaddle.daemon.port.KeyValueStore;
import org.lupinpaddle.daemon.port.StoreCommit;

/**
 * Writes the records in which an entry describes itself. A write requires the last known revisions of its records, so
 * that an unanswered one, of this process or of an earlier one of the entry, cannot replace a newer one when it is
 * applied late. All calls and callbacks run on the event loop.
 */
final class RegistrationWriter {

    private final KeyValueStore store;
    private final EventLoop loop;
    /** The last known revisions by key; 0 for a key that is absent. */
    private final Map<String, Long> revisions = new HashMap<>();

    RegistrationWriter(KeyValueStore store, EventLoop loop) {
        this.store = store;
        this.loop = loop;
    }

    /**
     * Writes values by key, all or none, under a lease. After a conflict the current revisions are known, so a
     * repeated write may succeed.
     */
    void write(Map<String, String> values, long lease, Consumer<CommitResult.Outcome> onEnd) {
        StoreCommit.Builder b = StoreCommit.builder();
        values.forEach(
                (key, value) -> b.when(key, revisions.getOrDefault(key, 0L)).put(key, value, lease));
        store.commit(b.build())
                .thenAcceptAsync(
                        r -> {
                            learnRevisions(values.keySet(), r);
                            onEnd.accept(r.outcome());
                        },
                        loop::execute);
    }

    private void learnRevisions(Set<String> keys, CommitResult r) {
        if (r.outcome() == CommitResult.Outcome.MADE) {
            keys.forEach(key -> revisions.put(key, r.revision()));
        } else if (r.outcome() == CommitResult.Outcome.CONFLICT) {
            keys.forEach(key -> revisions.put(key, r.revisionOf(key)));
        }
    }
}
