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

/**
 * Adds workers that crash and restart under their ids: one worker, a rack or all workers of a service; with a short or
 * long downtime, once or twice in a row, while unreachable or while orders arrive late. Uses its own random generator,
 * so that a seed produces the same history with and without it up to the first restart.
 */
final class WorkerRestarts {

    private static final long SEED = 0x1d_e77;
    private static final int MAX_EVENTS = 6;
    private static final int MIN_DOWN_MILLIS = 20;
    private static final int SHORT_DOWN_RANGE_MILLIS = 200;
    private static final int LONG_DOWN_RANGE_MILLIS = 4_000;
    private static final int MAX_LEAD_MILLIS = 400;
    private static final int MAX_CONDITION_MILLIS = 6_000;
    private static final int MAX_REPEAT_DELAY_MILLIS = 2_500;

    private final World world;
    private final Random random;

    /** Which workers restart together. */
    private enum Scope {
        ONE {
            @Override
            boolean covers(SimWorker target, SimWorker w) {
                return w == target;
            }
        },
        RACK {
            @Override
            boolean covers(SimWorker target, SimWorker w) {
                return w.facts().failureDomain().equals(target.facts().failureDomain());
            }
        },
        SERVICE {
            @Override
            boolean covers(SimWorker target, SimWorker w) {
                return w.service().equals(target.service());
            }
        };

        abstract boolean covers(SimWorker target, SimWorker w);
    }

    /** The network condition of the workers around the restart. */
    private enum NetworkCondition {
        PLAIN,
        CUT,
        LATE_ORDERS
    }

    WorkerRestarts(World world, long seed) {
        this.world = world;
        random = new Random(seed ^ SEED);
    }

    void plan(long from, long millis) {
        int events = 1 + random.nextInt(MAX_EVENTS);
        for (int i = 0; i < events; i++) {
            world.time.schedule(from + random.nextInt((int) millis), this::injectRestart);
        }
    }

    /** Returns whether a worker that crashes for another reason returns under its id. */
    boolean keepsId() {
        return random.nextInt(4) != 0;
    }

    private void injectRestart() {
        List<SimWorker> up = world.fleet.workers();
        if (up.isEmpty()) {
            return;
        }
        SimWorker target = up.get(random.nextInt(up.size()));
        Scope scope = pick(Scope.values());
        NetworkCondition condition = pick(NetworkCondition.values());
        List<String> targets = up.stream()
                .filter(w -> scope.covers(target, w))
                .map(SimWorker::id)
                .toList();
        world.history.add("restart of " + targets + " " + condition);
        targets.forEach(id -> applyCondition(id, condition));
        boolean repeated = random.nextInt(3) == 0;
        long leadMillis = condition == NetworkCondition.PLAIN ? 0 : random.nextInt(MAX_LEAD_MILLIS);
        world.time.schedule(leadMillis, () -> targets.forEach(this::restart));
        if (repeated) {
            world.time.schedule(
                    leadMillis + random.nextInt(MAX_REPEAT_DELAY_MILLIS), () -> targets.forEach(this::restart));
        }
    }

    private <T> T pick(T[] all) {
        return all[random.nextInt(all.length)];
    }

    private void applyCondition(String id, NetworkCondition condition) {
        long durationMillis = 500 + random.nextInt(MAX_CONDITION_MILLIS);
        if (condition == NetworkCondition.CUT) {
            world.net.unreachableWorkers.add(id);
            world.time.schedule(durationMillis, () -> world.net.unreachableWorkers.remove(id));
        } else if (condition == NetworkCondition.LATE_ORDERS) {
            world.net.workersWithLateOrders.add(id);
            world.time.schedule(durationMillis, () -> world.net.workersWithLateOrders.remove(id));
        }
    }

    private void restart(String id) {
        boolean shortOutage = random.nextBoolean();
        long down = MIN_DOWN_MILLIS + random.nextInt(shortOutage ? SHORT_DOWN_RANGE_MILLIS : LONG_DOWN_RANGE_MILLIS);
        world.fleet.workers().stream()
                .filter(w -> w.id().equals(id))
                .findFirst()
                .ifPresent(w -> world.fleet.restart(w, down));
    }
}
