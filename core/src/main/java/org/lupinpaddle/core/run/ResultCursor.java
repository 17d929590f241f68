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

import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;

/**
 * The owner's position in the results of one incarnation of a worker, which numbers them from 1: the last processed
 * result, the last durable one, which may be acknowledged, and the first one that the worker has to retain.
 */
final class ResultCursor {

    private static final long NONE_RETAINED = Long.MAX_VALUE;

    // A worker lists 500 results at once: more retained ones than this would hide those of its other tasks.
    private static final int MAX_RETAINED = 400;

    private final TreeMap<Long, PendingResult> pending = new TreeMap<>();
    private long lastProcessed;
    private long lastDurable;
    /** The first result that the worker retains because the records of its job cannot be read. */
    private long firstRetained = NONE_RETAINED;

    private record PendingResult(LiveJob job, long version) {

        boolean isDurable() {
            return job.savedVersion >= version;
        }
    }

    /** Returns the unprocessed results in the order of their numbers. */
    List<RunResult> newResults(HoldResponse answer) {
        return answer.ended().stream()
                .filter(e -> e.number() > lastProcessed)
                .sorted(Comparator.comparingLong(RunResult::number))
                .toList();
    }

    /** Marks a result as processed. Called only afterwards, since a processed result may soon be acknowledged. */
    void markProcessed(long number) {
        lastProcessed = number;
    }

    /** Marks a result as durable once this version of its job has been saved. */
    void awaitDurable(long number, LiveJob job, long version) {
        pending.put(number, new PendingResult(job, version));
    }

    /** Makes the worker retain this result and the following ones until the job can be read. */
    void retain(long number) {
        firstRetained = Math.min(firstRetained, number);
    }

    /** Returns whether the worker retains an unprocessed result. */
    boolean hasRetained() {
        return lastProcessed - firstRetained < MAX_RETAINED && firstRetained != NONE_RETAINED;
    }

    /** Makes retained results be processed again, since their jobs may be known now. */
    void reprocessRetained() {
        if (hasRetained()) {
            lastProcessed = firstRetained - 1;
        }
        firstRetained = NONE_RETAINED;
    }

    /** Returns the number up to which all results are durable, so that the worker may discard them. */
    long lastDurable() {
        advanceDurable();
        return hasRetained() ? Math.min(lastDurable, firstRetained - 1) : lastDurable;
    }

    private void advanceDurable() {
        while (!pending.isEmpty()) {
            var first = pending.firstEntry();
            if (!first.getValue().isDurable()) {
                return;
            }
            lastDurable = first.getKey();
            pending.pollFirstEntry();
        }
        lastDurable = Math.max(lastDurable, lastProcessed);
    }

    boolean hasPending() {
        advanceDurable();
        return !pending.isEmpty();
    }

    @Override
    public String toString() {
        return "ends-taken-in=" + lastProcessed + " may-forget=" + lastDurable();
    }
}
