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
package org.lupinpaddle.daemon.wave;

import com.codahale.metrics.MetricRegistry;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import java.util.UUID;
import java.util.stream.Stream;
import org.eclipse.jetty.client.HttpClient;
import org.lupinpaddle.core.common.RecordCodec;
import org.lupinpaddle.core.common.RendezvousHash;
import org.lupinpaddle.core.common.StoreKeys;
import org.lupinpaddle.core.instance.InstanceRecord;
import org.lupinpaddle.core.service.MemberReconciler;
import org.lupinpaddle.core.service.ServiceRecord;
import org.lupinpaddle.core.view.FleetView;
import org.lupinpaddle.core.wave.FleetStatus;
import org.lupinpaddle.core.wave.WaveAction;
import org.lupinpaddle.core.wave.WaveRecord;
import org.lupinpaddle.core.wave.WaveStepper;
import org.lupinpaddle.core.wave.WaveTarget;
import org.lupinpaddle.daemon.common.EventLoop;
import org.lupinpaddle.daemon.common.Log;
import org.lupinpaddle.daemon.config.ConfigSync;
import org.lupinpaddle.daemon.membership.Membership;
import org.lupinpaddle.daemon.membership.PeerState;
import org.lupinpaddle.daemon.membership.Registration;
import org.lupinpaddle.daemon.platform.Platform;
import org.lupinpaddle.daemon.platform.Platform.MaintenanceResult;
import org.lupinpaddle.daemon.platform.Platform.MaintenanceStep;
import org.lupinpaddle.daemon.platform.Platform.Swap;
import org.lupinpaddle.daemon.platform.StoreWriter;
import org.lupinpaddle.daemon.platform.WriteResult;

/**
 * Executes the waves whose leases this entry holds. Rendezvous hashing among the entries that can reach the platform selects
 * the entry that tries to acquire the lease of a wave. The lease only prevents duplicate work; safety does not depend on
 * it. Each polling step decides from scratch, based on the current view and on probes.
 */
public final class WaveDriver {

    private static final long POLL_INTERVAL_MILLIS = 500;
    private static final long PROBE_ALL_INTERVAL_MILLIS = 2_000;
    private static final long LEASE_RETRY_MILLIS = 2_000;
    private static final long MAINTENANCE_RETRY_MILLIS = 2_000;

    private final String self;
    private final Platform platform;
    private final StoreWriter writer;
    private final EventLoop loop;
    private final ConfigSync config;
    private final Membership membership;
    private final Registration registration;
    private final MetricRegistry metrics;
    private final long maxRebootMillis;
    private final WorkerProbe probe;
    private final ConfirmedRevisions confirmedRevisions = new ConfirmedRevisions();
    private final Map<String, Long> leaseByWave = new HashMap<>();
    private final Map<String, Long> lastLeaseAttempt = new HashMap<>();
    private final Map<String, Long> lastMaintenanceCall = new HashMap<>();
    private final Map<DriverObservation.Undrain, Long> undrainTimes = new HashMap<>();
    private final Set<String> pendingWrites = new HashSet<>();
    private long lastFullProbe = Long.MIN_VALUE / 2;

    /** Creates the driver of an entry; a reboot is overdue after {@code maxRebootMillis}. */
    public WaveDriver(
            String self,
            Platform platform,
            StoreWriter writer,
            EventLoop loop,
            ConfigSync config,
            Membership membership,
            Registration registration,
            HttpClient client,
            MetricRegistry metrics,
            long maxRebootMillis) {
        this.self = self;
        this.platform = platform;
        this.writer = writer;
        this.loop = loop;
        this.config = config;
        this.membership = membership;
        this.registration = registration;
        this.metrics = metrics;
        this.maxRebootMillis = maxRebootMillis;
        this.probe = new WorkerProbe(client, loop);
    }

    /** Starts polling; must be called on the event loop. */
    public void start() {
        loop.every(POLL_INTERVAL_MILLIS, () -> config.whenFresh(this::poll));
    }

    private void poll() {
        if (!config.platformOk()) {
            return;
        }
        updateConfirmedRevision();
        FleetView view = config.view();
        List<WaveRecord> drivenWaves = view.waves().values().stream()
                .filter(wave -> !WaveStepper.isSettled(view, wave))
                .filter(this::mayDrive)
                .toList();
        probeFor(drivenWaves);
        drivenWaves.forEach(this::drive);
        reconcile(view);
    }

    // Includes reachable entries that are not registered: an entry that lost its lease may still be serving.
    private void updateConfirmedRevision() {
        long lowestRevision = config.view().contentRevision();
        for (PeerState peer : membership.peers()) {
            if (peer.registered() || membership.isReachable(peer)) {
                lowestRevision = Math.min(lowestRevision, peer.revision());
            }
        }
        confirmedRevisions.record(lowestRevision, loop.clock().millis());
    }

    private boolean mayDrive(WaveRecord wave) {
        long lease = registration.validLease();
        if (lease == 0) {
            return false;
        }
        if (leaseByWave.getOrDefault(wave.name(), 0L) == lease) {
            return true;
        }
        if (ranksFirstFor(wave.name())) {
            tryAcquireLease(wave.name(), lease);
        }
        return false;
    }

    private boolean ranksFirstFor(String name) {
        List<String> candidates = Stream.concat(
                        Stream.of(self),
                        membership.reachable().stream()
                                .filter(peer -> peer.platformOk() && peer.serving())
                                .map(PeerState::id))
                .toList();
        return RendezvousHash.rank(name, candidates).get(0).equals(self);
    }

