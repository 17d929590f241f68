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

import io.vavr.control.Either;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.capacity.ServiceReport;
import org.lupinpaddle.core.common.Clock;
import org.lupinpaddle.core.common.RecordCodec;
import org.lupinpaddle.core.common.Unreadable;
import org.lupinpaddle.core.cordon.HallCordons;
import org.lupinpaddle.core.fleet.FleetPlanner;
import org.lupinpaddle.core.fleet.FleetPort;
import org.lupinpaddle.core.fleet.FleetTiming;
import org.lupinpaddle.core.fleet.InstanceList;
import org.lupinpaddle.core.fleet.InstanceOperation;
import org.lupinpaddle.core.fleet.InstanceOrderOutcome;
import org.lupinpaddle.core.fleet.RecentOrders;
import org.lupinpaddle.core.job.SchedulerKeys;
import org.lupinpaddle.core.queue.ServiceConfig;
import org.lupinpaddle.core.upkeep.EvacuationRecord;
import org.lupinpaddle.core.upkeep.UpkeepRecord;
import org.lupinpaddle.daemon.common.EventLoop;
import org.lupinpaddle.daemon.common.Log;
import org.lupinpaddle.daemon.jobs.UnreadableEntries.Kind;
import org.lupinpaddle.daemon.port.InstanceOrders;
import org.lupinpaddle.daemon.port.KeyValueStore;
import org.lupinpaddle.daemon.port.PlatformRecords;
import org.lupinpaddle.daemon.port.StoreChanges;
import org.lupinpaddle.daemon.port.StoreItem;

/**
 * Runs the fleet planner while this entry owns the fleet. The platform need not check the fencing tokens of orders.
 * Therefore an order is sent only while the lease, counted from when its latest renewal was sent, outlasts the call,
 * and only after a write under the owner's fence has recorded which instances are ordered. A successor does not order
 * these instances for the time that the platform requires between two owners' orders of one instance, nor while an
 * order for them may still be executed; it may order all others at once.
 */
final class FleetHost implements FleetPort, PrefixWatch.Listener, AutoCloseable {

    private static final long TICK_MILLIS = 100;
    // One line per second; it shows first when an owner has more to write than the store accepts.
    private static final long LOAD_LOG_MILLIS = 1_000;
    private static final long LIST_MILLIS = 500;
    // The time for which a write confirms the ownership, counted from when it was sent; an entry that was suspended
    // meanwhile writes again. A slow store takes 250 ms to answer.
    private static final long MAX_CONFIRMATION_AGE_MILLIS = 700;
    // The maximum time between writing the record of an order and the order reaching the platform.
    private static final long ORDER_DEADLINE_MILLIS = MAX_CONFIRMATION_AGE_MILLIS + InstanceOrders.CALL_MILLIS;
    // Interval at which the record of recent orders is rewritten with their current ages and without expired ones, so
    // that a successor holds back as few instances as possible, and none for longer than necessary.
    private static final long PRUNE_INTERVAL_MILLIS = 500;
    // Interval at which a hand-over checks whether the pending writes are durable; a write takes 10 ms.
    private static final long HAND_OVER_CHECK_MILLIS = 10;
    private static final long RETRY_MILLIS = 150;
    /** Key prefix for instances whose rows are unreadable. */
    private static final String INSTANCE_PREFIX = "instance/";

    // Margin between checking the lease and sending the order.
    private static final long SLACK_MILLIS = 100;

    private final Context context;
    private final long fence;
    private final Map<String, InstanceOperation> pendingOrders = new LinkedHashMap<>();
    private final OrderedInstances ordered;
    private int openCalls;
    private final FencedRecordWriter owned;
    private final PrefixWatch records;
    private final PrefixWatch waves;
    private final FleetPlanner planner;
    private final StartupWatchdog watchdog;
    private final long wonAt;
    private final long timeOfDayWonAt;
    private boolean earlierOrdersRead;
    /** Whether the record of recent orders was unreadable; it is not overwritten either in that case. */
    private boolean earlierOrdersUnreadable;

    private boolean writingOrders;
    /**
     * Whether the latest write of the record was answered, if there was any. While the store loses answers, the record
     * is written only for new orders.
     */
    private boolean recordSaved = true;

    private @Nullable CompletableFuture<Void> handedOver;
    private long handOverBegunAt;
    /** Whether the successor has been told which instances it must not order yet. */
    private boolean successorInformed;

