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
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.capacity.ServiceReport;
import org.lupinpaddle.core.common.RecordCodec;
import org.lupinpaddle.core.fleet.Errand;
import org.lupinpaddle.core.fleet.InstanceList;
import org.lupinpaddle.core.fleet.InstanceOrderOutcome;
import org.lupinpaddle.core.fleet.PlatformInstance;
import org.lupinpaddle.core.job.EndKind;
import org.lupinpaddle.core.job.JobKey;
import org.lupinpaddle.core.job.JobKeys;
import org.lupinpaddle.core.job.JobProgress;
import org.lupinpaddle.core.job.JobSpec;
import org.lupinpaddle.core.job.Policy;
import org.lupinpaddle.core.job.Repeat;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.job.TaskId;
import org.lupinpaddle.core.placement.Room;
import org.lupinpaddle.core.placement.WorkerFacts;
import org.lupinpaddle.core.queue.JobConfiguration;
import org.lupinpaddle.core.queue.QueueConfig;
import org.lupinpaddle.core.queue.ServiceConfig;
import org.lupinpaddle.core.run.EndReport;
import org.lupinpaddle.core.run.HoldAnswer;
import org.lupinpaddle.core.run.HoldOrder;
import org.lupinpaddle.core.run.OrderOutcome;
import org.lupinpaddle.core.run.PaceOrder;
import org.lupinpaddle.core.run.RunningReport;
import org.lupinpaddle.core.run.StartOrder;
import org.lupinpaddle.core.run.StopOrder;
import org.lupinpaddle.daemon.port.HoldResult;
import org.lupinpaddle.daemon.port.InstanceOrders;
import org.lupinpaddle.daemon.port.WorkerOrders;
import org.lupinpaddle.daemon.settings.JobSettings;

/**
 * An entry that is stopped as planned owns a service, and has heard some milliseconds ago that a task is done. The write
 * of that is under way. It used to end its lease at once: with the lease goes the key on which the write depends, so the
 * store refuses it, the record goes on saying that the task runs, and the next owner runs it again if the task's worker has
 * left before it was asked. The log showed {@code lease-given-back} in the millisecond of {@code stopping}, with a
 * {@code RUN_ENDED} before it whose record no owner ever wrote.
 */
class HandOverTest {

    private static final TaskId FIRST = new TaskId(0, 0, 0);
    private static final long STEP_MILLIS = 10;
    private static final long LEASE_MILLIS = 3_000;
    /** What the platform gives a process between its signal to stop and its end, in seconds. */
    private static final long GRACE_SECONDS = 6;
    /** An entry that stops serves callers on for so long in any case: what a hand-over takes beyond it delays the stop. */
    private static final long SERVE_ON_MILLIS = 3_000;

    private final FakeKeyValueStore store = new FakeKeyValueStore();
    private final TimedLoop loop = new TimedLoop();
    private final Workers workers = new Workers();
    private final Instances instances = new Instances();
    private final JobNode node = node();

    /** Answers each hold at once when something has ended, else after 20 ms; takes each order. */
    private final class Workers implements WorkerOrders {
        private final List<StartOrder> starts = new ArrayList<>();
        private final Map<String, List<RunningReport>> running = new HashMap<>();
        private final Map<String, List<EndReport>> ended = new HashMap<>();

        @Override
        public CompletableFuture<OrderOutcome> start(StartOrder order, long fence) {
            starts.add(order);
            running.put(order.worker().id(), List.of(new RunningReport(order.jobId(), FIRST, 1, "", 50, -1)));
            return CompletableFuture.completedFuture(OrderOutcome.ACCEPTED);
        }

        @Override
        public CompletableFuture<OrderOutcome> stop(StopOrder order, long fence) {
            return CompletableFuture.completedFuture(OrderOutcome.ACCEPTED);
        }

        @Override
        public CompletableFuture<OrderOutcome> pace(PaceOrder order, long fence) {
            return CompletableFuture.completedFuture(OrderOutcome.ACCEPTED);
        }

