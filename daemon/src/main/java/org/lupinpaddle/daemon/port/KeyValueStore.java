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
package org.lupinpaddle.daemon.port;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's store. Answers are linearizable. A future of a call that reads, or concerns a lease, ends
 * with a {@link StoreException} when the store does not serve it; all end within the call's own time limit.
 */
public interface KeyValueStore {

    /** Reads one key. */
    CompletableFuture<Optional<StoreItem>> read(String key);

    /**
     * Reads the keys with a prefix that follow a key, as many as the store gives at once. How long the answer may take
     * follows its size: it fails when nothing of it arrives for a time, not because there is much of it.
     *
     * @param after the key that the page follows; empty for the first page
     */
    CompletableFuture<StorePage> page(String prefix, String after);

    /** Reads all keys with a prefix. */
    default CompletableFuture<StoreRange> range(String prefix) {
        return range(prefix, () -> {});
    }

    /** Reads all keys with a prefix; the step is run, on any thread, after each page that has arrived. */
    default CompletableFuture<StoreRange> range(String prefix, Runnable onPage) {
        return new PageReader(this, prefix, onPage).read();
    }

    /** Waits for changes under a prefix after a revision, at most so long; the answer may have none. */
    CompletableFuture<StoreChanges> watch(String prefix, long afterRevision, long waitMillis);

    /** Makes changes under conditions. The future never ends exceptionally. */
    CompletableFuture<CommitResult> commit(StoreCommit commit);

    /** Opens a lease and returns its number; it runs from when the call arrives. */
    CompletableFuture<Long> openLease(long ttlMillis);

    /** Renews a lease; returns false when it has ended. */
    CompletableFuture<Boolean> keepLease(long lease);

    /** Ends a lease; its keys go with it. */
    CompletableFuture<Boolean> endLease(long lease);
}
