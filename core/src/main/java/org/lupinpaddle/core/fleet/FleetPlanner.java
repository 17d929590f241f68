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
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.capacity.ServiceReport;
import org.lupinpaddle.core.common.Clock;
import org.lupinpaddle.core.cordon.HallCordons;
import org.lupinpaddle.core.fleet.OngoingOperation.Phase;
import org.lupinpaddle.core.queue.ServiceConfig;
import org.lupinpaddle.core.upkeep.EvacuationRecord;
import org.lupinpaddle.core.upkeep.UpkeepRecord;
import org.lupinpaddle.core.upkeep.UpkeepWave;

/**
 * Decides which instances leave their pool and when, both for upkeep and to match the size of each pool to its
 * demand. An instance is ordered out only after the owner of its service has reported its worker as empty. Orders
 * are idempotent and may be repeated: the platform accepts an order that is already done.
 */
public final class FleetPlanner {

    private static final long RETRY_MILLIS = 300;
    // The platform's list lags by about one second. After this margin, an instance listed as up is back.
    private static final long MAX_LIST_LAG_MILLIS = 2_500;
    // With a working store, a written evacuation request becomes visible within a few dozen milliseconds.
    private static final long EVACUATION_REQUEST_TIMEOUT_MILLIS = 10_000;
    // Moves only save cost; one whose evacuation takes longer than this is not worth completing.
    private static final long MOVE_EVACUATION_TIMEOUT_MILLIS = 8_000;

    // How long an instance whose move was refused is left alone, so that others are moved in its place.
    private static final long REFUSED_MILLIS = 10_000;

    /** The reason of a move that is dropped because of a cordon. */
    private static final String HALL_CORDONED = "hall-cordoned";

    private final FleetState state;
    private final PoolSizer sizer;
    private final UpkeepScheduler upkeepScheduler;
    private boolean listReceived;

    /**
     * Creates a planner for an owner that has just acquired the fleet.
     *
     * @param clock the monotonic clock for this owner's own waits
     * @param wallClock the time of day, by which wave deadlines are kept across changes of owner
     */
    public FleetPlanner(FleetTiming timing, FleetPort port, Clock clock, Clock wallClock) {
        state = new FleetState(timing, port, clock, wallClock);
        sizer = new PoolSizer(state);
        upkeepScheduler = new UpkeepScheduler(state);
    }

    /**
     * Handles a new instance list. Instances missing from an incomplete list become unknown, because they may be
     * in a row that could not be read.
     */
    public void onInstances(InstanceList list) {
        listReceived = true;
        state.listReceivedAt = state.now();
        state.listComplete = list.isComplete();
        if (list.isComplete()) {
            state.instances.clear();
        } else {
            state.instances.replaceAll((id, i) -> PlatformInstance.unknown(id));
        }
        list.instances().forEach(i -> state.instances.put(i.id(), i));
    }

    /**
     * Sets the instances that a predecessor has recently ordered, with the time on this owner's clock until which
     * each must not be ordered. Nothing is ordered before this is known. May be called again with fewer
     * instances, once the process that ordered the others is known to have ended.
     */
    public void onPredecessorOrders(Map<String, Long> blockedUntilByInstance) {
        state.onPredecessorOrders(blockedUntilByInstance);
    }

    /** Returns the number of ongoing operations. */
    public int operationCount() {
        return state.ongoingOperations.size();
    }

    /** Sets the configured services. */
    public void onServices(List<ServiceConfig> services) {
        state.services = List.copyOf(services);
    }

    /** Sets the cordoned data halls. */
    public void onCordons(HallCordons cordons) {
        state.cordons = cordons;
    }

    /** Handles a report from the owner of a service. */
    public void onReport(String service, ServiceReport report) {
        state.onReport(service, report);
    }

    /**
     * Sets all requested evacuations, without those whose end this owner has not stored yet. Operations started by a
     * predecessor are resumed.
     */
    public void onEvacuations(Map<EvacuationRecord, String> serviceByRecord) {
        state.evacuations.clear();
        serviceByRecord.keySet().forEach(r -> state.evacuations.put(r.worker(), r));
        serviceByRecord.forEach(this::resumeOperation);
    }

