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
package org.lupinpaddle.daemon.slot;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.lupinpaddle.core.common.Urgency;
import org.lupinpaddle.core.request.RequestAction;
import org.lupinpaddle.core.slot.SlotMessage.Outgoing;
import org.lupinpaddle.core.slot.WorkerInfo;

/**
 * A simulated service in the current size of both deployments: nine entries and eight workers with eight slots each, in
 * four halls. Callers arrive at random, choose a random entry and retry a few times after the delay they are told.
 */
final class SimFleet {

    private static final int ENTRIES = 9;
    private static final int WORKERS = 8;
    private static final int HALLS = 4;
    private static final int MAX_TRIES = 4;
    private static final long MEAN_RUN_MILLIS = 2_000;
    private static final long TICK_MILLIS = 100;
    private static final long FAILURE_DETECTION_MILLIS = 2_500;

    final SimTime time = new SimTime();
    final SplittableRandom random;
    final SimPolicy policy;
    final SimStatistics statistics = new SimStatistics();
    double load;
    double poisonShare;
    /** Factor by which runs take longer than callers and the owner's learned mean expect. */
    double runFactor = 1;
    /** Whether each run time is multiplied by a random factor from 0.1 to 10. */
    boolean varyRunTimes;

    long deadlineMillis = 30_000;
    private final TreeMap<String, SimEntry> entries = new TreeMap<>();
    private final TreeMap<String, SimWorker> workers = new TreeMap<>();
    private final Set<String> isolatedHalls = new HashSet<>();
    private Set<String> failedEntries = Set.of();

    SimFleet(long seed, SimPolicy policy, double load) {
        this.random = new SplittableRandom(seed);
        this.policy = policy;
        this.load = load;
        for (int i = 0; i < WORKERS; i++) {
            SimWorker worker = new SimWorker("w" + i, "hall" + i % HALLS, time);
            workers.put(worker.id, worker);
        }
        for (int i = 0; i < ENTRIES; i++) {
            SimEntry entry = new SimEntry("e" + i, "hall" + i % HALLS, this);
            entries.put(entry.id, entry);
            entry.owner.onWorkers(workersFor(entry), 0);
        }
        entries.values().forEach(entry -> entry.reachable(reachableFrom(entry), List.of()));
        time.every(TICK_MILLIS, () -> entries.values().forEach(entry -> entry.deliver(entry::tick)));
        time.after(0, this::onArrival);
    }

    private List<WorkerInfo> workersFor(SimEntry entry) {
        return workers.values().stream()
                .filter(worker -> policy != SimPolicy.HALL_OWNERS || worker.hall.equals(entry.hall))
                .map(worker -> new WorkerInfo(worker.id, worker.hall, SimWorker.SLOTS, 1_000, true))
                .toList();
    }

    private List<String> reachableFrom(SimEntry entry) {
        return entries.values().stream()
                .filter(other -> !other.dead && !failedEntries.contains(other.id) && !isCut(entry.hall, other.hall))
                .filter(other -> policy != SimPolicy.HALL_OWNERS || other.hall.equals(entry.hall))
                .map(other -> other.id)
                .toList();
    }

    private void onArrival() {
        double jobsPerMilli = load * WORKERS * SimWorker.SLOTS / MEAN_RUN_MILLIS;
        time.after(Math.max(1, Math.round(exponential(1 / jobsPerMilli))), this::onArrival);
        int kind = random.nextInt(10);
        Urgency urgency = kind == 0 ? Urgency.URGENT : kind < 7 ? Urgency.NORMAL : Urgency.MAY_WAIT;
        double factor = varyRunTimes ? Math.pow(10, random.nextDouble() * 2 - 1) : 1;
        long runMillis = Math.max(1, Math.round(exponential(MEAN_RUN_MILLIS) * runFactor * factor));
        boolean poison = random.nextDouble() < poisonShare;
        statistics.jobs++;
        attempt(new SimJob(urgency, runMillis, poison, random.nextBoolean(), time.now()));
    }

    private double exponential(double mean) {
        return -mean * Math.log(1 - random.nextDouble());
    }

