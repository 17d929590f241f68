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
import org.lupinpaddle.core.job.Repeat;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.job.Submission;

/**
 * Generates load that rotates between the queues: each queue in turn submits about five times its mean rate for a few
 * seconds, and a twentieth of it the rest of the time. Each queue also has one long-running job.
 */
final class RotatingLoad {

    private static final long BURST_MILLIS = 4_500;
    // 4.5 s at five times the mean and 18.9 s at a twentieth of it average to about the mean.
    private static final long PERIOD_MILLIS = 23_400;
    private static final double BURST_FACTOR = 5;
    private static final double IDLE_FACTOR = 0.05;
    private static final int TICK_MILLIS = 10;
    private static final double TICKS_PER_SECOND = 100;
    private static final int LONG_RUNNING_TASKS = 24;
    private static final int TASKS_PER_STEP = 8;
    private static final int MAX_STEPS = 4;

    /** Mean rate of each queue in jobs per second, in the order of the site's services; 37 in total. */
    private static final List<Double> MEAN_JOBS_PER_SECOND = List.of(13.3, 3.2, 16.6, 3.9);

    private final World world;
    private int nextCaller;

    RotatingLoad(World world) {
        this.world = world;
    }

    /** Schedules all submissions between two times. */
    void plan(long from, long until) {
        int queues = world.site.services().size();
        for (int q = 0; q < queues; q++) {
            submit(from, q, longRunningJob());
        }
        for (long at = from; at < until; at += TICK_MILLIS) {
            for (int q = 0; q < queues; q++) {
                boolean inBurst = Math.floorMod(at - from - q * PERIOD_MILLIS / queues, PERIOD_MILLIS) < BURST_MILLIS;
                double mean = MEAN_JOBS_PER_SECOND.get(q % MEAN_JOBS_PER_SECOND.size()) / TICKS_PER_SECOND;
                if (world.random.nextDouble() < mean * (inBurst ? BURST_FACTOR : IDLE_FACTOR)) {
                    submit(at, q, finiteJob());
                }
            }
        }
    }

    private void submit(long at, int queue, Submission s) {
        SimCaller c = new SimCaller(
                world, world.history, nextCaller++, world.site.services().get(queue), s, false);
        world.time.schedule(at - world.time.now(), c::submit);
    }

    private static Submission longRunningJob() {
        StepSpec step = StepSpec.builder(LONG_RUNNING_TASKS, new StepSpec.Need(2_550, 3_600, 0))
                .longRunning(true, 1)
                .perWorkerMost(2)
                .build();
        return new Submission("lasting", List.of(step), Repeat.ONCE);
    }

    private String jobText() {
        String name = "job " + nextCaller;
        return name + "-".repeat(Math.max(0, world.site.textBytes() - name.length()));
    }

    private Submission finiteJob() {
        int count = 1 + world.random.nextInt(MAX_STEPS);
        List<StepSpec> steps = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            steps.add(StepSpec.builder(TASKS_PER_STEP, new StepSpec.Need(1_500, 800, 0))
                    .estimateMillis(1_000)
                    .after(i == 0 ? List.of() : List.of(i - 1))
                    .build());
        }
        return new Submission(jobText(), steps, Repeat.ONCE);
    }
}
