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

import java.util.OptionalLong;
import java.util.Set;

/**
 * The runtime status of the fleet, which a wave's driver needs in addition to the configuration. Times are those
 * of the driver's clock.
 */
public interface FleetStatus {

    /** Returns the last known status of the worker on an instance. */
    WorkerStatus statusOf(String instance);

    /**
     * Returns the instances that should be in service and have been failing for long enough to be considered
     * failed.
     */
    Set<String> failed();

    /** Returns the instances that have not returned from their reboot in time. */
    Set<String> overdue();

    /** Returns when the last entry confirmed a revision of the configuration, or empty while some have not. */
    OptionalLong confirmedAt(long revision);

    /** Returns when the platform accepted an undrain of the instance with this fence, or empty if it has not. */
    OptionalLong undrainedAt(String instance, long fence);
}
