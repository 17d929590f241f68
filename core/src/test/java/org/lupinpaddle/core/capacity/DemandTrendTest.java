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

class DemandTrendTest {

    private final DemandTrend trend = new DemandTrend();

    /**
     * Adds one demand sample every 100 ms for a second, rising or falling linearly, and returns the last
     * forecast.
     */
    private double forecastOf(double from, double to) {
        double ahead = 0;
        for (int i = 0; i <= 10; i++) {
            ahead = trend.forecast(100L * i, from + (to - from) * i / 10);
        }
        return ahead;
    }

    @Nested
    class Forecast {

        @Test
        void extrapolatesGrowth() {
            assertTrue(forecastOf(4, 8) > 11, "demand grows by 4 per second, and instances take 1.8 s to arrive");
        }

        @Test
        void isBounded() {
            assertEquals(16, forecastOf(0, 10), 0.01);
        }

        @Test
        void isCurrentDemandWhileDemandFalls() {
            assertEquals(4, forecastOf(8, 4), 0.01);
        }

        @Test
        void isCurrentDemandAfterOneSample() {
            assertEquals(7, trend.forecast(0, 7), 0.01);
        }
    }
}