    private void tryAcquireLease(String wave, long lease) {
        long now = loop.clock().millis();
        if (now - lastLeaseAttempt.getOrDefault(wave, Long.MIN_VALUE / 2) < LEASE_RETRY_MILLIS) {
            return;
        }
        lastLeaseAttempt.put(wave, now);
        String writeId = UUID.randomUUID().toString();
        Swap swap = new Swap(StoreKeys.driver(wave), self + " " + writeId, 0, lease);
        writer.write(swap, writeId, result -> {
            if (result.fate() == WriteResult.Fate.ACCEPTED) {
                leaseByWave.put(wave, lease);
                Log.info("wave-driver", "wave", wave, "entry", self);
            }
        });
    }

    private void drive(WaveRecord wave) {
        FleetStatus observation =
                new DriverObservation(probe, confirmedRevisions, Map.copyOf(undrainTimes), maxRebootMillis);
        List<WaveAction> actions = WaveStepper.step(
                config.view(), wave.name(), observation, () -> UUID.randomUUID().toString());
        actions.forEach(this::execute);
    }

    // Instances that are out of service are probed in every step, because the wave waits for them. The other members of
    // their services are only counted, so they are probed less often.
    private void probeFor(List<WaveRecord> drivenWaves) {
        long now = loop.clock().millis();
        boolean fullProbe = now - lastFullProbe >= PROBE_ALL_INTERVAL_MILLIS;
        if (fullProbe) {
            lastFullProbe = now;
        }
        FleetView view = config.view();
        Set<String> instanceIds = new TreeSet<>();
        for (WaveRecord wave : drivenWaves) {
            for (WaveTarget target : wave.targets()) {
                InstanceRecord instance = view.instances().get(target.instance());
                if (instance != null && (fullProbe || instance.isHeldBy(wave.name()))) {
                    instanceIds.add(instance.id());
                }
                if (instance != null && fullProbe) {
                    view.serviceOf(instance).ifPresent(service -> instanceIds.addAll(service.members()));
                }
            }
        }
        instanceIds.stream().map(view.instances()::get).filter(Objects::nonNull).forEach(probe::probe);
    }

    private void execute(WaveAction action) {
        if (action instanceof WaveAction.PutService put) {
            write(StoreKeys.service(put.next().name()), put.next(), put.next().writeId(), put.expectedRevision());
        } else if (action instanceof WaveAction.PutShard put) {
            write(put.key(), put.next(), put.next().writeId(), put.expectedRevision());
        } else if (action instanceof WaveAction.PutWave put) {
            Log.info(
                    "wave",
                    "wave",
                    put.next().name(),
                    "state",
                    put.next().state(),
                    "reason",
                    put.next().reason());
            write(StoreKeys.wave(put.next().name()), put.next(), put.next().writeId(), put.expectedRevision());
        } else if (action instanceof WaveAction.Maintain maintain) {
            requestMaintenance(maintain);
        }
    }

    private void write(String key, Object value, String writeId, long expectedRevision) {
        if (!pendingWrites.add(key)) {
            return;
        }
        metrics.counter("wave.writes").inc();
        writer.write(new Swap(key, RecordCodec.write(value), expectedRevision, 0), writeId, result -> {
            if (result.fate() != WriteResult.Fate.ACCEPTED) {
                Log.info("wave-write", "key", key, "fate", result.fate().wireName());
            }
            // The next decision on this record must see the new value.
            config.refresh(() -> pendingWrites.remove(key));
        });
    }

    private void requestMaintenance(WaveAction.Maintain action) {
        long now = loop.clock().millis();
        String call = action.step() + " " + action.instance() + " " + action.incarnation() + " " + action.fence();
        if (now - lastMaintenanceCall.getOrDefault(call, Long.MIN_VALUE / 2) < MAINTENANCE_RETRY_MILLIS) {
            return;
        }
        lastMaintenanceCall.values().removeIf(calledAt -> now - calledAt > MAINTENANCE_RETRY_MILLIS);
        lastMaintenanceCall.put(call, now);
        MaintenanceStep step = MaintenanceStep.valueOf(action.step().name());
        var unused = platform.maintain(step, action.instance(), action.incarnation(), action.fence())
                .whenComplete((result, failure) -> loop.execute(() -> {
                    if (result == MaintenanceResult.ACCEPTED && action.step() == WaveAction.Step.UNDRAIN) {
                        recordUndrain(action);
                    }
                    logMaintenance(action, result, failure);
                }));
    }

    private void recordUndrain(WaveAction.Maintain action) {
        undrainTimes.keySet().removeIf(u -> u.instance().equals(action.instance()));
        undrainTimes.put(
                new DriverObservation.Undrain(action.instance(), action.fence()),
                loop.clock().millis());
    }

    private static void logMaintenance(
            WaveAction.Maintain action,
            @org.jspecify.annotations.Nullable MaintenanceResult result,
            @org.jspecify.annotations.Nullable Throwable failure) {
        Log.info(
                "maintenance",
                "step",
                action.step(),
                "instance",
                action.instance(),
                "incarnation",
                action.incarnation(),
                "result",
                failure != null ? "unknown" : String.valueOf(result));
    }

    // New members are added to the service records even if no wave is running, by one entry per service.
    private void reconcile(FleetView view) {
        for (ServiceRecord service : view.services().values()) {
            String key = StoreKeys.service(service.name());
            if (!pendingWrites.contains(key) && ranksFirstFor(service.name())) {
                String writeId = UUID.randomUUID().toString();
                MemberReconciler.withNewMembers(view, service, writeId)
                        .ifPresent(next -> write(key, next, writeId, view.revisionOf(key)));
            }
        }
    }
}
