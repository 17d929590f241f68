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

/** Builds the report of the owner of a service. */
final class ServiceReportBuilder {

    private final ServiceState state;
    private final RefusalDemand refusals;

    /** The demand of the service's jobs, grouped by whether they can still meet their objective. */
    private static final class Demands {
        final Demand all = new Demand();
        final Demand onTime = new Demand();
        final Demand late = new Demand();
    }

    ServiceReportBuilder(ServiceState state, RefusalDemand refusals) {
        this.state = state;
        this.refusals = refusals;
    }

    ServiceReport build() {
        Map<String, Integer> pending = new TreeMap<>();
        Demands demands = new Demands();
        for (LiveJob job : state.activeJobs.values()) {
            if (!job.started) {
                pending.merge(job.spec.key().queue(), 1, Integer::sum);
            }
            add(job, demands);
        }
        Resources smallestRoom = smallestWorkerRoom(state);
        refusals.update();
        double ahead = state.trend.forecast(state.now(), demands.all.requiredWorkers(smallestRoom));
        int needed = refusals.requiredWorkers(Math.max(demands.all.minWorkers(), (int) Math.ceil(ahead)));
        demands.onTime.setArrivals(state.arrivals.averageResources(state.now()));
        int required = (int) Math.ceil(demands.onTime.requiredWorkers(smallestRoom));
        int firm = refusals.requiredWorkers(Math.max(demands.onTime.minWorkers(), required));
        int late = (int) Math.ceil(demands.late.requiredWorkers(smallestRoom));
        return new ServiceReport(pending, needed, firm, late, workerLoads());
    }

    private void add(LiveJob job, Demands demands) {
        long wallMillis = state.wallNow();
        for (LiveIteration i : job.iterations()) {
            if (wallMillis >= job.spec.repeat().dueMillis(i.time)) {
                addIteration(i, wallMillis, demands);
            }
        }
    }

    private void addIteration(LiveIteration iteration, long wallMillis, Demands demands) {
        LiveJob job = iteration.job;
        int time = iteration.time;
        List<LiveStep> steps = iteration.unfinishedSteps();
        long remaining = iteration.remainingMillis();
        // The remaining work should end by the objective or, failing that, before late completion loses its value.
        long onTime = Math.max(remaining, StepUrgency.Tier.ON_TIME.deadlineMillis(job, time) - wallMillis);
        long late = Math.max(remaining, StepUrgency.Tier.LATE.deadlineMillis(job, time) - wallMillis);
        StepUrgency.Tier tier = StepUrgency.Tier.of(job, time, wallMillis + remaining);
        double share = parallelShare(steps, onTime, wallMillis);
        for (LiveStep s : steps) {
            int apart = workersForTasksApart(s, wallMillis);
            demands.all.requireWorkers(apart);
            add(s, onTime, share, demands.all);
            if (s.spec.longRunning() || tier == StepUrgency.Tier.ON_TIME) {
                demands.onTime.requireWorkers(apart);
                add(s, onTime, share, demands.onTime);
            } else if (tier == StepUrgency.Tier.LATE) {
                add(s, late, share, demands.late);
            }
        }
    }

    /** Returns the share of the steps' total demand that can be used at one time, since steps wait for each other. */
    private double parallelShare(List<LiveStep> steps, long available, long wallMillis) {
        double requested = 0;
        double ready = 0;
        double largestStep = 0;
        for (LiveStep s : steps) {
            double cpu = (double) s.room.cpuMillis() * s.unfinished();
            requested += cpu * Demand.requiredTimeShare(state.expectedMillis(s), available);
            largestStep = Math.max(largestStep, cpu);
            ready += s.isReady(wallMillis) ? cpu : 0;
        }
        double usable = Math.max(ready, largestStep);
        return requested <= usable ? 1 : usable / requested;
    }

    private void add(LiveStep s, long available, double share, Demand demand) {
        long expected = state.expectedMillis(s);
        for (LiveTask t : s.tasks) {
            if (t.phase == Phase.DONE) {
                continue;
            }
            demand.requireWorkers(t.workersNeeded());
            if (s.spec.longRunning()) {
                demand.addLongRunning(s.room);
            } else {
                // The job's own remaining time stays the learned one: a cold worker becomes warm during the run, and a
                // job that counted as late would no longer request workers for its other tasks.
                long remaining = t.remainingMillisOnWorker(expected);
                demand.addFinite(s.room, remaining, available, share, t.phase.occupiesWorker());
            }
        }
    }

    /** Returns how many workers the step needs for tasks that run at the same time and may not all share one. */
    private static int workersForTasksApart(LiveStep s, long wallMillis) {
        int perWorker = s.spec.perWorkerMost();
        boolean runsAtOnce = s.spec.longRunning() || (s.spec.gang() && s.isReady(wallMillis));
        return perWorker > 0 && runsAtOnce ? (s.spec.count() + perWorker - 1) / perWorker : 0;
    }

    /** Returns the room of the smallest worker: a task that fits there fits everywhere. */
    static Resources smallestWorkerRoom(ServiceState state) {
        return state.workers.values().stream()
                .map(w -> w.facts().capacity())
                .filter(r -> r.cpuMillis() > 0)
                .min(Comparator.comparingLong(Resources::cpuMillis))
                .orElse(Resources.NONE);
    }

    private List<WorkerLoad> workerLoads() {
        List<WorkerLoad> loads = new ArrayList<>();
        for (LiveWorker w : state.workers.values()) {
            int finiteTasks = w.tasks.size() - w.longRunningCount();
            loads.add(new WorkerLoad(
                    w.facts().id(), w.longRunningCount(), finiteTasks, !state.isSilent(w) && !w.isUnreachable()));
        }
        loads.sort(Comparator.comparing(WorkerLoad::worker));
        return loads;
    }
}
