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
package org.lupinpaddle.core.wave;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.lupinpaddle.core.common.StoreKeys;
import org.lupinpaddle.core.instance.InstanceRecord;
import org.lupinpaddle.core.instance.InstanceState;
import org.lupinpaddle.core.instance.ShardRecord;
import org.lupinpaddle.core.service.MemberReconciler;
import org.lupinpaddle.core.service.Permit;
import org.lupinpaddle.core.service.ServiceRecord;
import org.lupinpaddle.core.view.FleetView;

/**
 * Decides the next steps of a wave from the configuration and the status of the workers alone. No decision
 * depends on state that a driver keeps, so any entry can take over a wave at any point. The changes of one pass
 * are combined into one write per record.
 *
 * <p>The order of writes protects the budget. To take an instance out: write the permit to the service record,
 * then the instance's state, then drain; once all entries have confirmed the state and the worker is idle, write
 * the state again, then reboot. To return it: write the instance's state, then remove the permit. An instance
 * that is out on purpose therefore always has a permit, whichever step a driver fails at. An instance that
 * changes pools is removed from the members of its service before its pool changes, and is counted as a member of
 * the new service once it is in service there.
 */
public final class WaveStepper {

    // The first instance of a wave goes alone. Concurrency then grows only with the number of instances that
    // returned.
    private static final int WIDENING_FACTOR = 2;
    // Before any instance has returned, one overdue instance halts the wave; afterwards two are needed.
    private static final int OVERDUE_LIMIT = 2;

    private final FleetView view;
    private final WaveRecord wave;
    private final FleetStatus status;
    private final Supplier<String> writeIds;
    private final Map<String, ServiceRecord> services = new TreeMap<>();
    private final Map<String, ShardRecord> shards = new TreeMap<>();
    private final List<WaveAction> maintenance = new ArrayList<>();
    private final Set<String> racksOut = new HashSet<>();
    private final Map<String, Integer> returning = new TreeMap<>();
    private final Map<String, Integer> floors = new HashMap<>();
    private final Set<String> joinersChecked = new HashSet<>();
    private int out;
    private int returned;
    private long overdue;

    private WaveStepper(FleetView view, WaveRecord wave, FleetStatus status, Supplier<String> writeIds) {
        this.view = view;
        this.wave = wave;
        this.status = status;
        this.writeIds = writeIds;
    }

    /** Returns the next actions of the named wave; empty if the wave is waiting or finished. */
    public static List<WaveAction> step(FleetView view, String wave, FleetStatus status, Supplier<String> writeIds) {
        WaveRecord record = view.waves().get(wave);
        return record == null ? List.of() : new WaveStepper(view, record, status, writeIds).step();
    }

    /** Returns whether the wave has ended and holds neither an instance nor a permit. */
    public static boolean isSettled(FleetView view, WaveRecord wave) {
        return wave.state().ended() && holdsNoInstanceOrPermit(view, wave);
    }

    private static boolean holdsNoInstanceOrPermit(FleetView view, WaveRecord wave) {
        boolean heldInstance = view.instances().values().stream().anyMatch(i -> i.isHeldBy(wave.name()));
        boolean heldPermit = view.services().values().stream()
                .flatMap(s -> s.permits().values().stream())
                .anyMatch(p -> p.wave().equals(wave.name()));
        return !heldInstance && !heldPermit;
    }

    private List<WaveAction> step() {
        countProgress();
        for (WaveTarget t : wave.targets()) {
            InstanceRecord i = view.instances().get(t.instance());
            if (i != null) {
                step(t, i);
            }
        }
        List<WaveAction> all = new ArrayList<>();
        services.forEach((name, s) -> all.add(new WaveAction.PutService(s, view.revisionOf(StoreKeys.service(name)))));
        shards.forEach((key, s) -> all.add(new WaveAction.PutShard(key, s, view.revisionOf(key))));
        all.addAll(maintenance);
        nextState().ifPresent(w -> all.add(new WaveAction.PutWave(w, view.revisionOf(StoreKeys.wave(wave.name())))));
        return all;
    }

    private void countProgress() {
        overdue = wave.targets().stream()
                .filter(t -> status.overdue().contains(t.instance()))
                .count();
        for (WaveTarget t : wave.targets()) {
            InstanceRecord i = view.instances().get(t.instance());
            if (i == null) {
                continue;
            }
            if (i.isDoneBy(wave.name())) {
                returned++;
            } else if (i.isHeldBy(wave.name()) || permitOf(i).isPresent()) {
                out++;
                racksOut.add(rack(i));
            }
        }
        view.instances().values().stream()
                .filter(i -> i.state() == InstanceState.RETURNING)
                .forEach(i -> view.serviceOf(i).ifPresent(s -> returning.merge(s.name(), 1, Integer::sum)));
    }

