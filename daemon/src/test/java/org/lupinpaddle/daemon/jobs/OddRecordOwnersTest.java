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

import static org.junit.jupiter.api.Assertions.assertAll;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.capacity.ServiceReport;
import org.lupinpaddle.core.common.RecordCodec;
import org.lupinpaddle.core.cordon.HallCordons;
import org.lupinpaddle.core.fleet.InstanceList;
import org.lupinpaddle.core.fleet.InstanceOperation;
import org.lupinpaddle.core.fleet.InstanceOrderOutcome;
import org.lupinpaddle.core.fleet.RecentOrders;
import org.lupinpaddle.core.job.JobKey;
import org.lupinpaddle.core.job.JobProgress;
import org.lupinpaddle.core.job.JobSpec;
import org.lupinpaddle.core.job.SchedulerKeys;
import org.lupinpaddle.core.placement.Resources;
import org.lupinpaddle.core.placement.WorkerFacts;
import org.lupinpaddle.core.run.HoldOrder;
import org.lupinpaddle.core.run.HoldResponse;
import org.lupinpaddle.core.run.OrderOutcome;
import org.lupinpaddle.core.run.PaceOrder;
import org.lupinpaddle.core.run.SchedulerTiming;
import org.lupinpaddle.core.run.StartOrder;
import org.lupinpaddle.core.run.StopOrder;
import org.lupinpaddle.core.upkeep.EvacuationRecord;
import org.lupinpaddle.core.upkeep.UpkeepRecord;
import org.lupinpaddle.core.upkeep.UpkeepWave;
import org.lupinpaddle.core.workspace.Workspaces;
import org.lupinpaddle.daemon.port.HoldResult;
import org.lupinpaddle.daemon.port.InstanceOrders;
import org.lupinpaddle.daemon.port.StartResult;
import org.lupinpaddle.daemon.port.StoreItem;
import org.lupinpaddle.daemon.port.WorkerOrders;

/** Lets the owners of a service and of the fleet work with records that can be read but hold one odd value. */
class OddRecordOwnersTest {

    private static final long RUN_MILLIS = 1_000;
    private static final JobKey KEY = new JobKey("q", "j");

    private final Map<String, Throwable> failures = new LinkedHashMap<>();

    private static <T> T sound(Class<T> type) {
        return OddRecordsTest.SOUND.stream()
                .filter(type::isInstance)
                .map(type::cast)
                .findFirst()
                .orElseThrow();
    }

    /** Returns the texts that are read as different records. */
    private static Stream<String> readable(Object sound) {
        return OddValues.changed(RecordCodec.write(sound)).stream()
                .flatMap(v -> new StoreItem("k", v, 5, 0).read(sound.getClass()).toJavaStream())
                .map(RecordCodec::write)
                .distinct();
    }

    private void attempt(String value, Runnable action) {
        try {
            action.run();
        } catch (RuntimeException | StackOverflowError e) {
            StackTraceElement[] trace = e.getStackTrace();
            String shown = value.substring(0, Math.min(600, value.length()));
            failures.putIfAbsent(
                    e.getClass() + (trace.length == 0 ? "" : " " + trace[0]), new AssertionError(shown, e));
        }
    }

    private void assertNoFailures() {
        assertAll(failures.values().stream().map(f -> () -> {
            throw f;
        }));
    }

    /** Guards against a record that makes each step of the fleet's owner fail. */
    @Test
    void theFleetsOwnerWorksOn() {
        readable(sound(ServiceReport.class))
                .forEach(v -> attempt(v, () -> planFleet(SchedulerKeys.report("clips"), v)));
        readable(sound(EvacuationRecord.class))
                .forEach(v -> attempt(v, () -> planFleet(SchedulerKeys.evacuation("clips", "w1"), v)));
        readable(sound(UpkeepRecord.class)).forEach(v -> attempt(v, () -> planFleet(SchedulerKeys.upkeep(7), v)));
        readable(sound(RecentOrders.class)).forEach(v -> attempt(v, () -> planFleet(SchedulerKeys.recentOrders(), v)));
        readable(new UpkeepWave(7, List.of("m1", "m2"), 60_000, 1))
                .forEach(v -> attempt(v, () -> planFleet("wave/7", v)));
        assertNoFailures();
    }

