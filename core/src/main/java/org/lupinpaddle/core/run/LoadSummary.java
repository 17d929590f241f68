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

import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.job.JobKey;
import org.lupinpaddle.core.job.TaskId;

/**
 * A snapshot of a service's load and capacity, for the log.
 *
 * @param waiting tasks that are ready to start and have no worker
 * @param hopeless those of them whose job can no longer end within three times its objective
 * @param running tasks on workers
 * @param workers workers that can take new tasks
 * @param silent listed workers whose last answer is overdue
 * @param cold listed workers that are cold
 * @param needed the number of workers that the service requests
 * @param cordon the load due to cordons; null while no hall is cordoned
 * @param waits the tasks whose turn has come and that have no confirmed run
 */
public record LoadSummary(
        int waiting,
        int hopeless,
        int running,
        int workers,
        int silent,
        int cold,
        int needed,
        @Nullable CordonLoad cordon,
        Waits waits) {

    /**
     * The load due to cordoned halls.
     *
     * @param running tasks on workers of cordoned halls
     * @param waiting tasks that would fit on such a worker and on no other
     */
    public record CordonLoad(int running, int waiting) {}

    /**
     * The tasks whose turn has come and that have no confirmed run.
     *
     * @param longRunning how many of them are long-running
     * @param longestLongRunning the longest wait of a long-running task; null if there is none
     * @param longestOther the longest wait of another task; null if there is none
     */
    public record Waits(
            int longRunning,
            @Nullable Wait longestLongRunning,
            @Nullable Wait longestOther) {

        /** No task waits. */
        public static final Waits NONE = new Waits(0, null, null);

        /** Returns for how long the long-running task with the longest wait has had no run; 0 if there is none. */
        public long longestLongRunningMillis() {
            return longestLongRunning == null ? 0 : longestLongRunning.millis();
        }
    }

    /**
     * The wait of one task.
     *
     * @param millis since when it has had no confirmed run, in milliseconds ago
     */
    public record Wait(JobKey job, TaskId task, WaitReason reason, long millis) {}

    static LoadSummary of(ServiceState state, int needed, @Nullable CordonLoad cordon, Waits waits) {
        long wallMillis = state.wallNow();
        int waiting = 0;
        int hopeless = 0;
        for (LiveJob job : state.activeJobs.values()) {
            for (LiveStep s : job.steps().filter(s -> s.isReady(wallMillis)).toList()) {
                int n = s.waiting();
                waiting += n;
                hopeless += StepUrgency.of(s, wallMillis).tier() == StepUrgency.Tier.PAST ? n : 0;
            }
        }
        int running =
                state.workers.values().stream().mapToInt(w -> w.tasks.size()).sum();
        int usable =
                (int) state.workers.values().stream().filter(state::isUsable).count();
        int silent = (int) state.workers.values().stream()
                .filter(w -> w.listed && state.now() - w.lastAnswerAt > state.timing.silentMillis())
                .count();
        int cold = (int) state.workers.values().stream()
                .filter(w -> w.listed && w.isCold())
                .count();
        return new LoadSummary(waiting, hopeless, running, usable, silent, cold, needed, cordon, waits);
    }
}
