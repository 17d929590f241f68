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

import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.common.RecordCodec;
import org.lupinpaddle.core.job.JobKey;
import org.lupinpaddle.core.job.JobProgress;
import org.lupinpaddle.core.job.JobSpec;
import org.lupinpaddle.core.job.JobState;
import org.lupinpaddle.core.job.Policy;
import org.lupinpaddle.core.job.Repeat;
import org.lupinpaddle.core.job.SchedulerKeys;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.job.Submission;
import org.lupinpaddle.core.placement.Resources;
import org.lupinpaddle.core.queue.Admission;
import org.lupinpaddle.core.queue.CallerRequest;
import org.lupinpaddle.core.queue.JobConfiguration;
import org.lupinpaddle.core.queue.QueueConfig;
import org.lupinpaddle.core.queue.ServiceConfig;
import org.lupinpaddle.core.workspace.KeyDigest;
import org.lupinpaddle.core.workspace.Workspace;
import org.lupinpaddle.core.workspace.Workspaces;

/** Tests the answers that callers get when they submit, query and cancel jobs. */
class JobIntakeTest {

    private static final String JOB = SchedulerKeys.job("clips", new JobKey("q", "a"));

    private final FakeKeyValueStore store = new FakeKeyValueStore();
    private final DirectLoop loop = new DirectLoop();
    private final FakeRecords records = new FakeRecords();
    private final UnreadableEntries unreadable = new UnreadableEntries(new JobMetrics());
    private final CordonFeed cordons = new CordonFeed(new CordonRecords(records, Set.of()), unreadable, 0);
    private final ConfigurationFeed feed = new ConfigurationFeed(store, loop, records, unreadable, cordons, () -> {});
    private boolean reached = true;
    private boolean hasRoom = true;
    private boolean hasRoomForLater = true;
    private final JobIntake intake = new JobIntake(
            store, loop, records, feed, () -> 0, () -> reached, isDue -> isDue ? hasRoom : hasRoomForLater);

    @BeforeEach
    void configure() {
        Policy policy = new Policy(0, 3, 1.5, 500, false);
        QueueConfig q = new QueueConfig("q", "host", "/clips/", "clips", policy);
        JobConfiguration c =
                new JobConfiguration(1, List.of(q), List.of(new ServiceConfig("clips", false, true)), 1 << 18);
        store.set(FakeRecords.CONFIGURATION, RecordCodec.write(c));
        feed.start();
    }

    private SubmitOutcome submit() {
        return submit(Repeat.ONCE);
    }

    private SubmitOutcome submit(Repeat repeat) {
        StepSpec one = StepSpec.builder(1, new StepSpec.Need(1, 1, 0)).build();
        return intake.submit(
                        new CallerRequest("host", "/clips/a", null), "a", new Submission("text", List.of(one), repeat))
                .join();
    }

    /** Tests an id that is used in two queues of a service, whose workers name tasks by the id without the queue. */
    @Nested
    class IdInTwoQueues {

        private static final String CALLER_ID = "lupinpaddle/caller-id/clips/a";

        @BeforeEach
        void configureTwoQueues() {
            Policy policy = new Policy(0, 3, 1.5, 500, false);
            JobConfiguration c = new JobConfiguration(
                    2,
                    List.of(
                            new QueueConfig("q", "host", "/clips/", "clips", policy),
                            new QueueConfig("r", "host", "/other/", "clips", policy),
                            new QueueConfig("s", "host", "/archive/", "archive", policy)),
                    List.of(new ServiceConfig("clips", false, true), new ServiceConfig("archive", false, true)),
                    1 << 18);
            store.set(FakeRecords.CONFIGURATION, RecordCodec.write(c));
            store.notifyWatches();
        }

        private CompletableFuture<SubmitOutcome> send(String queuePath) {
            StepSpec one = StepSpec.builder(1, new StepSpec.Need(1, 1, 0)).build();
            return intake.submit(
                    new CallerRequest("host", queuePath + "a", null),
                    "a",
                    new Submission("text", List.of(one), Repeat.ONCE));
        }

        /** Guards against a job that is accepted and never runs, because workers cannot tell it from another one. */
        @Test
        void isRefusedInTheSecondQueue() {
            assertEquals(SubmitOutcome.ACCEPTED, send("/clips/").join());
            assertEquals(SubmitOutcome.ID_IN_OTHER_QUEUE, send("/other/").join());
            assertEquals("", store.value(SchedulerKeys.job("clips", new JobKey("r", "a"))));
            assertEquals(SubmitOutcome.ACCEPTED, send("/clips/").join(), "the first one is repeated");
        }

