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

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.stream.Stream;
import org.lupinpaddle.core.job.CancelledId;
import org.lupinpaddle.core.job.JobKey;
import org.lupinpaddle.core.job.SchedulerKeys;
import org.lupinpaddle.core.queue.QueueConfig;
import org.lupinpaddle.core.queue.ServiceConfig;
import org.lupinpaddle.daemon.common.EventLoop;
import org.lupinpaddle.daemon.port.CommitResult;
import org.lupinpaddle.daemon.port.KeyValueStore;
import org.lupinpaddle.daemon.port.StoreCommit;
import org.lupinpaddle.daemon.port.StoreItem;

/**
 * Finds jobs in the store whatever the current configuration says. A job stays with the service that its queue had when
 * the job was accepted. The commit that stores a job also writes its location, which names that service, on condition
 * that the id has none yet. Jobs stored by a release without locations are found at the configured services.
 */
final class JobLocator {

    // A store call accepts 32 rows. Up to six are for the configuration, the location, the caller id, and the values of
    // the
    // location, the caller id and the job.
    private static final int MAX_JOBS_PER_COMMIT = 26;

    private final KeyValueStore store;
    private final EventLoop loop;
    private final ConfigurationFeed configuration;

    /**
     * A job's stored record.
     *
     * @param service the service that the job belongs to
     * @param item the record
     */
    record LocatedJob(String service, StoreItem item) {}

    JobLocator(KeyValueStore store, EventLoop loop, ConfigurationFeed configuration) {
        this.store = store;
        this.loop = loop;
        this.configuration = configuration;
    }

    /**
     * Adds the location and the caller id of a new job to the commit that stores it, with the conditions that the id is in
     * use neither in the queue nor in another queue of the service. The commit must also require the configuration that
     * assigns the queue to its service: under one configuration, jobs of a queue are added at a single service only.
     *
     * @param unused the revisions of a location and a caller id without a job, which are replaced
     */
    void reserve(StoreCommit.Builder commit, QueueConfig q, JobKey key, UnusedKeys unused) {
        commit.when(SchedulerKeys.location(key), unused.location);
        commit.when(SchedulerKeys.callerId(q.service(), key.id()), unused.callerId);
        // Jobs of a release without locations or caller ids are found by their records, as far as the conditions fit.
        requireAbsent(commit, Stream.concat(jobRecords(q, key), otherQueues(q, key)));
        commit.put(SchedulerKeys.location(key), q.service());
        commit.put(SchedulerKeys.callerId(q.service(), key.id()), q.name());
    }

    /**
     * Adds the conditions that no job has the id in the queue.
     *
     * @param location the revision of a location without a job; 0 if there is none
     */
    void requireNoJob(StoreCommit.Builder commit, QueueConfig q, JobKey key, long location) {
        commit.when(SchedulerKeys.location(key), location);
        requireAbsent(commit, jobRecords(q, key));
    }

    private static void requireAbsent(StoreCommit.Builder commit, Stream<String> jobRecords) {
        jobRecords.limit(MAX_JOBS_PER_COMMIT).forEach(record -> commit.when(record, 0));
    }

    /** Returns the keys of the records that the job may have at the configured services. */
    private Stream<String> jobRecords(QueueConfig q, JobKey key) {
        return services(q).stream().map(s -> SchedulerKeys.job(s, key));
    }

    /** Returns the mark of a cancelled id that takes the place of a location; empty if the item is a location. */
    static Optional<CancelledId> cancelledId(StoreItem location) {
        return location.isText() ? CancelledId.parse(location.value()) : Optional.empty();
    }

    /**
     * Reservations that refer to no job, because a release that does not know them has removed it.
     *
     * @param location the revision of the location; 0 if there is none
     * @param callerId the revision of the caller id; 0 if there is none
     */
    record UnusedKeys(long location, long callerId) {
        static final UnusedKeys NONE = new UnusedKeys(0, 0);
    }

    /** Returns the keys of the records that jobs with the same id would have in the other queues of the service. */
    private Stream<String> otherQueues(QueueConfig q, JobKey key) {
        return configuration.current().stream()
                .flatMap(c -> c.queues().stream())
                .filter(o -> o.service().equals(q.service()) && !o.name().equals(q.name()))
                .map(o -> SchedulerKeys.job(q.service(), new JobKey(o.name(), key.id())));
    }

