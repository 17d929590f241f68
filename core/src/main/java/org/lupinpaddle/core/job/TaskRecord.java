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
 * The stored state of a task that has been placed at least once. It is serialized as an array to save space, because a
 * job has dozens of these records and is written often.
 *
 * @param time the index of the repetition
 * @param step the index of the step
 * @param index the index of the task within the step
 * @param run the number of the latest run
 * @param failures the number of failed runs
 * @param done whether the task needs no further run: it has been completed, or given up if it is long-running
 * @param worker the id of the worker that may hold the latest run; empty if none does
 * @param checkpoint the checkpoint that the latest run saved; empty if there is none, or if the task is done
 *     and not part of a gang
 * @param crashes the number of workers that crashed while they ran the task; null if written by a version that does
 *     not count them
 * @param doubtfulCrashes the number of further crashed workers that may not have started the task; null as above
 * @param workerBornMillis the start time of the worker process that the latest run was assigned to, in milliseconds
 *     since 1970; null if it is unknown or no worker holds the run
 * @param lateStartUntilMillis until when the worker may execute a start of the latest run that got no answer, in
 *     milliseconds since 1970; null if all starts were answered, or if written by a version that does not record it
 * @param endsByMillis when the latest run ends at the latest unless a later owner reaches its worker, in milliseconds
 *     since 1970; null if the writer had reached the worker, or if written by a version that does not record it
 * @param instance the instance of the worker; null if it is not known, or if written by a version that does not
 *     record it
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
    "workerBornMillis",
    "lateStartUntilMillis",
    "endsByMillis",
    "instance"
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
        Long workerBornMillis,

        @JsonDeserialize(using = LenientStartTimeDeserializer.class) @Nullable
        Long lateStartUntilMillis,

        @JsonDeserialize(using = LenientStartTimeDeserializer.class) @Nullable
        Long endsByMillis,

        @Nullable String instance) {

    /** The time of a start that no worker can execute late. */
    public static final long NEVER = Long.MIN_VALUE;
    /** The time of a start that a worker may execute however late. */
    public static final long ANY_TIME = Long.MAX_VALUE;

    /** Creates the record of a task that has not crashed any worker. */
    public TaskRecord(
            int time, int step, int index, int run, int failures, boolean done, String worker, String checkpoint) {
        this(time, step, index, run, failures, done, worker, checkpoint, 0, 0, null, null, null, null);
    }

    /** Creates the record of a task whose starts have all been answered. */
    public TaskRecord(
            int time,
            int step,
            int index,
            int run,
            int failures,
            boolean done,
            String worker,
            String checkpoint,
            @Nullable Integer crashes,
            @Nullable Integer doubtfulCrashes,
            @Nullable Long workerBornMillis) {
        this(
                time,
                step,
                index,
                run,
                failures,
                done,
                worker,
                checkpoint,
                crashes,
                doubtfulCrashes,
                workerBornMillis,
                null,
                null,
                null);
    }

    /** Returns the start time of the worker process that the latest run was assigned to; 0 if it is unknown. */
    public long knownWorkerStartMillis() {
        return workerBornMillis == null ? 0 : Math.max(0, workerBornMillis);
    }

    /** Creates the record of a task that may have crashed workers; the start time of its worker is unknown. */
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

    /** Returns the number of workers that crashed while they ran the task; 0 if it is unknown. */
    public int knownCrashes() {
        return known(crashes);
    }

    /** Returns the number of further crashed workers that may not have started the task; 0 if it is unknown. */
    public int knownDoubtfulCrashes() {
        return known(doubtfulCrashes);
    }

    /**
     * Returns until when the worker may execute a start of the latest run, in milliseconds since 1970: {@link #NEVER} if
     * all starts were answered, and {@link #ANY_TIME} if the time is unreadable.
     */
    public long knownLateStartUntilMillis() {
        if (lateStartUntilMillis == null) {
            return NEVER;
        }
        return lateStartUntilMillis < 0 ? ANY_TIME : lateStartUntilMillis;
    }

    /**
     * Returns when the latest run ends at the latest, in milliseconds since 1970; {@link #ANY_TIME} if it is unknown.
     */
    public long knownEndsByMillis() {
        return endsByMillis == null || endsByMillis < 0 ? ANY_TIME : endsByMillis;
    }

    /** Returns the instance of the worker; empty if it is not known. */
    public String knownInstance() {
        return instance == null ? "" : instance;
    }

    private static int known(@Nullable Integer count) {
        return count == null ? 0 : Math.max(0, count);
    }

    /** Returns whether a crash count was unreadable. */
    @JsonIgnore
    public boolean hasUnreadableCrashes() {
        return (crashes != null && crashes < 0) || (doubtfulCrashes != null && doubtfulCrashes < 0);
    }

    /** Returns whether the start time of the worker was unreadable. */
    @JsonIgnore
    public boolean hasUnreadableWorkerStart() {
        return workerBornMillis != null && workerBornMillis < 0;
    }

    /** Returns whether all numbers are within their valid ranges. */
    boolean isValid() {
        return time >= 0 && step >= 0 && index >= 0 && run >= 0 && failures >= 0;
    }
}