    private long nextSuccessorWriteAt = Long.MIN_VALUE;
    /** Whether the entry shuts down after the hand-over. */
    private boolean shuttingDown;

    private boolean closed;

    /**
     * The entry's components that the host uses.
     *
     * @param name the entry's name
     * @param store the platform's store
     * @param instances lists and orders instances
     * @param names locates the operators' records
     * @param loop the event loop
     * @param ownership this entry's lease
     * @param wall the wall clock
     * @param timing the planner's timing
     * @param meters the entry's metrics
     * @param unreadable the unreadable entries of the store
     * @param cordons supplies the current view of cordoned data halls
     */
    record Context(
            String name,
            KeyValueStore store,
            InstanceOrders instances,
            PlatformRecords names,
            EventLoop loop,
            OwnershipManager ownership,
            Clock wall,
            FleetTiming timing,
            JobMetrics meters,
            UnreadableEntries unreadable,
            Supplier<HallCordons> cordons) {

        /** Returns how long after a change of owner a recently ordered instance must not be ordered. */
        static long takeOverMillis(long ownerLeaseMillis) {
            return ORDER_DEADLINE_MILLIS + ownerLeaseMillis + SLACK_MILLIS;
        }
    }

    FleetHost(Context context, long fence) {
        this.context = context;
        this.fence = fence;
        wonAt = context.loop.clock().millis();
        timeOfDayWonAt = context.wall.millis();
        ordered = new OrderedInstances(context.timing.takeOverMillis(), ORDER_DEADLINE_MILLIS);
        planner = new FleetPlanner(context.timing, this, context.loop.clock(), context.wall);
        watchdog = new StartupWatchdog(
                context.loop,
                () -> !closed && !earlierOrdersRead,
                context.ownership::reachesStore,
                () -> context.ownership.deferToOthers(JobNode.FLEET, fence, "the fleet's records cannot be read"));
        owned = new FencedRecordWriter(context.store, context.loop, JobNode.FLEET, fence);
        records = new PrefixWatch(context.store, context.loop, SchedulerKeys.fleet(), this);
        waves = new PrefixWatch(
                context.store,
                context.loop,
                context.names.wavePrefix(),
                PrefixWatch.Listener.forAnyChange(this::wavesChanged));
    }

    void start(List<ServiceConfig> services) {
        planner.onServices(services);
        records.start();
        waves.start();
        listInstances();
        tick();
        context.loop.after(PRUNE_INTERVAL_MILLIS, this::prune);
        context.loop.after(LOAD_LOG_MILLIS, this::logLoad);
    }

    private void logLoad() {
        if (!closed) {
            Log.info(
                    "fleet-load",
                    "fence",
                    fence,
                    "errands",
                    planner.operationCount(),
                    "writes-waiting",
                    owned.pendingWrites());
            context.loop.after(LOAD_LOG_MILLIS, this::logLoad);
        }
    }

    void onServices(List<ServiceConfig> services) {
        planner.onServices(services);
    }

    private void listInstances() {
        if (closed) {
            return;
        }
        context.instances
                .list()
                .whenComplete((all, why) -> context.loop.execute(() -> {
                    // Scheduled first, so that a step which fails is repeated as well.
                    context.loop.after(LIST_MILLIS, this::listInstances);
                    if (why != null) {
                        Log.info("instances-unread", "why", StoreFailure.text(why));
                    } else if (!closed) {
                        reportUnreadable(all);
                        planner.onInstances(all);
                        recordsChanged();
                    }
                }));
    }

    /** Reports unreadable rows under their instance names, because rows have no store keys or revisions. */
    private void reportUnreadable(InstanceList all) {
        Map<String, Unreadable> byKey = new HashMap<>();
        all.unreadable().forEach((id, why) -> byKey.put(INSTANCE_PREFIX + id, why));
        context.unreadable.retainOnly(INSTANCE_PREFIX, byKey.keySet());
        byKey.forEach((key, why) ->
                context.unreadable.markUnreadable(new UnreadableEntries.Entry(Kind.INSTANCE, key, 0, why)));
    }

    private void tick() {
        if (closed) {
            return;
        }
        // Scheduled first, so that a step which fails is repeated as well.
        context.loop.after(TICK_MILLIS, this::tick);
        if (earlierOrdersRead && !earlierOrdersUnreadable) {
            reviewEarlierOrders();
        }
        if (!isHandingOver()) {
            planner.onCordons(context.cordons.get());
            planner.tick();
        }
    }

