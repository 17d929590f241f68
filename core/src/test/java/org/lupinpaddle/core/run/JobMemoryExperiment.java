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

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;
import org.lupinpaddle.core.common.RecordCodec;
import org.lupinpaddle.core.job.JobKey;
import org.lupinpaddle.core.job.JobSize;
import org.lupinpaddle.core.job.JobSpec;
import org.lupinpaddle.core.job.Policy;
import org.lupinpaddle.core.job.Repeat;
import org.lupinpaddle.core.job.StepSpec;

/**
 * Measures what jobs of different shapes take in the heap of their owner, beside the estimate of {@link JobSize}. Each job
 * is counted with its stored text, which the owner keeps as well. Run it with {@code -XX:MarkSweepAlwaysCompactCount=1}, or
 * dead objects count as used.
 */
public final class JobMemoryExperiment {

    private static final int JOBS = 500;
    // The first round loads classes and lets the heap grow.
    private static final int ROUNDS = 3;
    private static final long TOMORROW = 86_400_000;
    private static final int MAX_TEXT = 4_000;

    private JobMemoryExperiment() {}

    /** Prints one line for each shape: bytes for each job, the estimate, and tasks in progress. */
    public static void main(String[] args) {
        StepSpec one = step(1);
        print("one task, not due", List.of(one), new Repeat(1, TOMORROW, 0), "text");
        print(
                "one task, not due, a text of 4,000 bytes",
                List.of(one),
                new Repeat(1, TOMORROW, 0),
                "x".repeat(MAX_TEXT));
        print("one task, 1,000 times, none due", List.of(one), new Repeat(1_000, TOMORROW, 1), "text");
        print("one task, due", List.of(one), Repeat.ONCE, "text");
        print("1,000 tasks, not due", List.of(step(1_000)), new Repeat(1, TOMORROW, 0), "text");
        print("1,000 tasks, due", List.of(step(1_000)), Repeat.ONCE, "text");
        print("100 steps, not due", steps(), new Repeat(1, TOMORROW, 0), "text");
        print("100 steps, due", steps(), Repeat.ONCE, "text");
    }

    private static StepSpec step(int tasks) {
        return StepSpec.builder(tasks, SchedulerDriver.NEED).build();
    }

    private static List<StepSpec> steps() {
        return IntStream.range(0, 100).mapToObj(i -> step(1)).toList();
    }

    private static void print(String name, List<StepSpec> steps, Repeat repeat, String text) {
        IntStream.range(1, ROUNDS).forEach(i -> measure(steps, repeat, text));
        System.out.println(name + ": " + measure(steps, repeat, text));
    }

    private static String measure(List<StepSpec> steps, Repeat repeat, String text) {
        SchedulerDriver d = new SchedulerDriver();
        List<String> records = new ArrayList<>();
        long before = usedBytes();
        for (int i = 0; i < JOBS; i++) {
            JobKey key = new JobKey("q", String.format(Locale.ROOT, "%016x", i));
            Policy policy = new Policy(0, 3, 1.5, 500, false);
            String record = RecordCodec.write(new JobSpec(key, "clips", text, steps, repeat, policy, 0));
            records.add(record);
            d.scheduler.onJob(RecordCodec.read(record, JobSpec.class).get(), null);
        }
        d.advance(1);
        long bytes = (usedBytes() - before) / JOBS;
        JobSpec spec = RecordCodec.read(records.get(0), JobSpec.class).get();
        int tasks = d.scheduler.memoryUse().tasks() / JOBS;
        return bytes + " bytes a job, estimated " + JobSize.bytes(spec) + ", and " + tasks + " tasks in progress of "
                + JobSize.BYTES_PER_TASK + " bytes";
    }

    private static long usedBytes() {
        System.gc();
        Runtime r = Runtime.getRuntime();
        return r.totalMemory() - r.freeMemory();
    }
}
