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
package org.lupinpaddle.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.placement.Resources;
import org.lupinpaddle.core.workspace.KeyDigest;
import org.lupinpaddle.core.workspace.Workspace;
import org.lupinpaddle.core.workspace.Workspaces;

/**
 * The workspaces of a history. Each caller belongs to one; one of them submits a burst of jobs, and configuration
 * changes lower and raise quotas and replace, revoke and restore keys. Uses its own random generator, so that
 * histories without workspaces do not change.
 */
final class SimWorkspaces {

    static final long CONFIGURATION_DELAY_MILLIS = 3_000;
    private static final long SEED = 0x77a5;
    private static final int COUNT = 3;
    private static final int MIN_CPU = 8_000;
    private static final int CPU_RANGE = 8_000;
    private static final int CHANGES = 5;
    private static final int BURST_JOBS = 10;
    private static final int FIRST_BURST_CALLER = 2_000;
    private static final double QUOTA_TOLERANCE = 1.1;

    private final World world;
    private final Random random;
    private final List<WorkspaceState> states = new ArrayList<>();
    private final List<Version> versions = new ArrayList<>();

    private static final class WorkspaceState {
        final String name;
        final long initialCpu;
        long cpu;
        int key;
        boolean hasKey = true;

        WorkspaceState(String name, long cpu) {
            this.name = name;
            this.initialCpu = cpu;
            this.cpu = cpu;
        }

        String key() {
            return name + "-key-" + key;
        }
    }

    private record Version(long writtenAt, Workspaces workspaces) {}

    SimWorkspaces(World world, long seed) {
        this.world = world;
        random = new Random(seed ^ SEED);
        for (int i = 0; i < COUNT; i++) {
            states.add(new WorkspaceState("team-" + i, MIN_CPU + random.nextInt(CPU_RANGE)));
        }
        states.add(new WorkspaceState("unlimited", 0));
    }

    void plan(long from, long millis) {
        for (int i = 0; i < CHANGES; i++) {
            world.time.schedule(from + random.nextInt((int) millis), this::change);
        }
        world.time.schedule(from + random.nextInt((int) millis), this::burst);
        world.time.schedule(from + millis, () -> {
            states.forEach(t -> t.cpu = t.initialCpu);
            world.writeConfiguration();
        });
    }

    private void change() {
        WorkspaceState t = states.get(random.nextInt(COUNT));
        switch (random.nextInt(4)) {
            case 0 -> t.cpu = t.initialCpu / (2 + random.nextInt(6));
            case 1 -> t.cpu = t.initialCpu;
            case 2 -> {
                t.key++;
                t.hasKey = true;
            }
            default -> t.hasKey = !t.hasKey;
        }
        world.history.add(t.name + " cpu " + t.cpu + " key " + t.key + (t.hasKey ? "" : " revoked"));
        world.writeConfiguration();
    }

    private void burst() {
        int index = random.nextInt(COUNT);
        world.history.add("burst of " + states.get(index).name);
        for (int i = 0; i < BURST_JOBS; i++) {
            int number = FIRST_BURST_CALLER + i * COUNT + index;
            StepSpec.Need need = new StepSpec.Need(500 + random.nextInt(3_000), 200, 0);
            StepSpec step = StepSpec.builder(1 + random.nextInt(4), need)
                    .estimateMillis(500)
                    .build();
            new SimCaller(
                            world,
                            world.history,
                            number,
                            world.service(random.nextInt(2)),
                            world.singleStepJob(number, step),
                            true)
                    .submit();
        }
    }

    /** Returns the workspaces for the configuration being written, and records them as the newest version. */
    Workspaces configured() {
        List<Workspace> all = states.stream()
                .map(t -> new Workspace(
                        t.name, t.hasKey ? List.of(KeyDigest.of(t.key())) : List.of(), 1, new Resources(t.cpu, 0, 0)))
                .toList();
        Workspaces w = new Workspaces(all, List.of());
        versions.add(new Version(world.time.now(), w));
        return w;
    }

    /** Returns the name of the caller's workspace. */
    String nameOf(int caller) {
        return workspaceOf(caller).name;
    }

    /** Returns the newest key of a caller's workspace, which may have been revoked. */
    KeyDigest keyOf(int caller) {
        return KeyDigest.of(workspaceOf(caller).key());
    }

    /** Assigns long-running tasks to an unlimited workspace, since they would hold a quota indefinitely. */
    private WorkspaceState workspaceOf(int caller) {
        return states.get(world.isLongRunning(caller) ? COUNT : caller % COUNT);
    }

    /** Returns whether the workspace, which may be none, has a quota. */
    boolean limits(String workspace) {
        return !workspace.isEmpty() && !workspace.equals(states.get(COUNT).name);
    }

    /** Returns the CPU quota that is configured now, in thousandths of a core; the workspace must have one. */
    long configuredCpu(String workspace) {
        return states.stream()
                .filter(t -> t.name.equals(workspace))
                .mapToLong(t -> t.cpu)
                .findFirst()
                .orElseThrow();
    }

    /** Returns the highest CPU quota that may be in force, in thousandths of a core, including the tolerance. */
    double maxCpu(String workspace) {
        if (!limits(workspace)) {
            return Double.MAX_VALUE;
        }
        return inForceSince(world.time.now() - CONFIGURATION_DELAY_MILLIS).stream()
                        .flatMap(v -> v.workspaces.findByName(workspace).stream())
                        .mapToLong(w -> w.maximum().cpuMillis())
                        .max()
                        .orElse(0)
                * QUOTA_TOLERANCE;
    }

    /** Returns the versions that were the newest at any time since {@code since}. */
    private List<Version> inForceSince(long since) {
        List<Version> all = new ArrayList<>();
        for (int i = 0; i < versions.size(); i++) {
            if (i + 1 == versions.size() || versions.get(i + 1).writtenAt >= since) {
                all.add(versions.get(i));
            }
        }
        return all;
    }

    /** Checks that the key of an accepted submission may have been valid. */
    void checkAccepted(String job, @Nullable KeyDigest key, long sentAt) {
        boolean held = inForceSince(sentAt - CONFIGURATION_DELAY_MILLIS).stream()
                .anyMatch(v -> v.workspaces.findByKey(key).isPresent());
        world.rules.require(Rules.Rule.CONFIG, held, job + " was accepted with a revoked key");
    }

    /** Checks that the key of a refused submission may have been invalid. */
    void checkRefused(String job, @Nullable KeyDigest key, long sentAt) {
        boolean held = inForceSince(sentAt - CONFIGURATION_DELAY_MILLIS).stream()
                .allMatch(v -> v.workspaces.findByKey(key).isPresent());
        world.rules.require(Rules.Rule.CONFIG, !held, job + " was refused although its key is valid");
    }
}
