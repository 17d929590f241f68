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
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import org.lupinpaddle.core.job.Repeat;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.job.Submission;
import org.lupinpaddle.core.job.TaskId;

/**
 * Adds jobs with tasks that crash every worker that starts them: a single task or a whole step, at the start or after
 * some of the work, finite or long-running. Some workers or whole racks also crash without a cause. Uses its own random
 * generator, so that a seed produces the same base history with and without it.
 */
final class CrashingTasks {

    private static final long SEED = 0xc4a5;
    private static final int JOBS = 4;
    private static final int FIRST_CALLER = 1_000;
    private static final int MIN_WORK_MILLIS = 10;
    private static final int WORK_RANGE_MILLIS = 2_000;
    private static final int MIN_DOWN_MILLIS = 1_000;
    private static final int DOWN_RANGE_MILLIS = 4_000;
    private static final int MAX_OTHER_CRASHES = 4;

    private final World world;
    private final Random random;
    private final Map<String, Map<TaskId, Long>> crashDelays = new HashMap<>();
    private int workersLost;

    CrashingTasks(World world, long seed) {
        this.world = world;
        random = new Random(seed ^ SEED);
    }

    void plan(long from, long millis) {
        for (int i = 0; i < JOBS; i++) {
            int number = FIRST_CALLER + i;
            world.time.schedule(from + random.nextInt((int) millis), () -> submitJob(number));
        }
        int crashes = random.nextInt(MAX_OTHER_CRASHES + 1);
        for (int i = 0; i < crashes; i++) {
            world.time.schedule(from + random.nextInt((int) millis), this::crashWithoutCause);
        }
    }

    private void submitJob(int number) {
        boolean longRunning = random.nextInt(4) == 0;
        int count = 1 + random.nextInt(4);
        StepSpec.Need need = new StepSpec.Need(500 + random.nextInt(1_500), 200, 0);
        StepSpec.Builder builder = StepSpec.builder(count, need);
        StepSpec step = longRunning
                ? builder.longRunning(true, 1).build()
                : builder.estimateMillis(500)
                        .checkpointing(random.nextBoolean())
                        .build();
        Submission s = new Submission("crashing " + number, List.of(step), Repeat.ONCE);
        String service = world.service(random.nextInt(2));
        SimCaller caller = new SimCaller(world, world.history, number, service, s, false);
        crashDelays.put(caller.id(), chooseCrashingTasks(count));
        world.history.add("crashing " + caller.id() + " " + crashDelays.get(caller.id()));
        caller.submit();
    }

    private Map<TaskId, Long> chooseCrashingTasks(int count) {
        boolean all = random.nextBoolean();
        boolean immediately = random.nextBoolean();
        long after = MIN_WORK_MILLIS + (immediately ? 0 : random.nextInt(WORK_RANGE_MILLIS));
        Map<TaskId, Long> chosen = new HashMap<>();
        int chosenIndex = random.nextInt(count);
        for (int i = 0; i < count; i++) {
            if (all || i == chosenIndex) {
                chosen.put(new TaskId(0, 0, i), after);
            }
        }
        return chosen;
    }

    private void crashWithoutCause() {
        List<SimWorker> up = new ArrayList<>(world.fleet.workers());
        if (up.isEmpty()) {
            return;
        }
        SimWorker target = up.get(random.nextInt(up.size()));
        boolean wholeRack = random.nextBoolean();
        List<SimWorker> targets = up.stream()
                .filter(w -> wholeRack
                        ? w.facts().failureDomain().equals(target.facts().failureDomain())
                        : w == target)
                .toList();
        world.history.add(
                "crash by themselves: " + targets.stream().map(SimWorker::id).toList());
        targets.forEach(this::crash);
    }

    private void crash(SimWorker w) {
        world.fleet.crash(w, MIN_DOWN_MILLIS + random.nextInt(DOWN_RANGE_MILLIS));
    }

    /** Returns how long after its start a task crashes its worker, or nothing if it does not. */
    OptionalLong crashDelayMillis(String job, TaskId task) {
        Long millis = crashDelays.getOrDefault(job, Map.of()).get(task);
        return millis == null ? OptionalLong.empty() : OptionalLong.of(millis);
    }

    /** Records that a task has crashed its worker and takes the worker down. */
    void onCrash(SimWorker w, String job, TaskId task) {
        workersLost++;
        world.history.add(w.id() + " crashes under " + job + "." + task);
        crash(w);
    }

    /** Returns the number of workers that such tasks have crashed. */
    int workersLost() {
        return workersLost;
    }

    /** Returns whether some of the job's tasks crash their workers. */
    boolean hasCrashingTasks(String job) {
        return crashDelays.containsKey(job);
    }
}
