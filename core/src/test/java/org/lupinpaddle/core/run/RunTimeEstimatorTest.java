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

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RunTimeEstimatorTest {

    private final RunTimeEstimator times = new RunTimeEstimator();

    private void recordRuns(int runs, long millis) {
        for (int i = 0; i < runs; i++) {
            times.recordRunTime("q", millis);
        }
    }

    @Nested
    class TheExpectedRunTime {

        @Test
        void isTheCallersEstimateWithFewRuns() {
            recordRuns(4, 1_000);
            assertEquals(4_000, times.expectedMillis("q", 4_000));
        }

        @Test
        void liesBetweenTheEstimateAndTheMean() {
            recordRuns(5, 1_000);
            assertEquals(2_000, times.expectedMillis("q", 4_000));
        }

        @Test
        void isTheMeanWithoutAnEstimate() {
            recordRuns(50, 700);
            assertEquals(700, times.expectedMillis("q", 0));
        }

        @Test
        void ofAnotherQueueIsNotAffected() {
            recordRuns(50, 700);
            assertEquals(1_000, times.expectedMillis("other", 0));
        }
    }
}
