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
 * What is known of another entry.
 *
 * @param id its name
 * @param hall its data hall
 * @param region its region
 * @param address its peer address
 * @param registered whether its registration stands in the store, as last read
 * @param lastSeen when it was last heard, in milliseconds of this entry's clock; far past where never
 * @param revision the newest record of the configuration that is in force on it
 * @param serving whether it serves callers
 * @param platformOk whether it hears from the platform
 * @param leaving incarnations of instances that the platform's list says are leaving, as it knows them
 */
public record PeerState(
        String id,
        String hall,
        String region,
        String address,
        boolean registered,
        long lastSeen,
        long revision,
        boolean serving,
        boolean platformOk,
        Map<String, Long> leaving) {

    private static final long NEVER = Long.MIN_VALUE / 2;

    /** Returns the state of an entry that was not heard yet. */
    public static PeerState initial(String id, String hall, String region, String address) {
        return new PeerState(id, hall, region, address, false, NEVER, 0, false, false, Map.of());
    }

    /** Returns this state with the store's word on the registration. */
    public PeerState withRegistered(boolean newRegistered) {
        return new PeerState(
                id, hall, region, address, newRegistered, lastSeen, revision, serving, platformOk, leaving);
    }

    /** Returns this state with what a heartbeat said. */
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

    /** Returns this state as gone, until it is heard again. */
    public PeerState disconnected() {
        return new PeerState(id, hall, region, address, registered, NEVER, revision, false, false, leaving);
    }
}
