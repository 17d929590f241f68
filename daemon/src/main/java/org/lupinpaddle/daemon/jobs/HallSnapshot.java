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
package org.lupinpaddle.daemon.jobs;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.cordon.Cordon;
import org.lupinpaddle.core.job.JobKey;
import org.lupinpaddle.core.job.JobSpec;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.job.TaskRecord;
import org.lupinpaddle.core.placement.Resources;
import org.lupinpaddle.core.placement.WorkerFacts;

/**
 * The cordons, the listed workers and the tasks that they hold, as the store shows them. The records are read one after
 * another, so a task that was placed or has ended in between may be missing or still be shown.
 */
final class HallSnapshot {

    /** Shows no hall and no cordon. */
    static final HallSnapshot NONE = new HallSnapshot(Map.of(), List.of(), List.of());

    private final Map<String, Cordon> cordons;
    private final List<WorkerFacts> workers;
    private final Map<String, List<HeldTask>> heldByWorker = new HashMap<>();

    /**
     * A task that its record assigns to a worker.
     *
     * @param job the task's job
     * @param step the task's step; null if the job's specification is not stored any more
     */
    record HeldTask(
            StoredJob job, TaskRecord task, @Nullable StepSpec step) {

        boolean isLongRunning() {
            return step != null && step.longRunning();
        }

        private boolean isOf(JobKey key, int time, int stepIndex) {
            return job.key().equals(key) && task.time() == time && task.step() == stepIndex;
        }
    }

    /**
     * Creates a snapshot.
     *
     * @param cordons the cordons in force, by hall
     * @param workers the listed workers
     * @param jobs the stored jobs of all services
     */
    HallSnapshot(Map<String, Cordon> cordons, Collection<WorkerFacts> workers, List<StoredJob> jobs) {
        this.cordons = new TreeMap<>(cordons);
        this.workers = List.copyOf(workers);
        for (StoredJob j : jobs) {
            j.progress().tasks().stream()
                    .filter(t -> !t.done() && !t.worker().isEmpty())
                    .forEach(t -> heldByWorker
                            .computeIfAbsent(t.worker(), w -> new ArrayList<>())
                            .add(new HeldTask(j, t, j.stepOf(t))));
        }
    }

    /** Returns the cordons in force, by hall. */
    Map<String, Cordon> cordons() {
        return cordons;
    }

    /** Returns the cordoned halls and those of the listed workers. */
    Set<String> halls() {
        Set<String> all = new TreeSet<>(cordons.keySet());
        workers.forEach(w -> all.add(w.hall()));
        return all;
    }

    /** Returns the services of the listed workers and of the tasks that workers hold. */
    Set<String> services() {
        Set<String> all = new TreeSet<>();
        workers.forEach(w -> all.add(w.service()));
        heldByWorker.values().forEach(l -> l.forEach(t -> all.add(t.job.service())));
        return all;
    }

    /** Returns the number of listed workers of a hall. */
    int workerCount(String hall) {
        return (int) workers.stream().filter(w -> w.hall().equals(hall)).count();
    }

    /** Returns the tasks on the listed workers of a hall. */
    List<HeldTask> tasksIn(String hall) {
        return workers.stream()
                .filter(w -> w.hall().equals(hall))
                .flatMap(w -> heldBy(w.id()).stream())
                .toList();
    }

    /** Returns the tasks on workers that are not listed, so that their halls are not known. */
    List<HeldTask> tasksOfUnlistedWorkers() {
        Set<String> listed = workers.stream().map(WorkerFacts::id).collect(Collectors.toSet());
        return heldByWorker.entrySet().stream()
                .filter(e -> !listed.contains(e.getKey()))
                .flatMap(e -> e.getValue().stream())
                .toList();
    }

    private List<HeldTask> heldBy(String worker) {
        return heldByWorker.getOrDefault(worker, List.of());
    }

    /**
     * Why the cordons alone keep a step from a worker.
     *
     * @param halls the cordoned halls whose workers could run the step
     * @param isListedElsewhere whether a worker outside of the cordoned halls could run it if it were less loaded
     */
    record CordonBlock(Set<String> halls, boolean isListedElsewhere) {}

    /**
     * Returns why the cordons alone keep a step from a worker; null if they do not. That is the case if only workers of
     * cordoned halls have the step's label and its room, or if only they have free room for it.
     *
     * @param time the index of the repetition
     * @param stepIndex the index of the step
     */
    @Nullable
    CordonBlock blockOf(JobSpec job, int time, int stepIndex) {
        StepSpec step = job.steps().get(stepIndex);
        long required = step.gang() ? step.count() : 1;
        Function<WorkerFacts, Long> total = w -> limited(w.capacity().countOf(Resources.of(step)), 0, step);
        if (isBlocked(job.service(), step, required, total)) {
            return new CordonBlock(cordonedHalls(job.service(), step, total), false);
        }
        Function<WorkerFacts, Long> free = w -> limited(
                free(w).countOf(Resources.of(step)),
                heldBy(w.id()).stream()
                        .filter(t -> t.isOf(job.key(), time, stepIndex))
                        .count(),
                step);
        return isBlocked(job.service(), step, required, free)
                ? new CordonBlock(cordonedHalls(job.service(), step, free), true)
                : null;
    }

    private static long limited(long room, long held, StepSpec step) {
        return step.perWorkerMost() == 0 ? room : Math.min(room, Math.max(0, step.perWorkerMost() - held));
    }

    private boolean isBlocked(String service, StepSpec step, long required, Function<WorkerFacts, Long> room) {
        long inside = 0;
        long outside = 0;
        for (WorkerFacts w : workers) {
            if (!isEligible(w, service, step)) {
                continue;
            }
            if (cordons.containsKey(w.hall())) {
                inside += room.apply(w);
            } else {
                outside += room.apply(w);
            }
        }
        return inside > 0 && outside < required && inside + outside >= required;
    }

    private Set<String> cordonedHalls(String service, StepSpec step, Function<WorkerFacts, Long> room) {
        return workers.stream()
                .filter(w -> cordons.containsKey(w.hall()) && isEligible(w, service, step) && room.apply(w) > 0)
                .map(WorkerFacts::hall)
                .collect(Collectors.toCollection(TreeSet::new));
    }

    private static boolean isEligible(WorkerFacts w, String service, StepSpec step) {
        return w.service().equals(service) && !w.draining() && w.hasLabel(step.label());
    }

    private Resources free(WorkerFacts w) {
        Resources free = w.capacity();
        for (HeldTask t : heldBy(w.id())) {
            free = t.step == null ? free : free.minus(Resources.of(t.step));
        }
        return free;
    }
}
