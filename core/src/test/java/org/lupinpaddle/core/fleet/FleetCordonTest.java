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
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests pool sizes, moves and upkeep while data halls are cordoned. */
class FleetCordonTest {

    private static final long MIN_STAY_MILLIS = 2_500;
    private static final long SHRINK_AFTER_MILLIS = FleetTiming.defaults(0, 0).shrinkAfterMillis();

    private final SimulatedFleet fleet = new SimulatedFleet();

    /** Four instances of a pool in each hall, of which the pool needs three and the reserve, and spares. */
    private void givenPoolInNorthWithSpares(int northSpares, int southSpares) {
        fleet.add(4, "clips", "north");
        fleet.add(northSpares, "spare", "north");
        fleet.add(southSpares, "spare", "south");
        fleet.need("clips", 3);
    }

    @Nested
    class PoolSizes {

        /** Guards against a pool that is left without usable instances, or refilled from the cordoned hall. */
        @Test
        void areRestoredAtOnceFromTheHeadroomPoolOfOtherHalls() {
            givenPoolInNorthWithSpares(3, 6);
            fleet.step();
            assertEquals(List.of(), fleet.orders);
            fleet.cordon("north");
            fleet.step();
            assertEquals(
                    Set.of("s-spare0 MOVE:clips", "s-spare1 MOVE:clips", "s-spare2 MOVE:clips", "s-spare3 MOVE:clips"),
                    Set.copyOf(fleet.orders));
        }

        /**
         * Guards against instances moving back and forth: a surplus that leaves at once after the lifting, that
         * leaves more than once, or that consists of loaded instances because the replacements have just arrived.
         */
        @Test
        void returnToNormalOnceAfterTheLifting() {
            givenPoolInNorthWithSpares(0, 6);
            for (int i = 0; i < 4; i++) {
                fleet.load("n-clips" + i, 1);
            }
            fleet.run(1_000);
            fleet.cordon("north");
            fleet.run(2_200);
            assertEquals(4, fleet.count("clips", "south"), "all replacements have just arrived");
            fleet.cordon();
            long liftedAt = fleet.now();
            fleet.run(20_000);
            List<SimulatedFleet.Decision> left = fleet.begun("MOVE:spare");
            assertEquals(4, left.size());
            assertTrue(left.stream().allMatch(d -> d.instance().startsWith("s-")), "the others have tasks");
            long arrivedAt = fleet.decisions.stream()
                    .filter(d -> d.kind().equals("errand-ended"))
                    .findFirst()
                    .orElseThrow()
                    .at();
            assertTrue(left.get(0).at() - arrivedAt >= MIN_STAY_MILLIS, left::toString);
            assertTrue(left.get(0).at() - liftedAt >= SHRINK_AFTER_MILLIS, left::toString);
            assertEquals(8, fleet.begun("MOVE").size());
            assertEquals(4, fleet.count("clips", "north"));
        }

        /** Guards against giving away a whole hall at its return because the pool had a surplus before. */
        @Test
        void shrinkOnlyAfterAnotherDelayIfThePoolWasOversizedBeforeTheLifting() {
            fleet.add(4, "clips", "north");
            fleet.add(6, "clips", "south");
            fleet.need("clips", 3);
            fleet.cordon("north");
            fleet.run(SHRINK_AFTER_MILLIS - SimulatedFleet.STEP_MILLIS);
            fleet.cordon();
            fleet.run(SHRINK_AFTER_MILLIS);
            assertEquals(List.of(), fleet.begun("MOVE"));
            fleet.step();
            assertEquals(6, fleet.begun("MOVE:spare").size());
        }

        /** Guards against a replacement that another pool takes as soon as it has arrived. */
        @Test
        void doNotGrowByReplacementsThatHaveJustArrived() {
            givenPoolInNorthWithSpares(0, 4);
            fleet.add(2, "archive", "south");
            fleet.need("archive", 1);
            for (int i = 0; i < 4; i++) {
                fleet.load("n-clips" + i, 1);
            }
            fleet.cordon("north");
            fleet.run(2_200);
            assertEquals(4, fleet.count("clips", "south"));
            fleet.cordon();
            fleet.need("archive", 3);
            fleet.step();
            assertEquals(2, fleet.begun("MOVE:archive").size());
            assertTrue(fleet.begun("MOVE:archive").stream()
                    .allMatch(d -> d.instance().startsWith("n-")));
        }

        /** Guards against losing the surplus of a hall for good because of a short cordon. */
        @Test
        void doNotShrinkByInstancesOfACordonedHall() {
            givenPoolInNorthWithSpares(0, 0);
            fleet.add(2, "archive", "south");
            fleet.need("clips", 0);
            fleet.need("archive", 5);
            fleet.cordon("north");
            fleet.run(10_000);
            assertTrue(
                    fleet.begun("MOVE").stream().noneMatch(d -> d.instance().startsWith("n-")),
                    "neither as a donor nor to save cost");
        }