        @Override
        public CompletableFuture<HoldResult> hold(HoldOrder order, long fence) {
            CompletableFuture<HoldResult> r = new CompletableFuture<>();
            String w = order.worker().id();
            loop.after(
                    20,
                    () -> r.complete(new HoldResult(
                            OrderOutcome.ACCEPTED,
                            new HoldAnswer(
                                    100_000 + loop.clock().millis(),
                                    running.getOrDefault(w, List.of()),
                                    ended.getOrDefault(w, List.of())))));
            return r;
        }

        private void ends(String worker, String job) {
            running.remove(worker);
            ended.put(worker, List.of(new EndReport(1, job, FIRST, 1, EndKind.DONE, "")));
        }
    }

    /** Lists what it is given; an order is answered when a test says so. */
    private static final class Instances implements InstanceOrders {
        private List<PlatformInstance> all = List.of();
        private final List<CompletableFuture<InstanceOrderOutcome>> orders = new ArrayList<>();

        @Override
        public CompletableFuture<InstanceList> list() {
            return CompletableFuture.completedFuture(InstanceList.of(all));
        }

        @Override
        public CompletableFuture<InstanceOrderOutcome> order(String i, Errand e, String holder, long fence) {
            CompletableFuture<InstanceOrderOutcome> r = new CompletableFuture<>();
            orders.add(r);
            return r;
        }
    }

    private JobNode node() {
        JobSettings.Bounds bounds = new JobSettings.Bounds(6_000, 300, GRACE_SECONDS, LEASE_MILLIS, 2_000, false);
        return new JobNode(
                loop,
                new JobNode.Parts(
                        "entry",
                        1_000,
                        store,
                        new FakeRecords(),
                        workers,
                        order -> CompletableFuture.completedFuture(Optional.empty()),
                        instances,
                        bounds,
                        loop.clock(),
                        new JobMeters()));
    }

    private void passes(long millis) {
        for (long left = millis; left > 0; left -= STEP_MILLIS) {
            loop.passes(STEP_MILLIS);
            store.tellWatches();
        }
    }

    private void lists(String worker, boolean draining) {
        Room room = new Room(1_000, 8_000, 0);
        WorkerFacts w = new WorkerFacts(
                worker, "clips", "at-" + worker, "north", draining, draining ? 2_000 : 0, room, List.of("rack"));
        store.set("worker/" + worker, RecordCodec.write(w));
    }

    private void handsIn(String id) {
        StepSpec one = StepSpec.builder(1, new StepSpec.Need(1_000, 1, 0)).build();
        Policy policy = new Policy(0, 3, 1.5, 500, false);
        JobKey key = new JobKey("q", id);
        JobSpec spec = new JobSpec(key, "clips", "text", List.of(one), Repeat.ONCE, policy, 0);
        store.set(JobKeys.job("clips", key), RecordCodec.write(spec));
    }

    /** The node owns the service and the fleet, and a task runs on each of the workers. */
    private void serves(String... ids) {
        Policy policy = new Policy(0, 3, 1.5, 500, false);
        List<QueueConfig> queues = List.of(new QueueConfig("q", "host", "/q/", "clips", policy));
        List<ServiceConfig> services =
                List.of(new ServiceConfig("clips", false, true), new ServiceConfig("spare", true, true));
        store.set(FakeRecords.CONFIGURATION, RecordCodec.write(new JobConfiguration(1, queues, services, 1 << 18)));
        for (String w : ids) {
            lists(w, false);
            handsIn("job-" + w);
        }
        node.start();
        passes(2_000);
        assertEquals(ids.length, workers.starts.size(), "one task runs on each worker");
    }

    private void ends(String worker) {
        workers.ends(worker, jobOn(worker));
    }

    private String jobOn(String worker) {
        return workers.starts.stream()
                .filter(s -> s.worker().id().equals(worker))
                .findFirst()
                .orElseThrow()
                .jobId();
    }

    private boolean saysOver(String job) {
        return RecordCodec.read(store.value(JobKeys.progress("clips", new JobKey("q", job))), JobProgress.class)
                .get()
                .over();
    }

    private boolean owns(String duty) {
        return !store.value(JobKeys.owner(duty)).isEmpty();
    }

    /** Lets time pass until the duty is free; returns how long that took. */
    private long untilFree(String duty, long mostMillis) {
        long begun = loop.clock().millis();
        while (owns(duty) && loop.clock().millis() - begun < mostMillis) {
            passes(STEP_MILLIS);
        }
        return loop.clock().millis() - begun;
    }

