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
 * The predicted course of a wave.
 *
 * @param steps the instances in processing order, each with its round and the reason for its position
 * @param blockers the reasons why the wave can never finish; empty if it can
 * @param rounds the number of rounds of drain and reboot
 * @param expectedMillis the expected duration of the roll-out
 * @param moves the number of instances that are drained
 * @param maxConcurrent the largest number of instances out at the same time
 * @param reserve the number of instances held back by the services' reserves during the wave
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
     * The planned step of one instance.
     *
     * @param target the instance and its destination
     * @param round the round in which it is out, starting at 1
     * @param reason why it is out in this round
     */
    public record Step(WaveTarget target, int round, String reason) {}

    /** Returns whether the wave can finish. */
    public boolean canFinish() {
        return blockers.isEmpty();
    }
}
