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
import java.util.Map;
import java.util.Random;

/**
 * Makes calls to the platform's instance API obey partitions, as the calls to the store do, and adds faults around the
 * orders of the fleet's owner. A partition holds an order up and delivers it after its end, unless the sender has
 * withdrawn it. Uses its own random generator, so that histories without this option are not affected.
 */
final class HeldOrders {

    private static final long SEED = 0x4e1d;
    private static final int MAX_WRITE_DELAY_MILLIS = 2;
    private static final int MAX_RETRANSMISSION_MILLIS = 400;
    private static final int MAX_EXECUTION_MILLIS = 250;

    final Random random;
    private final World world;
    private final OrderFaults faults;
    private final Map<String, Long> cutOffUntil = new HashMap<>();
    private long slowUntil;

    /**
     * A process that calls the instance API.
     *
     * @param entry the name of its entry
     * @param hall the hall of its entry
     * @param loop its event loop, which also stands for the threads of its client
     */
    record Sender(String entry, String hall, VirtualLoop loop) {}

    HeldOrders(World world, long seed) {
        this.world = world;
        random = new Random(seed ^ SEED);
        faults = new OrderFaults(world, this);
    }

    void plan(long from, long millis) {
        faults.plan(from, millis);
    }

    /** Starts a call with an order; {@link OrderCall#outcome} completes when the call ends. */
    OrderCall start(Sender sender, OrderCall.Order order) {
        OrderCall call = new OrderCall(world, this, sender, order);
        call.start();
        faults.onOrder(sender.entry);
        return call;
    }

    /** Cuts an entry off from the instance API. */
    void cutOff(String entry, long millis) {
        cutOffUntil.merge(entry, world.time.now() + millis, Math::max);
    }

    /** Lets the platform execute orders late. */
    void slowDown(long millis) {
        slowUntil = Math.max(slowUntil, world.time.now() + millis);
    }

    /** Returns whether nothing passes between the entry and the instance API now. */
    boolean isCutOff(Sender sender) {
        return world.net.isolatedHalls.contains(sender.hall)
                || world.time.now() < cutOffUntil.getOrDefault(sender.entry, 0L);
    }

    /** Returns the time until an order is written to the network. */
    long writeDelayMillis() {
        return random.nextInt(MAX_WRITE_DELAY_MILLIS + 1);
    }

    /** Returns the time until bytes without an acknowledgement are sent again. */
    long retransmissionMillis() {
        return 1 + random.nextInt(MAX_RETRANSMISSION_MILLIS);
    }

    /** Returns the time between the arrival of an order and its execution. */
    long executionMillis() {
        return world.time.now() < slowUntil ? random.nextInt(MAX_EXECUTION_MILLIS + 1) : 0;
    }
}
