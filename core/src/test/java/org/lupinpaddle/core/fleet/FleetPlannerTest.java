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

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.capacity.ServiceReport;
import org.lupinpaddle.core.capacity.WorkerLoad;
import org.lupinpaddle.core.common.Unreadable;
import org.lupinpaddle.core.queue.ServiceConfig;
import org.lupinpaddle.core.upkeep.EvacuationRecord;
import org.lupinpaddle.core.upkeep.UpkeepRecord;
import org.lupinpaddle.core.upkeep.UpkeepWave;

class FleetPlannerTest {

    private static final long UPKEEP_MILLIS = 2_000;

    private final FakeFleetPort port = new FakeFleetPort();
    private long now;
    private final FleetPlanner planner =
            new FleetPlanner(new FleetTiming(UPKEEP_MILLIS, 0, 1_000, 2, 1), port, () -> now, this::wallMillis);

    /** The wall clock continues across a change of owner. */
    private long wallMillis() {
        return 1_700_000_000_000L + now;
    }

    private FleetPlanner successor() {
        return new FleetPlanner(new FleetTiming(UPKEEP_MILLIS, 4_000, 1_000, 2, 1), port, () -> now, this::wallMillis);
    }

    private static PlatformInstance up(String id, String pool, String worker) {
        return new PlatformInstance(id, pool, PlatformInstance.State.UP, "north", worker);
    }

    private void givenFleet(int needed, PlatformInstance... all) {
        planner.onPredecessorOrders(Map.of());
        planner.onServices(List.of(new ServiceConfig("clips", false, true), new ServiceConfig("spare", true, true)));
        planner.onInstances(InstanceList.of(List.of(all)));
        List<WorkerLoad> loads = new ArrayList<>();
        for (PlatformInstance i : all) {
            loads.add(new WorkerLoad(i.worker(), 0, i.worker().equals("w1") ? 3 : 0, true));
        }
        planner.onReport("clips", new ServiceReport(Map.of(), needed, needed, 0, loads));
    }

    private void advanceClock(long millis) {
        now += millis;
        planner.tick();
    }

    private void completeEvacuation(String worker, String instance, InstanceOperation e) {
        planner.onEvacuations(Map.of(new EvacuationRecord(worker, instance, e.toString(), false, true), "clips"));
        planner.tick();
    }

    @Nested
    class Upkeep {

        private final InstanceOperation operation = InstanceOperation.upkeep(1);

        @Test
        void isOrderedOnlyWhenTheWorkerIsEmpty() {
            givenFleet(1, up("m1", "clips", "w1"), up("m2", "clips", "w2"));
            planner.onWaves(List.of(new UpkeepWave(1, List.of("m2"), 20_000, 1)));
            advanceClock(0);
            assertTrue(port.orders.isEmpty());
            completeEvacuation("w2", "m2", operation);
            assertEquals(List.of("m2 UPKEEP:1"), port.orders);
        }

        /**
         * Guards against losing a worker 0.3 s after it started, together with its new tasks: its instance had
         * crashed after the evacuation of the previous worker, and the order was repeated until the instance was
         * back.
         */
        @Test
        void isNotOrderedForAWorkerThatStartedAfterTheInstanceWentDown() {
            givenFleet(1, up("m1", "clips", "w1"), up("m2", "clips", "w2"));
            planner.onWaves(List.of(new UpkeepWave(1, List.of("m2"), 20_000, 1)));
            advanceClock(0);
            completeEvacuation("w2", "m2", operation);
            planner.onOrderOutcome("m2", operation, InstanceOrderOutcome.BUSY);
            PlatformInstance down = new PlatformInstance("m2", "clips", PlatformInstance.State.DOWN, "north", "");
            planner.onInstances(InstanceList.of(List.of(up("m1", "clips", "w1"), down)));
            advanceClock(1_000);
            advanceClock(1_000);
            assertEquals(List.of("m2 UPKEEP:1"), port.orders, "the next worker has not been evacuated");
        }

