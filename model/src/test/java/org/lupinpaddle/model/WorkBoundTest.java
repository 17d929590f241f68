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
package org.lupinpaddle.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.model.WorkBound.Work;

class WorkBoundTest {

    private static final long SLOT_MILLIS = 250;
    private static final long CORE = 1_000;

    /** Returns the bound for a fleet with this many cores for ten seconds. */
    private static WorkBound cores(long cores) {
        long[] cpu = new long[40];
        Arrays.fill(cpu, cores * CORE);
        return new WorkBound(SLOT_MILLIS, cpu);
    }

    /**
     * Returns an item of work with a time range in seconds, the cores that it can use at once, and its core-seconds.
     */
    private static Work work(double from, double until, long cores, double coreSeconds) {
        return new Work(
                (long) (from * 1_000), (long) (until * 1_000), cores * CORE, (long) (coreSeconds * CORE * 1_000));
    }

    private static double coreSeconds(long cpuMillis) {
        return cpuMillis / (CORE * 1_000.0);
    }

    @Nested
    class WorkItems {

        @Test
        void thatFitAreDoneCompletely() {
            assertEquals(8, coreSeconds(cores(4).maxCpuMillis(List.of(work(1, 3, 4, 8)))));
        }

        @Test
        void useNoMoreCpuThanTheirTasks() {
            assertEquals(
                    4, coreSeconds(cores(16).maxCpuMillis(List.of(work(1, 3, 2, 8)))), "two cores for two seconds");
        }

        @Test
        void runOnlyWithinTheirTime() {
            assertEquals(
                    1, coreSeconds(cores(4).maxCpuMillis(List.of(work(1.125, 1.375, 4, 8)))), "a quarter of a second");
        }

        @Test
        void thatStartAfterTheLastSlotAreNotDone() {
            assertEquals(0, cores(4).maxCpuMillis(List.of(work(11, 12, 4, 4))));
        }

        @Test
        void withEarlierDeadlineRunFirst() {
            List<Work> both = List.of(work(0, 4, 2, 4), work(0, 2, 2, 4));
            assertEquals(
                    8, coreSeconds(cores(2).maxCpuMillis(both)), "the second in its two seconds, the first afterwards");
        }

        @Test
        void shareTheCapacityOfTheFleet() {
            List<Work> many = new ArrayList<>();
            for (int i = 0; i < 10; i++) {
                many.add(work(2, 4, 4, 4));
            }
            assertEquals(16, coreSeconds(cores(8).maxCpuMillis(many)));
        }
    }

    @Nested
    class Bound {

        /** Compares the bound with an earliest-deadline-first schedule, which it must never be below. */
        @Test
        void isNeverBelowAnActualSchedule() {
            for (long seed = 0; seed < 50; seed++) {
                Random random = new Random(seed);
                List<Work> all = new ArrayList<>();
                for (int i = 0; i < 30; i++) {
                    double from = random.nextInt(32) / 4.0;
                    all.add(work(from, from + 0.5 + random.nextInt(8) / 4.0, 1 + random.nextInt(4), random.nextInt(8)));
                }
                long scheduled = earliestDeadlineFirst(all, 6 * CORE);
                long most = cores(6).maxCpuMillis(all);
                assertTrue(most >= scheduled, "seed " + seed + ": " + most + " of " + scheduled);
            }
        }

        private static long earliestDeadlineFirst(List<Work> all, long cpu) {
            long[] left = all.stream().mapToLong(Work::cpuMillis).toArray();
            long done = 0;
            for (long t = 0; t < 10_000; t += SLOT_MILLIS) {
                long free = cpu * SLOT_MILLIS;
                for (int w : indexesByDeadline(all)) {
                    long now = Math.min(Math.min(free, left[w]), all.get(w).maxCpuMillisBetween(t, t + SLOT_MILLIS));
                    free -= now;
                    left[w] -= now;
                    done += now;
                }
            }
            return done;
        }

        private static List<Integer> indexesByDeadline(List<Work> all) {
            List<Integer> order = new ArrayList<>();
            for (int i = 0; i < all.size(); i++) {
                order.add(i);
            }
            order.sort((a, b) ->
                    Long.compare(all.get(a).deadlineMillis(), all.get(b).deadlineMillis()));
            return order;
        }
    }
}
