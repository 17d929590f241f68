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

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.lupinpaddle.core.common.Clock;
import org.lupinpaddle.daemon.port.CommitResult;
import org.lupinpaddle.daemon.port.KeyValueStore;
import org.lupinpaddle.daemon.port.StoreChanges;
import org.lupinpaddle.daemon.port.StoreCommit;
import org.lupinpaddle.daemon.port.StoreItem;
import org.lupinpaddle.daemon.port.StorePage;

/** Counts and times every store call by call type and answer. */
public final class MeteredStore implements KeyValueStore {

    private final KeyValueStore store;
    private final JobMetrics meters;
    private final Clock clock;

    /** Creates a decorator of another store. */
    public MeteredStore(KeyValueStore store, JobMetrics meters, Clock clock) {
        this.store = store;
        this.meters = meters;
        this.clock = clock;
    }

    private <T> CompletableFuture<T> metered(
            String call, CompletableFuture<T> answer, Function<? super T, String> kind) {
        long sentAt = clock.millis();
        return answer.whenComplete((a, why) -> meters.storeCalled(
                call, why == null ? kind.apply(a) : StoreFailure.kind(why).name(), clock.millis() - sentAt));
    }

    @Override
    public CompletableFuture<Optional<StoreItem>> read(String key) {
        return metered("read", store.read(key), i -> i.isPresent() ? "found" : "absent");
    }

    @Override
    public CompletableFuture<StorePage> page(String prefix, String after) {
        return metered("range", store.page(prefix, after), r -> "served");
    }

    @Override
    public CompletableFuture<StoreChanges> watch(String prefix, long afterRevision, long waitMillis) {
        return metered(
                "watch",
                store.watch(prefix, afterRevision, waitMillis),
                c -> c.changes().isEmpty() ? "quiet" : "changes");
    }

    @Override
    public CompletableFuture<CommitResult> commit(StoreCommit commit) {
        return metered("commit", store.commit(commit), r -> r.outcome().name());
    }

    @Override
    public CompletableFuture<Long> openLease(long ttlMillis) {
        return metered("open-lease", store.openLease(ttlMillis), id -> "served");
    }

    @Override
    public CompletableFuture<Boolean> keepLease(long lease) {
        return metered("keep-lease", store.keepLease(lease), alive -> alive ? "alive" : "ended");
    }

    @Override
    public CompletableFuture<Boolean> endLease(long lease) {
        return metered("end-lease", store.endLease(lease), alive -> alive ? "alive" : "ended");
    }
}
