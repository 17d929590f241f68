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
 * Demand that comes by turns: each queue in its turn asks for some seconds about five times its mean, and a twentieth
 * in between. One job of each queue lasts.
 */
final class Turns {

    private static final long TURN_MILLIS = 4_500;
    // Of 23.4 s, 4.5 s at five times the mean and the rest at a twentieth give the mean.
    private static final long ROUND_MILLIS = 23_400;
    private static final double HIGH = 5;
    private static final double LOW = 0.05;
    private static final int STEP_MILLIS = 10;
    private static final double STEPS_PER_SECOND = 100;
    private static final int LASTING_TASKS = 24;
    private static final int TASKS_PER_STEP = 8;
    private static final int MOST_STEPS = 4;

    /** Jobs a second of each queue, in the order of the site's services: 37 together. */
    private static final List<Double> MEANS = List.of(13.3, 3.2, 16.6, 3.9);

    private final World world;
    private int next;

    Turns(World world) {
        this.world = world;
    }

    /** Hands jobs in from one moment to another. */
    void plan(long from, long until) {
        int queues = world.site.services().size();
        for (int q = 0; q < queues; q++) {
            handIn(from, q, lasting());
        }
        for (long at = from; at < until; at += STEP_MILLIS) {
            for (int q = 0; q < queues; q++) {
                boolean inTurn = Math.floorMod(at - from - q * ROUND_MILLIS / queues, ROUND_MILLIS) < TURN_MILLIS;
                double mean = MEANS.get(q % MEANS.size()) / STEPS_PER_SECOND;
                if (world.random.nextDouble() < mean * (inTurn ? HIGH : LOW)) {
                    handIn(at, q, job());
                }
            }
        }
    }

    private void handIn(long at, int queue, Submission s) {
        SimCaller c = new SimCaller(
                world, world.history, next++, world.site.services().get(queue), s, false);
        world.time.after(at - world.time.now(), c::submit);
    }

    private static Submission lasting() {
        StepSpec step = StepSpec.builder(LASTING_TASKS, new StepSpec.Need(2_550, 3_600, 0))
                .longRunning(true, 1)
                .perWorkerMost(2)
                .build();
        return new Submission("lasting", List.of(step), Repeat.ONCE);
    }

    private String text() {
        String name = "job " + next;
        return name + "-".repeat(Math.max(0, world.site.textBytes() - name.length()));
    }

    private Submission job() {
        int count = 1 + world.random.nextInt(MOST_STEPS);
        List<StepSpec> steps = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            steps.add(StepSpec.builder(TASKS_PER_STEP, new StepSpec.Need(1_500, 800, 0))
                    .estimateMillis(1_000)
                    .after(i == 0 ? List.of() : List.of(i - 1))
                    .build());
        }
        return new Submission(text(), steps, Repeat.ONCE);
    }
}
