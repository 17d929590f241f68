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

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.lupinpaddle.core.common.Urgency;
import org.lupinpaddle.core.request.AttemptOutcome;
import org.lupinpaddle.core.request.GiveUpReason;
import org.lupinpaddle.core.slot.SlotMessage.Ask;
import org.lupinpaddle.core.slot.SlotMessage.Grant;
import org.lupinpaddle.core.slot.SlotMessage.Granted;
import org.lupinpaddle.core.slot.SlotMessage.InUse;
import org.lupinpaddle.core.slot.SlotMessage.Outgoing;
import org.lupinpaddle.core.slot.SlotMessage.Release;

/** Tests the owner of a service's slots under any order of asks, answers and vanishing entries. */
class SlotOwnerProperties {

    private static final int SLOTS = 3;

    private static SlotOwner owner(int workers) {
        SlotOwner o = new SlotOwner("s", 50, new SplittableRandom(1));
        List<WorkerInfo> infos = new ArrayList<>();
        for (int i = 0; i < workers; i++) {
            infos.add(new WorkerInfo("w" + i, i % 2 == 0 ? "north" : "south", SLOTS, 100, true));
        }
        o.onWorkers(infos, 0);
        return o;
    }

    private static Ask ask(long number, Urgency u) {
        return new Ask("s", number, u, 0, 10_000, "north", Set.of(), 0);
    }

    private static List<Grant> grants(List<Outgoing> out) {
        return out.stream()
                .filter(o -> o.message() instanceof Granted)
                .map(o -> ((Granted) o.message()).grant())
                .toList();
    }

    @Group
    class Invariants {

        @Property(seed = "41", tries = 2_000, shrinking = ShrinkingMode.OFF)
        void slotsAreNeitherExceededNorLost(@ForAll long seed) {
            Random random = new Random(seed);
            SlotOwner o = owner(3);
            Map<Long, String> out = new HashMap<>();
            Map<Long, String> holder = new HashMap<>();
            long now = 0;
            for (int i = 0; i < 200; i++) {
                now += random.nextInt(20);
                String entry = "e" + random.nextInt(3);
                List<Outgoing> sent = List.of();
                switch (random.nextInt(6)) {
                    case 0, 1, 2 -> sent = o.onAsk(entry, ask(i, Urgency.values()[random.nextInt(3)]), now);
                    case 3 -> o.onCancel(entry, random.nextInt(200));
                    case 4 -> {
                        if (!out.isEmpty()) {
                            long g = List.copyOf(out.keySet()).get(random.nextInt(out.size()));
                            Release r =
                                    new Release("s", g, Objects.requireNonNull(out.get(g)), AttemptOutcome.ANSWERED);
                            out.remove(g);
                            sent = o.onRelease(r, now);
                        }
                    }
                    default -> {
                        out.keySet().removeIf(g -> entry.equals(holder.get(g)));
                        sent = o.onEntryGone(entry, now);
                    }
                }
                for (Outgoing s : sent) {
                    if (s.message() instanceof Granted g) {
                        out.put(g.grant().id(), g.grant().worker());
                        holder.put(g.grant().id(), s.to());
                    }
                }
                assertEquals(out.size(), o.grantsInUse());
                for (String w : Set.of("w0", "w1", "w2")) {
                    assertTrue(out.values().stream().filter(w::equals).count() <= SLOTS, "too many on " + w);
                }
                assertTrue(out.size() == 3 * SLOTS || o.queueLength() == 0, "a slot is free while work waits");
            }
        }
    }

    @Group
    class Order {

        @Example
        void urgentWorkGoesFirstAndMayWaitWorkDoesNotStarve() {
            SlotOwner o = owner(1);
            List<Grant> held = new ArrayList<>();
            for (int i = 0; i < SLOTS; i++) {
                held.addAll(grants(o.onAsk("e", ask(i, Urgency.NORMAL), 0)));
            }
            o.onAsk("e", ask(10, Urgency.MAY_WAIT), 0);
            o.onAsk("e", ask(11, Urgency.NORMAL), 1);
            o.onAsk("e", ask(12, Urgency.URGENT), 2);
            assertEquals(12, askOfNextGrant(o, held.get(0), 3));
            assertEquals(11, askOfNextGrant(o, held.get(1), 4));
            assertTrue(
                    Urgency.MAY_WAIT.orderTime(0) < Urgency.URGENT.orderTime(3_600_000), "work that may wait starves");
        }

