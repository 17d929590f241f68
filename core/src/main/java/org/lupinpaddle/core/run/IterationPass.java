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
import java.util.PriorityQueue;
import org.jspecify.annotations.Nullable;

/**
 * Begins the iterations of jobs that are due, and retires those that are completed, so that the memory of an owner
 * depends on the work in progress and not on the work that it has accepted. If there are more tasks than the owner may
 * hold, the most urgent iterations begin first and others wait, or are discarded if none of their tasks has been placed.
 * One more begins whenever no task is ready to be placed, so that workers do not stand idle.
 */
final class IterationPass {

    private static final Comparator<Iteration> MOST_URGENT_FIRST = Comparator.<Iteration>comparingInt(
                    i -> i.job.policy.priority())
            .thenComparingLong(i -> i.job.dueMillis(i.time))
            .thenComparing(i -> i.job.spec.key().toString())
            .thenComparingInt(i -> i.time);

    private final ServiceState state;
    /** How many tasks the iterations in progress have, and how many of them could be placed if there were room. */
    private int tasks;

    private int readyTasks;
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
        if (tasks <= state.maxTasks && fits(due)) {
            due.forEach(i -> beginAllDue(i.job, wallMillis));
            jobsWaiting = 0;
        } else {
            beginMostUrgent(due, wallMillis);
        }
    }

    private void beginAllDue(LiveJob job, long wallMillis) {
        for (int time = job.nextDue(wallMillis); time != LiveJob.NONE_DUE; time = job.nextDue(wallMillis)) {
            job.begin(time);
            tasks += job.tasksPerIteration();
        }
    }

    private void beginMostUrgent(PriorityQueue<Iteration> due, long wallMillis) {
        PriorityQueue<Iteration> discardable = new PriorityQueue<>(MOST_URGENT_FIRST.reversed());
        readyTasks = 0;
        for (LiveJob job : state.activeJobs.values()) {
            for (LiveIteration i : job.iterations()) {
                readyTasks += readyTasks(i, wallMillis);
                if (!i.hasBeenPlaced()) {
                    discardable.add(new Iteration(job, i.time));
                }
            }
        }
        while (tasks > state.maxTasks && mayDiscard(discardable.peek(), wallMillis)) {
            discard(discardable.poll(), wallMillis);
        }
        while (!due.isEmpty() && makeRoom(due.peek(), discardable, wallMillis)) {
            Iteration next = due.poll();
            next.job.begin(next.time);
            tasks += next.job.tasksPerIteration();
            readyTasks += readyTasks(next, wallMillis);
            addDue(next.job, wallMillis, due);
        }
        jobsWaiting = (int) state.activeJobs.values().stream()
                .filter(j -> j.nextDue(wallMillis) != LiveJob.NONE_DUE)
                .count();
    }

    private int readyTasks(LiveIteration i, long wallMillis) {
        return state.holdsItsId(i.job)
                ? i.steps.stream()
                        .filter(s -> s.isReady(wallMillis))
                        .mapToInt(LiveStep::waiting)
                        .sum()
                : 0;
    }

    private int readyTasks(Iteration i, long wallMillis) {
        LiveIteration begun = i.job.iteration(i.time);
        return begun == null ? 0 : readyTasks(begun, wallMillis);
    }

    /** Returns whether tasks remain that could be placed if this iteration is discarded. */
    private boolean mayDiscard(@Nullable Iteration i, long wallMillis) {
        return i != null && readyTasks > readyTasks(i, wallMillis);
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
        long added = due.stream().mapToLong(i -> i.job.tasksDueOrLater()).sum();
        return tasks + added <= state.maxTasks;
    }

    /** Discards less urgent iterations until another may begin; returns false if it has to wait. */
    private boolean makeRoom(Iteration next, PriorityQueue<Iteration> discardable, long wallMillis) {
        int needed = next.job.tasksPerIteration();
        while (readyTasks > 0 && tasks + needed > state.maxTasks) {
            Iteration least = discardable.peek();
            if (least == null || MOST_URGENT_FIRST.compare(least, next) <= 0) {
                return false;
            }
            discard(discardable.poll(), wallMillis);
        }
        return true;
    }

    private void discard(Iteration i, long wallMillis) {
        readyTasks -= readyTasks(i, wallMillis);
        i.job.discard(i.time);
        tasks -= i.job.tasksPerIteration();
    }
}
