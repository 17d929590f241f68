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

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lupinpaddle.core.placement.Resources;

/**
 * Determines how many workers a service needs because the advice service has refused some of them for long-running
 * steps. Its decision on a worker does not change, so a step without room on the other workers needs further ones.
 */
final class RefusalDemand {

    private final ServiceState state;
    private final Advisor advisor;
    private Map<LiveStep, Request> requestByStep = new HashMap<>();

    /**
     * The request of a step.
     *
     * @param workers the number of workers that would have sufficed at the latest when permitted ones were lacking. It
     *     is kept while the step is in progress: otherwise the pool would shrink as soon as the tasks run, and the
     *     workers that run them could be among those that leave.
     * @param refused the number of current workers that are refused
     */
    private record Request(int workers, int refused) {}

    RefusalDemand(ServiceState state, Advisor advisor) {
        this.state = state;
        this.advisor = advisor;
    }

    /** Updates the requests to the current workers and tasks. */
    void update() {
        List<LiveWorker> supply = state.suppliedWorkers();
        Resources room = ServiceReportBuilder.smallestWorkerRoom(state);
        Map<LiveStep, Request> updated = new HashMap<>();
        for (LiveJob job : state.activeJobs.values()) {
            if (job.policy.advised()) {
                job.steps().filter(this::isInProgress).forEach(s -> {
                    Request r = request(s, supply, room);
                    if (r.workers > 0) {
                        updated.put(s, r);
                    }
                });
            }
        }
        requestByStep = updated;
    }

    /**
     * Returns the number of workers that the service needs.
     *
     * @param regardless the number that its work needs regardless of refusals; as many that are not refused are enough
     *     for any step
     */
    int requiredWorkers(int regardless) {
        int required = regardless;
        for (Request r : requestByStep.values()) {
            required = Math.max(required, Math.min(r.workers, regardless + r.refused));
        }
        return required;
    }

    private boolean isInProgress(LiveStep s) {
        return s.spec.longRunning() && !s.isDone() && s.isReady(state.wallNow());
    }

    private Request request(LiveStep s, List<LiveWorker> supply, Resources workerRoom) {
        List<LiveWorker> notRefused =
                supply.stream().filter(w -> !advisor.isRefused(s, w)).toList();
        int refused = supply.size() - notRefused.size();
        int lacking = refused == 0 ? 0 : lackingWorkers(s, notRefused, workerRoom);
        int before = requestByStep.getOrDefault(s, new Request(0, 0)).workers;
        return new Request(lacking == 0 ? before : Math.max(before, supply.size() + lacking), refused);
    }

    /** Returns how many workers the waiting tasks of the step need that do not find room on these. */
    private int lackingWorkers(LiveStep s, List<LiveWorker> workers, Resources workerRoom) {
        StepRoom room = StepRoom.of(s, state.now());
        if (room == null || !s.job.quota.mayPlace(s.minPlacement())) {
            return 0;
        }
        // A task avoids workers where it has failed, and others stay away from suspects, for some seconds only.
        long fitting = room.regardlessOfHistory().count(workers, LiveWorker::roomIfUnreserved, s.waiting());
        long perWorker = tasksPerWorker(s, workerRoom);
        return (int) ((s.waiting() - fitting + perWorker - 1) / perWorker);
    }

    private static long tasksPerWorker(LiveStep s, Resources workerRoom) {
        long fitting = Math.max(1, workerRoom.countOf(s.room));
        int maxTasks = s.spec.perWorkerMost();
        return maxTasks == 0 ? fitting : Math.min(fitting, maxTasks);
    }
}
