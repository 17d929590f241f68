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

/**
 * What a worker last said of itself to the driver of a wave.
 *
 * @param incarnation counts its starts
 * @param reachable whether the last probe was answered
 * @param leaving whether it refuses new work
 * @param running how many requests it runs
 * @param probedAt when the probe was sent, in milliseconds of the driver's clock
 */
public record WorkerStatus(long incarnation, boolean reachable, boolean leaving, int running, long probedAt) {

    /** A worker that was never seen. */
    public static final WorkerStatus NONE = new WorkerStatus(0, false, false, 0, Long.MIN_VALUE);

    /** Returns whether the worker is idle and will stay so, as seen after {@code minProbeMillis}. */
    public boolean isDrainedSince(long minProbeMillis) {
        return reachable && leaving && running == 0 && probedAt > minProbeMillis;
    }
}
