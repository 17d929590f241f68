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

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.lupinpaddle.core.common.StoreKeys;
import org.lupinpaddle.core.view.StoredRecord;
import org.lupinpaddle.daemon.common.EventLoop;
import org.lupinpaddle.daemon.common.Log;
import org.lupinpaddle.daemon.config.ConfigSync;
import org.lupinpaddle.daemon.membership.Membership;
import org.lupinpaddle.daemon.membership.PeerState;
import org.lupinpaddle.daemon.peer.PeerListener;
import org.lupinpaddle.daemon.peer.PeerMesh;
import org.lupinpaddle.daemon.peer.proto.CancelRequest;
import org.lupinpaddle.daemon.peer.proto.Frame;
import org.lupinpaddle.daemon.peer.proto.Heartbeat;
import org.lupinpaddle.daemon.peer.proto.Hello;
import org.lupinpaddle.daemon.peer.proto.Leaving;
import org.lupinpaddle.daemon.peer.proto.Records;
import org.lupinpaddle.daemon.peer.proto.RecordsWanted;
import org.lupinpaddle.daemon.peer.proto.StoreRecord;
import org.lupinpaddle.daemon.platform.Platform;
import org.lupinpaddle.daemon.settings.Settings;
import org.lupinpaddle.daemon.slot.SlotHost;

/**
 * This entry among the others: sends heartbeats, hands records of the configuration on, finds out who is
 * there and which of the hall's entries watches the store. All methods are called on the event loop.
 */
final class EntryPeers implements PeerListener {

    // Newcomers greet by themselves; the list is read for those that have gone. Read often it would cost
    // most of the bytes that a node may spend on control.
    private static final long REGISTRATIONS_MILLIS = 15_000;
    private static final long REGISTRATIONS_RETRY_MILLIS = 2_000;
    private static final long LIST_MILLIS = 2_000;
    private static final long TICK_MILLIS = 100;
    // Beyond this the entry was frozen or starved, and others may have acted without it.
    private static final long GAP_MILLIS = 1_000;

    private final Settings settings;
    private final EventLoop loop;
    private final Platform platform;
    private final ConfigSync config;
    private final Membership membership;
    private final BooleanSupplier serving;
    private final Consumer<String> cancel;
    private final Map<String, Long> heartbeatSentAt = new HashMap<>();
    private final Map<String, Long> ownLeaving = new HashMap<>();
    private Set<String> seenReachable = Set.of();
    private PeerMesh mesh;
    private SlotHost slots;
    private long lastTick;

    /**
     * Makes the peers' side of an entry.
     *
     * @param serving whether this entry serves callers
     * @param cancel cancels a request that this entry holds, by id
     */
    @SuppressWarnings("NullAway.Init")
    EntryPeers(
            Settings settings,
            EventLoop loop,
            Platform platform,
            ConfigSync config,
            Membership membership,
            BooleanSupplier serving,
            Consumer<String> cancel) {
        this.settings = settings;
        this.loop = loop;
        this.platform = platform;
        this.config = config;
        this.membership = membership;
        this.serving = serving;
        this.cancel = cancel;
    }

    /** Starts: from here on heartbeats go out. */
    void start(PeerMesh peerMesh, SlotHost slotHost, Hello hello) {
        mesh = peerMesh;
        slots = slotHost;
        mesh.start(hello);
        lastTick = loop.clock().millis();
        readRegistrations();
        readList();
        loop.every(TICK_MILLIS, this::tick);
    }

    private void readRegistrations() {
        var unused = platform.range(StoreKeys.ENTRIES, 0)
                .whenComplete((r, failure) -> loop.execute(() -> {
                    if (failure == null) {
                        membership.onRegistrations(r.records());
                    }
                    connect();
                    boolean known = failure == null && !membership.peers().isEmpty();
                    loop.after(known ? REGISTRATIONS_MILLIS : REGISTRATIONS_RETRY_MILLIS, this::readRegistrations);
                }));
    }

    private void connect() {
        Map<String, String> addresses = new HashMap<>();
        membership.peers().forEach(p -> addresses.put(p.id(), p.address()));
        if (addresses.isEmpty()) {
            // Nobody is known, perhaps since the platform is away: the seeds greet back with their names.
            settings.entry().seeds().forEach(s -> addresses.put("seed " + s, s));
        }
        mesh.connectTo(addresses);
    }

    // Only the hall's watcher reads the list; the others learn from its heartbeats.
    private void readList() {
        if (!config.isWatching()) {
            ownLeaving.clear();
            loop.after(LIST_MILLIS, this::readList);
            return;
        }
        var unused = platform.leavingInstances(settings.entry().hall())
                .whenComplete((list, failure) -> loop.execute(() -> {
                    if (failure == null) {
                        ownLeaving.clear();
                        list.forEach(i -> ownLeaving.put(i.id(), i.incarnation()));
                        slots.onWorkersChanged();
                    }
                    loop.after(LIST_MILLIS, this::readList);
                }));
    }

    private void tick() {
        long now = loop.clock().millis();
        if (now - lastTick > GAP_MILLIS) {
            config.onGap(now - lastTick);
        }
        lastTick = now;
        sendHeartbeats(now);
        noteReachable();
        config.setWatcher(isWatcher());
        slots.onTick();
    }

