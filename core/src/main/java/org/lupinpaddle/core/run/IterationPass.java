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
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Begins the iterations of jobs that are due, and retires those that are completed, so that the memory of an owner
 * depends on the work in progress and not on the work that it has accepted. If there are more tasks than the owner may
 * hold, the most urgent iterations begin first and others wait, or are discarded if none of their tasks has been
 * placed.
 */
final class IterationPass {

    private static final Comparator<Iteration> MOST_URGENT_FIRST = Comparator.<Iteration>comparingInt(
                    i -> i.job.spec.policy().priority())
            .thenComparingLong(i -> i.job.dueMillis(i.time))
            .thenComparing(i -> i.job.spec.key().toString())
            .thenComparingInt(i -> i.time);

    private final ServiceState state;
    /** How many tasks the iterations in progress have. */
    private int tasks;
    /** How many jobs have an iteration that is due and waits until there are fewer tasks. */
    private int jobsWaiting;

    /** An iteration of a job, whether or not it has begun. */
    private record Iteration(LiveJob job, int time) {}

    IterationPass(ServiceState state) {
        this.state = state;
    }

    void run() {
        long wallMillis = state.wallNow();
        PriorityQueue<Iteration> due = new PriorityQueue<>(MOST_URGENT_FIRST);
        tasks = 0;
        for (LiveJob job : state.activeJobs.values()) {
            job.retireCompleted();
            tasks += job.tasksInProgress();
            addDue(job, wallMillis, due);
        }
        PriorityQueue<Iteration> discardable = new PriorityQueue<>(MOST_URGENT_FIRST.reversed());
        if (tasks > state.maxTasks || !fits(due)) {
            discardable.addAll(discardable());
        }
        while (tasks > state.maxTasks && !discardable.isEmpty()) {
            discard(discardable.poll());
        }
        while (!due.isEmpty() && makeRoom(due.peek(), discardable)) {
            Iteration next = due.poll();
            next.job.begin(next.time);
            tasks += next.job.tasksPerIteration();
            addDue(next.job, wallMillis, due);
        }
        jobsWaiting = (int) state.activeJobs.values().stream()
                .filter(j -> j.nextDue(wallMillis) != LiveJob.NONE_DUE)
                .count();
    }

    /** Returns how many tasks the iterations in progress have. */
    int tasks() {
        return tasks;
    }

    /** Returns how many jobs have an iteration that is due and waits until there are fewer tasks. */
    int jobsWaiting() {
        return jobsWaiting;
    }

    private static void addDue(LiveJob job, long wallMillis, PriorityQueue<Iteration> due) {
        int time = job.nextDue(wallMillis);
        if (time != LiveJob.NONE_DUE) {
            due.add(new Iteration(job, time));
        }
    }

    private boolean fits(PriorityQueue<Iteration> due) {
        long added = due.stream().mapToLong(i -> i.job.tasksPerIteration()).sum();
        return tasks + added <= state.maxTasks;
    }

    private List<Iteration> discardable() {
        List<Iteration> all = new ArrayList<>();
        for (LiveJob job : state.activeJobs.values()) {
            for (LiveIteration i : job.iterations()) {
                if (!i.hasBeenPlaced()) {
                    all.add(new Iteration(job, i.time));
                }
            }
        }
        return all;
    }

    /** Discards less urgent iterations until another may begin; returns false if it has to wait. */
    private boolean makeRoom(Iteration next, PriorityQueue<Iteration> discardable) {
        int needed = next.job.tasksPerIteration();
        while (tasks > 0 && tasks + needed > state.maxTasks) {
            Iteration least = discardable.peek();
            if (least == null || MOST_URGENT_FIRST.compare(least, next) <= 0) {
                return false;
            }
            discard(discardable.poll());
        }
        return true;
    }

    private void discard(Iteration i) {
        i.job.discard(i.time);
        tasks -= i.job.tasksPerIteration();
    }
}
