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

import org.lupinpaddle.core.job.EndKind;

/**
 * Detects workers that fail their tasks. Failures of different jobs, or of different tasks of a job that succeeds
 * elsewhere, without a success in between, are evidence against the worker; a job that fails everywhere is itself at
 * fault.
 */
final class FaultyWorkerDetector {

    // Three in a row: if one run in a hundred fails by itself, this happens by chance once in 10^6.
    private static final int EVIDENCE_AGAINST_WORKER = 3;
    private static final long AVOID_MILLIS = 4_000;
    // Slowness may be temporary; one task then shows whether it persists.
    private static final long SLOW_MILLIS = 1_500;

    // A success says little about a worker that was given the failed run later than this.
    private static final long HEALTH_EVIDENCE_MILLIS = 2_000;

    private final ServiceState state;

    FaultyWorkerDetector(ServiceState state) {
        this.state = state;
    }

    void onRunEnded(LiveWorker w, LiveTask t, EndKind kind) {
        if (kind.finishes()) {
            w.recordSuccess(t.begunAt(), state.now());
            if (wasSlow(t)) {
                return;
            }
            w.failureEvidence.clear();
            w.onProbation = false;
            w.avoidUntil = Math.min(w.avoidUntil, state.now());
            return;
        }
        if (!kind.countsAsAttempt()) {
            return;
        }
        t.failedOnProvenWorker |= w.isProvenByRunBegunSince(t.begunAt() - HEALTH_EVIDENCE_MILLIS);
        w.recordFailure();
        boolean succeededElsewhere = t.job.hasCompletedTask();
        w.failureEvidence.add(t.job.spec.key() + (succeededElsewhere ? "." + t.id : ""));
        avoidIfFaulty(w);
    }

    /** Returns whether a successful run was slow, in which case it is no evidence in the worker's favour. */
    private boolean wasSlow(LiveTask t) {
        long durationMillis = state.now() - t.startedAt;
        return t.startedFromScratch
                && !t.ranCold
                && durationMillis > StragglerPass.slowFactor(t.liveStep) * state.expectedMillis(t.liveStep);
    }

    /** Counts a stalled task, which is as strong evidence as a failed run. */
    void onStalled(LiveWorker w, LiveTask t) {
        w.failureEvidence.add(t.job.spec.key() + ".standing");
        avoidIfFaulty(w);
    }

    private void avoidIfFaulty(LiveWorker w) {
        if (w.failureEvidence.size() >= EVIDENCE_AGAINST_WORKER) {
            avoid(w, AVOID_MILLIS, "evidence=" + w.failureEvidence.size());
        }
    }

    /** Avoids a worker whose runs are all slow, as far as can be determined. */
    void onSlow(LiveWorker w, int tasks) {
        if (w.avoidUntil <= state.now()) {
            avoid(w, SLOW_MILLIS, "slow-tasks=" + tasks);
        }
    }

    private void avoid(LiveWorker w, long millis, String reason) {
        if (!tooManyAvoided()) {
            w.avoidUntil = state.now() + millis;
            w.onProbation = true;
            state.note(SchedulerEvent.Kind.WORKER_AVOIDED, w, reason);
        }
    }

    private boolean tooManyAvoided() {
        long avoided = state.workers.values().stream()
                .filter(o -> o.avoidUntil > state.now())
                .count();
        return avoided * 2 >= state.workers.size();
    }
}
