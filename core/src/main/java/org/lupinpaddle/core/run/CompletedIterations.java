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

import java.util.BitSet;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.lupinpaddle.core.job.JobSpec;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.job.TaskId;
import org.lupinpaddle.core.job.TaskRecord;

/**
 * The completed iterations of a job. Their task records remain part of the job's progress; of each task only the numbers
 * are kept from which its record is built.
 */
final class CompletedIterations {

    private final JobSpec spec;
    private final int tasksPerIteration;
    private final BitSet times = new BitSet();
    // The number of the last run and of the failed runs, by iteration, step and index; empty until one is completed.
    private int[] runs = {};
    private int[] failures = {};

    CompletedIterations(JobSpec spec) {
        this.spec = spec;
        this.tasksPerIteration = spec.steps().stream().mapToInt(StepSpec::count).sum();
    }

    int tasksPerIteration() {
        return tasksPerIteration;
    }

    /** Adds an iteration by the records of all of its tasks. */
    void add(int time, List<TaskRecord> records) {
        if (times.isEmpty()) {
            runs = new int[spec.repeat().repetitions() * tasksPerIteration];
            failures = new int[runs.length];
        }
        times.set(time);
        for (TaskRecord r : records) {
            int i = position(time, r.step(), r.index());
            runs[i] = r.run();
            failures[i] = r.failures();
        }
    }

    boolean contains(int time) {
        return times.get(time);
    }

    int count() {
        return times.cardinality();
    }

    /** Returns the records of all of its tasks. */
    Stream<TaskRecord> records() {
        return times.stream()
                .boxed()
                .flatMap(time -> IntStream.range(0, spec.steps().size())
                        .boxed()
                        .flatMap(step -> IntStream.range(
                                        0, spec.steps().get(step).count())
                                .mapToObj(index -> record(new TaskId(time, step, index)))));
    }

    private TaskRecord record(TaskId t) {
        int i = position(t.time(), t.step(), t.index());
        return new TaskRecord(t.time(), t.step(), t.index(), runs[i], failures[i], true, "", "");
    }

    private int position(int time, int step, int index) {
        int before = 0;
        for (int s = 0; s < step; s++) {
            before += spec.steps().get(s).count();
        }
        return time * tasksPerIteration + before + index;
    }
}
