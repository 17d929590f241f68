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
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Verifies the order of steps on arbitrary graphs. */
class StepOrderProperties {

    private static StepSpec step(List<Integer> after) {
        return StepSpec.builder(1, new StepSpec.Need(1, 1, 0)).after(after).build();
    }

    /** Guards against starting or measuring a step before the steps that it depends on. */
    @Property(tries = 500)
    void putsEachStepBehindItsDependencies(@ForAll @IntRange(min = 1, max = 100) int count, @ForAll long seed) {
        Random random = new Random(seed);
        List<Integer> positions = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            positions.add(i);
        }
        Collections.shuffle(positions, random);
        List<StepSpec> steps = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            int step = i;
            steps.add(step(positions.stream()
                    .filter(p -> positions.indexOf(p) < positions.indexOf(step) && random.nextBoolean())
                    .toList()));
        }
        List<Integer> order = StepOrder.of(steps).orElseThrow();
        assertEquals(count, order.stream().distinct().count());
        for (int i = 0; i < count; i++) {
            for (int dependency : steps.get(i).after()) {
                assertTrue(order.indexOf(dependency) < order.indexOf(i), i + " is ordered before " + dependency);
            }
        }
    }

    @Example
    void isEmptyForACycle() {
        assertTrue(StepOrder.of(List.of(step(List.of()), step(List.of(2)), step(List.of(1))))
                .isEmpty());
    }

    /** Guards against work for each of the thousands of repeated indexes that fit into one request. */
    @Example
    void dependenciesAreCountedOnce() {
        StepSpec second = step(Collections.nCopies(50_000, 0));
        assertEquals(List.of(0), second.after());
        assertEquals(
                List.of(0, 1), StepOrder.of(List.of(step(List.of()), second)).orElseThrow());
    }
}
