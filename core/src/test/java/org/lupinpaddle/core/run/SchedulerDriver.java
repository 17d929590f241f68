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
import java.util.Arrays;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.job.JobKey;
import org.lupinpaddle.core.job.JobProgress;
import org.lupinpaddle.core.job.JobSpec;
import org.lupinpaddle.core.job.Policy;
import org.lupinpaddle.core.job.Repeat;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.placement.Resources;
import org.lupinpaddle.core.placement.WorkerFacts;

/** A scheduler with workers that answer as a test says, on a clock that a test moves. */
final class SchedulerDriver {

    static final long HOLD_MILLIS = 5_000;
    static final long INHERITED_MILLIS = 15_000;
    static final long STOP_MILLIS = 300;
    static final StepSpec.Need NEED = new StepSpec.Need(1_000, 100, 0);
    private static final Resources ROOM = new Resources(4_000, 8_000, 0);

    final FakePort port = new FakePort();
    final ServiceScheduler scheduler;
    long now;
    /** Whether the queue of the jobs to come asks for advice. */
    boolean advised;

    SchedulerDriver() {
        SchedulerTiming timing =
                new SchedulerTiming(HOLD_MILLIS, 1_000, 2_000, 2_700, INHERITED_MILLIS, STOP_MILLIS, 10_000);
        scheduler = new ServiceScheduler("clips", timing, port, () -> now, () -> now);
    }

    static WorkerFacts worker(String id) {
        return new WorkerFacts(id, "clips", "at-" + id, "north", false, 0, ROOM, List.of("rack-" + id));
    }

    /** Returns what the entry of a worker that states its birth says. */
    static WorkerFacts born(String id, long bornMillis) {
        return new WorkerFacts(id, bornMillis, "clips", "at-" + id, "north", false, 0, ROOM, List.of("rack-" + id));
    }

    void workers(String... ids) {
        scheduler.onWorkers(Arrays.stream(ids).map(SchedulerDriver::worker).toList());
        tick();
    }

    void job(String id, StepSpec... steps) {
        job(id, null, steps);
    }

    void job(String id, @Nullable JobProgress progress, StepSpec... steps) {
        take(id, progress, steps);
        tick();
    }

    /** Hands in a job whose steps are run at several times. */
    void timedJob(String id, Repeat repeat, StepSpec... steps) {
        JobKey key = new JobKey("q", id);
        Policy policy = new Policy(0, 3, 1.5, 500, advised);
        scheduler.onJob(new JobSpec(key, "clips", "text", List.of(steps), repeat, policy, now), null);
        tick();
    }

    /** Returns a worker on a rack. */
    static WorkerFacts onRack(String id, String rack) {
        return new WorkerFacts(id, "clips", "at-" + id, "north", false, 0, ROOM, List.of(rack));
    }

    /** Lists these workers and lets each answer. */
    void listed(WorkerFacts... all) {
        scheduler.onWorkers(List.of(all));
        tick();
        for (WorkerFacts w : all) {
            answers(w.id(), List.of(), List.of());
        }
    }

    /** Hands in a job while the list of workers is not confirmed. */
    void jobWithoutNews(String id, StepSpec... steps) {
        take(id, null, steps);
        scheduler.tick();
    }

    private void take(String id, @Nullable JobProgress progress, StepSpec... steps) {
        JobKey key = new JobKey("q", id);
        Policy policy = new Policy(0, 3, 1.5, 500, advised);
        scheduler.onJob(new JobSpec(key, "clips", "text", List.of(steps), Repeat.ONCE, policy, now), progress);
    }

    /** Lets the worker answer its newest hold. */
    void answers(String worker, List<RunningReport> running, List<EndReport> ended) {
        scheduler.onHeld(lastHold(worker), now, new HoldAnswer(100_000 + now, running, ended));
        tick();
    }

    /** Lets the life of a worker that was born then answer its newest hold, by its own clock. */
    void answersAs(
            String worker, long bornMillis, long clockMillis, List<RunningReport> running, List<EndReport> ended) {
        HoldOrder last = lastHold(worker);
        scheduler.onHeld(last, now, new HoldAnswer(bornMillis, clockMillis, running, ended));
        tick();
    }

    /** Returns the newest hold that was sent to a worker. */
    HoldOrder lastHold(String worker) {
        return port.holds.stream()
                .filter(h -> h.worker().id().equals(worker))
                .reduce((a, b) -> b)
                .orElseThrow();
    }

    /** Lets the worker keep silent to its newest hold. */
    void silent(String worker) {
        holdFails(worker, OrderOutcome.UNKNOWN);
    }

    /** Lets another life answer the worker's newest hold: it has crashed or was ended, and is back. */
    void otherLife(String worker) {
        holdFails(worker, OrderOutcome.OTHER_LIFE);
    }

    private void holdFails(String worker, OrderOutcome how) {
        port.holds.stream()
                .filter(h -> h.worker().id().equals(worker))
                .reduce((a, b) -> b)
                .ifPresent(h -> scheduler.onHoldFailed(h, how));
        tick();
    }

    /** Makes durable what the scheduler has asked to be written. */
    void saved() {
        List<List<SchedulerPort.Saving>> all = new ArrayList<>(port.saves);
        port.saves.clear();
        all.forEach(scheduler::onSaved);
        tick();
    }

    void passes(long millis) {
        now += millis;
        tick();
    }

    private void tick() {
        scheduler.onWorkersKnown(now);
        scheduler.tick();
    }

    StartOrder lastStart() {
        return port.starts.get(port.starts.size() - 1);
    }
}
