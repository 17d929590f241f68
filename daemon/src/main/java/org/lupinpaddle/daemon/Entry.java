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
package org.lupinpaddle.daemon;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.lang.management.ManagementFactory;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.instance.InstanceRecord;
import org.lupinpaddle.core.slot.WorkerInfo;
import org.lupinpaddle.daemon.caller.CallerServer;
import org.lupinpaddle.daemon.claim.ClaimKeeper;
import org.lupinpaddle.daemon.common.EventLoop;
import org.lupinpaddle.daemon.common.HttpListener;
import org.lupinpaddle.daemon.common.Log;
import org.lupinpaddle.daemon.common.ThreadEventLoop;
import org.lupinpaddle.daemon.config.ConfigSync;
import org.lupinpaddle.daemon.membership.EntryRecord;
import org.lupinpaddle.daemon.membership.Membership;
import org.lupinpaddle.daemon.membership.Registration;
import org.lupinpaddle.daemon.operator.ChangeExecutor;
import org.lupinpaddle.daemon.operator.CommandRunner;
import org.lupinpaddle.daemon.operator.EntryContext;
import org.lupinpaddle.daemon.operator.OperatorHandler;
import org.lupinpaddle.daemon.operator.QuestionAnswerer;
import org.lupinpaddle.daemon.peer.PeerMesh;
import org.lupinpaddle.daemon.peer.proto.Hello;
import org.lupinpaddle.daemon.platform.HttpPlatform;
import org.lupinpaddle.daemon.platform.StoreWriter;
import org.lupinpaddle.daemon.settings.Settings;
import org.lupinpaddle.daemon.slot.SlotHost;
import org.lupinpaddle.daemon.trace.Traces;
import org.lupinpaddle.daemon.wave.WaveDriver;

/**
 * One entry: everything it is made of, put together, started and stopped. Entries are all alike and keep
 * nothing; what one knows it has from the platform's store or from its neighbours.
 */
final class Entry {

    private static final int CLIENT_THREADS = 10;
    private static final int OPERATOR_THREADS = 6;
    private static final int OPERATOR_CONNECTIONS = 64;
    private static final int WORKER_CONNECTIONS = 64;
    private static final long CONNECT_MILLIS = 1_000;
    private static final long STOP_CHECK_MILLIS = 50;
    // Long enough for neighbours and the balancer to see the changed health answer before work is refused.
    private static final long LEAVING_NOTICE_MILLIS = 300;

    private final Settings settings;
    private final EventLoop loop = new ThreadEventLoop();
    private final MetricRegistry metrics = new MetricRegistry();
    private final Traces traces = new Traces();
    private final HttpClient platformClient = client("platform");
    private final HttpClient workerClient = client("workers");
    private final ConfigSync config;
    private final EntryPeers peers;
    private final PeerMesh mesh;
    private final SlotHost slots;
    private final CallerServer callers;
    private final HttpListener operators;
    private final Membership membership;
    private final HttpPlatform platform;
    private final StoreWriter writer;
    private final String startId = UUID.randomUUID().toString();
    private @Nullable Registration registration;
    private boolean leaving;
    private boolean readyLogged;

    /** Makes the entry; its peer listener is open from here on. */
    Entry(Settings settings) {
        this.settings = settings;
        String id = settings.entry().id();
        Settings.Timing timing = settings.timing();
        platform = new HttpPlatform(platformClient, settings.platform().address(), metrics);
        writer = new StoreWriter(platform, loop, metrics);
        membership = new Membership(id, settings.entry().region(), timing.heartbeatMillis(), loop.clock());
        config = new ConfigSync(platform, loop, metrics, timing.pollMillis(), this::onConfigChange);
        peers = new EntryPeers(settings, loop, platform, config, membership, this::isServing, this::cancel);
        mesh = new PeerMesh(Addresses.parse(settings.listen().peer()), loop, peers, metrics);
        slots = new SlotHost(
                id,
                settings.entry().hall(),
                settings.limits().waiting(),
                loop.clock(),
                metrics,
                this::workersOf,
                mesh::send);
        ClaimKeeper claims = new ClaimKeeper(platform, writer, loop, id, config::platformOk);
        callers = CallerServer.builder()
                .settings(settings)
                .loop(loop)
                .config(config)
                .slotsAndClaims(slots, claims)
                .workers(workerClient)
                .telemetry(traces, metrics)
                .serving(this::isServing)
                .forwardCancel(peers::cancelElsewhere)
                .build(Addresses.parse(settings.listen().caller()));
        operators = operatorListener();
        addGauges(claims);
    }

    private static HttpClient client(String name) {
        QueuedThreadPool pool = new QueuedThreadPool(CLIENT_THREADS, 2);
        pool.setName(name);
        ClientConnector connector = new ClientConnector();
        connector.setSelectors(1);
        HttpClient c = new HttpClient(new HttpClientTransportOverHTTP(connector));
        c.setExecutor(pool);
        c.setConnectTimeout(CONNECT_MILLIS);
        c.setMaxConnectionsPerDestination(WORKER_CONNECTIONS);
        return c;
    }

