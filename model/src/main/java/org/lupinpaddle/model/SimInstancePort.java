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
import org.lupinpaddle.core.fleet.InstanceList;
import org.lupinpaddle.core.fleet.InstanceOperation;
import org.lupinpaddle.core.fleet.InstanceOrderOutcome;
import org.lupinpaddle.daemon.port.InstanceOrders;
import org.lupinpaddle.daemon.port.StoreException;

/** An entry's client for the platform's list of instances and orders on them. */
final class SimInstancePort implements InstanceOrders {

    private final World world;
    private final HeldOrders.Sender sender;
    private final Link in;

    SimInstancePort(World world, HeldOrders.Sender sender, Link in) {
        this.world = world;
        this.sender = sender;
        this.in = in;
    }

    @Override
    public CompletableFuture<InstanceList> list() {
        CompletableFuture<InstanceList> future = new CompletableFuture<>();
        boolean sent = !isCutOff();
        world.fleet.list(world.net).whenComplete((all, why) -> {
            if (why != null) {
                future.completeExceptionally(why);
            } else if (sent && !isCutOff()) {
                in.transfer(WireBytes.ofInstances(all), () -> true, () -> future.complete(InstanceList.of(all)));
            }
        });
        if (world.heldOrders().isPresent()) {
            StoreException unanswered = new StoreException(StoreException.Kind.AWAY, "list instances: model");
            sender.loop().after(CALL_MILLIS, () -> future.completeExceptionally(unanswered));
        }
        return future;
    }

    private boolean isCutOff() {
        return world.heldOrders().filter(h -> h.isCutOff(sender)).isPresent();
    }

    @Override
    public CompletableFuture<InstanceOrderOutcome> order(
            String instance, InstanceOperation errand, String holder, long fence, BooleanSupplier maySend) {
        return world.heldOrders()
                .map(h -> h.start(sender, new OrderCall.Order(instance, errand, holder, fence, maySend)).outcome)
                .orElseGet(() -> world.fleet.order(world.net, instance, errand, holder, fence))
                .thenApply(o -> {
                    world.history.add("order " + instance + " " + errand + " by " + holder + ": " + o);
                    return o;
                });
    }
}
