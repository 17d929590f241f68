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
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.common.RecordCodec;
import org.lupinpaddle.core.job.JobKey;
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

/** Tests cancellations of ids that no job has, among them those of jobs that are still being stored. */
class EarlyCancellationTest {

    private static final JobKey KEY = new JobKey("q", "a");
    private static final String JOB = SchedulerKeys.job("clips", KEY);
    private static final String LOCATION = SchedulerKeys.location(KEY);
    private static final Policy POLICY = new Policy(0, 3, 1.5, 500, false);
    private static final long FIRST_LEASE = 1;

    private final FakeKeyValueStore store = new FakeKeyValueStore();
    private final DirectLoop loop = new DirectLoop();
    private final FakeRecords records = new FakeRecords();
    private final UnreadableEntries unreadable = new UnreadableEntries(new JobMetrics());
    private final CordonFeed cordons = new CordonFeed(new CordonRecords(records, Set.of()), unreadable, 0);
    private final ConfigurationFeed feed = new ConfigurationFeed(store, loop, records, unreadable, cordons, () -> {});
    private final JobIntake intake = new JobIntake(store, loop, records, feed, () -> 0, () -> true, isDue -> true);

    @BeforeEach
    void configure() {
        store.set(FakeRecords.CONFIGURATION, RecordCodec.write(configuration(1, "clips")));
        feed.start();
    }

    private static JobConfiguration configuration(long version, String service) {
        return new JobConfiguration(
                version,
                List.of(new QueueConfig("q", "host", "/clips/", service, POLICY)),
                List.of(new ServiceConfig("clips", false, true), new ServiceConfig("promos", false, true)),
                1 << 18);
    }

    private void reconfigure(JobConfiguration c) {
        store.set(FakeRecords.CONFIGURATION, RecordCodec.write(c));
        store.notifyWatches();
    }

    private CompletableFuture<SubmitOutcome> submit(CallerRequest request) {
        StepSpec one = StepSpec.builder(1, new StepSpec.Need(1, 1, 0)).build();
        return intake.submit(request, "a", new Submission("text", List.of(one), Repeat.ONCE));
    }

    private CompletableFuture<SubmitOutcome> submit() {
        return submit(new CallerRequest("host", "/clips/a", null));
    }

    private Admission admission() {
        return intake.admit(new CallerRequest("host", "/clips/a", null)).join();
    }

    private CompletableFuture<JobAnswer> cancel() {
        return intake.cancel(admission(), "a");
    }

    private void answerAll() {
        while (store.answerNext()) {
            // Answers all commits, and those that follow from the answers.
        }
    }

    /** Guards against a job that is stored, and runs, after its cancellation was acknowledged. */
    @Nested
    class BeforeTheJobIsStored {

        @Test
        void rejectsAWriteThatTheStoreCarriesOutLate() {
            store.dropsCommitAnswers = true;
            assertEquals(SubmitOutcome.UNKNOWN, submit().join());
            store.dropsCommitAnswers = false;
            assertEquals(JobAnswer.NO_JOB, cancel().join());
            store.applyDroppedCommits();
            assertEquals("", store.value(JOB));
        }

        @Test
        void endsASubmissionThatIsUnderWay() {
            store.delaysCommits = true;
            CompletableFuture<SubmitOutcome> submission = submit();
            store.delaysCommits = false;
            assertEquals(JobAnswer.NO_JOB, cancel().join());
            answerAll();
            assertEquals(SubmitOutcome.CANCELLED, submission.join());
            assertEquals("", store.value(JOB));
        }

        @Test
        void endsASubmissionAtTheNextServiceOfTheQueue() {
            assertEquals(JobAnswer.NO_JOB, cancel().join());
            reconfigure(configuration(2, "promos"));
            assertEquals(SubmitOutcome.CANCELLED, submit().join());
        }

        @Test
        void replacesALocationWithoutAJob() {
            store.set(LOCATION, "clips");
            assertEquals(JobAnswer.NO_JOB, cancel().join());
            assertEquals(SubmitOutcome.CANCELLED, submit().join());
        }
    }

    /** Guards against telling a caller that there is no job although there is one, or may be one later. */
    @Nested
    class TheAnswer {

        @Test
        void isThatOfTheJobIfItIsStoredMeanwhile() {
            store.delaysCommits = true;
            CompletableFuture<JobAnswer> answer = cancel();
            store.delaysCommits = false;
            assertEquals(SubmitOutcome.ACCEPTED, submit().join());
            answerAll();
            assertEquals(JobAnswer.of(JobState.CANCELLED), answer.join());
            assertFalse(store.value(SchedulerKeys.cancel("clips", KEY)).isEmpty());
        }

