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

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.lupinpaddle.core.common.Clock;
import org.lupinpaddle.core.common.RecordCodec;
import org.lupinpaddle.core.job.JobKey;
import org.lupinpaddle.core.job.JobProgress;
import org.lupinpaddle.core.job.JobSpec;
import org.lupinpaddle.core.job.JobState;
import org.lupinpaddle.core.job.Repeat;
import org.lupinpaddle.core.job.SchedulerKeys;
import org.lupinpaddle.core.job.Submission;
import org.lupinpaddle.core.queue.Admission;
import org.lupinpaddle.core.queue.CallerRequest;
import org.lupinpaddle.core.queue.JobConfiguration;
import org.lupinpaddle.core.queue.QueueConfig;
import org.lupinpaddle.daemon.common.EventLoop;
import org.lupinpaddle.daemon.common.Log;
import org.lupinpaddle.daemon.jobs.JobLocator.LocatedJob;
import org.lupinpaddle.daemon.jobs.JobLocator.UnusedKeys;
import org.lupinpaddle.daemon.port.CommitResult;
import org.lupinpaddle.daemon.port.KeyValueStore;
import org.lupinpaddle.daemon.port.PlatformRecords;
import org.lupinpaddle.daemon.port.StoreCommit;
import org.lupinpaddle.daemon.port.StoreItem;

/**
 * Handles the requests of callers: submits and cancels jobs, reports their state and counts pending ones. All state
 * is kept in the store, so any entry can answer, and the loss of an entry loses nothing.
 */
public final class JobIntake {

    // Maximum attempts to accept a job while the store's answers are lost; after that the caller is told that the
    // outcome is unknown.
    private static final int MAX_ATTEMPTS = 4;
    // No attempt starts after this time: callers wait 3 s, and an early answer lets them retry earlier.
    private static final long ACCEPT_TIMEOUT_MILLIS = 1_200;
    // The greatest age of the configuration at which a request is refused without reading the store.
    private static final long FRESH_MILLIS = 200;

    private final KeyValueStore store;
    private final EventLoop loop;
    private final PlatformRecords records;
    private final ConfigurationFeed configuration;
    private final Clock wall;
    private final BooleanSupplier storeReached;
    private final RoomCheck room;
    private final JobLocator locator;
    private final JobCanceller canceller;
    private final PendingJobCounter pendingJobs;

    /** Tells whether the entries have room for another job. */
    @FunctionalInterface
    interface RoomCheck {
        /** Returns whether there is room for a job whose first iteration is due, or is due later. */
        boolean hasRoom(boolean isDue);
    }

    JobIntake(
            KeyValueStore store,
            EventLoop loop,
            PlatformRecords records,
            ConfigurationFeed configuration,
            Clock wall,
            BooleanSupplier storeReached,
            RoomCheck room) {
        this.store = store;
        this.loop = loop;
        this.records = records;
        this.configuration = configuration;
        this.wall = wall;
        this.storeReached = storeReached;
        this.room = room;
        locator = new JobLocator(store, loop, configuration);
        canceller = new JobCanceller(store, loop, locator);
        pendingJobs = new PendingJobCounter(store, loop, configuration);
    }

    /** Returns the maximum body size; empty until a configuration is in force. */
    public OptionalInt bodyBytes() {
        return configuration.current().stream()
                .mapToInt(JobConfiguration::bodyBytes)
                .findFirst();
    }

    /** Returns the wall-clock time that is stored as the acceptance time of jobs. */
    long wallMillis() {
        return wall.millis();
    }

    /** Returns whether a configuration is in force at this entry. */
    public boolean isConfigured() {
        return configuration.current().isPresent();
    }

    /**
     * Decides whether a request is admitted. If the known configuration may be out of date, reads the newest one before
     * refusing a request or accepting a key. If that read fails, a key that the known configuration accepts stays accepted,
     * and for any other request the future fails.
     */
    public CompletableFuture<Admission> admit(CallerRequest r) {
        Optional<Admission> known = configuration.current().map(c -> c.admit(r));
        long age = loop.clock().millis() - configuration.confirmedAt();
        if (known.isPresent() && known.get().isAdmitted()) {
            return !known.get().usesKey() || configuration.isConfirmed() || !storeReached.getAsBoolean()
                    ? CompletableFuture.completedFuture(known.get())
                    : refreshAndAdmit(r).exceptionally(why -> known.get());
        }
        return known.isPresent() && age <= FRESH_MILLIS
                ? CompletableFuture.completedFuture(known.get())
                : refreshAndAdmit(r);
    }

