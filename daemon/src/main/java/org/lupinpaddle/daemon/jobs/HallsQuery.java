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
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.lupinpaddle.core.cordon.Cordon;
import org.lupinpaddle.core.job.SchedulerKeys;
import org.lupinpaddle.core.placement.WorkerFacts;
import org.lupinpaddle.daemon.jobs.HallSnapshot.HeldTask;
import org.lupinpaddle.daemon.port.KeyValueStore;
import org.lupinpaddle.daemon.port.PlatformRecords;
import org.lupinpaddle.daemon.port.StoreItem;
import org.lupinpaddle.daemon.port.StoreRange;

/** Reads which data halls are cordoned and which tasks still run in them, and lists them for operators. */
final class HallsQuery {

    private final KeyValueStore store;
    private final PlatformRecords records;
    private final Optional<CordonRecords> cordons;
    private final Set<String> halls;

    /**
     * Creates a query.
     *
     * @param cordons reads the cordons; empty if the deployment has none
     * @param halls all data halls of the deployment; empty if not known
     */
    HallsQuery(KeyValueStore store, PlatformRecords records, Optional<CordonRecords> cordons, Set<String> halls) {
        this.store = store;
        this.records = records;
        this.cordons = cordons;
        this.halls = halls;
    }

    /** Returns the halls with their workers and tasks, or {@link HallSnapshot#NONE} if no hall is cordoned. */
    CompletableFuture<HallSnapshot> ifAnyCordoned(List<StoredJob> jobs) {
        return inForce()
                .thenCompose(c -> c.isEmpty()
                        ? CompletableFuture.completedFuture(HallSnapshot.NONE)
                        : store.range(records.workerPrefix())
                                .thenApply(w -> new HallSnapshot(c, readable(w).values(), jobs)));
    }

    private CompletableFuture<Map<String, Cordon>> inForce() {
        return cordons.map(c -> store.range(c.prefix()).thenApply(r -> c.inForce(r.items())))
                .orElseGet(() -> CompletableFuture.completedFuture(Map.of()));
    }

    private Map<String, WorkerFacts> readable(StoreRange listed) {
        Map<String, WorkerFacts> workers = new HashMap<>();
        for (StoreItem i : listed.items()) {
            records.worker(i).forEach(w -> workers.put(i.key(), w));
        }
        return workers;
    }

    /**
     * Lists the halls: whether each is cordoned, its workers, and the tasks on them by service.
     *
     * @param unreadableJobs the number of job and progress records that cannot be read
     */
    CompletableFuture<List<String>> list(List<StoredJob> jobs, int unreadableJobs) {
        return inForce()
                .thenCompose(c -> store.range(records.workerPrefix())
                        .thenCombine(store.range(SchedulerKeys.MEMBERS), (listed, members) -> {
                            Map<String, WorkerFacts> workers = readable(listed);
                            int unreadable = unreadableJobs + listed.items().size() - workers.size();
                            return lines(new HallSnapshot(c, workers.values(), jobs), owners(members), unreadable);
                        }));
    }

    private List<String> lines(HallSnapshot s, Map<String, String> owners, int unreadable) {
        Set<String> all = new TreeSet<>(halls);
        all.addAll(s.halls());
        List<String> lines = new ArrayList<>();
        if (cordons.isEmpty()) {
            lines.add("this deployment has no cordons");
        }
        all.forEach(h -> lines.add(hall(s, h)));
        List<HeldTask> unlisted = s.tasksOfUnlistedWorkers();
        if (!unlisted.isEmpty()) {
            lines.add("workers that are not listed, in unknown halls  " + tasks(unlisted));
        }
        if (unreadable > 0) {
            lines.add("records that can not be read, and whose tasks are not counted: " + unreadable
                    + "; see job unreadable");
        }
        Set<String> services = new TreeSet<>(owners.keySet());
        services.addAll(s.services());
        services.forEach(n -> lines.add("service " + n + "  owned by " + owners.getOrDefault(n, "nobody")));
        return lines;
    }

    private static String hall(HallSnapshot s, String hall) {
        Cordon c = s.cordons().get(hall);
        int workers = s.workerCount(hall);
        List<HeldTask> tasks = s.tasksIn(hall);
        return "hall " + hall + "  " + (c == null ? "open" : "cordoned at revision " + c.revision()) + "  " + workers
                + (workers == 1 ? " worker" : " workers") + "  " + (tasks.isEmpty() ? "empty" : tasks(tasks));
    }

    private static String tasks(List<HeldTask> tasks) {
        Map<String, List<HeldTask>> byService = tasks.stream()
                .collect(Collectors.groupingBy(t -> t.job().service(), TreeMap::new, Collectors.toList()));
        String services = byService.entrySet().stream()
                .map(e -> e.getKey() + " " + count(e.getValue()))
                .collect(Collectors.joining(", "));
        return tasks.size() + (tasks.size() == 1 ? " task: " : " tasks: ") + services;
    }

    private static String count(List<HeldTask> tasks) {
        long longRunning = tasks.stream().filter(HeldTask::isLongRunning).count();
        return tasks.size() + (longRunning == 0 ? "" : " (" + longRunning + " long-running)");
    }

    /** Returns the entries that own services, by service. */
    private static Map<String, String> owners(StoreRange members) {
        Map<String, String> owners = new TreeMap<>();
        for (StoreItem i : members.items()) {
            SchedulerKeys.dutyOf(i.key())
                    .filter(d -> !d.equals(JobNode.FLEET))
                    .ifPresent(d -> owners.put(d, i.value()));
        }
        return owners;
    }
}
