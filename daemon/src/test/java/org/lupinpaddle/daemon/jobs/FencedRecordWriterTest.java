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
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.job.SchedulerKeys;

/** Tests both conditions of an owner's writes; without either of them, a test fails. */
class FencedRecordWriterTest {

    private static final String KEY = "record";

    private final FakeKeyValueStore store = new FakeKeyValueStore();
    private final List<FencedRecordWriter.Outcome> outcomes = new ArrayList<>();
    private final long fence = store.set(SchedulerKeys.owner("clips"), "entry-1");
    private final FencedRecordWriter records = new FencedRecordWriter(store, new DirectLoop(), "clips", fence);

    private void write(String value) {
        records.write(Map.of(KEY, value), outcomes::add);
    }

    @Nested
    class Ownership {

        @Test
        void isRequiredForAWrite() {
            write("mine");
            store.set(SchedulerKeys.owner("clips"), "entry-2");
            write("no longer owner");
            assertEquals("mine", store.value(KEY));
            assertEquals(List.of(FencedRecordWriter.Outcome.SAVED, FencedRecordWriter.Outcome.NOT_OWNER), outcomes);
        }

        @Test
        void thatWasLostRejectsALateWrite() {
            store.dropsCommitAnswers = true;
            write("late");
            store.set(SchedulerKeys.owner("clips"), "entry-2");
            store.applyDroppedCommits();
            assertEquals("", store.value(KEY));
        }
    }

    @Nested
    class TheOwnedRevision {

        @Test
        void isThatOfTheAcquiringWriteAtFirst() {
            assertEquals(fence, records.ownedRevision());
        }

        @Test
        void advancesWithEachWrite() {
            write("mine");
            assertTrue(records.ownedRevision() > fence);
        }

        /** Guards against a fencing token that a later owner might have as well. */
        @Test
        void isBelowThatOfALaterOwner() {
            write("mine");
            long next = store.set(SchedulerKeys.owner("clips"), "entry-2");
            write("no longer owner");
            assertTrue(records.ownedRevision() < next);
        }

        @Test
        void doesNotAdvanceWithAWriteWithoutAnAnswer() {
            store.dropsCommitAnswers = true;
            write("late");
            assertEquals(fence, records.ownedRevision());
        }
    }

    @Nested
    class LateWrites {

        @Test
        void doNotOverwriteNewerOnes() {
            store.dropsCommitAnswers = true;
            write("old");
            store.dropsCommitAnswers = false;
            write("new");
            store.applyDroppedCommits();
            assertEquals("new", store.value(KEY));
            assertEquals(List.of(FencedRecordWriter.Outcome.RETRY, FencedRecordWriter.Outcome.SAVED), outcomes);
        }

        @Test
        void thatWereAppliedAreDetectedAndOverwritten() {
            store.dropsCommitAnswers = true;
            write("first");
            store.applyDroppedCommits();
            store.dropsCommitAnswers = false;
            write("second");
            write("second");
            assertEquals("second", store.value(KEY));
            assertEquals(FencedRecordWriter.Outcome.SAVED, outcomes.get(2));
        }
    }

    @Nested
    class WritesInOrder {

        @Test
        void arriveInTheOrderOfTheCalls() {
            records.writeInOrder(Map.of(KEY, "running"), () -> {});
            records.writeInOrder(Map.of(KEY, "completed"), () -> {});
            assertEquals("completed", store.value(KEY));
        }

        @Test
        void areMergedWhileAnotherIsInProgress() {
            store.delaysCommits = true;
            for (int i = 0; i < 46; i++) {
                records.writeInOrder(Map.of(KEY + i, "value"), () -> {});
            }
            while (store.answerNext()) {
                // Answers the writes one by one.
            }
            assertEquals("value", store.value(KEY + 45));
            assertEquals(1 + 45 / FencedRecordWriter.MAX_RECORDS_PER_WRITE, store.commits);
        }

        @Test
        void skipValuesOverwrittenInTheQueue() {
            store.delaysCommits = true;
            for (int i = 0; i < 46; i++) {
                records.writeInOrder(Map.of(KEY, "value " + i), () -> {});
            }
            while (store.answerNext()) {
                // Answers the writes one by one.
            }
            assertEquals("value 45", store.value(KEY));
            assertEquals(2, store.commits);
        }

        @Test
        void areRepeatedAtOnceAfterAConflict() {
            records.writeInOrder(Map.of(KEY, "asked"), () -> {});
            store.set(KEY, "answered by another");
            records.writeInOrder(Map.of(KEY, ""), () -> {});
            assertEquals("", store.value(KEY));
        }

        @Test
        void skipARecordThatTheStoreRejects() {
            store.maxValueLength = 5;
            store.delaysCommits = true;
            for (int i = 0; i < 4; i++) {
                String value = i == 2 ? "too long" : "short";
                records.writeInOrder(Map.of(KEY + i, value), () -> {});
            }
            for (int i = 0; i < 20 && store.answerNext(); i++) {
                // Answers the writes one by one.
            }
            assertEquals("short", store.value(KEY + 3));
            assertEquals("", store.value(KEY + 2));
            assertEquals(0, records.pendingWrites());
        }

        @Test
        void stopWhenTheDutyIsOwnedElsewhere() {
            int[] lost = new int[1];
            store.set(SchedulerKeys.owner("clips"), "entry-2");
            records.writeInOrder(Map.of(KEY, "running"), () -> lost[0]++);
            assertEquals(1, lost[0]);
            assertEquals("", store.value(KEY));
        }
    }
}
