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

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;

/** Validates submissions, so that no invalid job reaches the store. Errors name the invalid field. */
public final class SubmissionValidator {

    // The platform's protocol defines an id as 16 hexadecimal digits and limits a text to 4,000 bytes.
    private static final Pattern ID = Pattern.compile("[0-9a-fA-F]{16}");
    private static final int MAX_TEXT_BYTES = 4_000;
    // These limits are not part of the protocol. They keep each record of a job well below the size limit of a store
    // value.
    private static final int MAX_STEPS = 100;
    private static final int MAX_TASKS = 5_000;
    private static final int MAX_REPETITIONS = 1_000;

    private SubmissionValidator() {}

    /** Returns whether the string is a valid job id. */
    public static boolean isId(String id) {
        return ID.matcher(id).matches();
    }

    /** Returns a message for the first error of the submission; empty if it is valid. */
    public static Optional<String> findError(Submission s) {
        if (s.text().getBytes(StandardCharsets.UTF_8).length > MAX_TEXT_BYTES) {
            return Optional.of("the text has more than " + MAX_TEXT_BYTES + " bytes");
        }
        if (s.steps().isEmpty() || s.steps().size() > MAX_STEPS) {
            return Optional.of("steps: there must be 1 to " + MAX_STEPS);
        }
        Optional<String> repeat = findRepeatError(s.repeat());
        if (repeat.isPresent()) {
            return repeat;
        }
        for (int i = 0; i < s.steps().size(); i++) {
            Optional<String> step = findStepError(i, s.steps());
            if (step.isPresent()) {
                return step;
            }
        }
        long tasks =
                s.steps().stream().mapToLong(StepSpec::count).sum() * s.repeat().repetitions();
        if (tasks > MAX_TASKS) {
            return Optional.of("the job has " + tasks + " tasks; at most " + MAX_TASKS + " are taken");
        }
        return StepOrder.of(s.steps()).isPresent()
                ? Optional.empty()
                : Optional.of("after: the steps wait for one another in a circle");
    }

    private static Optional<String> findRepeatError(Repeat r) {
        if (r.count() < 0 || r.count() > MAX_REPETITIONS) {
            return Optional.of("the number of times must be 0 to " + MAX_REPETITIONS);
        }
        return r.intervalMillis() < 0 ? Optional.of("the interval must not be negative") : Optional.empty();
    }

    private static Optional<String> findStepError(int i, List<StepSpec> steps) {
        StepSpec s = steps.get(i);
        String field = "steps[" + i + "].";
        StepSpec.Need n = s.need();
        if (s.count() < 1 || s.count() > MAX_TASKS) {
            return Optional.of(field + "count must be 1 to " + MAX_TASKS);
        }
        if (n.cpuMillis() < 0 || n.memoryMb() < 0 || n.accelerators() < 0) {
            return Optional.of(field + "what a task asks for must not be negative");
        }
        if (s.estimateMillis() < 0 || s.perWorkerMost() < 0 || s.mayMiss() < 0 || s.targetMillis() < 0) {
            return Optional.of(field + "counts and times must not be negative");
        }
        for (int dependency : s.after()) {
            if (dependency < 0 || dependency >= steps.size() || dependency == i) {
                return Optional.of(field + "after: there is no other step " + dependency);
            }
        }
        return Optional.empty();
    }
}
