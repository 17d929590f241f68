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

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.common.Clock;
import org.lupinpaddle.core.fleet.FleetTiming;
import org.lupinpaddle.core.queue.JobConfiguration;
import org.lupinpaddle.core.run.LoadSummary;
import org.lupinpaddle.core.run.MemoryUse;
import org.lupinpaddle.core.run.SchedulerTiming;
import org.lupinpaddle.daemon.common.EventLoop;
import org.lupinpaddle.daemon.common.Log;
import org.lupinpaddle.daemon.port.AdviceService;
import org.lupinpaddle.daemon.port.InstanceOrders;
import org.lupinpaddle.daemon.port.KeyValueStore;
import org.lupinpaddle.daemon.port.PlatformRecords;
import org.lupinpaddle.daemon.port.WorkerOrders;
import org.lupinpaddle.daemon.settings.JobSettings;

/**
 * Runs an entry on the platform: accepts jobs from callers and owns the services assigned to it. All of its state is
 * kept in the store.
 */
public final class JobNode implements OwnershipManager.Listener, AutoCloseable {

    // An owner without contact to the store keeps its workers' tasks alive for this long; outages of the store last 3
    // to 9 s. A new owner waits equally long for workers that it cannot reach.
    private static final long MAX_STORE_SILENCE_MILLIS = 12_000;
    private static final long CHECK_MILLIS = 250;
    // An entry that cannot reach the store cannot accept jobs, so it reports itself as not ready and callers should
    // use another hall. A lease is renewed every 450 ms; after one unanswered renewal it takes 1.2 s until the next
    // one is answered.
    private static final long READY_MILLIS = 1_300;

    /** The duty of owning the fleet; no service can have this name. */
    static final String FLEET = "@fleet";

    private final EventLoop loop;
    private final ConfigurationFeed configuration;
    private final Supplier<WorkerFeed> workerFeedFactory;
    private @Nullable WorkerFeed workers;
    private final OwnershipManager ownership;
    private final JobMetrics meters;
    private final UnreadableEntries unreadable;
    private final JobIntake intake;
    private final JobCommandExecutor commandExecutor;
    private final SchedulerHost.Context schedulerContext;
    private final FleetHost.Context fleetContext;
    private final Map<String, SchedulerHost> hosts = new HashMap<>();
    private @Nullable FleetHost fleet;
    private final EventLoopMonitor monitor;
    private volatile boolean ready;
    private volatile long unstartedDuties;
    private volatile int longRunningWithoutRun;
    private volatile long longestWaitMillis;
    private boolean stopping;

    /**
     * The components and settings of a node.
     *
     * @param name the entry's name
     * @param capacity the entry's CPU capacity in thousandths of a core; duties prefer entries with the most capacity
     * @param store the platform's store
     * @param records the records of operators and workers
     * @param orders sends orders to workers
     * @param advice advises which workers may run a step
     * @param instances lists and orders instances
     * @param limits the limits that the platform sets for the entry
     * @param halls all data halls of the deployment; empty if not known
     * @param wall the wall clock
     * @param meters the entry's metrics
     */
    public record Parts(
            String name,
            long capacity,
            KeyValueStore store,
            PlatformRecords records,
            WorkerOrders orders,
            AdviceService advice,
            InstanceOrders instances,
            JobSettings.Bounds limits,
            Set<String> halls,
            Clock wall,
            JobMetrics meters) {}

