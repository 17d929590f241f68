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
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.jspecify.annotations.Nullable;

/**
 * Adds workers that restart under their ids with arbitrary clocks and become unreachable soon after, many of them around
 * a start: one worker or a rack, sometimes with a new entry in the store that arrives late, while orders arrive late, or
 * with their owner killed in between. Uses its own random generator, so that a seed produces the same history with and
 * without it up to the first such restart.
 */
final class RestartCuts {

    private static final long SEED = 0x2e_c075;
    private static final int MAX_EVENTS = 6;
    private static final int MAX_LEAD_MILLIS = 4;
    private static final int MIN_DOWN_MILLIS = 20;
    private static final int SHORT_DOWN_RANGE_MILLIS = 200;
    private static final int LONG_DOWN_RANGE_MILLIS = 4_000;
    private static final int MAX_REACHABLE_MILLIS = 1_500;
    private static final int MAX_MILLIS_AFTER_START = 100;
    private static final int MIN_CUT_MILLIS = 2_000;
    private static final int CUT_RANGE_MILLIS = 12_000;
    private static final int MAX_ENTRY_DELAY_MILLIS = 1_500;
    private static final int ENTRY_AFTER_CUT_MILLIS = 20_000;
    private static final int LATE_ORDERS_MILLIS = 1_000;
    private static final int MAX_MILLIS_TO_KILL = 3_000;
    private static final int MIN_OWNER_DOWN_MILLIS = 500;
    private static final int OWNER_DOWN_RANGE_MILLIS = 4_000;
    private static final int LOW_CLOCK_MILLIS = 100_000;
    private static final int HIGH_CLOCK_MILLIS = 8_000_000;
    private static final int CLOSE_CLOCK_MILLIS = 10_000;

    private final World world;
    private final Random random;
    private final Map<String, Cut> untilNextStart = new HashMap<>();
    private final Map<SimWorker, SimWorker> formerIncarnations = new HashMap<>();
    /** How many events wait for the next start. */
    private int armed;

    private long endsAt;

    /** A cut of one incarnation that is due at its next start, or at the given time if there is none before. */
    private record Cut(SimWorker incarnation, int millis) {}

    /** The clock of the new incarnation, compared with the former one. */
    private enum NewClock {
        LOW {
            @Override
            long draw(Random random, long former) {
                return random.nextInt(LOW_CLOCK_MILLIS);
            }
        },
        BEHIND {
            @Override
            long draw(Random random, long former) {
                return random.nextLong(former + 1);
            }
        },
        CLOSE {
            @Override
            long draw(Random random, long former) {
                return Math.max(0, former + random.nextInt(2 * CLOSE_CLOCK_MILLIS) - CLOSE_CLOCK_MILLIS);
            }
        },
        ANY {
            @Override
            long draw(Random random, long former) {
                return random.nextInt(HIGH_CLOCK_MILLIS);
            }
        };

        abstract long draw(Random random, long former);
    }

    /** When the store shows the new incarnation. */
    private enum NewEntry {
        AT_ONCE,
        LATE,
        AFTER_THE_CUT
    }

    RestartCuts(World world, long seed) {
        this.world = world;
        random = new Random(seed ^ SEED);
    }

    void plan(long from, long millis) {
        endsAt = from + millis;
        int events = 1 + random.nextInt(MAX_EVENTS);
        for (int i = 0; i < events; i++) {
            world.time.schedule(from + random.nextInt((int) millis), this::begin);
        }
    }

    private void begin() {
        List<SimWorker> up = world.fleet.workers();
        if (random.nextBoolean()) {
            armed++;
        } else if (!up.isEmpty()) {
            inject(up.get(random.nextInt(up.size())));
        }
    }

    /** Injects what waits for a start that an entry sends now. */
    void onStart(String id) {
        SimWorker w = findUp(id);
        if (w == null) {
            return;
        }
        Cut cut = untilNextStart.remove(id);
        if (cut != null) {
            world.time.schedule(random.nextInt(MAX_MILLIS_AFTER_START), () -> cutOff(cut));
        } else if (armed > 0 && world.time.now() < endsAt) {
            armed--;
            inject(w);
        }
    }

