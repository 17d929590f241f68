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

import java.util.List;
import java.util.Random;

/**
 * Workers that crash and start again under their ids: one, a rack or all of a service; at once or after a while, once or twice in
 * a row, behind a cut, and while orders are carried out late. What it draws is its own, so that a seed means the same
 * history with and without it, up to the first restart.
 */
final class Restarts {

    private static final long SEED = 0x1d_e77;
    private static final int MOST_EVENTS = 6;
    private static final int AT_ONCE_MILLIS = 20;
    private static final int AT_ONCE_SPREAD_MILLIS = 200;
    private static final int MOST_DOWN_MILLIS = 4_000;
    private static final int LEAD_MILLIS = 400;
    private static final int TROUBLE_MILLIS = 6_000;
    private static final int AGAIN_WITHIN_MILLIS = 2_500;

    private final World world;
    private final Random random;

    /** How many workers are hit. */
    private enum Scope {
        ONE {
            @Override
            boolean covers(SimWorker hit, SimWorker w) {
                return w == hit;
            }
        },
        RACK {
            @Override
            boolean covers(SimWorker hit, SimWorker w) {
                return w.facts().failureDomain().equals(hit.facts().failureDomain());
            }
        },
        SERVICE {
            @Override
            boolean covers(SimWorker hit, SimWorker w) {
                return w.service().equals(hit.service());
            }
        };

        abstract boolean covers(SimWorker hit, SimWorker w);
    }

    /** What is wrong with the way to the workers around the restart. */
    private enum Setting {
        PLAIN,
        CUT,
        LATE_ORDERS
    }

    Restarts(World world, long seed) {
        this.world = world;
        random = new Random(seed ^ SEED);
    }

    void plan(long from, long millis) {
        int events = 1 + random.nextInt(MOST_EVENTS);
        for (int i = 0; i < events; i++) {
            world.time.after(from + random.nextInt((int) millis), this::strike);
        }
    }

    /** Returns whether a worker that crashes for another reason comes back under its id. */
    boolean keepsId() {
        return random.nextInt(4) != 0;
    }

    private void strike() {
        List<SimWorker> up = world.fleet.workers();
        if (up.isEmpty()) {
            return;
        }
        SimWorker one = up.get(random.nextInt(up.size()));
        Scope scope = pick(Scope.values());
        Setting setting = pick(Setting.values());
        List<String> hit =
                up.stream().filter(w -> scope.covers(one, w)).map(SimWorker::id).toList();
        world.history.add("restart of " + hit + " " + setting);
        hit.forEach(id -> prepare(id, setting));
        boolean twice = random.nextInt(3) == 0;
        long lead = setting == Setting.PLAIN ? 0 : random.nextInt(LEAD_MILLIS);
        world.time.after(lead, () -> hit.forEach(this::restart));
        if (twice) {
            world.time.after(lead + random.nextInt(AGAIN_WITHIN_MILLIS), () -> hit.forEach(this::restart));
        }
    }

    private <T> T pick(T[] all) {
        return all[random.nextInt(all.length)];
    }

    private void prepare(String id, Setting setting) {
        long until = 500 + random.nextInt(TROUBLE_MILLIS);
        if (setting == Setting.CUT) {
            world.net.cutWorkers.add(id);
            world.time.after(until, () -> world.net.cutWorkers.remove(id));
        } else if (setting == Setting.LATE_ORDERS) {
            world.net.lateWorkers.add(id);
            world.time.after(until, () -> world.net.lateWorkers.remove(id));
        }
    }

    private void restart(String id) {
        boolean atOnce = random.nextBoolean();
        long down = AT_ONCE_MILLIS + random.nextInt(atOnce ? AT_ONCE_SPREAD_MILLIS : MOST_DOWN_MILLIS);
        world.fleet.workers().stream()
                .filter(w -> w.id().equals(id))
                .findFirst()
                .ifPresent(w -> world.fleet.restart(w, down));
    }
}