        @Test
        void countsAsDownUntilTheUpkeepTimeHasPassed() {
            givenFleet(1, up("m1", "clips", "w1"), up("m2", "clips", "w2"));
            planner.onWaves(List.of(new UpkeepWave(1, List.of("m1", "m2"), 20_000, 1)));
            advanceClock(0);
            completeEvacuation("w2", "m2", operation);
            planner.onOrderOutcome("m2", operation, InstanceOrderOutcome.TAKEN);
            planner.onInstances(InstanceList.of(List.of(up("m1", "clips", "w1"), up("m2", "clips", "w3"))));
            advanceClock(UPKEEP_MILLIS - 1);
            assertEquals(
                    1, port.evacuationRequests.size(), "the list may show a worker that started before the upkeep");
            advanceClock(2);
            assertEquals(2, port.evacuationRequests.size());
        }

        @Test
        void startsWithInstancesThatRunNothing() {
            givenFleet(3, up("m1", "clips", "w1"), up("m2", "clips", "w2"), up("m3", "spare", ""));
            planner.onWaves(List.of(new UpkeepWave(1, List.of("m1", "m2", "m3"), 20_000, 1)));
            advanceClock(0);
            assertEquals(List.of("m3 UPKEEP:1"), port.orders);
        }

        @Test
        void waitsWhileThePoolNeedsAllInstancesAndTheWaveIsOnSchedule() {
            givenFleet(2, up("m1", "clips", "w1"), up("m2", "clips", "w2"));
            planner.onWaves(List.of(new UpkeepWave(1, List.of("m2"), 20_000, 1)));
            advanceClock(0);
            assertTrue(port.evacuationRequests.isEmpty(), "the pool needs both instances");
            advanceClock(15_000);
            assertEquals(
                    1, port.evacuationRequests.size(), "the wave must meet its deadline even if its pools are busy");
        }

        @Test
        void usesTheFullConcurrencyLimitWhenTheWaveIsOverdue() {
            givenFleet(
                    4,
                    up("m1", "clips", "w1"),
                    up("m2", "clips", "w2"),
                    up("m3", "clips", "w3"),
                    up("m4", "clips", "w4"));
            planner.onWaves(List.of(new UpkeepWave(1, List.of("m2", "m3", "m4"), 20_000, 2)));
            advanceClock(0);
            advanceClock(10_000);
            assertEquals(1, port.evacuationRequests.size(), "behind schedule, a busy pool gives up one at a time");
            advanceClock(4_500);
            assertEquals(2, port.evacuationRequests.size(), "overdue, the concurrency limit applies");
        }

        @Test
        void recordsWhenTheWaveWasFirstSeen() {
            givenFleet(1, up("m1", "clips", "w1"), up("m2", "clips", "w2"));
            planner.onWaves(List.of(new UpkeepWave(1, List.of("m2"), 20_000, 1)));
            advanceClock(0);
            long first = wallMillis();
            completeEvacuation("w2", "m2", operation);
            advanceClock(300);
            planner.onOrderOutcome("m2", operation, InstanceOrderOutcome.TAKEN);
            assertEquals(
                    List.of(new UpkeepRecord(List.of(), false, first), new UpkeepRecord(List.of("m2"), false, first)),
                    port.upkeepRecords);
        }

        @Test
        void isNotOrderedWhenAnotherWorkerRunsOnTheInstance() {
            givenFleet(1, up("m1", "clips", "w1"), up("m2", "clips", "w2"));
            planner.onWaves(List.of(new UpkeepWave(1, List.of("m2"), 20_000, 1)));
            advanceClock(0);
            completeEvacuation("w2", "m2", operation);
            planner.onOrderOutcome("m2", operation, InstanceOrderOutcome.BUSY);
            planner.onInstances(InstanceList.of(List.of(up("m1", "clips", "w1"), up("m2", "clips", "w9"))));
            int before = port.orders.size();
            advanceClock(1_000);
            assertEquals(before, port.orders.size());
        }

        @Test
        void ofAllInstancesCompletesTheWave() {
            givenFleet(1, up("m1", "clips", "w1"), up("m2", "clips", "w2"));
            planner.onUpkeep(1, new UpkeepRecord(List.of("m1", "m2"), false, wallMillis()));
            planner.onWaves(List.of(new UpkeepWave(1, List.of("m1", "m2"), 20_000, 1)));
            advanceClock(0);
            assertEquals(List.of(1L), port.completedWaves);
        }
    }

    @Nested
    class AnOrderForAnEvacuatedWorkerThatFindsTheInstanceBusy {

        private static final long LIST_LAG_MILLIS = 2_500;

        private final InstanceOperation operation = InstanceOperation.upkeep(1);

