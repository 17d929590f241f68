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

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import org.lupinpaddle.core.placement.Resources;

/**
 * Simulates strategies for enforcing a workspace quota across four services whose demand peaks in rotation. For each strategy,
 * {@link #main} prints the share of the quota that is idle while tasks wait, the mean wait, and the number of writes to the
 * store. Time is virtual: a write takes 8 ms, and the owners of other services observe a stored allocation 20 ms later;
 * reservations in the ledger are visible to all owners at once.
 */
final class QuotaExperiment {

    private static final int SERVICES = 4;
    private static final long STEP_MILLIS = 5;
    private static final long WRITE_MILLIS = 8;
    private static final long PROPAGATION_MILLIS = 20;
    private static final long DURATION_MILLIS = 36_000;
    private static final long PEAK_MILLIS = 4_500;
    private static final long TASK_DURATION_MILLIS = 640;
    private static final Resources TASK_NEED = new Resources(1_500, 0, 0);
    private static final long MAXIMUM_CPU_MILLIS = 60_000;

    /** A strategy for enforcing the quota. */
    enum Strategy {
        /** Each service has a constant, equal share. */
        FIXED_SPLIT,
        /** Owners acquire and return grants by compare-and-swap. */
        GRANTS,
        /** Each placement reserves the amount it requires in a shared record, in the same write. */
        LEDGER
    }

    private final Strategy strategy;
    private final Random random;
    private final double load;
    private final List<Owner> owners = new ArrayList<>();
    private long now;
    private QuotaAllocation stored = QuotaAllocation.NONE;
    private long revision;
    private long storedAt;
    private long reservedCpuMillis;
    private long writes;
    private long conflicts;
    private long started;
    private long waitedMillis;
    private long idleWhileWaiting;
    private long samplesWithWaiting;

    private QuotaExperiment(Strategy strategy, double load, long seed) {
        this.strategy = strategy;
        this.load = load;
        random = new Random(seed);
        for (int i = 0; i < SERVICES; i++) {
            owners.add(new Owner(i));
        }
    }

    private final class Owner {
        final int index;
        final WorkspaceQuota quota;
        final Deque<Long> waiting = new ArrayDeque<>();
        final Deque<Long> completionTimes = new ArrayDeque<>();
        long writeEndsAt = Long.MAX_VALUE;
        Runnable onWriteCompleted = () -> {};

        Owner(int index) {
            this.index = index;
            quota = new WorkspaceQuota("service-" + index);
            quota.setMaximum(new Resources(
                    strategy == Strategy.FIXED_SPLIT ? MAXIMUM_CPU_MILLIS / SERVICES : MAXIMUM_CPU_MILLIS, 0, 0));
            quota.onNoAllocation(0);
            if (strategy == Strategy.FIXED_SPLIT) {
                quota.onAllocation(
                        QuotaAllocation.NONE.with(
                                "service-" + index,
                                new QuotaAllocation.Grant(
                                        new Resources(MAXIMUM_CPU_MILLIS / SERVICES, 0, 0), Resources.NONE)),
                        1);
            }
        }

        long usedCpuMillis() {
            return completionTimes.size() * TASK_NEED.cpuMillis();
        }

        void addArrivals() {
            boolean isPeak = (now / PEAK_MILLIS) % SERVICES == index;
            double arrivalsPerStep = load * STEP_MILLIS / 1_000 * (isPeak ? 4 : 0.05);
            int count = (int) arrivalsPerStep + (random.nextDouble() < arrivalsPerStep % 1 ? 1 : 0);
            for (int i = 0; i < count; i++) {
                waiting.add(now);
            }
        }

        void completeTasks() {
            while (!completionTimes.isEmpty() && completionTimes.peek() <= now) {
                completionTimes.poll();
                if (strategy == Strategy.LEDGER) {
                    reservedCpuMillis -= TASK_NEED.cpuMillis();
                } else {
                    quota.remove(TASK_NEED);
                }
            }
        }

        void placeTasks() {
            if (strategy == Strategy.LEDGER) {
                reserveAndStart();
                return;
            }
            quota.clearWaiting();
            while (!waiting.isEmpty() && quota.mayPlace(TASK_NEED)) {
                quota.add(TASK_NEED);
                startTask();
            }
            if (!waiting.isEmpty()) {
                quota.addWaiting(TASK_NEED.times(waiting.size()), TASK_NEED);
            }
        }

