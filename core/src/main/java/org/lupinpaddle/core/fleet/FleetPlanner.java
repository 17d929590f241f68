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

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.lupinpaddle.core.capacity.ServiceReport;
import org.lupinpaddle.core.common.Clock;
import org.lupinpaddle.core.fleet.OngoingOperation.Phase;
import org.lupinpaddle.core.queue.ServiceConfig;
import org.lupinpaddle.core.upkeep.EvacuationRecord;
import org.lupinpaddle.core.upkeep.UpkeepRecord;
import org.lupinpaddle.core.upkeep.UpkeepWave;

/**
 * Decides which instance leaves which pool when: for upkeep, and to keep pools as large as their work needs.
 * An instance is ordered away only after the owner of its service has said that its worker is empty. Orders
 * may be given again: the platform takes one that is done already for done.
 */
public final class FleetPlanner {

    private static final long RETRY_MILLIS = 300;
    // The platform's list lags by about a second; after this an instance that is up is taken to be back.
    private static final long MAX_LIST_LAG_MILLIS = 2_500;
    // A request is in the store, and seen there, within some dozens of milliseconds of a store that works.
    private static final long EVACUATION_REQUEST_TIMEOUT_MILLIS = 10_000;
    // A move is a matter of cost only: where emptying takes so long, it is not worth it.
    private static final long MOVE_EVACUATION_TIMEOUT_MILLIS = 8_000;

    private final FleetState state;
    private final PoolSizer sizer;
    private final UpkeepScheduler upkeepScheduler;
    private boolean listReceived;

    /**
     * Makes the planner of a fleet whose ownership has just been won.
     *
     * @param clock for the owner's own waits
     * @param wallClock the time of day, by which a wave's time runs over changes of owner
     */
    public FleetPlanner(FleetTiming timing, FleetPort port, Clock clock, Clock wallClock) {
        state = new FleetState(timing, port, clock, wallClock);
        sizer = new PoolSizer(state);
        upkeepScheduler = new UpkeepScheduler(state);
    }

    /** Takes in the platform's list. What an incomplete one does not name may be behind a row that can not be read. */
    public void onInstances(InstanceList list) {
        listReceived = true;
        state.listComplete = list.isComplete();
        if (list.isComplete()) {
            state.instances.clear();
        } else {
            state.instances.replaceAll((id, i) -> PlatformInstance.unknown(id));
        }
        list.instances().forEach(i -> state.instances.put(i.id(), i));
    }

    /**
     * Takes in which instances an earlier owner has ordered lately, and until when by this owner's clock each is to be left
     * alone; until this is known nothing is ordered. Fewer of them may be told later, when the life that ordered them is
     * known to be over.
     */
    public void onPredecessorOrders(Map<String, Long> blockedUntilByInstance) {
        state.onPredecessorOrders(blockedUntilByInstance);
    }

    /** Returns how many errands are under way. */
    public int operationCount() {
        return state.ongoingOperations.size();
    }

    /** Takes in the services of the configuration. */
    public void onServices(List<ServiceConfig> services) {
        state.services = List.copyOf(services);
    }

    /** Takes in a report of a service's owner. */
    public void onReport(String service, ServiceReport report) {
        state.onReport(service, report);
    }

    /** Takes in all evacuations that are asked for; those of an earlier owner's errands are gone on with. */
    public void onEvacuations(Map<EvacuationRecord, String> serviceByRecord) {
        state.evacuations.clear();
        serviceByRecord.keySet().forEach(r -> state.evacuations.put(r.worker(), r));
        serviceByRecord.forEach(this::resumeOperation);
    }

