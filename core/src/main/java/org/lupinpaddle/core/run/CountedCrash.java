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

/** The loss of a worker that counts against a task which ran on it, or may have. */
final class CountedCrash {

    /** How much the loss of a worker counts against a task. */
    private enum Weight {
        CERTAIN {
            @Override
            void add(LiveTask t, int n) {
                t.crashes += n;
            }
        },
        DOUBTFUL {
            @Override
            void add(LiveTask t, int n) {
                t.doubtfulCrashes += n;
            }
        },
        /** Counts only towards the limit that holds whatever the reasons seem to be. */
        EXPLAINED {
            @Override
            void add(LiveTask t, int n) {
                t.explainedLosses += n;
            }
        };

        abstract void add(LiveTask t, int n);
    }

    final LiveTask task;
    final RecentLosses.Loss loss;
    private Weight weight;
    private boolean settled;

    /**
     * Creates a crash that does not count yet.
     *
     * @param wasRunning whether the task is known to have been running when the worker was lost
     * @param explained whether the loss may have another cause
     */
    CountedCrash(LiveTask task, RecentLosses.Loss loss, boolean wasRunning, boolean explained) {
        this.task = task;
        this.loss = loss;
        Weight unexplained = wasRunning ? Weight.CERTAIN : Weight.DOUBTFUL;
        this.weight = explained ? Weight.EXPLAINED : unexplained;
    }

    /** Adds the crash to the counts of its task. */
    void count() {
        add(1);
    }

    /** Returns whether another cause would make a difference. */
    boolean isExplainable() {
        return weight != Weight.EXPLAINED;
    }

    /** Counts the crash as a loss with another cause from now on. */
    void explain() {
        add(-1);
        weight = Weight.EXPLAINED;
        add(1);
    }

    boolean isCertain() {
        return weight == Weight.CERTAIN;
    }

    /** Returns whether no further loss at the same time can turn up. */
    boolean isSettled() {
        return settled;
    }

    void settle() {
        add(-1);
        settled = true;
        add(1);
    }

    private void add(int n) {
        weight.add(task, n);
        if (isCertain() && !settled) {
            task.unsettledCrashes += n;
        }
    }
}
