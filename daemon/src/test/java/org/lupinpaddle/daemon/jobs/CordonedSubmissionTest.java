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
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.BeforeEach;
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

/** Tests the answers to submissions while all halls of the deployment are cordoned. */
class CordonedSubmissionTest {

    private static final String JOB = SchedulerKeys.job("clips", new JobKey("q", "a"));
    private static final long MAX_AGE_MILLIS = 3_300;
    private static final Policy POLICY = new Policy(0, 3, 1.5, 500, false);

    private final FakeKeyValueStore store = new FakeKeyValueStore();
    private final DirectLoop loop = new DirectLoop();
    private final FakeRecords records = new FakeRecords();
    private final UnreadableEntries unreadable = new UnreadableEntries(new JobMetrics());
    private final CordonRecords cordonRecords = new CordonRecords(records, Set.of("north", "south"));
    private final ConfigurationFeed feed = new ConfigurationFeed(
            store, loop, records, unreadable, new CordonFeed(cordonRecords, unreadable, 5_000), () -> {});
    private final JobIntake intake = new JobIntake(store, loop, records, feed, () -> 0, () -> true, isDue -> true);

    @BeforeEach
    void configure() {
        configure(1, false);
        feed.start();
    }

    private void configure(long version, boolean requiresKey, String... keys) {
        List<KeyDigest> digests = List.of(keys).stream().map(KeyDigest::of).toList();
        Workspace news = new Workspace("news", digests, 1, Resources.NONE);
        Workspace archive = new Workspace("archive", List.of(KeyDigest.of("k9")), 1, Resources.NONE);
        QueueConfig q = new QueueConfig("q", "host", "/clips/", "clips", POLICY, requiresKey);
        JobConfiguration c = new JobConfiguration(
                version,
                List.of(q),
                List.of(new ServiceConfig("clips", false, true)),
                1 << 18,
                new Workspaces(List.of(news, archive), List.of()));
        store.set(FakeRecords.CONFIGURATION, RecordCodec.write(c));
        store.notifyWatches();
    }

    private void cordon(String... halls) {
        for (String h : halls) {
            store.set(FakeRecords.CORDONS + h, "{}");
        }
        store.notifyWatches();
    }

    private void lift(String hall) {
        store.remove(FakeRecords.CORDONS + hall);
        store.notifyWatches();
    }

    private static CallerRequest request(@Nullable String key) {
        return new CallerRequest("host", "/clips/a", key == null ? null : KeyDigest.of(key));
    }

    private CompletableFuture<SubmitOutcome> send(CallerRequest request) {
        StepSpec one = StepSpec.builder(1, new StepSpec.Need(1, 1, 0)).build();
        return intake.submit(request, "a", new Submission("text", List.of(one), Repeat.ONCE));
    }

    private SubmitOutcome submit() {
        return send(request(null)).join();
    }

    /** Guards against jobs that wait where no hall may run them, and against records of rejected jobs. */
    @Test
    void isRejectedWithoutAWriteUntilACordonIsLifted() {
        cordon("north", "south");
        assertEquals(SubmitOutcome.ALL_HALLS_CORDONED, submit());
        assertEquals(0, store.commits);
        assertEquals("", store.value(JOB));
        lift("south");
        assertEquals(SubmitOutcome.ACCEPTED, submit());
    }

    /** Guards against a rejection while one hall may still run the job. */
    @Test
    void isAcceptedWhileOneHallIsNotCordoned() {
        cordon("north");
        assertEquals(SubmitOutcome.ACCEPTED, submit());
    }

    /** Guards against rejections by a view that may be out of date, whose cordons may have been lifted. */
    @Test
    void isAcceptedWhileTheViewIsNotCurrent() {
        cordon("north", "south");
        loop.advance(MAX_AGE_MILLIS + 1);
        assertEquals(SubmitOutcome.ACCEPTED, submit());
    }

    /** Guards against rejecting a job that was accepted before the cordon and will run after it. */
    @Test
    void keepsTheOutcomeOfAnAcceptedJob() {
        assertEquals(SubmitOutcome.ACCEPTED, submit());
        int commits = store.commits;
        cordon("north", "south");
        assertEquals(SubmitOutcome.ACCEPTED, submit());
        assertEquals(commits, store.commits);
        Admission admitted = intake.admit(request(null)).join();
        assertEquals(JobAnswer.of(JobState.QUEUED), intake.state(admitted, "a").join());
        assertEquals(
                JobAnswer.of(JobState.CANCELLED), intake.cancel(admitted, "a").join());
    }

    /** Guards against rejecting a job whose write was sent before the cordon, and may be in the store. */
    @Test
    void isNotRejectedOnceItsWriteWasSent() {
        store.delaysCommits = true;
        CompletableFuture<SubmitOutcome> outcome = send(request(null));
        cordon("north", "south");
        configure(2, false);
        while (store.answerNext()) {
            assertNotEquals(SubmitOutcome.ALL_HALLS_CORDONED, outcome.getNow(SubmitOutcome.UNKNOWN));
        }
        assertEquals(SubmitOutcome.ACCEPTED, outcome.join());
    }

    /** Guards against an answer that does not depend on the queue. */
    @Test
    void isRefusedForANonexistentQueue() {
        cordon("north", "south");
        assertEquals(
                SubmitOutcome.NO_QUEUE,
                send(new CallerRequest("host", "/other/a", null)).join());
    }

    /** Guards against a rejection that the store has not confirmed: the job may be stored. */
    @Test
    void isNotDecidedWhileTheStoreDoesNotAnswer() {
        cordon("north", "south");
        store.dropsReads = true;
        assertFalse(send(request(null)).isDone());
    }

    /** Guards against access to jobs of other workspaces, or by revoked keys, on the path without a commit. */
    @Test
    void checksTheKeyOfAnAcceptedJob() {
        configure(2, true, "k1");
        assertEquals(SubmitOutcome.ACCEPTED, send(request("k1")).join());
        cordon("north", "south");
        assertEquals(SubmitOutcome.ACCEPTED, send(request("k1")).join());
        assertEquals(SubmitOutcome.ID_TAKEN, send(request("k9")).join());
        Workspaces revoked = new Workspaces(List.of(), List.of());
        QueueConfig q = new QueueConfig("q", "host", "/clips/", "clips", POLICY, true);
        store.set(
                FakeRecords.CONFIGURATION,
                RecordCodec.write(new JobConfiguration(
                        3, List.of(q), List.of(new ServiceConfig("clips", false, true)), 1 << 18, revoked)));
        assertEquals(
                SubmitOutcome.UNKNOWN_KEY,
                send(request("k1")).join(),
                "the watch has not reported that the key was revoked");
    }
}
