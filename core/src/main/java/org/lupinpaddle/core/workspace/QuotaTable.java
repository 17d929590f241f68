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
package org.lupinpaddle.core.workspace;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.placement.Resources;

/** The quotas of all workspaces at the owner of one service. */
public final class QuotaTable {

    private final String service;
    private final Map<String, WorkspaceQuota> byName = new TreeMap<>();
    private final WorkspaceQuota unlimited;

    /** Makes a table without limits. */
    public QuotaTable(String service) {
        this.service = service;
        unlimited = new WorkspaceQuota(service);
    }

    /** Returns the quota of a workspace; jobs without a workspace are unlimited. */
    public WorkspaceQuota of(@Nullable String workspace) {
        return workspace == null ? unlimited : byName.computeIfAbsent(workspace, n -> new WorkspaceQuota(service));
    }

    /** Applies the current workspaces. A removed workspace keeps its last maximum for its remaining jobs. */
    public void configure(Workspaces workspaces) {
        workspaces.all().forEach(w -> of(w.name()).setMaximum(w.maximum()));
    }

    /** Sets whether the maxima are known to be the newest ones; until they are, nothing that is limited is placed. */
    public void confirm(boolean isConfirmed) {
        byName.values().forEach(q -> q.confirm(isConfirmed));
    }

    /** Calls {@code action} with each workspace name and quota that has a limit. */
    public void forEachLimited(BiConsumer<String, WorkspaceQuota> action) {
        byName.forEach((name, q) -> {
            if (q.isLimited()) {
                action.accept(name, q);
            }
        });
    }

    /** Returns whether any workspace is limited. */
    public boolean hasLimits() {
        return byName.values().stream().anyMatch(WorkspaceQuota::isLimited);
    }

    /** Resets the waiting demand before a placement pass. */
    public void clearWaiting() {
        byName.values().forEach(WorkspaceQuota::clearWaiting);
    }

    /** Limits the waiting demand to the free capacity of the service's workers, after a placement pass. */
    public void boundWaiting(Resources free) {
        byName.values().forEach(q -> q.boundWaiting(free));
    }
}
