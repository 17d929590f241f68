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
import org.lupinpaddle.core.placement.Resources;
import org.lupinpaddle.core.run.LiveTask.Phase;

/** Puts together what the owner of a service tells of it. */
final class DemandReport {

    private final ServiceState state;

    /** What the service's work asks for, by what is still to be won by it. */
    private static final class Demands {
        final Demand all = new Demand();
        final Demand onTime = new Demand();
        final Demand late = new Demand();
    }

    DemandReport(ServiceState state) {
        this.state = state;
    }

    ServiceReport make() {
        Map<String, Integer> pending = new TreeMap<>();
        Demands demands = new Demands();
        for (LiveJob job : state.live.values()) {
            if (!job.begun) {
                pending.merge(job.spec.key().queue(), 1, Integer::sum);
            }
            add(job, demands);
        }
        Resources usual = usualRoom();
        double ahead = state.trend.forecast(state.now(), demands.all.requiredWorkers(usual));
        int needed = (int) Math.max(demands.all.minWorkers(), Math.ceil(ahead));
        demands.onTime.setArrivals(state.arrivals.averageResources(state.now()));
        int firm = (int) Math.max(demands.onTime.minWorkers(), Math.ceil(demands.onTime.requiredWorkers(usual)));
        int late = (int) Math.ceil(demands.late.requiredWorkers(usual));
        return new ServiceReport(pending, needed, firm, late, loads());
    }

    private void add(LiveJob job, Demands demands) {
        long wall = state.wallNow();
        for (int time = 0; time < job.spec.repeat().times(); time++) {
            if (wall >= job.spec.repeat().dueMillis(time)) {
                addTime(job, time, wall, demands);
            }
        }
    }

    private void addTime(LiveJob job, int time, long wall, Demands demands) {
        List<LiveStep> steps =
                job.steps.stream().filter(s -> s.time == time && !s.isDone()).toList();
        long left = job.leftMillis(time);
        // All that is left is to be done until the objective, or until late ends count no more, if it can be.
        long onTime = Math.max(left, StepUrgency.Tier.ON_TIME.endsMillis(job, time) - wall);
        long late = Math.max(left, StepUrgency.Tier.LATE.endsMillis(job, time) - wall);
        StepUrgency.Tier tier = StepUrgency.Tier.of(job, time, wall + left);
        double part = part(steps, onTime, wall);
        for (LiveStep s : steps) {
            add(s, onTime, part, demands.all);
            if (s.spec.longRunning() || tier == StepUrgency.Tier.ON_TIME) {
                add(s, onTime, part, demands.onTime);
            } else if (tier == StepUrgency.Tier.LATE) {
                add(s, late, part, demands.late);
            }
        }
    }

    /** Returns which part of what the steps ask for, added up, they can take at one time: steps wait for each other. */
    private double part(List<LiveStep> steps, long available, long wall) {
        double asked = 0;
        double ready = 0;
        double widest = 0;
        for (LiveStep s : steps) {
            double cpu = (double) s.room.cpuMillis() * s.open();
            asked += cpu * Demand.requiredTimeShare(state.expectedMillis(s), available);
            widest = Math.max(widest, cpu);
            ready += s.isReady(wall) ? cpu : 0;
        }
        double most = Math.max(ready, widest);
        return asked <= most ? 1 : most / asked;
    }

    private void add(LiveStep s, long available, double part, Demand demand) {
        long expected = state.expectedMillis(s);
        for (LiveTask t : s.tasks) {
            if (t.phase == Phase.DONE) {
                continue;
            }
            demand.requireWorkers(t.workersWanted());
            if (s.spec.longRunning()) {
                demand.addLongRunning(s.room);
            } else {
                demand.addFinite(s.room, t.leftMillis(expected), available, part, t.phase.onWorker());
            }
        }
        if (s.spec.longRunning() && s.spec.perWorkerMost() > 0) {
            demand.requireWorkers((s.spec.count() + s.spec.perWorkerMost() - 1) / s.spec.perWorkerMost());
        }
    }

    /** The smallest worker counts: what fits on it fits everywhere. */
    private Resources usualRoom() {
        return state.workers.values().stream()
                .map(w -> w.facts().capacity())
                .filter(r -> r.cpuMillis() > 0)
                .min(Comparator.comparingLong(Resources::cpuMillis))
                .orElse(Resources.NONE);
    }

    private List<WorkerLoad> loads() {
        List<WorkerLoad> loads = new ArrayList<>();
        for (LiveWorker w : state.workers.values()) {
            int finite = w.tasks.size() - w.lasting();
            loads.add(new WorkerLoad(w.facts().id(), w.lasting(), finite, !state.isMissed(w) && !w.isOutOfReach()));
        }
        loads.sort(Comparator.comparing(WorkerLoad::worker));
        return loads;
    }
}
