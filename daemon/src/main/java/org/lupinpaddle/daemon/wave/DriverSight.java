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
 * The fleet as one driver sees it at one look.
 *
 * @param probe what workers last said
 * @param confirmed when all entries had confirmed which revision
 * @param undrained when the platform accepted which undrain
 * @param returnMillis how long a reboot may take
 */
record DriverSight(WorkerProbe probe, ConfirmedRevisions confirmed, Map<Undrain, Long> undrained, long returnMillis)
        implements FleetStatus {

    /** An undrain under a fence. */
    record Undrain(String instance, long fence) {}

    @Override
    public WorkerStatus statusOf(String instance) {
        return probe.of(instance);
    }

    @Override
    public Set<String> failed() {
        return probe.failed();
    }

    @Override
    public Set<String> overdue() {
        return probe.overdue(returnMillis);
    }

    @Override
    public OptionalLong confirmedAt(long revision) {
        return confirmed.at(revision);
    }

    @Override
    public OptionalLong undrainedAt(String instance, long fence) {
        Long at = undrained.get(new Undrain(instance, fence));
        return at == null ? OptionalLong.empty() : OptionalLong.of(at);
    }
}
