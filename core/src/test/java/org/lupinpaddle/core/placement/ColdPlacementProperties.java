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

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.lupinpaddle.core.job.JobKey;
import org.lupinpaddle.core.job.StepSpec;

/** Tests which of arbitrary workers is chosen when some of them may be cold. */
class ColdPlacementProperties {

    private static final int CAPACITY = 4_000;
    private static final StepRepetition REPETITION = new StepRepetition(new JobKey("q", "a"), 0, 0);

    /** A worker in an arbitrary state. */
    record Worker(
            WorkerFacts facts,
            Resources free,
            boolean isCold,
            boolean runsLongRunningTask,
            boolean runsSuspectTask,
            boolean isIdle,
            int taskCount,
            boolean lastRunSucceeded)
            implements Candidate {

        @Override
        public int taskCount(StepRepetition step) {
            return taskCount;
        }
    }

    private static Arbitrary<List<Worker>> workers(Arbitrary<Boolean> cold) {
        Arbitrary<Boolean> flag = Arbitraries.of(true, false);
        Arbitrary<Integer> few = Arbitraries.integers().between(0, 2);
        Arbitrary<Worker> one = Combinators.combine(few, few, cold, flag, flag, flag, few)
                .as((rack, used, isCold, runsLong, runsSuspect, succeeded, count) -> {
                    Resources room = new Resources(CAPACITY, CAPACITY, 0);
                    Resources free = new Resources(CAPACITY - used * 1_000, CAPACITY, 0);
                    WorkerFacts facts = new WorkerFacts("", "s", "at", "h", false, 0, room, List.of("r" + rack));
                    return new Worker(facts, free, isCold, runsLong, runsSuspect, used == 0, count, succeeded);
                });
        return one.list().ofMaxSize(8).map(ColdPlacementProperties::withIds);
    }

    private static List<Worker> withIds(List<Worker> all) {
        List<Worker> named = new ArrayList<>();
        for (Worker w : all) {
            WorkerFacts f = w.facts;
            WorkerFacts own = new WorkerFacts(
                    "w" + named.size(), f.service(), f.address(), f.hall(), false, 0, f.capacity(), f.labels());
            named.add(new Worker(
                    own,
                    w.free,
                    w.isCold,
                    w.runsLongRunningTask,
                    w.runsSuspectTask,
                    w.isIdle,
                    w.taskCount,
                    w.lastRunSucceeded));
        }
        return named;
    }

    @Provide
    Arbitrary<List<Worker>> warmWorkers() {
        return workers(Arbitraries.just(false));
    }

    @Provide
    Arbitrary<List<Worker>> anyWorkers() {
        return workers(Arbitraries.of(true, false));
    }

    @Provide
    Arbitrary<PlacementRequest> requests() {
        Arbitrary<Boolean> flag = Arbitraries.of(true, false);
        Arbitrary<Set<String>> avoided = Arbitraries.of("w0", "w1", "w2").set().ofMaxSize(2);
        Arbitrary<Set<String>> domains = Arbitraries.of("h/r0", "h/r1").set().ofMaxSize(1);
        Arbitrary<String> affinity = Arbitraries.of("", "r0", "r1");
        return Combinators.combine(flag, affinity, avoided, flag, domains, Arbitraries.of(Colocation.values()), flag)
                .as((longRunning, rack, workers, exclude, racks, colocation, strict) -> {
                    StepSpec step = StepSpec.builder(1, new StepSpec.Need(1_000, 100, 0))
                            .longRunning(longRunning, 1)
                            .place("", rack)
                            .build();
                    return new PlacementRequest(
                            step, REPETITION, workers, exclude, racks, colocation, strict, exclude && strict);
                });
    }

    /** The preference without regard to cold workers. */
    private static Comparator<Candidate> preferenceAmongWarmWorkers(PlacementRequest r) {
        boolean spreads = r.step().longRunning() || r.colocation() != Colocation.ANY;
        return Comparator.<Candidate>comparingInt(
                        c -> r.avoidWorkers().contains(c.facts().id()) ? 1 : 0)
                .thenComparingInt(c -> r.avoidDomains().contains(c.facts().failureDomain()) ? 1 : 0)
                .thenComparingInt(c -> r.colocation().allows(c) ? 0 : 1)
                .thenComparingInt(c -> c.runsSuspectTask() ? 1 : 0)
                .thenComparingInt(c -> c.facts().hasLabel(r.step().affinityRack()) ? 0 : 1)
                .thenComparingInt(c -> r.step().longRunning() ? c.taskCount(r.repetition()) : 0)
                .thenComparingInt(c -> r.step().longRunning() && !c.runsLongRunningTask() ? 1 : 0)
                .thenComparingLong(
                        c -> (spreads ? 1 : -1) * (CAPACITY - c.free().cpuMillis()))
                .thenComparing(c -> c.facts().id());
    }

    /** Guards against a change of placement where no worker is cold. */
    @Property(edgeCases = EdgeCasesMode.NONE)
    void choiceAmongWarmWorkersIsAsBefore(
            @ForAll("warmWorkers") List<Worker> workers, @ForAll("requests") PlacementRequest request) {
        Optional<Worker> before =
                workers.stream().filter(w -> Placer.isEligible(w, request)).min(preferenceAmongWarmWorkers(request));
        assertEquals(before, Placer.choose(workers, request));
    }

    /**
     * Guards against finite tasks on a cold worker that has a warm equal, and against packing them on one of many cold
     * workers, as on warm ones.
     */
    @Property(edgeCases = EdgeCasesMode.NONE)
    void coldWorkerIsChosenOnlyWithoutAnEqualWarmOneAndTheLeastLoadedFirst(
            @ForAll("anyWorkers") List<Worker> workers, @ForAll("requests") PlacementRequest request) {
        Optional<Worker> chosen = Placer.choose(workers, request);
        if (chosen.isEmpty() || !chosen.get().isCold()) {
            return;
        }
        Comparator<Candidate> byFailures = Comparator.<Candidate>comparingInt(
                        c -> request.avoidWorkers().contains(c.facts().id()) ? 1 : 0)
                .thenComparingInt(c -> request.avoidDomains().contains(c.facts().failureDomain()) ? 1 : 0)
                .thenComparingInt(c -> request.colocation().allows(c) ? 0 : 1)
                .thenComparingInt(c -> c.runsSuspectTask() ? 1 : 0);
        boolean longRunning = request.step().longRunning();
        for (Worker w : workers) {
            if (Placer.isEligible(w, request) && byFailures.compare(w, chosen.get()) == 0) {
                assertTrue(w.isCold, () -> w + " is warm");
                boolean sameRack = w.facts.labels().equals(chosen.get().facts.labels());
                assertTrue(longRunning
                        || !sameRack
                        || w.free.cpuMillis() <= chosen.get().free.cpuMillis());
            }
        }
    }
}
