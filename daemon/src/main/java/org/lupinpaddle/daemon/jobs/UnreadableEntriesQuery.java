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
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.lupinpaddle.core.capacity.ServiceReport;
import org.lupinpaddle.core.common.Unreadable;
import org.lupinpaddle.core.fleet.RecentOrders;
import org.lupinpaddle.core.job.JobProgress;
import org.lupinpaddle.core.job.JobSpec;
import org.lupinpaddle.core.job.SchedulerKeys;
import org.lupinpaddle.core.upkeep.UpkeepRecord;
import org.lupinpaddle.daemon.port.KeyValueStore;
import org.lupinpaddle.daemon.port.PlatformRecords;
import org.lupinpaddle.daemon.port.StoreItem;

/**
 * Lists the entries of the store that are currently unreadable, one line each. Reads them from the store rather than
 * from this process's state.
 */
final class UnreadableEntriesQuery {

    private final KeyValueStore store;
    private final PlatformRecords records;
    private final Optional<CordonRecords> cordons;

    /**
     * Creates a query.
     *
     * @param cordons reads the cordons; empty if the deployment has none
     */
    UnreadableEntriesQuery(KeyValueStore store, PlatformRecords records, Optional<CordonRecords> cordons) {
        this.store = store;
        this.records = records;
        this.cordons = cordons;
    }

    /** Returns why an item is unreadable; empty if it is readable or not of the expected kind. */
    private interface Validator {
        Optional<Unreadable> validate(StoreItem i);
    }

    /** Lists unreadable entries of all kinds. */
    CompletableFuture<List<String>> all() {
        return check(records.configurationKey(), this::configuration)
                .thenCombine(check(records.workerPrefix(), i -> why(records.worker(i))), UnreadableEntriesQuery::concat)
                .thenCombine(ofCordons(), UnreadableEntriesQuery::concat)
                .thenCombine(check(records.wavePrefix(), i -> why(records.wave(i))), UnreadableEntriesQuery::concat)
                .thenCombine(
                        check(SchedulerKeys.fleet(), UnreadableEntriesQuery::ofFleet), UnreadableEntriesQuery::concat)
                .thenCombine(ofJobs(), UnreadableEntriesQuery::concat);
    }

    private CompletableFuture<List<String>> ofCordons() {
        return cordons.map(c -> check(c.prefix(), c::fault))
                .orElseGet(() -> CompletableFuture.completedFuture(List.of()));
    }

    /** Lists unreadable jobs and progress records; the schedulers leave such jobs alone. */
    CompletableFuture<List<String>> ofJobs() {
        return check(SchedulerKeys.allInputs(), UnreadableEntriesQuery::ofJob)
                .thenCombine(
                        check(SchedulerKeys.allProgress(), i -> why(i.read(JobProgress.class))),
                        UnreadableEntriesQuery::concat);
    }

    private CompletableFuture<List<String>> check(String prefix, Validator validator) {
        return store.range(prefix).thenApply(all -> {
            List<String> lines = new ArrayList<>();
            for (StoreItem i : all.items()) {
                validator
                        .validate(i)
                        .ifPresent(why -> lines.add(i.key() + "  unreadable: " + why + "  revision " + i.revision()));
            }
            return lines;
        });
    }

    private static List<String> concat(List<String> some, List<String> others) {
        List<String> all = new ArrayList<>(some);
        all.addAll(others);
        return all;
    }

    private static Optional<Unreadable> why(Either<Unreadable, ?> record) {
        return record.isLeft() ? Optional.of(record.getLeft()) : Optional.empty();
    }

    private Optional<Unreadable> configuration(StoreItem i) {
        return i.key().equals(records.configurationKey()) ? why(records.configuration(i)) : Optional.empty();
    }

    private static Optional<Unreadable> ofJob(StoreItem i) {
        boolean isJob = SchedulerKeys.jobOf(SchedulerKeys.serviceOfInput(i.key()), i.key())
                .isPresent();
        return isJob && !i.value().equals(JobSpec.FINISHED_MARKER) ? why(i.read(JobSpec.class)) : Optional.empty();
    }

    private static Optional<Unreadable> ofFleet(StoreItem i) {
        if (SchedulerKeys.isEvacuation(i.key())) {
            return why(EvacuationFeed.read(i));
        } else if (SchedulerKeys.reportOf(i.key()).isPresent()) {
            return why(i.read(ServiceReport.class));
        } else if (SchedulerKeys.upkeepOf(i.key()).isPresent()) {
            return why(i.read(UpkeepRecord.class));
        }
        return i.key().equals(SchedulerKeys.recentOrders()) ? why(i.read(RecentOrders.class)) : Optional.empty();
    }
}
