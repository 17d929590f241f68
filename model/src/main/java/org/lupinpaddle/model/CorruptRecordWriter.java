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
import org.lupinpaddle.core.job.SchedulerKeys;

/**
 * Writes malformed records into the store: over the records of workers, under the ids of workers that do not exist, and
 * as evacuation requests. Uses its own random generator, so that a seed produces the same base history with and without
 * it.
 */
final class CorruptRecordWriter {

    private static final long INTERVAL_MILLIS = 400;
    private static final int MAX_CORRUPT_MILLIS = 6_000;
    private static final long SEED = 0x0dd;
    private static final String[] MALFORMED_VALUES = {
        "",
        "{",
        "[]",
        "{}",
        "null",
        "7",
        "\"text\"",
        "{\"id\":7}",
        "{\"id\":\"w\",\"service\":\"clips\"}",
        "\u0000\uffff"
    };

    private final World world;
    private final Random random;
    private final long until;

    CorruptRecordWriter(World world, long seed, long until) {
        this.world = world;
        this.until = until;
        random = new Random(seed ^ SEED);
    }

    void start() {
        world.time.schedule(INTERVAL_MILLIS, this::write);
    }

    private void write() {
        if (world.time.now() >= until) {
            return;
        }
        switch (random.nextInt(4)) {
            case 0, 1 -> world.fleet.corruptRecord(worker(), value(), 1 + random.nextInt(MAX_CORRUPT_MILLIS));
            case 2 -> putTemporarily(World.WORKERS + "nobody-" + random.nextInt(5));
            default -> putTemporarily(SchedulerKeys.evacuation("clips", "nobody-" + random.nextInt(5)));
        }
        world.time.schedule(INTERVAL_MILLIS, this::write);
    }

    private SimWorker worker() {
        var all = world.fleet.workers();
        return all.get(random.nextInt(all.size()));
    }

    /** Writes a malformed record and removes it later. */
    private void putTemporarily(String key) {
        world.history.add("another writer puts " + key);
        put(world.store, key, value());
        world.time.schedule(1 + random.nextInt(MAX_CORRUPT_MILLIS), () -> world.store.clear(key));
    }

    private String value() {
        return MALFORMED_VALUES[random.nextInt(MALFORMED_VALUES.length)];
    }

    /** Writes a value; the empty string stands for bytes that are not text. */
    static void put(SimStore store, String key, String value) {
        if (value.isEmpty()) {
            store.putNonText(key);
        } else {
            store.set(key, value);
        }
    }
}
