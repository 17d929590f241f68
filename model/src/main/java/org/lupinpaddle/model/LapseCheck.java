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
package org.lupinpaddle.model;

import java.util.HashMap;
import java.util.Map;

/**
 * Checks at any time that no run lapses on a worker whose calls with the owner of its service have worked for a while,
 * whatever becomes of the store: such an owner can extend all runs in time.
 */
final class LapseCheck {

    private static final long POLL_MILLIS = 100;
    // Owners extend runs by 5 s on a clock that may be slow, and poll once a second.
    private static final long STEADY_MILLIS = 7_000;

    private final World world;
    private final Map<String, Owner> owners = new HashMap<>();
    /** When the calls of each worker last failed or could have failed; a worker that is not contained is new. */
    private final Map<SimWorker, Long> disturbedAt = new HashMap<>();

    /**
     * The owner of a service.
     *
     * @param since since when it has owned the service as a steady process
     */
    private record Owner(String entry, long fence, long since) {}

    LapseCheck(World world) {
        this.world = world;
    }

    void start() {
        world.site.services().forEach(this::updateOwner);
        world.fleet.workers().forEach(this::updateWorker);
        world.time.schedule(POLL_MILLIS, this::start);
    }

    private void updateOwner(String service) {
        Owner known = owners.getOrDefault(service, new Owner("", 0, world.time.now()));
        String entry = world.owner(service);
        long fence = world.fence(service);
        if (entry.isEmpty() && world.net.isStoreAway()) {
            // Its lease may expire meanwhile; nobody else can win the service, and it serves on.
            entry = known.entry;
            fence = known.fence;
        }
        boolean steady =
                !entry.isEmpty() && fence == known.fence && world.entry(entry).isSteady();
        owners.put(service, new Owner(entry, fence, steady ? known.since : world.time.now()));
    }

    private void updateWorker(SimWorker w) {
        Owner owner = owners.get(w.service());
        boolean reachable = owner != null
                && !owner.entry.isEmpty()
                && !world.net.isSeparated(world.entry(owner.entry).hall, w)
                && !world.net.workersWithLateOrders.contains(w.id());
        if (!reachable || !disturbedAt.containsKey(w)) {
            onCallFailed(w);
        }
    }

    /** Records that a call to a worker had no answer. */
    void onCallFailed(SimWorker w) {
        disturbedAt.put(w, world.time.now());
    }

    /** Checks the lapse of a run on a worker that is up. */
    void onLapsed(SimWorker w, String run) {
        long now = world.time.now();
        Owner owner = owners.getOrDefault(w.service(), new Owner("", 0, now));
        long workedSince = Math.max(owner.since, disturbedAt.getOrDefault(w, now));
        world.rules.require(
                Rules.Rule.LOST,
                now - workedSince < STEADY_MILLIS,
                run + " lapsed on " + w.id() + ", whose calls with " + owner.entry + ", the owner of " + w.service()
                        + ", have worked since " + workedSince);
    }
}
