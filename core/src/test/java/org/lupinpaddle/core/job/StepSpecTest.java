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
package org.lupinpaddle.core.job;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class StepSpecTest {

    @Nested
    class Shape {

        private static StepSpec step(int count, long cpuMillis, Integer... after) {
            return StepSpec.builder(count, new StepSpec.Need(cpuMillis, 100, 0))
                    .after(List.of(after))
                    .build();
        }

        @Test
        void containsTaskCountAndCores() {
            assertEquals("6x880", step(6, 880).shape());
        }

        @Test
        void containsEachDependency() {
            assertEquals("11x2350>0>1", step(11, 2_350, 0, 1).shape());
        }
    }
}