    @Override
    public void onPage() {
        watchdog.onProgress();
    }

    @Override
    public void onRead() {
        if (!earlierOrdersRead) {
            readEarlierOrders();
        }
        recordsChanged();
    }

    @Override
    public void onChanges(List<StoreChanges.Change> changes) {
        recordsChanged();
    }

    /**
     * Reads the orders of earlier owners. The first read follows the acquisition of the ownership, so no earlier
     * owner can have added to the record since.
     */
    private void readEarlierOrders() {
        earlierOrdersRead = true;
        records.items().stream()
                .filter(i -> i.key().equals(SchedulerKeys.recentOrders()))
                .forEach(i -> {
                    owned.expectRevision(i.key(), i.revision());
                    RecentOrders r = recordOrNull(Kind.RECENT_ORDERS, i, item -> item.read(RecentOrders.class));
                    earlierOrdersUnreadable = r == null;
                    if (r != null) {
                        ordered.inherit(r, wonAt, timeOfDayWonAt);
                    }
                });
        if (earlierOrdersUnreadable) {
            // Any instance may have been ordered recently, so none is ordered until the pending orders of an earlier
            // owner
            // have completed or timed out.
            Log.warn("earlier-orders-unknown", "fence", fence, "waits-millis", context.timing.takeOverMillis());
            context.loop.after(context.timing.takeOverMillis(), this::onEarlierOrdersExpired);
            return;
        }
        Map<String, Long> until = ordered.blockedUntil();
        planner.onPredecessorOrders(until);
        long now = context.loop.clock().millis();
        Log.info(
                "fleet-owner-started",
                "fence",
                fence,
                "ordered-lately",
                until.size(),
                "waits",
                ordered.describeInherited(now));
    }

    private void onEarlierOrdersExpired() {
        earlierOrdersUnreadable = false;
        planner.onPredecessorOrders(Map.of());
    }

    /**
     * Releases the instances whose orders were sent by processes that have ended, once none can still be executed, and
     * ends the silence of those that are registered again.
     */
    private void reviewEarlierOrders() {
        long now = context.loop.clock().millis();
        Set<String> ended = ordered.dropEnded(context.ownership::hasEnded, now);
        ordered.confirmRunning(context.ownership::isRegistered, context.ownership.registrationsSeenAt(), now);
        Map<String, Long> until = ordered.blockedUntil();
        if (!ended.isEmpty()) {
            Log.info("earlier-orders-over", "instances", ended, "left", until.size());
        }
        planner.onPredecessorOrders(until);
    }

    private void recordsChanged() {
        context.unreadable.retainOnly(SchedulerKeys.fleet(), records.items());
        Map<EvacuationRecord, String> evacuations = new HashMap<>();
        for (StoreItem i : records.items()) {
            if (SchedulerKeys.isEvacuation(i.key())) {
                owned.observeRevision(i.key(), i.revision());
                EvacuationRecord r = recordOrNull(Kind.EVACUATION, i, EvacuationFeed::read);
                if (r != null && owned.isCurrent(i.key(), i.revision())) {
                    evacuations.put(r, SchedulerKeys.evacuatedService(i.key()));
                }
            }
            SchedulerKeys.reportOf(i.key()).ifPresent(s -> processReport(s, i));
            SchedulerKeys.upkeepOf(i.key()).ifPresent(w -> processUpkeep(w, i));
        }
        planner.onEvacuations(evacuations);
    }

    private void processReport(String service, StoreItem i) {
        ServiceReport r = recordOrNull(Kind.REPORT, i, item -> item.read(ServiceReport.class));
        if (r != null) {
            planner.onReport(service, r);
        }
    }

    private void processUpkeep(long wave, StoreItem i) {
        UpkeepRecord r = recordOrNull(Kind.UPKEEP, i, item -> item.read(UpkeepRecord.class));
        if (r != null) {
            planner.onUpkeep(wave, r);
        }
    }

    private <T> @Nullable T recordOrNull(Kind kind, StoreItem i, Function<StoreItem, Either<Unreadable, T>> reader) {
        return context.unreadable.recordOrNull(kind, i, reader);
    }

