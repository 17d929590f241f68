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
package org.lupinpaddle.core.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.placement.Resources;

class ArrivalRateTest {

    private final ArrivalRate rate = new ArrivalRate();

    /** Accepts jobs of five one-core tasks of one second each, at a fixed interval. */
    private void acceptJobs(long from, int count, long intervalMillis) {
        for (int i = 0; i < count; i++) {
            ArrivalRate.Work w = new ArrivalRate.Work();
            w.add(new Resources(1_000, 100, 0), 5, 1_000);
            rate.onJobAccepted("q", from + i * intervalMillis, w);
        }
    }

    @Nested
    class SteadyLoad {

        @Test
        void requiresTheMeanResourcesOfItsJobs() {
            acceptJobs(0, 60, 100);
            assertEquals(50_000, rate.averageResources(5_900).cpuMillis(), 10_000);
        }
    }

    @Nested
    class Burst {

        @Test
        void isDetectedWithinASecond() {
            acceptJobs(0, 10, 50);
            assertTrue(
                    rate.averageResources(500).cpuMillis() > 50_000,
                    rate.averageResources(500).toString());
        }

        @Test
        void isForgottenWithinSecondsOfItsEnd() {
            acceptJobs(0, 60, 50);
            assertEquals(0, rate.averageResources(6_100).cpuMillis());
        }
    }

    @Nested
    class SingleJobs {

        @Test
        void areNotTreatedAsABurst() {
            acceptJobs(0, 2, 10);
            assertTrue(
                    rate.averageResources(20).cpuMillis() < 5_000,
                    rate.averageResources(20).toString());
        }
    }

    @Nested
    class NoJobs {

        @Test
        void requireNoResources() {
            assertEquals(Resources.NONE, rate.averageResources(1_000));
        }
    }
}
