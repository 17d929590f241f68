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

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.service.Reserve;
import org.lupinpaddle.core.view.FleetView;
import org.lupinpaddle.core.wave.FleetSimulation.DisabledRule;
import org.lupinpaddle.core.wave.FleetSimulation.Fault;

/** Tests waves under races: in any order of events, budgets hold, no work is interrupted, and waves end. */
class WaveStepperProperties {

    private static final int STEPS = 1_500;
    private static final int SETTLE_STEPS = 20_000;

    private static FleetSimulation simulation(
            long seed, Set<Fault> faults, @Nullable DisabledRule disabledRule, WaveOrder order) {
        FleetSimulation w = new FleetSimulation(seed, faults, disabledRule);
        w.service("clips", 4, Reserve.NONE);
        w.service("archive", 2, Reserve.INSTANCE);
        w.sparePool("spare");
        List<WaveTarget> targets = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            w.instance("c" + i, "clips", "r" + i / 2);
            targets.add(new WaveTarget("c" + i, null));
        }
        for (int i = 0; i < 4; i++) {
            w.instance("a" + i, "archive", "r" + i / 2);
            targets.add(new WaveTarget("a" + i, null));
        }
        for (int i = 0; i < 2; i++) {
            w.instance("s" + i, "spare", "r9");
            targets.add(new WaveTarget("s" + i, "clips"));
        }
        w.wave(wave("full", WaveKind.REBOOT, targets, order));
        return w;
    }

    private static WaveRecord wave(String name, WaveKind kind, List<WaveTarget> targets, WaveOrder order) {
        WaveScope all = new WaveScope(null, "north", null);
        return new WaveRecord(name, kind, all, targets, order, WaveState.RUNNING, "started", "test", "w0");
    }

    @Group
    class Invariants {

        @Property(seed = "11", tries = 150, shrinking = ShrinkingMode.OFF)
        void budgetsHoldAndTheWaveEndsUnderAllFaults(@ForAll long seed, @ForAll WaveOrder order) {
            FleetSimulation w = simulation(seed, EnumSet.allOf(Fault.class), null, order);
            w.run(STEPS);
            w.settle("full", SETTLE_STEPS);
            FleetView v = w.store.view();
            assertEquals(
                    WaveState.DONE,
                    Objects.requireNonNull(v.waves().get("full")).state());
            assertTrue(v.services().values().stream().allMatch(s -> s.permits().isEmpty()), "a permit was left over");
            assertEquals(
                    "clips", Objects.requireNonNull(v.instances().get("s0")).pool(), "the spare did not join");
        }

        @Property(seed = "12", tries = 60, shrinking = ShrinkingMode.OFF)
        void overlappingWavesBothEnd(@ForAll long seed) {
            FleetSimulation w =
                    simulation(seed, EnumSet.of(Fault.PAUSED_DRIVERS, Fault.KILLED_DRIVERS), null, WaveOrder.WIDE);
            List<WaveTarget> some = List.of(new WaveTarget("c1", null), new WaveTarget("a1", null));
            w.wave(wave("second", WaveKind.REBOOT, some, WaveOrder.WIDE));
            w.run(STEPS);
            w.settle("full", SETTLE_STEPS);
            w.settle("second", SETTLE_STEPS);
        }

        @Property(seed = "13", tries = 40, shrinking = ShrinkingMode.OFF)
        void migrationIntoAndOutOfAPoolSucceeds(@ForAll long seed) {
            FleetSimulation w =
                    simulation(seed, EnumSet.of(Fault.PAUSED_DRIVERS, Fault.LOST_WRITES), null, WaveOrder.WIDE);
            w.settle("full", SETTLE_STEPS);
            List<WaveTarget> out = List.of(new WaveTarget("c0", "spare"), new WaveTarget("c1", "spare"));
            w.wave(wave("away", WaveKind.MIGRATE, out, WaveOrder.WIDE));
            w.run(STEPS);
            w.settle("away", SETTLE_STEPS);
            FleetView v = w.store.view();
            assertEquals(
                    "spare", Objects.requireNonNull(v.instances().get("c0")).pool());
            assertEquals(
                    6,
                    Objects.requireNonNull(v.services().get("clips")).members().size());
        }

        @Example
        void waveEndsAfterDriversAreKilledAtAnyStep() {
            FleetSimulation whole = simulation(3, Set.of(), null, WaveOrder.WIDE);
            whole.settle("full", SETTLE_STEPS);
            for (int k = 1; k <= whole.actionCount(); k++) {
                FleetSimulation w = simulation(3, Set.of(), null, WaveOrder.WIDE);
                w.killDriversAfter(k);
                w.settle("full", SETTLE_STEPS);
                assertEquals(
                        WaveState.DONE,
                        Objects.requireNonNull(w.store.view().waves().get("full"))
                                .state());
            }
        }

        @Example
        void instancesThatDoNotReturnHaltTheWave() {
            FleetSimulation w = simulation(7, Set.of(), null, WaveOrder.WIDE);
            w.workers.values().forEach(x -> x.neverReturns = true);
            w.run(5_000);
            assertTrue(
                    w.maxConcurrentReboots() <= 1,
                    "the first instance of a wave must go alone, but " + w.maxConcurrentReboots() + " were rebooted");
        }
    }

    /** Disables one rule at a time: the invariant checks must detect the violation. */
    @Group
    class ViolationDetection {

        private boolean isDetected(DisabledRule disabledRule, Set<Fault> faults) {
            for (long seed = 0; seed < 300; seed++) {
                try {
                    simulation(seed, faults, disabledRule, WaveOrder.WIDE).run(STEPS);
                } catch (AssertionError e) {
                    return true;
                }
            }
            return false;
        }

        @Example
        void writesWithoutComparing() {
            assertTrue(isDetected(DisabledRule.COMPARE_AND_SWAP, EnumSet.of(Fault.PAUSED_DRIVERS)));
        }

        @Example
        void permitsRemovedWhileInUse() {
            assertTrue(isDetected(DisabledRule.SPENT_PERMITS, EnumSet.of(Fault.PAUSED_DRIVERS, Fault.BUSY_OPERATORS)));
        }

        @Example
        void drainsWithoutFence() {
            assertTrue(isDetected(DisabledRule.FENCE, EnumSet.of(Fault.PAUSED_DRIVERS, Fault.BUSY_OPERATORS)));
        }

        @Example
        void rebootsWithoutConfirmation() {
            assertTrue(isDetected(DisabledRule.CONFIRMATION_AND_IDLE, EnumSet.of(Fault.PAUSED_DRIVERS)));
        }
    }
}
