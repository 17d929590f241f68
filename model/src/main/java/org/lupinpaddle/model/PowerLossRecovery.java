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
import java.util.Set;
import java.util.TreeSet;
import org.lupinpaddle.core.job.SchedulerKeys;
import org.lupinpaddle.core.job.TaskId;
import org.lupinpaddle.daemon.port.StoreItem;

/** Kills all entries at once and checks that service is back within a time limit after their restart. */
final class PowerLossRecovery {

    private static final long DOWN_MILLIS = 1_300;
    private static final long POLL_MILLIS = 100;
    private static final int RESTART_SPREAD_MILLIS = 300;
    private static final long RECOVERY_LIMIT_MILLIS = 15_000;
    // A job submitted less than this before the check need not be done yet.
    private static final long MAX_JOB_MILLIS = 5_000;
    private static final int INVERSE_MIN_DONE_SHARE = 4;
    // Workers keep the room of a task for a while and starts take time, so some starts may still be in progress.
    private static final double MAX_SHARE_NOT_SERVING = 0.1;

    private final World world;
    private final long powerLossAt;

    PowerLossRecovery(World world, long powerLossAt) {
        this.world = world;
        this.powerLossAt = powerLossAt;
    }

    void plan() {
        world.time.schedule(powerLossAt - world.time.now(), () -> {
            world.history.add("all entries lose power");
            recordUnscheduled(Set.of());
            world.entries.forEach(e -> e.kill(DOWN_MILLIS + world.random.nextInt(RESTART_SPREAD_MILLIS)));
        });
    }

    /** Records in the history each change in the set of services without an owner that schedules. */
    private void recordUnscheduled(Set<String> before) {
        Set<String> now = unscheduledServices();
        if (!now.equals(before)) {
            world.history.add("not scheduled: " + now);
        }
        world.time.schedule(POLL_MILLIS, () -> recordUnscheduled(now));
    }

    /** Returns the time at which all entries have restarted. */
    private long restartedAt() {
        return powerLossAt + DOWN_MILLIS + RESTART_SPREAD_MILLIS;
    }

    /** Returns the time at which service must have recovered. */
    long end() {
        return restartedAt() + RECOVERY_LIMIT_MILLIS;
    }

    /** Returns the services whose current owner has not yet written a report on its queue. */
    Set<String> unscheduledServices() {
        Set<String> all = new TreeSet<>();
        for (String s : world.site.services()) {
            long ownerRevision = world.store
                    .read(SchedulerKeys.owner(s))
                    .map(StoreItem::revision)
                    .orElse(World.NEVER);
            long reportRevision = world.store
                    .read(SchedulerKeys.report(s))
                    .map(StoreItem::revision)
                    .orElse(0L);
            if (reportRevision < ownerRevision) {
                all.add(s);
            }
        }
        return all;
    }

    /**
     * Checks that all services are scheduled, that at least a quarter of the jobs submitted since the restart are done,
     * and that most long-running tasks are serving.
     */
    void check() {
        List<String> violations = new ArrayList<>();
        Set<String> services = unscheduledServices();
        if (!services.isEmpty()) {
            violations.add("no owner has begun to schedule " + services);
        }
        long submitted = 0;
        long done = 0;
        long longRunningTasks = 0;
        long notServing = 0;
        for (Rules.TrackedJob job : world.rules.jobs()) {
            if (job.isLongRunning()) {
                longRunningTasks += job.submission.steps().get(0).count();
                notServing += notServing(job);
            } else if (job.submittedAt >= restartedAt()
                    && job.submittedAt <= world.time.now() - MAX_JOB_MILLIS
                    && !job.cancelSent) {
                submitted++;
                done += job.allDone() ? 1 : 0;
            }
        }
        String counts = done + " of " + submitted + " jobs are done, " + notServing + " of " + longRunningTasks
                + " lasting tasks are not at work";
        world.history.add(counts);
        if (done * INVERSE_MIN_DONE_SHARE < submitted || notServing > longRunningTasks * MAX_SHARE_NOT_SERVING) {
            violations.add(counts);
        }
        world.rules.require(
                Rules.Rule.RECOVER,
                violations.isEmpty(),
                RECOVERY_LIMIT_MILLIS + " ms after all entries were back: " + String.join("; ", violations));
    }

    private static long notServing(Rules.TrackedJob job) {
        long n = 0;
        for (int i = 0; i < job.submission.steps().get(0).count(); i++) {
            n += job.task(new TaskId(0, 0, i)).serving ? 0 : 1;
        }
        return n;
    }
}