        /** Guards against two entries that accept both at the same moment. */
        @Test
        void isAcceptedInOneQueueOnlyIfSubmittedAtOnce() {
            store.delaysCommits = true;
            CompletableFuture<SubmitOutcome> first = send("/clips/");
            CompletableFuture<SubmitOutcome> second = send("/other/");
            while (store.answerNext()) {
                // Answers all commits, and those that follow from the answers.
            }
            assertEquals(SubmitOutcome.ACCEPTED, first.join());
            assertEquals(SubmitOutcome.ID_IN_OTHER_QUEUE, second.join());
        }

        /** Guards against the same beside a job that an earlier release has stored. */
        @Test
        void isRefusedBesideAJobWithoutACallerId() {
            store.set(SchedulerKeys.job("clips", new JobKey("r", "a")), "job");
            assertEquals(SubmitOutcome.ID_IN_OTHER_QUEUE, send("/clips/").join());
        }

        /** Guards against an id that stays in use because an earlier release has removed the ended job only. */
        @Test
        void isAcceptedIfTheCallerIdRefersToNoJob() {
            store.set(CALLER_ID, "r");
            assertEquals(SubmitOutcome.ACCEPTED, send("/clips/").join());
            assertEquals("q", store.value(CALLER_ID));
        }

        @Test
        void isAcceptedInQueuesOfDifferentServices() {
            assertEquals(SubmitOutcome.ACCEPTED, send("/clips/").join());
            assertEquals(SubmitOutcome.ACCEPTED, send("/archive/").join());
        }

        /** Guards against an answer that denies a job which an unanswered write may have stored. */
        @Test
        void isUndecidedIfAnEarlierWriteMayHaveStoredIt() {
            store.dropsCommitAnswers = true;
            store.set(CALLER_ID, "r");
            store.set(SchedulerKeys.job("clips", new JobKey("r", "a")), "job");
            assertEquals(SubmitOutcome.UNKNOWN, send("/clips/").join());
        }
    }

    @Nested
    class SubmittedJob {

        @Test
        void isAcceptedOnceStored() {
            assertEquals(SubmitOutcome.ACCEPTED, submit());
            assertEquals(false, store.value(JOB).isEmpty());
        }

        /** Guards against additional store calls for each accepted job. */
        @Test
        void costsOneStoreCall() {
            long reads = store.reads;
            long calls = store.calls.size();
            submit();
            assertEquals(1, store.commits);
            assertEquals(reads, store.reads);
            assertEquals(calls, store.calls.size());
        }

        /** Guards against an entry that accepts jobs until it runs out of memory. */
        @Test
        void isRejectedWithoutAWriteWhileTheEntriesAreFull() {
            hasRoom = false;
            assertEquals(SubmitOutcome.TOO_MANY_JOBS, submit());
            assertEquals(0, store.commits);
            hasRoom = true;
            assertEquals(SubmitOutcome.ACCEPTED, submit());
        }

        /** Guards against jobs of tomorrow that take the room of those that could run now. */
        @Test
        void isRejectedBeforeItIsDueWhileOnlyDueJobsHaveRoom() {
            hasRoomForLater = false;
            assertEquals(SubmitOutcome.TOO_MANY_JOBS, submit(new Repeat(2, 1_000, 1_000)));
            assertEquals(SubmitOutcome.ACCEPTED, submit());
        }

        /** Guards against an answer that claims that a stored job will never run. */
        @Test
        void keepsItsOutcomeWhileTheEntriesAreFull() {
            submit();
            hasRoom = false;
            assertEquals(SubmitOutcome.ACCEPTED, submit());
        }

        @Test
        void isStoredOnceDespiteRepeatedSubmissions() {
            submit();
            String first = store.value(JOB);
            assertEquals(SubmitOutcome.ACCEPTED, submit());
            assertEquals(first, store.value(JOB));
        }

        @Test
        void isRefusedWhileTheStoreDoesNotAnswer() {
            reached = false;
            assertEquals(SubmitOutcome.NOT_TAKEN, submit());
            assertEquals("", store.value(JOB), "a refused job must not be written");
        }

