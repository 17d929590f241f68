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
 * The platform's key-value store. Answers are linearizable. The futures of reads and lease calls complete with a
 * {@link StoreException} if the store does not serve the call. Every future completes within the time limit of its
 * call.
 */
public interface KeyValueStore {

    /** Reads a single key. */
    CompletableFuture<Optional<StoreItem>> read(String key);

    /**
     * Reads one page of the items under a prefix, with as many items as the store returns at once. The call takes as
     * long as data keeps arriving: it fails if none arrives for some time, not because the page is large.
     *
     * @param after the key after which the page starts; empty for the first page
     */
    CompletableFuture<StorePage> page(String prefix, String after);

    /** Reads all items under a prefix. */
    default CompletableFuture<StoreRange> range(String prefix) {
        return range(prefix, () -> {});
    }

    /** Reads all items under a prefix and runs {@code onPage}, on any thread, after each page. */
    default CompletableFuture<StoreRange> range(String prefix, Runnable onPage) {
        return new PageReader(this, prefix, onPage).read();
    }

    /** Waits up to {@code waitMillis} for changes under a prefix after a revision; the result may be empty. */
    CompletableFuture<StoreChanges> watch(String prefix, long afterRevision, long waitMillis);

    /** Applies changes atomically if all conditions hold. The future never completes exceptionally. */
    CompletableFuture<CommitResult> commit(StoreCommit commit);

    /** Opens a lease and returns its id. The time to live starts when the call reaches the store. */
    CompletableFuture<Long> openLease(long ttlMillis);

    /** Renews a lease; returns false if it has expired. */
    CompletableFuture<Boolean> keepLease(long lease);

    /** Revokes a lease and removes the keys attached to it. */
    CompletableFuture<Boolean> endLease(long lease);
}
