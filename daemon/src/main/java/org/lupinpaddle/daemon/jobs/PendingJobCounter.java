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
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.capacity.ServiceReport;
import org.lupinpaddle.core.job.JobKey;
import org.lupinpaddle.core.job.JobSpec;
import org.lupinpaddle.core.job.SchedulerKeys;
import org.lupinpaddle.core.queue.JobConfiguration;
import org.lupinpaddle.core.queue.QueueConfig;
import org.lupinpaddle.daemon.common.EventLoop;
import org.lupinpaddle.daemon.port.KeyValueStore;
import org.lupinpaddle.daemon.port.StoreItem;
import org.lupinpaddle.daemon.port.StoreRange;

/**
 * Counts the accepted jobs of a queue that have not started. A job stays with the service that its queue had when the
 * job was accepted, so the jobs of all services count.
 */
final class PendingJobCounter {

    // A reported count may be 2 s old; reading a large queue takes part of that time.
    private static final long COUNT_CACHE_MILLIS = 800;

    private final KeyValueStore store;
    private final EventLoop loop;
    private final ConfigurationFeed configuration;
    /** Counts from the store by prefix of the jobs' keys, for as long as they may be reported. */
    private final Map<String, CachedCount> cachedCounts = new HashMap<>();

    private record CachedCount(long startedAt, CompletableFuture<Integer> count) {}

    PendingJobCounter(KeyValueStore store, EventLoop loop, ConfigurationFeed configuration) {
        this.store = store;
        this.loop = loop;
        this.configuration = configuration;
    }

    /** Counts the pending jobs of a queue; the future fails if the store cannot be read. */
    CompletableFuture<Integer> count(QueueConfig q) {
        return store.range(SchedulerKeys.owners())
                .thenCombineAsync(
                        store.range(SchedulerKeys.reports()),
                        (owners, reports) -> sum(counts(q, owners, reports)),
                        loop::execute)
                .thenCompose(total -> total);
    }

    private List<CompletableFuture<Integer>> counts(QueueConfig q, StoreRange owners, StoreRange reports) {
        Map<String, StoreItem> reportByService = new HashMap<>();
        reports.items().forEach(i -> SchedulerKeys.reportOf(i.key()).ifPresent(s -> reportByService.put(s, i)));
        Set<String> services = new TreeSet<>(reportByService.keySet());
        services.add(q.service());
        configuration.current().map(JobConfiguration::runningServices).ifPresent(services::addAll);
        List<CompletableFuture<Integer>> counts = new ArrayList<>();
        for (String s : services) {
            long ownedSince = owners.items().stream()
                    .filter(i -> i.key().equals(SchedulerKeys.owner(s)))
                    .mapToLong(StoreItem::revision)
                    .findFirst()
                    .orElse(Long.MAX_VALUE);
            counts.add(countAt(s, q, reportByService.get(s), ownedSince));
        }
        return counts;
    }

    /**
     * Uses the owner's report unless it is older than the ownership: such a report is an earlier owner's, and the new
     * owner is still reading the stored jobs.
     */
    private CompletableFuture<Integer> countAt(
            String service, QueueConfig q, @Nullable StoreItem report, long ownedSince) {
        if (report == null || report.revision() <= ownedSince) {
            return countStored(service, q);
        }
        return report.read(ServiceReport.class)
                .map(r -> CompletableFuture.completedFuture(r.pendingByQueue().getOrDefault(q.name(), 0)))
                .getOrElse(() -> countStored(service, q));
    }

    private static CompletableFuture<Integer> sum(List<CompletableFuture<Integer>> counts) {
        CompletableFuture<Integer> total = CompletableFuture.completedFuture(0);
        for (CompletableFuture<Integer> c : counts) {
            total = total.thenCombine(c, Integer::sum);
        }
        return total;
    }

    /**
     * Counts from the store. Concurrent callers share a read while it is in progress and its result for some time
     * afterwards.
     */
    private CompletableFuture<Integer> countStored(String service, QueueConfig q) {
        String jobPrefix = SchedulerKeys.job(service, new JobKey(q.name(), ""));
        CachedCount known = cachedCounts.get(jobPrefix);
        boolean fresh = known != null
                && (!known.count.isDone() || loop.clock().millis() - known.startedAt <= COUNT_CACHE_MILLIS);
        if (known != null && fresh) {
            return known.count;
        }
        String progressPrefix = SchedulerKeys.progress(service, new JobKey(q.name(), ""));
        CachedCount next = new CachedCount(loop.clock().millis(), readCount(jobPrefix, progressPrefix));
        cachedCounts.put(jobPrefix, next);
        return next.count;
    }

    /** Counts the jobs without progress; these are the pending ones, since no job starts without an owner. */
    private CompletableFuture<Integer> readCount(String jobPrefix, String progressPrefix) {
        return store.range(jobPrefix).thenCombine(store.range(progressPrefix), (jobs, progress) -> {
            Set<String> known = new HashSet<>();
            progress.items().forEach(i -> known.add(i.key().substring(progressPrefix.length())));
            long waiting = jobs.items().stream()
                    .filter(i -> !i.value().equals(JobSpec.FINISHED_MARKER))
                    .filter(i -> !known.contains(i.key().substring(jobPrefix.length())))
                    .count();
            return (int) waiting;
        });
    }
}