        private void orderUpkeep() {
            givenFleet(1, up("m1", "clips", "w1"), up("m2", "clips", "w2"));
            planner.onWaves(List.of(new UpkeepWave(1, List.of("m2"), 20_000, 1)));
            advanceClock(0);
            completeEvacuation("w2", "m2", operation);
            assertEquals(List.of("m2 UPKEEP:1"), port.orders);
        }

        private void show(PlatformInstance.State state, String worker) {
            PlatformInstance shown = new PlatformInstance("m2", "clips", state, "north", worker);
            planner.onInstances(InstanceList.of(List.of(up("m1", "clips", "w1"), shown)));
        }

        /** Lets time pass while the list shows m2 with the given state and worker. */
        private void pass(long millis, PlatformInstance.State state, String worker) {
            for (long t = 0; t < millis; t += 100) {
                show(state, worker);
                advanceClock(100);
            }
        }

        private void leaveUnanswered() {
            planner.onOrderOutcome("m2", operation, InstanceOrderOutcome.UNKNOWN);
            advanceClock(300);
            assertEquals(2, port.orders.size());
            planner.onOrderOutcome("m2", operation, InstanceOrderOutcome.BUSY);
        }

        /** Guards against taking out the next worker, which is up but not listed yet, together with its tasks. */
        @Test
        void isNotRepeatedAgainstTheNextWorker() {
            orderUpkeep();
            planner.onOrderOutcome("m2", operation, InstanceOrderOutcome.BUSY);
            assertEquals(List.of("w2"), port.releasedWorkers);
            pass(LIST_LAG_MILLIS, PlatformInstance.State.UP, "w2");
            assertEquals(List.of("m2 UPKEEP:1"), port.orders);
            assertEquals(1, port.evacuationRequests.size(), "w2 may be gone");
        }

        /** Guards against a wave that is never completed because an instance was busy once. */
        @Test
        void isMadeAnewForTheWorkerListedLater() {
            orderUpkeep();
            planner.onOrderOutcome("m2", operation, InstanceOrderOutcome.BUSY);
            pass(LIST_LAG_MILLIS + 200, PlatformInstance.State.UP, "w3");
            assertEquals("w3", port.evacuationRequests.get(1).worker());
            completeEvacuation("w3", "m2", operation);
            assertEquals(List.of("m2 UPKEEP:1", "m2 UPKEEP:1"), port.orders);
            planner.onOrderOutcome("m2", operation, InstanceOrderOutcome.TAKEN);
            pass(UPKEEP_MILLIS + LIST_LAG_MILLIS + 200, PlatformInstance.State.UP, "w4");
            assertEquals(List.of(1L), port.completedWaves);
        }

        /** Guards against evacuating a worker that is gone, as time alone does not show it while lists fail. */
        @Test
        void holdsTheInstanceBackUntilANewerListIsReceived() {
            orderUpkeep();
            planner.onOrderOutcome("m2", operation, InstanceOrderOutcome.BUSY);
            advanceClock(2 * LIST_LAG_MILLIS);
            assertEquals(1, port.evacuationRequests.size());
            show(PlatformInstance.State.UP, "w3");
            advanceClock(0);
            assertEquals("w3", port.evacuationRequests.get(1).worker());
        }

        /** Guards against the same loss by a move that is begun instead of the upkeep that was refused. */
        @Test
        void holdsTheInstanceBackFromMoves() {
            givenFleet(0, up("m1", "clips", "w1"), up("m2", "clips", "w2"), up("m3", "clips", "w3"));
            planner.onWaves(List.of(new UpkeepWave(1, List.of("m2"), 20_000, 1)));
            advanceClock(0);
            completeEvacuation("w2", "m2", operation);
            planner.onOrderOutcome("m2", operation, InstanceOrderOutcome.BUSY);
            for (int t = 0; t < LIST_LAG_MILLIS; t += 100) {
                advanceClock(100);
            }
            assertEquals(
                    1,
                    port.evacuationRequests.stream()
                            .filter(r -> r.instance().equals("m2"))
                            .count());
        }

