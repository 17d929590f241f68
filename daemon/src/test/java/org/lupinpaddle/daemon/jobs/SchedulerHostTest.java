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

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.common.Clock;
import org.lupinpaddle.core.common.RecordCodec;
import org.lupinpaddle.core.cordon.HallCordons;
import org.lupinpaddle.core.fleet.InstanceList;
import org.lupinpaddle.core.fleet.InstanceOperation;
import org.lupinpaddle.core.fleet.InstanceOrderOutcome;
import org.lupinpaddle.core.job.JobKey;
import org.lupinpaddle.core.job.JobProgress;
import org.lupinpaddle.core.job.JobSpec;
import org.lupinpaddle.core.job.JobState;
import org.lupinpaddle.core.job.Policy;
import org.lupinpaddle.core.job.Repeat;
import org.lupinpaddle.core.job.SchedulerKeys;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.job.TaskRecord;
import org.lupinpaddle.core.run.HoldOrder;
import org.lupinpaddle.core.run.OrderOutcome;
import org.lupinpaddle.core.run.PaceOrder;
import org.lupinpaddle.core.run.SchedulerTiming;
import org.lupinpaddle.core.run.StartOrder;
import org.lupinpaddle.core.run.StopOrder;
import org.lupinpaddle.core.workspace.Workspaces;
import org.lupinpaddle.daemon.port.HoldResult;
import org.lupinpaddle.daemon.port.InstanceOrders;
import org.lupinpaddle.daemon.port.StartResult;
import org.lupinpaddle.daemon.port.StoreItem;
import org.lupinpaddle.daemon.port.WorkerOrders;

/** Tests the records that the owner of a service leaves in the store for its successor to read. */
class SchedulerHostTest {

    // A realistic length of a job's text; the steps are added to it.
    private static final String TEXT = "x".repeat(2_000);
    private static final String REDUCED = "over";
    private static final long INHERITED_MILLIS = 7_000;
    private static final long SOON_MILLIS = 3_000;
    private static final long KEPT_MILLIS = 130_000;

    private final FakeKeyValueStore store = new FakeKeyValueStore();
    private final TimedLoop loop = new TimedLoop();

    private SchedulerHost owner() {
        return owner(loop.clock());
    }

