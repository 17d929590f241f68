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
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

/** Says what is wrong with what a caller hands in, naming the field, so that nothing odd reaches the store. */
public final class SubmissionCheck {

    // From the platform's protocol: an id is 16 hex digits, a text has at most 4,000 bytes.
    private static final Pattern ID = Pattern.compile("[0-9a-fA-F]{16}");
    private static final int MOST_TEXT_BYTES = 4_000;
    // Ours: a job's records must fit into one value of the store, with room to spare.
    private static final int MOST_STEPS = 100;
    private static final int MOST_TASKS = 5_000;
    private static final int MOST_TIMES = 1_000;

    private SubmissionCheck() {}

    /** Returns whether a text is a job's id. */
    public static boolean isId(String id) {
        return ID.matcher(id).matches();
    }

    /** Returns what is wrong, or nothing. */
    public static Optional<String> wrong(Submission s) {
        if (s.text().getBytes(StandardCharsets.UTF_8).length > MOST_TEXT_BYTES) {
            return Optional.of("the text has more than " + MOST_TEXT_BYTES + " bytes");
        }
        if (s.steps().isEmpty() || s.steps().size() > MOST_STEPS) {
            return Optional.of("steps: there must be 1 to " + MOST_STEPS);
        }
        Optional<String> repeat = wrongRepeat(s.repeat());
        if (repeat.isPresent()) {
            return repeat;
        }
        for (int i = 0; i < s.steps().size(); i++) {
            Optional<String> step = wrongStep(i, s.steps());
            if (step.isPresent()) {
                return step;
            }
        }
        long tasks =
                s.steps().stream().mapToLong(StepSpec::count).sum() * s.repeat().times();
        if (tasks > MOST_TASKS) {
            return Optional.of("the job has " + tasks + " tasks; at most " + MOST_TASKS + " are taken");
        }
        return hasCycle(s.steps())
                ? Optional.of("after: the steps wait for one another in a circle")
                : Optional.empty();
    }

    private static Optional<String> wrongRepeat(Repeat r) {
        if (r.count() < 0 || r.count() > MOST_TIMES) {
            return Optional.of("the number of times must be 0 to " + MOST_TIMES);
        }
        return r.intervalMillis() < 0 ? Optional.of("the interval must not be negative") : Optional.empty();
    }

    private static Optional<String> wrongStep(int i, List<StepSpec> steps) {
        StepSpec s = steps.get(i);
        String where = "steps[" + i + "].";
        StepSpec.Need n = s.need();
        if (s.count() < 1 || s.count() > MOST_TASKS) {
            return Optional.of(where + "count must be 1 to " + MOST_TASKS);
        }
        if (n.cpuMillis() < 0 || n.memoryMb() < 0 || n.accelerators() < 0) {
            return Optional.of(where + "what a task asks for must not be negative");
        }
        if (s.estimateMillis() < 0 || s.perWorkerMost() < 0 || s.mayMiss() < 0 || s.targetMillis() < 0) {
            return Optional.of(where + "counts and times must not be negative");
        }
        for (int before : s.after()) {
            if (before < 0 || before >= steps.size() || before == i) {
                return Optional.of(where + "after: there is no other step " + before);
            }
        }
        return Optional.empty();
    }

    private static boolean hasCycle(List<StepSpec> steps) {
        Set<Integer> done = new HashSet<>();
        boolean grew = true;
        while (grew) {
            grew = false;
            for (int i = 0; i < steps.size(); i++) {
                if (!done.contains(i) && done.containsAll(steps.get(i).after())) {
                    done.add(i);
                    grew = true;
                }
            }
        }
        return done.size() < steps.size();
    }
}
