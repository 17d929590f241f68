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
 * Both deployments' size of today for one service: nine entries and eight workers of eight slots over four
 * halls. Callers come at random, choose any entry, and come back as they are told, a few times at most.
 */
final class SimFleet {

    private static final int ENTRIES = 9;
    private static final int WORKERS = 8;
    private static final int HALLS = 4;
    private static final int MOST_TRIES = 4;
    private static final long MEAN_RUN_MILLIS = 2_000;
    private static final long TICK_MILLIS = 100;
    private static final long LOST_AFTER_MILLIS = 2_500;

    final SimTime time = new SimTime();
    final SplittableRandom random;
    final SimPolicy policy;
    final SimFigures figures = new SimFigures();
    double load;
    double poisonShare;
    /** By how much each run is longer than callers and the owner's mean expect. */
    double runFactor = 1;
    /** Whether each run is off by up to ten times either way. */
    boolean runsOff;

    long deadlineMillis = 30_000;
    private final TreeMap<String, SimEntry> entries = new TreeMap<>();
    private final TreeMap<String, SimWorker> workers = new TreeMap<>();
    private final Set<String> cutHalls = new HashSet<>();
    private Set<String> lost = Set.of();

    SimFleet(long seed, SimPolicy policy, double load) {
        this.random = new SplittableRandom(seed);
        this.policy = policy;
        this.load = load;
        for (int i = 0; i < WORKERS; i++) {
            SimWorker w = new SimWorker("w" + i, "hall" + i % HALLS, time);
            workers.put(w.id, w);
        }
        for (int i = 0; i < ENTRIES; i++) {
            SimEntry e = new SimEntry("e" + i, "hall" + i % HALLS, this);
            entries.put(e.id, e);
            e.owner.onWorkers(workersFor(e), 0);
        }
        entries.values().forEach(e -> e.reachable(reachableFrom(e), List.of()));
        time.every(TICK_MILLIS, () -> entries.values().forEach(e -> e.deliver(e::tick)));
        time.after(0, this::arrive);
    }

    private List<WorkerInfo> workersFor(SimEntry e) {
        return workers.values().stream()
                .filter(w -> policy != SimPolicy.HALL_OWNERS || w.hall.equals(e.hall))
                .map(w -> new WorkerInfo(w.id, w.hall, SimWorker.SLOTS, 1_000, true))
                .toList();
    }

    private List<String> reachableFrom(SimEntry e) {
        return entries.values().stream()
                .filter(x -> !x.dead && !lost.contains(x.id) && !isCut(e.hall, x.hall))
                .filter(x -> policy != SimPolicy.HALL_OWNERS || x.hall.equals(e.hall))
                .map(x -> x.id)
                .toList();
    }

    private void arrive() {
        double perMilli = load * WORKERS * SimWorker.SLOTS / MEAN_RUN_MILLIS;
        time.after(Math.max(1, Math.round(exponential(1 / perMilli))), this::arrive);
        int kind = random.nextInt(10);
        Urgency u = kind == 0 ? Urgency.URGENT : kind < 7 ? Urgency.NORMAL : Urgency.MAY_WAIT;
        double off = runsOff ? Math.pow(10, random.nextDouble() * 2 - 1) : 1;
        long run = Math.max(1, Math.round(exponential(MEAN_RUN_MILLIS) * runFactor * off));
        boolean poison = random.nextDouble() < poisonShare;
        figures.jobs++;
        attempt(new SimJob(u, run, poison, random.nextBoolean(), time.now()));
    }

    private double exponential(double mean) {
        return -mean * Math.log(1 - random.nextDouble());
    }

    private void attempt(SimJob job) {
        job.tries++;
        List<SimEntry> alive = entries.values().stream().filter(e -> !e.dead).toList();
        alive.get(random.nextInt(alive.size())).accept(job, deadlineMillis);
    }

    void onAnswer(SimJob job, int attempts, boolean good) {
        if (job.poison) {
            figures.poisonAttempts.recordValue(attempts);
            return;
        }
        if (!good) {
            figures.lost++;
            return;
        }
        figures.answered++;
        int second = (int) Math.min(figures.goodputBySecond.length - 1, time.now() / 1_000);
        figures.goodputBySecond[second]++;
    }

    void onGiveUp(SimJob job, int attempts, RequestAction.GiveUp g) {
        if (job.poison) {
            figures.poisonAttempts.recordValue(Math.max(1, attempts));
        } else if (g.comeBackMillis() > 0 && job.tries < MOST_TRIES) {
            time.after(g.comeBackMillis(), () -> attempt(job));
        } else {
            figures.failedForCaller++;
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
        return !hallA.equals(hallB) && (cutHalls.contains(hallA) || cutHalls.contains(hallB));
    }

    void carry(String from, Outgoing o) {
        figures.messages++;
        figures.bytes += SlotFrames.encode(o.message()).getSerializedSize() + 2;
        SimEntry to = entry(o.to());
        if (!isCut(entry(from).hall, to.hall)) {
            time.after(1, () -> to.deliver(() -> to.handle(from, o.message())));
        }
    }

    void cut(String hall, boolean cut) {
        if (cut) {
            cutHalls.add(hall);
        } else {
            cutHalls.remove(hall);
        }
        noticeLater(cut);
    }

    void freeze(String id) {
        entry(id).frozen = true;
        noticeLater(true);
    }

    void thaw(String id) {
        entry(id).thaw();
        noticeLater(false);
    }

    void kill(String id) {
        entry(id).dead = true;
        // A killed process closes its connections, so this is noticed at once.
        time.after(1, this::notice);
    }

    private void noticeLater(boolean slow) {
        time.after(slow ? LOST_AFTER_MILLIS : 1_000, this::notice);
    }

    private void notice() {
        Set<String> gone = new HashSet<>();
        entries.values().stream().filter(e -> e.frozen || e.dead).forEach(e -> gone.add(e.id));
        lost = gone;
        for (SimEntry e : entries.values()) {
            List<String> reachable = reachableFrom(e);
            List<String> unreachable = new ArrayList<>(entries.keySet());
            unreachable.removeAll(reachable);
            e.deliver(() -> e.reachable(reachable, unreachable));
        }
    }

    /** Returns the entry that owns the slots now. */
    String busiestOwner() {
        return entries.values().stream()
                .max(java.util.Comparator.comparingInt(e -> e.owner.grantsInUse()))
                .map(e -> e.id)
                .orElseThrow();
    }

    void countGoodEjected() {
        Set<String> ejected = new HashSet<>();
        entries.values().stream()
                .filter(e -> e.owner.grantsInUse() > 0)
                .forEach(e -> ejected.addAll(e.owner.ejected()));
        figures.goodEjected = ejected.stream()
                .filter(w -> worker(w).manner == SimWorker.Manner.GOOD)
                .count();
    }

    double shareUsed(long from, long until) {
        long busy = workers.values().stream().mapToLong(w -> w.busyMillis).sum();
        return (double) busy / ((until - from) * WORKERS * SimWorker.SLOTS);
    }
}
