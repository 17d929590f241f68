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
 * Drives the waves that this entry holds the lease of. Which entry tries for a wave's lease follows from
 * rendezvous hashing among those that hear the platform; the lease keeps two drivers from doing the same
 * work twice, and safety does not rest on it. Each look decides anew from the view and from probes.
 */
public final class WaveDriver {

    private static final long LOOK_MILLIS = 500;
    private static final long PROBE_ALL_MILLIS = 2_000;
    private static final long LEASE_TRY_MILLIS = 2_000;
    private static final long MAINTAIN_AGAIN_MILLIS = 2_000;

    private final String self;
    private final Platform platform;
    private final StoreWriter writer;
    private final EventLoop loop;
    private final ConfigSync config;
    private final Membership membership;
    private final Registration registration;
    private final MetricRegistry metrics;
    private final long returnMillis;
    private final WorkerProbe probe;
    private final ConfirmedRevisions confirmed = new ConfirmedRevisions();
    private final Map<String, Long> heldUnder = new HashMap<>();
    private final Map<String, Long> leaseTriedAt = new HashMap<>();
    private final Map<String, Long> askedAt = new HashMap<>();
    private final Map<DriverSight.Undrain, Long> undrained = new HashMap<>();
    private final Set<String> writing = new HashSet<>();
    private long probedAllAt = Long.MIN_VALUE / 2;

