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

import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.lupinpaddle.core.run.AdviceResult;
import org.lupinpaddle.daemon.jobs.JobMetrics;
import org.lupinpaddle.daemon.jobs.JobNode;
import org.lupinpaddle.daemon.port.AdviceService;
import org.lupinpaddle.daemon.settings.JobSettings;

/** An entry with its name and hall, and the process that currently runs it. */
final class SimEntry {

    private static final long SHUTDOWN_MILLIS = 3_000;
    private static final AdviceService NO_ADVICE =
            order -> CompletableFuture.completedFuture(AdviceResult.none(AdviceResult.Outcome.REJECTED));

    final String name;
    final String hall;
    private final World world;
    private final EntryKind kind;
    private VirtualLoop loop;
    private JobNode node;
    private boolean up;
    private boolean stopping;

    SimEntry(World world, String name, String hall, EntryKind kind) {
        this.world = world;
        this.name = name;
        this.hall = hall;
        this.kind = kind;
        loop = new VirtualLoop(world.time);
        node = createNode();
    }

    private JobNode createNode() {
        loop = new VirtualLoop(world.time);
        up = true;
        stopping = false;
        Link out = new Link(world.time, kind.linkBytesPerMilli());
        Link in = new Link(world.time, kind.linkBytesPerMilli());
        JobSettings.Bounds bounds = new JobSettings.Bounds(
                SimWorker.MAX_HOLD_MILLIS,
                SimWorker.STOP_MILLIS,
                6,
                World.LEASE_MILLIS,
                World.UPKEEP_MILLIS,
                false,
                world.cordons().isPresent() ? SimCordons.BOUND_MILLIS : 0);
        return new JobNode(
                loop,
                new JobNode.Parts(
                        name,
                        kind.capacity(),
                        new SimStorePort(world, name, hall, out, in),
                        new SimRecords(world.sabotage),
                        new SimWorkerPort(world, name, hall, out, in),
                        world.advice().map(a -> a.portOf(name)).orElse(NO_ADVICE),
                        new SimInstancePort(world, new HeldOrders.Sender(name, hall, loop), in),
                        bounds,
                        Set.copyOf(world.site.halls()),
                        () -> World.EPOCH + world.time.now(),
                        new JobMetrics()));
    }

    void start() {
        node.start();
    }

    boolean isUp() {
        return up && !loop.isFrozen();
    }

    /** Returns whether its process is up, runs and is not being stopped. */
    boolean isSteady() {
        return isUp() && !stopping;
    }

    VirtualLoop loop() {
        return loop;
    }

    JobNode node() {
        return node;
    }

    void kill(long downMillis) {
        if (!up) {
            return;
        }
        up = false;
        world.fleet.markLeaving(name);
        loop.close();
        world.time.schedule(downMillis, this::restart);
    }

    private void restart() {
        if (!up) {
            world.fleet.markReturned(name);
            node = createNode();
            node.start();
        }
    }

    /** Stops as on SIGTERM: hands its duties over, keeps serving for a while, exits and restarts. */
    void stopGracefully() {
        if (!isUp()) {
            return;
        }
        world.fleet.markLeaving(name);
        stopping = true;
        node.stop();
        VirtualLoop ending = loop;
        world.time.schedule(SHUTDOWN_MILLIS, () -> {
            if (loop == ending) {
                kill(500);
            }
        });
    }

    void freeze(long millis) {
        if (!isUp()) {
            return;
        }
        VirtualLoop frozen = loop;
        frozen.freeze();
        world.time.schedule(millis, frozen::thaw);
    }
}
