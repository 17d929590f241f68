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

import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.Set;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.job.StepSpec;

/** Members of a gang run together or not at all, even if one of them cannot be started where it was placed. */
class GangPlacementTest {

    private final SchedulerDriver d = new SchedulerDriver();

    @Test
    void otherMembersAreNotStartedAlone() {
        d.listAndAnswer(SchedulerDriver.workerOnRack("w1", "r1"), SchedulerDriver.workerOnRack("w2", "r2"));
        StepSpec gang = StepSpec.builder(2, new StepSpec.Need(4_000, 100, 0))
                .gang(true, false)
                .build();
        d.submit("a", gang);
        d.advance(50);
        d.scheduler.onEvacuations(Set.of("w1"), Set.of());
        d.advance(10);
        for (int i = 0; i < 5; i++) {
            d.completeSaves();
            d.advance(50);
        }
        assertNotEquals(1, d.port.starts.size(), "the other member has no worker, so this one would run alone");
    }
}
