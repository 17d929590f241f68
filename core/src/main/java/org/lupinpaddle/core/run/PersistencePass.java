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

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import org.lupinpaddle.core.job.JobProgress;
import org.lupinpaddle.core.job.JobState;

/**
 * Saves the progress of changed jobs in the order of their changes, with several concurrent writes but one at a time
 * per job. A start waits until its placement is durable, so delays here keep workers idle.
 */
final class PersistencePass {

    // A store call takes at most 32 rows: one for ownership, a condition and a value for each record, and one more for
    // each ended job, whose full record is replaced by a small one.
    private static final int ROWS_PER_SAVE = 32;
    private static final int ROWS_FOR_OWNERSHIP = 1;
    private static final int ROWS_PER_RECORD = 2;
    private static final int ROWS_PER_ENDED_JOB = 3;
    // A task takes about 80 bytes, so a write stays below 80 kB, a tenth of a second on the slowest link, unless a
    // single job is larger.
    private static final int MAX_TASKS_PER_SAVE = 1_000;
    private static final int MAX_RECORDS_PER_SAVE = (ROWS_PER_SAVE - ROWS_FOR_OWNERSHIP) / ROWS_PER_RECORD;
    // Each write has a fixed cost, so changes are batched for this long unless there are enough for a full write.
    private static final long BATCH_DELAY_MILLIS = 40;
    // A large service changes about 700 records per second, or 47 full writes. Four concurrent writes are too few if a
    // write takes longer than 85 ms, and a slow store takes 250 ms; sixteen suffice up to 340 ms.
    private static final int MAX_IN_FLIGHT = 16;
    // Limits the load on the store while writes fail.
    private static final int MAX_IN_FLIGHT_FAILING = 4;
    // However fast the store is, one service sends at most 400 writes per second: stores handle 400 to 3,200 for all
    // entries together.
    private static final long WINDOW_MILLIS = 25;
    private static final int MAX_PER_WINDOW = 10;
    // A record that is rejected even without its tasks is not too large, so the write is not repeated constantly.
    private static final long REJECTED_RETRY_MILLIS = 1_000;

    private final ServiceState state;
    private int writesInFlight;
    private long batchReadyAt;
    private long retryAt;
    private long windowStart = Long.MIN_VALUE / 2;
    private int sentInWindow;
    /** Whether the last write was not answered or was rejected. */
    private boolean lastWriteFailed;
    /** Whether batching is off because the owner waits until everything is written. */
    private boolean flushing;

    PersistencePass(ServiceState state) {
        this.state = state;
    }

    void run() {
        long now = state.now();
        if (now - windowStart >= WINDOW_MILLIS) {
            windowStart = now;
            sentInWindow = 0;
        }
        while (mayWrite(now) && (now >= batchReadyAt || shouldWriteNow())) {
            List<SchedulerPort.ProgressWrite> batch = nextBatch();
            if (batch.isEmpty()) {
                return;
            }
            writesInFlight++;
            sentInWindow++;
            batchReadyAt = now + BATCH_DELAY_MILLIS;
            state.port.save(batch);
        }
    }

    private boolean mayWrite(long now) {
        int limit = lastWriteFailed ? MAX_IN_FLIGHT_FAILING : MAX_IN_FLIGHT;
        return now >= retryAt && writesInFlight < limit && sentInWindow < MAX_PER_WINDOW;
    }

    /** Turns batching off: each hand-over then leaves the service without an owner for 40 ms less. */
    void flushImmediately() {
        flushing = true;
    }

    /** Returns whether everything is durable: no change is waiting and no write is in flight. */
    boolean isFullySaved() {
        return writesInFlight == 0 && state.unsaved.isEmpty();
    }

    private boolean shouldWriteNow() {
        return flushing || hasFullBatch();
    }

    private boolean hasFullBatch() {
        return state.unsaved.values().stream()
                        .filter(j -> !j.saveInFlight)
                        .limit(MAX_RECORDS_PER_SAVE)
                        .count()
                == MAX_RECORDS_PER_SAVE;
    }

    /** Takes the changes that have waited longest, as many as fit into one call. */
    private List<SchedulerPort.ProgressWrite> nextBatch() {
        List<SchedulerPort.ProgressWrite> batch = new ArrayList<>();
        int rows = ROWS_FOR_OWNERSHIP;
        int tasks = 0;
        Iterator<LiveJob> pending = state.unsaved.values().iterator();
        while (pending.hasNext()) {
            LiveJob job = pending.next();
            if (job.saveInFlight || (job.savedAlone && !batch.isEmpty())) {
                continue;
            }
            JobProgress progress = job.progress(state.wallNow());
            rows += progress.finished() ? ROWS_PER_ENDED_JOB : ROWS_PER_RECORD;
            tasks += progress.tasks().size();
            if (rows > ROWS_PER_SAVE || (tasks > MAX_TASKS_PER_SAVE && !batch.isEmpty())) {
                return batch;
            }
            batch.add(new SchedulerPort.ProgressWrite(job.spec.key(), job.version, progress));
            job.saveInFlight = true;
            pending.remove();
            if (job.savedAlone) {
                return batch;
            }
        }
        return batch;
    }

    /** Handles records that have been saved. */
    void saved(List<SchedulerPort.ProgressWrite> batch) {
        writesInFlight--;
        lastWriteFailed = false;
        for (SchedulerPort.ProgressWrite s : batch) {
            LiveJob job = state.jobs.get(s.job());
            if (job != null) {
                job.saveInFlight = false;
                job.savedVersion = Math.max(job.savedVersion, s.version());
                state.retireIfOver(job);
            }
        }
    }

    /**
     * Handles a write that the store rejects permanently. Its records are written one by one to find the cause; the
     * job of the offending record ends, since its progress cannot be saved.
     */
    void rejected(List<SchedulerPort.ProgressWrite> batch) {
        writesInFlight--;
        for (SchedulerPort.ProgressWrite s : batch) {
            LiveJob job = state.jobs.get(s.job());
            if (job == null) {
                continue;
            }
            job.saveInFlight = false;
            job.savedAlone = true;
            if (batch.size() > 1) {
                state.unsaved.putIfAbsent(job.spec.key(), job);
            } else {
                handleRejected(job);
            }
        }
    }

    private void handleRejected(LiveJob job) {
        if (job.state.ended()) {
            job.savedWithoutTasks = true;
            state.unsaved.putIfAbsent(job.spec.key(), job);
            retryAt = state.now() + REJECTED_RETRY_MILLIS;
        } else {
            long tasks = job.progress(state.wallNow()).tasks().size();
            state.endJob(job, JobState.FAILED, "the store does not take its record of " + tasks + " tasks");
        }
    }

    /** Handles records that may not be durable; they are written again, not before {@code retryMillis}. */
    void failed(List<SchedulerPort.ProgressWrite> batch, long retryMillis) {
        writesInFlight--;
        lastWriteFailed = retryMillis > 0;
        retryAt = state.now() + retryMillis;
        for (SchedulerPort.ProgressWrite s : batch) {
            LiveJob job = state.jobs.get(s.job());
            if (job != null) {
                job.saveInFlight = false;
                state.unsaved.putIfAbsent(job.spec.key(), job);
            }
        }
    }
}
