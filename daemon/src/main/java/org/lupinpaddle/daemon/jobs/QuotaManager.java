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

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.common.RecordCodec;
import org.lupinpaddle.core.job.SchedulerKeys;
import org.lupinpaddle.core.workspace.QuotaAllocation;
import org.lupinpaddle.core.workspace.QuotaTable;
import org.lupinpaddle.core.workspace.WorkspaceQuota;
import org.lupinpaddle.core.workspace.Workspaces;
import org.lupinpaddle.daemon.common.EventLoop;
import org.lupinpaddle.daemon.common.Log;
import org.lupinpaddle.daemon.jobs.UnreadableEntries.Kind;
import org.lupinpaddle.daemon.port.CommitResult;
import org.lupinpaddle.daemon.port.KeyValueStore;
import org.lupinpaddle.daemon.port.StoreCommit;
import org.lupinpaddle.daemon.port.StoreItem;

/**
 * Maintains the quota grants of one service: watches the stored allocations and writes the changes that its {@link QuotaTable}
 * computes. Each write is conditional on the ownership of the service and on the last observed revisions of the allocations.
 * Does not access the store while no workspace has a quota.
 */
final class QuotaManager implements AutoCloseable {

    private static final long RETRY_MILLIS = 150;
    private static final long WATCH_BATCH_MILLIS = 40;
    // A commit has at most 32 rows: ownership, configuration, and a condition and a value for each allocation.
    private static final int MAX_PER_COMMIT = 15;

    private final KeyValueStore store;
    private final EventLoop loop;
    private final String ownerKey;
    private final long fence;
    private final Supplier<ActiveWorkspaces> workspaces;
    private final UnreadableEntries unreadable;
    private final JobMetrics meters;
    private final Runnable onChange;
    private final PrefixWatch watch;
    private final QuotaTable table;
    private @Nullable Workspaces configured;
    private boolean watching;
    private boolean allocationsRead;
    private boolean writing;
    private long retryAt;
    private boolean closed;
    /** Workspaces whose last written request exceeds the grant. */
    private final Set<String> unmetRequests = new HashSet<>();

    /** Creates the manager; {@code onChange} is called when allocations may have changed. */
    QuotaManager(SchedulerHost.Context entry, String service, long fence, Runnable onChange) {
        this.store = entry.store();
        this.loop = entry.loop();
        this.ownerKey = SchedulerKeys.owner(service);
        this.fence = fence;
        this.workspaces = entry.workspaces();
        this.unreadable = entry.unreadable();
        this.meters = entry.meters();
        this.onChange = onChange;
        table = new QuotaTable(service);
        watch = new PrefixWatch(
                store,
                loop,
                SchedulerKeys.quotas(),
                WATCH_BATCH_MILLIS,
                PrefixWatch.Listener.forAnyChange(this::onAllocationsChanged));
        configure();
    }

    QuotaTable table() {
        return table;
    }

    private void configure() {
        ActiveWorkspaces current = workspaces.get();
        if (!current.workspaces().equals(configured)) {
            configured = current.workspaces();
            table.configure(current.workspaces());
            // The watch reports changes only, so newly limited quotas are given the allocations read earlier.
            if (allocationsRead) {
                applyStored();
            }
        }
        table.confirm(current.confirmed());
    }

    private void onAllocationsChanged() {
        if (closed) {
            return;
        }
        allocationsRead = true;
        unreadable.retainOnly(SchedulerKeys.quotas(), watch.items());
        applyStored();
        onChange.run();
    }

    /** Passes each limited quota its stored allocation, or the absence of one. */
    private void applyStored() {
        Map<String, StoreItem> items = new HashMap<>();
        watch.items().forEach(i -> items.put(i.key(), i));
        table.forEachLimited((name, q) -> {
            StoreItem item = items.get(SchedulerKeys.quota(name));
            if (item == null) {
                q.onNoAllocation(watch.revision());
            } else {
                applyStored(q, item);
            }
        });
    }

    private void applyStored(WorkspaceQuota q, StoreItem item) {
        QuotaAllocation a = unreadable.recordOrNull(Kind.QUOTA, item, i -> i.read(QuotaAllocation.class));
        if (a == null) {
            q.onUnreadable();
        } else {
            q.onAllocation(a, item.revision());
        }
    }

    /** Applies configuration changes and writes due allocations; called after each scheduler tick. */
    void run() {
        configure();
        if (!watching && table.hasLimits()) {
            watching = true;
            watch.start();
        }
        if (!allocationsRead || writing || closed || loop.clock().millis() < retryAt) {
            return;
        }
        Map<String, QuotaAllocation> due = new LinkedHashMap<>();
        table.forEachLimited((name, q) -> {
            if (due.size() < MAX_PER_COMMIT) {
                q.next(loop.clock().millis()).ifPresent(a -> due.put(name, a));
            }
        });
        if (!due.isEmpty()) {
            write(due);
        }
    }

    private void write(Map<String, QuotaAllocation> due) {
        ActiveWorkspaces current = workspaces.get();
        // Requires the known configuration, so that no grant is raised under a maximum that a newer configuration may
        // have lowered.
        StoreCommit.Builder b = StoreCommit.builder().when(ownerKey, fence).when(current.key(), current.revision());
        due.forEach((name, a) -> {
            WorkspaceQuota q = table.of(name);
            b.when(SchedulerKeys.quota(name), q.revision());
            b.put(SchedulerKeys.quota(name), RecordCodec.write(a));
            q.onWriteStarted(a);
        });
        writing = true;
        store.commit(b.build()).thenAcceptAsync(r -> onWritten(due, r, current), loop::execute);
    }

    private void onWritten(Map<String, QuotaAllocation> due, CommitResult r, ActiveWorkspaces current) {
        writing = false;
        meters.quotaWritten(r.outcome());
        switch (r.outcome()) {
            case MADE ->
                due.forEach((name, a) -> {
                    table.of(name).onAllocation(a, r.revision());
                    logUnmetRequest(name);
                });
            case CONFLICT -> {
                retryAt = retryAfterConflict(r, current);
                r.current()
                        .forEach(i -> due.keySet().stream()
                                .filter(name -> SchedulerKeys.quota(name).equals(i.key()))
                                .forEach(name -> applyStored(table.of(name), i)));
            }
            case LEASE_ENDED, REFUSED, UNKNOWN, REJECTED ->
                retryAt = loop.clock().millis() + RETRY_MILLIS;
        }
        if (!closed) {
            onChange.run();
        }
    }

    /**
     * Returns when to retry: never without the ownership, or shortly if a newer configuration exists, which this
     * entry soon learns of.
     */
    private long retryAfterConflict(CommitResult r, ActiveWorkspaces current) {
        if (r.revisionOf(ownerKey) != fence) {
            return Long.MAX_VALUE;
        }
        boolean sameConfiguration = r.revisionOf(current.key()) == current.revision();
        return sameConfiguration ? retryAt : loop.clock().millis() + RETRY_MILLIS;
    }

    private void logUnmetRequest(String name) {
        WorkspaceQuota q = table.of(name);
        boolean unmet = q.hasUnmetRequest();
        if (unmet ? unmetRequests.add(name) : unmetRequests.remove(name)) {
            Log.info(
                    "workspace-quota",
                    "workspace",
                    name,
                    "duty",
                    ownerKey,
                    "unmet-request",
                    unmet,
                    "quota",
                    q.describe());
        }
    }

    @Override
    public void close() {
        closed = true;
        watch.close();
    }
}
