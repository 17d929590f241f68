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
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.capacity.ServiceReport;
import org.lupinpaddle.core.common.Clock;
import org.lupinpaddle.core.common.RecordCodec;
import org.lupinpaddle.core.common.Unreadable;
import org.lupinpaddle.core.fleet.FleetPlanner;
import org.lupinpaddle.core.fleet.FleetPort;
import org.lupinpaddle.core.fleet.FleetTiming;
import org.lupinpaddle.core.fleet.InstanceList;
import org.lupinpaddle.core.fleet.InstanceOperation;
import org.lupinpaddle.core.fleet.InstanceOrderOutcome;
import org.lupinpaddle.core.fleet.RecentOrders;
import org.lupinpaddle.core.job.JobKeys;
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
 * Runs the planner of the fleet while this entry owns it. The platform need not check fences of orders, so an
 * order goes out only while the lease, counted from when its newest renewal was sent, outlasts the call, and only
 * after a write under the owner's fence has told which instances are ordered. A successor leaves those alone for the
 * time that the platform asks between two owners' orders of one instance; all others it may order at once.
 */
final class FleetHost implements FleetPort, PrefixWatch.Listener, AutoCloseable {

    private static final long TICK_MILLIS = 100;
    // One line a second: an owner that is asked for more than it can write shows here first.
    private static final long TELL_MILLIS = 1_000;
    private static final long LIST_MILLIS = 500;
    // The ownership that a write has shown counts for so long after it was sent; an entry that was frozen meanwhile
    // writes again. A slow store takes 250 ms for its answer.
    private static final long FRESH_MILLIS = 700;
    // An order reaches the platform at the latest so long after its record was written.
    private static final long ORDER_MILLIS = FRESH_MILLIS + InstanceOrders.CALL_MILLIS;
    // So often the record of orders is written anew, with how old they are by then and without those too old to matter:
    // a successor leaves few instances alone, and none for longer than it must.
    private static final long PRUNE_EVERY_MILLIS = 500;
    // Between two looks whether what a hand-over waits for is written: a write takes 10 ms.
    private static final long HAND_OVER_LOOK_MILLIS = 10;
    private static final long RETRY_MILLIS = 150;
    /** Stands before the names of instances whose rows can not be read. */
    private static final String INSTANCES = "instance/";

    // Between the check of the lease and the order's way out.
    private static final long SLACK_MILLIS = 100;

    private final Entry entry;
    private final long fence;
    private final Map<String, InstanceOperation> toOrder = new LinkedHashMap<>();
    private final OrderedInstances ordered;
    private final Set<String> unanswered = new HashSet<>();
    private final OwnedRecords owned;
    private final PrefixWatch records;
    private final PrefixWatch waves;
    private final FleetPlanner planner;
    private final StartPatience patience;
    private final long wonAt;
    private boolean earlierKnown;
    /** Whether which instances were ordered lately could not be read; then it is not overwritten either. */
    private boolean earlierUnread;

    private boolean writingOrders;
    /** Whether the newest write of the record was answered: while the store loses answers it is written for orders only. */
    private boolean recordSaved;

    private @Nullable CompletableFuture<Void> handedOver;
    /** Whether the successor has been told which instances it has to leave alone. */
    private boolean successorTold;

    private long tellSuccessorAt = Long.MIN_VALUE;
    /** Whether the entry ends with the hand-over. */
    private boolean entryEnds;

    private boolean closed;

    /**
     * What the planner's host is given by its entry.
     *
     * @param name the entry's name
     * @param store the platform's store
     * @param instances the list of instances and orders on them
     * @param names where the operators' records lie
     * @param loop the event loop
     * @param ownership this entry's lease
     * @param wall the time of day
     * @param timing the planner's times
     * @param meters the entry's figures
     * @param unreadable entries of the store that can not be read
     */
    record Entry(
            String name,
            KeyValueStore store,
            InstanceOrders instances,
            PlatformRecords names,
            EventLoop loop,
            OwnershipKeeper ownership,
            Clock wall,
            FleetTiming timing,
            JobMeters meters,
            UnreadableEntries unreadable) {

        /** Returns how long after a change of owner an instance that was ordered lately is left alone. */
        static long takeOverMillis(long ownerLeaseMillis) {
            return ORDER_MILLIS + ownerLeaseMillis + SLACK_MILLIS;
        }
    }

