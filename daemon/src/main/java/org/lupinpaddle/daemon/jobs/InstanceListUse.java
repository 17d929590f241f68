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
package org.lupinpaddle.daemon.jobs;

import org.lupinpaddle.core.fleet.InstanceList;

/** Whether a list of instances tells which workers are lost. */
enum InstanceListUse {
    /** It names all workers. */
    USED,
    /** The platform did not serve the call. */
    FAILED,
    /** It has no instances, which no platform has. */
    EMPTY,
    /** Rows could not be read, whose workers would be taken for lost. */
    UNREADABLE_ROWS;

    /** Returns how a list that has been read is used. */
    static InstanceListUse of(InstanceList all) {
        if (all.instances().isEmpty()) {
            return EMPTY;
        }
        return all.namesAllWorkers() ? USED : UNREADABLE_ROWS;
    }
}
