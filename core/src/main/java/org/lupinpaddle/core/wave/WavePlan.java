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
package org.lupinpaddle.core.wave;

import java.util.List;

/**
 * What a wave would do.
 *
 * @param steps the instances in their order of work, each with its round and the reason for its place
 * @param blockers what keeps the wave from ever finishing; empty where nothing does
 * @param rounds how many rounds of drain and reboot it takes
 * @param expectedMillis the expected roll-out time
 * @param moves how many instances are drained
 * @param maxConcurrent the most instances out at once
 * @param reserve instances that the services' reserves hold back meanwhile
 */
public record WavePlan(
        List<Step> steps,
        List<String> blockers,
        int rounds,
        long expectedMillis,
        int moves,
        int maxConcurrent,
        int reserve) {

    /**
     * One instance of the plan.
     *
     * @param target the instance and where it goes
     * @param round the round in which it is out, from 1
     * @param reason why then
     */
    public record Step(WaveTarget target, int round, String reason) {}

    /** Returns whether the wave can finish. */
    public boolean canFinish() {
        return blockers.isEmpty();
    }
}
