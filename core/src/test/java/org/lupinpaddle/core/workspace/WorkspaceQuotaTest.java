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
package org.lupinpaddle.core.workspace;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.placement.Resources;

/** Tests how owners of services share a workspace's quota through stored allocations. */
class WorkspaceQuotaTest {

    private static final long STEP_MILLIS = 10;

    private QuotaAllocation stored = QuotaAllocation.NONE;
    private long revision;
    private long now;

    private static Resources cpu(long amount) {
        return new Resources(amount, 0, 0);
    }

    /** The owner of a service that places tasks of one size within its quota. */
    private final class Owner {
        final WorkspaceQuota quota;
        final Resources task;
        int waiting;
        int running;
        int placed;
        /** The amount that a lasting task needs, and whether it has been placed. */
        Resources lasting = Resources.NONE;

        boolean lastingPlaced;

        Owner(String service, long maximum, long task) {
            this.task = cpu(task);
            quota = new WorkspaceQuota(service);
            quota.setMaximum(cpu(maximum));
            quota.onNoAllocation(0);
        }

        void place() {
            quota.clearWaiting();
            if (!lastingPlaced && quota.mayPlace(lasting)) {
                lastingPlaced = true;
                quota.add(lasting);
            } else if (!lastingPlaced) {
                quota.addWaiting(lasting, lasting);
            }
            while (waiting > 0 && quota.mayPlace(task)) {
                waiting--;
                running++;
                placed++;
                quota.add(task);
            }
            if (waiting > 0) {
                quota.addWaiting(task.times(waiting), task);
            }
        }

        void endOne() {
            if (running > 0) {
                running--;
                quota.remove(task);
            }
        }

        /** Writes the due allocation unless the stored revision has changed, and reads the stored one. */
        void write() {
            boolean current = quota.revision() == revision;
            quota.next(now).ifPresent(a -> {
                if (current) {
                    quota.onWriteStarted(a);
                    stored = a;
                    revision++;
                }
            });
            readStored();
        }

        void readStored() {
            if (revision > 0) {
                quota.onAllocation(stored, revision);
            }
        }

        long used() {
            return running * task.cpuMillis() + (lastingPlaced ? lasting.cpuMillis() : 0);
        }
    }

    private void pass(List<Owner> owners) {
        now += STEP_MILLIS;
        for (Owner o : owners) {
            o.place();
            o.write();
        }
    }

    private void passes(int count, List<Owner> owners) {
        for (int i = 0; i < count; i++) {
            pass(owners);
        }
    }

    private static long used(List<Owner> owners) {
        return owners.stream().mapToLong(Owner::used).sum();
    }

    @Nested
    class AnOwner {

        @Test
        void placesNothingBeforeItsGrantIsStored() {
            Owner a = new Owner("a", 10, 1);
            a.waiting = 3;
            a.place();
            assertEquals(0, a.running);
            a.write();
            a.place();
            assertEquals(3, a.running);
        }

        @Test
        void ofTheOnlyBusyServiceUsesTheWholeMaximum() {
            Owner a = new Owner("a", 10, 1);
            Owner b = new Owner("b", 10, 1);
            a.waiting = 30;
            passes(20, List.of(a, b));
            assertEquals(10, a.running);
        }

        @Test
        void getsItsFairShareOfAGrantThatAnotherHolds() {
            Owner a = new Owner("a", 10, 1);
            Owner b = new Owner("b", 10, 1);
            a.waiting = 100;
            passes(20, List.of(a, b));
            b.waiting = 100;
            for (int i = 0; i < 100; i++) {
                passes(5, List.of(a, b));
                a.endOne();
            }
            assertTrue(b.running >= 4, "b runs " + b.running);
            assertTrue(used(List.of(a, b)) <= 10);
        }

        /** Guards against using an unconfirmed higher grant, and against ignoring an unconfirmed lower one. */
        @Test
        void countsTheLowerGrantWhileAWriteIsUnanswered() {
            Owner a = new Owner("a", 10, 1);
            a.waiting = 4;
            a.place();
            QuotaAllocation raised = a.quota.next(now).orElseThrow();
            a.quota.onWriteStarted(raised);
            assertFalse(a.quota.mayPlace(a.task));
            a.quota.onAllocation(raised, 1);
            assertTrue(a.quota.mayPlace(a.task));
            a.quota.onWriteStarted(QuotaAllocation.NONE);
            assertFalse(a.quota.mayPlace(a.task));
        }

