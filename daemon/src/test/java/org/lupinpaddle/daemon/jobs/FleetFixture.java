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
package org.lupinpaddle.daemon.jobs;

import java.util.AbstractList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.lupinpaddle.core.capacity.ServiceReport;
import org.lupinpaddle.core.common.RecordCodec;
import org.lupinpaddle.core.cordon.HallCordons;
import org.lupinpaddle.core.fleet.FleetTiming;
import org.lupinpaddle.core.fleet.InstanceList;
import org.lupinpaddle.core.fleet.PlatformInstance;
import org.lupinpaddle.core.job.SchedulerKeys;
import org.lupinpaddle.core.queue.ServiceConfig;
import org.lupinpaddle.daemon.port.InstanceOrders;

/** Runs successive owners of the fleet on virtual time. A service requests an instance from the start. */
final class FleetFixture {

    /** The time that the platform requires between orders of two owners for one instance. */
    static final long OWNER_LEASE_MILLIS = 3_000;

    static final long STEP_MILLIS = 50;
    private static final long UPKEEP_MILLIS = 2_000;

    final FakeKeyValueStore store = new FakeKeyValueStore();
    final TimedLoop loop = new TimedLoop();
    private final InstanceOrders instances;

    /** How often the planner asked for the cordons. */
    int cordonReads;

    /** Whether asking for the cordons fails. */
    boolean cordonsFail;

    /** A platform that always lists one spare instance. */
    abstract static class OneSpareInstance implements InstanceOrders {

        /** How often the instances were listed. */
        int lists;

        /** Whether a list of instances fails when it is looked at. */
        boolean fails;

        @Override
        public final CompletableFuture<InstanceList> list() {
            lists++;
            if (fails) {
                return CompletableFuture.completedFuture(InstanceList.of(new AbstractList<>() {
                    @Override
                    public PlatformInstance get(int index) {
                        throw new IllegalStateException("unexpected");
                    }

                    @Override
                    public int size() {
                        return 1;
                    }
                }));
            }
            return CompletableFuture.completedFuture(InstanceList.of(
                    List.of(new PlatformInstance("m1", "spare", PlatformInstance.State.UP, "north", ""))));
        }
    }

    FleetFixture(InstanceOrders instances) {
        this.instances = instances;
        ServiceReport report = new ServiceReport(Map.of(), 1, 1, 0, List.of());
        store.set(SchedulerKeys.report("clips"), RecordCodec.write(report));
    }

    /** Starts an entry's process. */
    OwnershipManager register(String name) {
        OwnershipManager ownership = new OwnershipManager(store, loop, name, 1, new NoDuties());
        ownership.start();
        advance(STEP_MILLIS);
        return ownership;
    }

    /** Lets an entry's process own the fleet under a new fence. */
    FleetHost owner(String name, OwnershipManager ownership) {
        FleetTiming timing = FleetTiming.defaults(UPKEEP_MILLIS, FleetHost.Context.takeOverMillis(OWNER_LEASE_MILLIS));
        FleetHost.Context context = new FleetHost.Context(
                name,
                store,
                instances,
                new FakeRecords(),
                loop,
                ownership,
                loop.clock(),
                timing,
                new JobMetrics(),
                new UnreadableEntries(new JobMetrics()),
                this::cordons);
        FleetHost host = new FleetHost(context, store.set(SchedulerKeys.owner(JobNode.FLEET), name));
        host.start(List.of(new ServiceConfig("clips", false, true), new ServiceConfig("spare", true, true)));
        return host;
    }

    private HallCordons cordons() {
        cordonReads++;
        if (cordonsFail) {
            throw new IllegalStateException("unexpected");
        }
        return HallCordons.DISABLED;
    }

    void advance(long millis) {
        for (long left = millis; left > 0; left -= STEP_MILLIS) {
            loop.advance(STEP_MILLIS);
            store.notifyWatches();
        }
    }
}