    private void resumeOperation(EvacuationRecord r, String service) {
        boolean alreadyOngoing =
                state.ongoingOperations.values().stream().anyMatch(ongoing -> ongoing.worker.equals(r.worker()));
        if (alreadyOngoing || !listReceived || state.releasedWorkers.contains(r.worker())) {
            return;
        }
        PlatformInstance i = state.instances.get(r.instance());
        if (i != null && i.state() == PlatformInstance.State.UNKNOWN) {
            return;
        }
        boolean current = i != null
                && i.worker().equals(r.worker())
                && i.pool().equals(service)
                && !state.ongoingOperations.containsKey(r.instance());
        InstanceOperation.parse(r.errand())
                .filter(ongoing -> current)
                .ifPresentOrElse(
                        ongoing -> state.ongoingOperations.put(
                                r.instance(),
                                new OngoingOperation(r.instance(), ongoing, service, r.worker(), state.now())),
                        () -> state.port.endEvacuation(service, r.worker()));
    }

    /** Takes in the waves that the operators ask for. */
    public void onWaves(Collection<UpkeepWave> all) {
        all.forEach(w -> state.waves.put(w.number(), w));
    }

    /** Takes in how far an earlier owner has brought a wave. */
    public void onUpkeep(long wave, UpkeepRecord record) {
        state.begunInstances(wave).addAll(record.begun());
        if (record.completed()) {
            state.completed.add(wave);
        }
        Long firstSeenMillis = record.seenMillis();
        if (firstSeenMillis != null) {
            state.waveFirstSeenMillis.put(wave, firstSeenMillis);
        }
    }

    /** Returns the instances that are down for their upkeep, or about to be: a successor must count them. */
    public Set<String> inUpkeep() {
        return state.ongoingOperations.values().stream()
                .filter(ongoing ->
                        ongoing.operation.kind() == InstanceOperation.Kind.UPKEEP && ongoing.phase != Phase.EVACUATING)
                .map(ongoing -> ongoing.instance)
                .collect(Collectors.toSet());
    }

    /** Takes in what became of an order. */
    public void onOrderOutcome(String instance, InstanceOperation operation, InstanceOrderOutcome outcome) {
        OngoingOperation ongoing = state.ongoingOperations.get(instance);
        if (ongoing == null || !ongoing.operation.equals(operation)) {
            return;
        }
        ongoing.orderInFlight = false;
        state.port.logDecision("errand-ordered", instance, "errand=" + operation + " outcome=" + outcome);
        switch (outcome) {
            case TAKEN -> onOrderAccepted(ongoing);
            case BUSY, REFUSED, UNKNOWN, FENCED -> ongoing.orderDueAt = state.now() + RETRY_MILLIS;
            case NOT_OF_WAVE -> {
                recordBegun(ongoing);
                state.endOperation(ongoing, "not of the wave");
            }
            case IMPOSSIBLE -> {
                state.impossibleMoves.add(instance + ">" + operation.target());
                recordBegun(ongoing);
                state.endOperation(ongoing, "the platform says it is impossible");
            }
        }
    }

    private void onOrderAccepted(OngoingOperation ongoing) {
        ongoing.phase = Phase.AWAITING_COMPLETION;
        ongoing.acceptedAt = state.now();
        recordBegun(ongoing);
    }

    private void recordBegun(OngoingOperation ongoing) {
        if (ongoing.operation.kind() == InstanceOperation.Kind.UPKEEP) {
            long wave = Long.parseLong(ongoing.operation.target());
            state.begunInstances(wave).add(ongoing.instance);
            state.port.writeUpkeep(
                    wave,
                    new UpkeepRecord(List.copyOf(state.begunInstances(wave)), false, state.firstSeenMillis(wave)));
        }
    }

    /** Does all that is due. Call after each event, and every few hundred milliseconds. */
    public void tick() {
        if (!listReceived || state.predecessorOrders == null) {
            return;
        }
        new ArrayList<>(state.ongoingOperations.values()).forEach(this::advance);
        upkeepScheduler.run();
        sizer.run();
        // Instances that run nothing need no emptying: their orders go out at once.
        state.ongoingOperations.values().stream()
                .filter(ongoing -> ongoing.phase == Phase.ORDERING)
                .toList()
                .forEach(this::advanceOrder);
    }

