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

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.lupinpaddle.core.job.CancelledId;
import org.lupinpaddle.core.job.JobKey;
import org.lupinpaddle.core.job.JobState;
import org.lupinpaddle.core.job.SchedulerKeys;
import org.lupinpaddle.core.queue.Admission;
import org.lupinpaddle.core.queue.QueueConfig;
import org.lupinpaddle.daemon.common.EventLoop;
import org.lupinpaddle.daemon.common.Log;
import org.lupinpaddle.daemon.jobs.JobLocator.LocatedJob;
import org.lupinpaddle.daemon.port.CommitResult;
import org.lupinpaddle.daemon.port.KeyValueStore;
import org.lupinpaddle.daemon.port.StoreCommit;
import org.lupinpaddle.daemon.port.StoreItem;

/**
 * Cancels jobs. A cancellation is acknowledged only when the store has decided it: either the job is marked as
 * cancelled, or its id is, on condition that no job has it, so that no submission under way can store one afterwards.
 */
final class JobCanceller {

    private static final int MAX_ATTEMPTS = 4;
    private static final long NO_LOCATION = 0;

    private final KeyValueStore store;
    private final EventLoop loop;
    private final JobLocator locator;
    private final CancelledIdLease lease;

    JobCanceller(KeyValueStore store, EventLoop loop, JobLocator locator) {
        this.store = store;
        this.loop = loop;
        this.locator = locator;
        lease = new CancelledIdLease(store, loop);
    }

    /**
     * A request to cancel a job.
     *
     * @param attempts how many commits have been tried
     */
    private record Cancellation(Admission admission, QueueConfig queue, JobKey key, int attempts) {
        Cancellation next() {
            return new Cancellation(admission, queue, key, attempts + 1);
        }

        boolean isExhausted() {
            return attempts >= MAX_ATTEMPTS;
        }
    }

    /** Cancels a job. The answer tells whether the job exists; it is unknown if the store has not decided. */
    CompletableFuture<JobAnswer> cancel(Admission a, QueueConfig q, JobKey key) {
        return findAndCancel(new Cancellation(a, q, key, 0)).exceptionally(why -> {
            Log.info("cancel-unknown", "job", key.id(), "why", StoreFailure.text(why));
            return JobAnswer.UNKNOWN;
        });
    }

    private CompletableFuture<JobAnswer> findAndCancel(Cancellation c) {
        if (c.isExhausted()) {
            return CompletableFuture.completedFuture(JobAnswer.UNKNOWN);
        }
        return locator.find(c.queue, c.key)
                .thenComposeAsync(
                        job -> job.map(j -> cancelJob(c, j))
                                .orElseGet(() -> markId(c, NO_LOCATION, CancelledId.by(c.admission.workspace()))),
                        loop::execute);
    }

    private CompletableFuture<JobAnswer> cancelJob(Cancellation c, LocatedJob job) {
        return JobAccess.read(store, c.admission, c.key, job)
                .thenComposeAsync(
                        access -> switch (access) {
                            case ACCESSIBLE -> writeCancel(c, job);
                            case OTHER_WORKSPACE -> CompletableFuture.completedFuture(JobAnswer.NO_JOB);
                            case UNKNOWN -> CompletableFuture.completedFuture(JobAnswer.UNKNOWN);
                        },
                        loop::execute);
    }

    /** Marks a job as cancelled. The condition keeps a late write from cancelling a later job with the same id. */
    private CompletableFuture<JobAnswer> writeCancel(Cancellation c, LocatedJob job) {
        StoreCommit commit = StoreCommit.builder()
                .when(job.item().key(), job.item().revision())
                .put(SchedulerKeys.cancel(job.service(), c.key), c.key.toString())
                .build();
        return store.commit(commit)
                .thenComposeAsync(
                        r -> r.outcome() == CommitResult.Outcome.MADE
                                ? CompletableFuture.completedFuture(JobAnswer.of(JobState.CANCELLED))
                                : findAndCancel(c.next()),
                        loop::execute);
    }

    /**
     * Marks an id without a job as cancelled.
     *
     * @param location the revision of the location or mark that is replaced; 0 if there is none
     */
    private CompletableFuture<JobAnswer> markId(Cancellation c, long location, CancelledId mark) {
        if (c.isExhausted()) {
            return CompletableFuture.completedFuture(JobAnswer.UNKNOWN);
        }
        return lease.current()
                .thenComposeAsync(
                        id -> {
                            StoreCommit.Builder commit = StoreCommit.builder();
                            locator.requireNoJob(commit, c.queue, c.key, location);
                            commit.put(SchedulerKeys.location(c.key), mark.text(), id);
                            return store.commit(commit.build());
                        },
                        loop::execute)
                .thenComposeAsync(r -> onMarked(c.next(), r, location, mark), loop::execute);
    }

    private CompletableFuture<JobAnswer> onMarked(Cancellation c, CommitResult r, long location, CancelledId mark) {
        return switch (r.outcome()) {
            case MADE -> {
                Log.info("id-cancelled", "job", c.key.id(), "queue", c.key.queue());
                yield CompletableFuture.completedFuture(JobAnswer.NO_JOB);
            }
            case CONFLICT -> onConflict(c, r, mark);
            case LEASE_ENDED -> {
                lease.ended();
                yield markId(c, location, mark);
            }
            case REFUSED, REJECTED, UNKNOWN -> markId(c, location, mark);
        };
    }

    private CompletableFuture<JobAnswer> onConflict(Cancellation c, CommitResult r, CancelledId mark) {
        Optional<LocatedJob> conflicting = locator.conflictingJob(r, c.queue, c.key);
        if (conflicting.isPresent()) {
            return cancelJob(c, conflicting.get());
        }
        StoreItem location = r.itemOf(SchedulerKeys.location(c.key)).orElse(null);
        if (location == null) {
            return markId(c, NO_LOCATION, mark);
        }
        CancelledId replacement = JobLocator.cancelledId(location)
                .map(m -> m.andBy(c.admission.workspace()))
                .orElse(mark);
        return locator.jobAt(location, c.key)
                .thenComposeAsync(
                        job -> job.map(j -> cancelJob(c, j))
                                .orElseGet(() -> markId(c, location.revision(), replacement)),
                        loop::execute);
    }
}