    FleetHost(Entry entry, long fence) {
        this.entry = entry;
        this.fence = fence;
        wonAt = entry.loop.clock().millis();
        ordered = new OrderedInstances(entry.timing.takeOverMillis(), ORDER_MILLIS);
        planner = new FleetPlanner(entry.timing, this, entry.loop.clock(), entry.wall);
        patience = new StartPatience(
                entry.loop,
                () -> !closed && !earlierKnown,
                entry.ownership::reachesStore,
                () -> entry.ownership.leaveToOthers(JobNode.FLEET, fence, "the fleet's records can not be read"));
        owned = new OwnedRecords(entry.store, entry.loop, JobNode.FLEET, fence);
        records = new PrefixWatch(entry.store, entry.loop, JobKeys.fleet(), this);
        waves = new PrefixWatch(
                entry.store, entry.loop, entry.names.wavePrefix(), PrefixWatch.Listener.same(this::wavesChanged));
    }

    void start(List<ServiceConfig> services) {
        planner.onServices(services);
        records.start();
        waves.start();
        list();
        tick();
        entry.loop.after(PRUNE_EVERY_MILLIS, this::prune);
        entry.loop.after(TELL_MILLIS, this::tell);
    }

    private void tell() {
        if (!closed) {
            Log.info(
                    "fleet-load",
                    "fence",
                    fence,
                    "errands",
                    planner.operationCount(),
                    "writes-waiting",
                    owned.waiting());
            entry.loop.after(TELL_MILLIS, this::tell);
        }
    }

    void onServices(List<ServiceConfig> services) {
        planner.onServices(services);
    }

    private void list() {
        if (closed) {
            return;
        }
        entry.instances
                .list()
                .whenComplete((all, why) -> entry.loop.execute(() -> {
                    if (why != null) {
                        Log.info("instances-unread", "why", StoreFailure.text(why));
                    } else if (!closed) {
                        tellUnreadable(all);
                        planner.onInstances(all);
                        recordsChanged();
                    }
                    entry.loop.after(LIST_MILLIS, this::list);
                }));
    }

    /** The rows have no keys and no revisions of the store; their instances' names stand for them. */
    private void tellUnreadable(InstanceList all) {
        Map<String, Unreadable> byKey = new HashMap<>();
        all.unreadable().forEach((id, why) -> byKey.put(INSTANCES + id, why));
        entry.unreadable.onlyThese(INSTANCES, byKey.keySet());
        byKey.forEach(
                (key, why) -> entry.unreadable.unreadable(new UnreadableEntries.Entry(Kind.INSTANCE, key, 0, why)));
    }

    private void tick() {
        if (closed) {
            return;
        }
        if (earlierKnown && !earlierUnread) {
            forgetOverLives();
        }
        if (!isHandingOver()) {
            planner.tick();
        }
        entry.loop.after(TICK_MILLIS, this::tick);
    }

    @Override
    public void onPage() {
        patience.moved();
    }

    @Override
    public void onRead() {
        if (!earlierKnown) {
            takeEarlierOrders();
        }
        recordsChanged();
    }

    @Override
    public void onChanges(List<StoreChanges.Change> changes) {
        recordsChanged();
    }

    /** The first read came after the ownership was won: no earlier owner can have added to the record since. */
    private void takeEarlierOrders() {
        earlierKnown = true;
        records.items().stream()
                .filter(i -> i.key().equals(JobKeys.recentOrders()))
                .forEach(i -> {
                    owned.known(i.key(), i.revision());
                    RecentOrders r = taken(Kind.RECENT_ORDERS, i, i.read(RecentOrders.class));
                    earlierUnread = r == null;
                    if (r != null) {
                        ordered.takeOver(r, wonAt);
                    }
                });
        if (earlierUnread) {
            // Any instance may have been ordered lately: none is, until no earlier owner's order can be under way.
            Log.warn("earlier-orders-unknown", "fence", fence, "waits-millis", entry.timing.takeOverMillis());
            entry.loop.after(entry.timing.takeOverMillis(), this::earlierOrdersPast);
            return;
        }
        Map<String, Long> until = ordered.leftAloneUntil();
        planner.onPredecessorOrders(until);
        Log.info("fleet-owner-started", "fence", fence, "ordered-lately", until.size());
    }

    private void earlierOrdersPast() {
        earlierUnread = false;
        planner.onPredecessorOrders(Map.of());
    }