    private void noteReachable() {
        Set<String> reachable = new HashSet<>(membership.servingInRegion());
        if (!reachable.equals(seenReachable)) {
            Log.info(
                    "reachable",
                    "entries",
                    String.join(",", reachable.stream().sorted().toList()));
            seenReachable = Set.copyOf(reachable);
            slots.onReachable(reachable);
        }
    }

    // The lowest name of the hall among those that hear the platform; two for a moment cost a watch more.
    private boolean isWatcher() {
        return membership.reachable().stream()
                .filter(p -> p.hall().equals(settings.entry().hall()) && p.platformOk())
                .map(PeerState::id)
                .min(Comparator.naturalOrder())
                .map(lowest -> settings.entry().id().compareTo(lowest) < 0 || !config.platformOk())
                .orElse(true);
    }

    private void sendHeartbeats(long now) {
        Frame frame = heartbeat();
        for (PeerState p : membership.peers()) {
            long last = heartbeatSentAt.getOrDefault(p.id(), Long.MIN_VALUE / 2);
            if (now - last >= membership.heartbeatMillis(p)) {
                heartbeatSentAt.put(p.id(), now);
                mesh.send(p.id(), frame);
            }
        }
    }

    private Frame heartbeat() {
        Heartbeat.Builder h = Heartbeat.newBuilder()
                .setRevision(config.view().contentRevision())
                .setServing(serving.getAsBoolean())
                .setPlatformOk(config.platformOk());
        ownLeaving.forEach((id, incarnation) ->
                h.addLeaving(Leaving.newBuilder().setInstance(id).setIncarnation(incarnation)));
        return Frame.newBuilder().setHeartbeat(h).build();
    }

    /** Tells the others at once that this entry's state has changed. */
    void announce() {
        heartbeatSentAt.clear();
        sendHeartbeats(loop.clock().millis());
    }

    /** Hands on what has changed in the configuration, if this entry watches for its hall. */
    void onConfigChange(long above) {
        if (config.isWatching()) {
            Frame f = records(above);
            membership.reachable().stream()
                    .filter(p -> p.hall().equals(settings.entry().hall()))
                    .forEach(p -> mesh.send(p.id(), f));
        }
        // The driver of a wave waits for this confirmation.
        announce();
    }

    private Frame records(long above) {
        Records.Builder b =
                Records.newBuilder().setAbove(above).setUpTo(config.view().revision());
        for (StoredRecord r : config.view().recordsAfter(above)) {
            b.addRecords(
                    StoreRecord.newBuilder().setKey(r.key()).setValue(r.value()).setRevision(r.revision()));
        }
        return Frame.newBuilder().setRecords(b).build();
    }

    /** Returns which incarnation of an instance the platform's list says is leaving, as anyone here knows it. */
    long leavingIncarnation(String instance) {
        long own = ownLeaving.getOrDefault(instance, -1L);
        return membership.peers().stream()
                .mapToLong(p -> p.leaving().getOrDefault(instance, -1L))
                .reduce(own, Math::max);
    }

    /** Passes the id of a request to be cancelled on to the others. */
    void cancelElsewhere(String requestId) {
        Frame f = Frame.newBuilder()
                .setCancelRequest(CancelRequest.newBuilder().setRequestId(requestId))
                .build();
        membership.reachable().forEach(p -> mesh.send(p.id(), f));
    }

    @Override
    public void onHello(Hello hello) {
        membership.onHello(hello.getId(), hello.getHall(), hello.getRegion(), hello.getPeerAddress());
        connect();
    }

    @Override
    public void onFrame(String from, Frame frame) {
        switch (frame.getBodyCase()) {
            case HEARTBEAT -> onHeartbeat(from, frame.getHeartbeat());
            case RECORDS_WANTED ->
                mesh.send(from, records(frame.getRecordsWanted().getAbove()));
            case RECORDS -> onRecords(frame.getRecords());
            case CANCEL_REQUEST -> cancel.accept(frame.getCancelRequest().getRequestId());
            default -> slots.onFrame(from, frame);
        }
    }

    private void onHeartbeat(String from, Heartbeat h) {
        Map<String, Long> leaving = new HashMap<>();
        h.getLeavingList().forEach(l -> leaving.put(l.getInstance(), l.getIncarnation()));
        membership.onHeartbeat(from, h.getRevision(), h.getServing(), h.getPlatformOk(), leaving);
        if (config.wantsFrom(h.getRevision())) {
            RecordsWanted w = RecordsWanted.newBuilder()
                    .setAbove(config.view().revision())
                    .build();
            mesh.send(from, Frame.newBuilder().setRecordsWanted(w).build());
        }
    }

    private void onRecords(Records r) {
        List<StoredRecord> records = new ArrayList<>();
        r.getRecordsList().forEach(s -> records.add(new StoredRecord(s.getKey(), s.getValue(), s.getRevision())));
        config.onRecords(records, r.getAbove(), r.getUpTo());
    }

    @Override
    public void onGone(String id) {
        membership.onDisconnected(id);
        noteReachable();
    }
}
