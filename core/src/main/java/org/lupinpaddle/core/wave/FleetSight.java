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

import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.LongFunction;

/**
 * What the driver of a wave sees of the fleet beside the configuration.
 *
 * @param workers what each worker last said, by instance
 * @param failed instances that should serve and do not, for long enough to count on it
 * @param overdue instances that have not come back from their reboot in time
 * @param confirmedAt when all entries had confirmed a revision of the configuration, if they have
 */
public record FleetSight(
        Map<String, Sight> workers, Set<String> failed, Set<String> overdue, LongFunction<OptionalLong> confirmedAt) {

    /** Returns what a worker last said. */
    public Sight of(String instance) {
        return workers.getOrDefault(instance, Sight.NONE);
    }
}
