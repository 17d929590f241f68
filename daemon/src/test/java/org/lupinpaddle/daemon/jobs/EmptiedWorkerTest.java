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

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.common.RecordCodec;
import org.lupinpaddle.core.cordon.HallCordons;
import org.lupinpaddle.core.fleet.InstanceList;
import org.lupinpaddle.core.fleet.InstanceOperation;
import org.lupinpaddle.core.fleet.InstanceOrderOutcome;
import org.lupinpaddle.core.job.EndKind;
import org.lupinpaddle.core.job.JobKey;
import org.lupinpaddle.core.job.JobProgress;
import org.lupinpaddle.core.job.JobSpec;
import org.lupinpaddle.core.job.Policy;
import org.lupinpaddle.core.job.Repeat;
import org.lupinpaddle.core.job.SchedulerKeys;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.job.TaskId;
import org.lupinpaddle.core.placement.Resources;
import org.lupinpaddle.core.placement.WorkerFacts;
import org.lupinpaddle.core.run.HoldOrder;
import org.lupinpaddle.core.run.HoldResponse;
import org.lupinpaddle.core.run.OrderOutcome;
import org.lupinpaddle.core.run.PaceOrder;
import org.lupinpaddle.core.run.RunResult;
import org.lupinpaddle.core.run.RunStatus;
import org.lupinpaddle.core.run.SchedulerTiming;
import org.lupinpaddle.core.run.StartOrder;
import org.lupinpaddle.core.run.StopOrder;
import org.lupinpaddle.core.upkeep.EvacuationRecord;
import org.lupinpaddle.core.workspace.Workspaces;
import org.lupinpaddle.daemon.port.CommitResult;
import org.lupinpaddle.daemon.port.HoldResult;
import org.lupinpaddle.daemon.port.InstanceOrders;
import org.lupinpaddle.daemon.port.KeyValueStore;
import org.lupinpaddle.daemon.port.StartResult;
import org.lupinpaddle.daemon.port.StoreChanges;
import org.lupinpaddle.daemon.port.StoreCommit;
import org.lupinpaddle.daemon.port.StoreItem;
import org.lupinpaddle.daemon.port.StorePage;
import org.lupinpaddle.daemon.port.WorkerOrders;

/** Tests that a worker which its service's owner reported as empty gets no tasks from a succeeding owner either. */
class EmptiedWorkerTest {

    private final FakeKeyValueStore store = new FakeKeyValueStore();
    private final TimedLoop loop = new TimedLoop();
    private final Workers orders = new Workers();

    /** Answers each hold order after 20 ms and accepts each start. */
    private final class Workers implements WorkerOrders {
        private final List<String> startedOn = new ArrayList<>();
        private List<RunStatus> running = List.of();
        private List<RunResult> ended = List.of();

        @Override
        public CompletableFuture<StartResult> start(StartOrder order) {
            startedOn.add(order.worker().id());
            return CompletableFuture.completedFuture(new StartResult(
                    OrderOutcome.ACCEPTED,
                    OptionalLong.of(100_000 + loop.clock().millis())));
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
            CompletableFuture<HoldResult> r = new CompletableFuture<>();
            HoldResponse a = new HoldResponse(100_000 + loop.clock().millis(), running, ended);
            loop.after(20, () -> r.complete(new HoldResult(OrderOutcome.ACCEPTED, a)));
            return r;
        }
    }

    private static final class NoInstances implements InstanceOrders {
        @Override
        public CompletableFuture<InstanceList> list() {
            return CompletableFuture.completedFuture(InstanceList.of(List.of()));
        }

        @Override
        public CompletableFuture<InstanceOrderOutcome> order(
                String i, InstanceOperation e, String holder, long fence, BooleanSupplier maySend) {
            throw new UnsupportedOperationException("not needed here");
        }
    }

    /** Delays the pages of a prefix, as after a lost answer; with an empty prefix it delays all pages and commits. */
    private final class SlowStore implements KeyValueStore {
        private final String prefix;
        private final long millis;

        private SlowStore(String prefix, long millis) {
            this.prefix = prefix;
            this.millis = millis;
        }

        @Override
        public CompletableFuture<Optional<StoreItem>> read(String key) {
            return store.read(key);
        }

        @Override
        public CompletableFuture<StorePage> page(String p, String after) {
            if (!p.equals(prefix) && !prefix.isEmpty()) {
                return store.page(p, after);
            }
            CompletableFuture<StorePage> r = new CompletableFuture<>();
            loop.after(millis, () -> store.page(p, after).thenAccept(r::complete));
            return r;
        }

        @Override
        public CompletableFuture<StoreChanges> watch(String p, long after, long wait) {
            return store.watch(p, after, wait);
        }

        @Override
        public CompletableFuture<CommitResult> commit(StoreCommit c) {
            if (!prefix.isEmpty()) {
                return store.commit(c);
            }
            CompletableFuture<CommitResult> r = new CompletableFuture<>();
            loop.after(millis, () -> store.commit(c).thenAccept(r::complete));
            return r;
        }

