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
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * Configuration changes that give queues other services, and callers that submit accepted jobs again. Uses its own random
 * generator, so that histories without these changes stay the same.
 */
final class SimReroutes {

    private static final long SEED = 0x4e07;
    private static final int CHANGES = 6;
    private static final int MAX_REPEATS = 3;
    private static final int MAX_REPEAT_DELAY_MILLIS = 8_000;

    private final World world;
    private final Random random;
    /** The current service of each queue, where it is not the one that the queue is named after. */
    private final Map<String, String> moved = new HashMap<>();
    /** All services that each queue has had. */
    private final Map<String, Set<String>> had = new HashMap<>();

    SimReroutes(World world, long seed) {
        this.world = world;
        random = new Random(seed ^ SEED);
    }

    void plan(long from, long millis) {
        for (int i = 0; i < CHANGES; i++) {
            world.time.schedule(from + random.nextInt((int) millis), this::change);
        }
    }

    private void change() {
        List<String> services = world.site.services();
        String queue = services.get(random.nextInt(services.size()));
        moved.put(queue, services.get(random.nextInt(services.size())));
        world.history.add("queue of " + queue + " gets service " + moved.get(queue));
        world.writeConfiguration();
    }

    /** Returns the current service of a queue, for the configuration that is being written. */
    String configuredService(String queue) {
        String service = moved.getOrDefault(queue, queue);
        had.computeIfAbsent(queue, q -> new HashSet<>()).add(service);
        return service;
    }

    /** Returns whether any configuration has assigned the queue to the service. */
    boolean hasAssigned(String queue, String service) {
        return had.getOrDefault(queue, Set.of()).contains(service);
    }

    /** Schedules repetitions of a submission that has been accepted. */
    void planRepeats(Runnable submitAgain) {
        int repeats = random.nextInt(MAX_REPEATS + 1);
        for (int i = 0; i < repeats; i++) {
            world.time.schedule(random.nextInt(MAX_REPEAT_DELAY_MILLIS), submitAgain);
        }
    }
}