    /** Returns what the clock of the worker's former incarnation would show now, or its own clock if it has none. */
    long formerClock(SimWorker w) {
        return formerIncarnations.getOrDefault(w, w).clock();
    }

    private @Nullable SimWorker findUp(String id) {
        return world.fleet.workers().stream()
                .filter(w -> w.id().equals(id))
                .findFirst()
                .orElse(null);
    }

    private void inject(SimWorker target) {
        boolean rack = random.nextInt(3) == 0;
        boolean lateOrders = random.nextInt(3) == 0;
        boolean ownerKilled = random.nextInt(4) == 0;
        List<SimWorker> targets = world.fleet.workers().stream()
                .filter(w -> w == target || (rack && sharesRack(w, target)))
                .toList();
        targets.forEach(w -> {
            if (lateOrders) {
                world.net.workersWithLateOrders.add(w.id());
                world.time.schedule(LATE_ORDERS_MILLIS, () -> world.net.workersWithLateOrders.remove(w.id()));
            }
            world.time.schedule(random.nextInt(MAX_LEAD_MILLIS), () -> restart(w));
        });
        if (ownerKilled) {
            world.time.schedule(random.nextInt(MAX_MILLIS_TO_KILL), () -> killOwner(target.service()));
        }
    }

    private static boolean sharesRack(SimWorker w, SimWorker target) {
        return w.facts().failureDomain().equals(target.facts().failureDomain());
    }

    private void killOwner(String service) {
        String owner = world.owner(service);
        if (!owner.isEmpty()) {
            world.history.add("owner " + owner + " of " + service + " killed");
            world.entry(owner).kill(MIN_OWNER_DOWN_MILLIS + random.nextInt(OWNER_DOWN_RANGE_MILLIS));
        }
    }

    private void restart(SimWorker w) {
        int downMillis = MIN_DOWN_MILLIS
                + random.nextInt(random.nextBoolean() ? SHORT_DOWN_RANGE_MILLIS : LONG_DOWN_RANGE_MILLIS);
        long clock = pick(NewClock.values()).draw(random, w.clock());
        int entryDelayMillis =
                switch (pick(NewEntry.values())) {
                    case AT_ONCE -> 0;
                    case LATE -> random.nextInt(MAX_ENTRY_DELAY_MILLIS);
                    case AFTER_THE_CUT -> ENTRY_AFTER_CUT_MILLIS;
                };
        int reachableMillis = random.nextInt(MAX_REACHABLE_MILLIS);
        int cutMillis = MIN_CUT_MILLIS + random.nextInt(CUT_RANGE_MILLIS);
        boolean atStart = random.nextInt(3) != 0;
        world.history.add("restart of " + w.id() + ", down for " + downMillis + " ms, clock " + w.clock() + " then "
                + clock + ", entry after " + entryDelayMillis + " ms, reachable for " + reachableMillis + " ms"
                + (atStart ? " or until a start" : ""));
        world.fleet.restart(w, downMillis, clock, entryDelayMillis, returned -> {
            formerIncarnations.put(returned, w);
            Cut cut = new Cut(returned, cutMillis);
            if (atStart) {
                untilNextStart.put(w.id(), cut);
            }
            world.time.schedule(reachableMillis, () -> {
                if (!atStart || untilNextStart.remove(w.id(), cut)) {
                    cutOff(cut);
                }
            });
        });
    }

    private void cutOff(Cut cut) {
        String id = cut.incarnation.id();
        if (cut.incarnation.isUp() && world.net.unreachableWorkers.add(id)) {
            world.history.add("cut of " + id + " for " + cut.millis + " ms");
            world.time.schedule(cut.millis, () -> world.net.unreachableWorkers.remove(id));
        }
    }

    private <T> T pick(T[] all) {
        return all[random.nextInt(all.length)];
    }
}