    private void wavesChanged() {
        context.unreadable.retainOnly(context.names.wavePrefix(), waves.items());
        planner.onWaves(waves.items().stream()
                .map(i -> recordOrNull(Kind.WAVE, i, context.names::wave))
                .filter(Objects::nonNull)
                .toList());
    }

    @Override
    public void requestEvacuation(String service, EvacuationRecord record) {
        write(Map.of(SchedulerKeys.evacuation(service, record.worker()), RecordCodec.write(record)));
    }

    @Override
    public void endEvacuation(String service, String worker) {
        write(Map.of(SchedulerKeys.evacuation(service, worker), ""));
    }

    @Override
    public void writeUpkeep(long wave, UpkeepRecord record) {
        write(Map.of(SchedulerKeys.upkeep(wave), RecordCodec.write(record)));
    }

    @Override
    public void reportWaveRunning(long wave) {
        write(Map.of(context.names.waveStatusKey(wave), context.names.waveStatus(wave, false)));
    }

    @Override
    public void reportWaveCompleted(long wave, UpkeepRecord record) {
        write(Map.of(
                SchedulerKeys.upkeep(wave),
                RecordCodec.write(record),
                context.names.waveStatusKey(wave),
                context.names.waveStatus(wave, true)));
    }

    private void write(Map<String, String> values) {
        if (!closed) {
            owned.writeInOrder(
                    values, () -> context.ownership.giveUp(JobNode.FLEET, fence, "the store refused a write"));
        }
    }

    /** Collects the orders of one planning pass and sends them together. */
    @Override
    public void order(String instance, InstanceOperation errand) {
        pendingOrders.put(instance, errand);
        context.loop.execute(this::sendOrders);
    }

    /**
     * Records which instances are about to be ordered, on condition that this entry still owns the fleet, and then
     * sends the orders. The record is required because a lease can be renewed after its keys are gone, and because a
     * successor has to know the orders.
     */
    private void sendOrders() {
        if (closed || isHandingOver() || writingOrders || pendingOrders.isEmpty()) {
            return;
        }
        Map<String, InstanceOperation> orders = new LinkedHashMap<>(pendingOrders);
        pendingOrders.clear();
        long writtenAt = context.loop.clock().millis();
        ordered.onOrdering(orders.keySet(), context.ownership.life(), writtenAt);
        writeRecentOrders(outcome -> {
            if (outcome == FencedRecordWriter.Outcome.SAVED) {
                sendAsOwner(orders, writtenAt);
            } else {
                Log.info("fleet-orders-held-back", "count", orders.size(), "outcome", outcome);
                orders.forEach(this::refused);
            }
        });
    }

    private void writeRecentOrders(Consumer<FencedRecordWriter.Outcome> onEnd) {
        writingOrders = true;
        String record = RecordCodec.write(ordered.record(context.loop.clock().millis(), context.wall.millis()));
        owned.write(Map.of(SchedulerKeys.recentOrders(), record), outcome -> {
            writingOrders = false;
            recordSaved = outcome == FencedRecordWriter.Outcome.SAVED;
            onEnd.accept(outcome);
            if (outcome == FencedRecordWriter.Outcome.NOT_OWNER) {
                context.ownership.giveUp(JobNode.FLEET, fence, "this entry no longer owns the fleet");
            }
            context.loop.execute(this::sendOrders);
        });
    }

    private void prune() {
        if (closed || isHandingOver()) {
            return;
        }
        long now = context.loop.clock().millis();
        boolean ages = recordSaved && ordered.hasWaiting(now);
        if ((ages || ordered.hasExpired(now)) && !writingOrders) {
            writeRecentOrders(outcome -> Log.debug("fleet-record-pruned", "outcome", outcome));
        }
        context.loop.after(PRUNE_INTERVAL_MILLIS, this::prune);
    }

    /**
     * Stops sending orders and records for the successor which instances it must not order yet. If this process ends,
     * these are the instances whose order may still be executed, those ordered recently by an earlier owner whose
     * process may still run, and those that are down for maintenance and count against its limit. If this process lives
     * on, they are all recently ordered instances. The future completes when this record and all writes queued before
     * it are durable. The caller waits only for a limited time; after that the successor uses the records as they are.
     */
    CompletableFuture<Void> handOver(HandOverReason why) {
        if (handedOver == null) {
            handedOver = new CompletableFuture<>();
            handOverBegunAt = context.loop.clock().millis();
            shuttingDown = why.isShutdown();
            finishHandOver(handedOver);
        }
        return handedOver;
    }

