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
package org.lupinpaddle.core.slot;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.lupinpaddle.core.common.Urgency;
import org.lupinpaddle.core.request.AttemptOutcome;
import org.lupinpaddle.core.request.GiveUpReason;
import org.lupinpaddle.core.slot.SlotMessage.Ask;
import org.lupinpaddle.core.slot.SlotMessage.Grant;
import org.lupinpaddle.core.slot.SlotMessage.Granted;
import org.lupinpaddle.core.slot.SlotMessage.InUse;
import org.lupinpaddle.core.slot.SlotMessage.Outgoing;
import org.lupinpaddle.core.slot.SlotMessage.Queued;
import org.lupinpaddle.core.slot.SlotMessage.Refused;
import org.lupinpaddle.core.slot.SlotMessage.Release;

/**
 * Grants the slots of one service's workers to all reachable entries. A single queue orders all asks by arrival
 * and urgency, so urgent work from any entry goes before other work that waits at any entry. The owner is
 * selected by rendezvous hashing and stores nothing. If two entries briefly both act as owner, the only effect is
 * refusals by workers: the worker itself enforces the limit of its slots.
 */
public final class SlotOwner {

    // Weight of the newest run time in the running mean.
    private static final double MEAN_WEIGHT = 0.05;
    private static final int MIN_RUNS = 8;
    // Run time estimates are often far off. An ask is refused as hopeless only if the expected wait is twice the
    // remaining time.
    private static final double HOPELESS_FACTOR = 0.5;
    private static final int MAX_EJECTED_DIVISOR = 3;

    // A grant younger than this may not have reached the reporting entry yet.
    private static final long GRANT_DELIVERY_MILLIS = 4_000;
    // Entries report to their owner every few seconds, so a grant that no entry reports is not in use.
    private static final long UNREPORTED_TIMEOUT_MILLIS = 15_000;

    private final String service;
    private final int queueCapacity;
    private final RandomGenerator random;
    private final Map<String, Worker> workers = new TreeMap<>();
    private final Map<Long, HeldGrant> heldGrants = new HashMap<>();
    private final TreeSet<Waiting> queue =
            new TreeSet<>(Comparator.<Waiting>comparingLong(w -> w.orderTime).thenComparingLong(w -> w.sequence));
    private final Map<AskKey, Waiting> waiting = new HashMap<>();
    private long sequence;
    private double meanRunMillis;
    private int runs;

    /**
     * Creates the owner of a service's slots.
     *
     * @param queueCapacity the length limit of the queue
     * @param random the source of grant ids
     */
    public SlotOwner(String service, int queueCapacity, RandomGenerator random) {
        this.service = service;
        this.queueCapacity = queueCapacity;
        this.random = random;
    }

    /** Sets the known workers of the service. */
    public List<Outgoing> onWorkers(Collection<WorkerInfo> infos, long now) {
        Map<String, Worker> old = new HashMap<>(workers);
        workers.clear();
        for (WorkerInfo i : infos) {
            Worker w = old.getOrDefault(i.id(), new Worker());
            w.info = i;
            workers.put(i.id(), w);
        }
        return dispatch(now);
    }

    /** Handles an ask from an entry. */
    public List<Outgoing> onAsk(String entry, Ask ask, long now) {
        AskKey key = new AskKey(entry, ask.ask());
        if (waiting.containsKey(key)) {
            return List.of(new Outgoing(entry, new Queued(service, ask.ask())));
        }
        Optional<Refused> refusal = refusalFor(ask, now);
        if (refusal.isPresent()) {
            return List.of(new Outgoing(entry, refusal.get()));
        }
        Waiting w = new Waiting(key, ask, now, sequence++);
        queue.add(w);
        waiting.put(key, w);
        List<Outgoing> out = dispatch(now);
        if (waiting.containsKey(key)) {
            out.add(new Outgoing(entry, new Queued(service, ask.ask())));
        }
        return out;
    }

    private Optional<Refused> refusalFor(Ask ask, long now) {
        if (workers.values().stream().noneMatch(w -> w.info.usable())) {
            return Optional.of(refused(ask, GiveUpReason.CUT_OFF, GiveUpReason.CUT_OFF.retryAfterMillis()));
        }
        if (workers.values().stream().noneMatch(w -> w.info.memoryMb() >= ask.memoryMb())) {
            return Optional.of(refused(ask, GiveUpReason.TOO_LARGE, 0));
        }
        if (queue.size() >= ask.urgency().queueLimit(queueCapacity)) {
            return Optional.of(refused(ask, GiveUpReason.SHED, retryAfterMillis(GiveUpReason.SHED)));
        }
        long ahead = queue.stream()
                .filter(w -> w.orderTime <= ask.urgency().orderTime(now - ask.waitedMillis()))
                .count();
        if (ahead > 0 && expectedWaitMillis(ahead, now) * HOPELESS_FACTOR > ask.remainingMillis()) {
            return Optional.of(refused(ask, GiveUpReason.HOPELESS, retryAfterMillis(GiveUpReason.HOPELESS)));
        }
        return Optional.empty();
    }

