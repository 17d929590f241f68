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

import static org.junit.jupiter.api.Assertions.assertAll;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.capacity.ServiceReport;
import org.lupinpaddle.core.capacity.WorkerLoad;
import org.lupinpaddle.core.common.RecordCodec;
import org.lupinpaddle.core.fleet.RecentOrders;
import org.lupinpaddle.core.job.JobKey;
import org.lupinpaddle.core.job.JobProgress;
import org.lupinpaddle.core.job.JobSpec;
import org.lupinpaddle.core.job.JobState;
import org.lupinpaddle.core.job.Policy;
import org.lupinpaddle.core.job.Repeat;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.job.TaskRecord;
import org.lupinpaddle.core.placement.Resources;
import org.lupinpaddle.core.upkeep.EvacuationRecord;
import org.lupinpaddle.core.upkeep.UpkeepRecord;
import org.lupinpaddle.core.workspace.QuotaAllocation;
import org.lupinpaddle.daemon.port.StoreItem;

/** Reads this system's own records after another writer has left one odd value in them. */
class OddRecordsTest {

    private static final StepSpec STEP =
            StepSpec.builder(1, new StepSpec.Need(1, 1, 0)).after(List.of()).build();
    static final List<Object> SOUND = List.of(
            new JobSpec(
                    new JobKey("q", "j"),
                    "clips",
                    "x",
                    List.of(
                            STEP,
                            StepSpec.builder(2, new StepSpec.Need(1, 1, 0))
                                    .after(List.of(0))
                                    .build()),
                    new Repeat(2, 1, 1),
                    new Policy(1, 3, 1.5, 800, false),
                    5,
                    "acme"),
            new JobProgress(
                    JobState.RUNNING,
                    List.of(new TaskRecord(0, 0, 0, 1, 0, false, "w1", "cp", 1, 1, 7L)),
                    "",
                    5,
                    "acme"),
            new QuotaAllocation(
                    Map.of("clips", new QuotaAllocation.Grant(new Resources(1, 1, 1), new Resources(1, 1, 1)))),
            new ServiceReport(Map.of("q", 1), 1, 1, 1, List.of(new WorkerLoad("w1", 1, 1, true))),
            new EvacuationRecord("w1", "m1", "upkeep", true, false),
            new UpkeepRecord(List.of("m1"), false, 5L),
            new RecentOrders(Map.of("m1", "e/1"), Map.of("m1", 5L), Map.of("m1", 5L), 5L));

    private final Map<String, Throwable> failures = new LinkedHashMap<>();

    /** Guards against a record whose reader throws, so that the records after it are not read. */
    @Test
    void areReadOrUnreadable() {
        for (Object sound : SOUND) {
            for (String v : OddValues.changed(RecordCodec.write(sound))) {
                try {
                    assertTrue(new StoreItem("k", v, 5, 0).read(sound.getClass()) != null);
                } catch (RuntimeException | StackOverflowError e) {
                    StackTraceElement[] trace = e.getStackTrace();
                    failures.putIfAbsent(
                            e.getClass() + " " + (trace.length == 0 ? "" : trace[0]),
                            new AssertionError(v.substring(0, Math.min(300, v.length())), e));
                }
            }
        }
        assertAll(failures.values().stream().map(f -> () -> {
            throw f;
        }));
    }
}
