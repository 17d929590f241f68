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
package org.lupinpaddle.core.run;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.lupinpaddle.core.capacity.Demand;
import org.lupinpaddle.core.capacity.ServiceReport;
import org.lupinpaddle.core.capacity.WorkerLoad;
import org.lupinpaddle.core.placement.Room;
import org.lupinpaddle.core.run.LiveTask.Phase;

/** Puts together what the owner of a service tells of it. */
final class DemandReport {

    private static final int ALL_PERCENT = 100;

    private final ServiceState state;

    DemandReport(ServiceState state) {
        this.state = state;
    }

    ServiceReport make() {
        Map<String, Integer> pending = new TreeMap<>();
        Demand demand = new Demand();
        for (LiveJob job : state.jobs.values()) {
            if (job.state.ended()) {
                continue;
            }
            if (!job.begun) {
                pending.merge(job.spec.key().queue(), 1, Integer::sum);
            }
            add(job, demand);
        }
        double ahead = state.trend.ahead(state.now(), demand.need(usualRoom()));
        int workers = (int) Math.max(demand.fewest(), Math.ceil(ahead));
        return new ServiceReport(pending, workers, loads());
    }

    private void add(LiveJob job, Demand demand) {
        long wall = state.wallNow();
        for (LiveStep s : job.steps) {
            if (wall >= job.spec.repeat().dueMillis(s.time)) {
                add(s, wall, demand);
            }
        }
    }

    private void add(LiveStep s, long wall, Demand demand) {
        long expected = state.expectedMillis(s);
        long available = available(s, wall);
        for (LiveTask t : s.tasks) {
            if (t.phase == Phase.DONE) {
                continue;
            }
            Room room = Room.of(s.spec);
            demand.spreadOver(t.workersWanted());
            if (s.spec.longRunning()) {
                demand.addLasting(room);
            } else {
                demand.addFinite(
                        room, expected * (ALL_PERCENT - t.percent) / ALL_PERCENT, available, t.phase.onWorker());
            }
        }
        if (s.spec.longRunning() && s.spec.perWorkerMost() > 0) {
            demand.spreadOver((s.spec.count() + s.spec.perWorkerMost() - 1) / s.spec.perWorkerMost());
        }
    }

    /** Returns within which time a step's job is to do all that is left of it: until its objective, if it can. */
    private static long available(LiveStep s, long wall) {
        LiveJob job = s.job;
        long untilObjective = job.beginsMillis(s.time) + job.objectiveMillis() - wall;
        return Math.max(untilObjective, job.leftMillis(s.time));
    }

    /** The smallest worker counts: what fits on it fits everywhere. */
    private Room usualRoom() {
        return state.workers.values().stream()
                .map(w -> w.facts().room())
                .filter(r -> r.cpuMillis() > 0)
                .min(Comparator.comparingLong(Room::cpuMillis))
                .orElse(Room.NONE);
    }

    private List<WorkerLoad> loads() {
        List<WorkerLoad> loads = new ArrayList<>();
        for (LiveWorker w : state.workers.values()) {
            int lasting =
                    (int) w.tasks.stream().filter(t -> t.step.longRunning()).count();
            loads.add(new WorkerLoad(w.facts().id(), lasting, w.tasks.size() - lasting));
        }
        loads.sort(Comparator.comparing(WorkerLoad::worker));
        return loads;
    }
}
