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
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.job.EndKind;
import org.lupinpaddle.core.job.JobKey;
import org.lupinpaddle.core.job.JobProgress;
import org.lupinpaddle.core.job.JobSpec;
import org.lupinpaddle.core.job.JobState;
import org.lupinpaddle.core.job.Policy;
import org.lupinpaddle.core.job.Repeat;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.job.TaskId;
import org.lupinpaddle.core.job.TaskRecord;

/** Tests jobs of two queues with the same caller id, as earlier releases have accepted them. */
class SameCallerIdTest {

    private static final JobKey FIRST = new JobKey("peek", "a");
    private static final JobKey SECOND = new JobKey("roll", "a");
    private static final long RETENTION_MILLIS = 130_000;

    private final SchedulerDriver d = new SchedulerDriver();

    @BeforeEach
    void listWorker() {
        d.listAndAnswer(SchedulerDriver.workerOnRack("w1", "r1"));
    }

    private void submit(JobKey key, long acceptedMillis, @Nullable JobProgress progress) {
        StepSpec one = StepSpec.builder(1, SchedulerDriver.NEED).build();
        Policy policy = new Policy(0, 3, 1.5, 500, false);
        JobSpec spec =
                new JobSpec(key, "clips", "text of " + key.queue(), List.of(one), Repeat.ONCE, policy, acceptedMillis);
        d.scheduler.onJob(spec, progress);
    }

    private void forgetEnded() {
        d.now += RETENTION_MILLIS + 1;
        d.scheduler.forgetEnded(RETENTION_MILLIS);
        d.answerHold("w1", List.of(), List.of());
        d.completeSaves();
    }

    private void runLastStarted(long resultNumber) {
        StartOrder start = d.lastStart();
        d.scheduler.onStarted(start, OrderOutcome.ACCEPTED);
        d.advance(100);
        RunResult done = new RunResult(resultNumber, start.jobId(), start.task(), start.run(), EndKind.DONE, "");
        d.answerHold("w1", List.of(), List.of(done));
        d.completeSaves();
    }

    private List<String> startedTexts() {
        return d.port.starts.stream().map(StartOrder::text).toList();
    }

    private void start() {
        d.advance(0);
        d.completeSaves();
    }

    /** Guards against an accepted job that stays queued for good because its id was another's when it was added. */
    @Test
    void secondJobRunsOnceTheFirstIsForgotten() {
        submit(FIRST, 0, null);
        submit(SECOND, 1, null);
        start();
        runLastStarted(1);
        d.advance(5_000);
        assertEquals(List.of("text of peek"), startedTexts(), "runs of the first job may still turn up");
        forgetEnded();
        assertEquals(List.of("text of peek", "text of roll"), startedTexts());
    }

    /** Guards against a new owner that reads the second job before the first. */
    @Test
    void jobThatWasAcceptedFirstRunsFirst() {
        submit(SECOND, 1, null);
        submit(FIRST, 0, null);
        start();
        assertEquals(List.of("text of peek"), startedTexts());
    }

    /** Guards against a new owner that takes the runs of one job for those of the other and stops them. */
    @Test
    void jobThatHasBegunKeepsItsId() {
        TaskRecord running = new TaskRecord(0, 0, 0, 1, 0, false, "w1", "");
        submit(FIRST, 0, null);
        submit(SECOND, 1, new JobProgress(JobState.RUNNING, List.of(running), "", 0));
        start();
        d.advance(100);
        d.answerHold("w1", List.of(new RunStatus("a", new TaskId(0, 0, 0), 1, "", 50, -1)), List.of());
        assertTrue(d.port.starts.isEmpty());
        assertTrue(d.port.stops.isEmpty());
    }

    /** Guards against a new owner that starts the second job while runs of the first may still turn up. */
    @Test
    void secondJobWaitsForAFirstThatWasOverBeforeTheTakeOver() {
        submit(SECOND, 1, null);
        d.scheduler.onFinishedJob(FIRST);
        start();
        assertTrue(d.port.starts.isEmpty());
        forgetEnded();
        assertEquals(List.of("text of roll"), startedTexts());
    }

    /** Guards against a late result of the first job that completes the second. */
    @Test
    void resultOfTheFirstJobDoesNotCompleteTheSecond() {
        submit(SECOND, 1, null);
        d.scheduler.onFinishedJob(FIRST);
        d.advance(100);
        RunResult late = new RunResult(1, "a", new TaskId(0, 0, 0), 1, EndKind.DONE, "");
        d.answerHold("w1", List.of(), List.of(late));
        d.advance(100);
        d.completeSaves();
        forgetEnded();
        assertEquals(List.of("text of roll"), startedTexts());
    }

    @Test
    void secondJobRunsAfterTheFirstWasCancelled() {
        submit(FIRST, 0, null);
        submit(SECOND, 1, null);
        d.scheduler.onCancel(FIRST);
        d.advance(50);
        d.completeSaves();
        forgetEnded();
        assertEquals(List.of("text of roll"), startedTexts());
    }

    @Test
    void cancellingTheSecondJobDoesNotAffectTheFirst() {
        submit(FIRST, 0, null);
        submit(SECOND, 1, null);
        d.scheduler.onCancel(SECOND);
        start();
        assertEquals(List.of("text of peek"), startedTexts());
        assertTrue(d.port.stops.isEmpty());
    }
}