    /** Creates a node, which is inactive until {@link #start}. */
    public JobNode(EventLoop loop, Parts p) {
        this.loop = loop;
        monitor = new EventLoopMonitor(loop);
        meters = p.meters();
        unreadable = new UnreadableEntries(meters);
        CordonRecords cordonRecords = new CordonRecords(p.records(), p.halls());
        CordonFeed cordons =
                new CordonFeed(cordonRecords, unreadable, p.limits().cordonMillis());
        configuration =
                new ConfigurationFeed(p.store(), loop, p.records(), unreadable, cordons, this::configurationChanged);
        workerFeedFactory = () -> new WorkerFeed(p.store(), loop, p.records(), unreadable, this::workersChanged);
        ownership = new OwnershipManager(p.store(), loop, p.name(), p.capacity(), this);
        addGauges();
        if (cordons.isEnabled()) {
            addCordonGauges();
        }
        intake = new JobIntake(
                p.store(), loop, p.records(), configuration, p.wall(), this::reachesStore, ownership.memory()::hasRoom);
        commandExecutor = new JobCommandExecutor(
                p.store(),
                p.records(),
                intake,
                cordons.isEnabled() ? Optional.of(cordonRecords) : Optional.empty(),
                p.halls());
        SchedulerTiming timing = SchedulerTiming.usual(
                p.limits().longestHoldMillis(), p.limits().stopMillis(), MAX_STORE_SILENCE_MILLIS);
        schedulerContext = new SchedulerHost.Context(
                p.store(),
                p.orders(),
                new AdviceCalls(p.advice(), loop, meters),
                p.instances(),
                loop,
                ownership::reachesStore,
                p.wall(),
                timing,
                p.meters(),
                unreadable,
                configuration::workspaces,
                configuration::current,
                configuration::cordons,
                configuration::coldStartsPerSecond,
                () -> ownership.memory().maxTasksPerService(hosts.size()));
        fleetContext = new FleetHost.Context(
                p.name(),
                p.store(),
                p.instances(),
                p.records(),
                loop,
                ownership,
                p.wall(),
                FleetTiming.defaults(
                        p.limits().upkeepMillis(),
                        FleetHost.Context.takeOverMillis(p.limits().ownerLeaseMillis())),
                p.meters(),
                unreadable,
                configuration::cordons);
    }

    public void start() {
        loop.execute(() -> {
            configuration.start();
            ownership.start();
        });
        loop.every(CHECK_MILLIS, this::check);
    }

    private void addGauges() {
        meters.gauge("ready", () -> isReady() ? 1 : 0);
        meters.gauge("event.loop.age.millis", monitor::ageMillis);
        meters.gauge("owned.duties", () -> ownership.owned().size());
        meters.gauge("unbegun.duties", () -> unstartedDuties);
        meters.gauge("store.lease.age.millis", () -> loop.clock().millis() - ownership.confirmedAt());
        meters.gauge(
                "configuration.version",
                () -> configuration.current().map(JobConfiguration::version).orElse(0L));
        meters.gauge("configuration.age.millis", () -> loop.clock().millis() - configuration.confirmedAt());
        meters.gauge("entries.unreadable.now", unreadable::count);
        meters.gauge("log.lines.left.out", Log::leftOut);
        JobMemory memory = ownership.memory();
        meters.gauge("jobs.held", () -> memory.use().jobs());
        meters.gauge("jobs.held.bytes", () -> memory.use().jobBytes());
        meters.gauge("jobs.waiting.for.memory", () -> memory.use().jobsWaiting());
        meters.gauge("tasks.in.progress", () -> memory.use().tasks());
        meters.gauge("long.running.without.run", () -> longRunningWithoutRun);
        meters.gauge("longest.wait.millis", () -> longestWaitMillis);
        Runtime runtime = Runtime.getRuntime();
        meters.gauge("heap.used.bytes", () -> runtime.totalMemory() - runtime.freeMemory());
        meters.gauge("heap.max.bytes", runtime::maxMemory);
    }

    private void addCordonGauges() {
        meters.gauge("cordons.halls", () -> configuration.cordons().halls().size());
        meters.gauge("cordons.age.millis", () -> loop.clock().millis() - configuration.confirmedAt());
    }

    /** Returns the handler of callers' requests. Use it on the event loop only. */
    public JobIntake intake() {
        return intake;
    }

    /** Returns the executor of operators' commands. */
    public JobCommandExecutor commandExecutor() {
        return commandExecutor;
    }

    /** Returns whether callers should use this entry; not if its event loop has stalled. Thread-safe. */
    public boolean isReady() {
        return ready && !monitor.isStalled();
    }

