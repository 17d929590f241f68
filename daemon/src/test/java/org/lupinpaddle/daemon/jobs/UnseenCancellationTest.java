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
package org.lupinpaddle.daemon.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.job.JobKey;
import org.lupinpaddle.core.job.SchedulerKeys;
import org.lupinpaddle.core.job.StepSpec;

/**
 * Guards against starting a step of a cancelled job after an outage of the store. The cancellation was stored and
 * acknowledged, but the store became unreachable before the owner's watch of the jobs reported it. After the outage
 * the list of workers was confirmed first, and the owner used it to start the next step: the log showed {@code
 * TASK_PLACED} for step 1 about 1 s after the store's return, without a preceding {@code JOB_ENDED}.
 */
class UnseenCancellationTest {

    /** The time after its acknowledgement at which a cancellation is in force. */
    private static final long CANCEL_MILLIS = 3_000;

    private final NodeFixture f = new NodeFixture();

    private void submitTwoSteps(String job) {
        StepSpec.Need need = new StepSpec.Need(1_000, 1, 0);
        f.submit(
                job,
                StepSpec.builder(1, need).build(),
                StepSpec.builder(1, need).after(List.of(0)).build());
    }

    @Test
    void preventsTheStartOfTheNextStep() {
        f.startServing("w1");
        f.listWorker("w2", false);
        submitTwoSteps("two");
        f.advance(500);
        assertEquals(2, f.workers.starts.size());
        f.store.mutedPrefix = SchedulerKeys.inputs("clips");
        f.store.set(SchedulerKeys.cancel("clips", new JobKey("q", "two")), "cancelled");
        f.advance(CANCEL_MILLIS);
        f.endRunOn("w2");
        f.advance(2_000);
        assertEquals(2, f.workers.starts.size(), "the owner cannot know whether the job was cancelled");
    }

    /** The owner waits only until the watch recovers. */
    @Test
    void doesNotBlockOtherJobsOnceTheWatchRecovers() {
        f.startServing("w1");
        f.listWorker("w2", false);
        submitTwoSteps("two");
        f.advance(500);
        f.store.mutedPrefix = SchedulerKeys.inputs("clips");
        f.advance(CANCEL_MILLIS);
        f.endRunOn("w2");
        f.advance(500);
        f.store.mutedPrefix = "";
        f.advance(500);
        assertEquals(3, f.workers.starts.size(), "the second step must run");
    }
}
