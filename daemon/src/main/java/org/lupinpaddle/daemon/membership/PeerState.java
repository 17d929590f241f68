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

import java.util.Map;

/**
 * The known state of another entry.
 *
 * @param id its name
 * @param hall its data hall
 * @param region its region
 * @param address its peer address
 * @param registered whether the store contained its registration when last read
 * @param lastContact the time of its last hello or heartbeat, in milliseconds of this entry's clock
 * @param revision the revision of the newest configuration record in force on it
 * @param serving whether it serves callers
 * @param platformOk whether it can reach the platform
 * @param leaving the incarnations of the instances that the platform lists as leaving, as known to it
 */
public record PeerState(
        String id,
        String hall,
        String region,
        String address,
        boolean registered,
        long lastContact,
        long revision,
        boolean serving,
        boolean platformOk,
        Map<String, Long> leaving) {

    private static final long NEVER = Long.MIN_VALUE / 2;

    /** Returns the state of an entry without any heartbeat yet. */
    public static PeerState initial(String id, String hall, String region, String address) {
        return new PeerState(id, hall, region, address, false, NEVER, 0, false, false, Map.of());
    }

    /** Returns this state with an updated registration. */
    public PeerState withRegistered(boolean newRegistered) {
        return new PeerState(
                id, hall, region, address, newRegistered, lastContact, revision, serving, platformOk, leaving);
    }

    /** Returns this state updated by a heartbeat; the revision never decreases. */
    public PeerState withHeartbeat(
            long now, long newRevision, boolean newServing, boolean newPlatformOk, Map<String, Long> newLeaving) {
        return new PeerState(
                id,
                hall,
                region,
                address,
                registered,
                now,
                Math.max(revision, newRevision),
                newServing,
                newPlatformOk,
                newLeaving);
    }

    /** Returns this state as unreachable until the next heartbeat. */
    public PeerState disconnected() {
        return new PeerState(id, hall, region, address, registered, NEVER, revision, false, false, leaving);
    }
}
