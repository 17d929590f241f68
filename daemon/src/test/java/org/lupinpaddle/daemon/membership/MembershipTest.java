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

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.common.RecordCodec;
import org.lupinpaddle.core.common.StoreKeys;
import org.lupinpaddle.core.view.StoredRecord;

class MembershipTest {

    private static final long HEARTBEAT_MILLIS = 1_000;

    private long now;
    private Membership membership = new Membership("self", "valley", HEARTBEAT_MILLIS, () -> now);

    @BeforeEach
    void start() {
        now = 0;
        membership = new Membership("self", "valley", HEARTBEAT_MILLIS, () -> now);
        membership.onHello("near", "north", "valley", "127.0.0.1:1");
        membership.onHello("far", "west", "coast", "127.0.0.1:2");
    }

    private void heartbeat(String id, long revision) {
        membership.onHeartbeat(id, revision, true, true, Map.of());
    }

    private static StoredRecord registration(String id, String region) {
        EntryRecord entry = new EntryRecord(id, "north", region, "127.0.0.1:1", "", "", "w");
        return new StoredRecord(StoreKeys.entry(id), RecordCodec.write(entry), 5);
    }

    private PeerState peer(String id) {
        return membership.peers().stream()
                .filter(peer -> peer.id().equals(id))
                .findFirst()
                .orElseThrow();
    }

    @Nested
    class Reachability {

        @Test
        void includesOnlyServingPeersOfTheRegionWithRecentHeartbeats() {
            assertEquals(List.of(), membership.servingInRegion());
            heartbeat("near", 1);
            heartbeat("far", 1);
            assertEquals(List.of("near"), membership.servingInRegion());
            now = 2_501;
            assertEquals(List.of(), membership.servingInRegion(), "an entry without heartbeats is not reachable");
            assertTrue(membership.isReachable(peer("far")), "heartbeats between regions are less frequent");
        }

        @Test
        void endsOnDisconnect() {
            heartbeat("near", 1);
            membership.onDisconnected("near");
            assertFalse(membership.isReachable(peer("near")));
        }
    }

    @Nested
    class Revision {

        @Test
        void neverDecreases() {
            heartbeat("near", 7);
            heartbeat("near", 5);
            assertEquals(7, peer("near").revision());
        }

        @Test
        void isResetAtNewAddress() {
            heartbeat("near", 7);
            membership.onHello("near", "north", "valley", "127.0.0.1:9");
            assertEquals(0, peer("near").revision(), "a new process has not confirmed any revision");
        }
    }

    @Nested
    class Registration {

        @Test
        void keepsSilentPeersUntilRemoved() {
            membership.onRegistrations(List.of(registration("near", "valley"), registration("self", "valley")));
            assertTrue(peer("near").registered());
            assertEquals(2, membership.peers().size(), "an entry is not its own peer");
            now = 120_000;
            membership.onRegistrations(List.of(registration("near", "valley")));
            assertEquals(1, membership.peers().size(), "an unregistered entry without heartbeats is removed");
        }
    }

    @Nested
    class Hall {

        @Test
        void belongsToTheRegionOfItsEntries() {
            assertTrue(membership.mayBeInRegion("north"));
            assertFalse(membership.mayBeInRegion("west"));
            assertTrue(
                    membership.mayBeInRegion("unknown"), "a hall without known entries counts as part of the region");
        }
    }
}
