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

import java.util.List;
import java.util.Random;
import java.util.function.BiConsumer;
import org.lupinpaddle.core.job.Repeat;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.job.Submission;

/**
 * Adds workers that are lost right after the start of a long-running task, and changes of the owner of their service that
 * follow one another, while the list of instances may fail or lag. Further jobs make the demand of the services go up
 * and down. Uses its own random generator, so that histories without this option do not change.
 */
final class OwnerChains {

    private static final long SEED = 0x0c_4a15;
    private static final long LIST_SEED = 0x0c_115d;
    private static final int FIRST_CALLER = 200;
    private static final int LONG_RUNNING_JOBS = 3;
    private static final int MIN_TASKS = 3;
    private static final int TASKS_RANGE = 17;
    private static final int MIN_CPU_MILLIS = 200;
    // Two such jobs leave half of the four workers of a service free.
    private static final int MAX_STEP_CPU_MILLIS = 8_000;
    private static final int MAX_TASK_CPU_MILLIS = 7_600;
    private static final int MAX_CHAINS = 2;
    private static final int MAX_LOSS_DELAY_MILLIS = 100;
    private static final int MIN_DOWN_MILLIS = 500;
    private static final int DOWN_RANGE_MILLIS = 12_000;
    private static final int MIN_CHANGES = 2;
    private static final int CHANGES_RANGE = 3;
    private static final int MIN_GAP_MILLIS = 1_000;
    private static final int GAP_RANGE_MILLIS = 7_000;
    private static final int MAX_UNANSWERED_MILLIS = 1_500;
    private static final int LIST_LEAD_MILLIS = 500;
    private static final int MIN_LIST_FAULT_MILLIS = 1_000;
    private static final int LIST_FAULT_RANGE_MILLIS = 24_000;
    private static final int MIN_SHOWN_MILLIS = 5_000;
    private static final int SHOWN_RANGE_MILLIS = 40_000;
    private static final int MIN_CUT_MILLIS = 4_000;
    private static final int CUT_RANGE_MILLIS = 4_000;
    private static final int MIN_ENTRY_DOWN_MILLIS = 500;
    private static final int ENTRY_DOWN_RANGE_MILLIS = 3_000;
    private static final int BURST_MILLIS = 4_500;
    private static final int PERIOD_MILLIS = 10_000;
    private static final int TICK_MILLIS = 100;
    private static final double MEAN_JOBS_PER_TICK = 0.04;
    private static final double BURST_FACTOR = 5;
    private static final double IDLE_FACTOR = 0.05;

    private final World world;
    private final Random random;
    private final Random listRandom;
    private int nextCaller = FIRST_CALLER;
    /** How many chains wait for the next start of a long-running task. */
    private int armed;

    private long endsAt;

    /** How a worker is lost. */
    private enum Loss {
        CRASH {
            @Override
            void apply(SimFleet fleet, SimWorker w, long downMillis) {
                fleet.crash(w, downMillis);
            }
        },
        DRAINED {
            @Override
            void apply(SimFleet fleet, SimWorker w, long downMillis) {
                fleet.drain(w, 0);
            }
        },
        REMOVED {
            @Override
            void apply(SimFleet fleet, SimWorker w, long downMillis) {
                fleet.remove(w, downMillis);
            }
        };

        abstract void apply(SimFleet fleet, SimWorker w, long downMillis);
    }

    /** How the list of instances behaves around the loss. */
    private enum ListFault {
        NONE,
        FAILING,
        LAGGING
    }

    /** What ends the ownership of an entry. */
    private enum Change {
        KILLED((c, owner) -> c.world.entry(owner).kill(c.entryDownMillis())),
        CUT_FROM_STORE((c, owner) -> c.cutFromStore(owner)),
        ALL_KILLED((c, owner) -> {
            long downMillis = c.entryDownMillis();
            c.world.entries.forEach(e -> e.kill(downMillis));
        }),
        STOPPED((c, owner) -> c.world.entry(owner).stopGracefully());

        private final BiConsumer<OwnerChains, String> action;

        Change(BiConsumer<OwnerChains, String> action) {
            this.action = action;
        }
    }

    OwnerChains(World world, long seed) {
        this.world = world;
        random = new Random(seed ^ SEED);
        listRandom = new Random(seed ^ LIST_SEED);
    }

    void plan(long from, long millis) {
        endsAt = from + millis;
        for (int i = 0; i < LONG_RUNNING_JOBS; i++) {
            String service = pick(world.site.services());
            Submission s = longRunningJob();
            world.time.schedule(from + random.nextInt((int) millis / 2), () -> submit(service, s));
        }
        planBursts(from, millis);
        int chains = 1 + random.nextInt(MAX_CHAINS);
        for (int i = 0; i < chains; i++) {
            world.time.schedule(from + random.nextInt((int) millis), () -> armed++);
        }
    }

