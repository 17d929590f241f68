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

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.job.JobKeys;
import org.lupinpaddle.daemon.port.CommitResult;
import org.lupinpaddle.daemon.port.KeyValueStore;
import org.lupinpaddle.daemon.port.StoreChanges;
import org.lupinpaddle.daemon.port.StoreCommit;
import org.lupinpaddle.daemon.port.StoreException;
import org.lupinpaddle.daemon.port.StoreItem;
import org.lupinpaddle.daemon.port.StorePage;

/** One entry's way to the store. */
final class SimStorePort implements KeyValueStore {

    private static final long CALL_MILLIS = 1_000;
    // What is large is waited for as long as it keeps arriving, and no longer than this.
    private static final long TRANSFER_MILLIS = 10_000;
    // Where links have a rate, as on the platform: what a renewal without answer tells is that the store is away.
    private static final long KEEP_MILLIS = 500;

    private final VirtualTime time;
    private final SimStore store;
    private final Net net;
    private final Sabotage sabotage;
    private final String entry;
    private final String hall;
    private final Link up;
    private final Link down;
    /** Calls whose answers are on their way back. */
    private final Set<CompletableFuture<?>> answering = new HashSet<>();

    SimStorePort(World world, String entry, String hall, Link up, Link down) {
        this.time = world.time;
        this.store = world.store;
        this.net = world.net;
        this.sabotage = world.sabotage;
        this.entry = entry;
        this.hall = hall;
        this.up = up;
        this.down = down;
    }

    @Override
    public CompletableFuture<Optional<StoreItem>> read(String key) {
        return call(Call.reading(i -> WireBytes.of(i.stream().toList())), () -> store.read(key), SimStorePort::refusal);
    }

    @Override
    public CompletableFuture<StorePage> page(String prefix, String after) {
        Call<SimStore.Page> reading = Call.large(p -> WireBytes.of(p.items()));
        return call(reading, () -> store.page(prefix, after), SimStorePort::refusal)
                .thenApply(p -> new StorePage(told(p.items()), p.revision(), p.more()));
    }

    private List<StoreItem> told(List<StoreItem> items) {
        if (sabotage != Sabotage.RECENT_ORDERS_UNTOLD) {
            return items;
        }
        return items.stream()
                .filter(i -> !i.key().equals(JobKeys.recentOrders()))
                .toList();
    }

    @Override
    public CompletableFuture<Long> openLease(long ttlMillis) {
        return call(Call.small(CALL_MILLIS), () -> store.openLease(ttlMillis), SimStorePort::refusal);
    }

    @Override
    public CompletableFuture<Boolean> keepLease(long lease) {
        return call(
                Call.small(down.isLimited() ? KEEP_MILLIS : CALL_MILLIS),
                () -> store.keepLease(lease),
                SimStorePort::refusal);
    }

    @Override
    public CompletableFuture<Boolean> endLease(long lease) {
        return call(Call.small(CALL_MILLIS), () -> store.endLease(lease), SimStorePort::refusal);
    }

    @Override
    public CompletableFuture<CommitResult> commit(StoreCommit commit) {
        StoreCommit c = sabotage == Sabotage.QUOTAS_NOT_SHARED ? withoutQuotas(commit) : commit;
        return call(
                new Call<>(true, WireBytes.of(c), WireBytes::of, CALL_MILLIS, CALL_MILLIS),
                () -> store.commit(c),
                t -> new CommitResult(
                        t == Trouble.REFUSED ? CommitResult.Outcome.REFUSED : CommitResult.Outcome.UNKNOWN,
                        0,
                        List.of()));
    }

    /** Returns the commit without its conditions and writes of quota allocations. */
    private static StoreCommit withoutQuotas(StoreCommit c) {
        return new StoreCommit(
                c.conditions().stream()
                        .filter(w -> !w.key().startsWith(JobKeys.quotas()))
                        .toList(),
                c.puts().stream()
                        .filter(p -> !p.key().startsWith(JobKeys.quotas()))
                        .toList(),
                c.removals());
    }

    private static <T> @Nullable T refusal(Trouble t) {
        throw new StoreException(
                t == Trouble.REFUSED ? StoreException.Kind.REFUSED : StoreException.Kind.AWAY, "model: " + t);
    }

