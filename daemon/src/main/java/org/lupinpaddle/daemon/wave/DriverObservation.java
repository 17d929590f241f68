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
package org.lupinpaddle.daemon.wave;

import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.lupinpaddle.core.wave.FleetStatus;
import org.lupinpaddle.core.wave.WorkerStatus;

/**
 * The state of the fleet as observed by a driver in one polling step.
 *
 * @param probe the last probe results of the workers
 * @param confirmedRevisions when all entries had confirmed each revision
 * @param undrainTimes when the platform accepted each undrain call
 * @param maxRebootMillis the time after which a reboot is overdue
 */
record DriverObservation(
        WorkerProbe probe, ConfirmedRevisions confirmedRevisions, Map<Undrain, Long> undrainTimes, long maxRebootMillis)
        implements FleetStatus {

    /** An undrain call with its fencing token. */
    record Undrain(String instance, long fence) {}

    @Override
    public WorkerStatus statusOf(String instance) {
        return probe.lastObservation(instance);
    }

    @Override
    public Set<String> failed() {
        return probe.failed();
    }

    @Override
    public Set<String> overdue() {
        return probe.overdue(maxRebootMillis);
    }

    @Override
    public OptionalLong confirmedAt(long revision) {
        return confirmedRevisions.confirmedAt(revision);
    }

    @Override
    public OptionalLong undrainedAt(String instance, long fence) {
        Long at = undrainTimes.get(new Undrain(instance, fence));
        return at == null ? OptionalLong.empty() : OptionalLong.of(at);
    }
}
