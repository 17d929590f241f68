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
 * Adds times in which the store is away, slow or loses the answers to writes, some of them right after a change of
 * owner, while short tasks end beside long-running ones. Uses its own random generator, so that histories without this
 * option do not change.
 */
final class StoreOutages {

    private static final long SEED = 0x57_0a3e;
    private static final int FIRST_CALLER = 400;
    private static final int LONG_RUNNING_TASKS = 4;
    private static final int LONG_RUNNING_CPU_MILLIS = 600;
    private static final int MIN_JOB_INTERVAL_MILLIS = 100;
    private static final int JOB_INTERVAL_RANGE_MILLIS = 600;
    private static final int MAX_OUTAGES = 2;
    private static final int MIN_OUTAGE_MILLIS = 3_000;
    private static final int OUTAGE_RANGE_MILLIS = 6_000;
    // The next owner wins the service 1.5 to 2 s after the end of the former one.
    private static final int MIN_TAKE_OVER_MILLIS = 1_500;
    private static final int TAKE_OVER_RANGE_MILLIS = 2_500;
    private static final int OWNER_DOWN_MILLIS = 3_000;
    // Calls time out after 1 s.
    private static final long SLOW_DELAY_MILLIS = 1_200;

    private final World world;
    private final Random random;
    private int nextCaller = FIRST_CALLER;

    private enum Outage {
        SILENT((w, random) -> w.net.storeFault = CallFault.SILENT),
        REFUSING((w, random) -> w.net.storeFault = CallFault.REFUSED),
        LOSING_ANSWERS((w, random) -> {
            w.net.storeFault = random.nextBoolean() ? CallFault.ANSWER_LOST : CallFault.LATE;
            w.net.storeFaultShare = 1;
        }),
        SLOW((w, random) -> w.net.storeDelay = SLOW_DELAY_MILLIS);

        private final BiConsumer<World, Random> begin;

        Outage(BiConsumer<World, Random> begin) {
            this.begin = begin;
        }
    }

    StoreOutages(World world, long seed) {
        this.world = world;
        random = new Random(seed ^ SEED);
    }

    void plan(long from, long millis) {
        for (String service : world.site.services()) {
            Submission s = longRunningJob();
            world.time.schedule(from, () -> submit(service, s));
        }
        long at = from;
        while (at < from + millis) {
            String service = pick(world.site.services());
            Submission s = shortJob();
            world.time.schedule(at, () -> submit(service, s));
            at += MIN_JOB_INTERVAL_MILLIS + random.nextInt(JOB_INTERVAL_RANGE_MILLIS);
        }
        int outages = 1 + random.nextInt(MAX_OUTAGES);
        for (int i = 0; i < outages; i++) {
            world.time.schedule(from + random.nextInt((int) millis), this::inject);
        }
    }

    private Submission longRunningJob() {
        StepSpec step = StepSpec.builder(LONG_RUNNING_TASKS, new StepSpec.Need(LONG_RUNNING_CPU_MILLIS, 200, 0))
                .longRunning(true, 1)
                .build();
        return new Submission("lasting " + nextCaller, List.of(step), Repeat.ONCE);
    }

    private Submission shortJob() {
        StepSpec step = StepSpec.builder(1 + random.nextInt(3), new StepSpec.Need(300 + random.nextInt(700), 200, 0))
                .estimateMillis(1_000)
                .build();
        return new Submission("job", List.of(step), Repeat.ONCE);
    }

    private void submit(String service, Submission s) {
        new SimCaller(world, world.history, nextCaller++, service, s, false).submit();
    }

    private void inject() {
        Outage outage = pick(List.of(Outage.values()));
        long millis = MIN_OUTAGE_MILLIS + random.nextInt(OUTAGE_RANGE_MILLIS);
        boolean pausesLeases = random.nextBoolean();
        long delayMillis = random.nextBoolean() ? endOwner(pick(world.site.services())) : 0;
        world.time.schedule(delayMillis, () -> begin(outage, millis, pausesLeases));
    }

    /** Ends the owner of a service and returns after which time the next one is likely to have it. */
    private long endOwner(String service) {
        String owner = world.owner(service);
        if (!owner.isEmpty()) {
            world.history.add("owner " + owner + " of " + service + " ends");
            world.entry(owner).kill(OWNER_DOWN_MILLIS);
        }
        return MIN_TAKE_OVER_MILLIS + random.nextInt(TAKE_OVER_RANGE_MILLIS);
    }

    private void begin(Outage outage, long millis, boolean pausesLeases) {
        world.history.add("store " + outage + " for " + millis + " ms" + (pausesLeases ? ", leases paused" : ""));
        outage.begin.accept(world, random);
        world.store.setLeasesPaused(pausesLeases);
        world.time.schedule(millis, this::end);
    }

    private void end() {
        world.net.storeFault = CallFault.NONE;
        world.net.storeDelay = 0;
        world.store.setLeasesPaused(false);
    }

    private <T> T pick(List<T> all) {
        return all.get(random.nextInt(all.size()));
    }
}