    private CompletableFuture<Admission> refreshAndAdmit(CallerRequest r) {
        return configuration
                .refresh()
                .thenApply(c -> c.orElseThrow(() -> new IllegalStateException("no configuration yet"))
                        .admit(r));
    }

    /** Submits a job. The outcome is the one that the store's commit decided. */
    public CompletableFuture<SubmitOutcome> submit(CallerRequest request, String id, Submission s) {
        if (!storeReached.getAsBoolean()) {
            // Nothing was written, and another entry may reach the store, so the caller is refused at once.
            Log.info("accept-refused", "job", id, "why", "the store does not answer this entry");
            return CompletableFuture.completedFuture(SubmitOutcome.NOT_TAKEN);
        }
        PendingSubmission h = new PendingSubmission(request, id, s, loop.clock().millis() + ACCEPT_TIMEOUT_MILLIS);
        return admit(request)
                .thenCompose(a -> rejection(s.repeat())
                        .map(rejected -> outcomeIfStored(h, a, rejected))
                        .orElseGet(() -> accept(h, a, Attempt.FIRST)))
                .exceptionally(why -> {
                    Log.info("accept-refused", "job", id, "why", StoreFailure.text(why));
                    return SubmitOutcome.NOT_TAKEN;
                });
    }

    /**
     * Returns why no job is accepted at present; empty if jobs are accepted. It is checked only before the first write: a
     * job that may be stored is never rejected.
     */
    private Optional<SubmitOutcome> rejection(Repeat repeat) {
        if (configuration.areAllHallsCordoned()) {
            return Optional.of(SubmitOutcome.ALL_HALLS_CORDONED);
        }
        boolean isDue = repeat.dueMillis(0) <= wall.millis();
        return room.hasRoom(isDue) ? Optional.empty() : Optional.of(SubmitOutcome.TOO_MANY_JOBS);
    }

    /**
     * Returns the outcome of a submission while no job is accepted: a job that is already stored keeps its outcome, and
     * no other is stored. The read replaces the commit of an accepted submission, so it costs no additional call.
     */
    private CompletableFuture<SubmitOutcome> outcomeIfStored(PendingSubmission h, Admission a, SubmitOutcome rejected) {
        QueueConfig q = a.queue();
        if (q == null) {
            return CompletableFuture.completedFuture(refusal(a));
        }
        return locator.find(q, new JobKey(q.name(), h.id))
                .thenComposeAsync(
                        job -> job.map(j -> outcomeOfStored(h, a, q, j)).orElseGet(() -> {
                            Log.info("accept-refused", "job", h.id, "why", rejected);
                            return CompletableFuture.completedFuture(rejected);
                        }),
                        loop::execute);
    }

    private CompletableFuture<SubmitOutcome> outcomeOfStored(
            PendingSubmission h, Admission a, QueueConfig q, LocatedJob job) {
        // No commit checks the configuration here, so a key is checked against the newest one.
        CompletableFuture<Admission> newest =
                a.usesKey() ? refreshAndAdmit(h.request) : CompletableFuture.completedFuture(a);
        return newest.thenCompose(n -> n.isAdmitted()
                ? JobAccess.read(store, n, new JobKey(q.name(), h.id), job).thenApply(JobAccess::submitOutcome)
                : CompletableFuture.completedFuture(refusal(n)));
    }

    private static SubmitOutcome refusal(Admission a) {
        return a.outcome() == Admission.Outcome.UNKNOWN_KEY ? SubmitOutcome.UNKNOWN_KEY : SubmitOutcome.NO_QUEUE;
    }

    /** A submission whose outcome is not yet known. */
    private record PendingSubmission(CallerRequest request, String id, Submission job, long deadlineMillis) {}

    /**
     * An attempt to store a submitted job.
     *
     * @param number the number of the attempt, from 1
     * @param mayBeWritten whether an earlier attempt may have stored the job
     * @param unused the reservations without a job that the attempt replaces
     */
    private record Attempt(int number, boolean mayBeWritten, UnusedKeys unused) {

        static final Attempt FIRST = new Attempt(1, false, UnusedKeys.NONE);

        Attempt next(boolean orWritten) {
            return new Attempt(number + 1, orWritten, unused);
        }

        Attempt replacingLocation(StoreItem location) {
            return new Attempt(number, mayBeWritten, new UnusedKeys(location.revision(), unused.callerId()));
        }

        Attempt replacingCallerId(StoreItem callerId) {
            return new Attempt(number, mayBeWritten, new UnusedKeys(unused.location(), callerId.revision()));
        }

