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
package org.lupinpaddle.core.job;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import com.fasterxml.jackson.databind.annotation.JsonDeserialize;
import org.jspecify.annotations.Nullable;

/**
 * What the store keeps of one task that has been placed at least once. It is written as an array: a job
 * has dozens of them and is written often.
 *
 * @param time which repetition of the job
 * @param step which step
 * @param index which task of the step
 * @param run the number of its newest run
 * @param failures how many runs ended as failed
 * @param done whether it needs no further run
 * @param worker the id of the worker that may hold its newest run; empty when none does
 * @param checkpoint what the newest run had saved; empty for nothing, and once done outside a gang
 * @param crashes how many workers have crashed while they ran it; null from a version that does not count them
 * @param doubtfulCrashes how many more have crashed that may not have begun it; null as above
 * @param workerBornMillis which life of the worker was given the newest run, by the time of its start in milliseconds since
 *     1970; null where that is not known, or no worker holds it
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({
    "time",
    "step",
    "index",
    "run",
    "failures",
    "done",
    "worker",
    "checkpoint",
    "crashes",
    "doubtfulCrashes",
    "workerBornMillis"
})
public record TaskRecord(
        int time,
        int step,
        int index,
        int run,
        int failures,
        boolean done,
        String worker,
        String checkpoint,

        @JsonDeserialize(using = LenientCountDeserializer.class) @Nullable
        Integer crashes,

        @JsonDeserialize(using = LenientCountDeserializer.class) @Nullable
        Integer doubtfulCrashes,

        @JsonDeserialize(using = LenientStartTimeDeserializer.class) @Nullable
        Long workerBornMillis) {

    /** Makes the record of a task under which no worker has crashed. */
    public TaskRecord(
            int time, int step, int index, int run, int failures, boolean done, String worker, String checkpoint) {
        this(time, step, index, run, failures, done, worker, checkpoint, 0, 0, null);
    }

    /** Returns when the life of the worker began that was given the newest run; 0 where nobody can tell. */
    public long knownWorkerStartMillis() {
        return workerBornMillis == null ? 0 : Math.max(0, workerBornMillis);
    }

    /** Makes the record of a task that may have crashed workers, and whose worker's life is not known. */
    public TaskRecord(
            int time,
            int step,
            int index,
            int run,
            int failures,
            boolean done,
            String worker,
            String checkpoint,
            int crashes,
            int doubtfulCrashes) {
        this(time, step, index, run, failures, done, worker, checkpoint, crashes, doubtfulCrashes, null);
    }

    /** Returns how many workers are known to have crashed while they ran it; none where nobody can tell. */
    public int knownCrashes() {
        return known(crashes);
    }

    /** Returns how many more are known to have crashed that may not have begun it; none where nobody can tell. */
    public int knownDoubtfulCrashes() {
        return known(doubtfulCrashes);
    }

    private static int known(@Nullable Integer count) {
        return count == null ? 0 : Math.max(0, count);
    }

    /** Returns whether something else stands where a count of crashes is to stand. */
    @JsonIgnore
    public boolean hasUnreadableCrashes() {
        return (crashes != null && crashes < 0) || (doubtfulCrashes != null && doubtfulCrashes < 0);
    }

    /** Returns whether something else stands where the birth of a worker is to stand. */
    @JsonIgnore
    public boolean hasUnreadableWorkerStart() {
        return workerBornMillis != null && workerBornMillis < 0;
    }

    /** Returns whether all numbers have a meaning. */
    boolean isValid() {
        return time >= 0 && step >= 0 && index >= 0 && run >= 0 && failures >= 0;
    }
}
