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

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.job.JobKey;
import org.lupinpaddle.core.job.JobProgress;
import org.lupinpaddle.core.job.SchedulerKeys;
import org.lupinpaddle.daemon.common.EventLoop;
import org.lupinpaddle.daemon.jobs.UnreadableEntries.Kind;
import org.lupinpaddle.daemon.port.StoreItem;
import org.lupinpaddle.daemon.port.StoreRange;

/**
 * The jobs of a service that are stored but not yet known to this owner's scheduler: their progress under earlier
 * owners, and the finished ones. Records of finished jobs are removed once nobody may ask for them any more.
 */
final class RecoveredJobs {

    // Callers may ask for a job until 120 s after its end.
    /** How long the records of a finished job are kept, in milliseconds. */
    static final long RETENTION_MILLIS = 130_000;
    // Each job has five keys, and a store call accepts 32 rows, one of them for the ownership.
    private static final int JOBS_PER_REMOVAL = 6;

    private final FencedRecordWriter records;
    private final EventLoop loop;
    private final String service;
    private final UnreadableEntries unreadable;
    private final Map<JobKey, JobProgress> progress = new HashMap<>();
    /** Finished jobs, and when their records may be removed. */
    private final Map<JobKey, Long> finished = new HashMap<>();

    /** Jobs whose stored progress this version cannot read. */
    private final Set<JobKey> unreadableJobs = new HashSet<>();

    RecoveredJobs(FencedRecordWriter records, EventLoop loop, String service, UnreadableEntries unreadable) {
        this.records = records;
        this.loop = loop;
        this.service = service;
        this.unreadable = unreadable;
    }

    /** Reads the progress of all jobs of the service. */
    void read(StoreRange all) {
        unreadable.retainOnly(SchedulerKeys.progress(service), all.items());
        all.items().forEach(i -> SchedulerKeys.progressOf(service, i.key()).ifPresent(job -> read(job, i)));
    }

    private void read(JobKey job, StoreItem i) {
        records.expectRevision(i.key(), i.revision());
        JobProgress p = unreadable.recordOrNull(Kind.PROGRESS, i, item -> item.read(JobProgress.class));
        if (p == null) {
            unreadableJobs.add(job);
        } else {
            progress.put(job, p);
            p.unreadableOptionalField()
                    .ifPresent(why -> unreadable.markUnreadable(
                            new UnreadableEntries.Entry(Kind.PROGRESS, i.key(), i.revision(), why)));
        }
    }

    /**
     * Returns whether a job has unreadable progress. Parts or all of it may have run, so it must neither be started
     * as a new job nor be overwritten.
     */
    boolean isUnreadable(JobKey job) {
        return unreadableJobs.contains(job);
    }

    /** Returns the number of jobs whose progress has not been taken yet. */
    int unclaimedCount() {
        return progress.size();
    }

    /** Returns how many of the jobs counted by {@link #unclaimedCount} are finished. */
    long finishedCount() {
        return progress.values().stream().filter(JobProgress::finished).count();
    }

    /** Removes and returns a job's progress; null if none is known. */
    @Nullable
    JobProgress takeProgress(JobKey job) {
        return progress.remove(job);
    }

    /**
     * Returns whether a job is finished. Most recent jobs are, and reading all of their specs would delay a
     * take-over.
     */
    boolean isFinished(JobKey job) {
        JobProgress p = progress.get(job);
        if (p != null && p.finished()) {
            progress.remove(job);
            finished.put(job, loop.clock().millis() + RETENTION_MILLIS);
        }
        return finished.containsKey(job);
    }

    /** Removes the records of the given jobs and of all others whose retention time has passed. */
    void removeExpired(Collection<JobKey> ended) {
        long now = loop.clock().millis();
        ended.forEach(j -> finished.put(j, now));
        List<JobKey> due = finished.entrySet().stream()
                .filter(e -> e.getValue() <= now)
                .map(Map.Entry::getKey)
                .toList();
        for (int i = 0; i < due.size(); i += JOBS_PER_REMOVAL) {
            List<JobKey> batch = due.subList(i, Math.min(due.size(), i + JOBS_PER_REMOVAL));
            // Until the records are certainly removed, reading them again must not create new jobs.
            records.remove(batch.stream().flatMap(this::keysOf).toList(), () -> batch.forEach(finished::remove));
        }
    }

    private Stream<String> keysOf(JobKey job) {
        return Stream.of(
                SchedulerKeys.location(job),
                SchedulerKeys.callerId(service, job.id()),
                SchedulerKeys.job(service, job),
                SchedulerKeys.cancel(service, job),
                SchedulerKeys.progress(service, job));
    }
}
