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
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * The operators' cordons of a history: of one, two or all halls, of different lengths, overlapping, requested again
 * while in force or soon after they were lifted, and beside other faults. The workers of a hall may be cold when its
 * cordon is lifted. Uses its own random generator, so that histories without cordons do not change.
 */
final class SimCordons {

    /** How long after the store has acknowledged a cordon tasks may still start in the hall. */
    static final long BOUND_MILLIS = 5_000;

    private static final long SEED = 0xc0_4d0;
    private static final int MAX_EVENTS = 3;
    private static final int MIN_SHORT_MILLIS = 50;
    private static final int SHORT_RANGE_MILLIS = 3_000;
    // Long enough for starts beyond the bound.
    private static final int MIN_LONG_MILLIS = 5_500;
    private static final int LONG_RANGE_MILLIS = 9_500;
    private static final int MAX_REPEAT_DELAY_MILLIS = 1_500;
    private static final int MAX_FAULT_OFFSET_MILLIS = 800;
    private static final int MIN_SILENT_MILLIS = 3_000;
    private static final int SILENT_RANGE_MILLIS = 12_000;
    private static final int MAX_KILLED_MILLIS = 4_000;
    // Leaves accepted jobs 35 s of the settling time.
    private static final long LAST_LIFT_AFTER_TRAFFIC_MILLIS = 5_000;

    private static final List<Disturbance> DISTURBANCES = List.of(
            fault(Fault.ENTRY_KILLED),
            fault(Fault.ENTRY_FROZEN),
            fault(Fault.ENTRY_TURNED_AWAY),
            fault(Fault.HALL_CUT),
            fault(Fault.STORE_DOWN),
            fault(Fault.STORE_LOSES_ANSWERS),
            fault(Fault.HISTORY_DROPPED),
            fault(Fault.WORKER_LATE),
            SimCordons::killOwner,
            // Twice as likely as the others, because only an owner that the store otherwise answers can start tasks on
            // an old view.
            SimCordons::hideOperatorRecordsFromOwner,
            SimCordons::hideOperatorRecordsFromOwner);

    private final World world;
    private final Random random;
    private final boolean disturbed;
    /** When the store acknowledged the cordons in force, by hall. */
    private final Map<String, Long> acknowledgedAt = new HashMap<>();

    private long lastLiftAt;
    private long latestStartMillis;

    /** A fault that occurs at about the same time as a cordon. */
    private interface Disturbance {
        void inject(SimCordons c);
    }

    SimCordons(World world, long seed, boolean disturbed) {
        this.world = world;
        this.disturbed = disturbed;
        random = new Random(seed ^ SEED);
    }

    void plan(long from, long millis) {
        lastLiftAt = from + millis + LAST_LIFT_AFTER_TRAFFIC_MILLIS;
        int events = 1 + random.nextInt(MAX_EVENTS);
        for (int i = 0; i < events; i++) {
            world.time.schedule(from + random.nextInt((int) millis), this::begin);
        }
    }

    /** Returns the longest time between a cordon and a start in its hall. */
    long latestStartMillis() {
        return latestStartMillis;
    }

    /**
     * Checks the start of a run. The requirement extends the bound for some faults of the store and of the entry's
     * link. No fault extends it here: an entry without a current view starts nothing, so its starts stay within the
     * bound.
     *
     * @param at when the start counts, in milliseconds of virtual time
     */
    void checkStart(SimWorker w, String entry, long at, String what) {
        Long since = acknowledgedAt.get(w.hall());
        if (since == null || at < since) {
            return;
        }
        long millis = at - since;
        latestStartMillis = Math.max(latestStartMillis, millis);
        world.rules.require(
                Rules.Rule.CORDON,
                millis <= BOUND_MILLIS,
                what + " by " + entry + ": " + w.hall() + " was cordoned " + millis + " ms ago");
    }