    private static void planFleet(String key, String value) {
        FleetFixture fleet = new FleetFixture(new FleetFixture.OneSpareInstance() {
            @Override
            public CompletableFuture<InstanceOrderOutcome> order(
                    String instance, InstanceOperation errand, String holder, long f, BooleanSupplier maySend) {
                return CompletableFuture.completedFuture(InstanceOrderOutcome.TAKEN);
            }
        });
        fleet.store.set("wave/7", RecordCodec.write(new UpkeepWave(7, List.of("m1", "m2"), 60_000, 1)));
        fleet.store.set(key, value);
        FleetHost host = fleet.owner("entry-1", fleet.register("entry-1"));
        fleet.advance(RUN_MILLIS);
        host.close();
    }

    /** Guards against a job or its progress that makes each step of a service's owner fail. */
    @Test
    void aServicesOwnerWorksOn() {
        String job = RecordCodec.write(sound(JobSpec.class));
        readable(sound(JobSpec.class)).forEach(v -> attempt(v, () -> schedule(v, "")));
        readable(sound(JobProgress.class)).forEach(v -> attempt(v, () -> schedule(job, v)));
        assertNoFailures();
    }

    private static void schedule(String job, String progress) {
        FakeKeyValueStore store = new FakeKeyValueStore();
        TimedLoop loop = new TimedLoop();
        store.set(SchedulerKeys.job("clips", KEY), job);
        if (!progress.isEmpty()) {
            store.set(SchedulerKeys.progress("clips", KEY), progress);
        }
        WorkerFacts worker =
                new WorkerFacts("w1", "clips", "w1:1", "north", false, 0, new Resources(4_000, 4_000, 0), List.of());
        store.set("worker/w1", RecordCodec.write(worker));
        long fence = store.set(SchedulerKeys.owner("clips"), "entry");
        UnreadableEntries unreadable = new UnreadableEntries(new JobMetrics());
        WorkerFeed workers = new WorkerFeed(store, loop, new FakeRecords(), unreadable, () -> {});
        SchedulerHost.Context context = new SchedulerHost.Context(
                store,
                new ReadyWorkers(loop),
                new AdviceCalls(NodeFixture.NO_ADVICE, loop, new JobMetrics()),
                new NoInstances(),
                loop,
                () -> true,
                loop.clock(),
                new SchedulerTiming(5_000, 1_000, 2_000, 2_700, 500, 2_000, 10_000),
                new JobMetrics(),
                unreadable,
                () -> new ActiveWorkspaces(FakeRecords.CONFIGURATION, 0, true, Workspaces.NONE),
                Optional::empty,
                () -> HallCordons.DISABLED,
                service -> 0,
                () -> Integer.MAX_VALUE);
        SchedulerHost host = new SchedulerHost(context, "clips", fence, workers, () -> {}, () -> {});
        workers.start();
        loop.advance(50);
        host.start();
        for (long left = RUN_MILLIS; left > 0; left -= 50) {
            loop.advance(50);
            store.notifyWatches();
        }
        host.close();
    }

    /** Workers that carry out every order at once. */
    private record ReadyWorkers(TimedLoop loop) implements WorkerOrders {

        @Override
        public CompletableFuture<StartResult> start(StartOrder order) {
            return CompletableFuture.completedFuture(new StartResult(
                    OrderOutcome.ACCEPTED, OptionalLong.of(loop.clock().millis())));
        }

        @Override
        public CompletableFuture<OrderOutcome> stop(StopOrder order) {
            return CompletableFuture.completedFuture(OrderOutcome.ACCEPTED);
        }

        @Override
        public CompletableFuture<OrderOutcome> pace(PaceOrder order) {
            return CompletableFuture.completedFuture(OrderOutcome.ACCEPTED);
        }

        @Override
        public CompletableFuture<HoldResult> hold(HoldOrder order) {
            HoldResponse answer = new HoldResponse(0, loop.clock().millis(), List.of(), List.of());
            return CompletableFuture.completedFuture(new HoldResult(OrderOutcome.ACCEPTED, answer));
        }
    }

    private static final class NoInstances implements InstanceOrders {

        @Override
        public CompletableFuture<InstanceList> list() {
            return CompletableFuture.completedFuture(InstanceList.of(List.of()));
        }

        @Override
        public CompletableFuture<InstanceOrderOutcome> order(
                String instance, InstanceOperation errand, String holder, long fence, BooleanSupplier maySend) {
            return CompletableFuture.completedFuture(InstanceOrderOutcome.REFUSED);
        }
    }
}