    private boolean reachesStore() {
        return loop.clock().millis() - ownership.confirmedAt() <= READY_MILLIS;
    }

    private void check() {
        monitor.onAdvanced();
        long now = loop.clock().millis();
        unstartedDuties = hosts.values().stream().filter(h -> !h.isStarted()).count();
        ownership
                .memory()
                .update(hosts.values().stream().map(SchedulerHost::memoryUse).reduce(MemoryUse.NONE, MemoryUse::plus));
        List<LoadSummary.Waits> waits =
                hosts.values().stream().map(SchedulerHost::waits).toList();
        longRunningWithoutRun =
                waits.stream().mapToInt(LoadSummary.Waits::longRunning).sum();
        longestWaitMillis = waits.stream()
                .mapToLong(LoadSummary.Waits::longestLongRunningMillis)
                .max()
                .orElse(0);
        configuration.logCordonConfirmation(!hosts.isEmpty());
        boolean next = !stopping && reachesStore() && intake.isConfigured();
        if (next != ready) {
            ready = next;
            Log.info("readiness", "ready", next, "store-heard-millis-ago", now - ownership.confirmedAt());
        }
        if (now - ownership.confirmedAt() > MAX_STORE_SILENCE_MILLIS) {
            String why = "no answer from the store for " + MAX_STORE_SILENCE_MILLIS + " ms";
            ownership.owned().forEach((duty, fence) -> ownership.giveUp(duty, fence, why));
        }
    }

    private void configurationChanged() {
        configuration.current().ifPresent(c -> {
            ownership.setDuties(duties(c));
            if (fleet != null) {
                fleet.onServices(c.services());
            }
        });
    }

    private static Set<String> duties(JobConfiguration c) {
        Set<String> all = new TreeSet<>(c.runningServices());
        all.add(FLEET);
        return all;
    }

    private void workersChanged() {
        hosts.values().forEach(SchedulerHost::onWorkers);
    }

    /**
     * Starts the worker watch if necessary. Workers' records change constantly, so only owners of services follow
     * them.
     */
    private WorkerFeed followWorkers() {
        WorkerFeed feed = workers;
        if (feed == null) {
            feed = workerFeedFactory.get();
            workers = feed;
            feed.start();
        }
        return feed;
    }

    @Override
    public void won(String duty, long fence) {
        meters.dutyChanged("won");
        Log.info("ownership-won", "duty", duty, "fence", fence);
        if (duty.equals(FLEET)) {
            fleet = new FleetHost(fleetContext, fence);
            fleet.start(configuration.current().map(JobConfiguration::services).orElse(List.of()));
            return;
        }
        SchedulerHost host = new SchedulerHost(
                schedulerContext,
                duty,
                fence,
                followWorkers(),
                () -> ownership.giveUp(duty, fence, "fenced"),
                () -> ownership.deferToOthers(duty, fence, "its records cannot be read"));
        hosts.put(duty, host);
        host.start();
    }

    @Override
    public CompletableFuture<Void> handOver(String duty, HandOverReason why) {
        if (duty.equals(FLEET) && fleet != null) {
            return fleet.handOver(why);
        }
        SchedulerHost host = hosts.get(duty);
        return host == null ? CompletableFuture.completedFuture(null) : host.handOver();
    }

    @Override
    public void lost(String duty, String why) {
        meters.dutyChanged("lost");
        Log.info("ownership-ended", "duty", duty, "why", why);
        if (duty.equals(FLEET) && fleet != null) {
            fleet.close();
            fleet = null;
        }
        SchedulerHost host = hosts.remove(duty);
        if (host != null) {
            host.close();
        }
        if (hosts.isEmpty() && workers != null) {
            workers.close();
            workers = null;
        }
    }

    /** Hands over all duties; callers are served until {@link #close}. */
    public void stop() {
        loop.execute(() -> {
            stopping = true;
            ready = false;
            ownership.stop();
        });
    }

    @Override
    public void close() {
        configuration.close();
        if (workers != null) {
            workers.close();
        }
        ownership.close();
    }
}
