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
package org.lupinpaddle.core.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.lupinpaddle.core.cordon.HallCordons;

/** Tests invariants of the planner for arbitrary fleets, cordons, reports and outcomes of orders. */
class FleetCordonProperties {

    private static final List<String> HALLS = List.of("east", "north", "south");
    private static final List<String> POOLS = List.of("clips", "archive", "spare");

    /**
     * Input that lasts for some steps.
     *
     * @param steps the number of steps
     * @param cordons a bit for each cordoned hall
     * @param needed the number of workers that each service needs
     * @param outcomes the outcomes of orders, in turn
     * @param changed an index of an instance that gets tasks, or crashes if there are none
     * @param tasks the number of tasks
     */
    record Phase(
            int steps,
            int cordons,
            List<Integer> needed,
            List<InstanceOrderOutcome> outcomes,
            int changed,
            int tasks) {}

    /**
     * A fleet with a wave and its history.
     *
     * @param sizes the number of instances of each pool in each hall
     * @param waveStride the distance between instances of the wave
     */
    record History(List<Integer> sizes, int waveStride, int maxDown, int waveMillis, List<Phase> phases) {}

    @Provide
    Arbitrary<History> histories() {
        Arbitrary<Phase> phase = Combinators.combine(
                        Arbitraries.integers().between(1, 30),
                        Arbitraries.integers().between(0, (1 << HALLS.size()) - 1),
                        Arbitraries.integers().between(0, 14).list().ofSize(2),
                        Arbitraries.of(
                                        InstanceOrderOutcome.TAKEN,
                                        InstanceOrderOutcome.TAKEN,
                                        InstanceOrderOutcome.BUSY,
                                        InstanceOrderOutcome.REFUSED,
                                        InstanceOrderOutcome.UNKNOWN)
                                .list()
                                .ofMinSize(1)
                                .ofMaxSize(4),
                        Arbitraries.integers().between(0, 30),
                        Arbitraries.integers().between(0, 3))
                .as(Phase::new);
        return Combinators.combine(
                        Arbitraries.integers().between(0, 4).list().ofSize(HALLS.size() * POOLS.size()),
                        Arbitraries.integers().between(1, 4),
                        Arbitraries.integers().between(1, 3),
                        Arbitraries.integers().between(3_000, 30_000),
                        phase.list().ofMinSize(1).ofMaxSize(12))
                .as(History::new);
    }

    private static SimulatedFleet create(History h) {
        SimulatedFleet fleet = new SimulatedFleet();
        for (int i = 0; i < h.sizes().size(); i++) {
            fleet.add(h.sizes().get(i), POOLS.get(i / HALLS.size()), HALLS.get(i % HALLS.size()));
        }
        List<String> ids = List.copyOf(fleet.instances.keySet());
        fleet.wave(
                h.maxDown(),
                h.waveMillis(),
                IntStream.range(0, ids.size())
                        .filter(i -> i % h.waveStride() == 0)
                        .mapToObj(ids::get)
                        .toList());
        return fleet;
    }

    private static void apply(Phase p, SimulatedFleet fleet) {
        fleet.need("clips", p.needed().get(0));
        fleet.need("archive", p.needed().get(1));
        List<InstanceOrderOutcome> outcomes = new ArrayList<>(p.outcomes());
        fleet.outcomes = () -> {
            InstanceOrderOutcome next = outcomes.remove(0);
            outcomes.add(next);
            return next;
        };
        List<String> ids = List.copyOf(fleet.instances.keySet());
        if (p.changed() < ids.size()) {
            String changed = ids.get(p.changed());
            if (p.tasks() == 0) {
                fleet.crash(changed);
            } else {
                fleet.load(changed, p.tasks());
            }
        }
    }

    private static String[] halls(int bits) {
        return IntStream.range(0, HALLS.size())
                .filter(i -> (bits >> i & 1) == 1)
                .mapToObj(HALLS::get)
                .toArray(String[]::new);
    }

    /** Guards against moves out of or into a pool that a cordon does not stop, and against too much upkeep. */
    @Property(edgeCases = EdgeCasesMode.MIXIN)
    void noMoveStartsInACordonedHallAndUpkeepKeepsItsLimit(@ForAll("histories") History h) {
        SimulatedFleet fleet = create(h);
        for (Phase p : h.phases()) {
            apply(p, fleet);
            fleet.cordon(halls(p.cordons()));
            for (int i = 0; i < p.steps(); i++) {
                fleet.step();
                assertTrue(fleet.inUpkeep.size() <= h.maxDown(), fleet.inUpkeep::toString);
                assertTrue(fleet.count(PlatformInstance.State.UPKEEP) <= h.maxDown());
            }
        }
        assertEquals(List.of(), fleet.movesOfCordonedHalls);
    }

    /** Guards against decisions that change in a deployment without cordons, or while none is in force. */
    @Property(edgeCases = EdgeCasesMode.MIXIN)
    void withoutACordonDecisionsAreThoseOfADeploymentWithoutCordons(@ForAll("histories") History h) {
        SimulatedFleet without = create(h);
        SimulatedFleet with = create(h);
        for (Phase p : h.phases()) {
            apply(p, without);
            apply(p, with);
            with.cordons(p.cordons() % 2 == 0 ? HallCordons.unread(p.tasks()) : HallCordons.of(List.of(), 0, 1));
            without.run(p.steps() * SimulatedFleet.STEP_MILLIS);
            with.run(p.steps() * SimulatedFleet.STEP_MILLIS);
        }
        assertEquals(without.decisions, with.decisions);
        assertEquals(without.orders, with.orders);
    }
}
