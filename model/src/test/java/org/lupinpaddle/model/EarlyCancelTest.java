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
package org.lupinpaddle.model;

import static org.lupinpaddle.model.RuleAssertions.assertRulesHold;

import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Histories in which callers cancel jobs whose submission is under way. */
class EarlyCancelTest {

    private static void assertRulesHoldWithEarlyCancellations(long seed, int faults) {
        assertRulesHold(seed, faults, new World(seed, faults).withEarlyCancellations(seed));
    }

    /** Guards against a job that runs because the store carries out its submission after the cancellation. */
    @Test
    void keepJobsFromRunningThatAreStillBeingStored() {
        LongStream.of(5200143, 5200116, 5200539, 5200706)
                .forEach(seed -> assertRulesHoldWithEarlyCancellations(seed, 6));
        LongStream.of(5200139, 5200906, 5200288, 5200005)
                .forEach(seed -> assertRulesHoldWithEarlyCancellations(seed, 10));
    }

    @Test
    void satisfyRulesUnderOtherFaults() {
        LongStream.range(0, 60).parallel().forEach(seed -> assertRulesHoldWithEarlyCancellations(seed, 6));
    }
}