    /**
     * What a call is on the way: whether it writes, its bytes, those of its answer, how long is waited for the answer to
     * begin, and how long for its end.
     */
    private record Call<T>(
            boolean write, long bytes, ToLongFunction<T> answerBytes, long boundMillis, long transferMillis) {

        static <T> Call<T> reading(ToLongFunction<T> answerBytes) {
            return new Call<>(false, WireBytes.FRAME, answerBytes, CALL_MILLIS, CALL_MILLIS);
        }

        static <T> Call<T> large(ToLongFunction<T> answerBytes) {
            return new Call<>(false, WireBytes.FRAME, answerBytes, CALL_MILLIS, TRANSFER_MILLIS);
        }

        boolean isLarge() {
            return transferMillis > boundMillis;
        }

        static <T> Call<T> small(long boundMillis) {
            return new Call<>(true, WireBytes.FRAME, a -> WireBytes.FRAME, boundMillis, boundMillis);
        }
    }

    private <T> CompletableFuture<T> call(Call<T> c, Supplier<T> action, Function<Trouble, T> failure) {
        CompletableFuture<T> f = new CompletableFuture<>();
        long there = net.latency() + net.storeDelay;
        boolean lost = c.isLarge() && net.pagesLost.contains(entry);
        Trouble t = lost ? Trouble.SILENT : net.toStore(entry, hall, c.write);
        up.carry(c.bytes, () -> !f.isDone(), () -> arrive(f, c, t, there, action, failure));
        failLater(f, c.boundMillis, c.transferMillis, failure);
        return f;
    }

    private <T> void arrive(
            CompletableFuture<T> f,
            Call<T> c,
            Trouble t,
            long there,
            Supplier<T> action,
            Function<Trouble, T> failure) {
        switch (t) {
            case NONE ->
                net.deliver(there, () -> {
                    T answer = action.get();
                    net.deliver(net.latency(), () -> carryBack(f, c.answerBytes.applyAsLong(answer), answer));
                });
            case REFUSED -> net.deliver(there, () -> fail(f, t, failure));
            case SILENT -> {}
            case ANSWER_LOST -> net.deliver(there, unheard(action));
            case LATE -> net.deliver(net.lateness(), unheard(action));
        }
    }

    /** Gives a call up when its answer has not begun to arrive by then, or has not ended by a later moment. */
    private <T> void failLater(
            CompletableFuture<T> f, long boundMillis, long transferMillis, Function<Trouble, T> failure) {
        time.after(boundMillis, () -> {
            if (!answering.contains(f)) {
                fail(f, Trouble.SILENT, failure);
            } else {
                time.after(transferMillis - boundMillis, () -> fail(f, Trouble.SILENT, failure));
            }
        });
    }

    private <T> void carryBack(CompletableFuture<T> f, long bytes, T answer) {
        answering.add(f);
        f.whenComplete((a, why) -> answering.remove(f));
        down.carry(bytes, () -> !f.isDone(), () -> f.complete(answer));
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
            net.deliver(net.latency() + net.storeDelay, () -> look(f, prefix, afterRevision, afterRevision, end));
            time.after(waitMillis, () -> answerEmpty(f, afterRevision));
        }
        failLater(f, waitMillis + CALL_MILLIS, waitMillis + TRANSFER_MILLIS, SimStorePort::refusal);
        return f;
    }

    private void look(CompletableFuture<StoreChanges> f, String prefix, long after, long seen, long end) {
        if (f.isDone() || time.now() > end) {
            return;
        }
        StoreChanges c = store.changes(prefix, after, seen);
        if (c == null) {
            f.completeExceptionally(new StoreException(StoreException.Kind.HISTORY_GONE, "model"));
        } else if (c.changes().isEmpty()) {
            long upTo = store.revision();
            store.atNextChange(() -> look(f, prefix, after, upTo, end));
        } else {
            answer(f, c);
        }
    }

    /** Over a link with a rate, an answer with changes may be on its way by now: then there is no second one. */
    private void answerEmpty(CompletableFuture<StoreChanges> f, long after) {
        if (!down.isLimited() || !answering.contains(f)) {
            answer(f, new StoreChanges(List.of(), after));
        }
    }

    /** A watch that is under way as a cut begins says nothing more. */
    private void answer(CompletableFuture<StoreChanges> f, StoreChanges c) {
        if (net.toStore(entry, hall, false) == Trouble.NONE) {
            answering.add(f);
            net.deliver(net.latency(), () -> carryBack(f, WireBytes.of(c), c));
        }
    }
}
