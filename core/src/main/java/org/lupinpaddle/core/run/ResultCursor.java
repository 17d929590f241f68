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
 * How far an owner is with the results of one life of a worker, which numbers them from 1: what it has processed, what is durable
 * and may be acknowledged, and what the worker is to retain.
 */
final class ResultCursor {

    private static final long NONE_RETAINED = Long.MAX_VALUE;

    // A worker lists 500 results at once: beyond this, retained ones would hide those of its other tasks.
    private static final int MAX_RETAINED = 400;

    private final TreeMap<Long, PendingResult> pending = new TreeMap<>();
    private long lastProcessed;
    private long lastDurable;
    /** The first result that the worker retains, since it is of a job whose records can not be read. */
    private long firstRetained = NONE_RETAINED;

    private record PendingResult(LiveJob job, long version) {

        boolean isDurable() {
            return job.savedVersion >= version;
        }
    }

    /** Returns the results that have not been processed, in the order of their numbers. */
    List<RunResult> newResults(HoldResponse answer) {
        return answer.ended().stream()
                .filter(e -> e.number() > lastProcessed)
                .sorted(Comparator.comparingLong(RunResult::number))
                .toList();
    }

    /** Takes in that a result has been processed. Not before: what counts as processed may soon be acknowledged. */
    void markProcessed(long number) {
        lastProcessed = number;
    }

    /** Takes in that a result is durable once this version of its job is. */
    void awaitDurable(long number, LiveJob job, long version) {
        pending.put(number, new PendingResult(job, version));
    }

    /** Lets the worker retain a result, and those after it, until its job can be read. */
    void retain(long number) {
        firstRetained = Math.min(firstRetained, number);
    }

    /** Returns whether the worker retains a result that nobody here has processed. */
    boolean hasRetained() {
        return lastProcessed - firstRetained < MAX_RETAINED && firstRetained != NONE_RETAINED;
    }

    /** Processes retained results again: their jobs may be known now. */
    void reprocessRetained() {
        if (hasRetained()) {
            lastProcessed = firstRetained - 1;
        }
        firstRetained = NONE_RETAINED;
    }

    /** Returns the number up to which all results are durable: what the worker may discard. */
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
