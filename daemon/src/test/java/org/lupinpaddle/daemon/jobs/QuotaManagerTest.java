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

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.cordon.HallCordons;
import org.lupinpaddle.core.job.SchedulerKeys;
import org.lupinpaddle.core.placement.Resources;
import org.lupinpaddle.core.run.SchedulerTiming;
import org.lupinpaddle.core.workspace.Workspace;
import org.lupinpaddle.core.workspace.WorkspaceQuota;
import org.lupinpaddle.core.workspace.Workspaces;

/** Tests the quota grants that a service owner writes to an in-memory store. */
class QuotaManagerTest {

    private static final Resources TASK = new Resources(1_000, 0, 0);

    private final FakeKeyValueStore store = new FakeKeyValueStore();
    private final TimedLoop loop = new TimedLoop();
    private final List<Workspace> workspaces = new ArrayList<>();
    private final QuotaManager manager = manager();

    private QuotaManager manager() {
        long fence = store.set(SchedulerKeys.owner("clips"), "entry");
        long revision = store.set(FakeRecords.CONFIGURATION, "any");
        NodeFixture.Instances instances = new NodeFixture.Instances();
        SchedulerHost.Context entry = new SchedulerHost.Context(
                store,
                new NodeFixture().workers,
                new AdviceCalls(NodeFixture.NO_ADVICE, loop, new JobMetrics()),
                instances,
                loop,
                () -> true,
                loop.clock(),
                SchedulerTiming.usual(5_000, 300, 12_000),
                new JobMetrics(),
                new UnreadableEntries(new JobMetrics()),
                () -> new ActiveWorkspaces(
                        FakeRecords.CONFIGURATION, revision, true, new Workspaces(List.copyOf(workspaces), List.of())),
                Optional::empty,
                () -> HallCordons.DISABLED,
                service -> 0,
                () -> Integer.MAX_VALUE);
        return new QuotaManager(entry, "clips", fence, () -> {});
    }

    private void addLimitedWorkspace(String workspace, long cpuMillis) {
        workspaces.add(new Workspace(workspace, List.of(), 1, new Resources(cpuMillis, 0, 0)));
    }

    private WorkspaceQuota addWaitingTask(String workspace) {
        WorkspaceQuota q = manager.table().of(workspace);
        q.addWaiting(TASK, TASK);
        return q;
    }

    private void runManager() {
        for (int i = 0; i < 10; i++) {
            manager.run();
            loop.advance(10);
        }
    }

    @Nested
    class AWorkspaceWithAQuota {

        @Test
        void getsAGrant() {
            addLimitedWorkspace("news", 4_000);
            WorkspaceQuota q = addWaitingTask("news");
            runManager();
            assertTrue(q.mayPlace(TASK));
            assertFalse(store.value(SchedulerKeys.quota("news")).isEmpty());
        }

        /** Guards against withholding grants from a workspace whose quota a later configuration adds. */
        @Test
        void getsAGrantWhenALaterConfigurationAddsTheQuota() {
            addLimitedWorkspace("news", 4_000);
            runManager();
            addLimitedWorkspace("archive", 4_000);
            WorkspaceQuota q = addWaitingTask("archive");
            runManager();
            assertTrue(q.mayPlace(TASK));
        }
    }

    @Nested
    class WithoutQuotas {

        @Test
        void nothingIsWritten() {
            addWaitingTask("news");
            runManager();
            assertEquals(0, store.commits);
        }
    }

    @Nested
    class WithoutOwnership {

        /** Guards against retrying a write that cannot succeed because ownership was lost. */
        @Test
        void attemptsOnlyOneWrite() {
            store.set(SchedulerKeys.owner("clips"), "another entry");
            addLimitedWorkspace("news", 4_000);
            WorkspaceQuota q = addWaitingTask("news");
            runManager();
            assertEquals(1, store.commits);
            assertFalse(q.mayPlace(TASK));
        }
    }
}
