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
 * The workers lost recently. Workers that fail at the same time have a common cause, such as a rack failure or a
 * network partition, which cannot be a task that ran on only some of them.
 */
final class RecentLosses {

    static final long RETENTION_MILLIS = 20_000;

    private final Deque<Loss> recent = new ArrayDeque<>();

    /**
     * The loss of a worker.
     *
     * @param worker the worker's id
     * @param from when the worker was last known to be alive, in milliseconds
     * @param to when it was first known to have failed, in milliseconds
     * @param steps the steps whose tasks it ran
     * @param hadSuspect whether other workers had crashed while running one of its tasks
     */
    record Loss(String worker, long from, long to, Set<LiveStep> steps, boolean hadSuspect) {

        /** Creates the loss of a worker detected now, before its tasks are removed. */
        static Loss of(LiveWorker w, long now) {
            Set<LiveStep> steps = new HashSet<>();
            w.tasks.forEach(t -> steps.add(t.liveStep));
            return new Loss(w.facts().id(), w.lastResponseAt(), w.failedBy(now), steps, w.runsSuspectTask());
        }

        private boolean overlaps(Loss other) {
            return from <= other.to && other.from <= to;
        }
    }

    void add(Loss loss) {
        recent.removeIf(l -> loss.to - l.to > RETENTION_MILLIS);
        recent.addLast(loss);
    }

    /**
     * Returns whether no further worker can turn out to have been lost at the same time: each has answered since, or
     * shortly before, or is known to be silent by now.
     *
     * @param silentMillis how long a healthy worker may be silent
     */
    static boolean isSettled(Loss loss, Collection<LiveWorker> workers, long silentMillis, long now) {
        return now - loss.to > silentMillis
                || workers.stream()
                        .filter(w -> w.fenced && w.listed && !w.facts().id().equals(loss.worker))
                        .allMatch(w -> w.hasAnsweredAround(loss.to));
    }

    /**
     * Returns whether another worker that ran no task of the step may have been lost by the same cause.
     *
     * @param workers all known workers; one that has become unreachable counts even before it is declared lost
     */
    boolean mayHaveOtherCause(Loss loss, LiveStep step, Collection<LiveWorker> workers, long now) {
        Stream<Loss> silent =
                workers.stream().filter(LiveWorker::hasBecomeUnreachable).map(w -> Loss.of(w, now));
        return Stream.concat(recent.stream(), silent)
                .filter(l -> !l.hadSuspect && !l.steps.isEmpty())
                .anyMatch(l -> !l.worker.equals(loss.worker) && !l.steps.contains(step) && l.overlaps(loss));
    }
}