        /** Guards against shares of instances that nobody can use: the pool in need would get none. */
        @Test
        void areSharesOfTheUsableInstancesOnly() {
            fleet.add(4, "clips", "south");
            fleet.add(4, "archive", "south");
            fleet.add(10, "spare", "north");
            fleet.need("clips", 8);
            fleet.need("archive", 2);
            fleet.cordon("north");
            fleet.run(1_000);
            assertEquals(1, fleet.begun("MOVE:clips").size(), "five of eight to clips, three to archive");
        }

        /** Guards against waiting for instances that arrive in a cordoned hall, by whosever order. */
        @Test
        void doNotCountIncomingInstancesOfACordonedHall() {
            fleet.add(2, "clips", "south");
            fleet.add(2, "spare", "north");
            fleet.add(4, "spare", "south");
            fleet.need("clips", 4);
            fleet.instances.put(
                    "other", new PlatformInstance("other", "clips", PlatformInstance.State.MOVING, "north", ""));
            fleet.cordon("south");
            fleet.step();
            assertEquals(2, fleet.begun("MOVE:clips").size(), "both spares of the other hall");
            fleet.cordon("north");
            fleet.step();
            assertEquals(
                    3,
                    fleet.begun("MOVE:clips").stream()
                            .filter(d -> d.instance().startsWith("s-"))
                            .count(),
                    "two are usable, three arrive in the cordoned hall, and five are wanted");
        }
    }

    @Nested
    class Moves {

        /** Begins the move of an instance of the hall north that runs tasks. */
        private void givenMoveOutOfNorth() {
            givenPoolInNorthWithSpares(0, 0);
            fleet.need("clips", 2);
            fleet.run(SHRINK_AFTER_MILLIS + SimulatedFleet.STEP_MILLIS);
            assertEquals(1, fleet.begun("MOVE:spare").size());
        }

        private List<String> endedWhy() {
            return fleet.decisions.stream()
                    .filter(d -> d.kind().equals("errand-ended"))
                    .map(d -> d.detail().replaceAll(".*why=", ""))
                    .toList();
        }

        private void scriptOutcomes(InstanceOrderOutcome... first) {
            Deque<InstanceOrderOutcome> outcomes = new ArrayDeque<>(List.of(first));
            fleet.outcomes = () -> outcomes.isEmpty() ? InstanceOrderOutcome.TAKEN : outcomes.removeFirst();
        }

        /** Guards against a worker that stays evacuated for a move that will not happen. */
        @Test
        void areDroppedDuringTheEvacuation() {
            givenMoveOutOfNorth();
            fleet.cordon("north");
            fleet.step();
            assertEquals(List.of("hall-cordoned"), endedWhy());
            assertEquals(Set.of(), fleet.evacuatingWorkers());
            fleet.run(5_000);
            assertEquals(List.of(), fleet.orders);
        }

        /** Guards against repeating an order that had no effect. */
        @Test
        void areDroppedAfterARefusedOrder() {
            scriptOutcomes(InstanceOrderOutcome.REFUSED);
            givenMoveOutOfNorth();
            fleet.run(700);
            assertEquals(1, fleet.orders.size());
            fleet.run(SimulatedFleet.STEP_MILLIS);
            fleet.cordon("north");
            fleet.run(5_000);
            assertEquals(List.of("hall-cordoned"), endedWhy());
            assertEquals(1, fleet.orders.size());
        }

        /**
         * Guards against using a worker again whose instance still leaves: an order that got no answer may be
         * carried out late, even if the next one is refused.
         */
        @Test
        void areFinishedAfterAnUnansweredOrder() {
            scriptOutcomes(InstanceOrderOutcome.UNKNOWN, InstanceOrderOutcome.REFUSED);
            givenMoveOutOfNorth();
            fleet.run(800);
            fleet.cordon("north");
            fleet.run(5_000);
            assertEquals(List.of("done"), endedWhy());
            assertEquals(1, fleet.begun("MOVE").size());
            assertEquals(1, fleet.count("spare", "north"));
        }

        /** Guards against moving an instance out again that has arrived in a cordoned hall. */
        @Test
        void areFinishedAfterAnAcceptedOrderAndTheInstanceStays() {
            fleet.add(2, "clips", "south");
            fleet.add(1, "spare", "north");
            fleet.need("clips", 2);
            fleet.step();
            fleet.cordon("north");
            fleet.run(10_000);
            assertEquals(List.of("done"), endedWhy());
            assertEquals(1, fleet.count("clips", "north"));
            assertEquals(1, fleet.orders.size());
        }

        /** Guards against a successor that completes a predecessor's move although nothing was ordered. */
        @Test
        void areDroppedByASuccessor() {
            givenMoveOutOfNorth();
            fleet.cordon("north");
            fleet.changeOwner(Map.of());
            fleet.step();
            assertEquals(List.of("hall-cordoned"), endedWhy());
            assertEquals(Set.of(), fleet.evacuatingWorkers());
        }

