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
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.command.OperatorCommand.WaveDraft;
import org.lupinpaddle.core.instance.InstanceRecord;
import org.lupinpaddle.core.instance.InstanceState;
import org.lupinpaddle.core.pool.PoolRecord;
import org.lupinpaddle.core.service.MemberReconciler;
import org.lupinpaddle.core.service.ServiceRecord;
import org.lupinpaddle.core.view.FleetView;

/**
 * Predicts the course of a wave by simulating it in rounds with the rules of {@link WaveStepper}: budgets and
 * reserves, the limit of the order, and widening only by instances that returned. If the simulation gets stuck
 * although all instances are healthy, the wave can never finish, and the plan names the services that block it.
 */
public final class WavePlanner {

    // The duration of a drain and a reboot of the stand-ins. Operators read the number of rounds and scale it by
    // the durations of their own fleet.
    private static final long ROUND_MILLIS = 120_000;

    private final FleetView view;
    private final WaveOrder order;
    private final List<WaveTarget> waiting;
    private final Map<String, Integer> members = new TreeMap<>();
    private final List<WavePlan.Step> steps = new ArrayList<>();
    private int maxConcurrent;

    private WavePlanner(FleetView view, WaveOrder order, List<WaveTarget> targets) {
        this.view = view;
        this.order = order;
        this.waiting = new ArrayList<>(targets);
        view.services().values().forEach(s -> members.put(s.name(), s.available(Set.of())));
    }

    /**
     * Returns the targets of a draft in processing order: first the spares that join, then the instances that
     * leave.
     */
    public static List<WaveTarget> targets(FleetView view, WaveDraft draft) {
        List<InstanceRecord> covered = view.instances().values().stream()
                .filter(i -> i.state() != InstanceState.RETIRED && draft.scope().covers(i))
                .sorted(draft.order().comparator())
                .toList();
        Stream<WaveTarget> outgoing = covered.stream().map(i -> new WaveTarget(i.id(), draft.toPool()));
        String spares = draft.spares();
        if (spares == null) {
            return outgoing.toList();
        }
        Stream<WaveTarget> incoming = view.instances().values().stream()
                .filter(i -> i.state() == InstanceState.IN_SERVICE && spares.equals(i.pool()))
                .sorted(draft.order().comparator())
                .limit(covered.size())
                .map(i -> new WaveTarget(i.id(), draft.scope().pool()));
        return Stream.concat(incoming, outgoing).toList();
    }

    /** Returns the plan of a draft. */
    public static WavePlan plan(FleetView view, WaveDraft draft) {
        List<WaveTarget> targets = targets(view, draft);
        List<String> blockers = new ArrayList<>(findProblems(view, draft, targets));
        WavePlanner planner = new WavePlanner(view, draft.order(), targets);
        int rounds = planner.planRounds(blockers);
        int reserve = planner.affectedServices(targets).stream()
                .map(view.services()::get)
                .mapToInt(s -> MemberReconciler.minAvailable(view, s) - s.budget())
                .sum();
        return new WavePlan(
                planner.steps, blockers, rounds, rounds * ROUND_MILLIS, targets.size(), planner.maxConcurrent, reserve);
    }

    private static List<String> findProblems(FleetView view, WaveDraft draft, List<WaveTarget> targets) {
        List<String> problems = new ArrayList<>();
        if (targets.isEmpty()) {
            problems.add("the scope covers no instance");
        }
        for (String pool : Stream.of(Optional.ofNullable(draft.toPool()), Optional.ofNullable(draft.spares()))
                .flatMap(Optional::stream)
                .toList()) {
            PoolRecord p = view.pools().get(pool);
            if (p == null || p.retired()) {
                problems.add("there is no pool " + pool);
            }
        }
        for (WaveRecord w : view.waves().values()) {
            if (!w.state().ended() && !w.name().equals(draft.name())) {
                targets.stream()
                        .filter(t -> w.targets(t.instance()))
                        .findFirst()
                        .ifPresent(t -> problems.add("instance " + t.instance() + " is in wave " + w.name() + ", which "
                                + w.operator() + " started or steered last and which has not ended"));
            }
        }
        return problems;
    }

