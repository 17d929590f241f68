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

import java.util.List;
import org.lupinpaddle.core.run.LiveTask.Phase;

/**
 * Withdraws placements whose starts have not been sent when a quota is lowered below them. Running tasks are left to
 * finish.
 */
final class QuotaPass {

    private final ServiceState state;

    QuotaPass(ServiceState state) {
        this.state = state;
    }

    void run() {
        if (!state.quotas.hasLimits()) {
            return;
        }
        for (LiveWorker w : state.workers.values()) {
            if (w.tasks.stream().anyMatch(QuotaPass::exceedsQuota)) {
                withdrawPlacements(w);
            }
        }
    }

    private static boolean exceedsQuota(LiveTask t) {
        return t.phase == Phase.PLACED && t.job.quota.isExceededBy(t.liveStep.need);
    }

    private void withdrawPlacements(LiveWorker w) {
        for (LiveTask t : List.copyOf(w.tasks)) {
            // Each withdrawal may leave enough quota for the rest.
            if (exceedsQuota(t)) {
                state.stopWithGang(t, "quota-was-lowered");
            }
        }
    }
}
