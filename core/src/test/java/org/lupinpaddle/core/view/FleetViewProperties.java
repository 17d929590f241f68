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
package org.lupinpaddle.core.view;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.lupinpaddle.core.common.RecordCodec;
import org.lupinpaddle.core.common.StoreKeys;
import org.lupinpaddle.core.pool.PoolRecord;

/** The configuration in force never reverts, whatever the order and source of batches. */
class FleetViewProperties {

    private static StoredRecord pool(String name, long revision) {
        PoolRecord p = new PoolRecord(name, null, "v" + revision, false, "t", "w" + revision);
        return new StoredRecord(StoreKeys.pool(name), RecordCodec.write(p), revision);
    }

    private static List<StoredRecord> between(List<StoredRecord> log, long afterRevision, long toRevision) {
        FleetView v = new FleetView();
        v.apply(log.stream().filter(r -> r.revision() <= toRevision).toList(), 0, toRevision);
        return v.recordsAfter(afterRevision);
    }

    @Property(seed = "31", tries = 500, shrinking = ShrinkingMode.OFF)
    void neverReverts(@ForAll long seed) {
        Random random = new Random(seed);
        List<StoredRecord> log = new ArrayList<>();
        for (long rev = 1; rev <= 40; rev++) {
            log.add(pool("p" + random.nextInt(5), rev));
        }
        FleetView view = new FleetView();
        long before = 0;
        for (int i = 0; i < 60; i++) {
            long toRevision = 1 + random.nextInt(40);
            long afterRevision = random.nextInt((int) toRevision);
            view.apply(between(log, afterRevision, toRevision), afterRevision, toRevision);
            assertTrue(view.revision() >= before, "the view went back");
            before = view.revision();
            assertMatchesStore(view, log);
        }
    }

    // Checks that each record in the view equals the stored one at the view's revision.
    private static void assertMatchesStore(FleetView view, List<StoredRecord> log) {
        for (StoredRecord r : between(log, 0, view.revision())) {
            assertEquals(r.value(), view.text(r.key()).orElse("none"));
        }
    }

    @Example
    void rejectsBatchThatLeavesGap() {
        FleetView view = new FleetView();
        assertTrue(view.apply(List.of(pool("a", 1)), 0, 1));
        assertFalse(view.apply(List.of(pool("a", 5)), 3, 5));
        assertEquals(1, view.revision());
    }

    @Example
    void unreadableRecordKeepsPreviousValue() {
        FleetView view = new FleetView();
        view.apply(List.of(pool("a", 1)), 0, 1);
        view.apply(List.of(new StoredRecord(StoreKeys.pool("a"), "{broken", 2)), 1, 2);
        assertTrue(view.pools().containsKey("a"));
        assertEquals(List.of(StoreKeys.pool("a") + "@2"), view.drainUnreadable());
    }
}