        void startTask() {
            waitedMillis += now - waiting.poll();
            started++;
            completionTimes.add(now + TASK_DURATION_MILLIS);
        }

        void reserveAndStart() {
            long available = (MAXIMUM_CPU_MILLIS - reservedCpuMillis) / TASK_NEED.cpuMillis();
            if (writeEndsAt != Long.MAX_VALUE || waiting.isEmpty() || available <= 0) {
                return;
            }
            long expectedRevision = revision;
            long taskCount = Math.min(available, waiting.size());
            startWrite(() -> {
                if (revision != expectedRevision
                        || (MAXIMUM_CPU_MILLIS - reservedCpuMillis) / TASK_NEED.cpuMillis() < taskCount) {
                    conflicts++;
                    return;
                }
                revision++;
                reservedCpuMillis += taskCount * TASK_NEED.cpuMillis();
                for (long i = 0; i < taskCount; i++) {
                    startTask();
                }
            });
        }

        void updateGrant() {
            if (strategy != Strategy.GRANTS) {
                return;
            }
            if (now - storedAt >= PROPAGATION_MILLIS && revision > 0) {
                quota.onAllocation(stored, revision);
            }
            if (writeEndsAt == Long.MAX_VALUE) {
                quota.next(now).ifPresent(this::writeAllocation);
            }
        }

        private void writeAllocation(QuotaAllocation next) {
            long expectedRevision = quota.revision();
            quota.onWriteStarted(next);
            startWrite(() -> {
                if (expectedRevision == revision) {
                    revision++;
                    stored = next;
                    storedAt = now;
                } else {
                    conflicts++;
                }
                quota.onAllocation(stored, revision);
            });
        }

        private void startWrite(Runnable onCompletion) {
            writes++;
            writeEndsAt = now + WRITE_MILLIS;
            onWriteCompleted = onCompletion;
        }

        void completeWrite() {
            if (writeEndsAt <= now) {
                writeEndsAt = Long.MAX_VALUE;
                onWriteCompleted.run();
            }
        }
    }

    private void run() {
        for (now = 0; now < DURATION_MILLIS; now += STEP_MILLIS) {
            for (Owner o : owners) {
                o.completeTasks();
                o.addArrivals();
                o.completeWrite();
                o.placeTasks();
                o.updateGrant();
            }
            recordSample();
        }
    }

    /** Records unused quota while tasks wait; fails if the services together exceed the maximum. */
    private void recordSample() {
        long used = owners.stream().mapToLong(Owner::usedCpuMillis).sum();
        if (used > MAXIMUM_CPU_MILLIS) {
            throw new IllegalStateException(
                    strategy + ": usage of " + used + " exceeds the maximum of " + MAXIMUM_CPU_MILLIS);
        }
        if (owners.stream().anyMatch(o -> !o.waiting.isEmpty())) {
            samplesWithWaiting++;
            idleWhileWaiting += MAXIMUM_CPU_MILLIS - used;
        }
    }

    private String formatRow() {
        long waitingTasks = owners.stream().mapToLong(o -> o.waiting.size()).sum();
        return String.format(
                "%-12s load %3.0f/s  idle while waiting %4.1f %%  mean wait %5d ms  started %5d  left %4d  writes %5d  conflicts %4d",
                strategy,
                load,
                samplesWithWaiting == 0 ? 0 : 100.0 * idleWhileWaiting / samplesWithWaiting / MAXIMUM_CPU_MILLIS,
                started == 0 ? 0 : waitedMillis / started,
                started,
                waitingTasks,
                writes,
                conflicts);
    }

    /** Prints a row for each load, strategy and seed. */
    public static void main(String[] args) {
        for (double load : new double[] {8, 15, 30}) {
            for (Strategy strategy : Strategy.values()) {
                for (long seed = 1; seed <= 3; seed++) {
                    QuotaExperiment experiment = new QuotaExperiment(strategy, load, seed);
                    experiment.run();
                    System.out.println(experiment.formatRow());
                }
            }
        }
    }
}