        /** Guards against using a worker again while the predecessor's order may still take its instance down. */
        @Test
        void areDroppedByASuccessorOnlyWhenThePredecessorsOrderIsOver() {
            givenMoveOutOfNorth();
            String instance = fleet.begun("MOVE").get(0).instance();
            fleet.cordon("north");
            fleet.changeOwner(Map.of(instance, fleet.now() + 1_000));
            fleet.run(1_000);
            assertEquals(List.of(), endedWhy());
            fleet.step();
            assertEquals(List.of("hall-cordoned"), endedWhy());
            assertEquals(List.of(), fleet.orders);
        }
    }

    @Nested
    class Upkeep {

        /** Guards against taking out busy or usable instances while a hall's instances are of no use. */
        @Test
        void takesIdleInstancesOfACordonedHallRightAfterTheHeadroomPool() {
            fleet.add(2, "clips", "south");
            fleet.add(2, "clips", "north");
            fleet.add(1, "spare", "south");
            fleet.load("n-clips1", 1);
            fleet.need("clips", 9);
            // No instance may move, so that the spare one remains.
            fleet.outcomes = () -> InstanceOrderOutcome.REFUSED;
            fleet.cordon("north");
            fleet.wave(3, 60_000, List.of("n-clips1", "s-clips0", "n-clips0", "s-clips1", "s-spare0"));
            fleet.step();
            assertEquals(
                    List.of("s-spare0", "n-clips0"),
                    fleet.begun("UPKEEP").stream()
                            .map(SimulatedFleet.Decision::instance)
                            .toList(),
                    "the pool needs all other instances");
        }

        /** Guards against taking out usable instances first, because all idle ones are equal. */
        @Test
        void prefersIdleInstancesOfACordonedHallToUsableOnes() {
            fleet.add(8, "clips", "south");
            fleet.add(1, "clips", "north");
            fleet.need("clips", 1);
            fleet.cordon("north");
            fleet.wave(1, 60_000, List.of("s-clips0", "n-clips0"));
            fleet.step();
            assertEquals("n-clips0", fleet.begun("UPKEEP").get(0).instance());
        }

        /** Guards against upkeep that takes the last usable instances, because cordoned ones count as spare. */
        @Test
        void countsNoInstanceOfACordonedHallAsSpare() {
            fleet.add(2, "clips", "south");
            fleet.add(4, "clips", "north");
            fleet.need("clips", 2);
            fleet.cordon("north");
            fleet.wave(3, 60_000, List.of("s-clips0", "s-clips1"));
            fleet.step();
            assertEquals(List.of(), fleet.begun("UPKEEP"));
        }

        /** Guards against a wave that waits for the end of a cordon. */
        @Test
        void ofACordonedHallCompletesInTimeAndWithinItsLimit() {
            fleet.add(6, "clips", "north");
            fleet.add(2, "clips", "south");
            fleet.need("clips", 8);
            for (int i = 0; i < 3; i++) {
                fleet.load("n-clips" + i, 2);
            }
            List<String> north = fleet.instances.keySet().stream()
                    .filter(i -> i.startsWith("n-"))
                    .toList();
            fleet.wave(2, 60_000, north);
            fleet.step();
            fleet.cordon("north");
            for (long end = fleet.now() + 60_000; fleet.now() < end; ) {
                fleet.step();
                assertTrue(fleet.inUpkeep.size() <= 2, fleet.inUpkeep::toString);
            }
            assertEquals(List.of(1L), fleet.completedWaves);
            assertEquals(6, fleet.begun("UPKEEP").size());
        }

        /** Guards against a cordon that withdraws upkeep which is being prepared. */
        @Test
        void isNotDroppedByACordon() {
            givenPoolInNorthWithSpares(0, 0);
            fleet.load("n-clips0", 1);
            fleet.need("clips", 1);
            fleet.wave(1, 60_000, List.of("n-clips0"));
            fleet.step();
            assertEquals(1, fleet.begun("UPKEEP").size());
            fleet.cordon("north");
            fleet.run(6_000);
            assertEquals(List.of("n-clips0 UPKEEP:1"), fleet.orders);
            assertEquals(List.of(1L), fleet.completedWaves);
        }
    }

    /** Guards against a division by zero instances, and against a wave that no pool can spare instances for. */
    @Test
    void withAllHallsCordonedOnlyWavesContinue() {
        givenPoolInNorthWithSpares(1, 3);
        fleet.add(3, "archive", "south");
        fleet.need("archive", 12);
        fleet.cordon("north", "south");
        fleet.wave(2, 30_000, fleet.instances.keySet());
        fleet.run(60_000);
        assertEquals(List.of(), fleet.begun("MOVE"));
        assertEquals(List.of(1L), fleet.completedWaves);
        fleet.cordon();
        fleet.step();
        assertFalse(fleet.begun("MOVE").isEmpty(), "usable at once after the lifting");
    }
}