        /**
         * Guards against the same loss if the instance crashed before an order without an answer, which was then never
         * carried out.
         */
        @Test
        void isNotRepeatedAfterAnUnansweredOrderBeforeANewerListIsReceived() {
            orderUpkeep();
            leaveUnanswered();
            pass(LIST_LAG_MILLIS, PlatformInstance.State.UP, "w2");
            assertEquals(2, port.orders.size());
            pass(500, PlatformInstance.State.UP, "w3");
            assertEquals(2, port.orders.size(), "w3 has not been evacuated");
            assertEquals("w3", port.evacuationRequests.get(1).worker());
        }

        /** Guards against an operation that is abandoned or never confirmed although its order is being carried out. */
        @Test
        void isConfirmedIfAnUnansweredOrderIsListedAsBeingCarriedOut() {
            orderUpkeep();
            leaveUnanswered();
            pass(LIST_LAG_MILLIS, PlatformInstance.State.UPKEEP, "");
            assertEquals(2, port.orders.size());
            pass(100, PlatformInstance.State.UPKEEP, "");
            assertEquals(3, port.orders.size());
            assertTrue(port.releasedWorkers.isEmpty());
        }

        /** Guards against the same loss after an operation of another owner, whose end the list shows later. */
        @Test
        void isNotRepeatedWhileTheInstanceIsListedInAnotherOperation() {
            orderUpkeep();
            planner.onOrderOutcome("m2", operation, InstanceOrderOutcome.REFUSED);
            pass(1_000, PlatformInstance.State.MOVING, "");
            assertEquals(List.of("m2 UPKEEP:1"), port.orders);
        }
    }

    @Nested
    class AMoveThatIsRefused {

        private static final int NEEDED = 1;

        private final PlatformInstance remaining = up("m1", "clips", "w1");
        private final InstanceOperation move = InstanceOperation.move("clips");

        private void orderMove() {
            givenFleet(NEEDED, remaining, up("s1", "spare", ""));
            advanceClock(0);
            assertEquals(List.of("s1 MOVE:clips"), port.orders);
        }

        private void refuse(long millis) {
            for (long t = 0; t < millis; t += 500) {
                planner.onOrderOutcome("s1", move, InstanceOrderOutcome.BUSY);
                advanceClock(500);
            }
        }

        private void show(PlatformInstance... shown) {
            List<PlatformInstance> all = new ArrayList<>(List.of(shown));
            all.add(remaining);
            all.add(up("s9", "spare", ""));
            planner.onInstances(InstanceList.of(all));
        }

        private void assertReplaced() {
            refuse(7_000);
            assertTrue(port.orders.contains("s9 MOVE:clips"), "another instance must take its place");
        }

        /** Guards against an instance that counts as supply of a pool for ever though it cannot be moved there. */
        @Test
        void isGivenUpWhileTheInstanceIsListed() {
            orderMove();
            show(up("s1", "spare", ""));
            assertReplaced();
            assertEquals(1, port.orders.stream().filter("s9 MOVE:clips"::equals).count());
        }

        /** Guards against the same for an instance that is down. */
        @Test
        void isGivenUpWhileTheInstanceIsDown() {
            orderMove();
            show(new PlatformInstance("s1", "spare", PlatformInstance.State.DOWN, "north", ""));
            assertReplaced();
        }

        /** Guards against the same for an instance that does not exist any more. */
        @Test
        void isGivenUpWhenTheInstanceIsNotListed() {
            orderMove();
            show();
            assertReplaced();
        }

        /** Guards against a second order for an instance while the first one may still be carried out. */
        @Test
        void isNotGivenUpAfterAnOrderWithoutAnAnswer() {
            orderMove();
            show(up("s1", "spare", ""));
            planner.onOrderOutcome("s1", move, InstanceOrderOutcome.UNKNOWN);
            advanceClock(500);
            refuse(7_000);
            assertFalse(port.orders.contains("s9 MOVE:clips"));
        }
    }

    @Nested
    class Shares {

        private void twoPools(ServiceReport clips, ServiceReport archive, PlatformInstance... all) {
            planner.onPredecessorOrders(Map.of());
            planner.onServices(List.of(
                    new ServiceConfig("clips", false, true),
                    new ServiceConfig("archive", false, true),
                    new ServiceConfig("spare", true, true)));
            planner.onInstances(InstanceList.of(List.of(all)));
            planner.onReport("clips", clips);
            planner.onReport("archive", archive);
        }

        private ServiceReport report(int firm, int late, int hopeless, WorkerLoad... loads) {
            return new ServiceReport(Map.of(), firm + late + hopeless, firm, late, List.of(loads));
        }