    private Submission longRunningJob() {
        int count = MIN_TASKS + random.nextInt(TASKS_RANGE);
        int maxCpu = random.nextInt(4) == 0
                ? MAX_TASK_CPU_MILLIS
                : Math.max(MIN_CPU_MILLIS + 1, MAX_STEP_CPU_MILLIS / count);
        int tasks = maxCpu == MAX_TASK_CPU_MILLIS ? MIN_TASKS : count;
        int cpu = MIN_CPU_MILLIS + random.nextInt(maxCpu - MIN_CPU_MILLIS);
        StepSpec step = StepSpec.builder(tasks, new StepSpec.Need(cpu, 200, 0))
                .longRunning(true, 1)
                .build();
        return new Submission("lasting " + nextCaller, List.of(step), Repeat.ONCE);
    }

    private void planBursts(long from, long millis) {
        List<String> services = world.site.services();
        for (long at = 0; at < millis; at += TICK_MILLIS) {
            for (int i = 0; i < services.size(); i++) {
                boolean inBurst = Math.floorMod(at - (long) i * PERIOD_MILLIS / services.size(), (long) PERIOD_MILLIS)
                        < BURST_MILLIS;
                if (random.nextDouble() < MEAN_JOBS_PER_TICK * (inBurst ? BURST_FACTOR : IDLE_FACTOR)) {
                    String service = services.get(i);
                    Submission s = finiteJob();
                    world.time.schedule(from + at, () -> submit(service, s));
                }
            }
        }
    }

    private Submission finiteJob() {
        StepSpec step = StepSpec.builder(1 + random.nextInt(4), new StepSpec.Need(500 + random.nextInt(1_500), 200, 0))
                .estimateMillis(1_000)
                .build();
        return new Submission("job", List.of(step), Repeat.ONCE);
    }

    private void submit(String service, Submission s) {
        new SimCaller(world, world.history, nextCaller++, service, s, false).submit();
    }

    /** Begins a waiting chain around a start that an entry sends now. */
    void onStart(String job, SimWorker w) {
        Rules.TrackedJob started = world.rules.job(job);
        if (armed > 0 && world.time.now() < endsAt && started != null && started.isLongRunning()) {
            armed--;
            begin(w);
        }
    }

    private void begin(SimWorker w) {
        long lossDelayMillis = random.nextInt(MAX_LOSS_DELAY_MILLIS);
        long shownMillis = listRandom.nextInt(3) == 0 ? MIN_SHOWN_MILLIS + listRandom.nextInt(SHOWN_RANGE_MILLIS) : 0;
        long downMillis = Math.max(shownMillis, MIN_DOWN_MILLIS + random.nextInt(DOWN_RANGE_MILLIS));
        Loss loss = pick(List.of(Loss.values()));
        boolean unanswered = random.nextInt(3) == 0;
        world.history.add("chain: " + w.id() + " of " + w.service() + " is lost in " + lossDelayMillis + " ms by "
                + loss + ", down for " + downMillis + " ms" + (unanswered ? ", start unanswered" : "")
                + (shownMillis > 0 ? ", listed for " + shownMillis + " ms" : ""));
        if (shownMillis > 0) {
            world.fleet.keepListed(w, shownMillis);
        }
        if (unanswered) {
            world.net.unreachableWorkers.add(w.id());
            world.time.schedule(
                    lossDelayMillis + random.nextInt(MAX_UNANSWERED_MILLIS),
                    () -> world.net.unreachableWorkers.remove(w.id()));
        }
        world.time.schedule(lossDelayMillis, () -> loss.apply(world.fleet, w, downMillis));
        injectListFault(pick(List.of(ListFault.values())));
        long at = lossDelayMillis + random.nextInt(MIN_GAP_MILLIS);
        int changes = MIN_CHANGES + random.nextInt(CHANGES_RANGE);
        for (int i = 0; i < changes; i++) {
            Change change = pick(List.of(Change.values()));
            world.time.schedule(at, () -> changeOwner(w.service(), change));
            at += MIN_GAP_MILLIS + random.nextInt(GAP_RANGE_MILLIS);
        }
    }

    private void injectListFault(ListFault f) {
        long delayMillis = random.nextInt(2 * LIST_LEAD_MILLIS);
        long millis = MIN_LIST_FAULT_MILLIS + random.nextInt(LIST_FAULT_RANGE_MILLIS);
        if (f == ListFault.NONE) {
            return;
        }
        world.time.schedule(delayMillis, () -> {
            world.history.add("list of instances " + f + " for " + millis + " ms");
            world.fleet.disturbList(f == ListFault.FAILING, millis);
        });
    }

    private void changeOwner(String service, Change change) {
        String owner = world.owner(service);
        world.history.add("owner " + owner + " of " + service + ": " + change);
        if (!owner.isEmpty()) {
            change.action.accept(this, owner);
        }
    }

    private void cutFromStore(String entry) {
        world.net.storeFaults.put(entry, random.nextBoolean() ? CallFault.SILENT : CallFault.REFUSED);
        world.time.schedule(
                MIN_CUT_MILLIS + random.nextInt(CUT_RANGE_MILLIS), () -> world.net.storeFaults.remove(entry));
    }

    private long entryDownMillis() {
        return MIN_ENTRY_DOWN_MILLIS + random.nextInt(ENTRY_DOWN_RANGE_MILLIS);
    }

    private <T> T pick(List<T> all) {
        return all.get(random.nextInt(all.size()));
    }
}