    private static String rack(InstanceRecord i) {
        return i.hall() + "/" + i.rack();
    }

    private void step(WaveTarget t, InstanceRecord i) {
        switch (i.state()) {
            case IN_SERVICE -> stepInService(i);
            case LEAVING -> {
                if (i.isHeldBy(wave.name())) {
                    stepLeaving(t, i);
                }
            }
            case REBOOTING -> {
                if (i.isHeldBy(wave.name())) {
                    stepRebooting(t, i);
                }
            }
            case RETURNING -> {
                if (i.isHeldBy(wave.name())) {
                    stepReturning(i);
                }
            }
            case RETIRED -> {}
        }
    }

    private void stepInService(InstanceRecord i) {
        Optional<ServiceRecord> service = view.serviceOf(i);
        Optional<Permit> permit = permitOf(i);
        boolean shouldLeave = wave.state().takesOut() && !i.isDoneBy(wave.name());
        service.ifPresent(this::addJoiners);
        if (permit.isPresent()) {
            usePermit(i, permit.get(), shouldLeave);
        } else if (shouldLeave && mayTakeOut(i)) {
            takeOut(i, service);
        }
    }

    private void usePermit(InstanceRecord i, Permit permit, boolean shouldLeave) {
        if (permit.id().equals(i.spentPermit())) {
            releasePermit(i);
        } else if (!shouldLeave || view.serviceOf(i).filter(this::isBelowFloor).isPresent()) {
            putInstance(i.toBuilder().spentPermit(permit.id()).build());
        } else if (status.statusOf(i.id()).reachable()) {
            putInstance(leaving(i));
        }
    }

    private InstanceRecord leaving(InstanceRecord i) {
        return i.toBuilder()
                .state(InstanceState.LEAVING)
                .wave(wave.name())
                .incarnation(status.statusOf(i.id()).incarnation())
                .build();
    }

    private boolean mayTakeOut(InstanceRecord i) {
        int width = Math.min(wave.order().maxConcurrent(), Math.max(1, WIDENING_FACTOR * returned));
        boolean rackFree = wave.order().mixesRacks() || racksOut.isEmpty() || racksOut.contains(rack(i));
        return out < width
                && rackFree
                && overdue == 0
                && status.statusOf(i.id()).reachable();
    }

    private void takeOut(InstanceRecord i, Optional<ServiceRecord> service) {
        if (service.isEmpty()) {
            putInstance(leaving(i));
            countAsOut(i);
            return;
        }
        ServiceRecord s = current(service.get());
        boolean counted = service.get().members().contains(i.id());
        if (counted && s.canRelease(i.id(), status.failed(), floor(s))) {
            String id = writeIds.get();
            Permit p =
                    new Permit(id, i.id(), wave.name(), status.statusOf(i.id()).incarnation());
            services.put(s.name(), s.withPermit(p, id));
            countAsOut(i);
        }
    }

    private void countAsOut(InstanceRecord i) {
        out++;
        racksOut.add(rack(i));
    }

    private void stepLeaving(WaveTarget t, InstanceRecord i) {
        WorkerStatus s = status.statusOf(i.id());
        Optional<ServiceRecord> service = view.serviceOf(i);
        boolean member = service.filter(x -> x.members().contains(i.id())).isPresent();
        boolean needed = member && service.filter(this::isBelowFloor).isPresent();
        if (!wave.state().takesOut() || needed) {
            putInstance(i.toBuilder().state(InstanceState.RETURNING).build());
            service.ifPresent(x -> returning.merge(x.name(), 1, Integer::sum));
        } else if (s.reachable() && s.incarnation() != i.incarnation()) {
            // The worker restarted on its own while leaving, so it no longer knows that it is draining.
            putInstance(i.toBuilder().incarnation(s.incarnation()).build());
        } else if (!s.leaving()) {
            maintain(WaveAction.Step.DRAIN, i);
        } else if (isIdle(i)) {
            leaveServiceOrReboot(t, i, service, member);
        }
    }

    private boolean isIdle(InstanceRecord i) {
        OptionalLong confirmed = status.confirmedAt(fence(i));
        return confirmed.isPresent() && status.statusOf(i.id()).isDrainedSince(confirmed.getAsLong());
    }