        private WorkerLoad load(String worker, int finite, boolean reached) {
            return new WorkerLoad(worker, 0, finite, reached);
        }

        private PlatformInstance[] sixOfArchive() {
            PlatformInstance[] all = new PlatformInstance[6];
            for (int i = 0; i < all.length; i++) {
                all[i] = up("m" + i, "archive", "w" + i);
            }
            return all;
        }

        @Test
        void moveFromHopelessWorkToWorkThatCanMeetItsDeadline() {
            twoPools(report(3, 0, 0), report(0, 0, 30), sixOfArchive());
            advanceClock(0);
            advanceClock(900);
            long moved = port.evacuationRequests.stream()
                    .filter(r -> r.errand().equals("MOVE:clips"))
                    .count();
            assertEquals(4, moved, "three and the reserve; the other pool keeps its minimum");
        }

        @Test
        void areRetainedWhileThePoolNeededThemRecently() {
            List<PlatformInstance> all = new ArrayList<>(List.of(sixOfArchive()));
            all.add(up("m7", "clips", "w7"));
            all.add(up("m8", "clips", "w8"));
            twoPools(report(1, 0, 0), report(5, 0, 0), all.toArray(PlatformInstance[]::new));
            advanceClock(0);
            planner.onReport("clips", report(4, 0, 0));
            planner.onReport("archive", report(0, 0, 9));
            advanceClock(100);
            assertTrue(port.evacuationRequests.isEmpty(), "the demand may return within moments");
            advanceClock(900);
            assertEquals(3, port.evacuationRequests.size());
        }

        @Test
        void doNotCountUnreachableWorkers() {
            PlatformInstance[] all = {
                up("m1", "clips", "w1"),
                up("m2", "clips", "w2"),
                up("m3", "spare", ""),
                up("m4", "spare", ""),
                up("m5", "archive", "w5"),
                up("m6", "archive", "w6")
            };
            twoPools(report(1, 0, 0, load("w1", 1, false), load("w2", 1, false)), report(0, 0, 0), all);
            advanceClock(0);
            assertEquals(Set.of("m3 MOVE:clips", "m4 MOVE:clips"), Set.copyOf(port.orders));
        }

        @Test
        void areNotReducedBecauseOfIncomingInstances() {
            List<PlatformInstance> all = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                all.add(up("here" + i, "clips", "w" + i));
                all.add(new PlatformInstance("coming" + i, "clips", PlatformInstance.State.MOVING, "north", ""));
            }
            all.add(up("m1", "archive", "a1"));
            all.add(up("m2", "archive", "a2"));
            twoPools(report(5, 0, 0), report(3, 0, 0), all.toArray(PlatformInstance[]::new));
            advanceClock(0);
            assertTrue(
                    port.evacuationRequests.isEmpty(),
                    "four are up and six are needed; incoming instances do not count");
            all.replaceAll(i -> i.state() == PlatformInstance.State.UP ? i : up(i.id(), "clips", "w-" + i.id()));
            planner.onInstances(InstanceList.of(all));
            advanceClock(100);
            assertEquals(2, port.evacuationRequests.size(), "all are up: two are surplus");
        }