        private long askOfNextGrant(SlotOwner o, Grant g, long now) {
            return o.onRelease(new Release("s", g.id(), g.worker(), AttemptOutcome.ANSWERED), now).stream()
                    .map(x -> ((Granted) x.message()).ask())
                    .findFirst()
                    .orElse(-1L);
        }
    }

    @Group
    class Refusals {

        @Example
        void areImmediateAndStateTheReason() {
            SlotOwner none = owner(0);
            assertEquals(GiveUpReason.CUT_OFF, reason(none.onAsk("e", ask(1, Urgency.URGENT), 0)));
            SlotOwner o = owner(1);
            Ask heavy = new Ask("s", 1, Urgency.NORMAL, 0, 10_000, "north", Set.of(), 101);
            assertEquals(GiveUpReason.TOO_LARGE, reason(o.onAsk("e", heavy, 0)));
            for (int i = 0; i < SLOTS + 50; i++) {
                o.onAsk("e", ask(i + 2, Urgency.URGENT), 0);
            }
            assertEquals(GiveUpReason.SHED, reason(o.onAsk("e", ask(99, Urgency.URGENT), 0)));
        }

        private GiveUpReason reason(List<Outgoing> out) {
            return ((SlotMessage.Refused) out.get(0).message()).reason();
        }
    }

    @Group
    class Ejection {

        @Example
        void ejectsAWorkerThatFailsMoreThanItsPeersAndReinstatesIt() {
            SlotOwner o = owner(4);
            long now = runWithFailures(o, "w1", 30, 0);
            assertEquals(List.of("w1"), o.ejected());
            for (int i = 0; i < 40 && !o.ejected().isEmpty(); i++) {
                now += 1_000;
                for (Grant g : grants(o.onAsk("e", ask(10_000 + i, Urgency.NORMAL), now))) {
                    o.onRelease(new Release("s", g.id(), g.worker(), AttemptOutcome.ANSWERED), now + 1);
                }
            }
            assertEquals(List.of(), o.ejected(), "a healthy worker stays ejected");
        }

        @Example
        void doesNotEjectWorkersWhenAllFailAlike() {
            SlotOwner o = owner(4);
            runWithFailures(o, "", 60, 0);
            assertEquals(List.of(), o.ejected());
        }

        // Fails all requests on one worker, or on all workers if the name is empty. Sends many requests at once
        // so that all workers are used.
        private long runWithFailures(SlotOwner o, String bad, int rounds, long from) {
            long now = from;
            for (int i = 0; i < rounds; i++) {
                now += 50;
                List<Grant> all = new ArrayList<>();
                for (int k = 0; k < 8; k++) {
                    all.addAll(grants(o.onAsk("e", ask(i * 100L + k, Urgency.NORMAL), now)));
                }
                for (Grant g : all) {
                    boolean fails = bad.isEmpty() || g.worker().equals(bad);
                    AttemptOutcome a = fails ? AttemptOutcome.FAILED : AttemptOutcome.ANSWERED;
                    o.onRelease(new Release("s", g.id(), g.worker(), a), now + 10);
                }
            }
            return now;
        }
    }

    @Group
    class Recovery {

        @Example
        void unreportedGrantsExpire() {
            SlotOwner o = owner(1);
            o.onAsk("e", ask(1, Urgency.NORMAL), 0);
            assertEquals(1, o.grantsInUse());
            o.onTick(14_000);
            assertEquals(1, o.grantsInUse());
            o.onTick(16_000);
            assertEquals(0, o.grantsInUse());
        }

        @Example
        void newOwnerCountsReportedGrants() {
            SlotOwner o = owner(1);
            o.onInUse("e", new InUse("s", List.of(new Grant(1, "w0"), new Grant(2, "w0"), new Grant(3, "w0"))), 0);
            assertEquals(0, grants(o.onAsk("f", ask(1, Urgency.URGENT), 1)).size());
        }
    }
}
