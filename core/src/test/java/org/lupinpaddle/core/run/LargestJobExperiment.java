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

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.IntStream;
import org.lupinpaddle.core.common.RecordCodec;
import org.lupinpaddle.core.job.JobKey;
import org.lupinpaddle.core.job.JobSpec;
import org.lupinpaddle.core.job.Policy;
import org.lupinpaddle.core.job.Repeat;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.job.Submission;
import org.lupinpaddle.core.job.SubmissionValidator;
import org.lupinpaddle.core.placement.WorkerFacts;

/**
 * Measures the processor time that an owner spends on the largest valid jobs of different shapes: to validate and read one,
 * to add it, and for each scheduling pass and each report while it waits.
 */
public final class LargestJobExperiment {

    private static final int WORKERS = 20;
    private static final int MAX_STEPS = 100;
    private static final int MAX_TASKS = 5_000;
    private static final int PASSES = 40;
    private static final int WARM_UP_ROUNDS = 5;
    private static final long PASS_GAP_MILLIS = 5;
    private static final double NANOS_PER_MILLI = 1e6;

    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    private LargestJobExperiment() {}

    /** Prints one line for each shape. */
    public static void main(String[] args) {
        Map<String, Submission> shapes = new LinkedHashMap<>();
        shapes.put("chain of all earlier steps", submission(Repeat.ONCE, graph(MAX_TASKS / MAX_STEPS, 0)));
        shapes.put("ten stages of ten steps", submission(Repeat.ONCE, graph(MAX_TASKS / MAX_STEPS, 10)));
        shapes.put("repeated chain, 50 times", submission(new Repeat(50, 1, 1), graph(1, 0)));
        shapes.put(
                "one task, 1,000 times",
                submission(new Repeat(1_000, 1, 1), graph(1, 1).subList(0, 1)));
        shapes.put("one step", submission(Repeat.ONCE, List.of(step(MAX_TASKS, List.of(), false))));
        shapes.put("one gang", submission(Repeat.ONCE, List.of(step(MAX_TASKS, List.of(), true))));
        shapes.forEach((name, s) -> {
            for (int i = 0; i < WARM_UP_ROUNDS; i++) {
                measure(s);
            }
            System.out.printf(Locale.ROOT, "%-28s %s%n", name, measure(s));
        });
    }

    private static Submission submission(Repeat repeat, List<StepSpec> steps) {
        Submission s = new Submission("x".repeat(4_000), steps, repeat);
        SubmissionValidator.findError(s).ifPresent(why -> {
            throw new IllegalStateException(why);
        });
        return s;
    }

    /** Returns steps that depend on all earlier ones, or on all of the stage before if there are stages. */
    private static List<StepSpec> graph(int count, int stage) {
        List<StepSpec> steps = new ArrayList<>();
        for (int i = 0; i < MAX_STEPS; i++) {
            int begin = stage == 0 ? i : i / stage * stage;
            steps.add(step(
                    count,
                    IntStream.range(stage == 0 ? 0 : Math.max(0, begin - stage), begin)
                            .boxed()
                            .toList(),
                    false));
        }
        return steps;
    }

    private static StepSpec step(int count, List<Integer> after, boolean gang) {
        return StepSpec.builder(count, SchedulerDriver.NEED)
                .estimateMillis(300)
                .after(after)
                .gang(gang, false)
                .build();
    }

    private static String measure(Submission s) {
        Policy policy = new Policy(0, 3, 1.5, 500, false);
        JobSpec spec = new JobSpec(new JobKey("q", "a"), "clips", s.text(), s.steps(), s.repeat(), policy, 0);
        String record = RecordCodec.write(spec);
        SchedulerDriver d = new SchedulerDriver();
        d.listAndAnswer(IntStream.range(0, WORKERS)
                .mapToObj(i -> SchedulerDriver.worker("w" + i))
                .toArray(WorkerFacts[]::new));
        JobSpec[] read = new JobSpec[1];
        double readMillis =
                millis(() -> read[0] = RecordCodec.read(record, JobSpec.class).get());
        double addMillis = millis(() -> d.scheduler.onJob(read[0], null));
        double tickMillis = millis(() -> IntStream.range(0, PASSES).forEach(i -> d.advance(PASS_GAP_MILLIS))) / PASSES;
        double reportMillis = millis(() -> IntStream.range(0, PASSES).forEach(i -> d.scheduler.report())) / PASSES;
        return String.format(
                Locale.ROOT,
                "read-millis=%.2f add-millis=%.2f pass-millis=%.2f report-millis=%.2f",
                readMillis,
                addMillis,
                tickMillis,
                reportMillis);
    }

    private static double millis(Runnable step) {
        long before = THREADS.getCurrentThreadCpuTime();
        step.run();
        return (THREADS.getCurrentThreadCpuTime() - before) / NANOS_PER_MILLI;
    }
}
