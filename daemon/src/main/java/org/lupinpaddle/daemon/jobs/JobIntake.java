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

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.capacity.ServiceReport;
import org.lupinpaddle.core.common.Clock;
import org.lupinpaddle.core.common.RecordCodec;
import org.lupinpaddle.core.common.Unreadable;
import org.lupinpaddle.core.job.JobKey;
import org.lupinpaddle.core.job.JobProgress;
import org.lupinpaddle.core.job.JobSpec;
import org.lupinpaddle.core.job.JobState;
import org.lupinpaddle.core.job.SchedulerKeys;
import org.lupinpaddle.core.job.Submission;
import org.lupinpaddle.core.queue.Admission;
import org.lupinpaddle.core.queue.CallerRequest;
import org.lupinpaddle.core.queue.JobConfiguration;
import org.lupinpaddle.core.queue.QueueConfig;
import org.lupinpaddle.core.queue.ServiceConfig;
import org.lupinpaddle.daemon.common.EventLoop;
import org.lupinpaddle.daemon.common.Log;
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
    // A reported count may be 2 s old; reading a large queue takes part of that time.
    private static final long COUNT_CACHE_MILLIS = 800;

    private final KeyValueStore store;
    private final EventLoop loop;
    private final PlatformRecords records;
    private final ConfigurationFeed configuration;
    private final Clock wall;
    private final BooleanSupplier storeReached;
    /** Counts by queue, for as long as they may be reported. */
    private final Map<String, CachedCount> cachedCounts = new HashMap<>();

    private record CachedCount(long startedAt, CompletableFuture<OptionalInt> count) {}

    JobIntake(
            KeyValueStore store,
            EventLoop loop,
            PlatformRecords records,
            ConfigurationFeed configuration,
            Clock wall,
            BooleanSupplier storeReached) {
        this.store = store;
        this.loop = loop;
        this.records = records;
        this.configuration = configuration;
        this.wall = wall;
        this.storeReached = storeReached;
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
        // Cordons are checked only here, before the first write: a job that may be stored is never rejected.
        return admit(request)
                .thenCompose(a -> configuration.areAllHallsCordoned() ? outcomeIfStored(h, a) : accept(h, a, 1, false))
                .exceptionally(why -> {
                    Log.info("accept-refused", "job", id, "why", StoreFailure.text(why));
                    return SubmitOutcome.NOT_TAKEN;
                });
    }

    /**
     * Returns the outcome of a submission while all halls are cordoned: a job that is already stored keeps its outcome,
     * and no other is stored. The read replaces the commit of an accepted submission, so it costs no additional call.
     */
    private CompletableFuture<SubmitOutcome> outcomeIfStored(PendingSubmission h, Admission a) {
        QueueConfig q = a.queue();
        if (q == null) {
            return CompletableFuture.completedFuture(refusal(a));
        }
        JobKey key = new JobKey(q.name(), h.id);
        return store.read(SchedulerKeys.job(q.service(), key))
                .thenComposeAsync(
                        job -> job.map(j -> outcomeOfStored(h, a, q, j)).orElseGet(() -> {
                            Log.info("accept-refused", "job", h.id, "why", "all halls are cordoned");
                            return CompletableFuture.completedFuture(SubmitOutcome.ALL_HALLS_CORDONED);
                        }),
                        loop::execute);
    }

    private CompletableFuture<SubmitOutcome> outcomeOfStored(
            PendingSubmission h, Admission a, QueueConfig q, StoreItem job) {
        // No commit checks the configuration here, so a key is checked against the newest one.
        CompletableFuture<Admission> newest =
                a.usesKey() ? refreshAndAdmit(h.request) : CompletableFuture.completedFuture(a);
        return newest.thenCompose(n -> n.isAdmitted()
                ? jobAccess(n, q.service(), new JobKey(q.name(), h.id), job).thenApply(access -> access.submitOutcome)
                : CompletableFuture.completedFuture(refusal(n)));
    }

    private static SubmitOutcome refusal(Admission a) {
        return a.outcome() == Admission.Outcome.UNKNOWN_KEY ? SubmitOutcome.UNKNOWN_KEY : SubmitOutcome.NO_QUEUE;
    }

    /** A submission whose outcome is not yet known. */
    private record PendingSubmission(CallerRequest request, String id, Submission job, long deadlineMillis) {}

    private CompletableFuture<SubmitOutcome> accept(
            PendingSubmission h, Admission a, int attempt, boolean mayBeWritten) {
        QueueConfig q = a.queue();
        if (q == null) {
            return CompletableFuture.completedFuture(mayBeWritten ? SubmitOutcome.UNKNOWN : refusal(a));
        }
        JobKey key = new JobKey(q.name(), h.id);
        String at = SchedulerKeys.job(q.service(), key);
        Submission s = h.job;
        JobSpec spec = new JobSpec(
                key, q.service(), s.text(), s.steps(), s.repeat(), q.policy(), wall.millis(), a.workspace());
        // The commit requires the configuration that was checked, so no entry accepts a job under an outdated one.
        StoreCommit commit = StoreCommit.builder()
                .when(records.configurationKey(), configuration.revision())
                .when(at, 0)
                .put(at, RecordCodec.write(spec))
                .build();
        long admittedRevision = configuration.revision();
        return store.commit(commit)
                .thenComposeAsync(
                        r -> {
                            StoreItem existing = itemAt(at, r);
                            boolean keyMustBeRechecked =
                                    a.usesKey() && r.revisionOf(records.configurationKey()) != admittedRevision;
                            return existing == null || keyMustBeRechecked
                                    ? onCommitted(h, r, attempt, mayBeWritten)
                                    : jobAccess(a, q.service(), key, existing)
                                            .thenApply(access -> access.submitOutcome);
                        },
                        loop::execute);
    }

    private static @Nullable StoreItem itemAt(String key, CommitResult r) {
        return r.current().stream().filter(i -> i.key().equals(key)).findFirst().orElse(null);
    }

    private CompletableFuture<SubmitOutcome> onCommitted(
            PendingSubmission h, CommitResult r, int attempt, boolean mayBeWritten) {
        boolean unknown = mayBeWritten || r.outcome() == CommitResult.Outcome.UNKNOWN;
        if (r.outcome() == CommitResult.Outcome.MADE) {
            return CompletableFuture.completedFuture(SubmitOutcome.ACCEPTED);
        }
        boolean tooLong = loop.clock().millis() >= h.deadlineMillis;
        if (tooLong || attempt >= MAX_ATTEMPTS || (r.outcome() == CommitResult.Outcome.REFUSED && !unknown)) {
            Log.info("accept-undecided", "job", h.id, "outcome", r.outcome(), "attempt", attempt);
            return CompletableFuture.completedFuture(unknown ? SubmitOutcome.UNKNOWN : SubmitOutcome.NOT_TAKEN);
        }
        CompletableFuture<Optional<JobConfiguration>> newest = r.outcome() == CommitResult.Outcome.CONFLICT
                ? configuration.refresh()
                : CompletableFuture.completedFuture(configuration.current());
        return newest.thenComposeAsync(
                        c -> c.map(f -> accept(h, f.admit(h.request), attempt + 1, unknown))
                                .orElseGet(() -> CompletableFuture.completedFuture(
                                        unknown ? SubmitOutcome.UNKNOWN : SubmitOutcome.NO_QUEUE)),
                        loop::execute)
                .exceptionally(why -> {
                    Log.info("accept-undecided", "job", h.id, "why", StoreFailure.text(why), "attempt", attempt);
                    return unknown ? SubmitOutcome.UNKNOWN : SubmitOutcome.NOT_TAKEN;
                });
    }

    /** Returns the state of a job; a job of another workspace is reported as nonexistent. */
    public CompletableFuture<JobAnswer> state(Admission a, String id) {
        QueueConfig q = Objects.requireNonNull(a.queue(), "the request was not admitted");
        return stateIn(a, services(q), 0, new JobKey(q.name(), id)).exceptionally(why -> {
            Log.info("state-unknown", "job", id, "why", StoreFailure.text(why));
            return JobAnswer.UNKNOWN;
        });
    }

    /**
     * Lists the queue's current service first. A job stays with the service that its queue had when the job was
     * accepted.
     */
    private List<String> services(QueueConfig q) {
        Set<String> all = new LinkedHashSet<>();
        all.add(q.service());
        configuration
                .current()
                .ifPresent(c -> c.services().stream().map(ServiceConfig::name).forEach(all::add));
        return new ArrayList<>(all);
    }

    private CompletableFuture<JobAnswer> stateIn(Admission a, List<String> services, int index, JobKey key) {
        if (index == services.size()) {
            return CompletableFuture.completedFuture(JobAnswer.NO_JOB);
        }
        String service = services.get(index);
        return store.read(SchedulerKeys.progress(service, key))
                .thenComposeAsync(
                        p -> p.isPresent()
                                ? CompletableFuture.completedFuture(stateOf(a, p.get()))
                                : queuedIn(a, services, index, key),
                        loop::execute);
    }

    private CompletableFuture<JobAnswer> queuedIn(Admission a, List<String> services, int index, JobKey key) {
        return store.read(SchedulerKeys.job(services.get(index), key))
                .thenComposeAsync(
                        j -> j.isPresent()
                                ? CompletableFuture.completedFuture(stateWithoutProgress(a, j.get()))
                                : stateIn(a, services, index + 1, key),
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
        return cancelIn(a, services(q), 0, new JobKey(q.name(), id)).exceptionally(why -> {
            Log.info("cancel-unknown", "job", id, "why", StoreFailure.text(why));
            return JobAnswer.UNKNOWN;
        });
    }

    private CompletableFuture<JobAnswer> cancelIn(Admission a, List<String> services, int index, JobKey key) {
        if (index == services.size()) {
            return CompletableFuture.completedFuture(JobAnswer.NO_JOB);
        }
        String service = services.get(index);
        return store.read(SchedulerKeys.job(service, key))
                .thenComposeAsync(
                        j -> j.isPresent()
                                ? cancelIfAccessible(a, service, key, j.get())
                                : cancelIn(a, services, index + 1, key),
                        loop::execute);
    }

    private CompletableFuture<JobAnswer> cancelIfAccessible(Admission a, String service, JobKey key, StoreItem job) {
        return jobAccess(a, service, key, job)
                .thenComposeAsync(access -> access.cancel(this, service, key), loop::execute);
    }

    /** Whether a caller may access an existing job, and the resulting answers. */
    private enum JobAccess {
        ACCESSIBLE(SubmitOutcome.ACCEPTED) {
            @Override
            CompletableFuture<JobAnswer> cancel(JobIntake intake, String service, JobKey key) {
                return intake.writeCancel(service, key, 1);
            }
        },
        OTHER_WORKSPACE(SubmitOutcome.ID_TAKEN) {
            @Override
            CompletableFuture<JobAnswer> cancel(JobIntake intake, String service, JobKey key) {
                return CompletableFuture.completedFuture(JobAnswer.NO_JOB);
            }
        },
        /** The job's workspace cannot be determined because its records are unreadable or missing. */
        UNKNOWN(SubmitOutcome.UNKNOWN) {
            @Override
            CompletableFuture<JobAnswer> cancel(JobIntake intake, String service, JobKey key) {
                return CompletableFuture.completedFuture(JobAnswer.UNKNOWN);
            }
        };

        /** The answer to a submission that reuses the job's id. */
        private final SubmitOutcome submitOutcome;

        JobAccess(SubmitOutcome submitOutcome) {
            this.submitOutcome = submitOutcome;
        }

        abstract CompletableFuture<JobAnswer> cancel(JobIntake intake, String service, JobKey key);

        static JobAccess of(Admission a, @Nullable String workspace) {
            return a.canAccess(workspace) ? ACCESSIBLE : OTHER_WORKSPACE;
        }
    }

    /** Reads the workspace from the job's progress if its record, which is reduced after its end, does not name it. */
    private CompletableFuture<JobAccess> jobAccess(Admission a, String service, JobKey key, StoreItem job) {
        if (!a.usesKey()) {
            return CompletableFuture.completedFuture(JobAccess.ACCESSIBLE);
        }
        Either<Unreadable, JobSpec> spec = job.read(JobSpec.class);
        if (spec.isRight()) {
            return CompletableFuture.completedFuture(JobAccess.of(a, spec.get().workspace()));
        }
        return store.read(SchedulerKeys.progress(service, key))
                .thenApply(p -> p.map(i -> i.read(JobProgress.class)
                                .fold(
                                        unreadable -> JobAccess.UNKNOWN,
                                        progress -> JobAccess.of(a, progress.workspace())))
                        .orElse(JobAccess.UNKNOWN));
    }

    private CompletableFuture<JobAnswer> writeCancel(String service, JobKey key, int attempt) {
        StoreCommit commit = StoreCommit.builder()
                .put(SchedulerKeys.cancel(service, key), key.toString())
                .build();
        return store.commit(commit)
                .thenComposeAsync(
                        r -> {
                            if (r.outcome() == CommitResult.Outcome.MADE) {
                                return CompletableFuture.completedFuture(JobAnswer.of(JobState.CANCELLED));
                            }
                            return attempt < MAX_ATTEMPTS
                                    ? writeCancel(service, key, attempt + 1)
                                    : CompletableFuture.completedFuture(JobAnswer.UNKNOWN);
                        },
                        loop::execute);
    }

    /** Counts the accepted jobs of a queue that have not started; empty if the store cannot be read. */
    public CompletableFuture<OptionalInt> pending(QueueConfig q) {
        return store.read(SchedulerKeys.owner(q.service()))
                .thenComposeAsync(
                        owner -> owner.map(o -> pendingFromReport(q, o)).orElseGet(() -> pendingFromStore(q)),
                        loop::execute)
                .exceptionally(why -> {
                    Log.info("pending-unknown", "queue", q.name(), "why", StoreFailure.text(why));
                    return OptionalInt.empty();
                });
    }

    /**
     * Uses the owner's report unless it is older than the ownership: such a report is an earlier owner's, and the new
     * owner is still reading the stored jobs.
     */
    private CompletableFuture<OptionalInt> pendingFromReport(QueueConfig q, StoreItem owner) {
        return store.read(SchedulerKeys.report(q.service()))
                .thenComposeAsync(
                        item -> item.filter(i -> i.revision() > owner.revision())
                                .flatMap(i -> i.read(ServiceReport.class).toJavaOptional())
                                .map(r -> CompletableFuture.completedFuture(pendingIn(q, r)))
                                .orElseGet(() -> pendingFromStore(q)),
                        loop::execute);
    }

    private static OptionalInt pendingIn(QueueConfig q, ServiceReport report) {
        return OptionalInt.of(report.pendingByQueue().getOrDefault(q.name(), 0));
    }

    /**
     * Counts from the store. Concurrent callers share a read while it is in progress and its result for some time
     * afterwards.
     */
    private CompletableFuture<OptionalInt> pendingFromStore(QueueConfig q) {
        CachedCount known = cachedCounts.get(q.name());
        boolean fresh = known != null
                && (!known.count.isDone() || loop.clock().millis() - known.startedAt <= COUNT_CACHE_MILLIS);
        if (known != null && fresh) {
            return known.count;
        }
        CachedCount next = new CachedCount(loop.clock().millis(), readCount(q));
        cachedCounts.put(q.name(), next);
        return next.count;
    }

    /** Counts the jobs without progress; these are the pending ones, since no job starts without an owner. */
    private CompletableFuture<OptionalInt> readCount(QueueConfig q) {
        String jobPrefix = SchedulerKeys.job(q.service(), new JobKey(q.name(), ""));
        String progressPrefix = SchedulerKeys.progress(q.service(), new JobKey(q.name(), ""));
        return store.range(jobPrefix).thenCombine(store.range(progressPrefix), (j, p) -> {
            Map<String, Boolean> known = new HashMap<>();
            p.items().forEach(i -> known.put(i.key().substring(progressPrefix.length()), true));
            long waiting = j.items().stream()
                    .filter(i -> !i.value().equals(JobSpec.FINISHED_MARKER))
                    .filter(i -> !known.containsKey(i.key().substring(jobPrefix.length())))
                    .count();
            return OptionalInt.of((int) waiting);
        });
    }
}