    private Refused refused(Ask ask, GiveUpReason reason, long retryAfterMillis) {
        return new Refused(service, ask.ask(), reason, retryAfterMillis);
    }

    // Adds up to half of the delay at random, so that callers that were given the same delay do not return in one
    // burst.
    private long retryAfterMillis(GiveUpReason reason) {
        long drainMillis = (long) expectedWaitMillis(queue.size(), 0);
        long baseMillis = Math.max(reason.retryAfterMillis(), Math.min(drainMillis, 60_000));
        return baseMillis + random.nextLong(baseMillis / 2 + 1);
    }

    private double expectedWaitMillis(long ahead, long now) {
        if (runs < MIN_RUNS) {
            return 0;
        }
        int slots = workers.values().stream().mapToInt(w -> w.usableSlots(now)).sum();
        return ahead * meanRunMillis / Math.max(1, slots);
    }

    /** Cancels an ask. */
    public void onCancel(String entry, long ask) {
        Waiting w = waiting.remove(new AskKey(entry, ask));
        if (w != null) {
            queue.remove(w);
        }
    }

    /** Handles the release of a grant, which may come from an earlier owner. */
    public List<Outgoing> onRelease(Release release, long now) {
        HeldGrant h = heldGrants.remove(release.grant());
        Worker w = workers.get(release.worker());
        if (h != null && release.outcome() == AttemptOutcome.ANSWERED) {
            addRunTime(now - h.since);
        }
        if (w != null) {
            if (h != null) {
                w.inUse--;
            }
            w.health.onOutcome(release.outcome(), now);
            ejectIfUnhealthy(w, now);
        }
        return dispatch(now);
    }

    private void addRunTime(long millis) {
        runs++;
        meanRunMillis = runs == 1 ? millis : meanRunMillis + MEAN_WEIGHT * (millis - meanRunMillis);
    }

    private void ejectIfUnhealthy(Worker w, long now) {
        long ejectedCount = workers.values().stream()
                .filter(x -> x.health.isEjectedOrProbing())
                .count();
        long maxEjected = workers.size() < 2 ? 0 : Math.max(1, workers.size() / MAX_EJECTED_DIVISOR);
        double peerSuccessRate = workers.values().stream()
                .filter(x -> x != w && !x.health.isEjectedOrProbing())
                .mapToDouble(x -> x.health.successRate())
                .average()
                .orElse(0);
        if (ejectedCount < maxEjected && w.health.isUnhealthy(peerSuccessRate, now)) {
            w.health.eject(now);
        }
    }

    /**
     * Handles an entry's report of all its grants. Grants of an earlier owner are added. A grant of this owner
     * that the report does not name was lost in transit and is released.
     */
    public List<Outgoing> onInUse(String entry, InUse report, long now) {
        Set<Long> reportedIds = report.grants().stream().map(Grant::id).collect(Collectors.toSet());
        releaseMatching(h -> h.entry.equals(entry) && now - h.since >= GRANT_DELIVERY_MILLIS, reportedIds);
        for (Grant g : report.grants()) {
            addReportedGrant(entry, g, now);
        }
        return dispatch(now);
    }

    private void addReportedGrant(String entry, Grant g, long now) {
        HeldGrant known = heldGrants.get(g.id());
        Worker w = workers.get(g.worker());
        if (known != null) {
            heldGrants.put(g.id(), new HeldGrant(entry, g.worker(), known.since, now));
        } else if (w != null) {
            heldGrants.put(g.id(), new HeldGrant(entry, g.worker(), now, now));
            w.inUse++;
        }
    }

    /** Drops all asks and grants of an entry that is gone. */
    public List<Outgoing> onEntryGone(String entry, long now) {
        queue.removeIf(w -> w.key.entry.equals(entry));
        waiting.keySet().removeIf(k -> k.entry.equals(entry));
        releaseMatching(h -> h.entry.equals(entry), Set.of());
        return dispatch(now);
    }

