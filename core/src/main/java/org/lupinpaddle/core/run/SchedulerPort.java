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
 * What the scheduler of a service asks of its host. Every call returns at once; what became of an order is
 * told to the {@link ServiceScheduler} later, on the same thread.
 */
public interface SchedulerPort {

    /** Sends a start; the outcome goes to {@link ServiceScheduler#onStarted}. */
    void start(StartOrder order);

    /** Sends a stop; the outcome goes to {@link ServiceScheduler#onStopped}. */
    void stop(StopOrder order);

    /** Sends a hold; the outcome goes to {@link ServiceScheduler#onHoldAnswered} or {@link ServiceScheduler#onHoldFailed}. */
    void hold(HoldOrder order);

    /** Sets the share of its speed at which a run works; the outcome goes to {@link ServiceScheduler#onPaced}. */
    void pace(PaceOrder order);

    /** Asks which workers may run a step; the answer goes to {@link ServiceScheduler#onAdvice}. */
    void advise(AdviceRequest order);

    /**
     * Writes progress under the condition that this owner still owns the service. In the same write the record of each
     * job that is over gives way to a small one: a successor has to read all records, and nobody needs that one.
     */
    void save(List<ProgressWrite> batch);

    /** Tells that a worker that was to be emptied carries nothing; told again until it is taken off the list. */
    void emptied(String worker);

    /** Tells that another entry owns the service by now. */
    void ownershipLost(String evidence);

    /** Tells a decision, for the log. */
    void note(SchedulerEvent event);

    /**
     * One record to be written.
     *
     * @param job the job
     * @param version the job's version that the record shows
     * @param progress the record
     */
    record ProgressWrite(JobKey job, long version, JobProgress progress) {}
}
