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

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * Orders the steps of a job by their dependencies (Kahn's algorithm). The time is proportional to the number of steps and
 * dependencies, whatever graph they form.
 */
public final class StepOrder {

    private StepOrder() {}

    /**
     * Returns the indexes of the steps, each one behind all steps that it depends on; empty if steps depend on each other
     * in a cycle. All dependencies must be indexes of steps.
     */
    public static Optional<List<Integer>> of(List<StepSpec> steps) {
        int[] unordered = new int[steps.size()];
        List<List<Integer>> successors = new ArrayList<>();
        steps.forEach(s -> successors.add(new ArrayList<>()));
        Deque<Integer> ready = new ArrayDeque<>();
        for (int i = 0; i < steps.size(); i++) {
            unordered[i] = steps.get(i).after().size();
            for (int dependency : steps.get(i).after()) {
                successors.get(dependency).add(i);
            }
            if (unordered[i] == 0) {
                ready.add(i);
            }
        }
        List<Integer> order = new ArrayList<>();
        while (!ready.isEmpty()) {
            int next = ready.remove();
            order.add(next);
            for (int successor : successors.get(next)) {
                unordered[successor]--;
                if (unordered[successor] == 0) {
                    ready.add(successor);
                }
            }
        }
        return order.size() == steps.size() ? Optional.of(order) : Optional.empty();
    }
}