        @Test
        void isUnknownWhileTheStoreHasNotDecided() {
            store.dropsCommitAnswers = true;
            assertEquals(JobAnswer.UNKNOWN, cancel().join());
        }

        @Test
        void isTheSameWhenRepeated() {
            assertEquals(JobAnswer.NO_JOB, cancel().join());
            assertEquals(JobAnswer.NO_JOB, cancel().join());
            assertEquals(JobAnswer.NO_JOB, intake.state(admission(), "a").join());
        }

        @Test
        void findsAJobOfAReleaseWithoutLocations() {
            store.delaysCommits = true;
            CompletableFuture<JobAnswer> answer = cancel();
            store.delaysCommits = false;
            store.set(SchedulerKeys.job("promos", KEY), "a job");
            answerAll();
            assertEquals(JobAnswer.of(JobState.CANCELLED), answer.join());
        }
    }

    @Nested
    class ACancelledId {

        /** Guards against a 200 for a job that will not run. */
        @Test
        void isNotAccepted() {
            cancel().join();
            assertEquals(SubmitOutcome.CANCELLED, submit().join());
        }

        @Test
        void isFreeWhenItsMarkHasExpired() {
            cancel().join();
            store.endLease(FIRST_LEASE).join();
            assertEquals(SubmitOutcome.ACCEPTED, submit().join());
        }

        /** Guards against marks that stay for ever. */
        @Test
        void hasALeaseAlsoAfterTheStoreHasEndedOne() {
            cancel().join();
            loop.advance(CancelledIdLease.MAX_MARK_MILLIS);
            cancel().join();
            store.endLease(FIRST_LEASE).join();
            assertEquals(SubmitOutcome.CANCELLED, submit().join(), "the second mark has a lease of its own");
            store.endLease(FIRST_LEASE + 1).join();
            assertEquals("", store.value(LOCATION));
        }
    }

    @Nested
    class ACallerOfAWorkspace {

        private final CallerRequest news = new CallerRequest("host", "/clips/a", KeyDigest.of("k1"));
        private final CallerRequest archive = new CallerRequest("host", "/clips/a", KeyDigest.of("k9"));

        @BeforeEach
        void configureWorkspaces() {
            Workspaces workspaces = new Workspaces(
                    List.of(
                            new Workspace("news", List.of(KeyDigest.of("k1")), 1, Resources.NONE),
                            new Workspace("archive", List.of(KeyDigest.of("k9")), 1, Resources.NONE)),
                    List.of());
            QueueConfig keyed = new QueueConfig("q", "host", "/clips/", "clips", POLICY, true);
            reconfigure(new JobConfiguration(
                    2, List.of(keyed), List.of(new ServiceConfig("clips", false, true)), 1 << 18, workspaces));
        }

        private JobAnswer cancel(CallerRequest r) {
            return intake.cancel(intake.admit(r).join(), "a").join();
        }

        /** Guards against a workspace that blocks the ids of another. */
        @Test
        void doesNotBlockAnIdOfAnotherWorkspace() {
            assertEquals(JobAnswer.NO_JOB, cancel(archive));
            assertEquals(SubmitOutcome.ACCEPTED, submit(news).join());
        }

        /** Guards against a workspace that lifts the cancellation of another. */
        @Test
        void doesNotLiftTheCancellationOfAnotherWorkspace() {
            assertEquals(JobAnswer.NO_JOB, cancel(news));
            assertEquals(JobAnswer.NO_JOB, cancel(archive));
            assertEquals(SubmitOutcome.CANCELLED, submit(news).join());
            assertEquals(SubmitOutcome.CANCELLED, submit(archive).join());
        }
    }

    /** Guards against a late write that cancels a later job with the same id, or leaves a record that nobody removes. */
    @Test
    void aLateCancellationDoesNotAffectALaterJob() {
        assertEquals(SubmitOutcome.ACCEPTED, submit().join());
        store.dropsCommitAnswers = true;
        assertEquals(JobAnswer.UNKNOWN, cancel().join());
        store.dropsCommitAnswers = false;
        List.of(JOB, LOCATION, SchedulerKeys.callerId("clips", "a")).forEach(store::remove);
        assertEquals(SubmitOutcome.ACCEPTED, submit().join());
        store.applyDroppedCommits();
        assertEquals("", store.value(SchedulerKeys.cancel("clips", KEY)));
    }
}
