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

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Tests decisions while the reports of the services cannot be read. A pool of 30 workers lost 12 of them to an old
 * report during six seconds in which the store was unreachable, while the demand of its service rose.
 */
class FleetReportsTest {

    /** The age of reports up to which they are confirmed. */
    private static final long MAX_AGE_MILLIS = 3_300;

    private final SimulatedFleet fleet = new SimulatedFleet();

    private void givenPool(int size, int needed) {
        fleet.add(size, "clips", "north");
        fleet.need("clips", needed);
        fleet.step();
    }

    private List<String> droppedInstances() {
        return fleet.decisions.stream()
                .filter(d -> d.detail().endsWith("why=reports-unconfirmed"))
                .map(SimulatedFleet.Decision::instance)
                .toList();
    }

    /** Guards against moves that were begun before the reports became too old, and are completed afterwards. */
    @Test
    void movesOutOfAServicesPoolAreDroppedAndRepeatedOnlyAfterTheDelay() {
        givenPool(10, 7);
        fleet.recordsReadable(false);
        fleet.run(MAX_AGE_MILLIS);
        assertEquals(2, fleet.begun("MOVE:spare").size());
        fleet.run(6_000 - MAX_AGE_MILLIS);
        assertEquals(2, droppedInstances().size());
        assertEquals(Set.of(), fleet.evacuatingWorkers());
        fleet.recordsReadable(true);
        fleet.run(1_500);
        assertEquals(2, fleet.begun("MOVE:spare").size(), "the demand must be lower for the full delay");
        fleet.step();
        assertEquals(4, fleet.begun("MOVE:spare").size());
    }

    /** Guards against a pool that shrinks although its service now needs the instances. */
    @Test
    void noInstanceLeavesThePoolWhenTheDemandRoseMeanwhile() {
        givenPool(30, 29);
        fleet.recordsReadable(false);
        fleet.run(MAX_AGE_MILLIS);
        fleet.planner().onReport("clips", fleet.report("clips", 7));
        fleet.run(3_000);
        fleet.recordsReadable(true);
        fleet.run(5_000);
        assertEquals(List.of(), fleet.begun("MOVE"));
    }

    /** Guards against a service that gives away instances to another one on the basis of an old report. */
    @Test
    void noPoolGivesInstancesToAnotherOne() {
        givenPool(10, 9);
        fleet.add(3, "archive", "north");
        fleet.need("archive", 2);
        fleet.step();
        fleet.recordsReadable(false);
        fleet.run(MAX_AGE_MILLIS);
        fleet.planner().onReport("clips", fleet.report("clips", 4));
        fleet.planner().onReport("archive", fleet.report("archive", 4));
        fleet.run(3_000);
        assertEquals(List.of(), fleet.begun("MOVE"));
        fleet.planner().onReportsConfirmed(fleet.now());
        fleet.step();
        assertEquals(2, fleet.begun("MOVE:archive").size());
    }

    /** Guards against sending an order again that had no effect, after the reports have become too old. */
    @Test
    void aRefusedOrderIsNotRepeated() {
        fleet.outcomes = () -> InstanceOrderOutcome.REFUSED;
        givenPool(4, 2);
        fleet.run(3_000);
        int before = fleet.orders.size();
        assertTrue(before > 0);
        fleet.recordsReadable(false);
        fleet.run(MAX_AGE_MILLIS + SimulatedFleet.STEP_MILLIS);
        int atLimit = fleet.orders.size();
        fleet.run(3_000);
        assertEquals(atLimit, fleet.orders.size());
        assertEquals(1, droppedInstances().size());
    }

    /** Guards against withholding instances that no service uses, and upkeep that has its own deadline. */
    @Test
    void movesOutOfTheHeadroomPoolAndUpkeepContinue() {
        givenPool(2, 1);
        fleet.add(2, "spare", "south");
        fleet.run(1_000);
        fleet.recordsReadable(false);
        fleet.run(MAX_AGE_MILLIS + 1_000);
        fleet.planner().onReport("clips", fleet.report("clips", 2));
        fleet.wave(1, 60_000, List.of("s-spare1"));
        fleet.run(500);
        assertEquals(Set.of("s-spare0 MOVE:clips", "s-spare1 UPKEEP:1"), Set.copyOf(fleet.orders));
        assertEquals(List.of(), droppedInstances());
    }
}