    private void resumeOperation(EvacuationRecord r, String service) {
        boolean alreadyOngoing =
                state.ongoingOperations.values().stream().anyMatch(ongoing -> ongoing.worker.equals(r.worker()));
        if (alreadyOngoing || !listReceived) {
            return;
        }
        if (state.releasedWorkers.contains(r.worker())) {
            // An unanswered write of the request was applied after its removal.
            state.evacuations.remove(r.worker());
            state.port.endEvacuation(service, r.worker());
            return;
        }
        PlatformInstance i = state.instances.get(r.instance());
        if (i != null && i.state() == PlatformInstance.State.UNKNOWN) {
            return;
        }
        Optional<InstanceOperation> operation = InstanceOperation.parse(r.errand());
        boolean current = i != null
                && i.worker().equals(r.worker())
                && i.pool().equals(service)
                && !state.ongoingOperations.containsKey(r.instance());
        if (i == null || !current || operation.isEmpty()) {
            state.port.endEvacuation(service, r.worker());
            return;
        }
        boolean cordonInForce = state.cordons.isAnyCordoned();
        OngoingOperation ongoing =
                new OngoingOperation(i, operation.get(), service, r.worker(), cordonInForce, state.now());
        ongoing.resumed = true;
        state.ongoingOperations.put(r.instance(), ongoing);
    }

    /** Adds the waves requested by operators. */
    public void onWaves(Collection<UpkeepWave> all) {
        all.forEach(w -> state.waves.put(w.number(), w));
    }

    /** Restores the progress of a wave recorded by a predecessor. */
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

    /**
     * Returns the instances whose upkeep has been ordered or is about to be. A successor must count them as down.
     */
    public Set<String> inUpkeep() {
        return state.ongoingOperations.values().stream()
                .filter(ongoing ->
                        ongoing.operation.kind() == InstanceOperation.Kind.UPKEEP && ongoing.phase != Phase.EVACUATING)
                .map(ongoing -> ongoing.instance)
                .collect(Collectors.toSet());
    }

    /** Handles the outcome of an order. */
    public void onOrderOutcome(String instance, InstanceOperation operation, InstanceOrderOutcome outcome) {
        OngoingOperation ongoing = state.ongoingOperations.get(instance);
        if (ongoing == null || !ongoing.operation.equals(operation)) {
            return;
        }
        ongoing.orderInFlight = false;
        ongoing.orderUnanswered |= outcome == InstanceOrderOutcome.UNKNOWN;
        state.port.logDecision("errand-ordered", instance, "errand=" + operation + " outcome=" + outcome);
        switch (outcome) {
            case TAKEN -> onOrderAccepted(ongoing);
            case BUSY -> onBusy(ongoing);
            case REFUSED, UNKNOWN, FENCED -> ongoing.orderDueAt = state.now() + RETRY_MILLIS;
            case NOT_OF_WAVE -> {
                recordBegun(ongoing);
                state.endOperation(ongoing, "the instance is not part of the wave");
            }
            case IMPOSSIBLE -> {
                state.impossibleMoves.add(instance + ">" + operation.target());
                recordBegun(ongoing);
                state.endOperation(ongoing, "the platform rejected the order as impossible");
            }
        }
    }

    /**
     * A busy instance is down or leaving, so its next worker may run before it is listed. An order that was made for
     * an evacuated worker must not be repeated against that one, which may already have tasks.
     */
    private void onBusy(OngoingOperation ongoing) {
        ongoing.refused(state.now());
        ongoing.orderDueAt = state.now() + RETRY_MILLIS;
        if (!requiresEvacuation(ongoing)) {
            return;
        }
        state.holdBack(ongoing.instance, state.now() + MAX_LIST_LAG_MILLIS);
        if (!ongoing.mayBeOrderedUnnoticed()) {
            if (ongoing.isMove()) {
                // Each further move would evacuate the worker anew.
                state.refusedUntil.put(ongoing.instance, state.now() + REFUSED_MILLIS);
            }
            state.endOperation(ongoing, "the instance is down or leaving after its evacuation");
        }
    }