    private HttpListener operatorListener() {
        EntryContext context = new EntryContext(settings.entry(), config, membership, slots, traces, metrics);
        CommandRunner runner =
                new CommandRunner(new QuestionAnswerer(context), new ChangeExecutor(config, writer, loop));
        return new HttpListener(
                "operators",
                Addresses.parse(settings.listen().operator()),
                OPERATOR_THREADS,
                settings.limits().headerBytes(),
                OPERATOR_CONNECTIONS,
                new OperatorHandler(settings.operator().token(), loop, runner));
    }

    private void addGauges(ClaimKeeper claims) {
        gauge("jvm.heap.used.kb", () ->
                (int) (ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed() >> 10));
        gauge("requests.open", () -> callers.openCount());
        gauge("slots.waiting", slots::queueLength);
        gauge("slots.granted", slots::grantsInUse);
        gauge("claims.unsettled", claims::pendingReleaseCount);
        gauge("config.revision", () -> (int) config.view().contentRevision());
    }

    private void gauge(String name, Gauge<Integer> value) {
        metrics.register(name, value);
    }

    /** Starts all listeners and everything that runs by itself. */
    void start() throws Exception {
        platformClient.start();
        CallerServer.configureClient(platformClient);
        workerClient.start();
        CallerServer.configureClient(workerClient);
        callers.start();
        operators.start();
        Settings.Entry e = settings.entry();
        String peerAddress = Addresses.format(mesh.address());
        EntryRecord record = new EntryRecord(
                e.id(), e.hall(), e.region(), peerAddress, callers.address(), operators.address(), startId);
        Registration registering = new Registration(
                platform, writer, loop, record, settings.timing().leaseSeconds());
        WaveDriver driver = new WaveDriver(
                e.id(),
                platform,
                writer,
                loop,
                config,
                membership,
                registering,
                workerClient,
                metrics,
                settings.timing().returnMillis());
        Hello hello = Hello.newBuilder()
                .setId(e.id())
                .setHall(e.hall())
                .setRegion(e.region())
                .setPeerAddress(peerAddress)
                .build();
        loop.execute(() -> {
            registration = registering;
            config.start();
            registering.start();
            peers.start(mesh, slots, hello);
            driver.start();
        });
        Log.info(
                "started",
                "entry",
                e.id(),
                "hall",
                e.hall(),
                "caller",
                callers.address(),
                "operator",
                operators.address(),
                "peer",
                peerAddress);
    }

    private boolean isServing() {
        return !leaving && config.hasConfiguration();
    }

    private void cancel(String requestId) {
        callers.cancel(requestId);
    }

    private void onConfigChange(long above) {
        if (!readyLogged) {
            readyLogged = true;
            Log.info(
                    "serving",
                    "entry",
                    settings.entry().id(),
                    "revision",
                    config.view().contentRevision());
        }
        peers.onConfigChange(above);
        slots.onWorkersChanged();
    }

    // Each region has an owner of its own for a service's slots, which grants its own region's workers; those
    // of others only while its own has none, when a slot asked for far away beats none.
    private List<WorkerInfo> workersOf(String service) {
        List<InstanceRecord> all = config.view().instancesOf(service);
        List<InstanceRecord> near =
                all.stream().filter(i -> membership.mayBeInRegion(i.hall())).toList();
        boolean nearUsable = near.stream().anyMatch(this::isUsable);
        return (nearUsable ? near : all)
                .stream()
                        .map(i -> new WorkerInfo(i.id(), i.hall(), i.slots(), i.memoryMb(), isUsable(i)))
                        .toList();
    }

    // Leaving is believed from whoever says so first; the list only for the incarnation it speaks of.
    private boolean isUsable(InstanceRecord i) {
        return i.state().acceptsWork() && peers.leavingIncarnation(i.id()) < Math.max(1, i.incarnation());
    }

    /**
     * Stops as planned: the health answer turns, no new request is taken, those in progress end, grants go
     * back, the registration ends.
     */
    void stop() {
        Log.info("stopping", "entry", settings.entry().id());
        loop.execute(() -> {
            leaving = true;
            peers.announce();
        });
        waitForOpenRequests();
        CompletableFuture<Void> last = new CompletableFuture<>();
        loop.execute(() -> {
            Registration r = registration;
            if (r != null) {
                r.stop();
            }
            loop.after(STOP_CHECK_MILLIS, () -> last.complete(null));
        });
        last.orTimeout(1, TimeUnit.SECONDS).exceptionally(x -> null).join();
        close();
        Log.info("stopped", "entry", settings.entry().id());
    }

    private void waitForOpenRequests() {
        CompletableFuture<Void> idle = new CompletableFuture<>();
        loop.after(LEAVING_NOTICE_MILLIS, () -> checkIdle(idle));
        idle.orTimeout(settings.timing().stopMillis() + LEAVING_NOTICE_MILLIS, TimeUnit.MILLISECONDS)
                .exceptionally(x -> {
                    Log.warn("stop-cut-off", "entry", settings.entry().id(), "open", callers.openCount());
                    return null;
                })
                .join();
    }

    private void checkIdle(CompletableFuture<Void> idle) {
        if (callers.openCount() == 0) {
            idle.complete(null);
        } else {
            loop.after(STOP_CHECK_MILLIS, () -> checkIdle(idle));
        }
    }

    private void close() {
        for (AutoCloseable c : List.<AutoCloseable>of(
                callers, operators, mesh, platformClient::stop, workerClient::stop, traces, loop)) {
            try {
                c.close();
            } catch (Exception e) {
                Log.error("close-failed", e);
            }
        }
    }
}
