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

/** What the driver of a wave sees of the fleet beside the configuration. Times are of the driver's clock. */
public interface FleetStatus {

    /** Returns what a worker last said of itself. */
    WorkerStatus statusOf(String instance);

    /** Returns the instances that should serve and do not, for long enough to count on it. */
    Set<String> failed();

    /** Returns the instances that have not come back from their reboot in time. */
    Set<String> overdue();

    /** Returns when all entries had confirmed a revision of the configuration, if they have. */
    OptionalLong confirmedAt(long revision);

    /** Returns when the platform had accepted to let an instance take work again under this fence, if it has. */
    OptionalLong undrainedAt(String instance, long fence);
}
