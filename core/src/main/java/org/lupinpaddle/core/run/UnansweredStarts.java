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

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lupinpaddle.core.job.TaskId;
import org.lupinpaddle.core.placement.WorkerFacts;

/**
 * Starts that were not answered. Each may still be executed late, and a worker that has restarted under its id would
 * accept it, so that a stopped or completed run would start again. Each answering incarnation is therefore told to
 * reject them.
 */
final class UnansweredStarts {

    /** An unanswered order is executed within this time, if at all. */
    private static final long MAX_ORDER_DELAY_MILLIS = 15_000;

    private static final long RESEND_MILLIS = 200;
    private static final long NOT_DUE = Long.MAX_VALUE;

    private final Map<String, Map<Run, Start>> byWorker = new HashMap<>();

    private record Run(String jobId, TaskId task, int run) {

        static Run of(StopOrder o) {
            return new Run(o.jobId(), o.task(), o.run());
        }
    }

    /** The time at which a start was found to be unanswered, and when its worker is next told to reject it. */
    private record Start(long since, long refuseAt) {

        boolean mayArriveAt(long now) {
            return now - since <= MAX_ORDER_DELAY_MILLIS;
        }
    }

    /** Records an unanswered start. A start that its worker no longer has to execute is to be rejected at once. */
    void unanswered(StartOrder o, boolean current, long now) {
        Start s = new Start(now, current ? NOT_DUE : now);
        startsOf(o.worker().id()).put(new Run(o.jobId(), o.task(), o.run()), s);
    }

    /** Handles the first answer of an incarnation, which has to reject all starts but those of its running tasks. */
    void onNewIncarnation(String worker, List<RunStatus> running, long now) {
        Set<Run> runningThere = new HashSet<>();
        running.forEach(r -> runningThere.add(new Run(r.jobId(), r.task(), r.run())));
        startsOf(worker).replaceAll((run, s) -> runningThere.contains(run) ? s : new Start(s.since, now));
    }

    /** Returns the stops that are due; a worker rejects the start of a run that it was told to stop before. */
    List<StopOrder> due(WorkerFacts worker, long now) {
        Map<Run, Start> starts = byWorker.get(worker.id());
        if (starts == null || starts.isEmpty()) {
            return List.of();
        }
        starts.values().removeIf(s -> !s.mayArriveAt(now));
        List<Run> due = starts.entrySet().stream()
                .filter(e -> e.getValue().refuseAt <= now)
                .map(Map.Entry::getKey)
                .toList();
        due.forEach(r -> starts.computeIfPresent(r, (run, s) -> new Start(s.since, now + RESEND_MILLIS)));
        return due.stream()
                .map(r -> new StopOrder(worker, r.jobId, r.task, r.run))
                .toList();
    }

    /** Records that the worker has answered a stop. Its next incarnation has to be told again. */
    void refused(StopOrder o) {
        startsOf(o.worker().id()).computeIfPresent(Run.of(o), (run, s) -> new Start(s.since, NOT_DUE));
    }

    /** Returns until when a start may still reach this worker; {@code now} if there is none. */
    long latestArrival(String worker, long now) {
        return startsOf(worker).values().stream()
                .mapToLong(s -> s.since + MAX_ORDER_DELAY_MILLIS)
                .reduce(now, Math::max);
    }

    private Map<Run, Start> startsOf(String worker) {
        return byWorker.computeIfAbsent(worker, w -> new HashMap<>());
    }

    /** Removes the starts that can no longer arrive. */
    void forgetExpired(long now) {
        byWorker.values().forEach(m -> m.values().removeIf(s -> !s.mayArriveAt(now)));
        byWorker.values().removeIf(Map::isEmpty);
    }
}
