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
 * The last status that a worker reported to a wave's driver.
 *
 * @param incarnation the number of times the worker has started
 * @param reachable whether the last probe was answered
 * @param leaving whether the worker refuses new work
 * @param running the number of running requests
 * @param probedAt when the probe was sent, in milliseconds of the driver's clock
 */
public record WorkerStatus(long incarnation, boolean reachable, boolean leaving, int running, long probedAt) {

    /** The status of a worker that was never probed. */
    public static final WorkerStatus NONE = new WorkerStatus(0, false, false, 0, Long.MIN_VALUE);

    /** Returns whether a probe sent after {@code minProbeMillis} found the worker idle and refusing new work. */
    public boolean isDrainedSince(long minProbeMillis) {
        return reachable && leaving && running == 0 && probedAt > minProbeMillis;
    }
}
