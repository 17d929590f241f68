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
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.common.RecordCodec;
import org.lupinpaddle.core.fleet.PlatformInstance;
import org.lupinpaddle.core.job.SchedulerKeys;
import org.lupinpaddle.core.upkeep.EvacuationRecord;
import org.lupinpaddle.core.upkeep.UpkeepWave;

/**
 * Guards against taking the answer to an old evacuation request for that of a new one. The fleet's owner requests the
 * evacuation of a worker and gets the answer, but the errand is cancelled because the list shows the instance as
 * down. When the instance is up again, the owner makes the same request while its lagging watch still shows the old
 * answer, and the instance was ordered away while tasks ran on it. The log showed {@code errand-begun} and {@code
 * errand-ordered} within one tick, without {@code worker-emptied} between them.
 */
class StaleEvacuationAnswerTest {

    private static final long LIST_MILLIS = 600;

    private final NodeFixture f = new NodeFixture();

    private void listInstance(PlatformInstance.State state) {
        boolean unknown = state == PlatformInstance.State.UNKNOWN;
        PlatformInstance i = new PlatformInstance("m1", "clips", state, "north", "w1");
        f.instances.all = List.of(unknown ? PlatformInstance.unknown("m1") : i);
        f.advance(LIST_MILLIS);
    }

    private String requestFor(String worker) {
        return f.store.value(SchedulerKeys.evacuation("clips", worker));
    }

    private boolean isReportedEmpty(String worker) {
        return RecordCodec.read(requestFor(worker), EvacuationRecord.class)
                .get()
                .empty();
    }

    @Test
    void doesNotAnswerANewRequest() {
        f.startServing("w1");
        listInstance(PlatformInstance.State.UP);
        f.store.set("wave/1", RecordCodec.write(new UpkeepWave(1, List.of("m1"), 60_000, 2)));
        f.advance(200);
        assertFalse(requestFor("w1").isEmpty(), "the evacuation of the worker must be requested");
        listInstance(PlatformInstance.State.UNKNOWN);
        f.endRunOn("w1");
        f.advance(200);
        assertTrue(isReportedEmpty("w1"));
        f.store.mutedPrefix = SchedulerKeys.fleet();
        listInstance(PlatformInstance.State.DOWN);
        assertTrue(requestFor("w1").isEmpty(), "the errand must have ended");
        f.submit("next");
        f.advance(LIST_MILLIS);
        assertEquals(2, f.workers.starts.size(), "a new task must run on the worker");
        listInstance(PlatformInstance.State.UP);
        assertFalse(isReportedEmpty("w1"), "the new request must be unanswered while a task runs");
        f.advance(2 * LIST_MILLIS);
        assertEquals(0, f.instances.orders.size(), "an order would end the running task");
    }
}
