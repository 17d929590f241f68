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
package org.lupinpaddle.daemon.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.job.SchedulerKeys;

/** Tests the conclusions drawn from member records, including records replaced by another writer. */
class MemberRegistryTest {

    private final FakeKeyValueStore store = new FakeKeyValueStore();
    private final TimedLoop loop = new TimedLoop();
    private final PrefixWatch watch =
            new PrefixWatch(store, loop, SchedulerKeys.MEMBERS, PrefixWatch.Listener.forAnyChange(() -> {}));
    private final MemberRegistry members = new MemberRegistry(watch, loop.clock(), "self", 500);
    private final String life = MemberRegistry.newLife("other");

    private boolean isEndedBy(String registered) {
        store.set(SchedulerKeys.entry("other"), registered);
        return isEnded();
    }

    private boolean isEnded() {
        watch.start();
        loop.advance(1);
        return members.hasEnded(life, MemberRegistry.newLife("self"));
    }

    @Nested
    class Life {

        @Test
        void endsOnceItsEntryRegistersAnother() {
            assertFalse(isEndedBy(life));
            assertTrue(isEndedBy(MemberRegistry.newLife("other")));
        }

        @Test
        void isNotEndedByAnInvalidRegistration() {
            assertFalse(isEndedBy(""));
            assertFalse(isEndedBy("{}"));
            assertFalse(isEndedBy(MemberRegistry.newLife("third")));
            store.setNonText(SchedulerKeys.entry("other"));
            assertFalse(isEnded());
        }
    }

    @Nested
    class Duty {

        @Test
        void isOwnedEvenIfItsOwnerIsUnreadable() {
            store.setNonText(SchedulerKeys.owner("clips"));
            store.set(SchedulerKeys.owner("archive"), "");
            isEnded();
            assertEquals(Set.of("clips", "archive"), members.owners().keySet());
        }
    }
}
