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
package org.lupinpaddle.daemon.operator;

import io.vavr.control.Either;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.command.OperatorCommand;
import org.lupinpaddle.core.command.OperatorCommand.Change;
import org.lupinpaddle.core.command.OperatorCommand.WaveDraft;
import org.lupinpaddle.core.common.RecordCodec;
import org.lupinpaddle.core.common.StoreKeys;
import org.lupinpaddle.core.instance.InstanceRecord;
import org.lupinpaddle.core.instance.InstanceState;
import org.lupinpaddle.core.pool.PoolRecord;
import org.lupinpaddle.core.service.Reserve;
import org.lupinpaddle.core.service.ServiceRecord;
import org.lupinpaddle.core.view.FleetView;
import org.lupinpaddle.core.wave.WaveKind;
import org.lupinpaddle.core.wave.WavePlan;
import org.lupinpaddle.core.wave.WavePlanner;
import org.lupinpaddle.core.wave.WaveRecord;
import org.lupinpaddle.core.wave.WaveState;

/** Validates a change against one view of the fleet and determines the record to write for it. */
final class ChangePlanner {

    private final FleetView view;
    private final String operator;
    private final String writeId;

    ChangePlanner(FleetView view, String operator, String writeId) {
        this.view = view;
        this.operator = operator;
        this.writeId = writeId;
    }

    /**
     * The record to write for a change.
     *
     * @param key the record's key
     * @param value the encoded record
     * @param text the message to the operator after the write
     */
    record PlannedWrite(String key, String value, String text) {}

    /** Returns the record to write for a change, or the reason why the change is refused. */
    Either<String, PlannedWrite> plan(Change change) {
        if (change instanceof OperatorCommand.ServiceCreate c) {
            return createService(c);
        } else if (change instanceof OperatorCommand.ServiceChange c) {
            return changeService(c);
        } else if (change instanceof OperatorCommand.ServiceRetire c) {
            return retireService(c);
        } else if (change instanceof OperatorCommand.PoolCreate c) {
            return createPool(c);
        } else if (change instanceof OperatorCommand.PoolRetire c) {
            return retirePool(c);
        } else if (change instanceof OperatorCommand.InstanceAdd c) {
            return addInstance(c);
        } else if (change instanceof OperatorCommand.InstanceRetire c) {
            return retireInstance(c);
        } else if (change instanceof OperatorCommand.WaveStart c) {
            return startWave(c.draft());
        } else if (change instanceof OperatorCommand.WaveSteer c) {
            return steerWave(c);
        }
        return Either.left("this command is not known here; the tool may be newer than the entry");
    }

    private static Either<String, PlannedWrite> plannedWrite(String key, Object record, String text) {
        return Either.right(new PlannedWrite(key, RecordCodec.write(record), text));
    }

    private Either<String, PlannedWrite> createService(OperatorCommand.ServiceCreate c) {
        ServiceRecord existing = view.services().get(c.name());
        if (existing != null && !existing.retired()) {
            return Either.left("service " + c.name() + " exists: " + existing.operator() + " set budget "
                    + existing.budget() + ", reserve " + existing.reserve());
        }
        ServiceRecord next = ServiceRecord.create(c.name(), c.budget(), c.reserve(), operator, writeId);
        return plannedWrite(StoreKeys.service(c.name()), next, "service " + c.name() + " created");
    }

    private Either<String, PlannedWrite> changeService(OperatorCommand.ServiceChange c) {
        ServiceRecord s = view.services().get(c.name());
        if (s == null || s.retired()) {
            return Either.left("there is no service " + c.name());
        }
        Integer newBudget = c.budget();
        int budget = newBudget == null ? s.budget() : newBudget;
        Reserve reserve = c.reserve() == null ? s.reserve() : c.reserve();
        int available = s.available(Set.of());
        if (budget > s.budget() && budget > available) {
            return Either.left("budget " + budget + " can not be met: service " + c.name() + " has " + available
                    + " instances available, " + s.permits().size() + " are out on purpose; in force is budget "
                    + s.budget() + ", set by " + s.operator());
        }
        ServiceRecord next = s.withBudget(budget, Objects.requireNonNull(reserve), operator, writeId);
        return plannedWrite(
                StoreKeys.service(c.name()),
                next,
                "service " + c.name() + " has budget " + budget + ", reserve " + reserve + " (was " + s.budget() + ", "
                        + s.reserve() + ", set by " + s.operator() + ")");
    }

    private Either<String, PlannedWrite> retireService(OperatorCommand.ServiceRetire c) {
        ServiceRecord s = view.services().get(c.name());
        if (s == null || s.retired()) {
            return Either.left("there is no service " + c.name());
        }
        Optional<PoolRecord> servingPool = view.pools().values().stream()
                .filter(p -> !p.retired() && p.runs(c.name()))
                .findFirst();
        if (servingPool.isPresent()) {
            return Either.left(
                    "pool " + servingPool.get().name() + " runs service " + c.name() + "; retire the pool first");
        }
        return plannedWrite(
                StoreKeys.service(c.name()), s.asRetired(operator, writeId), "service " + c.name() + " retired");
    }

