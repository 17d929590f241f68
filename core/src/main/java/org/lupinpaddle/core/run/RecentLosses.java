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
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The workers lost recently. Workers that fail at the same time have a common cause, such as a rack failure or a
 * network partition, which cannot be a task that ran on only some of them.
 */
final class RecentLosses {

    static final long RETENTION_MILLIS = 20_000;

    // A single idle worker of another failure domain may be lost at the same time by coincidence.
    private static final int MIN_IDLE_LOSSES = 2;

    private final Deque<Loss> recent = new ArrayDeque<>();

    /**
     * The loss of a worker.
     *
     * @param worker the worker's id
     * @param domain its failure domain
     * @param from when the worker was last known to be alive, in milliseconds
     * @param to when it was first known to have failed, in milliseconds
     * @param steps the steps whose tasks it ran
     * @param hadSuspect whether other workers had crashed while running one of its tasks, for no other
     *     apparent reason
     * @param proven whether the worker itself is known to have ended
     * @param expected whether it was about to be taken away
     */
    record Loss(
            String worker,
            String domain,
            long from,
            long to,
            Set<LiveStep> steps,
            boolean hadSuspect,
            boolean proven,
            boolean expected) {

        /** Creates the loss of a worker detected now, before its tasks are removed. */
        static Loss of(LiveWorker w, boolean proven, long now) {
            // A task that was not sent there cannot have crashed it.
            List<LiveTask> sent = w.tasks.stream()
                    .filter(t -> t.phase != LiveTask.Phase.PLACED)
                    .toList();
            Set<LiveStep> steps = sent.stream().map(t -> t.liveStep).collect(Collectors.toSet());
            return new Loss(
                    w.facts().id(),
                    w.facts().failureDomain(),
                    w.lastResponseAt(),
                    w.failedBy(now),
                    steps,
                    sent.stream().anyMatch(LiveTask::mayHaveCrashedWorkers),
                    proven,
                    w.isRemovalExpected());
        }

        /** Creates the loss of a worker at an unknown time before now, of which nothing else is known. */
        static Loss unobserved(String worker, long now) {
            return new Loss(worker, "", LiveWorker.NEVER, now, Set.of(), false, true, true);
        }

        /** Returns whether the worker ran tasks, none of the step and none that is suspected itself. */
        private boolean ranOnlyOtherTasks(LiveStep step) {
            return !hadSuspect && !steps.isEmpty() && !steps.contains(step);
        }

        private boolean overlaps(Loss other) {
            return from <= other.to && other.from <= to;
        }

        /** Returns whether this owner knows the worker to have been alive before. */
        private boolean isTimed() {
            return from > LiveWorker.NEVER;
        }

        /** Returns whether the worker ended at a known time, which nobody had planned. */
        private boolean isUnplanned() {
            return proven && !expected && isTimed();
        }
    }

    void add(Loss loss) {
        recent.removeIf(l -> loss.to - l.to > RETENTION_MILLIS);
        recent.addLast(loss);
    }

    /**
     * Returns whether no further worker can turn out to have been lost at the same time: each has answered since, or
     * shortly before, or has been silent for so long that it counts as unreachable.
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
     * Returns whether workers that ran no task of the step were lost at the same time, so that all of them may have
     * been lost by the same cause. A loss at an unknown time may have occurred together with any other.
     *
     * @param workers all known workers; one that has become unreachable counts even before it is declared lost
     */
    boolean mayHaveOtherCause(Loss loss, LiveStep step, Collection<LiveWorker> workers, long now) {
        Stream<Loss> silent =
                workers.stream().filter(LiveWorker::hasBecomeUnreachable).map(w -> Loss.of(w, false, now));
        List<Loss> simultaneous = Stream.concat(recent.stream(), silent)
                .filter(l -> !l.worker.equals(loss.worker) && l.overlaps(loss))
                .toList();
        return simultaneous.stream().anyMatch(l -> l.ranOnlyOtherTasks(step))
                || (loss.isTimed() && isExplainedByIdle(simultaneous, loss.domain));
    }

    /** Returns whether idle workers were lost that nobody had planned to take away. */
    private static boolean isExplainedByIdle(List<Loss> simultaneous, String domain) {
        List<Loss> idle = simultaneous.stream()
                .filter(l -> l.isUnplanned() && l.steps.isEmpty())
                .toList();
        return idle.stream().anyMatch(l -> l.domain.equals(domain))
                || idle.stream().map(Loss::worker).distinct().count() >= MIN_IDLE_LOSSES;
    }
}
