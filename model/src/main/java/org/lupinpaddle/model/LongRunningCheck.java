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

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.job.TaskId;
import org.lupinpaddle.core.placement.Resources;

/**
 * Checks at any time that a long-running task has a run if the world has been calm and its service has had plenty of
 * room for a while, as the operators' rule LOST asks.
 */
final class LongRunningCheck {

    private static final long POLL_MILLIS = 100;
    private static final long SINCE_LAST_RUN_MILLIS = 6_000;
    private static final long CALM_MILLIS = 7_000;
    private static final long ROOM_MILLIS = 3_000;
    private static final int TIMES_ROOM = 2;

    private final World world;
    private long disturbedAt;
    /** For each task, since when there has been room for it, by job and task. */
    private final Map<String, Long> roomSince = new HashMap<>();

    LongRunningCheck(World world) {
        this.world = world;
    }

    void start() {
        check();
        world.time.schedule(POLL_MILLIS, this::start);
    }

    private void check() {
        if (isDisturbed()) {
            disturbedAt = world.time.now();
        }
        for (Rules.TrackedJob job : world.rules.jobs()) {
            if (job.isLongRunning() && isCovered(job)) {
                checkJob(job);
            }
        }
    }

    private boolean isDisturbed() {
        return world.net.isDisturbed()
                || world.fleet.isDisturbed(POLL_MILLIS)
                || world.store.areLeasesPaused()
                || world.entries.stream().anyMatch(e -> !e.isSteady());
    }

    private void checkJob(Rules.TrackedJob job) {
        for (int i = 0; i < job.submission.steps().get(0).count(); i++) {
            TaskId id = new TaskId(0, 0, i);
            String key = job.id + "." + id;
            if (!needsRun(job.task(id)) || !hasPlentyOfRoom(job, id)) {
                roomSince.remove(key);
                continue;
            }
            long now = world.time.now();
            long since = roomSince.computeIfAbsent(key, k -> now);
            long withoutRun = now - Math.max(job.acceptedAt, job.task(id).lastRunEndedAt);
            boolean isLost = withoutRun >= SINCE_LAST_RUN_MILLIS
                    && now - since >= ROOM_MILLIS
                    && now - disturbedAt >= CALM_MILLIS;
            world.rules.require(
                    Rules.Rule.LOST,
                    !isLost,
                    key + " lasts and has had no run for " + withoutRun + " ms, calm since " + disturbedAt
                            + ", with room since " + since);
        }
    }

    /**
     * Returns whether the job's tasks must run. The check does not know which workers are refused by an advice service,
     * which service has a job whose queue changes services, nor how much of a quota is free.
     */
    private boolean isCovered(Rules.TrackedJob job) {
        boolean isLimited =
                world.workspaces().filter(w -> w.limits(job.workspace)).isPresent();
        boolean isAdvised =
                world.advice().filter(a -> a.queue().equals(job.service)).isPresent();
        return job.accepted
                && !job.cancelSent
                && !isLimited
                && !isAdvised
                && world.reroutes().isEmpty();
    }

    private static boolean needsRun(Rules.TrackedTask t) {
        boolean hasRun = t.runsOn != null && Objects.requireNonNull(t.runsOn).isUp();
        return !hasRun && t.workerCrashes < Rules.MIN_CRASHES_TO_GIVE_UP;
    }

    private boolean hasPlentyOfRoom(Rules.TrackedJob job, TaskId id) {
        StepSpec step = job.step(id);
        Resources need = Resources.of(step);
        long places = 0;
        long usedCpu = 0;
        long cpu = 0;
        long usedMemory = 0;
        long memory = 0;
        List<SimWorker> workers = world.fleet.workers().stream()
                .filter(w -> w.service().equals(job.service))
                .toList();
        for (SimWorker w : workers) {
            Resources capacity = w.facts().capacity();
            Resources free = w.freeRoom();
            cpu += capacity.cpuMillis();
            memory += capacity.memoryMb();
            usedCpu += capacity.cpuMillis() - free.cpuMillis();
            usedMemory += capacity.memoryMb() - free.memoryMb();
            places += mayRun(w, step) ? places(free, need, step, job, w) : 0;
        }
        return places >= TIMES_ROOM && TIMES_ROOM * usedCpu < cpu && TIMES_ROOM * usedMemory < memory;
    }

    private boolean mayRun(SimWorker w, StepSpec step) {
        boolean cordoned = world.cordons().filter(c -> c.isRequested(w.hall())).isPresent();
        return w.drainingSince() == World.NEVER && !cordoned && w.facts().hasLabel(step.label());
    }

    private static int places(Resources free, Resources need, StepSpec step, Rules.TrackedJob job, SimWorker w) {
        int places = 0;
        Resources rest = free;
        while (places < TIMES_ROOM && rest.canHold(need)) {
            rest = rest.minus(need);
            places++;
        }
        if (step.perWorkerMost() == 0) {
            return places;
        }
        long there = job.tasks.values().stream().filter(t -> t.runsOn == w).count();
        return (int) Math.max(0, Math.min(places, step.perWorkerMost() - there));
    }
}
