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
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.job.EndKind;
import org.lupinpaddle.core.job.JobKey;
import org.lupinpaddle.core.job.JobProgress;
import org.lupinpaddle.core.job.JobState;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.job.TaskId;
import org.lupinpaddle.core.job.TaskRecord;

/**
 * The results of a job whose record cannot be read are processed once the record can be read again, by whichever
 * owner.
 */
class UnreadableJobTest {

    private static final TaskId FIRST = new TaskId(0, 0, 0);
    private static final JobKey JOB = new JobKey("q", "a");
    private static final StepSpec ONE =
            StepSpec.builder(1, SchedulerDriver.NEED).build();
    private static final List<RunStatus> RUNS = List.of(new RunStatus("a", FIRST, 3, "", 50, -1));
    private static final RunResult DONE = new RunResult(1, "a", FIRST, 3, EndKind.DONE, "");

    private final SchedulerDriver d = new SchedulerDriver();

    private void runAnUnreadableJob() {
        d.listWorkers("w1");
        d.answerHold("w1", List.of(), List.of());
        d.scheduler.onUnreadableJob(JOB);
        d.answerHold("w1", RUNS, List.of());
        d.advance(500);
    }

    /** An entry of the version that wrote the record takes over, or the record is repaired. */
    @Test
    void isNotRunAgainByAnOwnerThatCanReadIt() {
        runAnUnreadableJob();
        d.answerHold("w1", List.of(), List.of(DONE));
        d.advance(2_000);
        long mayForget = d.port.holds.get(d.port.holds.size() - 1).acknowledgedUpTo();
        SchedulerDriver next = new SchedulerDriver();
        next.listWorkers("w1");
        TaskRecord third = new TaskRecord(0, 0, 0, 3, 0, false, "w1", "");
        next.submit("a", new JobProgress(JobState.RUNNING, List.of(third), "", 0), ONE);
        next.advance(10);
        next.answerHold("w1", List.of(), mayForget >= DONE.number() ? List.of() : List.of(DONE));
        next.advance(100);
        next.completeSaves();
        assertEquals(0, next.port.starts.size(), "the task is done, and the result has been acknowledged");
    }

    @Test
    void preventsItsWorkerFromBeingReportedAsEmpty() {
        runAnUnreadableJob();
        d.scheduler.onEvacuations(Set.of("w1"), Set.of());
        d.answerHold("w1", RUNS, List.of());
        assertTrue(d.port.emptied.isEmpty(), "its run would be lost with the instance");
    }
}
