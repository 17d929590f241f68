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
package org.lupinpaddle.daemon.membership;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.lupinpaddle.core.common.Clock;
import org.lupinpaddle.core.common.RecordCodec;
import org.lupinpaddle.core.view.StoredRecord;

/**
 * Tracks the other entries and which of them are reachable. Names and addresses come from the store and from the entries'
 * hello messages. Reachability depends only on heartbeats, so that it is correct even if the store is down or slow.
 */
public final class Membership {

    // An unregistered entry without a heartbeat for this long is removed.
    private static final long FORGET_AFTER_MILLIS = 60_000;
    // Heartbeats between regions are less frequent, to stay within an entry's byte budget for control traffic.
    private static final int INTER_REGION_HEARTBEAT_FACTOR = 5;
    private static final double MAX_MISSED_HEARTBEATS = 2.5;

    private final String selfId;
    private final String region;
    private final long heartbeatMillis;
    private final Clock clock;
    private final Map<String, PeerState> peers = new TreeMap<>();

    /** Creates the membership as seen by entry {@code selfId} of a region. */
    public Membership(String selfId, String region, long heartbeatMillis, Clock clock) {
        this.selfId = selfId;
        this.region = region;
        this.heartbeatMillis = heartbeatMillis;
        this.clock = clock;
    }

    /** Updates the peers with the registrations read from the store. */
    public void onRegistrations(List<StoredRecord> records) {
        Set<String> registered = new HashSet<>();
        for (StoredRecord record : records) {
            RecordCodec.read(record.value(), EntryRecord.class).forEach(entry -> {
                if (!entry.id().equals(selfId)) {
                    registered.add(entry.id());
                    addOrReplace(entry.id(), entry.hall(), entry.region(), entry.peerAddress());
                }
            });
        }
        peers.replaceAll((id, peer) -> peer.withRegistered(registered.contains(id)));
        long now = clock.millis();
        peers.values().removeIf(peer -> !peer.registered() && now - peer.lastContact() > FORGET_AFTER_MILLIS);
    }

    /** Handles the hello message of an entry. */
    public void onHello(String id, String hall, String peerRegion, String address) {
        if (!id.equals(selfId)) {
            addOrReplace(id, hall, peerRegion, address);
            // A hello counts as a heartbeat: an entry that is not registered yet must not be removed before its first
            // heartbeat, because it sends the hello only once.
            long now = clock.millis();
            peers.computeIfPresent(
                    id,
                    (ignored, peer) -> peer.withHeartbeat(now, 0, peer.serving(), peer.platformOk(), peer.leaving()));
        }
    }

    private void addOrReplace(String id, String hall, String peerRegion, String address) {
        PeerState previous = peers.get(id);
        if (previous == null || !previous.address().equals(address)) {
            boolean registered = previous != null && previous.registered();
            peers.put(id, PeerState.initial(id, hall, peerRegion, address).withRegistered(registered));
        }
    }

    /** Handles the heartbeat of an entry. */
    public void onHeartbeat(String id, long revision, boolean serving, boolean platformOk, Map<String, Long> leaving) {
        long now = clock.millis();
        peers.computeIfPresent(id, (ignored, peer) -> peer.withHeartbeat(now, revision, serving, platformOk, leaving));
    }

    /** Marks an entry as unreachable because its connection was lost. */
    public void onDisconnected(String id) {
        peers.computeIfPresent(id, (ignored, peer) -> peer.disconnected());
    }

    /** Returns all known entries except this one. */
    public Collection<PeerState> peers() {
        return List.copyOf(peers.values());
    }

    /** Returns the entries with a recent heartbeat. */
    public List<PeerState> reachable() {
        return peers.values().stream().filter(this::isReachable).toList();
    }

    /** Returns whether the last heartbeat of an entry is recent. */
    public boolean isReachable(PeerState peer) {
        return clock.millis() - peer.lastContact() <= heartbeatMillis(peer) * MAX_MISSED_HEARTBEATS;
    }

    /** Returns the interval of the heartbeats to and from an entry, in milliseconds. */
    public long heartbeatMillis(PeerState peer) {
        return peer.region().equals(region) ? heartbeatMillis : heartbeatMillis * INTER_REGION_HEARTBEAT_FACTOR;
    }

    /** Returns whether a data hall belongs to this region; true if no entry of the hall is known. */
    public boolean mayBeInRegion(String hall) {
        return peers.values().stream()
                .filter(peer -> peer.hall().equals(hall))
                .findFirst()
                .map(peer -> peer.region().equals(region))
                .orElse(true);
    }

    /** Returns the ids of the reachable entries of this region that serve callers. */
    public List<String> servingInRegion() {
        return reachable().stream()
                .filter(peer -> peer.serving() && peer.region().equals(region))
                .map(PeerState::id)
                .toList();
    }
}