    /** Returns whether the instance was in a pool whose workers run tasks when the operation began. */
    private boolean requiresEvacuation(OngoingOperation ongoing) {
        return !ongoing.worker.isEmpty() || !state.isHeadroom(ongoing.service);
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

    /** Performs all due work. Must be called after each event and every few hundred milliseconds. */
    public void tick() {
        if (!listReceived || state.predecessorOrders == null) {
            return;
        }
        dropMovesOfCordonedHalls();
        new ArrayList<>(state.ongoingOperations.values()).forEach(this::advance);
        upkeepScheduler.run();
        sizer.run();
        // Instances without tasks need no evacuation, so their orders are sent in the same pass.
        state.ongoingOperations.values().stream()
                .filter(ongoing -> ongoing.phase == Phase.ORDERING)
                .toList()
                .forEach(this::advanceOrder);
    }

    /**
     * Ends the moves of cordoned halls that have not been ordered. The order of a predecessor may still be carried out,
     * or may have been carried out without being listed yet, so such a move remains until both are excluded; it is not
     * ordered again meanwhile.
     */
    private void dropMovesOfCordonedHalls() {
        state.ongoingOperations.values().stream()
                .filter(ongoing -> isUnorderedMoveOfCordonedHall(ongoing)
                        && state.mayOrder(ongoing.instance)
                        && !mayBeOrderedUnlisted(ongoing))
                .toList()
                .forEach(ongoing -> state.endOperation(ongoing, HALL_CORDONED));
    }

    /**
     * Returns whether a predecessor's order may have been accepted although the list still shows the instance in its
     * old pool. The records of a predecessor that has shut down do not contain answered orders of moves.
     */
    private boolean mayBeOrderedUnlisted(OngoingOperation ongoing) {
        return ongoing.resumed && state.now() - ongoing.begunAt < MAX_LIST_LAG_MILLIS;
    }

    private boolean isUnorderedMoveOfCordonedHall(OngoingOperation ongoing) {
        return ongoing.isMove() && !ongoing.mayBeOrdered() && state.cordons.isCordoned(ongoing.hall);
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
            state.endOperation(ongoing, "the instance changed during its evacuation");
            return;
        }
        EvacuationRecord r = state.evacuations.get(ongoing.worker);
        if (r == null && state.now() - ongoing.begunAt > EVACUATION_REQUEST_TIMEOUT_MILLIS) {
            state.endOperation(ongoing, "the evacuation request is missing from the store");
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
        // Workers of the headroom pool run nothing and are not evacuated. In other pools, a worker may have
        // started on an instance that was listed without one.
        boolean evacuationRequired = !ongoing.worker.isEmpty() || (i != null && !state.isHeadroom(i.pool()));
        boolean otherWorker = i != null
                && evacuationRequired
                && i.state() == PlatformInstance.State.UP
                && !i.worker().equals(ongoing.worker);
        if (otherWorker && !ongoing.orderInFlight) {
            // The current worker has not been evacuated.
            state.endOperation(ongoing, "another worker runs on the instance");
            return;
        }
        if (evacuationRequired && !ongoing.orderInFlight && i != null && i.state() == PlatformInstance.State.DOWN) {
            // Repeating the order until it is accepted would take out the next worker, which has not been
            // evacuated.
            state.endOperation(ongoing, "the instance went down after its evacuation");
            return;
        }
        if (i == null && requiresEvacuation(ongoing) && !ongoing.orderInFlight && !ongoing.orderUnanswered) {
            state.endOperation(ongoing, "the instance is no longer listed");
            return;
        }
        if (ongoing.isRefusedForGood(state.now())) {
            // The instance would count as supply of its new pool for ever.
            state.refusedUntil.put(ongoing.instance, state.now() + REFUSED_MILLIS);
            state.endOperation(ongoing, "the platform keeps refusing the move");
            return;
        }
        boolean unknown = i != null && i.state() == PlatformInstance.State.UNKNOWN;
        if (!unknown
                && (!requiresEvacuation(ongoing) || isKnownToReachNoOtherWorker(ongoing, i))
                && !isUnorderedMoveOfCordonedHall(ongoing)
                && state.mayOrder(ongoing.instance)
                && !ongoing.orderInFlight
                && state.now() >= ongoing.orderDueAt) {
            ongoing.orderInFlight = true;
            state.port.order(ongoing.instance, ongoing.operation);
        }
    }

    /**
     * Returns whether an order can not take out a worker that was not evacuated, as far as the list shows: the
     * evacuated worker is up, or the instance is where an unnoticed order of this operation has put it, so that the
     * platform treats a repetition as already done.
     */
    private boolean isKnownToReachNoOtherWorker(OngoingOperation ongoing, @Nullable PlatformInstance i) {
        if (i == null || state.isHeldBack(i)) {
            return false;
        }
        return switch (i.state()) {
            case UP -> i.worker().equals(ongoing.worker);
            case MOVING -> ongoing.mayBeOrderedUnnoticed() && ongoing.isMoveTo(i.pool());
            case UPKEEP -> ongoing.mayBeOrderedUnnoticed() && !ongoing.isMove();
            case DOWN, UNKNOWN -> false;
        };
    }

    private void advanceCompletion(OngoingOperation ongoing) {
        PlatformInstance i = state.instances.get(ongoing.instance);
        if (i == null) {
            state.endOperation(ongoing, "the instance is no longer listed");
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

    /**
     * Returns the minimum time before an instance counts as back. The upkeep duration must pass in any case;
     * without a new worker as proof of the restart, the lag of the list is added.
     */
    private long minUpkeepMillis(OngoingOperation ongoing, PlatformInstance i) {
        boolean newWorker = !ongoing.worker.isEmpty() && !i.worker().equals(ongoing.worker);
        return state.timing.upkeepMillis() + (newWorker ? 0 : MAX_LIST_LAG_MILLIS);
    }
}