    private boolean isHandingOver() {
        return handedOver != null;
    }

    private void finishHandOver(CompletableFuture<Void> done) {
        boolean nothingToWrite = closed || !earlierOrdersRead || earlierOrdersUnreadable;
        if (nothingToWrite || (successorInformed && owned.pendingWrites() == 0)) {
            done.complete(null);
            return;
        }
        long now = context.loop.clock().millis();
        // The outcomes of the open calls spare the successor most of its waits.
        boolean callsEnded = openCalls == 0 || now - handOverBegunAt > InstanceOrders.CALL_MILLIS;
        if (!successorInformed && !writingOrders && callsEnded && now >= nextSuccessorWriteAt) {
            writeOrdersForSuccessor();
        }
        context.loop.after(HAND_OVER_CHECK_MILLIS, () -> finishHandOver(done));
    }

    private void writeOrdersForSuccessor() {
        if (shuttingDown) {
            Set<String> down = planner.inUpkeep();
            // Orders of other owners are kept: their processes may still run and reach the platform.
            ordered.dropSettledOf(
                    context.ownership.life(), down, context.loop.clock().millis());
        }
        writeRecentOrders(outcome -> {
            successorInformed = outcome == FencedRecordWriter.Outcome.SAVED;
            nextSuccessorWriteAt = context.loop.clock().millis() + RETRY_MILLIS;
            Log.info("fleet-handed-over", "outcome", outcome, "open-calls", openCalls);
        });
    }

    private void sendAsOwner(Map<String, InstanceOperation> orders, long writtenAt) {
        long now = context.loop.clock().millis();
        long leaseEndsAt = context.ownership.leaseEndsAt();
        long sendBefore = Math.min(
                writtenAt + MAX_CONFIRMATION_AGE_MILLIS, leaseEndsAt - InstanceOrders.CALL_MILLIS - SLACK_MILLIS);
        boolean sends = !closed && !isHandingOver() && now < sendBefore;
        Log.info(
                sends ? "fleet-orders-sent" : "fleet-orders-not-sent",
                "fence",
                fence,
                "life",
                context.ownership.life(),
                "record-millis-ago",
                now - writtenAt,
                "lease-millis-left",
                leaseEndsAt - now,
                "instances",
                orders.keySet());
        orders.forEach((i, errand) -> {
            if (sends) {
                send(i, errand, sendBefore);
            } else {
                refused(i, errand);
            }
        });
    }

    private void send(String instance, InstanceOperation errand, long sendBefore) {
        Clock clock = context.loop.clock();
        long sentAt = clock.millis();
        openCalls++;
        context.instances
                .order(instance, errand, context.name, fence, () -> clock.millis() < sendBefore)
                .thenAcceptAsync(o -> ordered(instance, errand, sentAt, o), context.loop::execute);
    }

    /** Handles an order that was recorded and not sent. */
    private void refused(String instance, InstanceOperation errand) {
        ordered.onSettled(instance, context.loop.clock().millis());
        context.loop.execute(() -> planner.onOrderOutcome(instance, errand, InstanceOrderOutcome.REFUSED));
    }

    private void ordered(String instance, InstanceOperation errand, long sentAt, InstanceOrderOutcome o) {
        openCalls--;
        long millis = context.loop.clock().millis() - sentAt;
        context.meters.instanceOrdered(o, millis);
        Log.info(
                "fleet-order-ended",
                "instance",
                instance,
                "errand",
                errand,
                "fence",
                fence,
                "sent-millis-ago",
                millis,
                "outcome",
                o,
                "still-owner",
                !closed);
        if (o == InstanceOrderOutcome.UNKNOWN) {
            ordered.onUnanswered(instance, context.loop.clock().millis());
        } else {
            ordered.onSettled(instance, context.loop.clock().millis());
        }
        if (closed) {
            return;
        }
        if (o == InstanceOrderOutcome.FENCED) {
            context.ownership.giveUp(JobNode.FLEET, fence, "an order was rejected because of its fence");
        }
        planner.onOrderOutcome(instance, errand, o);
    }

    @Override
    public void logDecision(String kind, String instance, String detail) {
        Log.info("fleet", "kind", kind, "instance", instance, "why", detail);
    }

    @Override
    public void close() {
        closed = true;
        records.close();
        waves.close();
    }
}