        SubmitOutcome outcomeOrUnknown(SubmitOutcome unlessWritten) {
            return mayBeWritten ? SubmitOutcome.UNKNOWN : unlessWritten;
        }
    }

    private CompletableFuture<SubmitOutcome> accept(PendingSubmission h, Admission a, Attempt attempt) {
        QueueConfig q = a.queue();
        if (q == null) {
            return CompletableFuture.completedFuture(attempt.outcomeOrUnknown(refusal(a)));
        }
        JobKey key = new JobKey(q.name(), h.id);
        Submission s = h.job;
        JobSpec spec = new JobSpec(
                key, q.service(), s.text(), s.steps(), s.repeat(), q.policy(), wall.millis(), a.workspace());
        // The commit requires the configuration that was checked, so no entry accepts a job under an outdated one.
        long admittedRevision = configuration.revision();
        StoreCommit.Builder commit = StoreCommit.builder().when(records.configurationKey(), admittedRevision);
        locator.reserve(commit, q, key, attempt.unused);
        commit.put(SchedulerKeys.job(q.service(), key), RecordCodec.write(spec));
        return store.commit(commit.build())
                .thenComposeAsync(
                        r -> {
                            boolean keyMustBeRechecked =
                                    a.usesKey() && r.revisionOf(records.configurationKey()) != admittedRevision;
                            return r.outcome() != CommitResult.Outcome.CONFLICT || keyMustBeRechecked
                                    ? onCommitted(h, r, attempt)
                                    : onConflict(h, a, q, r, attempt);
                        },
                        loop::execute);
    }

    /** Returns the outcome for a job that is stored already, at whichever service; otherwise tries again. */
    private CompletableFuture<SubmitOutcome> onConflict(
            PendingSubmission h, Admission a, QueueConfig q, CommitResult r, Attempt attempt) {
        JobKey key = new JobKey(q.name(), h.id);
        Optional<LocatedJob> conflicting = locator.conflictingJob(r, q, key);
        if (conflicting.isPresent()) {
            return outcomeOfRepeated(a, q, key, conflicting.get());
        }
        StoreItem location = r.itemOf(SchedulerKeys.location(key)).orElse(null);
        boolean isCancelled = location != null
                && JobLocator.cancelledId(location)
                        .filter(m -> m.appliesTo(a.workspace()))
                        .isPresent();
        if (isCancelled) {
            // No earlier attempt has stored the job, because the mark requires that no job has the id, and none will.
            Log.info("accept-refused", "job", h.id, "why", "the id was cancelled");
            return CompletableFuture.completedFuture(SubmitOutcome.CANCELLED);
        }
        if (location != null && location.revision() != attempt.unused.location()) {
            return locator.jobAt(location, key)
                    .thenComposeAsync(
                            job -> job.map(j -> outcomeOfRepeated(a, q, key, j))
                                    .orElseGet(() -> onCommitted(h, r, attempt.replacingLocation(location))),
                            loop::execute)
                    .exceptionally(why -> undecided(h, why));
        }
        if (locator.conflictsWithOtherQueue(r, q, key)) {
            return CompletableFuture.completedFuture(idInOtherQueue(h, q, attempt));
        }
        StoreItem callerId =
                r.itemOf(SchedulerKeys.callerId(q.service(), key.id())).orElse(null);
        if (callerId == null || callerId.revision() == attempt.unused.callerId()) {
            return onCommitted(h, r, attempt);
        }
        return locator.jobOfCallerId(callerId, q.service(), key.id())
                .thenComposeAsync(
                        job -> job.isPresent()
                                ? CompletableFuture.completedFuture(idInOtherQueue(h, q, attempt))
                                : onCommitted(h, r, attempt.replacingCallerId(callerId)),
                        loop::execute)
                .exceptionally(why -> undecided(h, why));
    }

    private static SubmitOutcome undecided(PendingSubmission h, Throwable why) {
        Log.info("accept-undecided", "job", h.id, "why", StoreFailure.text(why));
        return SubmitOutcome.UNKNOWN;
    }

    private static SubmitOutcome idInOtherQueue(PendingSubmission h, QueueConfig q, Attempt attempt) {
        Log.info("accept-refused", "job", h.id, "service", q.service(), "why", "the id is in use in another queue");
        return attempt.outcomeOrUnknown(SubmitOutcome.ID_IN_OTHER_QUEUE);
    }

    private CompletableFuture<SubmitOutcome> outcomeOfRepeated(Admission a, QueueConfig q, JobKey key, LocatedJob job) {
        if (!job.service().equals(q.service())) {
            Log.info("accepted-before", "job", key.id(), "service", job.service(), "queue-service", q.service());
        }
        return JobAccess.read(store, a, key, job).thenApply(JobAccess::submitOutcome);
    }

