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

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.placement.Resources;

class DemandTest {

    private static final Resources WORKER = new Resources(10_000, 10_000, 0);
    private static final Resources TASK = new Resources(1_000, 100, 0);

    private final Demand demand = new Demand();

    private void addFiniteTasks(int tasks, long remainingMillis, long availableMillis, boolean placed) {
        for (int i = 0; i < tasks; i++) {
            demand.addFinite(TASK, remainingMillis, availableMillis, 1, placed);
        }
    }

    @Nested
    class RequiredWorkers {

        @Test
        void areFewerWhenDeadlinesAreFar() {
            addFiniteTasks(34, 1_000, 9_200, false);
            assertEquals(0.5, demand.requiredWorkers(WORKER), 0.01);
        }

        @Test
        void areEnoughForAllTasksAtOnceWhenTheyAreLate() {
            addFiniteTasks(34, 1_000, 1_000, false);
            assertEquals(4, demand.requiredWorkers(WORKER), 0.01);
        }

        @Test
        void areNotFewerThanRunningTasksOccupy() {
            addFiniteTasks(34, 1_000, 9_200, true);
            assertEquals(4, demand.requiredWorkers(WORKER), 0.01);
        }

        @Test
        void includeLongRunningTasks() {
            for (int i = 0; i < 17; i++) {
                demand.addLongRunning(TASK);
            }
            assertEquals(2, demand.requiredWorkers(WORKER), 0.01);
        }

        @Test
        void areAtLeastTheRequiredSpread() {
            demand.addLongRunning(TASK);
            demand.requireWorkers(3);
            assertEquals(3, demand.minWorkers());
        }

        @Test
        void areNoneWithoutWork() {
            assertEquals(0, demand.requiredWorkers(WORKER), 0.01);
        }
    }
}