        @Test
        void retainInstancesForHopelessWorkUntilAnotherPoolNeedsThem() {
            twoPools(report(0, 0, 0), report(0, 0, 6), sixOfArchive());
            advanceClock(0);
            advanceClock(5_000);
            assertTrue(
                    port.evacuationRequests.stream().noneMatch(r -> r.errand().equals("MOVE:spare")),
                    "the work is still to be completed");
        }
    }

    @Nested
    class TakeOver {

        @Test
        void resumesAPredecessorsOperation() {
            givenFleet(1, up("m1", "clips", "w1"), up("m2", "clips", "w2"));
            completeEvacuation("w2", "m2", InstanceOperation.move("spare"));
            assertEquals(List.of("m2 MOVE:spare"), port.orders);
        }

        @Test
        void ordersNothingBeforePredecessorOrdersAreKnown() {
            now = 10_000;
            FleetPlanner successor = successor();
            successor.onServices(
                    List.of(new ServiceConfig("clips", false, true), new ServiceConfig("spare", true, true)));
            successor.onInstances(
                    InstanceList.of(List.of(up("m1", "clips", "w1"), up("m2", "spare", ""), up("m3", "spare", ""))));
            successor.onReport("clips", new ServiceReport(Map.of(), 2, 2, 0, List.of()));
            successor.tick();
            assertTrue(port.orders.isEmpty());
            successor.onPredecessorOrders(Map.of("m2", 14_000L));
            successor.tick();
            assertEquals(List.of("m3 MOVE:clips"), port.orders, "the other instance was ordered recently");
            now += 4_000;
            successor.tick();
            assertEquals(List.of("m3 MOVE:clips", "m2 MOVE:clips"), port.orders);
        }

        @Test
        void evacuatesAnInstanceBeforeItMayBeOrdered() {
            now = 10_000;
            FleetPlanner successor = successor();
            successor.onServices(
                    List.of(new ServiceConfig("clips", false, true), new ServiceConfig("archive", false, true)));
            successor.onInstances(InstanceList.of(
                    List.of(up("m1", "clips", "w1"), up("m2", "clips", "w2"), up("m3", "clips", "w3"))));
            successor.onReport("clips", new ServiceReport(Map.of(), 0, 0, 0, List.of()));
            successor.onReport("archive", new ServiceReport(Map.of(), 1, 1, 0, List.of()));
            successor.onPredecessorOrders(Map.of("m1", now + 1_000, "m2", now + 1_000, "m3", now + 1_000));
            successor.tick();
            assertFalse(port.evacuationRequests.isEmpty(), "the evacuation takes as long as the remaining wait");
            EvacuationRecord asked = port.evacuationRequests.get(0);
            successor.onEvacuations(Map.of(
                    new EvacuationRecord(asked.worker(), asked.instance(), asked.errand(), false, true), "clips"));
            now += 999;
            successor.tick();
            assertTrue(port.orders.isEmpty());
            now += 1;
            successor.tick();
            assertEquals(List.of(asked.instance() + " MOVE:archive"), port.orders);
        }

        private FleetPlanner successorWithSpareInstances(Set<String> orderedLately, int most, PlatformInstance... all) {
            now = 10_000;
            FleetPlanner s = successor();
            s.onServices(List.of(new ServiceConfig("spare", true, true)));
            s.onInstances(InstanceList.of(List.of(all)));
            Map<String, Long> until = new HashMap<>();
            orderedLately.forEach(i -> until.put(i, now + 4_000));
            s.onPredecessorOrders(until);
            List<String> ids = Stream.of(all).map(PlatformInstance::id).toList();
            s.onWaves(List.of(new UpkeepWave(1, ids, 20_000, most)));
            return s;
        }

        @Test
        void countsInstancesRecentlyOrderedByThePredecessorAsDown() {
            FleetPlanner s = successorWithSpareInstances(
                    Set.of("m1"), 2, up("m1", "spare", ""), up("m2", "spare", ""), up("m3", "spare", ""));
            s.tick();
            assertEquals(List.of("m2 UPKEEP:1"), port.orders, "m1 may be down, and the limit is two");
            now += 4_000;
            s.tick();
            assertEquals(2, port.orders.size(), "m1 is back by then");
        }

        @Test
        void countsThemAsDownEvenAfterThePredecessorsProcessEnded() {
            FleetPlanner s = successorWithSpareInstances(Set.of("m1"), 1, up("m1", "spare", ""), up("m2", "spare", ""));
            s.onPredecessorOrders(Map.of());
            s.tick();
            assertTrue(port.orders.isEmpty(), "the order may have been carried out");
            now += 4_000;
            s.tick();
            assertEquals(1, port.orders.size());
        }

        @Test
        void countsInstancesListedInUpkeepAsDownIndefinitely() {
            PlatformInstance down = new PlatformInstance("m1", "spare", PlatformInstance.State.UPKEEP, "north", "");
            FleetPlanner s = successorWithSpareInstances(Set.of(), 1, down, up("m2", "spare", ""));
            s.tick();
            now += 30_000;
            s.tick();
            assertTrue(port.orders.isEmpty());
            s.onInstances(InstanceList.of(List.of(up("m1", "spare", ""), up("m2", "spare", ""))));
            s.tick();
            assertEquals(1, port.orders.size());
        }

        @Test
        void countsUnreadableInstancesAsDownAndDoesNotOrderThem() {
            FleetPlanner s =
                    successorWithSpareInstances(Set.of(), 1, PlatformInstance.unknown("m1"), up("m2", "spare", ""));
            s.tick();
            now += 30_000;
            s.tick();
            assertTrue(port.orders.isEmpty(), "m1 may be down, and the limit is one");
            s.onInstances(InstanceList.of(List.of(up("m1", "spare", ""), up("m2", "spare", ""))));
            s.tick();
            assertEquals(1, port.orders.size());
        }

        @Test
        void completesNoWaveFromAnIncompleteList() {
            InstanceList none = new InstanceList(
                    List.of(up("m9", "spare", "")), Map.of(InstanceList.UNKNOWN_ID, Unreadable.Reason.MISSING.whole()));
            FleetPlanner s = successorWithSpareInstances(Set.of(), 2, up("m1", "spare", ""));
            s.onInstances(none);
            s.onWaves(List.of(new UpkeepWave(2, List.of("m1", "m2"), 20_000, 1)));
            s.tick();
            now += 30_000;
            s.tick();
            assertEquals(List.of(), port.completedWaves);
            assertEquals(List.of(), port.orders);
        }

        @Test
        void beginsUpkeepAtOnceWithoutRecentOrders() {
            FleetPlanner s = successorWithSpareInstances(Set.of(), 1, up("m1", "spare", ""), up("m2", "spare", ""));
            s.tick();
            assertEquals(1, port.orders.size(), "the wave's deadline does not move with a change of owner");
        }

        @Test
        void keepsTheDeadlineOfAWaveThatThePredecessorStarted() {
            now = 16_000;
            FleetPlanner s = successor();
            s.onServices(List.of(new ServiceConfig("clips", false, true)));
            s.onInstances(InstanceList.of(List.of(up("m1", "clips", "w1"), up("m2", "clips", "w2"))));
            s.onReport("clips", new ServiceReport(Map.of(), 2, 2, 0, List.of()));
            s.onPredecessorOrders(Map.of());
            s.onUpkeep(1, new UpkeepRecord(List.of(), false, wallMillis()));
            s.onWaves(List.of(new UpkeepWave(1, List.of("m1", "m2"), 20_000, 2)));
            s.tick();
            assertTrue(port.evacuationRequests.isEmpty(), "the wave is on schedule, and the pool needs both instances");
            now += 14_000;
            s.tick();
            assertEquals(2, port.evacuationRequests.size());
        }

        @Test
        void doesNotResumeAnOperationThatItHasJustEnded() {
            givenFleet(2, up("m1", "clips", "w1"), up("m2", "clips", "w2"));
            completeEvacuation("w2", "m2", InstanceOperation.upkeep(7));
            planner.onOrderOutcome("m2", InstanceOperation.upkeep(7), InstanceOrderOutcome.NOT_OF_WAVE);
            int orders = port.orders.size();
            completeEvacuation("w2", "m2", InstanceOperation.upkeep(7));
            assertEquals(orders, port.orders.size());
        }
    }

    @Nested
    class PoolSizes {

        @Test
        void growFromTheHeadroomPool() {
            givenFleet(
                    3, up("m1", "clips", "w1"), up("m2", "clips", "w2"), up("m3", "spare", ""), up("m4", "spare", ""));
            advanceClock(0);
            assertEquals(2, port.orders.size(), "three are needed and one is the reserve");
        }

        @Test
        void shrinkOnlyAfterADelay() {
            givenFleet(1, up("m1", "clips", "w1"), up("m2", "clips", "w2"), up("m3", "clips", "w3"));
            advanceClock(0);
            assertTrue(port.evacuationRequests.isEmpty());
            advanceClock(1_100);
            assertEquals(1, port.evacuationRequests.size());
            assertTrue(!port.evacuationRequests.get(0).worker().equals("w1"), "the busiest instance must leave last");
        }

        @Test
        void stayUnchangedWithoutAReport() {
            planner.onPredecessorOrders(Map.of());
            planner.onServices(
                    List.of(new ServiceConfig("clips", false, true), new ServiceConfig("spare", true, true)));
            planner.onInstances(InstanceList.of(
                    List.of(up("m1", "clips", "w1"), up("m2", "clips", "w2"), up("m3", "clips", "w3"))));
            advanceClock(0);
            advanceClock(5_000);
            assertTrue(port.evacuationRequests.isEmpty());
        }
    }
}