        @Override
        public CompletableFuture<Long> openLease(long ttl) {
            return store.openLease(ttl);
        }

        @Override
        public CompletableFuture<Boolean> keepLease(long lease) {
            return store.keepLease(lease);
        }

        @Override
        public CompletableFuture<Boolean> endLease(long lease) {
            return store.endLease(lease);
        }
    }

    private SchedulerHost owner(String slowPrefix, long slowMillis) {
        long fence = store.set(SchedulerKeys.owner("clips"), "entry");
        SchedulerTiming timing = new SchedulerTiming(5_000, 1_000, 2_000, 2_700, 7_000, 2_000, 10_000);
        SchedulerHost.Context context = new SchedulerHost.Context(
                new SlowStore(slowPrefix, slowMillis),
                orders,
                new AdviceCalls(NodeFixture.NO_ADVICE, loop, new JobMetrics()),
                new NoInstances(),
                loop,
                () -> true,
                loop.clock(),
                timing,
                new JobMetrics(),
                new UnreadableEntries(new JobMetrics()),
                () -> new ActiveWorkspaces(FakeRecords.CONFIGURATION, 0, true, Workspaces.NONE),
                Optional::empty,
                () -> HallCordons.DISABLED,
                service -> 0,
                () -> Integer.MAX_VALUE);
        WorkerFeed workers =
                new WorkerFeed(store, loop, new FakeRecords(), new UnreadableEntries(new JobMetrics()), () -> {});
        workers.start();
        advance(50);
        SchedulerHost host = new SchedulerHost(context, "clips", fence, workers, () -> {}, () -> {});
        host.start();
        return host;
    }

    private void advance(long millis) {
        for (long left = millis; left > 0; left -= 50) {
            loop.advance(50);
            store.notifyWatches();
        }
    }

    private void addEmptiedWorkerAndPendingJob() {
        addWorkerAndJob();
        EvacuationRecord emptied = new EvacuationRecord("w1", "m1", "MOVE:spare", true, true);
        store.set(SchedulerKeys.evacuation("clips", "w1"), RecordCodec.write(emptied));
    }

    private void addWorkerAndJob() {
        WorkerFacts w = new WorkerFacts(
                "w1", "clips", "at-w1", "north", false, 0, new Resources(4_000, 8_000, 0), List.of("rack"));
        store.set("worker/w1", RecordCodec.write(w));
        StepSpec one = StepSpec.builder(1, new StepSpec.Need(1, 1, 0)).build();
        JobKey key = new JobKey("q", "a");
        Policy policy = new Policy(0, 3, 1.5, 500, false);
        JobSpec spec = new JobSpec(key, "clips", "text", List.of(one), Repeat.ONCE, policy, 0);
        store.set(SchedulerKeys.job("clips", key), RecordCodec.write(spec));
    }

    @Test
    void getsNoTaskFromASuccessorThatHasReadTheRequest() {
        addEmptiedWorkerAndPendingJob();
        owner(SchedulerKeys.evacuations("clips"), 0);
        advance(1_000);
        assertEquals(List.of(), orders.startedOn);
    }

    @Test
    void getsNoTaskBeforeTheSuccessorHasReadTheRequests() {
        addEmptiedWorkerAndPendingJob();
        owner(SchedulerKeys.evacuations("clips"), 300);
        advance(1_000);
        assertTrue(orders.startedOn.isEmpty(), "the instance of a worker reported as empty may be moved at any moment");
    }

    @Test
    void getsNoTaskFromASuccessorWithASlowStore() {
        addEmptiedWorkerAndPendingJob();
        owner("", 250);
        advance(3_000);
        assertTrue(
                orders.startedOn.isEmpty(),
                "the worker was chosen before the requests were read, and the task started afterwards");
    }

    /** The worker drains and may be gone before the next owner contacts it; the first write of the result is lost. */
    @Test
    void receivedResultIsWrittenAfterTheHostCloses() {
        addWorkerAndJob();
        SchedulerHost host = owner(SchedulerKeys.evacuations("clips"), 0);
        TaskId first = new TaskId(0, 0, 0);
        orders.running = List.of(new RunStatus("a", first, 1, "", 50, -1));
        advance(1_000);
        assertEquals(List.of("w1"), orders.startedOn);
        orders.running = List.of();
        orders.ended = List.of(new RunResult(1, "a", first, 1, EndKind.DONE, ""));
        store.dropsCommitAnswers = true;
        loop.advance(30);
        store.dropsCommitAnswers = false;
        host.close();
        advance(1_000);
        JobProgress left = RecordCodec.read(
                        store.value(SchedulerKeys.progress("clips", new JobKey("q", "a"))), JobProgress.class)
                .get();
        assertTrue(left.finished(), "received some milliseconds before the hand-over: " + left);
    }
}