    private CompletableFuture<SubmitOutcome> onCommitted(PendingSubmission h, CommitResult r, Attempt attempt) {
        if (r.outcome() == CommitResult.Outcome.MADE) {
            return CompletableFuture.completedFuture(SubmitOutcome.ACCEPTED);
        }
        Attempt next = attempt.next(attempt.mayBeWritten || r.outcome() == CommitResult.Outcome.UNKNOWN);
        boolean tooLong = loop.clock().millis() >= h.deadlineMillis;
        boolean refused = r.outcome() == CommitResult.Outcome.REFUSED && !next.mayBeWritten;
        if (tooLong || next.number > MAX_ATTEMPTS || refused) {
            Log.info("accept-undecided", "job", h.id, "outcome", r.outcome(), "attempt", attempt.number);
            return CompletableFuture.completedFuture(next.outcomeOrUnknown(SubmitOutcome.NOT_TAKEN));
        }
        CompletableFuture<Optional<JobConfiguration>> newest = r.outcome() == CommitResult.Outcome.CONFLICT
                ? configuration.refresh()
                : CompletableFuture.completedFuture(configuration.current());
        return newest.thenComposeAsync(
                        c -> c.map(f -> accept(h, f.admit(h.request), next))
                                .orElseGet(() -> CompletableFuture.completedFuture(
                                        next.outcomeOrUnknown(SubmitOutcome.NO_QUEUE))),
                        loop::execute)
                .exceptionally(why -> {
                    Log.info("accept-undecided", "job", h.id, "why", StoreFailure.text(why), "attempt", attempt.number);
                    return next.outcomeOrUnknown(SubmitOutcome.NOT_TAKEN);
                });
    }

    /** Returns the state of a job; a job of another workspace is reported as nonexistent. */
    public CompletableFuture<JobAnswer> state(Admission a, String id) {
        QueueConfig q = Objects.requireNonNull(a.queue(), "the request was not admitted");
        JobKey key = new JobKey(q.name(), id);
        return locator.search(q, key, service -> stateAt(a, service, key))
                .thenApply(found -> found.orElse(JobAnswer.NO_JOB))
                .exceptionally(why -> {
                    Log.info("state-unknown", "job", id, "why", StoreFailure.text(why));
                    return JobAnswer.UNKNOWN;
                });
    }

    private CompletableFuture<Optional<JobAnswer>> stateAt(Admission a, String service, JobKey key) {
        return store.read(SchedulerKeys.progress(service, key))
                .thenComposeAsync(
                        p -> p.isPresent()
                                ? CompletableFuture.completedFuture(Optional.of(stateOf(a, p.get())))
                                : store.read(SchedulerKeys.job(service, key))
                                        .thenApply(job -> job.map(j -> stateWithoutProgress(a, j))),
                        loop::execute);
    }

    private static JobAnswer stateWithoutProgress(Admission a, StoreItem job) {
        if (job.value().equals(JobSpec.FINISHED_MARKER)) {
            return JobAnswer.of(JobState.QUEUED);
        }
        return job.read(JobSpec.class)
                .map(s -> a.canAccess(s.workspace()) ? JobAnswer.of(JobState.QUEUED) : JobAnswer.NO_JOB)
                .getOrElse(JobAnswer.UNKNOWN);
    }

    /** Returns an unknown state for a job with unreadable progress, since any definite state could be wrong. */
    private static JobAnswer stateOf(Admission a, StoreItem progress) {
        return progress.read(JobProgress.class)
                .map(p -> a.canAccess(p.workspace()) ? JobAnswer.of(p.state()) : JobAnswer.NO_JOB)
                .peekLeft(why -> Log.info("state-unreadable", "key", progress.key(), "why", why))
                .getOrElse(JobAnswer.UNKNOWN);
    }

    /** Cancels a job. The answer tells whether the job exists, and is known only once the cancellation is durable. */
    public CompletableFuture<JobAnswer> cancel(Admission a, String id) {
        QueueConfig q = Objects.requireNonNull(a.queue(), "the request was not admitted");
        return canceller.cancel(a, q, new JobKey(q.name(), id));
    }

    /** Counts the accepted jobs of a queue that have not started; empty if the store cannot be read. */
    public CompletableFuture<OptionalInt> pending(QueueConfig q) {
        return pendingJobs.count(q).thenApply(OptionalInt::of).exceptionally(why -> {
            Log.info("pending-unknown", "queue", q.name(), "why", StoreFailure.text(why));
            return OptionalInt.empty();
        });
    }
}