    private void advance(OngoingOperation ongoing) {
        switch (ongoing.phase) {
            case EVACUATING -> advanceEvacuation(ongoing);
            case ORDERING -> advanceOrder(ongoing);
            case AWAITING_COMPLETION -> advanceCompletion(ongoing);
        }
    }

    private void advanceEvacuation(OngoingOperation ongoing) {
        PlatformInstance i = state.instances.get(ongoing.instance);
        if (i != null && i.state() == PlatformInstance.State.UNKNOWN) {
            return;
        }
        if (i == null || !i.worker().equals(ongoing.worker) || i.state() != PlatformInstance.State.UP) {
            state.endOperation(ongoing, "the instance changed while it was emptied");
            return;
        }
        EvacuationRecord r = state.evacuations.get(ongoing.worker);
        if (r == null && state.now() - ongoing.begunAt > EVACUATION_REQUEST_TIMEOUT_MILLIS) {
            state.endOperation(ongoing, "the request to empty its worker is gone");
        } else if (r != null && r.empty() && r.errand().equals(ongoing.operation.toString())) {
            ongoing.phase = Phase.ORDERING;
            advanceOrder(ongoing);
        } else if (ongoing.operation.kind() == InstanceOperation.Kind.MOVE
                && state.now() - ongoing.begunAt > MOVE_EVACUATION_TIMEOUT_MILLIS) {
            state.endOperation(ongoing, "emptying takes too long for a move");
        }
    }

    private void advanceOrder(OngoingOperation ongoing) {
        PlatformInstance i = state.instances.get(ongoing.instance);
        // The headroom pool's workers run nothing and are not asked; elsewhere one may have come since.
        boolean evacuationRequired = !ongoing.worker.isEmpty() || (i != null && !state.isHeadroom(i.pool()));
        boolean otherWorker = i != null
                && evacuationRequired
                && i.state() == PlatformInstance.State.UP
                && !i.worker().equals(ongoing.worker);
        if (otherWorker && !ongoing.orderInFlight) {
            // Whoever lives there now has not been emptied.
            state.endOperation(ongoing, "another worker lives on the instance");
            return;
        }
        if (evacuationRequired && !ongoing.orderInFlight && i != null && i.state() == PlatformInstance.State.DOWN) {
            // Sent on until it is taken, the order would take the life that comes next and has not been emptied.
            state.endOperation(ongoing, "the instance went down after it was emptied");
            return;
        }
        boolean unknown = i != null && i.state() == PlatformInstance.State.UNKNOWN;
        if (!unknown
                && state.mayOrder(ongoing.instance)
                && !ongoing.orderInFlight
                && state.now() >= ongoing.orderDueAt) {
            ongoing.orderInFlight = true;
            state.port.order(ongoing.instance, ongoing.operation);
        }
    }

    private void advanceCompletion(OngoingOperation ongoing) {
        PlatformInstance i = state.instances.get(ongoing.instance);
        if (i == null) {
            state.endOperation(ongoing, "the instance is gone from the list");
            return;
        }
        long waitedMillis = state.now() - ongoing.acceptedAt;
        boolean up = i.state() == PlatformInstance.State.UP;
        boolean arrived =
                switch (ongoing.operation.kind()) {
                    case MOVE -> up && i.pool().equals(ongoing.operation.target());
                    case UPKEEP -> up && waitedMillis >= minUpkeepMillis(ongoing, i);
                };
        if (arrived) {
            state.endOperation(ongoing, "done");
        }
    }

    /** A new worker shows that the instance is back, but only after the time that the upkeep takes. */
    private long minUpkeepMillis(OngoingOperation ongoing, PlatformInstance i) {
        boolean newWorker = !ongoing.worker.isEmpty() && !i.worker().equals(ongoing.worker);
        return state.timing.upkeepMillis() + (newWorker ? 0 : MAX_LIST_LAG_MILLIS);
    }
}
