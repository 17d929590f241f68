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
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.lupinpaddle.core.job.JobKey;
import org.lupinpaddle.core.run.LiveTask.Phase;

/**
 * Detects stalled tasks and slow workers by the reported progress, and moves the affected tasks. Both seem healthy
 * otherwise: they answer, and their health checks succeed.
 */
final class StragglerPass {

    // Progress is reported at least once a second, so this means two answers without any. Time alone does not prove a
    // stall: a worker unreachable for 2.2 to 2.7 s does not count as silent yet, its tasks may be progressing, and
    // stops would reach it when it is back.
    private static final long STALL_MILLIS = 2_200;
    private static final int STALL_ANSWERS = 2;
    // One percent of a long task may take this fraction of its expected time, since estimates are wrong by a factor of
    // several.
    private static final int STALL_SHARE = 10;
    // A long-running task is ready within its startup time, whose estimate is wrong by a factor of several.
    private static final long WARM_UP_MILLIS = 4_000;
    private static final int WARM_UP_FACTOR = 4;

    // The slowdown of a cold worker is unknown. With this factor one percent may take half of the expected time: only a
    // run that takes 50 times its estimate could be mistaken for a stalled one, and a stall of a task of up to 4 s is
    // found as soon as on a warm worker.
    private static final int COLD_STALL_FACTOR = 5;

    // Tasks of one step differ by about a third: three times the mean of its siblings is caused by the worker.
    private static final double SLOW_VERSUS_SIBLINGS = 3;
    // Estimates, including learned ones, are wrong by a factor of several, equally for all tasks of a job.
    private static final double SLOW_VERSUS_ESTIMATE = 6;
    private static final double HEALTHY_FACTOR = 1.5;
    // Sufficient evidence is one task that is slow compared with its siblings, or two tasks of different jobs that are
    // slow compared with their estimates.
    private static final int EVIDENCE_OF_SIBLINGS = 2;
    private static final int EVIDENCE_AGAINST_WORKER = 2;
    private static final long MIN_OBSERVED_MILLIS = 600;
    // The remaining time must exceed that of a new run elsewhere by this factor before work is discarded.
    private static final double MIN_MOVE_GAIN = 1.5;
    private static final long MOVE_COST_MILLIS = 300;
    private static final int COMPLETE_PERCENT = 100;

    private final ServiceState state;
    private final FaultyWorkerDetector faultyWorkers;

    StragglerPass(ServiceState state, FaultyWorkerDetector faultyWorkers) {
        this.state = state;
        this.faultyWorkers = faultyWorkers;
    }

    void run() {
        long now = state.now();
        for (LiveWorker w : state.workers.values()) {
            if (now - w.lastAnswerAt <= state.timing.silentMillis() && !w.tasks.isEmpty()) {
                if (now >= w.nextStallCheckAt) {
                    stopStalled(w, now);
                }
                moveOffSlowWorker(w);
            }
        }
    }

    private void stopStalled(LiveWorker w, long now) {
        // A task that starts from now on cannot be stalled before this time.
        long nextCheck = now + STALL_MILLIS;
        for (LiveTask t : w.tasks) {
            if (t.phase != Phase.RUNNING || t.step.gang()) {
                continue;
            }
            nextCheck = Math.min(nextCheck, earliestStall(t));
            if (isStalled(t, now) && state.canMoveElsewhere(t)) {
                t.avoid(w, now);
                faultyWorkers.onStalled(w, t);
                state.stop(t, "stands-still percent=" + t.percent + " since-millis=" + (now - t.lastProgressAt));
            }
        }
        w.nextStallCheckAt = nextCheck;
    }

    /**
     * Returns the time before which the task cannot count as stalled, whatever its expected time, unless an answer
     * shows more.
     */
    private static long earliestStall(LiveTask t) {
        if (t.step.longRunning()) {
            return t.percent >= COMPLETE_PERCENT ? Long.MAX_VALUE : t.startedAt + WARM_UP_MILLIS;
        }
        return t.lastProgressAt + STALL_MILLIS;
    }

    private boolean isStalled(LiveTask t, long now) {
        // Cheap checks first: the expected time is looked up only for the few tasks without recent progress.
        if (t.step.longRunning()) {
            boolean atWork = t.percent >= COMPLETE_PERCENT;
            long elapsed = now - t.startedAt;
            return !atWork && elapsed > WARM_UP_MILLIS && elapsed > WARM_UP_FACTOR * toleratedMillis(t);
        }
        long elapsed = now - t.lastProgressAt;
        return elapsed > STALL_MILLIS
                && t.answersWithoutProgress >= STALL_ANSWERS
                && elapsed > toleratedMillis(t) / STALL_SHARE;
    }

    /** Returns the expected run time of the task, longer on a cold worker. */
    private long toleratedMillis(LiveTask t) {
        return state.expectedMillis(t.liveStep) * (t.ranCold ? COLD_STALL_FACTOR : 1);
    }

    private void moveOffSlowWorker(LiveWorker w) {
        List<LiveTask> slow = new ArrayList<>();
        Set<JobKey> slowJobs = new HashSet<>();
        int evidence = 0;
        for (LiveTask t : w.tasks) {
            double factor = slowness(w, t);
            if (factor > slowFactor(t.liveStep)) {
                slow.add(t);
                boolean hasSiblings = t.liveStep.meanRunMillis() > 0;
                boolean newJob = slowJobs.add(t.job.spec.key());
                evidence += hasSiblings ? EVIDENCE_OF_SIBLINGS : newJob ? 1 : 0;
            } else if (factor > 0 && factor < HEALTHY_FACTOR) {
                return;
            }
        }
        if (evidence < EVIDENCE_AGAINST_WORKER) {
            return;
        }
        faultyWorkers.onSlow(w, slow.size());
        for (LiveTask t : slow) {
            long remaining = t.projectedRemainingMillis(w);
            // How long the task would take on a cold worker is unknown.
            if (remaining > MIN_MOVE_GAIN * state.expectedMillis(t.liveStep) + MOVE_COST_MILLIS
                    && state.canMoveToWarmWorker(t)) {
                t.avoid(w, state.now());
                state.stop(t, "slow-worker percent=" + t.percent + " left-millis=" + remaining);
            }
        }
    }

    /** Returns the ratio of actual to expected run time above which a worker counts as slow. */
    static double slowFactor(LiveStep s) {
        return s.meanRunMillis() > 0 ? SLOW_VERSUS_SIBLINGS : SLOW_VERSUS_ESTIMATE;
    }

    /** Returns the ratio of the projected to the expected run time; 0 if it cannot be determined yet. */
    private double slowness(LiveWorker w, LiveTask t) {
        boolean comparable = t.phase == Phase.RUNNING
                && t.startedFromScratch
                && !t.ranCold
                && !t.step.longRunning()
                && !t.step.gang();
        long observed = w.lastAnswerAt - t.startedAt;
        if (!comparable || observed < MIN_OBSERVED_MILLIS) {
            return 0;
        }
        return (double) observed * COMPLETE_PERCENT / Math.max(1, t.percent) / state.expectedMillis(t.liveStep);
    }
}