        @Test
        void isUnknownAfterAnUnansweredWrite() {
            store.dropsCommitAnswers = true;
            assertEquals(SubmitOutcome.UNKNOWN, submit());
            store.applyDroppedCommits();
            assertEquals(false, store.value(JOB).isEmpty(), "the write was applied late");
        }

        @Test
        void isRefusedForANonexistentQueue() {
            StepSpec one = StepSpec.builder(1, new StepSpec.Need(1, 1, 0)).build();
            Submission s = new Submission("text", List.of(one), Repeat.ONCE);
            assertEquals(
                    SubmitOutcome.NO_QUEUE,
                    intake.submit(new CallerRequest("host", "/other/a", null), "a", s)
                            .join());
        }
    }

    private final QueueConfig queue =
            new QueueConfig("q", "host", "/clips/", "clips", new Policy(0, 3, 1.5, 500, false));
    private final Admission admitted = new Admission(Admission.Outcome.ADMITTED, queue, null);

    @Nested
    class UnreadableJob {

        private final JobKey job = new JobKey("q", "a");

        @Test
        void hasAnUnknownState() {
            store.set(JOB, "{}");
            assertEquals(JobAnswer.UNKNOWN, intake.state(admitted, "a").join());
            store.setNonText(SchedulerKeys.progress("clips", job));
            assertEquals(JobAnswer.UNKNOWN, intake.state(admitted, "a").join());
            store.set(SchedulerKeys.progress("clips", job), "{\"state\":\"DONE\"}");
            assertEquals(JobAnswer.UNKNOWN, intake.state(admitted, "a").join());
        }

        @Test
        void isNotStoredTwice() {
            store.setNonText(JOB);
            long commits = store.commits;
            assertEquals(SubmitOutcome.ACCEPTED, submit());
            assertEquals(commits + 1, store.commits);
        }

        @Test
        void mayBeCancelled() {
            store.setNonText(JOB);
            assertEquals(
                    JobAnswer.of(JobState.CANCELLED),
                    intake.cancel(admitted, "a").join());
        }
    }

    @Nested
    class UnreadableReport {

        @Test
        void isNotCountedAsZero() {
            store.set(SchedulerKeys.owner("clips"), "entry");
            store.set(SchedulerKeys.report("clips"), "{\"pendingByQueue\":7}");
            store.set(SchedulerKeys.job("clips", new JobKey("q", "c")), "a job that waits");
            assertEquals(1, intake.pending(queue).join().orElseThrow());
        }
    }

    /** The stored record of a finished job is reduced; callers must get the same answers as before. */
    @Nested
    class FinishedJob {

        @BeforeEach
        void end() {
            store.set(JOB, "over");
            JobProgress completed = new JobProgress(JobState.COMPLETED, List.of(), "", 0);
            store.set(SchedulerKeys.progress("clips", new JobKey("q", "a")), RecordCodec.write(completed));
        }

        @Test
        void isNotStoredTwice() {
            assertEquals(SubmitOutcome.ACCEPTED, submit());
            assertEquals("over", store.value(JOB));
        }

        @Test
        void keepsItsLastState() {
            assertEquals(
                    JobAnswer.of(JobState.COMPLETED),
                    intake.state(admitted, "a").join());
        }

        @Test
        void canStillBeCancelled() {
            assertEquals(
                    JobAnswer.of(JobState.CANCELLED),
                    intake.cancel(admitted, "a").join());
            assertEquals(
                    JobAnswer.of(JobState.COMPLETED),
                    intake.state(admitted, "a").join());
        }

        @Test
        void isNotCountedAsPendingWithoutItsProgress() {
            store.set(SchedulerKeys.job("clips", new JobKey("q", "b")), "over");
            store.set(SchedulerKeys.job("clips", new JobKey("q", "c")), "a job that waits");
            assertEquals(1, intake.pending(queue).join().orElseThrow());
        }
    }

    @Nested
    class WorkspaceKey {

        private void configure(long version, String... keys) {
            List<KeyDigest> digests = List.of(keys).stream().map(KeyDigest::of).toList();
            Workspace news = new Workspace("news", digests, 1, Resources.NONE);
            Workspace archive = new Workspace("archive", List.of(KeyDigest.of("k9")), 1, Resources.NONE);
            QueueConfig keyed = new QueueConfig("q", "host", "/clips/", "clips", queue.policy(), true);
            JobConfiguration c = new JobConfiguration(
                    version,
                    List.of(keyed),
                    List.of(new ServiceConfig("clips", false, true)),
                    1 << 18,
                    new Workspaces(List.of(news, archive), List.of()));
            store.set(FakeRecords.CONFIGURATION, RecordCodec.write(c));
        }