    /** Instances that a life which is over has ordered need not be left alone. */
    private void forgetOverLives() {
        int over = ordered.dropOver(entry.ownership::isOver);
        Map<String, Long> until = ordered.leftAloneUntil();
        if (over > 0) {
            Log.info("earlier-orders-over", "instances", over, "left", until.size());
        }
        planner.onPredecessorOrders(until);
    }

    private void recordsChanged() {
        entry.unreadable.onlyThese(JobKeys.fleet(), records.items());
        Map<EvacuationRecord, String> evacuations = new HashMap<>();
        for (StoreItem i : records.items()) {
            if (JobKeys.isEvacuation(i.key())) {
                owned.seen(i.key(), i.revision());
                EvacuationRecord r = taken(Kind.EVACUATION, i, EvacuationFeed.read(i));
                if (r != null && owned.isCurrent(i.key(), i.revision())) {
                    evacuations.put(r, JobKeys.evacuatedService(i.key()));
                }
            }
            JobKeys.reportOf(i.key()).ifPresent(s -> takeReport(s, i));
            JobKeys.upkeepOf(i.key()).ifPresent(w -> takeUpkeep(w, i));
        }
        planner.onEvacuations(evacuations);
    }

    private void takeReport(String service, StoreItem i) {
        ServiceReport r = taken(Kind.REPORT, i, i.read(ServiceReport.class));
        if (r != null) {
            planner.onReport(service, r);
        }
    }

    private void takeUpkeep(long wave, StoreItem i) {
        UpkeepRecord r = taken(Kind.UPKEEP, i, i.read(UpkeepRecord.class));
        if (r != null) {
            planner.onUpkeep(wave, r);
        }
    }

    private <T> @Nullable T taken(Kind kind, StoreItem i, Either<Unreadable, T> record) {
        return entry.unreadable.taken(kind, i, record);
    }

    private void wavesChanged() {
        entry.unreadable.onlyThese(entry.names.wavePrefix(), waves.items());
        planner.onWaves(waves.items().stream()
                .map(i -> taken(Kind.WAVE, i, entry.names.wave(i)))
                .filter(Objects::nonNull)
                .toList());
    }

    @Override
    public void requestEvacuation(String service, EvacuationRecord record) {
        write(Map.of(JobKeys.evacuation(service, record.worker()), RecordCodec.write(record)));
    }

    @Override
    public void endEvacuation(String service, String worker) {
        write(Map.of(JobKeys.evacuation(service, worker), ""));
    }

    @Override
    public void writeUpkeep(long wave, UpkeepRecord record) {
        write(Map.of(JobKeys.upkeep(wave), RecordCodec.write(record)));
    }

    @Override
    public void reportWaveRunning(long wave) {
        write(Map.of(entry.names.waveStatusKey(wave), entry.names.waveStatus(wave, false)));
    }

    @Override
    public void reportWaveCompleted(long wave, UpkeepRecord record) {
        write(Map.of(
                JobKeys.upkeep(wave),
                RecordCodec.write(record),
                entry.names.waveStatusKey(wave),
                entry.names.waveStatus(wave, true)));
    }

    private void write(Map<String, String> values) {
        if (!closed) {
            owned.writeInOrder(values, () -> entry.ownership.giveUp(JobNode.FLEET, fence, "the store refused a write"));
        }
    }

    /** Orders that are asked for in one pass go out together. */
    @Override
    public void order(String instance, InstanceOperation errand) {
        toOrder.put(instance, errand);
        entry.loop.execute(this::sendOrders);
    }

    /**
     * Writes which instances are about to be ordered, under the condition that this entry still owns the fleet, then
     * orders: a lease can be renewed after its keys are gone, and a successor has to know.
     */
    private void sendOrders() {
        if (closed || isHandingOver() || writingOrders || toOrder.isEmpty()) {
            return;
        }
        Map<String, InstanceOperation> orders = new LinkedHashMap<>(toOrder);
        toOrder.clear();
        long writtenAt = entry.loop.clock().millis();
        ordered.ordering(orders.keySet(), entry.ownership.life(), writtenAt);
        writeRecent(outcome -> {
            if (outcome == OwnedRecords.Outcome.SAVED) {
                orders.forEach((i, errand) -> orderAsOwner(i, errand, writtenAt));
            } else {
                Log.info("fleet-orders-held-back", "count", orders.size(), "outcome", outcome);
                orders.forEach(this::refused);
            }
        });
    }

