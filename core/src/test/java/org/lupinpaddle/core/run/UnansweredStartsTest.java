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
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.job.TaskId;
import org.lupinpaddle.core.placement.WorkerFacts;

class UnansweredStartsTest {

    private static final TaskId TASK = new TaskId(0, 0, 0);
    private static final WorkerFacts WORKER = SchedulerDriver.worker("w1");

    private final UnansweredStarts starts = new UnansweredStarts();

    private static StartOrder start(String job) {
        return new StartOrder(WORKER, job, TASK, 1, "text", 5_000, "", "");
    }

    private static RunStatus running(String job) {
        return new RunStatus(job, TASK, 1, "", 10, -1);
    }

    private List<String> due(long now) {
        return starts.due(WORKER, now).stream().map(StopOrder::jobId).sorted().toList();
    }

    /** Guards against late starts that a restarted worker accepts. */
    @Nested
    class ANewIncarnation {

        @Test
        void rejectsStartsThatMayStillArrive() {
            starts.unanswered(start("a"), true, 1_000);
            assertEquals(List.of(), due(1_500));
            starts.onNewIncarnation("w1", List.of(), 2_000);
            assertEquals(List.of("a"), due(2_000));
        }

        @Test
        void isSentTheStopUntilItAnswers() {
            starts.unanswered(start("a"), true, 1_000);
            starts.onNewIncarnation("w1", List.of(), 2_000);
            StopOrder first = starts.due(WORKER, 2_000).get(0);
            assertEquals(List.of(), due(2_001));
            assertEquals(List.of("a"), due(2_300));
            starts.refused(first);
            assertEquals(List.of(), due(3_000));
        }

        @Test
        void keepsItsRunningTasks() {
            starts.unanswered(start("a"), true, 1_000);
            starts.unanswered(start("b"), true, 1_000);
            starts.onNewIncarnation("w1", List.of(running("a")), 2_000);
            assertEquals(List.of("b"), due(2_000));
        }

        @Test
        void followedByAnotherIsNotTheOnlyOneToldToReject() {
            starts.unanswered(start("a"), true, 1_000);
            starts.onNewIncarnation("w1", List.of(), 2_000);
            starts.refused(starts.due(WORKER, 2_000).get(0));
            starts.onNewIncarnation("w1", List.of(), 4_000);
            assertEquals(List.of("a"), due(4_000));
        }

        @Test
        void rejectsAtOnceStartsThatWereAbandonedInFlight() {
            starts.onNewIncarnation("w1", List.of(), 500);
            starts.unanswered(start("a"), false, 1_000);
            assertEquals(List.of("a"), due(1_000));
        }

        @Test
        void isNotToldAboutExpiredStarts() {
            starts.unanswered(start("a"), true, 1_000);
            starts.onNewIncarnation("w1", List.of(), 60_000);
            assertEquals(List.of(), due(60_000));
        }
    }

    @Nested
    class InTheScheduler {

        private final SchedulerDriver d = new SchedulerDriver();

        private boolean stopped() {
            return d.port.stops.stream().anyMatch(s -> s.jobId().equals("a") && s.run() == 1);
        }

        /** Guards against a late copy of a start that repeats a run completed by an earlier incarnation. */
        @Test
        void incarnationAfterADroppedOneIsTold() {
            d.scheduler.onWorkers(List.of(SchedulerDriver.workerBornAt("w1", 1_000)));
            d.advance(1);
            d.answerHoldAs("w1", 1_000, 10, List.of(), List.of());
            d.submit("a", StepSpec.builder(1, SchedulerDriver.NEED).build());
            d.advance(50);
            d.completeSaves();
            d.scheduler.onStarted(d.lastStart(), OrderOutcome.UNKNOWN);
            d.advance(3_000);
            d.scheduler.onRunningWorkers(Set.of(), d.now);
            assertFalse(stopped());
            d.scheduler.onWorkers(List.of(SchedulerDriver.workerBornAt("w1", 2_000)));
            d.advance(10);
            d.answerHoldAs("w1", 2_000, 10, List.of(), List.of());
            assertTrue(stopped());
        }
    }
}