        /** Guards against a grant that stays unusable after a write that lowered it has failed. */
        @Test
        void writesAgainAfterAWriteWithoutOutcome() {
            Owner a = new Owner("a", 10, 1);
            a.waiting = 4;
            passes(3, List.of(a));
            a.quota.onWriteStarted(QuotaAllocation.NONE);
            a.waiting = 2;
            a.place();
            assertEquals(4, a.running);
            passes(2, List.of(a));
            assertEquals(6, a.running);
        }

        @Test
        void startsNothingWhileTheAllocationIsUnreadable() {
            Owner a = new Owner("a", 10, 1);
            a.waiting = 4;
            passes(3, List.of(a));
            a.quota.onUnreadable();
            assertFalse(a.quota.mayPlace(a.task));
        }
    }

    @Nested
    class ALoweredMaximum {

        @Test
        void blocksPlacementUntilRunningTasksFit() {
            Owner a = new Owner("a", 10, 1);
            Owner b = new Owner("b", 10, 1);
            List<Owner> both = List.of(a, b);
            a.waiting = 6;
            b.waiting = 4;
            passes(20, both);
            assertEquals(10, used(both));
            both.forEach(o -> o.quota.setMaximum(cpu(3)));
            both.forEach(o -> o.waiting = 20);
            for (int i = 0; i < 200; i++) {
                long before = a.placed + b.placed;
                long running = used(both);
                pass(both);
                assertTrue(a.placed + b.placed == before || used(both) <= 3, "placed a task while using " + running);
                if (i % 20 == 0) {
                    a.endOne();
                    b.endOne();
                }
            }
            assertTrue(used(both) <= 3);
            assertTrue(a.placed + b.placed > 10, "no task placed below the new maximum");
        }
    }

    @Nested
    class ATaskLargerThanItsFairShare {

        /** Guards against starvation when every fair share is smaller than a task. */
        @Test
        void runsInTurn() {
            List<Owner> all = new ArrayList<>();
            for (String s : List.of("a", "b", "c", "d")) {
                Owner o = new Owner(s, 10, 8);
                o.waiting = 20;
                all.add(o);
            }
            for (int i = 0; i < 400; i++) {
                passes(10, all);
                assertTrue(used(all) <= 10);
                all.forEach(Owner::endOne);
            }
            all.forEach(o -> assertTrue(o.placed >= 5, o.quota.describe() + " placed " + o.placed));
        }

        @Test
        void runsAloneIfItExceedsTheMaximum() {
            Owner a = new Owner("a", 10, 25);
            Owner b = new Owner("b", 10, 1);
            a.waiting = 1;
            passes(40, List.of(a, b));
            assertEquals(1, a.running);
            b.waiting = 5;
            passes(40, List.of(a, b));
            assertEquals(0, b.running);
            a.endOne();
            passes(60, List.of(a, b));
            assertEquals(5, b.running);
        }
    }

    /** Guards against quota that stays unused while each of several services waits for more than its fair share. */
    @Nested
    class FreeQuota {

        private static final int SECOND = (int) (1_000 / STEP_MILLIS);

        private Owner owner(String service, long maximum, long lasting, long task) {
            Owner o = new Owner(service, maximum, task);
            o.lasting = cpu(lasting);
            return o;
        }

        private static int running(List<Owner> owners) {
            return owners.stream().mapToInt(o -> o.running).sum();
        }

        /** Lets tasks wait at all services while another one holds the quota that they need, until its task has ended. */
        private void waitForBusyService(int waiting, List<Owner> owners) {
            Owner busy = owner("busy", 9_000, 0, 3_500);
            busy.waiting = 1;
            List<Owner> all = new ArrayList<>(owners);
            all.add(busy);
            passes(SECOND, all);
            assertEquals(1, busy.running);
            owners.forEach(o -> o.waiting = waiting);
            passes(SECOND, all);
            assertEquals(0, running(owners));
            busy.endOne();
            passes(SECOND, all);
        }

