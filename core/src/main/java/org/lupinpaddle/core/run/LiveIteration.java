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

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.lupinpaddle.core.job.StepOrder;
import org.lupinpaddle.core.job.TaskRecord;

/** The steps of one iteration of a job while it is in progress. */
final class LiveIteration {

    final LiveJob job;
    final int time;
    final List<LiveStep> steps;

    /**
     * Creates the steps and their tasks.
     *
     * @param stepMillis the expected duration of each step
     * @param criticalPaths the expected duration of the longest chain of steps that begins with each step
     */
    LiveIteration(LiveJob job, int time, long[] stepMillis, long[] criticalPaths) {
        this.job = job;
        this.time = time;
        steps = IntStream.range(0, stepMillis.length)
                .mapToObj(n -> new LiveStep(this, n, stepMillis[n], criticalPaths[n]))
                .toList();
    }

    boolean isDone() {
        return steps.stream().allMatch(LiveStep::isDone);
    }

    /**
     * Returns the steps whose tasks may still run. The others have been completed or given up, or come after a step that
     * has been given up.
     */
    List<LiveStep> unfinishedSteps() {
        Set<LiveStep> blocked = blockedSteps();
        return steps.stream()
                .filter(s -> !s.isDone() && (!blocked.contains(s) || s.hasTasksOnWorkers()))
                .toList();
    }

    private Set<LiveStep> blockedSteps() {
        if (steps.stream().noneMatch(LiveStep::isGivenUp)) {
            return Set.of();
        }
        Set<LiveStep> blocked = new HashSet<>();
        for (int number : StepOrder.of(job.spec.steps()).orElseThrow()) {
            LiveStep step = steps.get(number);
            boolean isBlocked = step.spec.after().stream()
                    .map(steps::get)
                    .anyMatch(before -> before.isGivenUp() || blocked.contains(before));
            if (isBlocked) {
                blocked.add(step);
            }
        }
        return blocked;
    }

    /** Returns whether one of its tasks has been placed, so that its records must be kept. */
    boolean hasBeenPlaced() {
        return steps.stream().flatMap(s -> s.tasks.stream()).anyMatch(t -> t.hasBeenPlaced() || t.worker != null);
    }

    /** Returns the records of the tasks that have been placed. */
    List<TaskRecord> records() {
        return steps.stream()
                .flatMap(s -> s.tasks.stream())
                .filter(LiveTask::hasBeenPlaced)
                .map(LiveTask::toRecord)
                .toList();
    }

    /** Returns its expected remaining duration, with its steps in sequence. */
    long remainingMillis() {
        long longest = 0;
        for (LiveStep s : unfinishedSteps()) {
            longest = Math.max(longest, s.remainingMillis());
        }
        return longest;
    }
}
