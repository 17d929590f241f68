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
package org.lupinpaddle.core.job;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.lupinpaddle.core.fleet.InstanceOperation;

/** Verifies that arbitrary keys of other writers are parsed without an exception. */
class SchedulerKeysProperties {

    @Provide
    Arbitrary<String> names() {
        Arbitrary<String> odd = Arbitraries.of("", "/", "//", "a", "a/", "/a", "a/b", "1", "-1", "1x", "9".repeat(30));
        return Arbitraries.oneOf(odd, Arbitraries.strings().ofMaxLength(8));
    }

    @Property(tries = 500)
    void arbitraryKeysAreParsedWithoutException(@ForAll("names") String name, @ForAll("prefixes") String prefix) {
        String key = prefix + name;
        assertDoesNotThrow(() -> {
            SchedulerKeys.jobOf("clips", key);
            SchedulerKeys.cancelledJobOf("clips", key);
            SchedulerKeys.progressOf("clips", key);
            SchedulerKeys.upkeepOf(key);
            SchedulerKeys.reportOf(key);
            SchedulerKeys.entryOf(key);
            SchedulerKeys.capacityOf(key);
            SchedulerKeys.dutyOf(key);
            SchedulerKeys.serviceOfInput(key);
            if (SchedulerKeys.isEvacuation(key)) {
                assertFalse(SchedulerKeys.evacuatedService(key).isEmpty());
                assertFalse(SchedulerKeys.evacuatedWorker(key).isEmpty());
            }
        });
    }

    @Provide
    Arbitrary<String> prefixes() {
        String evacuations = SchedulerKeys.evacuations("");
        return Arbitraries.of(
                SchedulerKeys.fleet(),
                evacuations.substring(0, evacuations.length() - 1),
                SchedulerKeys.upkeep(1).replace("1", ""),
                SchedulerKeys.report(""),
                SchedulerKeys.inputs("clips"),
                SchedulerKeys.allInputs(),
                SchedulerKeys.allProgress(),
                SchedulerKeys.MEMBERS,
                SchedulerKeys.entry(""),
                SchedulerKeys.capacity(""));
    }

    @Property(tries = 300)
    void arbitraryOperationsAreRejectedOrValid(@ForAll("names") String target) {
        Optional<InstanceOperation> upkeep = InstanceOperation.parse("UPKEEP:" + target);
        assertDoesNotThrow(() -> upkeep.ifPresent(e -> Long.parseLong(e.target())));
        assertDoesNotThrow(() -> InstanceOperation.parse(target));
    }

    @Example
    void generatedKeysAndOperationsAreParsed() {
        assertEquals(Optional.of(7L), SchedulerKeys.upkeepOf(SchedulerKeys.upkeep(7)));
        String key = SchedulerKeys.evacuation("clips", "w1");
        assertTrue(SchedulerKeys.isEvacuation(key));
        assertEquals("clips", SchedulerKeys.evacuatedService(key));
        assertEquals("w1", SchedulerKeys.evacuatedWorker(key));
        assertEquals(Optional.of(InstanceOperation.upkeep(7)), InstanceOperation.parse("UPKEEP:7"));
        assertEquals(Optional.of(InstanceOperation.move("clips")), InstanceOperation.parse("MOVE:clips"));
    }
}