        private CallerRequest request(String key) {
            return new CallerRequest("host", "/clips/a", KeyDigest.of(key));
        }

        private SubmitOutcome submit(String key) {
            StepSpec one = StepSpec.builder(1, new StepSpec.Need(1, 1, 0)).build();
            Submission s = new Submission("text", List.of(one), Repeat.ONCE);
            return intake.submit(request(key), "a", s).join();
        }

        @Test
        void admitsAJobAndIsNotStoredInItsRecord() {
            configure(2, "k1");
            assertEquals(SubmitOutcome.ACCEPTED, submit("k1"));
            assertEquals(
                    "news",
                    RecordCodec.read(store.value(JOB), JobSpec.class).get().workspace());
            assertFalse(store.value(JOB).contains("k1"));
        }

        @Test
        void thatIsUnknownIsRefusedWithoutAWrite() {
            configure(2, "k1");
            assertEquals(SubmitOutcome.UNKNOWN_KEY, submit("k2"));
            assertEquals("", store.value(JOB));
        }

        /** Guards against accepting a revoked key because the known configuration is out of date. */
        @Test
        void thatWasRevokedIsRefusedBeforeTheWatchReportsIt() {
            configure(2, "k1");
            store.notifyWatches();
            configure(3);
            assertEquals(SubmitOutcome.UNKNOWN_KEY, submit("k1"));
        }

        @Test
        void thatWasJustAddedIsAccepted() {
            configure(2, "k1");
            store.notifyWatches();
            configure(3, "k1", "k2");
            loop.advance(1_000);
            assertEquals(SubmitOutcome.ACCEPTED, submit("k2"));
        }

        /** Guards against access to the jobs of another workspace. */
        @Test
        void givesAccessOnlyToJobsOfItsWorkspace() {
            configure(2, "k1");
            submit("k1");
            Admission other = intake.admit(request("k9")).join();
            assertEquals(JobAnswer.NO_JOB, intake.state(other, "a").join());
            assertEquals(JobAnswer.NO_JOB, intake.cancel(other, "a").join());
            Admission own = intake.admit(request("k1")).join();
            assertEquals(JobAnswer.of(JobState.QUEUED), intake.state(own, "a").join());
            JobProgress running = new JobProgress(JobState.RUNNING, List.of(), "", 0, "news");
            store.set(SchedulerKeys.progress("clips", new JobKey("q", "a")), RecordCodec.write(running));
            assertEquals(JobAnswer.NO_JOB, intake.state(other, "a").join());
            assertEquals(JobAnswer.of(JobState.RUNNING), intake.state(own, "a").join());
        }

        /**
         * Guards against cancelling an ended job of another workspace, whose own record no longer names the
         * workspace.
         */
        @Test
        void givesNoAccessToEndedJobsOfOtherWorkspaces() {
            configure(2, "k1");
            store.notifyWatches();
            store.set(JOB, JobSpec.FINISHED_MARKER);
            JobProgress completed = new JobProgress(JobState.COMPLETED, List.of(), "", 0, "news");
            store.set(SchedulerKeys.progress("clips", new JobKey("q", "a")), RecordCodec.write(completed));
            Admission other = intake.admit(request("k9")).join();
            assertEquals(JobAnswer.NO_JOB, intake.cancel(other, "a").join());
            Admission own = intake.admit(request("k1")).join();
            assertEquals(
                    JobAnswer.of(JobState.CANCELLED), intake.cancel(own, "a").join());
        }

        /** Guards against acknowledging a submission whose id is in use by another workspace. */
        @Test
        void doesNotAcceptAnIdThatAnotherWorkspaceUses() {
            configure(2, "k1");
            assertEquals(SubmitOutcome.ACCEPTED, submit("k1"));
            assertEquals(SubmitOutcome.ID_TAKEN, submit("k9"));
            assertEquals(SubmitOutcome.ACCEPTED, submit("k1"));
        }

        /** Guards against accepting a repeated submission under an outdated configuration. */
        @Test
        void isRefusedForARepeatedSubmissionOnceRevoked() {
            configure(2, "k1");
            assertEquals(SubmitOutcome.ACCEPTED, submit("k1"));
            configure(3);
            assertEquals(SubmitOutcome.UNKNOWN_KEY, submit("k1"));
        }