    private void releaseMatching(Predicate<HeldGrant> condition, Set<Long> exceptIds) {
        Iterator<Map.Entry<Long, HeldGrant>> it = heldGrants.entrySet().iterator();
        while (it.hasNext()) {
            Map.Entry<Long, HeldGrant> e = it.next();
            if (condition.test(e.getValue()) && !exceptIds.contains(e.getKey())) {
                it.remove();
                Worker w = workers.get(e.getValue().worker);
                if (w != null) {
                    w.inUse--;
                }
            }
        }
    }

    /** Drops expired asks, releases unreported grants, and grants slots that became free over time. */
    public List<Outgoing> onTick(long now) {
        queue.stream().filter(w -> now >= w.deadline).toList().forEach(this::drop);
        releaseMatching(h -> now - h.reportedAt >= UNREPORTED_TIMEOUT_MILLIS, Set.of());
        return dispatch(now);
    }

    private void drop(Waiting w) {
        queue.remove(w);
        waiting.remove(w.key);
    }

    private List<Outgoing> dispatch(long now) {
        List<Outgoing> out = new ArrayList<>();
        if (queue.isEmpty()) {
            return out;
        }
        if (workers.values().stream().noneMatch(w -> w.info.usable())) {
            refuseAll(out);
            return out;
        }
        for (Waiting w : List.copyOf(queue)) {
            if (freeSlots(now) == 0) {
                break;
            }
            if (now < w.deadline) {
                choose(w.ask, now).ifPresent(worker -> grant(w, worker, now, out));
            }
        }
        return out;
    }

    private void refuseAll(List<Outgoing> out) {
        for (Waiting w : List.copyOf(queue)) {
            drop(w);
            out.add(new Outgoing(
                    w.key.entry, refused(w.ask, GiveUpReason.CUT_OFF, retryAfterMillis(GiveUpReason.CUT_OFF))));
        }
    }

    private int freeSlots(long now) {
        return workers.values().stream().mapToInt(w -> w.free(now)).sum();
    }

    private Optional<Worker> choose(Ask ask, long now) {
        List<Worker> candidates = workers.values().stream()
                .filter(w -> w.free(now) > 0 && w.info.memoryMb() >= ask.memoryMb())
                .toList();
        return candidates.stream()
                .min(Comparator.<Worker>comparingInt(w -> w.probeRank(ask))
                        .thenComparingInt(w -> ask.avoid().contains(w.info.id()) ? 1 : 0)
                        .thenComparingInt(w -> w.info.hall().equals(ask.hall()) ? 0 : 1)
                        .thenComparingDouble(w -> (double) w.inUse / w.info.slots())
                        .thenComparing(w -> w.info.id()));
    }

    private void grant(Waiting w, Worker worker, long now, List<Outgoing> out) {
        drop(w);
        long id = random.nextLong();
        String workerId = worker.info.id();
        heldGrants.put(id, new HeldGrant(w.key.entry, workerId, now, now));
        worker.inUse++;
        out.add(new Outgoing(w.key.entry, new Granted(service, w.ask.ask(), new Grant(id, workerId))));
    }

    /** Returns the number of queued asks. */
    public int queueLength() {
        return queue.size();
    }

    /** Returns the number of grants in use. */
    public int grantsInUse() {
        return heldGrants.size();
    }

    /** Returns the workers that are ejected or being probed. */
    public List<String> ejected() {
        return workers.values().stream()
                .filter(w -> w.health.isEjectedOrProbing())
                .map(w -> w.info.id())
                .toList();
    }

    private record AskKey(String entry, long ask) {}

    private record HeldGrant(String entry, String worker, long since, long reportedAt) {}

    private static final class Waiting {
        private final AskKey key;
        private final Ask ask;
        private final long orderTime;
        private final long deadline;
        private final long sequence;

        private Waiting(AskKey key, Ask ask, long now, long sequence) {
            this.key = key;
            this.ask = ask;
            this.orderTime = ask.urgency().orderTime(now - ask.waitedMillis());
            this.deadline = now + ask.remainingMillis();
            this.sequence = sequence;
        }
    }

    private static final class Worker {
        private final WorkerHealth health = new WorkerHealth();
        private WorkerInfo info = new WorkerInfo("", "", 0, 0, false);
        private int inUse;

        private int usableSlots(long now) {
            return info.usable() ? health.usableSlots(info.slots(), now) : 0;
        }

        // A worker whose ejection has ended is probed with the next request that is not urgent. On a service with
        // little load it would otherwise never be chosen and would stay ejected.
        private int probeRank(Ask ask) {
            if (!health.isEjectedOrProbing()) {
                return 1;
            }
            return ask.urgency() == Urgency.URGENT ? 2 : 0;
        }

        private int free(long now) {
            return Math.max(0, usableSlots(now) - inUse);
        }
    }
}
