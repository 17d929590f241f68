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
 * Adds partitions, kills and freezes of the fleet's owner, most of them within the milliseconds in which one of its
 * orders is on its way, and times in which the instance API is slow. Some faults meet the next owner as well.
 */
final class OrderFaults {

    private static final int MAX_EVENTS = 4;
    private static final int MAX_ORDER_MILLIS = 6;
    private static final int MIN_CUT_MILLIS = 2_000;
    private static final int CUT_RANGE_MILLIS = 6_000;
    private static final int MIN_FREEZE_MILLIS = 1_000;
    private static final int FREEZE_RANGE_MILLIS = 7_000;
    private static final int MIN_DOWN_MILLIS = 500;
    private static final int DOWN_RANGE_MILLIS = 4_000;
    // While an order is unanswered, the client has not yet given it up.
    private static final int UNANSWERED_MILLIS = 700;
    private static final int MAX_LEAD_MILLIS = 20;

    private final World world;
    private final HeldOrders network;
    private final Random random;
    /** How many events wait for the next order of the fleet's owner. */
    private int armed;
    /** The entry that the latest event has met; the event that follows it meets another one. */
    private String latestTarget = "";

    private long endsAt;

    /** What an entry is cut off from. */
    private enum Cut {
        NONE,
        INSTANCE_API,
        STORE_AND_INSTANCE_API,
        HALL
    }

    /** What becomes of the entry's process. */
    private enum ProcessFault {
        NONE,
        KILLED_WHILE_CUT_OFF,
        FROZEN_BEFORE_CUT,
        FROZEN_WHILE_CUT_OFF
    }

    OrderFaults(World world, HeldOrders network) {
        this.world = world;
        this.network = network;
        random = network.random;
    }

    void plan(long from, long millis) {
        endsAt = from + millis;
        int events = 1 + random.nextInt(MAX_EVENTS);
        for (int i = 0; i < events; i++) {
            world.time.schedule(from + random.nextInt((int) millis), this::begin);
        }
    }

    private void begin() {
        latestTarget = "";
        String owner = world.owner("@fleet");
        if (random.nextInt(4) == 0 && !owner.isEmpty()) {
            inject(owner);
        } else {
            armed++;
        }
    }

    /**
     * Injects a waiting event around an order that an entry has just handed to its client, unless the time of the
     * faults is over.
     */
    void onOrder(String entry) {
        if (armed > 0 && world.time.now() < endsAt && !entry.equals(latestTarget)) {
            armed--;
            latestTarget = entry;
            world.time.schedule(random.nextInt(MAX_ORDER_MILLIS), () -> inject(entry));
        }
    }

    private void inject(String entry) {
        Cut cut = pick(Cut.values());
        ProcessFault fault = pick(ProcessFault.values());
        int cutMillis = MIN_CUT_MILLIS + random.nextInt(CUT_RANGE_MILLIS);
        boolean slow = random.nextInt(3) == 0;
        boolean meetsSuccessor = random.nextInt(3) == 0;
        world.history.add("around an order of " + entry + ": cut " + cut + " for " + cutMillis + " ms, " + fault
                + (slow ? ", slow" : "") + (meetsSuccessor ? ", the next owner too" : ""));
        if (slow) {
            network.slowDown(cutMillis);
        }
        if (meetsSuccessor) {
            armed++;
        }
        long leadMillis = fault == ProcessFault.FROZEN_BEFORE_CUT ? random.nextInt(MAX_LEAD_MILLIS) : 0;
        world.time.schedule(leadMillis, () -> cutOff(world.entry(entry), cut, cutMillis));
        disturb(world.entry(entry), fault, cutMillis);
    }

    private void cutOff(SimEntry entry, Cut cut, int millis) {
        switch (cut) {
            case NONE -> {}
            case INSTANCE_API -> network.cutOff(entry.name, millis);
            case STORE_AND_INSTANCE_API -> {
                network.cutOff(entry.name, millis);
                world.net.storeFaults.put(entry.name, CallFault.SILENT);
                world.time.schedule(millis, () -> world.net.storeFaults.remove(entry.name));
            }
            case HALL -> {
                world.net.isolatedHalls.add(entry.hall);
                world.time.schedule(millis, () -> world.net.isolatedHalls.remove(entry.hall));
            }
        }
    }

    private void disturb(SimEntry entry, ProcessFault fault, int cutMillis) {
        switch (fault) {
            case NONE -> {}
            case KILLED_WHILE_CUT_OFF -> {
                int downMillis = MIN_DOWN_MILLIS + random.nextInt(DOWN_RANGE_MILLIS);
                world.time.schedule(momentWithin(cutMillis), () -> entry.kill(downMillis));
            }
            case FROZEN_BEFORE_CUT -> entry.freeze(freezeMillis());
            case FROZEN_WHILE_CUT_OFF -> {
                int freezeMillis = freezeMillis();
                world.time.schedule(momentWithin(cutMillis), () -> entry.freeze(freezeMillis));
            }
        }
    }

    private int freezeMillis() {
        return MIN_FREEZE_MILLIS + random.nextInt(FREEZE_RANGE_MILLIS);
    }

    /** Returns a moment within a cut, most often one at which an order may still be unanswered. */
    private int momentWithin(int cutMillis) {
        return random.nextInt(random.nextInt(4) == 0 ? cutMillis : UNANSWERED_MILLIS);
    }

    private <T> T pick(T[] all) {
        return all[random.nextInt(all.length)];
    }
}
