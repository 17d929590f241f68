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
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.job.EndKind;
import org.lupinpaddle.core.job.JobKey;
import org.lupinpaddle.core.job.JobProgress;
import org.lupinpaddle.core.job.JobState;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.job.TaskId;
import org.lupinpaddle.core.job.TaskRecord;

/** Tests the handling of jobs and workers whose records cannot be read. */
class UnreadableRecordTest {

    private static final TaskId FIRST = new TaskId(0, 0, 0);
    private static final JobKey JOB = new JobKey("q", "a");
    private static final StepSpec ONE =
            StepSpec.builder(1, SchedulerDriver.NEED).build();
    private static final List<RunStatus> RUNS = List.of(new RunStatus("a", FIRST, 3, "", 50, -1));

    private final SchedulerDriver d = new SchedulerDriver();

    private void listAndAnswer(String... workers) {
        d.listWorkers(workers);
        for (String w : workers) {
            d.answerHold(w, List.of(), List.of());
        }
    }

    private long holds(String worker) {
        return d.port.holds.stream().filter(h -> h.worker().id().equals(worker)).count();
    }

    @Nested
    class AJob {

        @Test
        void continuesAndIsNotRestarted() {
            listAndAnswer("w1");
            d.scheduler.onUnreadableJob(JOB);
            d.answerHold("w1", RUNS, List.of());
            d.advance(1_000);
            d.answerHold("w1", List.of(), List.of(new RunResult(1, "a", FIRST, 3, EndKind.FAILED, "")));
            d.advance(1_000);
            assertEquals(List.of(), d.port.stops);
            assertEquals(List.of(), d.port.starts);
            assertEquals(List.of(), d.port.saves);
        }

        /** Until the record can be read again, only the worker knows the result. */
        @Test
        void leavesItsResultOnItsWorker() {
            listAndAnswer("w1", "w2");
            d.scheduler.onUnreadableJob(JOB);
            RunResult done = new RunResult(1, "a", FIRST, 3, EndKind.DONE, "");
            d.answerHold("w1", List.of(), List.of(done));
            d.advance(1_000);
            assertEquals(0, d.port.holds.get(d.port.holds.size() - 1).acknowledgedUpTo());
            d.scheduler.onEvacuations(Set.of("w1"), Set.of());
            d.advance(100);
            assertEquals(List.of(), d.port.emptied);
            TaskRecord ran = new TaskRecord(0, 0, 0, 3, 0, false, "w1", "");
            d.submit("a", new JobProgress(JobState.RUNNING, List.of(ran), "", 0), ONE);
            d.answerHold("w1", List.of(), List.of(done));
            d.advance(100);
            d.completeSaves();
            assertEquals(List.of(), d.port.starts);
            d.advance(100);
            assertEquals(List.of("w1"), d.port.emptied.stream().distinct().toList());
        }

        @Test
        void keepsItsWorker() {
            listAndAnswer("w1");
            d.scheduler.onUnreadableJob(JOB);
            d.answerHold("w1", RUNS, List.of());
            d.scheduler.onEvacuations(Set.of("w1"), Set.of());
            d.advance(100);
            assertEquals(List.of(), d.port.emptied);
        }

        @Test
        void thatIsCancelledIsStopped() {
            listAndAnswer("w1");
            d.scheduler.onUnreadableJob(JOB);
            d.scheduler.onCancel(JOB);
            d.answerHold("w1", RUNS, List.of());
            assertEquals(1, d.port.stops.size());
            assertEquals(3, d.port.stops.get(0).run());
        }

        @Test
        void thatIsKnownContinues() {
            listAndAnswer("w1");
            d.submit("a", ONE);
            d.completeSaves();
            int run = d.lastStart().run();
            d.scheduler.onUnreadableJob(JOB);
            d.scheduler.onStarted(d.lastStart(), OrderOutcome.ACCEPTED);
            d.answerHold("w1", List.of(), List.of(new RunResult(1, "a", FIRST, run, EndKind.DONE, "")));
            d.advance(1_000);
            assertTrue(d.port.saves.stream()
                    .flatMap(List::stream)
                    .anyMatch(s -> s.progress().state().ended()));
        }
    }

    @Nested
    class AWorker {

        private static final long LONG_MILLIS = 60_000;

        /** A worker with an unreadable record is omitted from the list. */
        @Test
        void isPolledAtItsOldAddressAndGetsNoNewTasks() {
            listAndAnswer("w1");
            d.submit("a", ONE);
            d.completeSaves();
            d.scheduler.onStarted(d.lastStart(), OrderOutcome.ACCEPTED);
            int run = d.lastStart().run();
            d.listWorkers();
            long before = holds("w1");
            for (long t = 0; t < LONG_MILLIS; t += 500) {
                d.answerHold("w1", List.of(new RunStatus("a", FIRST, run, "", 50, -1)), List.of());
                d.advance(500);
            }
            d.submit("b", ONE);
            d.completeSaves();
            assertTrue(holds("w1") > before + 10);
            assertEquals(
                    "at-w1", d.port.holds.get(d.port.holds.size() - 1).worker().address());
            assertEquals(
                    List.of("a"), d.port.starts.stream().map(StartOrder::jobId).toList());
            assertEquals(List.of(), d.port.stops);
        }

        @Test
        void thatIsListedAgainGetsNewTasks() {
            listAndAnswer("w1");
            d.listWorkers();
            d.submit("a", ONE);
            d.completeSaves();
            assertEquals(List.of(), d.port.starts);
            listAndAnswer("w1");
            d.completeSaves();
            assertEquals("w1", d.lastStart().worker().id());
        }
    }
}