    /** Returns the job whose record violated a condition of {@link #reserve}; empty if none did. */
    Optional<LocatedJob> conflictingJob(CommitResult r, QueueConfig q, JobKey key) {
        return services(q).stream()
                .flatMap(s -> r.itemOf(SchedulerKeys.job(s, key)).map(i -> new LocatedJob(s, i)).stream())
                .findFirst();
    }

    /** Returns whether the record of a job of another queue with the same id violated a condition of {@link #reserve}. */
    boolean conflictsWithOtherQueue(CommitResult r, QueueConfig q, JobKey key) {
        return otherQueues(q, key).anyMatch(record -> r.itemOf(record).isPresent());
    }

    /**
     * Reads the job that a caller id refers to. There is none if a release without caller ids removed the ended job. The
     * future fails if the caller id is unreadable.
     */
    CompletableFuture<Optional<LocatedJob>> jobOfCallerId(StoreItem callerId, String service, String id) {
        return callerId.isText() ? readJob(service, new JobKey(callerId.value(), id)) : unreadable(callerId);
    }

    /**
     * Reads the job that a location refers to. There is none if a release without locations removed the ended job.
     * The future fails if the location is unreadable.
     */
    CompletableFuture<Optional<LocatedJob>> jobAt(StoreItem location, JobKey key) {
        if (cancelledId(location).isPresent()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        return location.isText() ? readJob(location.value(), key) : unreadable(location);
    }

    /** Finds the record of a job. The future fails if a record that might show where it is cannot be read. */
    CompletableFuture<Optional<LocatedJob>> find(QueueConfig q, JobKey key) {
        return search(q, key, s -> readJob(s, key));
    }

    private CompletableFuture<Optional<LocatedJob>> readJob(String service, JobKey key) {
        return store.read(SchedulerKeys.job(service, key)).thenApply(job -> job.map(i -> new LocatedJob(service, i)));
    }

    /**
     * Searches one service after the other until {@code lookup} has a result: the queue's current service, the one
     * that the job's location names, and then all other configured ones.
     */
    <T> CompletableFuture<Optional<T>> search(
            QueueConfig q, JobKey key, Function<String, CompletableFuture<Optional<T>>> lookup) {
        return lookup.apply(q.service())
                .thenComposeAsync(
                        found -> found.isPresent()
                                ? CompletableFuture.completedFuture(found)
                                : searchElsewhere(q, key, lookup),
                        loop::execute);
    }

    private <T> CompletableFuture<Optional<T>> searchElsewhere(
            QueueConfig q, JobKey key, Function<String, CompletableFuture<Optional<T>>> lookup) {
        return store.read(SchedulerKeys.location(key))
                .thenComposeAsync(
                        location -> {
                            if (location.isPresent() && !location.get().isText()) {
                                return unreadable(location.get());
                            }
                            Set<String> others = new LinkedHashSet<>();
                            location.filter(l -> cancelledId(l).isEmpty()).ifPresent(l -> others.add(l.value()));
                            others.addAll(services(q));
                            others.remove(q.service());
                            return searchNext(List.copyOf(others), 0, lookup);
                        },
                        loop::execute);
    }

    private <T> CompletableFuture<Optional<T>> searchNext(
            List<String> services, int index, Function<String, CompletableFuture<Optional<T>>> lookup) {
        if (index == services.size()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        return lookup.apply(services.get(index))
                .thenComposeAsync(
                        found -> found.isPresent()
                                ? CompletableFuture.completedFuture(found)
                                : searchNext(services, index + 1, lookup),
                        loop::execute);
    }

    /** Returns the configured services, the queue's current one first. */
    private List<String> services(QueueConfig q) {
        Set<String> all = new LinkedHashSet<>();
        all.add(q.service());
        configuration
                .current()
                .ifPresent(c -> c.services().stream().map(ServiceConfig::name).forEach(all::add));
        return new ArrayList<>(all);
    }

    private static <T> CompletableFuture<T> unreadable(StoreItem reservation) {
        return CompletableFuture.failedFuture(
                new IllegalStateException("the job's reservation is unreadable: " + reservation.key()));
    }
}
