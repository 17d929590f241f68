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

import static org.junit.jupiter.api.Assertions.assertThrows;
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

    /** The rule itself, without the product: the entries of these histories know no cordons. */
    @Nested
    class RuleOnCordons {

        private static final long CORDONED_AT = 2_000;
        private static final long BOUND = 5_000;
        private static final String ENTRY = "entry-0";
        private static final String HALL = "north";

        private final World world = new World(1, 0);
        private final SimCordons cordons = new SimCordons(world, 1, false);

        /** A condition that begins 1 s after the cordon. */
        private enum Condition {
            HISTORY_DROPPED {
                @Override
                void begin(World w) {
                    w.store.compact();
                }
            },
            ENTRY_CUT_FROM_STORE {
                @Override
                void begin(World w) {
                    w.net.storeFaults.put(ENTRY, CallFault.SILENT);
                }
            },
            ENTRY_REJECTED_BY_STORE {
                @Override
                void begin(World w) {
                    w.net.storeFaults.put(ENTRY, CallFault.REFUSED);
                }
            },
            HALL_OF_ENTRY_CUT {
                @Override
                void begin(World w) {
                    w.net.isolatedHalls.add(w.entry(ENTRY).hall);
                }
            },
            ENTRY_FROZEN {
                @Override
                void begin(World w) {
                    w.entry(ENTRY).freeze(500);
                }
            },
            OTHER_ENTRY_CUT_FROM_STORE {
                @Override
                void begin(World w) {
                    w.net.storeFaults.put("entry-1", CallFault.SILENT);
                }
            },
            STORE_DOWN {
                @Override
                void begin(World w) {
                    w.net.storeFault = CallFault.SILENT;
                }
            },
            STORE_LOSES_ANSWERS {
                @Override
                void begin(World w) {
                    w.net.storeFault = CallFault.ANSWER_LOST;
                }
            },
            STORE_SLOW {
                @Override
                void begin(World w) {
                    w.net.storeDelay = 240;
                }
            },
            ENTRY_KILLED {
                @Override
                void begin(World w) {
                    w.entry(ENTRY).kill(500);
                }
            },
            OPERATOR_RECORDS_SILENT {
                @Override
                void begin(World w) {
                    w.net.entriesWithoutOperatorRecords.add(ENTRY);
                }
            };

            abstract void begin(World w);
        }

        private void cordon() {
            world.runUntil(CORDONED_AT);
            cordons.request(HALL);
        }

        private void startAfter(long millis) {
            world.time.runUntil(CORDONED_AT + millis);
            startSentAt(world.time.now());
        }

        private void startSentAt(long at) {
            SimWorker w = world.fleet.workers().stream()
                    .filter(worker -> worker.hall().equals(HALL))
                    .findFirst()
                    .orElseThrow();
            cordons.checkStart(w, ENTRY, at, "a start");
        }

        private void assertNoStartAfter(long millis) {
            RuleViolationException e = assertThrows(RuleViolationException.class, () -> startAfter(millis));
            assertTrue(String.valueOf(e.getMessage()).startsWith("CORDON"), e.getMessage());
        }

        /** Guards against a bound other than the one that the entries are given. */
        @Test
        void allowsStartsUntilTheBound() {
            cordon();
            startAfter(BOUND);
            assertNoStartAfter(BOUND + 1);
        }

        /** Guards against excusing an entry by a fault, after which its view could be wrong without notice. */
        @ParameterizedTest
        @EnumSource(Condition.class)
        void isNotExtendedByFaults(Condition condition) {
            cordon();
            world.time.schedule(1_000, () -> condition.begin(world));
            startAfter(BOUND);
            assertNoStartAfter(BOUND + 1);
        }

        /** Guards against excusing an order that was sent too late because its worker also carries it out late. */
        @Test
        void countsALateOrderFromWhenItWasSent() {
            cordon();
            world.time.runUntil(CORDONED_AT + 3 * BOUND);
            startSentAt(CORDONED_AT - 1);
            startSentAt(CORDONED_AT + BOUND);
            assertThrows(RuleViolationException.class, () -> startSentAt(CORDONED_AT + BOUND + 1));
        }

        /** Guards against counting the time before a cordon was lifted and requested again. */
        @Test
        void beginsAnewAfterTheCordonWasLifted() {
            cordon();
            world.time.runUntil(CORDONED_AT + 1_000);
            assertTrue(cordons.lift(HALL));
            startAfter(BOUND + 1);
            cordons.request(HALL);
            startAfter(2 * BOUND + 1);
            assertNoStartAfter(2 * BOUND + 2);
        }

        /** Guards against extending the bound when operators repeat a request that is in force. */
        @Test
        void doesNotBeginAnewWithARepeatedRequest() {
            cordon();
            world.time.runUntil(CORDONED_AT + 1_000);
            cordons.request(HALL);
            assertNoStartAfter(BOUND + 1);
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