        @Test
        void isGrantedToOneOfTwoServices() {
            List<Owner> owners = List.of(owner("a", 9_000, 1_500, 3_500), owner("b", 9_000, 1_500, 3_500));
            waitForBusyService(1, owners);
            assertEquals(1, running(owners), "4,500 is the share of each, of which 1,500 is in use");
        }

        @Test
        void isGrantedToOneOfThreeServices() {
            List<Owner> owners = List.of(
                    owner("a", 9_000, 1_500, 3_000), owner("b", 9_000, 1_500, 3_000), owner("c", 9_000, 1_500, 3_000));
            waitForBusyService(1, owners);
            assertEquals(1, running(owners));
        }

        /** Guards against a service that uses the quota beyond its share again and again while another one waits. */
        @Test
        void isGrantedInTurn() {
            List<Owner> owners = List.of(owner("a", 9_000, 1_500, 3_500), owner("b", 9_000, 1_500, 3_500));
            waitForBusyService(100, owners);
            for (int i = 1; i < 20; i++) {
                owners.forEach(Owner::endOne);
                passes(SECOND, owners);
                assertEquals(1, running(owners));
            }
            owners.forEach(o -> assertEquals(10, o.placed));
        }

        @Test
        void isUsedBeyondTheShareOfAServiceWhileTheOtherCannotUseIt() {
            Owner a = owner("a", 10, 2, 5);
            Owner b = owner("b", 10, 0, 1);
            List<Owner> owners = List.of(a, b);
            passes(SECOND, owners);
            a.waiting = 1;
            b.waiting = 30;
            passes(3 * SECOND, owners);
            assertEquals(10, used(owners));
        }

        /** Guards against a service that keeps quota beyond its share while a task below another one's share waits. */
        @Test
        void isLeftToAServiceBelowItsShare() {
            Owner a = owner("a", 10, 2, 5);
            Owner b = owner("b", 10, 0, 1);
            List<Owner> owners = List.of(a, b);
            passes(SECOND, owners);
            b.waiting = 4;
            passes(5, owners);
            assertEquals(4, b.running, "its share is granted at once");
            a.waiting = 1;
            passes(SECOND, owners);
            assertEquals(0, a.running, "only 4 are left");
            b.endOne();
            passes(SECOND, owners);
            assertEquals(1, a.running);
        }
    }

    @Nested
    class Owners {

        /** Guards against exceeding the maximum under any order of placements, writes, reads and ends of runs. */
        @Test
        void neverUseMoreThanTheMaximumTogether() {
            for (int seed = 0; seed < 300; seed++) {
                stored = QuotaAllocation.NONE;
                revision = 0;
                now = 0;
                Random random = new Random(seed);
                long maximum = 5 + random.nextInt(30);
                List<Owner> all = new ArrayList<>();
                for (String s : List.of("a", "b", "c")) {
                    all.add(new Owner(s, maximum, 1 + random.nextInt(4)));
                }
                for (int i = 0; i < 600; i++) {
                    now += random.nextInt(30);
                    Owner o = all.get(random.nextInt(all.size()));
                    switch (random.nextInt(5)) {
                        case 0 -> o.waiting += random.nextInt(10);
                        case 1 -> o.place();
                        case 2 -> o.write();
                        case 3 -> o.readStored();
                        default -> o.endOne();
                    }
                    assertTrue(used(all) <= maximum, "seed " + seed + " uses " + used(all) + " of " + maximum);
                }
            }
        }
    }

    @Nested
    class AMaximumThatIsLowered {

        /** Guards against starting tasks that were placed by the maximum before. */
        @Test
        void isExceededByTasksPlacedBefore() {
            WorkspaceQuota q = new Owner("clips", 4_000, 1_000).quota;
            q.add(cpu(1_000));
            q.add(cpu(1_000));
            assertFalse(q.isExceededBy(cpu(1_000)));
            q.setMaximum(cpu(1_500));
            assertTrue(q.isExceededBy(cpu(1_000)));
            q.remove(cpu(1_000));
            assertFalse(q.isExceededBy(cpu(1_000)));
        }

        /** Guards against taking a task back without end that is larger than the maximum. */
        @Test
        void isNotExceededByALargerTaskAlone() {
            WorkspaceQuota q = new Owner("clips", 1_500, 2_000).quota;
            q.add(cpu(2_000));
            assertFalse(q.isExceededBy(cpu(2_000)));
        }
    }
}
