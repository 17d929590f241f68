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
import java.util.Optional;
import org.lupinpaddle.core.job.JobState;
import org.lupinpaddle.core.placement.Placer;
import org.lupinpaddle.core.placement.Resources;
import org.lupinpaddle.core.run.LiveTask.Phase;

/** Assigns waiting tasks to workers, the most urgent steps first. */
final class PlacementPass {

    private final ServiceState state;
    private final Advisor advisor;
    private final CordonWaits cordonWaits;

    PlacementPass(ServiceState state, Advisor advisor, CordonWaits cordonWaits) {
        this.state = state;
        this.advisor = advisor;
        this.cordonWaits = cordonWaits;
    }

    void run() {
        state.quotas.clearWaiting();
        advisor.beginPass();
        if (state.staleView() != null) {
            cordonWaits.pause();
            return;
        }
        List<LiveWorker> usable = state.usableWorkers();
        cordonWaits.beginPass();
        if (!usable.isEmpty()) {
            placeWaiting(usable);
        }
        cordonWaits.update(usable);
        advisor.endPass();
    }

    private void placeWaiting(List<LiveWorker> allUsable) {
        List<LiveWorker> usable = allUsable;
        Resources maxFree = LiveWorker.maxFree(usable, LiveWorker::free);
        for (StepUrgency u : waitingStepsByUrgency(maxFree)) {
            LiveStep s = u.step();
            // Free room only shrinks while steps are placed.
            if (maxFree.canHold(s.room)) {
                int waiting = s.waiting();
                if (s.job.quota.mayPlace(s.minPlacement())) {
                    placeWithAdvice(s, usable);
                    if (waitsForColdStarts(s, usable)) {
                        // Otherwise less urgent tasks would take each start as it becomes permitted.
                        usable = usable.stream()
                                .filter(w -> !w.areStartsLimited())
                                .toList();
                        maxFree = LiveWorker.maxFree(usable, LiveWorker::free);
                    }
                }
                if (s.hasWaiting() && !(s.job.quota.isLimited() && cordonWaits.needsNoQuota(s, allUsable))) {
                    s.job.quota.addWaiting(s.need.times(s.waiting()), s.minPlacement());
                }
                maxFree = s.waiting() < waiting ? LiveWorker.maxFree(usable, LiveWorker::free) : maxFree;
            }
        }
        state.quotas.boundWaiting(totalFree(allUsable));
    }

    /** Returns whether a gang finds no room only because cold workers may not be sent a start at the same time. */
    private boolean waitsForColdStarts(LiveStep s, List<LiveWorker> usable) {
        if (!s.spec.gang() || !s.hasWaiting() || usable.stream().noneMatch(LiveWorker::areStartsLimited)) {
            return false;
        }
        List<LiveWorker> permitted = s.job.policy.advised() ? advisor.allowed(s, usable) : usable;
        StepRoom room = StepRoom.of(s, state.now());
        return room != null
                && !room.fits(permitted, LiveWorker::roomFor)
                && room.fits(permitted, LiveWorker::roomPerStart);
    }

    private static Resources totalFree(List<LiveWorker> workers) {
        Resources total = Resources.NONE;
        for (LiveWorker w : workers) {
            total = total.plus(w.free().componentMax(Resources.NONE));
        }
        return total;
    }

    /** Returns the steps that have waiting tasks and might fit, the most urgent first. */
    private List<StepUrgency> waitingStepsByUrgency(Resources maxFree) {
        long wallMillis = state.wallNow();
        List<StepUrgency> steps = new ArrayList<>();
        state.waitingSteps(maxFree).forEach(s -> steps.add(StepUrgency.of(s, wallMillis)));
        steps.sort(StepUrgency.MOST_URGENT_FIRST);
        return steps;
    }

    /** Places a step; if its queue requires advice, only on permitted workers. */
    private void placeWithAdvice(LiveStep step, List<LiveWorker> usable) {
        if (!step.job.policy.advised()) {
            place(step, usable);
            return;
        }
        place(step, advisor.allowed(step, usable));
        if (step.hasWaiting()) {
            advisor.considerRequest(step, usable);
        }
    }

    private void place(LiveStep step, List<LiveWorker> workers) {
        if (step.spec.rackLocal() && placeOnOneRack(step, workers)) {
            return;
        }
        if (step.spec.gang()) {
            placeAll(step, workers);
        } else {
            placeEach(step, workers);
        }
    }

