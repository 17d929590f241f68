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

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;
import java.util.stream.Stream;

/**
 * Workers that have been lost lately. Workers that fail at the same time have a common cause, such as a rack or a network cut,
 * which a task that runs on only some of them can not be.
 */
final class LossLog {

    private static final long KEPT_MILLIS = 20_000;

    private final Deque<Loss> recent = new ArrayDeque<>();

    /**
     * The loss of a worker.
     *
     * @param worker the worker's id
     * @param from when the worker was last known to work, in milliseconds
     * @param to when it was first known not to, in milliseconds
     * @param steps the steps of which it ran a task
     * @param hadSuspect whether other workers had crashed under one of its tasks before
     */
    record Loss(String worker, long from, long to, Set<LiveStep> steps, boolean hadSuspect) {

        /** Describes the loss of a worker that is noticed now, before its tasks are taken off it. */
        static Loss of(LiveWorker w, long now) {
            Set<LiveStep> steps = new HashSet<>();
            w.tasks.forEach(t -> steps.add(t.of));
            return new Loss(w.facts().id(), w.lastResponseAt(), w.failedBy(now), steps, w.runsSuspectTask());
        }

        private boolean mayBeTogetherWith(Loss other) {
            return from <= other.to && other.from <= to;
        }
    }

    void add(Loss loss) {
        recent.removeIf(l -> loss.to - l.to > KEPT_MILLIS);
        recent.addLast(loss);
    }

    /**
     * Returns whether another worker, which ran no task of the step, may have been lost by the same cause.
     *
     * @param workers all workers that are known now: one that has fallen silent counts before it is known to be lost
     */
    boolean hasCauseOutside(Loss loss, LiveStep step, Collection<LiveWorker> workers, long now) {
        Stream<Loss> silent =
                workers.stream().filter(LiveWorker::hasFallenSilent).map(w -> Loss.of(w, now));
        return Stream.concat(recent.stream(), silent)
                .filter(l -> !l.hadSuspect && !l.steps.isEmpty())
                .anyMatch(l -> !l.worker.equals(loss.worker) && !l.steps.contains(step) && l.mayBeTogetherWith(loss));
    }
}