    /** Makes the driver of an entry; {@code returnMillis} is how long a reboot may take. */
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
            long returnMillis) {
        this.self = self;
        this.platform = platform;
        this.writer = writer;
        this.loop = loop;
        this.config = config;
        this.membership = membership;
        this.registration = registration;
        this.metrics = metrics;
        this.returnMillis = returnMillis;
        this.probe = new WorkerProbe(client, loop);
    }

    /** Starts looking; call on the loop. */
    public void start() {
        loop.every(LOOK_MILLIS, () -> config.whenFresh(this::look));
    }

    private void look() {
        if (!config.platformOk()) {
            return;
        }
        noteConfirmed();
        FleetView view = config.view();
        List<WaveRecord> driven = view.waves().values().stream()
                .filter(w -> !WaveStepper.isSettled(view, w))
                .filter(this::mayDrive)
                .toList();
        probeFor(driven);
        driven.forEach(this::drive);
        reconcile(view);
    }

    // Counted are all registered entries and all that are heard: one that lost its lease may still serve.
    private void noteConfirmed() {
        long least = config.view().contentRevision();
        for (PeerState p : membership.peers()) {
            if (p.registered() || membership.isReachable(p)) {
                least = Math.min(least, p.revision());
            }
        }
        confirmed.note(least, loop.clock().millis());
    }

    private boolean mayDrive(WaveRecord w) {
        long lease = registration.liveLease();
        if (lease == 0) {
            return false;
        }
        if (heldUnder.getOrDefault(w.name(), 0L) == lease) {
            return true;
        }
        if (isFirstFor(w.name())) {
            tryForLease(w.name(), lease);
        }
        return false;
    }

    private boolean isFirstFor(String name) {
        List<String> candidates = Stream.concat(
                        Stream.of(self),
                        membership.reachable().stream()
                                .filter(p -> p.platformOk() && p.serving())
                                .map(PeerState::id))
                .toList();
        return RendezvousHash.rank(name, candidates).get(0).equals(self);
    }

    private void tryForLease(String wave, long lease) {
        long now = loop.clock().millis();
        if (now - leaseTriedAt.getOrDefault(wave, Long.MIN_VALUE / 2) < LEASE_TRY_MILLIS) {
            return;
        }
        leaseTriedAt.put(wave, now);
        String writeId = UUID.randomUUID().toString();
        Swap swap = new Swap(StoreKeys.driver(wave), self + " " + writeId, 0, lease);
        writer.write(swap, writeId, r -> {
            if (r.fate() == WriteResult.Fate.ACCEPTED) {
                heldUnder.put(wave, lease);
                Log.info("wave-driver", "wave", wave, "entry", self);
            }
        });
    }

    private void drive(WaveRecord w) {
        FleetStatus sight = new DriverSight(probe, confirmed, Map.copyOf(undrained), returnMillis);
        List<WaveAction> actions = WaveStepper.step(
                config.view(), w.name(), sight, () -> UUID.randomUUID().toString());
        actions.forEach(this::carryOut);
    }

    // Those that are out are looked at often, for each step waits for one of them; the other members of
    // their services more rarely, for they are only counted.
    private void probeFor(List<WaveRecord> driven) {
        long now = loop.clock().millis();
        boolean all = now - probedAllAt >= PROBE_ALL_MILLIS;
        if (all) {
            probedAllAt = now;
        }
        FleetView view = config.view();
        Set<String> wanted = new TreeSet<>();
        for (WaveRecord w : driven) {
            for (WaveTarget t : w.targets()) {
                InstanceRecord i = view.instances().get(t.instance());
                if (i != null && (all || i.isHeldBy(w.name()))) {
                    wanted.add(i.id());
                }
                if (i != null && all) {
                    view.serviceOf(i).ifPresent(s -> wanted.addAll(s.members()));
                }
            }
        }
        wanted.stream().map(view.instances()::get).filter(Objects::nonNull).forEach(probe::probe);
    }

    private void carryOut(WaveAction action) {
        if (action instanceof WaveAction.PutService a) {
            write(StoreKeys.service(a.next().name()), a.next(), a.next().writeId(), a.expectedRevision());
        } else if (action instanceof WaveAction.PutShard a) {
            write(a.key(), a.next(), a.next().writeId(), a.expectedRevision());
        } else if (action instanceof WaveAction.PutWave a) {
            Log.info(
                    "wave",
                    "wave",
                    a.next().name(),
                    "state",
                    a.next().state(),
                    "reason",
                    a.next().reason());
            write(StoreKeys.wave(a.next().name()), a.next(), a.next().writeId(), a.expectedRevision());
        } else if (action instanceof WaveAction.Maintain a) {
            maintain(a);
        }
    }

    private void write(String key, Object value, String writeId, long expected) {
        if (!writing.add(key)) {
            return;
        }
        metrics.counter("wave.writes").inc();
        writer.write(new Swap(key, RecordCodec.write(value), expected, 0), writeId, r -> {
            if (r.fate() != WriteResult.Fate.ACCEPTED) {
                Log.info("wave-write", "key", key, "fate", r.fate().wireName());
            }
            // The next decision on this record needs what was written.
            config.refresh(() -> writing.remove(key));
        });
    }

    private void maintain(WaveAction.Maintain a) {
        long now = loop.clock().millis();
        String call = a.step() + " " + a.instance() + " " + a.incarnation() + " " + a.fence();
        if (now - askedAt.getOrDefault(call, Long.MIN_VALUE / 2) < MAINTAIN_AGAIN_MILLIS) {
            return;
        }
        askedAt.values().removeIf(t -> now - t > MAINTAIN_AGAIN_MILLIS);
        askedAt.put(call, now);
        MaintenanceStep step = MaintenanceStep.valueOf(a.step().name());
        var unused = platform.maintain(step, a.instance(), a.incarnation(), a.fence())
                .whenComplete((r, failure) -> loop.execute(() -> {
                    if (r == MaintenanceResult.ACCEPTED && a.step() == WaveAction.Step.UNDRAIN) {
                        noteUndrained(a);
                    }
                    logMaintenance(a, r, failure);
                }));
    }

    private void noteUndrained(WaveAction.Maintain a) {
        undrained.keySet().removeIf(u -> u.instance().equals(a.instance()));
        undrained.put(
                new DriverSight.Undrain(a.instance(), a.fence()), loop.clock().millis());
    }

    private static void logMaintenance(
            WaveAction.Maintain a,
            @org.jspecify.annotations.Nullable MaintenanceResult r,
            @org.jspecify.annotations.Nullable Throwable failure) {
        Log.info(
                "maintenance",
                "step",
                a.step(),
                "instance",
                a.instance(),
                "incarnation",
                a.incarnation(),
                "result",
                failure != null ? "unknown" : String.valueOf(r));
    }

    // Joiners are counted also while no wave runs, by one entry for each service.
    private void reconcile(FleetView view) {
        for (ServiceRecord s : view.services().values()) {
            String key = StoreKeys.service(s.name());
            if (!writing.contains(key) && isFirstFor(s.name())) {
                String writeId = UUID.randomUUID().toString();
                MemberReconciler.withJoiners(view, s, writeId)
                        .ifPresent(next -> write(key, next, writeId, view.revisionOf(key)));
            }
        }
    }
}
