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

import java.util.Random;

/**
 * Lets workers that execute orders late do so with holds as well. Uses its own random generator, so that a seed produces
 * the same history with and without it up to the first late hold.
 */
final class LateHolds {

    private static final long SEED = 0x1a7e;
    private static final int MIN_DELAY_MILLIS = 2_000;
    private static final int DELAY_RANGE_MILLIS = 10_000;

    private final Network network;
    private final Random random;

    LateHolds(Network network, long seed) {
        this.network = network;
        random = new Random(seed ^ SEED);
    }

    /** Returns whether a hold sent to the worker now is executed late, without an answer. */
    boolean delaysNext(SimWorker w) {
        return network.workersWithLateOrders.contains(w.id()) && random.nextBoolean();
    }

    long delayMillis() {
        return MIN_DELAY_MILLIS + random.nextInt(DELAY_RANGE_MILLIS);
    }
}