        /** Guards against hiding jobs that were accepted by a version without workspaces. */
        @Test
        void givesAccessToJobsWithoutAWorkspace() {
            configure(2, "k1");
            store.set(JOB, RecordCodec.write(specWithoutWorkspace()));
            assertFalse(store.value(JOB).contains("workspace"), "the record must stay readable by earlier versions");
            Admission own = intake.admit(request("k1")).join();
            assertEquals(JobAnswer.of(JobState.QUEUED), intake.state(own, "a").join());
        }

        private JobSpec specWithoutWorkspace() {
            StepSpec one = StepSpec.builder(1, new StepSpec.Need(1, 1, 0)).build();
            return new JobSpec(new JobKey("q", "a"), "clips", "text", List.of(one), Repeat.ONCE, queue.policy(), 0);
        }

        /** Guards against one read per request while the configuration is out of date. */
        @Test
        void causesOneReadForConcurrentRequests() {
            configure(2, "k1");
            store.notifyWatches();
            store.dropsReads = true;
            long before = store.reads;
            loop.advance(5_000);
            for (int i = 0; i < 10; i++) {
                var unused = intake.admit(request("k1"));
            }
            assertEquals(before + 1, store.reads);
        }
    }

    @Nested
    class PendingJobCounts {

        private static final String REPORT =
                "{\"pendingByQueue\":{\"q\":7},\"needed\":1,\"firm\":1,\"late\":0,\"workers\":[]}";

        @Test
        void comeFromTheOwnersReport() {
            store.set(SchedulerKeys.owner("clips"), "entry-2");
            store.set(SchedulerKeys.report("clips"), REPORT);
            assertEquals(7, intake.pending(queue).join().orElseThrow());
        }

        @Test
        void comeFromTheStoreBeforeANewOwnerReports() {
            store.set(SchedulerKeys.report("clips"), REPORT);
            store.set(SchedulerKeys.owner("clips"), "entry-2");
            store.set(SchedulerKeys.job("clips", new JobKey("q", "a")), "a job that waits");
            store.set(SchedulerKeys.job("clips", new JobKey("q", "b")), "a job that has begun");
            store.set(SchedulerKeys.progress("clips", new JobKey("q", "b")), "its progress");
            assertEquals(1, intake.pending(queue).join().orElseThrow());
        }
    }

    /**
     * Guards against a second job under an id in use: after a configuration change gave the queue another service, a
     * repeated submission was stored there too, and all tasks ran twice.
     */
    @Nested
    class QueueWithAnotherService {

        private static final String MOVED_JOB = SchedulerKeys.job("promos", new JobKey("q", "a"));
        private static final String LOCATION = SchedulerKeys.location(new JobKey("q", "a"));

        private void moveTo(long version, String service, String... services) {
            QueueConfig q = new QueueConfig("q", "host", "/clips/", service, queue.policy());
            List<ServiceConfig> configured = Stream.of(services)
                    .map(s -> new ServiceConfig(s, false, true))
                    .toList();
            JobConfiguration c = new JobConfiguration(version, List.of(q), configured, 1 << 18);
            store.set(FakeRecords.CONFIGURATION, RecordCodec.write(c));
            store.notifyWatches();
        }

        private Admission admission() {
            return intake.admit(new CallerRequest("host", "/clips/a", null)).join();
        }

        private void assertStoredOnlyAtTheFirstService() {
            assertFalse(store.value(JOB).isEmpty());
            assertEquals("", store.value(MOVED_JOB), "the job is stored at a second service");
        }

        @Test
        void doesNotStoreARepeatedSubmissionAgain() {
            submit();
            moveTo(2, "promos", "clips", "promos");
            assertEquals(SubmitOutcome.ACCEPTED, submit());
            assertStoredOnlyAtTheFirstService();
        }

        @Test
        void doesNotStoreARepeatedSubmissionAgainAfterASecondChange() {
            submit();
            moveTo(2, "promos", "clips", "promos");
            moveTo(3, "clips", "clips", "promos");
            assertEquals(SubmitOutcome.ACCEPTED, submit());
            assertStoredOnlyAtTheFirstService();
        }

        @Test
        void doesNotStoreAgainWhatAnUnansweredCommitStored() {
            store.dropsCommitAnswers = true;
            assertEquals(SubmitOutcome.UNKNOWN, submit());
            store.applyDroppedCommits();
            store.dropsCommitAnswers = false;
            moveTo(2, "promos", "clips", "promos");
            assertEquals(SubmitOutcome.ACCEPTED, submit());
            assertStoredOnlyAtTheFirstService();
        }

