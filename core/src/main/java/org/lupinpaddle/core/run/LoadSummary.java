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

/**
 * How much a service has to do and with what, at one moment: for the log.
 *
 * @param waiting tasks that could start now and have no worker
 * @param hopeless those of them whose job can not end within three times its objective any more
 * @param running tasks on workers
 * @param workers workers that new tasks may go to
 * @param silent workers with or without tasks that have not answered when they should have
 * @param needed how many workers the service asks for
 */
public record LoadSummary(int waiting, int hopeless, int running, int workers, int silent, int needed) {

    static LoadSummary of(ServiceState state, int needed) {
        long wall = state.wallNow();
        int waiting = 0;
        int hopeless = 0;
        for (LiveJob job : state.activeJobs.values()) {
            for (LiveStep s : job.steps) {
                if (!s.isReady(wall)) {
                    continue;
                }
                int n = s.waiting();
                waiting += n;
                hopeless += StepUrgency.of(s, wall).tier() == StepUrgency.Tier.PAST ? n : 0;
            }
        }
        int running =
                state.workers.values().stream().mapToInt(w -> w.tasks.size()).sum();
        int usable =
                (int) state.workers.values().stream().filter(state::isUsable).count();
        int silent = (int) state.workers.values().stream()
                .filter(w -> w.listed && state.now() - w.lastAnswerAt > state.timing.silentMillis())
                .count();
        return new LoadSummary(waiting, hopeless, running, usable, silent, needed);
    }
}
