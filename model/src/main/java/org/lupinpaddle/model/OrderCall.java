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

import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.lupinpaddle.core.fleet.InstanceOperation;
import org.lupinpaddle.core.fleet.InstanceOrderOutcome;
import org.lupinpaddle.daemon.port.InstanceOrders;

/** A call that orders an instance, on a connection of its own to the platform. */
final class OrderCall {

    final CompletableFuture<InstanceOrderOutcome> outcome = new CompletableFuture<>();
    private final World world;
    private final HeldOrders network;
    private final HeldOrders.Sender sender;
    private final Order order;
    private final long startedAt;
    private boolean written;
    private boolean heldUp;
    private boolean givenUp;

    /** An order with its owner and the condition on which it may be written. */
    record Order(String instance, InstanceOperation errand, String holder, long fence, BooleanSupplier maySend) {
        @Override
        public String toString() {
            return "order " + instance + " " + errand + " by " + holder + " fence " + fence;
        }
    }

    OrderCall(World world, HeldOrders network, HeldOrders.Sender sender, Order order) {
        this.world = world;
        this.network = network;
        this.sender = sender;
        this.order = order;
        startedAt = world.time.now();
    }

    void start() {
        sender.loop().after(network.writeDelayMillis(), this::write);
        sender.loop().after(InstanceOrders.CALL_MILLIS, this::giveUp);
    }

    private void write() {
        // When a process resumes, the client's timer and the thread that writes may run in either order.
        if (isOverdue() && network.random.nextBoolean()) {
            giveUp();
        }
        if (outcome.isDone()) {
            return;
        }
        if (!maySend()) {
            outcome.complete(InstanceOrderOutcome.REFUSED);
            return;
        }
        written = true;
        world.net.deliver(world.net.latency(), this::arrive);
    }

    private boolean isOverdue() {
        return world.time.now() - startedAt >= InstanceOrders.CALL_MILLIS;
    }

    private boolean maySend() {
        return world.sabotage == Sabotage.SEND_PERMIT_IGNORED || order.maySend.getAsBoolean();
    }

    private void giveUp() {
        if (!outcome.isDone()) {
            givenUp = true;
            outcome.complete(written ? InstanceOrderOutcome.UNKNOWN : InstanceOrderOutcome.REFUSED);
        }
    }

    /** Delivers the bytes, unless they are held up. A reset of the connection discards only bytes that are held up. */
    private void arrive() {
        boolean cutOff = network.isCutOff(sender);
        heldUp |= cutOff;
        if (heldUp && isWithdrawn()) {
            return;
        }
        if (cutOff) {
            world.net.deliver(network.retransmissionMillis(), this::arrive);
        } else {
            world.net.deliver(network.executionMillis(), this::execute);
        }
    }

    /** Returns whether the sender has reset the connection. */
    private boolean isWithdrawn() {
        if (givenUp) {
            return world.sabotage != Sabotage.ORDERS_NOT_WITHDRAWN;
        }
        return sender.loop().isDead() && world.sabotage != Sabotage.ENDED_ORDERS_NOT_WITHDRAWN;
    }

    private void execute() {
        long delayMillis = world.time.now() - startedAt;
        if (heldUp || delayMillis >= InstanceOrders.CALL_MILLIS) {
            world.history.add(order + ": executed after " + delayMillis + " ms");
        }
        InstanceOrderOutcome o = world.fleet.execute(order.instance, order.errand, order.holder, order.fence, heldUp);
        world.net.deliver(world.net.latency(), () -> answer(o));
    }

    private void answer(InstanceOrderOutcome o) {
        if (network.isCutOff(sender)) {
            world.net.deliver(network.retransmissionMillis(), () -> answer(o));
        } else {
            sender.loop().execute(() -> outcome.complete(o));
        }
    }
}