    private Either<String, PlannedWrite> createPool(OperatorCommand.PoolCreate c) {
        PoolRecord existing = view.pools().get(c.name());
        if (existing != null && !existing.retired()) {
            return Either.left("pool " + c.name() + " exists: " + existing.operator() + " made it for "
                    + orNone(existing.service()) + " at " + existing.site());
        }
        String service = c.service();
        ServiceRecord s = service == null ? null : view.services().get(service);
        if (service != null && (s == null || s.retired())) {
            return Either.left("there is no service " + service + "; create it first");
        }
        PoolRecord next = new PoolRecord(c.name(), service, c.site(), false, operator, writeId);
        return plannedWrite(StoreKeys.pool(c.name()), next, "pool " + c.name() + " created");
    }

    private Either<String, PlannedWrite> retirePool(OperatorCommand.PoolRetire c) {
        PoolRecord p = view.pools().get(c.name());
        if (p == null || p.retired()) {
            return Either.left("there is no pool " + c.name());
        }
        long remaining = view.instances().values().stream()
                .filter(i -> i.pool().equals(c.name()) && i.state() != InstanceState.RETIRED)
                .count();
        if (remaining > 0) {
            return Either.left("pool " + c.name() + " has " + remaining + " instances; migrate them first");
        }
        PoolRecord next = new PoolRecord(p.name(), p.service(), p.site(), true, operator, writeId);
        return plannedWrite(StoreKeys.pool(c.name()), next, "pool " + c.name() + " retired");
    }

    private Either<String, PlannedWrite> addInstance(OperatorCommand.InstanceAdd c) {
        InstanceRecord existing = view.instances().get(c.id());
        if (existing != null && existing.state() != InstanceState.RETIRED) {
            return Either.left(
                    "instance " + c.id() + " is in pool " + existing.pool() + " already; a migration moves it");
        }
        PoolRecord p = view.pools().get(c.pool());
        if (p == null || p.retired()) {
            return Either.left("there is no pool " + c.pool() + "; create it first");
        }
        Optional<InstanceRecord> sameAddress = view.instances().values().stream()
                .filter(i -> i.address().equals(c.address()) && i.state() != InstanceState.RETIRED)
                .findFirst();
        if (sameAddress.isPresent()) {
            return Either.left("address " + c.address() + " is that of instance "
                    + sameAddress.get().id());
        }
        InstanceRecord next = InstanceRecord.builder(c.id())
                .pool(c.pool())
                .location(c.hall(), c.rack())
                .address(c.address())
                .size(c.slots(), c.memoryMb())
                .build();
        return planInstanceWrite(next, "instance " + c.id() + " added to pool " + c.pool());
    }

    private Either<String, PlannedWrite> retireInstance(OperatorCommand.InstanceRetire c) {
        InstanceRecord i = view.instances().get(c.id());
        if (i == null || i.state() == InstanceState.RETIRED) {
            return Either.left("there is no instance " + c.id());
        }
        PoolRecord p = view.pools().get(i.pool());
        if (p != null && p.service() != null) {
            return Either.left("instance " + c.id() + " serves " + p.service() + " in pool " + p.name()
                    + "; migrate it to a pool of spare instances first");
        }
        if (i.state() != InstanceState.IN_SERVICE) {
            return Either.left("instance " + c.id() + " is " + i.state() + " for wave " + orNone(i.wave()));
        }
        return planInstanceWrite(i.toBuilder().state(InstanceState.RETIRED).build(), "instance " + c.id() + " retired");
    }

    private Either<String, PlannedWrite> planInstanceWrite(InstanceRecord next, String text) {
        return plannedWrite(
                StoreKeys.shardOf(next.id()), view.shardOf(next.id()).with(next, writeId), text);
    }

    private Either<String, PlannedWrite> startWave(WaveDraft draft) {
        WaveRecord existing = view.waves().get(draft.name());
        if (existing != null) {
            return Either.left("wave " + draft.name() + " exists: " + existing.operator()
                    + " started or steered it last, " + "it is " + existing.state() + "; a wave's name is used once");
        }
        WavePlan plan = WavePlanner.plan(view, draft);
        if (!plan.canFinish()) {
            return Either.left("wave " + draft.name() + " can never finish: " + String.join("; ", plan.blockers()));
        }
        WaveRecord next = new WaveRecord(
                draft.name(),
                draft.toPool() == null ? WaveKind.REBOOT : WaveKind.MIGRATE,
                draft.scope(),
                WavePlanner.targets(view, draft),
                draft.order(),
                WaveState.RUNNING,
                "started",
                operator,
                writeId);
        return plannedWrite(
                StoreKeys.wave(draft.name()),
                next,
                "wave " + draft.name() + " started: " + plan.moves() + " moves in " + plan.rounds() + " rounds");
    }

    private Either<String, PlannedWrite> steerWave(OperatorCommand.WaveSteer c) {
        WaveRecord w = view.waves().get(c.name());
        if (w == null) {
            return Either.left("there is no wave " + c.name());
        }
        WaveState next = c.steering().state();
        if (w.state().ended() || w.state() == next) {
            return Either.left(
                    "wave " + c.name() + " is " + w.state() + " (" + w.reason() + "), last steered by " + w.operator());
        }
        String reason = c.steering().past() + " by an operator";
        return plannedWrite(
                StoreKeys.wave(c.name()),
                w.withState(next, reason, operator, writeId),
                "wave " + c.name() + " is " + next + " (was " + w.state() + ")");
    }

    private static String orNone(@Nullable String s) {
        return s == null ? "none" : s;
    }
}
