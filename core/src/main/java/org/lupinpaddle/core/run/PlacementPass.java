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
import org.lupinpaddle.core.run.LiveTask.Phase;

/** Gives waiting tasks their workers: jobs of the first priority first, older jobs before younger ones. */
final class PlacementPass {

    private static final Comparator<LiveJob> ORDER = Comparator.<LiveJob>comparingInt(
                    j -> j.spec.policy().priority())
            .thenComparingLong(j -> j.spec.acceptedMillis())
            .thenComparing(j -> j.spec.key().toString());

    private final ServiceState state;

    PlacementPass(ServiceState state) {
        this.state = state;
    }

    void run() {
        List<LiveWorker> usable =
                state.workers.values().stream().filter(state::isUsable).toList();
        if (usable.isEmpty()) {
            return;
        }
        state.jobs.values().stream()
                .filter(j -> !j.state.ended() && state.hasOwnName(j))
                .sorted(ORDER)
                .forEach(j -> place(j, usable));
    }

    private void place(LiveJob job, List<LiveWorker> usable) {
        long now = state.now();
        long wall = state.wallNow();
        for (LiveTask t : job.tasks) {
            if (t.phase != Phase.WAITING || now < t.orderDueAt || !job.stepReady(t.id, wall)) {
                continue;
            }
            if (t.step.gang()) {
                placeGang(job, t, usable);
            } else {
                Placer.choose(usable, t.wish(state.now())).ifPresent(w -> assign(t, w, t.run + 1));
            }
        }
    }

    private void placeGang(LiveJob job, LiveTask first, List<LiveWorker> usable) {
        List<LiveTask> members = job.members(first.id);
        if (members.stream().anyMatch(m -> m.phase != Phase.WAITING)) {
            return;
        }
        int run = members.stream().mapToInt(m -> m.run).max().orElse(0) + 1;
        List<LiveTask> assigned = new ArrayList<>();
        for (LiveTask m : members) {
            Optional<LiveWorker> w = Placer.choose(usable, m.wish(state.now()));
            if (w.isEmpty()) {
                assigned.forEach(this::takeBack);
                return;
            }
            reserve(m, w.get(), m.run);
            assigned.add(m);
        }
        String checkpoint = newestCheckpoint(members);
        for (LiveTask m : members) {
            m.checkpoint = checkpoint;
            m.run = run;
            recordPlacement(m);
        }
    }

    private static String newestCheckpoint(List<LiveTask> members) {
        return members.stream()
                .filter(m -> !m.checkpoint.isEmpty())
                .max(Comparator.comparingInt(m -> m.run))
                .map(m -> m.checkpoint)
                .orElse("");
    }

    private void takeBack(LiveTask t) {
        t.leaveWorker(Phase.WAITING, state.now());
    }

    private void assign(LiveTask t, LiveWorker w, int run) {
        reserve(t, w, run);
        recordPlacement(t);
    }

    private void reserve(LiveTask t, LiveWorker w, int run) {
        t.run = run;
        t.worker = w;
        t.enter(Phase.PLACED, state.now());
        w.add(t);
    }

    private void recordPlacement(LiveTask t) {
        LiveJob job = t.job;
        if (job.state == JobState.QUEUED) {
            job.state = JobState.RUNNING;
        }
        job.version++;
        t.placedVersion = job.version;
        state.note(SchedulerEvent.Kind.TASK_PLACED, t, "attempts=" + t.failures);
    }
}
