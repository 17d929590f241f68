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
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.placement.Room;
import org.lupinpaddle.core.run.LiveTask.Phase;

/** Puts together what the owner of a service tells of it. */
final class DemandReport {

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
        return new ServiceReport(pending, demand.workers(usualRoom()), loads());
    }

    private void add(LiveJob job, Demand demand) {
        long wall = state.wallNow();
        for (LiveTask t : job.tasks) {
            if (t.phase == Phase.DONE || wall < job.spec.repeat().dueMillis(t.id.time())) {
                continue;
            }
            if (job.stepReady(t.id, wall)) {
                demand.addPresent(Room.of(t.step));
                demand.spreadOver(t.workersWanted());
            } else {
                demand.addFollowing(Room.of(t.step));
            }
        }
        for (StepSpec s : job.spec.steps()) {
            if (s.longRunning() && s.perWorkerMost() > 0) {
                demand.spreadOver((s.count() + s.perWorkerMost() - 1) / s.perWorkerMost());
            }
        }
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