    private SchedulerHost owner(Clock wall) {
        long fence = store.set(SchedulerKeys.owner("clips"), "entry");
        SchedulerTiming timing = new SchedulerTiming(5_000, 1_000, 2_000, 2_700, INHERITED_MILLIS, 2_000, 10_000);
        SchedulerHost.Context context = new SchedulerHost.Context(
                store,
                new NoWorkers(),
                new AdviceCalls(NodeFixture.NO_ADVICE, loop, new JobMetrics()),
                new NoInstances(),
                loop,
                () -> true,
                wall,
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
        SchedulerHost host = new SchedulerHost(context, "clips", fence, workers, () -> {}, () -> {});
        host.start();
        return host;
    }

    private static JobKey key(String id) {
        return new JobKey("q", id);
    }

    private void accept(String id) {
        StepSpec one = StepSpec.builder(1, new StepSpec.Need(1, 1, 0)).build();
        Policy policy = new Policy(0, 3, 1.5, 500, false);
        JobSpec spec = new JobSpec(key(id), "clips", TEXT, List.of(one), Repeat.ONCE, policy, 0);
        store.set(SchedulerKeys.job("clips", key(id)), RecordCodec.write(spec));
    }

    private void cancel(String id) {
        store.set(SchedulerKeys.cancel("clips", key(id)), id);
    }

    private void advance(long millis) {
        for (long left = millis; left > 0; left -= 50) {
            loop.advance(50);
            store.notifyWatches();
        }
    }

    private JobProgress progress(String id) {
        return RecordCodec.read(store.value(SchedulerKeys.progress("clips", key(id))), JobProgress.class)
                .getOrElseThrow(why -> new IllegalStateException(why.toString()));
    }

    private String record(String id) {
        return store.value(SchedulerKeys.job("clips", key(id)));
    }

    private List<StoreItem> recordsReadBySuccessor() {
        return Stream.of(SchedulerKeys.inputs("clips"), SchedulerKeys.progress("clips"))
                .flatMap(p -> store.range(p).join().items().stream())
                .toList();
    }

    private int bytesReadBySuccessor() {
        return recordsReadBySuccessor().stream()
                .mapToInt(i -> (i.key() + i.value()).getBytes(StandardCharsets.UTF_8).length)
                .sum();
    }

    @Nested
    class TakeOver {

        private static final int JOBS = 200;
        private static final int MOST_BYTES_A_JOB = 250;

        @Test
        void readsLittleOfFinishedJobs() {
            for (int i = 0; i < JOBS; i++) {
                accept("job-" + i);
                cancel("job-" + i);
            }
            owner();
            advance(SOON_MILLIS);
            for (int i = 0; i < JOBS; i++) {
                assertTrue(progress("job-" + i).finished());
            }
            int bytes = bytesReadBySuccessor();
            assertTrue(bytes <= JOBS * MOST_BYTES_A_JOB, bytes + " bytes of " + JOBS + " finished jobs");
        }

        @Test
        void readsAllOfAnUnfinishedJob() {
            accept("live");
            String whole = record("live");
            owner();
            advance(SOON_MILLIS);
            assertEquals(whole, record("live"));
        }

        @Test
        void createsNoJobFromAReducedRecord() {
            accept("a");
            cancel("a");
            SchedulerHost first = owner();
            advance(SOON_MILLIS);
            first.close();
            String last = store.value(SchedulerKeys.progress("clips", key("a")));
            store.set(SchedulerKeys.job("clips", key("lonely")), REDUCED);
            cancel("lonely");
            owner();
            advance(SOON_MILLIS);
            assertEquals(last, store.value(SchedulerKeys.progress("clips", key("a"))));
            assertEquals("", store.value(SchedulerKeys.progress("clips", key("lonely"))));
        }

        @Test
        void removesFinishedJobsOfItsPredecessor() {
            accept("a");
            cancel("a");
            SchedulerHost first = owner();
            advance(SOON_MILLIS);
            first.close();
            owner();
            advance(KEPT_MILLIS - SOON_MILLIS);
            assertEquals(3, recordsReadBySuccessor().size(), "callers may still ask");
            advance(4 * SOON_MILLIS);
            assertEquals(List.of(), recordsReadBySuccessor());
        }
    }

    /** Guards against a record whose handling fails: no job behind it was served, by any owner in turn. */
    @Nested
    class UnprocessableRecord {

        private boolean fails;

        private long failOnce() {
            if (fails) {
                fails = false;
                throw new IllegalStateException("unexpected");
            }
            return loop.clock().millis();
        }

        /** Stores jobs whose first handling fails. */
        private void acceptFailing(String... ids) {
            owner(this::failOnce);
            advance(SOON_MILLIS);
            loop.advance(0);
            Stream.of(ids).forEach(SchedulerHostTest.this::accept);
            store.notifyWatches();
            fails = true;
            loop.advance(0);
            assertFalse(fails, "no job was handled");
        }

        @Test
        void doesNotBlockOtherJobs() {
            acceptFailing("a", "b");
            accept("c");
            List.of("a", "b", "c").forEach(SchedulerHostTest.this::cancel);
            advance(SOON_MILLIS);
            List<String> served = Stream.of("a", "b", "c")
                    .filter(id -> !store.value(SchedulerKeys.progress("clips", key(id)))
                            .isEmpty())
                    .toList();
            assertEquals(2, served.size(), "served: " + served);
            assertTrue(served.contains("c"), "a later change was missed");
        }

        @Test
        void isNotStartedWhenItIsReadAgain() {
            acceptFailing("a");
            store.set(SchedulerKeys.job("clips", key("a")), record("a"));
            cancel("a");
            advance(SOON_MILLIS);
            assertEquals("", store.value(SchedulerKeys.progress("clips", key("a"))));
        }
    }

    @Nested
    class UnreadableRecord {

        private void assertNothingIsChanged() {
            List<StoreItem> before = recordsReadBySuccessor();
            owner();
            advance(SOON_MILLIS);
            advance(2 * INHERITED_MILLIS);
            assertEquals(Set.copyOf(before), Set.copyOf(recordsReadBySuccessor()));
        }

        @Test
        void ofProgressIsNeitherIgnoredNorOverwritten() {
            accept("a");
            store.set(SchedulerKeys.progress("clips", key("a")), "{\"state\":\"HALF_DONE\"}");
            assertNothingIsChanged();
        }

        @Test
        void ofNonTextProgressIsNeitherIgnoredNorOverwritten() {
            accept("a");
            store.setNonText(SchedulerKeys.progress("clips", key("a")));
            assertNothingIsChanged();
        }

        @Test
        void ofAJobIsNotOverwritten() {
            store.set(SchedulerKeys.job("clips", key("a")), "{\"key\":3}");
            store.setNonText(SchedulerKeys.job("clips", key("b")));
            assertNothingIsChanged();
        }

        @Test
        void ofAJobUnderAnotherKeyIsIgnored() {
            accept("a");
            store.set(SchedulerKeys.job("clips", key("b")), record("a"));
            store.remove(SchedulerKeys.job("clips", key("a")));
            assertNothingIsChanged();
        }

        @Test
        void doesNotBlockOtherJobs() {
            accept("a");
            accept("b");
            store.setNonText(SchedulerKeys.progress("clips", key("a")));
            cancel("b");
            owner();
            advance(SOON_MILLIS);
            assertTrue(progress("b").finished());
        }

        @Test
        void isUsedWithItsProgressOnceReadable() {
            accept("a");
            String good = record("a");
            JobProgress done =
                    new JobProgress(JobState.RUNNING, List.of(new TaskRecord(0, 0, 0, 4, 1, false, "", "")), "", 0);
            store.set(SchedulerKeys.progress("clips", key("a")), RecordCodec.write(done));
            store.setNonText(SchedulerKeys.job("clips", key("a")));
            owner();
            advance(SOON_MILLIS);
            store.set(SchedulerKeys.job("clips", key("a")), good);
            advance(SOON_MILLIS);
            cancel("a");
            advance(SOON_MILLIS);
            assertTrue(progress("a").finished());
        }
    }

    @Nested
    class StoredJobRecord {

        @Test
        void isReducedInTheCommitThatFinishesTheJob() {
            accept("a");
            owner();
            advance(SOON_MILLIS);
            store.dropsCommitAnswers = true;
            cancel("a");
            advance(100);
            assertFalse(record("a").equals(REDUCED));
            store.dropsCommitAnswers = false;
            advance(SOON_MILLIS);
            assertTrue(progress("a").finished());
            assertEquals(REDUCED, record("a"));
        }

        @Test
        void staysCompleteUntilTheTasksOfAnEndedJobAreStopped() {
            accept("a");
            String whole = record("a");
            TaskRecord held = new TaskRecord(0, 0, 0, 1, 0, false, "w1", "");
            store.set(
                    SchedulerKeys.progress("clips", key("a")),
                    RecordCodec.write(new JobProgress(JobState.CANCELLED, List.of(held), "", 0)));
            owner();
            advance(SOON_MILLIS);
            assertEquals(whole, record("a"));
            assertFalse(progress("a").finished());
            advance(2 * INHERITED_MILLIS);
            assertTrue(progress("a").finished());
            assertEquals(REDUCED, record("a"));
        }

        @Test
        void isNotChangedByAFormerOwner() {
            accept("a");
            String whole = record("a");
            owner();
            advance(SOON_MILLIS);
            store.set(SchedulerKeys.owner("clips"), "another entry");
            cancel("a");
            advance(SOON_MILLIS);
            assertEquals(whole, record("a"));
        }

        @Test
        void isRemovedAfterTheRetentionTime() {
            accept("a");
            cancel("a");
            owner();
            advance(KEPT_MILLIS - SOON_MILLIS);
            assertEquals(3, recordsReadBySuccessor().size(), "callers may still ask");
            advance(4 * SOON_MILLIS);
            assertEquals(List.of(), recordsReadBySuccessor());
        }
    }

    /** Workers that never answer. */
    private static final class NoWorkers implements WorkerOrders {
        private static final CompletableFuture<OrderOutcome> SILENCE =
                CompletableFuture.completedFuture(OrderOutcome.UNKNOWN);

        @Override
        public CompletableFuture<StartResult> start(StartOrder order) {
            return SILENCE.thenApply(StartResult::withoutClock);
        }

        @Override
        public CompletableFuture<OrderOutcome> stop(StopOrder order) {
            return SILENCE;
        }

        @Override
        public CompletableFuture<OrderOutcome> pace(PaceOrder order) {
            return SILENCE;
        }

        @Override
        public CompletableFuture<HoldResult> hold(HoldOrder order) {
            return CompletableFuture.completedFuture(new HoldResult(OrderOutcome.UNKNOWN, null));
        }
    }

    /** An empty list of instances. */
    private static final class NoInstances implements InstanceOrders {
        @Override
        public CompletableFuture<InstanceList> list() {
            return CompletableFuture.completedFuture(InstanceList.of(List.of()));
        }

        @Override
        public CompletableFuture<InstanceOrderOutcome> order(
                String instance, InstanceOperation errand, String holder, long fence, BooleanSupplier maySend) {
            throw new UnsupportedOperationException("not needed here");
        }
    }
}
