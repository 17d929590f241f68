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
import java.util.List;
import java.util.Map;
import org.lupinpaddle.core.capacity.ServiceReport;
import org.lupinpaddle.core.common.RecordCodec;
import org.lupinpaddle.core.fleet.Errand;
import org.lupinpaddle.core.fleet.FleetPlanner;
import org.lupinpaddle.core.fleet.FleetPort;
import org.lupinpaddle.core.fleet.FleetTiming;
import org.lupinpaddle.core.fleet.InstanceOrderOutcome;
import org.lupinpaddle.core.job.JobKeys;
import org.lupinpaddle.core.queue.ServiceConfig;
import org.lupinpaddle.core.upkeep.EvacuationRecord;
import org.lupinpaddle.core.upkeep.UpkeepRecord;
import org.lupinpaddle.daemon.common.EventLoop;
import org.lupinpaddle.daemon.common.Log;
import org.lupinpaddle.daemon.port.InstanceOrders;
import org.lupinpaddle.daemon.port.KeyValueStore;
import org.lupinpaddle.daemon.port.PlatformRecords;
import org.lupinpaddle.daemon.port.StoreItem;

/**
 * Runs the planner of the fleet while this entry owns it. The platform need not check fences of orders, so an
 * order goes out only while the lease, counted from when its newest renewal was sent, outlasts the call. The
 * first one waits for the time in which an earlier owner may still have given one, for a lease can be taken
 * away without its owner being told; and then for the time that the platform asks between two owners' orders.
 */
final class FleetHost implements FleetPort, AutoCloseable {

    private static final long TICK_MILLIS = 100;
    private static final long LIST_MILLIS = 500;
    // What was read of the ownership counts for so long; an entry that was frozen meanwhile reads again. With the
    // call it fits into the time that a successor waits.
    private static final long READ_FRESH_MILLIS = 400;
    // Between the check of the lease and the order's way out.
    private static final long SLACK_MILLIS = 100;

    private final Entry entry;
    private final long fence;
    private final long firstOrderAt;
    private final OwnedRecords owned;
    private final PrefixWatch records;
    private final PrefixWatch waves;
    private final FleetPlanner planner;
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
     * @param timing the planner's times
     * @param ownerLeaseMillis what the platform asks between two owners' orders
     */
    record Entry(
            String name,
            KeyValueStore store,
            InstanceOrders instances,
            PlatformRecords names,
            EventLoop loop,
            OwnershipKeeper ownership,
            FleetTiming timing,
            long ownerLeaseMillis) {}

    FleetHost(Entry entry, long fence) {
        this.entry = entry;
        this.fence = fence;
        firstOrderAt = entry.loop.clock().millis()
                + OwnershipKeeper.TTL_MILLIS
                - InstanceOrders.CALL_MILLIS
                + entry.ownerLeaseMillis;
        planner = new FleetPlanner(entry.timing, this, entry.loop.clock());
        owned = new OwnedRecords(entry.store, entry.loop, JobNode.FLEET, fence);
        records = new PrefixWatch(
                entry.store, entry.loop, JobKeys.fleet(), PrefixWatch.Listener.same(this::recordsChanged));
        waves = new PrefixWatch(
                entry.store, entry.loop, entry.names.wavePrefix(), PrefixWatch.Listener.same(this::wavesChanged));
    }

    void start(List<ServiceConfig> services) {
        planner.onServices(services);
        records.start();
        waves.start();
        list();
        tick();
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
                        planner.onInstances(all);
                        recordsChanged();
                    }
                    entry.loop.after(LIST_MILLIS, this::list);
                }));
    }

    private void tick() {
        if (closed) {
            return;
        }
        if (entry.loop.clock().millis() >= firstOrderAt) {
            planner.tick();
        }
        entry.loop.after(TICK_MILLIS, this::tick);
    }

    private void recordsChanged() {
        Map<EvacuationRecord, String> evacuations = new HashMap<>();
        for (StoreItem i : records.items()) {
            if (JobKeys.isEvacuation(i.key())) {
                EvacuationRecord.read(i.value())
                        .peek(r -> evacuations.put(r, JobKeys.evacuatedService(i.key())))
                        .peekLeft(why -> unreadable(i, why));
            }
            JobKeys.reportOf(i.key())
                    .ifPresent(s -> RecordCodec.read(i.value(), ServiceReport.class)
                            .peek(r -> planner.onReport(s, r))
                            .peekLeft(why -> unreadable(i, why)));
            JobKeys.upkeepOf(i.key())
                    .ifPresent(w -> RecordCodec.read(i.value(), UpkeepRecord.class)
                            .peek(r -> planner.onUpkeep(w, r))
                            .peekLeft(why -> unreadable(i, why)));
        }
        planner.onEvacuations(evacuations);
    }

    private static void unreadable(StoreItem i, String why) {
        Log.warn("fleet-record-unreadable", "key", i.key(), "why", why);
    }

    private void wavesChanged() {
        planner.onWaves(waves.items().stream()
                .flatMap(i ->
                        entry.names.wave(i).peekLeft(why -> unreadable(i, why)).toJavaStream())
                .toList());
    }

    @Override
    public void askEvacuation(String service, EvacuationRecord record) {
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
    public void tellWaveRunning(long wave) {
        write(Map.of(entry.names.waveStatusKey(wave), entry.names.waveStatus(wave, false)));
    }

    @Override
    public void tellWaveCompleted(long wave, UpkeepRecord record) {
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

    /** Reads that this entry still owns the fleet, then orders: a lease can be renewed after its keys are gone. */
    @Override
    public void order(String instance, Errand errand) {
        long readAt = entry.loop.clock().millis();
        if (closed || readAt < firstOrderAt) {
            refused(instance, errand);
            return;
        }
        entry.store
                .read(JobKeys.owner(JobNode.FLEET))
                .whenComplete((item, why) -> entry.loop.execute(() -> {
                    if (why != null) {
                        Log.info("fleet-ownership-unread", "why", StoreFailure.text(why));
                        refused(instance, errand);
                    } else if (item.isEmpty() || item.get().revision() != fence) {
                        refused(instance, errand);
                        entry.ownership.giveUp(JobNode.FLEET, fence, "its key is not this owner's any more");
                    } else {
                        orderAsOwner(instance, errand, readAt);
                    }
                }));
    }

    private void orderAsOwner(String instance, Errand errand, long readAt) {
        long now = entry.loop.clock().millis();
        boolean lasts = entry.ownership.leaseEndsAt() - now > InstanceOrders.CALL_MILLIS + SLACK_MILLIS;
        if (closed || !lasts || now - readAt > READ_FRESH_MILLIS) {
            refused(instance, errand);
            return;
        }
        entry.instances
                .order(instance, errand, entry.name, fence)
                .thenAcceptAsync(o -> ordered(instance, errand, o), entry.loop::execute);
    }

    private void refused(String instance, Errand errand) {
        entry.loop.execute(() -> planner.onOrdered(instance, errand, InstanceOrderOutcome.REFUSED));
    }

    private void ordered(String instance, Errand errand, InstanceOrderOutcome o) {
        if (closed) {
            return;
        }
        if (o == InstanceOrderOutcome.FENCED) {
            entry.ownership.giveUp(JobNode.FLEET, fence, "an order was refused by a fence");
        }
        planner.onOrdered(instance, errand, o);
    }

    @Override
    public void note(String kind, String instance, String detail) {
        Log.info("fleet", "kind", kind, "instance", instance, "why", detail);
    }

    @Override
    public void close() {
        closed = true;
        records.close();
        waves.close();
    }
}
