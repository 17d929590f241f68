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
import org.lupinpaddle.core.job.SchedulerKeys;
import org.lupinpaddle.daemon.port.CommitResult;
import org.lupinpaddle.daemon.port.KeyValueStore;
import org.lupinpaddle.daemon.port.StoreChanges;
import org.lupinpaddle.daemon.port.StoreCommit;
import org.lupinpaddle.daemon.port.StoreException;
import org.lupinpaddle.daemon.port.StoreItem;
import org.lupinpaddle.daemon.port.StorePage;

/** An entry's client for the simulated store. */
final class SimStorePort implements KeyValueStore {

    private static final long CALL_TIMEOUT_MILLIS = 1_000;
    // A large answer may take this long as long as it keeps arriving.
    private static final long TRANSFER_TIMEOUT_MILLIS = 10_000;
    // Used with limited links, as on the platform: a lease renewal without an answer shows early that the store is
    // unreachable.
    private static final long RENEWAL_TIMEOUT_MILLIS = 500;

    private final VirtualTime time;
    private final SimStore store;
    private final Network net;
    private final Sabotage sabotage;
    private final String entry;
    private final String hall;
    private final Link up;
    private final Link down;
    /** Calls whose answers are being transferred back. */
    private final Set<CompletableFuture<?>> answersInTransit = new HashSet<>();

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
        if (losesOperatorRecords(prefix)) {
            CompletableFuture<StorePage> unanswered = new CompletableFuture<>();
            scheduleTimeout(unanswered, CALL_TIMEOUT_MILLIS, CALL_TIMEOUT_MILLIS, SimStorePort::refusal);
            return unanswered;
        }
        Call<SimStore.Page> reading = Call.large(p -> WireBytes.of(p.items()));
        return call(reading, () -> store.page(prefix, after), SimStorePort::refusal)
                .thenApply(p -> new StorePage(withoutSabotagedItems(p.items()), p.revision(), p.more()));
    }

    private List<StoreItem> withoutSabotagedItems(List<StoreItem> items) {
        return items.stream().filter(i -> !isHidden(i.key())).toList();
    }

    private StoreChanges withoutSabotagedItems(StoreChanges c) {
        return new StoreChanges(
                c.changes().stream().filter(change -> !isHidden(change.key())).toList(), c.revision());
    }

    private boolean isHidden(String key) {
        return switch (sabotage) {
            case RECENT_ORDERS_UNTOLD -> key.equals(SchedulerKeys.recentOrders());
            case CORDONS_HIDDEN -> key.startsWith(World.CORDONS);
            default -> false;
        };
    }

    private boolean losesOperatorRecords(String prefix) {
        return prefix.equals(World.OPERATORS) && net.entriesWithoutOperatorRecords.contains(entry);
    }

    @Override
    public CompletableFuture<Long> openLease(long ttlMillis) {
        return call(Call.small(CALL_TIMEOUT_MILLIS), () -> store.openLease(ttlMillis), SimStorePort::refusal);
    }

    @Override
    public CompletableFuture<Boolean> keepLease(long lease) {
        return call(
                Call.small(down.isLimited() ? RENEWAL_TIMEOUT_MILLIS : CALL_TIMEOUT_MILLIS),
                () -> store.keepLease(lease),
                SimStorePort::refusal);
    }

    @Override
    public CompletableFuture<Boolean> endLease(long lease) {
        return call(Call.small(CALL_TIMEOUT_MILLIS), () -> store.endLease(lease), SimStorePort::refusal);
    }

    @Override
    public CompletableFuture<CommitResult> commit(StoreCommit commit) {
        StoreCommit c =
                switch (sabotage) {
                    case QUOTAS_NOT_SHARED -> withoutQuotas(commit);
                    case LOCATIONS_IGNORED -> withoutConditionsOnOtherKeys(commit);
                    default -> commit;
                };
        return call(
                new Call<>(true, WireBytes.of(c), WireBytes::of, CALL_TIMEOUT_MILLIS, CALL_TIMEOUT_MILLIS),
                () -> store.commit(c),
                fault -> new CommitResult(
                        fault == CallFault.REFUSED ? CommitResult.Outcome.REFUSED : CommitResult.Outcome.UNKNOWN,
                        0,
                        List.of()));
    }

    /** Keeps, of the conditions of a commit that stores a new job, those on keys that it writes and on the configuration. */
    private static StoreCommit withoutConditionsOnOtherKeys(StoreCommit c) {
        boolean storesJob = c.puts().stream().anyMatch(p -> isLocation(p.key()));
        return !storesJob
                ? c
                : new StoreCommit(
                        c.conditions().stream()
                                .filter(w -> !isLocation(w.key()))
                                .filter(w -> w.key().equals(World.CONFIGURATION)
                                        || c.puts().stream()
                                                .anyMatch(p -> p.key().equals(w.key())))
                                .toList(),
                        c.puts(),
                        c.removals());
    }

    private static boolean isLocation(String key) {
        return key.startsWith(SchedulerKeys.locations());
    }

    private static StoreCommit withoutQuotas(StoreCommit c) {
        return new StoreCommit(
                c.conditions().stream()
                        .filter(w -> !w.key().startsWith(SchedulerKeys.quotas()))
                        .toList(),
                c.puts().stream()
                        .filter(p -> !p.key().startsWith(SchedulerKeys.quotas()))
                        .toList(),
                c.removals());
    }

    private static <T> @Nullable T refusal(CallFault fault) {
        throw new StoreException(
                fault == CallFault.REFUSED ? StoreException.Kind.REFUSED : StoreException.Kind.AWAY, "model: " + fault);
    }

    /**
     * The properties of a call on the network.
     *
     * @param write whether it modifies the store
     * @param bytes the size of the request
     * @param answerBytes computes the size of the answer
     * @param timeoutMillis how long to wait until the answer begins to arrive
     * @param transferTimeoutMillis how long to wait until the answer has arrived completely
     */
    private record Call<T>(
            boolean write, long bytes, ToLongFunction<T> answerBytes, long timeoutMillis, long transferTimeoutMillis) {

        static <T> Call<T> reading(ToLongFunction<T> answerBytes) {
            return new Call<>(false, WireBytes.OVERHEAD_BYTES, answerBytes, CALL_TIMEOUT_MILLIS, CALL_TIMEOUT_MILLIS);
        }

        static <T> Call<T> large(ToLongFunction<T> answerBytes) {
            return new Call<>(
                    false, WireBytes.OVERHEAD_BYTES, answerBytes, CALL_TIMEOUT_MILLIS, TRANSFER_TIMEOUT_MILLIS);
        }

        boolean isLarge() {
            return transferTimeoutMillis > timeoutMillis;
        }

        static <T> Call<T> small(long timeoutMillis) {
            return new Call<>(
                    true, WireBytes.OVERHEAD_BYTES, a -> WireBytes.OVERHEAD_BYTES, timeoutMillis, timeoutMillis);
        }
    }

    private <T> CompletableFuture<T> call(Call<T> c, Supplier<T> action, Function<CallFault, T> failure) {
        CompletableFuture<T> future = new CompletableFuture<>();
        long delay = net.latency() + net.storeDelay;
        boolean lost = c.isLarge() && net.entriesLosingPages.contains(entry);
        CallFault fault = lost ? CallFault.SILENT : net.faultToStore(entry, hall, c.write);
        up.transfer(c.bytes, () -> !future.isDone(), () -> arrive(future, c, fault, delay, action, failure));
        scheduleTimeout(future, c.timeoutMillis, c.transferTimeoutMillis, failure);
        return future;
    }

    private <T> void arrive(
            CompletableFuture<T> future,
            Call<T> c,
            CallFault fault,
            long delay,
            Supplier<T> action,
            Function<CallFault, T> failure) {
        switch (fault) {
            case NONE ->
                net.deliver(delay, () -> {
                    T answer = action.get();
                    net.deliver(net.latency(), () -> transferAnswer(future, c.answerBytes.applyAsLong(answer), answer));
                });
            case REFUSED -> net.deliver(delay, () -> fail(future, fault, failure));
            case SILENT -> {}
            case ANSWER_LOST -> net.deliver(delay, withoutAnswer(action));
            case LATE -> net.deliver(net.lateDelay(), withoutAnswer(action));
        }
    }

    /**
     * Fails a call whose answer has not begun to arrive by the first timeout, or has not arrived completely by the
     * second.
     */
    private <T> void scheduleTimeout(
            CompletableFuture<T> future,
            long timeoutMillis,
            long transferTimeoutMillis,
            Function<CallFault, T> failure) {
        time.schedule(timeoutMillis, () -> {
            if (!answersInTransit.contains(future)) {
                fail(future, CallFault.SILENT, failure);
            } else {
                time.schedule(transferTimeoutMillis - timeoutMillis, () -> fail(future, CallFault.SILENT, failure));
            }
        });
    }

    private <T> void transferAnswer(CompletableFuture<T> future, long bytes, T answer) {
        answersInTransit.add(future);
        future.whenComplete((a, why) -> answersInTransit.remove(future));
        down.transfer(bytes, () -> !future.isDone(), () -> future.complete(answer));
    }

    private static <T> Runnable withoutAnswer(Supplier<T> action) {
        return () -> {
            var unused = action.get();
        };
    }

    private static <T> void fail(CompletableFuture<T> future, CallFault fault, Function<CallFault, T> failure) {
        if (future.isDone()) {
            return;
        }
        try {
            future.complete(failure.apply(fault));
        } catch (StoreException e) {
            future.completeExceptionally(e);
        }
    }

    @Override
    public CompletableFuture<StoreChanges> watch(String prefix, long afterRevision, long waitMillis) {
        CompletableFuture<StoreChanges> future = new CompletableFuture<>();
        CallFault fault = faultToWatch(prefix);
        if (fault != CallFault.NONE && confirmsOldCordons(prefix)) {
            time.schedule(waitMillis, () -> future.complete(new StoreChanges(List.of(), afterRevision)));
        } else if (fault == CallFault.REFUSED) {
            net.deliver(net.latency(), () -> fail(future, fault, SimStorePort::refusal));
        } else if (fault == CallFault.NONE) {
            long end = time.now() + waitMillis;
            net.deliver(
                    net.latency() + net.storeDelay,
                    () -> pollChanges(future, prefix, afterRevision, afterRevision, end));
            time.schedule(waitMillis, () -> answerEmpty(future, prefix, afterRevision));
        }
        scheduleTimeout(
                future, waitMillis + CALL_TIMEOUT_MILLIS, waitMillis + TRANSFER_TIMEOUT_MILLIS, SimStorePort::refusal);
        return future;
    }

    private void pollChanges(CompletableFuture<StoreChanges> future, String prefix, long after, long seen, long end) {
        if (future.isDone() || time.now() > end) {
            return;
        }
        StoreChanges c = store.changes(prefix, after, seen);
        if (c == null) {
            future.completeExceptionally(new StoreException(StoreException.Kind.HISTORY_GONE, "model"));
        } else if (c.changes().isEmpty()) {
            long upTo = store.revision();
            store.onNextChange(() -> pollChanges(future, prefix, after, upTo, end));
        } else {
            answer(future, prefix, after, withoutSabotagedItems(c));
        }
    }

    /**
     * Ends a watch without changes, unless an answer with changes is already being transferred over a limited link.
     */
    private void answerEmpty(CompletableFuture<StoreChanges> future, String prefix, long after) {
        if (!down.isLimited() || !answersInTransit.contains(future)) {
            answer(future, prefix, after, new StoreChanges(List.of(), after));
        }
    }

    /** Answers a watch. A watch that was open when the entry lost contact gets no answer. */
    private void answer(CompletableFuture<StoreChanges> future, String prefix, long after, StoreChanges c) {
        if (faultToWatch(prefix) == CallFault.NONE) {
            answersInTransit.add(future);
            net.deliver(net.latency(), () -> transferAnswer(future, WireBytes.of(c), c));
        } else if (confirmsOldCordons(prefix)) {
            future.complete(new StoreChanges(List.of(), after));
        }
    }

    private CallFault faultToWatch(String prefix) {
        return losesOperatorRecords(prefix) ? CallFault.SILENT : net.faultToStore(entry, hall, false);
    }

    private boolean confirmsOldCordons(String prefix) {
        return sabotage == Sabotage.OLD_CORDONS_CONFIRMED && prefix.equals(World.OPERATORS);
    }
}