    private int planRounds(List<String> blockers) {
        int round = 0;
        int returned = 0;
        while (!waiting.isEmpty()) {
            List<WaveTarget> batch = choose(round + 1, Math.min(order.maxConcurrent(), Math.max(1, 2 * returned)));
            if (batch.isEmpty()) {
                waiting.stream().map(this::blocker).distinct().forEach(blockers::add);
                return round;
            }
            round++;
            returned += batch.size();
            maxConcurrent = Math.max(maxConcurrent, batch.size());
            batch.forEach(this::completeStep);
        }
        return round;
    }

    private List<WaveTarget> choose(int round, int width) {
        List<WaveTarget> chosen = new ArrayList<>();
        Map<String, Integer> out = new HashMap<>();
        Set<String> racks = new TreeSet<>();
        for (WaveTarget t : List.copyOf(waiting)) {
            InstanceRecord i = instance(t);
            String rack = i.hall() + "/" + i.rack();
            boolean rackFree = order.mixesRacks() || racks.isEmpty() || racks.contains(rack);
            String service = serviceOf(i.pool());
            if (chosen.size() < width && rackFree && isWithinBudget(service, out)) {
                if (service != null) {
                    out.merge(service, 1, Integer::sum);
                }
                racks.add(rack);
                chosen.add(t);
                steps.add(new WavePlan.Step(t, round, reason(service, t)));
            }
        }
        waiting.removeAll(chosen);
        return chosen;
    }

    private boolean isWithinBudget(@Nullable String service, Map<String, Integer> out) {
        if (service == null) {
            return true;
        }
        ServiceRecord s = view.services().get(service);
        return s == null
                || members.getOrDefault(service, 0) - out.getOrDefault(service, 0) - 1
                        >= MemberReconciler.minAvailable(view, s);
    }

    private String reason(@Nullable String service, WaveTarget t) {
        if (service == null) {
            return "spare: no budget holds it" + (t.toPool() == null ? "" : "; joins " + t.toPool());
        }
        ServiceRecord s = view.services().get(service);
        int floor = s == null ? 0 : MemberReconciler.minAvailable(view, s);
        return service + " keeps " + floor + " of " + members.getOrDefault(service, 0)
                + (t.toPool() == null ? "" : "; goes to " + t.toPool());
    }

    private void completeStep(WaveTarget t) {
        String to = t.toPool();
        if (to != null) {
            String from = serviceOf(instance(t).pool());
            String into = serviceOf(to);
            if (from != null) {
                members.merge(from, -1, Integer::sum);
            }
            if (into != null) {
                members.merge(into, 1, Integer::sum);
            }
        }
    }

    private String blocker(WaveTarget t) {
        String service = serviceOf(instance(t).pool());
        ServiceRecord s = service == null ? null : view.services().get(service);
        if (s == null) {
            return "instance " + t.instance() + " can not be taken out";
        }
        int reserve = MemberReconciler.minAvailable(view, s) - s.budget();
        return "service " + service + " has " + members.getOrDefault(service, 0) + " available, its budget is "
                + s.budget() + " and its reserve " + reserve + ": none may leave";
    }

    private Set<String> affectedServices(List<WaveTarget> targets) {
        Set<String> all = new TreeSet<>();
        for (WaveTarget t : targets) {
            String s = serviceOf(instance(t).pool());
            if (s != null && view.services().containsKey(s)) {
                all.add(s);
            }
        }
        return all;
    }

    private InstanceRecord instance(WaveTarget t) {
        InstanceRecord i = view.instances().get(t.instance());
        if (i == null) {
            throw new IllegalStateException("wave target does not exist: " + t.instance());
        }
        return i;
    }

    private @Nullable String serviceOf(String pool) {
        PoolRecord p = view.pools().get(pool);
        return p == null ? null : p.service();
    }
}
