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
package org.lupinpaddle.core.run;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.lupinpaddle.core.run.LiveTask.Phase;

/**
 * Withdraws placements whose starts have not been sent when their worker's room shrinks, since a worker that does not
 * check its room would be overloaded. Running tasks are left to finish; nothing new is placed on the worker until its
 * tasks fit.
 */
final class CapacityPass {

    private final ServiceState state;

    CapacityPass(ServiceState state) {
        this.state = state;
    }

    void run() {
        for (LiveWorker w : state.workers.values()) {
            if (w.exceedsCapacity()) {
                withdrawPlacements(w);
            }
        }
    }

    /** Withdraws the newest placements first, since the others have waited longer for their records. */
    private void withdrawPlacements(LiveWorker w) {
        List<LiveTask> newestFirst = new ArrayList<>(w.tasks);
        Collections.reverse(newestFirst);
        for (LiveTask t : newestFirst) {
            if (!w.exceedsCapacity()) {
                return;
            }
            if (t.phase == Phase.PLACED) {
                state.stopWithGang(t, "worker-has-shrunk");
            }
        }
    }
}