    private void attempt(SimJob job) {
        job.tries++;
        List<SimEntry> alive =
                entries.values().stream().filter(entry -> !entry.dead).toList();
        alive.get(random.nextInt(alive.size())).accept(job, deadlineMillis);
    }

    void onAnswer(SimJob job, int attempts, boolean success) {
        if (job.poison) {
            statistics.poisonAttempts.recordValue(attempts);
            return;
        }
        if (!success) {
            statistics.lost++;
            return;
        }
        statistics.answered++;
        int second = (int) Math.min(statistics.goodputBySecond.length - 1, time.now() / 1_000);
        statistics.goodputBySecond[second]++;
    }

    void onGiveUp(SimJob job, int attempts, RequestAction.GiveUp giveUp) {
        if (job.poison) {
            statistics.poisonAttempts.recordValue(Math.max(1, attempts));
        } else if (giveUp.retryAfterMillis() > 0 && job.tries < MAX_TRIES) {
            time.after(giveUp.retryAfterMillis(), () -> attempt(job));
        } else {
            statistics.failedForCaller++;
        }
    }

    SimWorker worker(String id) {
        return Objects.requireNonNull(workers.get(id));
    }

    List<SimWorker> workers() {
        return List.copyOf(workers.values());
    }

    SimEntry entry(String id) {
        return Objects.requireNonNull(entries.get(id));
    }

    boolean isCut(String hallA, String hallB) {
        return !hallA.equals(hallB) && (isolatedHalls.contains(hallA) || isolatedHalls.contains(hallB));
    }

    void transmit(String from, Outgoing message) {
        statistics.messages++;
        statistics.bytes += SlotFrames.encode(message.message()).getSerializedSize() + 2;
        SimEntry to = entry(message.to());
        if (!isCut(entry(from).hall, to.hall)) {
            time.after(1, () -> to.deliver(() -> to.handle(from, message.message())));
        }
    }

    void setCut(String hall, boolean cut) {
        if (cut) {
            isolatedHalls.add(hall);
        } else {
            isolatedHalls.remove(hall);
        }
        scheduleDetection(cut);
    }

    void freeze(String id) {
        entry(id).frozen = true;
        scheduleDetection(true);
    }

    void unfreeze(String id) {
        entry(id).unfreeze();
        scheduleDetection(false);
    }

    void kill(String id) {
        entry(id).dead = true;
        // A killed process closes its connections, so that the others detect it at once.
        time.after(1, this::detectFailures);
    }

    private void scheduleDetection(boolean silent) {
        time.after(silent ? FAILURE_DETECTION_MILLIS : 1_000, this::detectFailures);
    }

    private void detectFailures() {
        Set<String> failed = new HashSet<>();
        entries.values().stream().filter(entry -> entry.frozen || entry.dead).forEach(entry -> failed.add(entry.id));
        failedEntries = failed;
        for (SimEntry entry : entries.values()) {
            List<String> reachable = reachableFrom(entry);
            List<String> unreachable = new ArrayList<>(entries.keySet());
            unreachable.removeAll(reachable);
            entry.deliver(() -> entry.reachable(reachable, unreachable));
        }
    }

    /** Returns the entry whose owner has the most grants in use. */
    String busiestOwner() {
        return entries.values().stream()
                .max(java.util.Comparator.comparingInt(entry -> entry.owner.grantsInUse()))
                .map(entry -> entry.id)
                .orElseThrow();
    }

    void countHealthyEjected() {
        Set<String> ejected = new HashSet<>();
        entries.values().stream()
                .filter(entry -> entry.owner.grantsInUse() > 0)
                .forEach(entry -> ejected.addAll(entry.owner.ejected()));
        statistics.healthyEjected = ejected.stream()
                .filter(worker -> worker(worker).behaviour == SimWorker.Behaviour.HEALTHY)
                .count();
    }

    double shareUsed(long from, long until) {
        long busyMillis =
                workers.values().stream().mapToLong(worker -> worker.busyMillis).sum();
        return (double) busyMillis / ((until - from) * WORKERS * SimWorker.SLOTS);
    }
}
