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
package org.lupinpaddle.model;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.job.JobKeys;
import org.lupinpaddle.daemon.port.CommitResult;
import org.lupinpaddle.daemon.port.KeyValueStore;
import org.lupinpaddle.daemon.port.StoreChanges;
import org.lupinpaddle.daemon.port.StoreCommit;
import org.lupinpaddle.daemon.port.StoreException;
import org.lupinpaddle.daemon.port.StoreItem;
import org.lupinpaddle.daemon.port.StorePage;
import org.lupinpaddle.daemon.port.StoreRange;

/** One entry's way to the store. */
final class SimStorePort implements KeyValueStore {

    private static final long CALL_MILLIS = 1_000;

    private final VirtualTime time;
    private final SimStore store;
    private final Net net;
    private final Sabotage sabotage;
    private final String entry;
    private final String hall;

    SimStorePort(World world, String entry, String hall) {
        this.time = world.time;
        this.store = world.store;
        this.net = world.net;
        this.sabotage = world.sabotage;
        this.entry = entry;
        this.hall = hall;
    }

    @Override
    public CompletableFuture<Optional<StoreItem>> read(String key) {
        return call(false, () -> store.read(key), SimStorePort::refusal);
    }

    @Override
    public CompletableFuture<StorePage> page(String prefix, String after) {
        return call(false, () -> page(told(store.range(prefix))), SimStorePort::refusal);
    }

    private static StorePage page(StoreRange r) {
        return new StorePage(r.items(), r.revision(), false);
    }

    private StoreRange told(StoreRange r) {
        if (sabotage != Sabotage.RECENT_ORDERS_UNTOLD) {
            return r;
        }
        List<StoreItem> others = r.items().stream()
                .filter(i -> !i.key().equals(JobKeys.recentOrders()))
                .toList();
        return new StoreRange(others, r.revision());
    }

    @Override
    public CompletableFuture<Long> openLease(long ttlMillis) {
        return call(true, () -> store.openLease(ttlMillis), SimStorePort::refusal);
    }

    @Override
    public CompletableFuture<Boolean> keepLease(long lease) {
        return call(true, () -> store.keepLease(lease), SimStorePort::refusal);
    }

    @Override
    public CompletableFuture<Boolean> endLease(long lease) {
        return call(true, () -> store.endLease(lease), SimStorePort::refusal);
    }

    @Override
    public CompletableFuture<CommitResult> commit(StoreCommit c) {
        return call(
                true,
                () -> store.commit(c),
                t -> new CommitResult(
                        t == Trouble.REFUSED ? CommitResult.Outcome.REFUSED : CommitResult.Outcome.UNKNOWN,
                        0,
                        List.of()));
    }

    private static <T> @Nullable T refusal(Trouble t) {
        throw new StoreException(
                t == Trouble.REFUSED ? StoreException.Kind.REFUSED : StoreException.Kind.AWAY, "model: " + t);
    }

    private <T> CompletableFuture<T> call(boolean write, Supplier<T> action, Function<Trouble, T> failure) {
        CompletableFuture<T> f = new CompletableFuture<>();
        long there = net.latency() + net.storeDelay;
        Trouble t = net.toStore(entry, hall, write);
        switch (t) {
            case NONE ->
                net.deliver(there, () -> {
                    T answer = action.get();
                    net.deliver(net.latency(), () -> f.complete(answer));
                });
            case REFUSED -> net.deliver(there, () -> fail(f, t, failure));
            case SILENT -> {}
            case ANSWER_LOST -> net.deliver(there, unheard(action));
            case LATE -> net.deliver(net.lateness(), unheard(action));
        }
        time.after(CALL_MILLIS, () -> fail(f, Trouble.SILENT, failure));
        return f;
    }

    private static <T> Runnable unheard(Supplier<T> action) {
        return () -> {
            var unused = action.get();
        };
    }

    private static <T> void fail(CompletableFuture<T> f, Trouble t, Function<Trouble, T> failure) {
        if (f.isDone()) {
            return;
        }
        try {
            f.complete(failure.apply(t));
        } catch (StoreException e) {
            f.completeExceptionally(e);
        }
    }

    @Override
    public CompletableFuture<StoreChanges> watch(String prefix, long afterRevision, long waitMillis) {
        CompletableFuture<StoreChanges> f = new CompletableFuture<>();
        Trouble t = net.toStore(entry, hall, false);
        if (t == Trouble.REFUSED) {
            net.deliver(net.latency(), () -> fail(f, t, SimStorePort::refusal));
        } else if (t == Trouble.NONE) {
            long end = time.now() + waitMillis;
            net.deliver(net.latency() + net.storeDelay, () -> look(f, prefix, afterRevision, end));
            time.after(waitMillis, () -> answer(f, new StoreChanges(List.of(), afterRevision)));
        }
        time.after(waitMillis + CALL_MILLIS, () -> fail(f, Trouble.SILENT, SimStorePort::refusal));
        return f;
    }

    private void look(CompletableFuture<StoreChanges> f, String prefix, long after, long end) {
        if (f.isDone() || time.now() > end) {
            return;
        }
        StoreChanges c = store.changes(prefix, after);
        if (c == null) {
            f.completeExceptionally(new StoreException(StoreException.Kind.HISTORY_GONE, "model"));
        } else if (c.changes().isEmpty()) {
            store.atNextChange(() -> look(f, prefix, after, end));
        } else {
            answer(f, c);
        }
    }

    /** A watch that is under way as a cut begins says nothing more. */
    private void answer(CompletableFuture<StoreChanges> f, StoreChanges c) {
        if (net.toStore(entry, hall, false) == Trouble.NONE) {
            net.deliver(net.latency(), () -> f.complete(c));
        }
    }
}