    private void leaveServiceOrReboot(WaveTarget t, InstanceRecord i, Optional<ServiceRecord> service, boolean member) {
        if (t.toPool() != null && member) {
            service.map(this::current).ifPresent(s -> services.put(s.name(), s.withoutMember(i.id(), writeIds.get())));
        } else {
            putInstance(i.toBuilder().state(InstanceState.REBOOTING).build());
        }
    }

    private void stepRebooting(WaveTarget t, InstanceRecord i) {
        WorkerStatus s = status.statusOf(i.id());
        boolean restarted = s.reachable() && s.incarnation() > i.incarnation();
        if (restarted && s.leaving()) {
            maintenance.add(new WaveAction.Maintain(WaveAction.Step.UNDRAIN, i.id(), s.incarnation(), fence(i)));
        } else if (restarted) {
            String pool = t.toPool() == null ? i.pool() : t.toPool();
            putInstance(backInService(i, s).pool(pool).doneBy(wave.name()).build());
        } else if (s.running() == 0) {
            maintain(WaveAction.Step.REBOOT, i);
        }
    }

    // The undrain is sent first in any case: its fence rejects a delayed drain from a driver that was paused.
    // Only a probe after it proves that the worker accepts work and will continue to.
    private void stepReturning(InstanceRecord i) {
        WorkerStatus s = status.statusOf(i.id());
        OptionalLong undrained = status.undrainedAt(i.id(), fence(i));
        if (undrained.isPresent() && s.reachable() && !s.leaving() && s.probedAt() > undrained.getAsLong()) {
            putInstance(backInService(i, s).build());
        } else if (s.reachable()) {
            maintenance.add(new WaveAction.Maintain(WaveAction.Step.UNDRAIN, i.id(), s.incarnation(), fence(i)));
        }
    }

    private InstanceRecord.Builder backInService(InstanceRecord i, WorkerStatus s) {
        String spent = permitOf(i).map(Permit::id).orElse(i.spentPermit());
        return i.toBuilder()
                .state(InstanceState.IN_SERVICE)
                .incarnation(s.incarnation())
                .wave(null)
                .spentPermit(spent);
    }

    private void maintain(WaveAction.Step step, InstanceRecord i) {
        maintenance.add(new WaveAction.Maintain(step, i.id(), i.incarnation(), fence(i)));
    }

    private long fence(InstanceRecord i) {
        return view.revisionOf(StoreKeys.shardOf(i.id()));
    }

    private Optional<Permit> permitOf(InstanceRecord i) {
        return view.serviceOf(i)
                .map(s -> s.permits().get(i.id()))
                .filter(p -> p.wave().equals(wave.name()));
    }

    private void releasePermit(InstanceRecord i) {
        view.serviceOf(i)
                .map(this::current)
                .ifPresent(s -> services.put(s.name(), s.withoutPermit(i.id(), writeIds.get())));
    }

    private void addJoiners(ServiceRecord service) {
        if (joinersChecked.add(service.name())) {
            MemberReconciler.withNewMembers(view, service, writeIds.get()).ifPresent(s -> services.put(s.name(), s));
        }
    }

    private ServiceRecord current(ServiceRecord s) {
        return services.getOrDefault(s.name(), s);
    }

    private int floor(ServiceRecord s) {
        return floors.computeIfAbsent(s.name(), n -> MemberReconciler.minAvailable(view, s));
    }

    // Returning instances count as available, otherwise each pass would return one more.
    private boolean isBelowFloor(ServiceRecord s) {
        return s.available(status.failed()) + returning.getOrDefault(s.name(), 0) < floor(s);
    }

    private void putInstance(InstanceRecord next) {
        String key = StoreKeys.shardOf(next.id());
        ShardRecord shard = shards.getOrDefault(key, view.shardOf(next.id()));
        shards.put(key, shard.with(next, writeIds.get()));
    }

    private Optional<WaveRecord> nextState() {
        if (wave.state() != WaveState.RUNNING) {
            return Optional.empty();
        }
        if (overdue >= (returned == 0 ? 1 : OVERDUE_LIMIT)) {
            return Optional.of(wave.withState(
                    WaveState.HALTED,
                    overdue + " instances have not come back from their reboot",
                    "lupinpaddle",
                    writeIds.get()));
        }
        if (isDone() && services.isEmpty() && shards.isEmpty()) {
            return Optional.of(wave.withState(WaveState.DONE, "every instance is done", "lupinpaddle", writeIds.get()));
        }
        return Optional.empty();
    }

    private boolean isDone() {
        return holdsNoInstanceOrPermit(view, wave)
                && wave.targets().stream()
                        .map(t -> view.instances().get(t.instance()))
                        .allMatch(i -> i == null || i.state() == InstanceState.RETIRED || i.isDoneBy(wave.name()));
    }
}
