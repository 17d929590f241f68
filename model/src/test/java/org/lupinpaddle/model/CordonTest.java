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
package org.lupinpaddle.model;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import java.util.function.LongFunction;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.lupinpaddle.core.placement.WorkerFacts;

/** Histories in which operators cordon halls, and in which the workers of a hall return cold. */
class CordonTest {

    private static void assertRulesHold(long seed, World w) {
        try {
            w.run();
        } catch (RuleViolationException e) {
            fail("seed " + seed + ": " + e.getMessage() + "\n" + String.join("\n", w.history()));
        }
    }

    private static void assertRulesHold(long count, LongFunction<World> world) {
        LongStream.range(0, count).parallel().forEach(seed -> assertRulesHold(seed, world.apply(seed)));
    }

    @Nested
    class CordonedHalls {

        /** Guards against starts in a hall that was cordoned, and against jobs that do not continue afterwards. */
        @Test
        void satisfyRulesWithoutOtherFaults() {
            assertRulesHold(100, seed -> new World(seed, 0).withCordons(seed));
        }

        /** Guards against starts by an owner whose view of the cordons is old, or that has just become the owner. */
        @Test
        void satisfyRulesUnderOtherFaults() {
            assertRulesHold(200, seed -> new World(seed, 6).withCordons(seed));
        }

        /** Guards against repeating a run in another hall although it may still run on a worker that restarted. */
        @Test
        void satisfyRulesWithRestarts() {
            assertRulesHold(60, seed -> new World(seed, 6).withRestarts(seed).withCordons(seed));
        }
    }

    @Nested
    class ColdHalls {

        /** Guards against jobs that are lost when a hall returns from an outage with cold workers. */
        @Test
        void satisfyRulesUnderOtherFaults() {
            assertRulesHold(100, seed -> new World(seed, 3).withColdHalls(seed));
        }

        /** Guards against workers that stay cold for the store, or that are only said to be cold. */
        @Test
        void reportTheRemainingTime() {
            World w = new World(3, 0);
            w.runUntil(1_000);
            w.fleet.chillHall("north", new SimWorker.ColdPhase(2, 3_000));
            w.time.runUntil(2_000);
            assertTrue(coldWorkers(w).allMatch(worker -> worker.facts().coldMillis() == 2_000));
            assertTrue(coldWorkers(w).findAny().isPresent());
            w.time.runUntil(4_001);
            assertTrue(coldWorkers(w).findAny().isEmpty());
            assertTrue(w.fleet.workers().stream()
                    .allMatch(worker -> w.store
                            .read(World.WORKERS + worker.id())
                            .flatMap(item -> item.read(WorkerFacts.class).toJavaOptional())
                            .filter(facts -> facts.coldMillis() == 0)
                            .isPresent()));
        }

        private static Stream<SimWorker> coldWorkers(World w) {
            return w.fleet.workers().stream().filter(worker -> worker.facts().coldMillis() > 0);
        }
    }

    @Nested
    class DisabledMechanisms {

        /** Guards against a rule that does not notice starts in cordoned halls. */
        @ParameterizedTest
        @EnumSource(
                value = Sabotage.class,
                names = {"CORDONS_HIDDEN", "OLD_CORDONS_CONFIRMED"})
        void areDetectedByTheRuleOnCordons(Sabotage sabotage) {
            boolean detected = LongStream.range(0, 400).parallel().anyMatch(seed -> violatesCordon(seed, sabotage));
            assertTrue(detected, "the model does not notice " + sabotage);
        }

        private static boolean violatesCordon(long seed, Sabotage sabotage) {
            try {
                new World(seed, 4, sabotage).withCordons(seed).run();
                return false;
            } catch (RuleViolationException e) {
                return String.valueOf(e.getMessage()).startsWith("CORDON");
            }
        }
    }
}
