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
 * Adds outages of whole halls: all workers of a hall crash at once and return together under new ids, cold. Uses its
 * own random generator, so that histories without these outages do not change.
 */
final class HallOutages {

    private static final long SEED = 0xc01d;
    private static final int MAX_EVENTS = 2;
    private static final int MIN_DOWN_MILLIS = 500;
    private static final int DOWN_RANGE_MILLIS = 6_000;

    private final World world;
    private final Random random;

    HallOutages(World world, long seed) {
        this.world = world;
        random = new Random(seed ^ SEED);
    }

    void plan(long from, long millis) {
        int events = 1 + random.nextInt(MAX_EVENTS);
        for (int i = 0; i < events; i++) {
            world.time.schedule(from + random.nextInt((int) millis), this::begin);
        }
    }

    private void begin() {
        List<String> halls = world.site.halls();
        String hall = halls.get(random.nextInt(halls.size()));
        long millis = MIN_DOWN_MILLIS + random.nextInt(DOWN_RANGE_MILLIS);
        SimWorker.ColdPhase cold = SimWorker.ColdPhase.random(random);
        world.history.add("outage of " + hall + " for " + millis + " ms, then " + cold);
        world.fleet.loseHall(hall, millis, cold);
    }
}