    /** Places the step's waiting tasks on the most preferred rack that takes all of them; false if there is none. */
    private boolean placeOnOneRack(LiveStep step, List<LiveWorker> workers) {
        long now = state.now();
        int placeable =
                (int) step.tasks.stream().filter(t -> t.isPlaceable(now)).count();
        return placeable > 0
                && RackSelector.racksByPreference(step, workers, placeable).stream()
                        .anyMatch(rack -> placeAll(step, rack));
    }

    private void placeEach(LiveStep step, List<LiveWorker> workers) {
        long now = state.now();
        for (LiveTask t : step.tasks) {
            if (!t.isPlaceable(now)) {
                continue;
            }
            if (!step.job.quota.mayPlace(step.need)) {
                return;
            }
            Optional<LiveWorker> w = Placer.choose(workers, t.placementRequirements(now));
            if (w.isPresent()) {
                reserve(t, w.get());
                t.beginRun(t.run + 1);
                recordPlacement(t);
            } else if (t.acceptsAnyWorker()) {
                // There is no room for the other tasks either, since they need the same.
                return;
            }
        }
    }

    /**
     * Places all tasks of the step that may be placed now, or none of them; those of a gang only together. Returns
     * whether they were placed, as far as the quota allows.
     */
    private boolean placeAll(LiveStep step, List<LiveWorker> workers) {
        long now = state.now();
        boolean gang = step.spec.gang();
        List<LiveTask> placeable =
                step.tasks.stream().filter(t -> t.isPlaceable(now)).toList();
        if (gang && placeable.size() < step.tasks.size()) {
            return false;
        }
        List<LiveTask> reserved = new ArrayList<>();
        for (LiveTask t : placeable) {
            if (!gang && !step.job.quota.mayPlace(step.need)) {
                break;
            }
            Optional<LiveWorker> w = Placer.choose(workers, t.placementRequirements(now));
            if (w.isEmpty()) {
                reserved.forEach(r -> r.withdrawReservation(now));
                return false;
            }
            reserve(t, w.get());
            reserved.add(t);
        }
        if (gang) {
            joinGang(reserved);
        } else {
            reserved.forEach(t -> t.beginRun(t.run + 1));
        }
        reserved.forEach(this::recordPlacement);
        return true;
    }

    /** Gives the members of a gang a common run number and the newest checkpoint of any of them. */
    private static void joinGang(List<LiveTask> members) {
        int run = members.stream().mapToInt(m -> m.run).max().orElse(0) + 1;
        String checkpoint = newestCheckpoint(members);
        for (LiveTask m : members) {
            m.checkpoint = checkpoint;
            m.beginRun(run);
        }
    }

    private static String newestCheckpoint(List<LiveTask> members) {
        return members.stream()
                .filter(m -> !m.checkpoint.isEmpty())
                .max(Comparator.comparingInt(m -> m.run))
                .map(m -> m.checkpoint)
                .orElse("");
    }

    /** Assigns the task to the worker; its run is numbered when the placement is final. */
    private void reserve(LiveTask t, LiveWorker w) {
        t.worker = w;
        t.incarnation = w.incarnation();
        t.ticket = t.job.policy.advised() ? advisor.ticket(t.liveStep, w) : "";
        t.enterPhase(Phase.PLACED, state.now());
        w.add(t);
    }

    private void recordPlacement(LiveTask t) {
        LiveJob job = t.job;
        if (job.state == JobState.QUEUED) {
            job.state = JobState.RUNNING;
        }
        state.markChanged(job);
        t.placedVersion = job.version;
        String detail = "attempts=" + t.failures + " version=" + t.placedVersion + " waited-millis=" + waitedMillis(t);
        long cordonedMillis = cordonWaits.placed(t);
        if (cordonedMillis > 0) {
            detail += " cordoned-millis=" + cordonedMillis;
        }
        if (t.worker != null && t.worker.isCold()) {
            detail += " cold=true";
        }
        state.note(SchedulerEvent.Kind.TASK_PLACED, t, "", detail);
    }

    private long waitedMillis(LiveTask t) {
        long age = state.wallNow() - t.job.dueMillis(t.id.time());
        return state.now() - t.waitingSince(state.now() - age);
    }
}
