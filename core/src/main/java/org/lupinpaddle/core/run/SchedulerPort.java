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

import java.util.List;
import org.lupinpaddle.core.job.JobKey;
import org.lupinpaddle.core.job.JobProgress;

/**
 * The operations that a scheduler requires from its host. Each call returns at once; outcomes are passed to the
 * {@link ServiceScheduler} later, on the same thread.
 */
public interface SchedulerPort {

    /** Sends a start; the outcome goes to {@link ServiceScheduler#onStarted}. */
    void start(StartOrder order);

    /** Sends a stop; the outcome goes to {@link ServiceScheduler#onStopped}. */
    void stop(StopOrder order);

    /** Sends a hold; the outcome goes to {@link ServiceScheduler#onHoldAnswered} or {@link ServiceScheduler#onHoldFailed}. */
    void hold(HoldOrder order);

    /** Sets the pace of a run; the outcome goes to {@link ServiceScheduler#onPaced}. */
    void pace(PaceOrder order);

    /**
     * Requests a turn to ask for advice. When it comes, {@link ServiceScheduler#nextAdviceRequest} returns what to ask;
     * the answer goes to {@link ServiceScheduler#onAdvice}.
     */
    void requestAdviceTurn();

    /**
     * Saves progress on condition that this owner still owns the service. The same write replaces the record of each
     * ended job by a small one, since the next owner has to read all records and does not need the full one.
     */
    void save(List<ProgressWrite> batch);

    /** Returns the store revision of the write that acquired the service: the lowest fencing token of this owner. */
    long lowestFence();

    /**
     * Returns the latest store revision at which this entry is known to have owned the service: the highest fencing
     * token that it may use. All tokens from {@link #lowestFence} up to it are above those of earlier owners and below
     * those of later ones, whose acquiring writes have higher revisions.
     */
    long highestFence();

    /** Reports that an evacuated worker is empty; repeated until it is removed from the list. */
    void emptied(String worker);

    /** Reports that another entry now owns the service. */
    void ownershipLost(String evidence);

    /** Reports an event, for the log. */
    void note(SchedulerEvent event);

    /**
     * One record to be saved.
     *
     * @param job the job
     * @param version the version of the job that the record represents
     * @param progress the record
     */
    record ProgressWrite(JobKey job, long version, JobProgress progress) {}
}
