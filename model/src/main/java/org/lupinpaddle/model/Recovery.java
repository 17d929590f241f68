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
import org.lupinpaddle.core.job.JobKeys;
import org.lupinpaddle.core.job.TaskId;
import org.lupinpaddle.daemon.port.StoreItem;

/** All entries lose power at one moment and start anew; some time later service is to be back. */
final class Recovery {

    private static final long DOWN_MILLIS = 1_300;
    private static final long LOOK_MILLIS = 100;
    private static final int SPREAD_MILLIS = 300;
    private static final long BACK_WITHIN_MILLIS = 15_000;
    // Jobs handed in later than this before the check need not be done yet.
    private static final long JOB_MILLIS = 5_000;
    private static final int A_QUARTER = 4;
    // A worker keeps a task's place for a while, and starts take their time: some may be on their way.
    private static final double MOST_LASTING_AWAY = 0.1;

    private final World world;
    private final long at;

    Recovery(World world, long at) {
        this.world = world;
        this.at = at;
    }

    void plan() {
        world.time.after(at - world.time.now(), () -> {
            world.history.add("all entries lose power");
            watchOwners(Set.of());
            world.entries.forEach(e -> e.kill(DOWN_MILLIS + world.random.nextInt(SPREAD_MILLIS)));
        });
    }

    /** Writes into the history when which services have an owner that schedules. */
    private void watchOwners(Set<String> before) {
        Set<String> now = notScheduled();
        if (!now.equals(before)) {
            world.history.add("not scheduled: " + now);
        }
        world.time.after(LOOK_MILLIS, () -> watchOwners(now));
    }

    /** Returns when all entries are back. */
    private long backAt() {
        return at + DOWN_MILLIS + SPREAD_MILLIS;
    }

    /** Returns by when service is to be back. */
    long end() {
        return backAt() + BACK_WITHIN_MILLIS;
    }

    /** Returns the services of which nobody, or no owner of now, has told how many jobs wait. */
    Set<String> notScheduled() {
        Set<String> all = new TreeSet<>();
        for (String s : world.site.services()) {
            long owned =
                    world.store.read(JobKeys.owner(s)).map(StoreItem::revision).orElse(World.NEVER);
            long told =
                    world.store.read(JobKeys.report(s)).map(StoreItem::revision).orElse(0L);
            if (told < owned) {
                all.add(s);
            }
        }
        return all;
    }

    /** Holds what is so now against the rule. */
    void check() {
        List<String> wrong = new ArrayList<>();
        Set<String> services = notScheduled();
        if (!services.isEmpty()) {
            wrong.add("no owner has begun to schedule " + services);
        }
        long handedIn = 0;
        long done = 0;
        long lasting = 0;
        long away = 0;
        for (Rules.JobTruth j : world.rules.jobs()) {
            if (j.lasting()) {
                lasting += j.submission.steps().get(0).count();
                away += away(j);
            } else if (j.handedInAt >= backAt() && j.handedInAt <= world.time.now() - JOB_MILLIS && !j.cancelSent) {
                handedIn++;
                done += j.allDone() ? 1 : 0;
            }
        }
        String counts = done + " of " + handedIn + " jobs are done, " + away + " of " + lasting
                + " lasting tasks are not at work";
        world.history.add(counts);
        if (done * A_QUARTER < handedIn || away > lasting * MOST_LASTING_AWAY) {
            wrong.add(counts);
        }
        world.rules.require(
                Rules.Rule.RECOVER,
                wrong.isEmpty(),
                BACK_WITHIN_MILLIS + " ms after all entries were back: " + String.join("; ", wrong));
    }

    private static long away(Rules.JobTruth j) {
        long n = 0;
        for (int i = 0; i < j.submission.steps().get(0).count(); i++) {
            n += j.task(new TaskId(0, 0, i)).atWork ? 0 : 1;
        }
        return n;
    }
}
