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

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.cordon.HallCordons;
import org.lupinpaddle.core.queue.JobConfiguration;
import org.lupinpaddle.core.queue.ServiceConfig;
import org.lupinpaddle.core.workspace.Workspaces;
import org.lupinpaddle.daemon.common.EventLoop;
import org.lupinpaddle.daemon.common.Log;
import org.lupinpaddle.daemon.jobs.UnreadableEntries.Kind;
import org.lupinpaddle.daemon.port.KeyValueStore;
import org.lupinpaddle.daemon.port.PlatformRecords;
import org.lupinpaddle.daemon.port.StoreChanges;
import org.lupinpaddle.daemon.port.StoreItem;

/**
 * Provides the operators' configuration and cordons in force at this entry. The configuration never moves backwards:
 * items with a revision older than the one in force are ignored.
 */
final class ConfigurationFeed implements PrefixWatch.Listener, AutoCloseable {

    // Must exceed the age that the latest answer of an idle watch reaches, which is twice the watch timeout.
    static final long CONFIRMED_MILLIS = 3_300;
    // Identifies workspaces in reports of unreadable entries; they have no store keys of their own.
    private static final String WORKSPACE_PREFIX = "configuration/workspace/";

    private final KeyValueStore store;
    private final EventLoop loop;
    private final PlatformRecords records;
    private final UnreadableEntries unreadable;
    private final PrefixWatch watch;
    private final CordonFeed cordons;
    private final Runnable onChange;
    private @Nullable JobConfiguration configuration;
    private long revision;
    /** The latest read; concurrent callers share it until it completes. */
    private @Nullable CompletableFuture<Optional<JobConfiguration>> latestRead;

    ConfigurationFeed(
            KeyValueStore store,
            EventLoop loop,
            PlatformRecords records,
            UnreadableEntries unreadable,
            CordonFeed cordons,
            Runnable onChange) {
        this.store = store;
        this.loop = loop;
        this.records = records;
        this.unreadable = unreadable;
        this.cordons = cordons;
        this.onChange = onChange;
        // One watch covers the configuration and the cordons, so cordons need no call of their own.
        watch = cordons.isEnabled()
                ? new PrefixWatch(store, loop, records.operatorPrefix(), 0, cordons.watchMillis(), this)
                : new PrefixWatch(store, loop, records.configurationKey(), this);
    }

    void start() {
        watch.start();
    }

    /** Returns the configuration in force; empty until the first one has been read. */
    Optional<JobConfiguration> current() {
        return Optional.ofNullable(configuration);
    }

    /** Returns the latest configuration revision known to this entry. That revision is in force if it is readable. */
    long revision() {
        return revision;
    }

    /** Returns the workspaces of the configuration in force. */
    ActiveWorkspaces workspaces() {
        Workspaces known = current().map(JobConfiguration::workspaces).orElse(Workspaces.NONE);
        return new ActiveWorkspaces(records.configurationKey(), revision, isConfirmed(), known);
    }

    /** Returns the maximum number of starts per second on a cold worker of the service; 0 for no limit. */
    double coldStartsPerSecond(String service) {
        return current()
                .flatMap(c -> c.service(service))
                .map(ServiceConfig::coldStartsPerSecond)
                .orElse(0.0);
    }

    /** Returns the cordoned data halls; the view is current if the watch has been answered recently. */
    HallCordons cordons() {
        return cordons.view(confirmedAt());
    }

    /** Returns whether all halls of the deployment are cordoned for certain, so that no task can start anywhere. */
    boolean areAllHallsCordoned() {
        return cordons.coversAllHalls(confirmedAt(), loop.clock().millis());
    }

    /** Logs whether the view of the cordons is current, if that has changed and the entry owns a service. */
    void logCordonConfirmation(boolean ownsService) {
        cordons.logConfirmation(ownsService, confirmedAt(), loop.clock().millis());
    }

    /** Returns whether the watch works, so that this entry soon learns of a newer configuration. */
    boolean isConfirmed() {
        return loop.clock().millis() - confirmedAt() <= CONFIRMED_MILLIS;
    }

    /** Returns the time since which a newer configuration may exist that this entry does not know. */
    long confirmedAt() {
        return watch.confirmedAt();
    }

    /**
     * Reads the configuration. After the future completes normally, the latest configuration is in force at this
     * entry.
     */
    CompletableFuture<Optional<JobConfiguration>> refresh() {
        CompletableFuture<Optional<JobConfiguration>> pending = latestRead;
        if (pending != null && !pending.isDone()) {
            return pending;
        }
        CompletableFuture<Optional<JobConfiguration>> next = store.read(records.configurationKey())
                .thenApplyAsync(
                        item -> {
                            item.ifPresent(this::apply);
                            return current();
                        },
                        loop::execute);
        latestRead = next;
        return next;
    }

    @Override
    public void onRead() {
        applyAll();
    }

    @Override
    public void onChanges(List<StoreChanges.Change> changes) {
        applyAll();
    }

    private void applyAll() {
        // Cordons come first: a new configuration may bring this entry duties, and they must not start on an old view.
        if (cordons.isEnabled()) {
            cordons.update(watch.items());
        }
        watch.items().forEach(this::apply);
    }

    private void apply(StoreItem item) {
        if (!item.key().equals(records.configurationKey()) || item.revision() <= revision) {
            return;
        }
        JobConfiguration read = unreadable.recordOrNull(Kind.CONFIGURATION, item, records::configuration);
        if (read == null) {
            // The last readable configuration stays in force. Jobs are accepted only on the condition that the store
            // holds no newer one.
            revision = configuration == null ? revision : item.revision();
            return;
        }
        revision = item.revision();
        Workspaces previous = configuration == null ? Workspaces.NONE : configuration.workspaces();
        configuration = read.withFallback(previous);
        reportRejected(read.workspaces().rejected());
        Log.info(
                "configuration-in-force",
                "version",
                read.version(),
                "revision",
                revision,
                "queues",
                read.queues().size(),
                "workspaces",
                configuration.workspaces().all().size());
        onChange.run();
    }

    private void reportRejected(List<Workspaces.Rejected> rejected) {
        unreadable.retainOnly(
                WORKSPACE_PREFIX,
                rejected.stream().map(w -> WORKSPACE_PREFIX + w.name()).collect(Collectors.toSet()));
        for (Workspaces.Rejected w : rejected) {
            unreadable.markUnreadable(
                    new UnreadableEntries.Entry(Kind.WORKSPACE, WORKSPACE_PREFIX + w.name(), revision, w.why()));
        }
    }

    @Override
    public void close() {
        watch.close();
    }
}
