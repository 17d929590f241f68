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

/** Keys that another writer has made up are taken for nothing, and stop nobody. */
class JobKeysProperties {

    @Provide
    Arbitrary<String> names() {
        Arbitrary<String> odd = Arbitraries.of("", "/", "//", "a", "a/", "/a", "a/b", "1", "-1", "1x", "9".repeat(30));
        return Arbitraries.oneOf(odd, Arbitraries.strings().ofMaxLength(8));
    }

    @Property(tries = 500)
    void ofAnyNameAreTakenApart(@ForAll("names") String name, @ForAll("prefixes") String prefix) {
        String key = prefix + name;
        assertDoesNotThrow(() -> {
            JobKeys.jobOf("clips", key);
            JobKeys.cancelled("clips", key);
            JobKeys.progressOf("clips", key);
            JobKeys.upkeepOf(key);
            JobKeys.reportOf(key);
            JobKeys.entryOf(key);
            JobKeys.capacityOf(key);
            JobKeys.ownedBy(key);
            JobKeys.serviceOfInput(key);
            if (JobKeys.isEvacuation(key)) {
                assertFalse(JobKeys.evacuatedService(key).isEmpty());
                assertFalse(JobKeys.evacuatedWorker(key).isEmpty());
            }
        });
    }

    @Provide
    Arbitrary<String> prefixes() {
        String evacuations = JobKeys.evacuations("");
        return Arbitraries.of(
                JobKeys.fleet(),
                evacuations.substring(0, evacuations.length() - 1),
                JobKeys.upkeep(1).replace("1", ""),
                JobKeys.report(""),
                JobKeys.inputs("clips"),
                JobKeys.allInputs(),
                JobKeys.allProgress(),
                JobKeys.MEMBERS,
                JobKeys.entry(""),
                JobKeys.capacity(""));
    }

    @Property(tries = 300)
    void errandsOfAnyTextAreNoneOrSound(@ForAll("names") String target) {
        Optional<InstanceOperation> upkeep = InstanceOperation.parse("UPKEEP:" + target);
        assertDoesNotThrow(() -> upkeep.ifPresent(e -> Long.parseLong(e.target())));
        assertDoesNotThrow(() -> InstanceOperation.parse(target));
    }

    @Example
    void ofOursAreWhatTheyWere() {
        assertEquals(Optional.of(7L), JobKeys.upkeepOf(JobKeys.upkeep(7)));
        String key = JobKeys.evacuation("clips", "w1");
        assertTrue(JobKeys.isEvacuation(key));
        assertEquals("clips", JobKeys.evacuatedService(key));
        assertEquals("w1", JobKeys.evacuatedWorker(key));
        assertEquals(Optional.of(InstanceOperation.upkeep(7)), InstanceOperation.parse("UPKEEP:7"));
        assertEquals(Optional.of(InstanceOperation.move("clips")), InstanceOperation.parse("MOVE:clips"));
    }
}
