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
 * Notices tasks that stand still and workers that are slow, by the progress that workers tell, and lets what they run
 * go on elsewhere. Both look well otherwise: they answer, and their health is good.
 */
final class StragglerPass {

    // Progress is told at least once a second: two answers without any. Time alone does not tell it: a worker out of
    // reach for 2.2 to 2.7 s is not missed yet, its tasks may well move, and stops reach it when it is back.
    private static final long STILL_MILLIS = 2_200;
    private static final int STILL_ANSWERS = 2;
    // A long task may take this share of its time for one percent, by an estimate that is off several-fold.
    private static final int STILL_SHARE = 10;
    // A lasting task is at work within its start's time; estimates of that are off several-fold.
    private static final long WARM_UP_MILLIS = 4_000;
    private static final int WARM_UP_FACTOR = 4;

    // Tasks of one step differ by a third or so: three times as long as its siblings is the worker's doing.
    private static final double SLOW_BY_SIBLINGS = 3;
    // Estimates, also learned ones, are off several-fold, for all tasks of a job alike.
    private static final double SLOW_BY_ESTIMATE = 6;
    private static final double SOUND_FACTOR = 1.5;
    // What one task that is slow by its siblings tells, or two of different jobs that are slow by estimate.
    private static final int EVIDENCE_OF_SIBLINGS = 2;
    private static final int EVIDENCE_AGAINST_WORKER = 2;
    private static final long LEAST_SEEN_MILLIS = 600;
    // So much longer than a new run elsewhere must the rest take, before work is thrown away.
    private static final double WORTH_MOVING = 1.5;
    private static final long MOVING_MILLIS = 300;
    private static final int ALL_PERCENT = 100;

    private final ServiceState state;
    private final WorkerJudge judge;

    StragglerPass(ServiceState state, WorkerJudge judge) {
        this.state = state;
        this.judge = judge;
    }

    void run() {
        long now = state.now();
        for (LiveWorker w : state.workers.values()) {
            if (now - w.lastAnswerAt <= state.timing.silentMillis() && !w.tasks.isEmpty()) {
                if (now >= w.stalledSince) {
                    stopStanding(w, now);
                }
                leaveSlow(w);
            }
        }
    }

    private void stopStanding(LiveWorker w, long now) {
        // What begins from now on can not stand still for longer than this.
        long from = now + STILL_MILLIS;
        for (LiveTask t : w.tasks) {
            if (t.phase != Phase.RUNNING || t.step.gang()) {
                continue;
            }
            from = Math.min(from, stalledSince(t));
            if (standsStill(t, now) && state.hasPlaceElsewhere(t)) {
                t.avoid(w, now);
                judge.onStandingStill(w, t);
                state.stop(t, "stands-still percent=" + t.percent + " since-millis=" + (now - t.movedAt));
            }
        }
        w.stalledSince = from;
    }

    /** Returns before when the task can not count as standing still, whatever is expected, if no answer tells more. */
    private static long stalledSince(LiveTask t) {
        if (t.step.longRunning()) {
            return t.percent >= ALL_PERCENT ? Long.MAX_VALUE : t.begunAt + WARM_UP_MILLIS;
        }
        return t.movedAt + STILL_MILLIS;
    }

    private boolean standsStill(LiveTask t, long now) {
        // What is expected is looked up for few: nearly all moved a moment ago.
        if (t.step.longRunning()) {
            boolean atWork = t.percent >= ALL_PERCENT;
            long since = now - t.begunAt;
            return !atWork && since > WARM_UP_MILLIS && since > WARM_UP_FACTOR * state.expectedMillis(t.of);
        }
        long since = now - t.movedAt;
        return since > STILL_MILLIS
                && t.unmovedAnswers >= STILL_ANSWERS
                && since > state.expectedMillis(t.of) / STILL_SHARE;
    }

    private void leaveSlow(LiveWorker w) {
        List<LiveTask> slow = new ArrayList<>();
        Set<JobKey> slowJobs = new HashSet<>();
        int evidence = 0;
        for (LiveTask t : w.tasks) {
            double factor = slowness(w, t);
            if (factor > slowFactor(t.of)) {
                slow.add(t);
                boolean siblings = t.of.siblingsMillis() > 0;
                boolean newJob = slowJobs.add(t.job.spec.key());
                evidence += siblings ? EVIDENCE_OF_SIBLINGS : newJob ? 1 : 0;
            } else if (factor > 0 && factor < SOUND_FACTOR) {
                return;
            }
        }
        if (evidence < EVIDENCE_AGAINST_WORKER) {
            return;
        }
        judge.onSlow(w, slow.size());
        for (LiveTask t : slow) {
            if (leftMillis(w, t) > WORTH_MOVING * state.expectedMillis(t.of) + MOVING_MILLIS
                    && state.hasPlaceElsewhere(t)) {
                t.avoid(w, state.now());
                state.stop(t, "slow-worker percent=" + t.percent + " left-millis=" + leftMillis(w, t));
            }
        }
    }

    /** Returns how many times longer than expected a run of the step must take for its worker to be called slow. */
    static double slowFactor(LiveStep s) {
        return s.siblingsMillis() > 0 ? SLOW_BY_SIBLINGS : SLOW_BY_ESTIMATE;
    }

    /** Returns how many times longer than expected a run takes at its pace so far; 0 when that can not be told yet. */
    private double slowness(LiveWorker w, LiveTask t) {
        boolean telling = t.phase == Phase.RUNNING && t.begunAfresh && !t.step.longRunning() && !t.step.gang();
        long seen = w.lastAnswerAt - t.begunAt;
        if (!telling || seen < LEAST_SEEN_MILLIS) {
            return 0;
        }
        return (double) seen * ALL_PERCENT / Math.max(1, t.percent) / state.expectedMillis(t.of);
    }

    private static long leftMillis(LiveWorker w, LiveTask t) {
        long seen = w.lastAnswerAt - t.begunAt;
        return seen * (ALL_PERCENT - t.percent) / Math.max(1, t.percent);
    }
}
