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
package org.lupinpaddle.core.placement;

/** A worker that may be chosen for a task. */
public interface Candidate {

    /** Returns the properties that the worker reports. */
    WorkerFacts facts();

    /** Returns the free resources. Tasks that are being stopped still count as using theirs. */
    Resources free();

    /** Returns whether the worker runs a long-running task. */
    boolean runsLongRunningTask();

    /** Returns whether the worker runs a task during which another worker crashed. */
    boolean runsSuspectTask();

    /** Returns whether the worker is cold, so that its runs are slow by an unknown factor. */
    boolean isCold();

    /** Returns whether the worker runs no task. */
    boolean isIdle();

    /** Returns the number of tasks of one step repetition on the worker. */
    int taskCount(StepRepetition step);

    /**
     * Returns whether the last completed run on the worker succeeded. Runs that were stopped by an order are
     * ignored.
     */
    boolean lastRunSucceeded();
}