    @Nested
    class OfAService {

        /** One write of an end got no answer and was not made. */
        @Test
        void comesAfterWhatWasHeardIsWritten() {
            serves("w1");
            store.holdsCommits = true;
            ends("w1");
            passes(30);
            node.stop();
            passes(20);
            store.holdsCommits = false;
            passes(1_000);
            assertTrue(saysOver(jobOn("w1")), "the next owner would run it again");
            assertFalse(owns("clips"));
        }

        /** The write was made and only its answer was lost: what lies in the store is newer than what was last known. */
        @Test
        void comesAfterAWriteWhoseAnswerWasLostIsKnownToBeMade() {
            serves("w1", "w2");
            store.holdsCommits = true;
            ends("w1");
            passes(30);
            store.carryOutHeld();
            ends("w2");
            passes(30);
            node.stop();
            store.holdsCommits = false;
            passes(1_000);
            assertTrue(saysOver(jobOn("w1")));
            assertTrue(saysOver(jobOn("w2")), "heard before the stop");
            assertFalse(owns("clips"));
        }

        /** Its worker leaves within the 2 s of its notice: whoever follows may come too late to ask it. */
        @Test
        void comesAfterAnEndOfALeavingWorkerThatArrivesMeanwhile() {
            serves("w1", "w2");
            lists("w2", true);
            passes(600);
            store.holdsCommits = true;
            ends("w1");
            passes(30);
            node.stop();
            ends("w2");
            passes(60);
            store.holdsCommits = false;
            passes(1_000);
            assertTrue(saysOver(jobOn("w2")), "it ended while the hand-over waited for the other write");
            assertFalse(owns("clips"));
        }

        /** What the next owner finds out by asking workers takes time; what begins now would be begun under both. */
        @Test
        void beginsNothingOnceItIsUnderWay() {
            serves("w1");
            node.stop();
            lists("w2", false);
            handsIn("late");
            passes(2_000);
            assertEquals(1, workers.starts.size());
        }

        /** Nobody starts the callers' jobs meanwhile, and while the store answers nobody there is no use in waiting. */
        @Test
        void doesNotWaitForAStoreThatStaysAwayLongerThanTheEntryServesOn() {
            serves("w1");
            ends("w1");
            store.holdsCommits = true;
            passes(30);
            node.stop();
            assertTrue(untilFree("clips", GRACE_SECONDS * 1_000) < SERVE_ON_MILLIS);
        }

        /** Without anything to write a service has a free key as soon as before: what callers wait for is the next owner. */
        @Test
        void isImmediateWhenNothingIsUnwritten() {
            serves("w1");
            node.stop();
            assertTrue(untilFree("clips", 1_000) <= 2 * STEP_MILLIS);
        }
    }

    @Nested
    class OfTheFleet {

        private static final String DUTY = JobNode.FLEET;

        private void ordersAnInstance() {
            instances.all = List.of(new PlatformInstance("m1", "spare", PlatformInstance.State.UP, "north", ""));
            store.set(JobKeys.report("clips"), RecordCodec.write(new ServiceReport(Map.of(), 1, 1, 0, List.of())));
        }

        /**
         * The record of what has been ordered was being written as the stop came: the successor has to be told what became
         * of it, or leaves the instance alone for seconds while jobs wait for it.
         */
        @Test
        void tellsOfOrdersWhoseRecordWasBeingWritten() {
            serves("w1");
            ordersAnInstance();
            store.delaysCommits = true;
            for (int i = 0; i < 40 && !store.delaysRecentOrders(); i++) {
                passes(STEP_MILLIS);
            }
            assertTrue(store.delaysRecentOrders(), "the order's record waits for its answer");
            node.stop();
            passes(STEP_MILLIS);
            store.delaysCommits = false;
            while (store.answerOne()) {
                passes(STEP_MILLIS);
            }
            passes(500);
            assertTrue(instances.orders.isEmpty(), "a stopping owner orders nothing");
            assertFalse(store.value(JobKeys.recentOrders()).contains("m1"), "nothing was ordered after all");
            assertFalse(owns(DUTY));
        }
    }
}