    private void writeRecent(Consumer<OwnedRecords.Outcome> onEnd) {
        writingOrders = true;
        String record = RecordCodec.write(ordered.record(entry.loop.clock().millis()));
        owned.write(Map.of(JobKeys.recentOrders(), record), outcome -> {
            writingOrders = false;
            recordSaved = outcome == OwnedRecords.Outcome.SAVED;
            onEnd.accept(outcome);
            if (outcome == OwnedRecords.Outcome.NOT_OWNER) {
                entry.ownership.giveUp(JobNode.FLEET, fence, "its key is not this owner's any more");
            }
            entry.loop.execute(this::sendOrders);
        });
    }

    private void prune() {
        if (closed || isHandingOver()) {
            return;
        }
        long now = entry.loop.clock().millis();
        boolean ages = recordSaved && ordered.hasWaiting(now);
        if ((ages || ordered.hasOld(now)) && !writingOrders) {
            writeRecent(outcome -> Log.debug("fleet-record-pruned", "outcome", outcome));
        }
        entry.loop.after(PRUNE_EVERY_MILLIS, this::prune);
    }

    /**
     * Gives no more orders and tells the successor so. Where this process ends, only instances whose order has no answer yet
     * must be left alone, those that an owner before this one ordered lately, whose process may go on, and those counted
     * that are down for upkeep; where it lives on, all that were ordered lately. The future ends when that is durable, and
     * with it all records that were to be written before. Its caller waits only for so long; the successor then goes by the
     * records as they are.
     */
    CompletableFuture<Void> handOver(HandOver why) {
        if (handedOver == null) {
            handedOver = new CompletableFuture<>();
            entryEnds = why.endsTheEntry();
            finishHandOver(handedOver);
        }
        return handedOver;
    }

    private boolean isHandingOver() {
        return handedOver != null;
    }

    private void finishHandOver(CompletableFuture<Void> done) {
        boolean nothingToTell = closed || !earlierKnown || earlierUnread;
        if (nothingToTell || (successorTold && owned.waiting() == 0)) {
            done.complete(null);
            return;
        }
        if (!successorTold && !writingOrders && entry.loop.clock().millis() >= tellSuccessorAt) {
            tellSuccessor();
        }
        entry.loop.after(HAND_OVER_LOOK_MILLIS, () -> finishHandOver(done));
    }

    private void tellSuccessor() {
        if (entryEnds) {
            Set<String> down = planner.inUpkeep();
            // What others have ordered is as recent as before: they may live, and be in touch.
            String own = entry.ownership.life();
            ordered.keepOnly((i, life) -> !life.equals(own) || unanswered.contains(i) || down.contains(i));
        }
        writeRecent(outcome -> {
            successorTold = outcome == OwnedRecords.Outcome.SAVED;
            tellSuccessorAt = entry.loop.clock().millis() + RETRY_MILLIS;
            Log.info("fleet-handed-over", "outcome", outcome, "unanswered", unanswered.size());
        });
    }

    private void orderAsOwner(String instance, InstanceOperation errand, long writtenAt) {
        long now = entry.loop.clock().millis();
        boolean lasts = entry.ownership.leaseEndsAt() - now > InstanceOrders.CALL_MILLIS + SLACK_MILLIS;
        if (closed || isHandingOver() || !lasts || now - writtenAt > FRESH_MILLIS) {
            refused(instance, errand);
            return;
        }
        unanswered.add(instance);
        entry.instances
                .order(instance, errand, entry.name, fence)
                .thenAcceptAsync(o -> ordered(instance, errand, o), entry.loop::execute);
    }

    private void refused(String instance, InstanceOperation errand) {
        entry.loop.execute(() -> planner.onOrderOutcome(instance, errand, InstanceOrderOutcome.REFUSED));
    }

    private void ordered(String instance, InstanceOperation errand, InstanceOrderOutcome o) {
        entry.meters.instanceOrdered(o);
        if (o != InstanceOrderOutcome.UNKNOWN) {
            unanswered.remove(instance);
            ordered.answered(instance, entry.loop.clock().millis());
        }
        if (closed) {
            return;
        }
        if (o == InstanceOrderOutcome.FENCED) {
            entry.ownership.giveUp(JobNode.FLEET, fence, "an order was refused by a fence");
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
