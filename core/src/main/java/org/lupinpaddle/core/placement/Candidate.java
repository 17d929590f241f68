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

/** A worker as placement sees it. */
public interface Candidate {

    /** Returns what the worker says of itself. */
    WorkerFacts facts();

    /** Returns the room that nothing takes, what is being stopped counted as taken. */
    Resources free();

    /** Returns whether the worker carries tasks that last. */
    boolean runsLongRunningTask();

    /** Returns whether the worker carries a task under which another worker has crashed. */
    boolean runsSuspectTask();

    /** Returns whether the worker carries nothing. */
    boolean isIdle();

    /** Returns how many tasks of one time of a step the worker carries. */
    int taskCount(StepRepetition step);

    /** Returns whether the run that ended last on the worker ended well; runs that an order has ended do not count. */
    boolean lastRunSucceeded();
}