    private void begin() {
        List<String> halls = pickHalls();
        if (disturbed && random.nextBoolean()) {
            Disturbance d = DISTURBANCES.get(random.nextInt(DISTURBANCES.size()));
            int faultAt = random.nextInt(MAX_FAULT_OFFSET_MILLIS);
            int cordonAt = random.nextInt(MAX_FAULT_OFFSET_MILLIS);
            world.time.schedule(faultAt, () -> disturb(d));
            world.time.schedule(cordonAt, () -> cordon(halls, random.nextInt(3) == 0));
        } else {
            cordon(halls, random.nextInt(3) == 0);
        }
    }

    private List<String> pickHalls() {
        List<String> halls = new ArrayList<>(world.site.halls());
        Collections.shuffle(halls, random);
        int count =
                switch (random.nextInt(4)) {
                    case 0 -> halls.size();
                    case 1 -> 2;
                    default -> 1;
                };
        return List.copyOf(halls.subList(0, count));
    }

    private void cordon(List<String> halls, boolean repeated) {
        long millis = Math.min(durationMillis(), lastLiftAt - world.time.now());
        if (millis <= 0) {
            return;
        }
        world.history.add("cordon of " + halls + " for " + millis + " ms");
        halls.forEach(this::request);
        world.time.schedule(millis, () -> {
            lift(halls);
            if (repeated) {
                world.time.schedule(random.nextInt(MAX_REPEAT_DELAY_MILLIS), () -> cordon(halls, false));
            }
        });
    }

    /** Requests the cordon of a hall. A hall that is already cordoned has been cordoned since the first request. */
    void request(String hall) {
        world.store.set(World.CORDONS + hall, "{}");
        acknowledgedAt.putIfAbsent(hall, world.time.now());
    }

    /** Returns whether the cordon of the hall is in force. */
    boolean isRequested(String hall) {
        return acknowledgedAt.containsKey(hall);
    }

    /** Lifts the cordon of a hall. Returns false if an overlapping request was lifted before. */
    boolean lift(String hall) {
        if (acknowledgedAt.remove(hall) == null) {
            return false;
        }
        world.store.clear(World.CORDONS + hall);
        return true;
    }

    private long durationMillis() {
        return random.nextInt(4) == 0
                ? MIN_SHORT_MILLIS + random.nextInt(SHORT_RANGE_MILLIS)
                : MIN_LONG_MILLIS + random.nextInt(LONG_RANGE_MILLIS);
    }

    private void lift(List<String> halls) {
        halls.stream().filter(this::lift).forEach(hall -> {
            boolean cold = random.nextBoolean();
            world.history.add("cordon of " + hall + " lifted" + (cold ? ", cold" : ""));
            if (cold) {
                world.fleet.chillHall(hall, SimWorker.ColdPhase.random(random));
            }
        });
    }

    private void disturb(Disturbance d) {
        if (!world.fleet.workers().isEmpty()) {
            d.inject(this);
        }
    }

    private static Disturbance fault(Fault f) {
        return c -> f.inject(c.world, c.random, c.world.history::add);
    }

    private void killOwner() {
        String owner = randomOwner();
        if (!owner.isEmpty()) {
            long millis = 500 + random.nextInt(MAX_KILLED_MILLIS);
            world.history.add("owner " + owner + " killed for " + millis + " ms");
            world.entry(owner).kill(millis);
        }
    }

    /** Lets an owner of a service receive no answer to reads and watches of the operators' records. */
    private void hideOperatorRecordsFromOwner() {
        String owner = randomOwner();
        if (!owner.isEmpty()) {
            long millis = MIN_SILENT_MILLIS + random.nextInt(SILENT_RANGE_MILLIS);
            world.history.add("owner " + owner + " without operators' records for " + millis + " ms");
            world.net.entriesWithoutOperatorRecords.add(owner);
            world.time.schedule(millis, () -> world.net.entriesWithoutOperatorRecords.remove(owner));
        }
    }

    private String randomOwner() {
        return world.owner(world.service(random.nextInt(world.site.services().size())));
    }
}
