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
 * Writes the progress of jobs that have changed: whoever has waited longest first, several writes at a time, and of one
 * job one at a time. A start waits until its choice of worker is durable, so what waits here keeps workers idle.
 */
final class PersistencePass {

    // A store call takes at most 32 rows: one for ownership; a condition and a value for each record; and one more
    // for each job that is over, whose own record gives way to a small one.
    private static final int ROWS_PER_SAVE = 32;
    private static final int ROWS_FOR_OWNERSHIP = 1;
    private static final int ROWS_PER_RECORD = 2;
    private static final int ROWS_PER_ENDED_JOB = 3;
    // A task's entry takes some 80 bytes: a write stays under 80 kB, a tenth of a second of the thinnest link, unless
    // one job alone is larger.
    private static final int MAX_TASKS_PER_SAVE = 1_000;
    private static final int MAX_RECORDS_PER_SAVE = (ROWS_PER_SAVE - ROWS_FOR_OWNERSHIP) / ROWS_PER_RECORD;
    // Each write has its price; what gathers meanwhile goes into one, unless there is enough for a whole one.
    private static final long BATCH_DELAY_MILLIS = 40;
    // A large service changes some 700 records a second, 47 full writes: four at a time are too few as soon as a write
    // takes longer than 85 ms, and a slow store takes 250 ms; sixteen are enough until 340 ms.
    private static final int MAX_IN_FLIGHT = 16;
    // While writes fail the store is not to be asked for more.
    private static final int MAX_IN_FLIGHT_FAILING = 4;
    // However fast the store answers, one service sends no more than 400 writes a second: stores take 400 to 3,200 of
    // all entries together.
    private static final long WINDOW_MILLIS = 25;
    private static final int MAX_PER_WINDOW = 10;
    // What is refused without its tasks is refused for another reason than its size: it is not asked for all the time.
    private static final long REJECTED_RETRY_MILLIS = 1_000;

    private final ServiceState state;
    private int writesInFlight;
    private long batchReadyAt;
    private long retryAt;
    private long windowStart = Long.MIN_VALUE / 2;
    private int sentInWindow;
    /** Whether the write that ended last got no answer, or was refused. */
    private boolean failing;
    /** Whether nothing more is gathered: its owner waits until all is written. */
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
        int limit = failing ? MAX_IN_FLIGHT_FAILING : MAX_IN_FLIGHT;
        return now >= retryAt && writesInFlight < limit && sentInWindow < MAX_PER_WINDOW;
    }

    /** Writes what has gathered at once from now on: 40 ms less that a service is without an owner at each hand-over. */
    void flushImmediately() {
        flushing = true;
    }

    /** Returns whether everything is durable: nothing waits to be written, and no write waits for its answer. */
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

    /** Takes what has waited longest, as much as fits into one call. */
    private List<SchedulerPort.ProgressWrite> nextBatch() {
        List<SchedulerPort.ProgressWrite> batch = new ArrayList<>();
        int rows = ROWS_FOR_OWNERSHIP;
        int tasks = 0;
        Iterator<LiveJob> waiting = state.unsaved.values().iterator();
        while (waiting.hasNext()) {
            LiveJob job = waiting.next();
            if (job.saveInFlight || (job.savedAlone && !batch.isEmpty())) {
                continue;
            }
            JobProgress progress = job.progress(state.wallNow());
            rows += progress.over() ? ROWS_PER_ENDED_JOB : ROWS_PER_RECORD;
            tasks += progress.tasks().size();
            if (rows > ROWS_PER_SAVE || (tasks > MAX_TASKS_PER_SAVE && !batch.isEmpty())) {
                return batch;
            }
            batch.add(new SchedulerPort.ProgressWrite(job.spec.key(), job.version, progress));
            job.saveInFlight = true;
            waiting.remove();
            if (job.savedAlone) {
                return batch;
            }
        }
        return batch;
    }

    /** Takes in that records are durable. */
    void saved(List<SchedulerPort.ProgressWrite> batch) {
        writesInFlight--;
        failing = false;
        for (SchedulerPort.ProgressWrite s : batch) {
            LiveJob job = state.jobs.get(s.job());
            if (job != null) {
                job.saveInFlight = false;
                job.savedVersion = Math.max(job.savedVersion, s.version());
            }
        }
    }

    /**
     * Takes in that the store will never take a write. Its records are written one by one, so that it shows which of
     * them it is; that one's job ends, since nothing of it could be kept.
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
            state.endJob(job, JobState.FAILED, "the store does not take its record of " + job.tasks.size() + " tasks");
        }
    }

    /** Takes in that records may not be durable; they are written again, none before so long. */
    void failed(List<SchedulerPort.ProgressWrite> batch, long retryMillis) {
        writesInFlight--;
        failing = retryMillis > 0;
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
