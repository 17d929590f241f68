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
 * Finds workers that fail what they run. Failures of different jobs, or of different tasks of a job that does
 * well elsewhere, with no success between them, speak against the worker; a job that fails everywhere speaks
 * against itself.
 */
final class WorkerJudge {

    // Three in a row: at one run in a hundred that fails by itself, chance makes one in 10^6.
    private static final int EVIDENCE_AGAINST_WORKER = 3;
    private static final long AVOID_MILLIS = 4_000;
    // Slowness passes; one task shows whether it has.
    private static final long SLOW_MILLIS = 1_500;

    private final ServiceState state;

    WorkerJudge(ServiceState state) {
        this.state = state;
    }

    void onEnd(LiveWorker w, LiveTask t, EndKind kind) {
        if (kind.finishes()) {
            w.endedWell(state.now());
            if (wasSlow(t)) {
                return;
            }
            w.evidence.clear();
            w.onProbation = false;
            w.avoidUntil = Math.min(w.avoidUntil, state.now());
            return;
        }
        if (!kind.countsAsAttempt()) {
            return;
        }
        t.failedWhereOthersEndWell |= w.lastRunSucceeded();
        w.failed();
        boolean wellElsewhere = t.job.tasks.stream().anyMatch(o -> o.phase == LiveTask.Phase.DONE);
        w.evidence.add(t.job.spec.key() + (wellElsewhere ? "." + t.id : ""));
        avoidIfProven(w);
    }

    /** A run that ended well, but slowly, says nothing for its worker. */
    private boolean wasSlow(LiveTask t) {
        long took = state.now() - t.begunAt;
        return t.begunAfresh && took > StragglerPass.slowFactor(t.of) * state.expectedMillis(t.of);
    }

    /** Takes in that a task makes no progress there: as telling as a failed run. */
    void onStandingStill(LiveWorker w, LiveTask t) {
        w.evidence.add(t.job.spec.key() + ".standing");
        avoidIfProven(w);
    }

    private void avoidIfProven(LiveWorker w) {
        if (w.evidence.size() >= EVIDENCE_AGAINST_WORKER) {
            avoid(w, AVOID_MILLIS, "evidence=" + w.evidence.size());
        }
    }

    /** Takes in that all that can be told of a worker's runs is slow. */
    void onSlow(LiveWorker w, int tasks) {
        if (w.avoidUntil <= state.now()) {
            avoid(w, SLOW_MILLIS, "slow-tasks=" + tasks);
        }
    }

    private void avoid(LiveWorker w, long millis, String why) {
        if (!othersAreAvoided()) {
            w.avoidUntil = state.now() + millis;
            w.onProbation = true;
            state.note(SchedulerEvent.Kind.WORKER_AVOIDED, w, why);
        }
    }

    private boolean othersAreAvoided() {
        long avoided = state.workers.values().stream()
                .filter(o -> o.avoidUntil > state.now())
                .count();
        return avoided * 2 >= state.workers.size();
    }
}
