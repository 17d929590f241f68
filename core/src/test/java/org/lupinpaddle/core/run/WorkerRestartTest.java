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

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Objects;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.job.EndKind;
import org.lupinpaddle.core.job.JobState;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.job.TaskId;

/** A worker that restarts under its id: its results, its clock and its runs start anew. */
class WorkerRestartTest {

    private static final long FIRST_BIRTH = 1_000_000;
    private static final long SECOND_BIRTH = 1_060_000;
    // The clock of a life counts from its start.
    private static final long OLD_CLOCK = 60_000;
    private static final long NEW_CLOCK = 500;

    private static final TaskId TASK = new TaskId(0, 0, 0);
    private static final StepSpec ONE =
            StepSpec.builder(1, SchedulerDriver.NEED).build();

    private final SchedulerDriver d = new SchedulerDriver();

    private static RunningReport running(String job, int run) {
        return new RunningReport(job, TASK, run, "", 10, -1);
    }

    private static EndReport done(long number, String job, int run) {
        return new EndReport(number, job, TASK, run, EndKind.DONE, "");
    }

    /** Lists workers that have answered a hold in their first lives. */
    private void listed(String... ids) {
        d.scheduler.onWorkers(List.of(ids).stream()
                .map(id -> SchedulerDriver.born(id, FIRST_BIRTH))
                .toList());
        d.passes(1);
        for (String id : ids) {
            d.answersAs(id, FIRST_BIRTH, OLD_CLOCK, List.of(), List.of());
        }
    }

    /** Starts a job of one task, which a worker accepts. */
    private StartOrder started(String job) {
        d.job(job, ONE);
        d.passes(50);
        d.saved();
        StartOrder s = d.lastStart();
        assertEquals(job, s.jobId());
        d.scheduler.onStarted(s, OrderOutcome.ACCEPTED);
        d.passes(10);
        return s;
    }

    /** Lets the first life of a worker end jobs, and lets their results become durable. */
    private void firstLifeEnds(String worker, String... jobs) {
        long number = 0;
        for (String job : jobs) {
            number++;
            StartOrder s = started(job);
            d.answersAs(worker, FIRST_BIRTH, OLD_CLOCK + number, List.of(), List.of(done(number, job, s.run())));
            d.passes(50);
            d.saved();
        }
    }

    private List<String> ended(JobState state) {
        return d.port.events.stream()
                .filter(e ->
                        e.kind() == SchedulerEvent.Kind.JOB_ENDED && e.outcome().equals(state.name()))
                .map(e -> Objects.requireNonNull(e.job()).id())
                .toList();
    }

    @Nested
    class TheResultsOfALaterLife {

        /** Guards against passing over results as known because an earlier life of the worker used their numbers. */
        @Test
        void areProcessedThoughAnEarlierLifeUsedTheirNumbers() {
            listed("w1");
            firstLifeEnds("w1", "a", "b", "c");
            d.answersAs("w1", SECOND_BIRTH, NEW_CLOCK, List.of(), List.of());
            d.scheduler.onWorkers(List.of(SchedulerDriver.born("w1", SECOND_BIRTH)));
            StartOrder s = started("x");
            d.answersAs("w1", SECOND_BIRTH, NEW_CLOCK + 100, List.of(), List.of(done(1, "x", s.run())));
            assertEquals(List.of("a", "b", "c", "x"), ended(JobState.COMPLETED));
        }

        /** Guards against acknowledging results of a later life that nobody has processed. */
        @Test
        void areNotAcknowledgedByTheNumbersOfAnEarlierLife() {
            listed("w1");
            firstLifeEnds("w1", "a", "b", "c");
            d.answersAs("w1", SECOND_BIRTH, NEW_CLOCK, List.of(), List.of());
            d.passes(10);
            assertEquals(0, d.lastHold("w1").forgetUpTo());
        }

        /** Guards against acknowledging results of a life that has begun since the worker answered last. */
        @Test
        void areNotAcknowledgedAfterASilence() {
            listed("w1");
            firstLifeEnds("w1", "a", "b", "c");
            assertEquals(3, d.lastHold("w1").forgetUpTo());
            d.passes(600);
            d.silent("w1");
            d.passes(300);
            assertEquals(0, d.lastHold("w1").forgetUpTo());
            d.answersAs("w1", FIRST_BIRTH, OLD_CLOCK + 1_000, List.of(), List.of());
            d.passes(10);
            assertEquals(3, d.lastHold("w1").forgetUpTo());
        }
    }
}
