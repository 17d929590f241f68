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

import java.util.List;
import org.lupinpaddle.core.run.LiveTask.Phase;

/**
 * Empties workers that are to leave. Lasting tasks move to other workers, no more of a step at one time than
 * its caller allows to be away; finite ones end where they are, as long as the worker stays.
 */
final class Evacuator {

    private static final int AT_WORK_PERCENT = 100;
    // A call to a worker takes some milliseconds; when it is slow, tasks had better stay.
    private static final long ANSWER_SLACK_MILLIS = 500;
    // Below this a draining worker's finite tasks that can go on elsewhere are stopped, to save their work.
    private static final long SAVE_WORK_MILLIS = 700;

    // What ends by itself about as soon as a stop would end it is left to.
    private static final long SOON_MILLIS = 300;

    private final ServiceState state;

    Evacuator(ServiceState state) {
        this.state = state;
    }

    void run() {
        for (LiveWorker w : List.copyOf(state.workers.values())) {
            boolean wanted = state.evacuating.contains(w.facts().id());
            if (wanted && mayGo(w)) {
                state.port.emptied(w.facts().id());
            } else if (wanted || w.facts().draining()) {
                empty(w);
            }
        }
    }

    /**
     * Returns whether the worker's instance may be taken away. What is left may be late work where other work waits for
     * the instance: a stop takes up to a second, and saves nothing that still counts. While no record tells of an end,
     * the worker alone can tell the next owner that the task is done.
     */
    private boolean mayGo(LiveWorker w) {
        if (w.hasPendingEnds()) {
            return false;
        }
        boolean urgent = state.urgentlyEvacuating.contains(w.facts().id());
        return w.tasks.isEmpty() || (urgent && w.tasks.stream().allMatch(t -> t.phase == Phase.RUNNING && isLate(t)));
    }

    private boolean isLate(LiveTask t) {
        int time = t.id.time();
        return !t.step.longRunning()
                && StepUrgency.Tier.of(t.job, time, state.wallNow() + t.job.leftMillis(time))
                        != StepUrgency.Tier.ON_TIME;
    }

    private void empty(LiveWorker w) {
        for (LiveTask t : List.copyOf(w.tasks)) {
            if (t.phase == Phase.PLACED && w.facts().draining()) {
                // Its choice waited for the store, and the worker has said meanwhile that it leaves.
                state.stop(t, "worker-drains");
            }
            if (t.phase != Phase.RUNNING) {
                continue;
            }
            if (t.step.longRunning()) {
                moveLasting(w, t);
            } else if (state.urgentlyEvacuating.contains(w.facts().id()) && givesWay(t)) {
                state.stop(t, "gives-way percent=" + t.percent);
            } else if (w.facts().draining()
                    && t.step.checkpointing()
                    && w.remainingMillis(state.now()) < SAVE_WORK_MILLIS) {
                state.stop(t, "worker-ends-soon");
            }
        }
    }

    /** Returns whether a task goes on elsewhere so that its instance can go to work that waits. */
    private boolean givesWay(LiveTask t) {
        return t.step.checkpointing()
                && !t.step.gang()
                && !isLate(t)
                && t.leftMillis(state.expectedMillis(t.of)) > state.timing.stopMillis() + SOON_MILLIS;
    }

    private void moveLasting(LiveWorker w, LiveTask t) {
        boolean allowed = w.facts().draining() || othersAway(t) < Math.max(1, t.step.mayMiss());
        if (allowed && state.hasPlaceElsewhere(t)) {
            state.stop(t, w.facts().draining() ? "worker-drains" : "worker-is-emptied");
        }
    }

    private long othersAway(LiveTask t) {
        return t.of.tasks.stream().filter(m -> m != t && !isAtWork(m)).count();
    }

    /**
     * A worker that has not answered for a while may be gone with all that it ran; and what an earlier owner has stopped
     * looks as if it were at work until it ends.
     */
    private boolean isAtWork(LiveTask t) {
        LiveWorker w = t.worker;
        return t.phase == Phase.RUNNING
                && t.percent >= AT_WORK_PERCENT
                && w != null
                && !(t.inherited && w.mayObeyEarlierOwner(state.now(), state.timing.stopMillis()))
                && state.now() - w.lastAnswerAt <= state.timing.busyWaitMillis() + ANSWER_SLACK_MILLIS;
    }
}