        @Test
        void doesNotStoreAFinishedJobAgain() {
            submit();
            store.set(JOB, JobSpec.FINISHED_MARKER);
            moveTo(2, "promos", "clips", "promos");
            assertEquals(SubmitOutcome.ACCEPTED, submit());
            assertStoredOnlyAtTheFirstService();
        }

        @Test
        void doesNotStoreAJobAgainWhoseServiceIsNoLongerConfigured() {
            submit();
            moveTo(2, "promos", "promos");
            assertEquals(SubmitOutcome.ACCEPTED, submit());
            assertStoredOnlyAtTheFirstService();
        }

        @Test
        void doesNotStoreAJobOfAnEarlierReleaseAgain() {
            submit();
            store.remove(LOCATION);
            moveTo(2, "promos", "clips", "promos");
            assertEquals(SubmitOutcome.ACCEPTED, submit());
            assertStoredOnlyAtTheFirstService();
        }

        @Test
        void storesASubmissionWhoseIdIsFreeAgain() {
            submit();
            store.remove(JOB);
            moveTo(2, "promos", "clips", "promos");
            assertEquals(SubmitOutcome.ACCEPTED, submit());
            assertFalse(store.value(MOVED_JOB).isEmpty(), "an acknowledged job is not stored");
            assertEquals("promos", store.value(LOCATION));
        }

        @Test
        void storesNothingWhileALocationIsUnreadable() {
            store.setNonText(LOCATION);
            assertEquals(SubmitOutcome.UNKNOWN, submit());
            assertEquals("", store.value(JOB));
            assertEquals(JobAnswer.UNKNOWN, intake.state(admitted, "a").join());
            assertEquals(JobAnswer.UNKNOWN, intake.cancel(admitted, "a").join());
        }

        /** Guards against a commit with more rows than the store accepts. */
        @Test
        void acceptsJobsInAConfigurationWithManyServices() {
            String[] services =
                    IntStream.range(0, 140).mapToObj(i -> "service-" + i).toArray(String[]::new);
            moveTo(2, "service-7", services);
            assertEquals(SubmitOutcome.ACCEPTED, submit());
            moveTo(3, "service-139", services);
            assertEquals(SubmitOutcome.ACCEPTED, submit());
            assertEquals("", store.value(SchedulerKeys.job("service-139", new JobKey("q", "a"))));
        }

        @Test
        void reportsTheStateOfItsEarlierJobs() {
            submit();
            moveTo(2, "promos", "promos");
            assertEquals(
                    JobAnswer.of(JobState.QUEUED),
                    intake.state(admission(), "a").join());
            JobProgress running = new JobProgress(JobState.RUNNING, List.of(), "", 0);
            store.set(SchedulerKeys.progress("clips", new JobKey("q", "a")), RecordCodec.write(running));
            assertEquals(
                    JobAnswer.of(JobState.RUNNING),
                    intake.state(admission(), "a").join());
            assertEquals(JobAnswer.NO_JOB, intake.state(admission(), "b").join());
        }

        @Test
        void cancelsItsEarlierJobsWhereTheyRun() {
            submit();
            moveTo(2, "promos", "promos");
            assertEquals(
                    JobAnswer.of(JobState.CANCELLED),
                    intake.cancel(admission(), "a").join());
            assertFalse(store.value(SchedulerKeys.cancel("clips", new JobKey("q", "a")))
                    .isEmpty());
            assertEquals(JobAnswer.NO_JOB, intake.cancel(admission(), "b").join());
        }

        /** Guards against a count without the jobs that wait at the queue's earlier service. */
        @Test
        void countsItsEarlierJobsAsPending() {
            store.set(SchedulerKeys.owner("clips"), "entry-1");
            store.set(SchedulerKeys.report("clips"), PendingJobCounts.REPORT);
            moveTo(2, "promos", "clips", "promos");
            store.set(SchedulerKeys.job("promos", new JobKey("q", "c")), "a job that waits");
            QueueConfig moved = Objects.requireNonNull(admission().queue());
            assertEquals(8, intake.pending(moved).join().orElseThrow());
            moveTo(3, "promos", "promos");
            assertEquals(8, intake.pending(moved).join().orElseThrow(), "its earlier service has left");
        }
    }
}
