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

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.common.RecordCodec;
import org.lupinpaddle.core.common.Unreadable.Reason;
import org.lupinpaddle.core.placement.Resources;
import org.lupinpaddle.core.placement.WorkerFacts;

/** Tests which workers are listed while unreadable records of another writer appear among them. */
class WorkerFeedTest {

    private static final String BAD = "{\"service\":7}";

    private final FakeKeyValueStore store = new FakeKeyValueStore();
    private final TimedLoop loop = new TimedLoop();
    private final JobMetrics meters = new JobMetrics();
    private final UnreadableEntries unreadable = new UnreadableEntries(meters);
    private final FakeRecords records = new FakeRecords();
    private final WorkerFeed feed = new WorkerFeed(store, loop, records, unreadable, () -> {});

    @BeforeEach
    void addTwoWorkers() {
        addWorker("w1");
        addWorker("w2");
    }

    private void addWorker(String id) {
        Resources room = new Resources(4_000, 4_000, 0);
        WorkerFacts f = new WorkerFacts(id, "clips", id + ":1", "north", false, 0, room, List.of());
        store.set("worker/" + id, RecordCodec.write(f));
    }

    private void startFeed() {
        feed.start();
        advance();
    }

    private void advance() {
        for (int i = 0; i < 10; i++) {
            loop.advance(50);
            store.notifyWatches();
        }
        loop.advance(50);
    }

    private Set<String> listed() {
        return feed.of("clips").stream().map(WorkerFacts::id).collect(Collectors.toCollection(TreeSet::new));
    }

    private long unreadableCount() {
        return meters.registry().counter("entries.unreadable.worker").getCount();
    }

    @Nested
    class UnreadableRecord {

        @Test
        void presentAtTheStartIsNotListed() {
            store.set("worker/a-first", BAD);
            store.setNonText("worker/b-second");
            startFeed();
            assertEquals(Set.of("w1", "w2"), listed());
            assertEquals(2, unreadableCount());
        }

        @Test
        void unlistsItsWorker() {
            startFeed();
            store.set("worker/w1", BAD);
            advance();
            assertEquals(Set.of("w2"), listed());
        }

        @Test
        void isForgottenOnceReadableAgain() {
            startFeed();
            store.setNonText("worker/w1");
            advance();
            addWorker("w1");
            advance();
            assertEquals(Set.of("w1", "w2"), listed());
            assertEquals(List.of(), unreadable.snapshot());
        }

        @Test
        void isForgottenOnceRemoved() {
            startFeed();
            store.set("worker/w1", BAD);
            advance();
            store.remove("worker/w1");
            advance();
            assertEquals(Set.of("w2"), listed());
            assertEquals(List.of(), unreadable.snapshot());
        }

        @Test
        void doesNotBlockOtherChanges() {
            startFeed();
            store.set("worker/w1", BAD);
            addWorker("w3");
            advance();
            assertEquals(Set.of("w2", "w3"), listed());
        }

        @Test
        void isCountedOncePerReason() {
            startFeed();
            for (int i = 0; i < 5; i++) {
                store.set("worker/w1", BAD);
                advance();
            }
            assertEquals(1, unreadableCount());
            store.setNonText("worker/w1");
            advance();
            assertEquals(2, unreadableCount());
        }
    }

    /** Guards against one record whose reader throws and which so hides the records after it, at each change. */
    @Nested
    class RecordWhoseReaderThrows {

        @BeforeEach
        void addThrowingRecords() {
            records.faults.put("worker/a-first", () -> {
                throw new IllegalStateException("unexpected");
            });
            records.faults.put("worker/b-second", () -> {
                throw new StackOverflowError();
            });
            addWorker("a-first");
            addWorker("b-second");
        }

        @Test
        void presentAtTheStartIsUnreadable() {
            startFeed();
            assertEquals(Set.of("w1", "w2"), listed());
            assertEquals(
                    List.of(Reason.NOT_PROCESSED.whole(), Reason.NOT_PROCESSED.whole()),
                    unreadable.snapshot().stream()
                            .map(UnreadableEntries.Entry::why)
                            .toList());
        }

        @Test
        void doesNotHideLaterChanges() {
            startFeed();
            addWorker("a-first");
            addWorker("b-second");
            addWorker("w3");
            advance();
            assertEquals(Set.of("w1", "w2", "w3"), listed());
        }

        @Test
        void unlistsItsWorker() {
            startFeed();
            records.faults.put("worker/w1", () -> {
                throw new StackOverflowError();
            });
            addWorker("w1");
            advance();
            assertEquals(Set.of("w2"), listed());
        }

        @Test
        void isCountedOnce() {
            startFeed();
            for (int i = 0; i < 5; i++) {
                addWorker("a-first");
                addWorker("b-second");
                advance();
            }
            assertEquals(2, unreadableCount());
        }
    }

    @Nested
    class OnlyUnreadableRecords {

        @Test
        void listNoWorkerUntilOneIsReadable() {
            store.set("worker/w1", BAD);
            store.setNonText("worker/w2");
            startFeed();
            assertEquals(Set.of(), listed());
            addWorker("w2");
            advance();
            assertEquals(Set.of("w2"), listed());
        }
    }

    @Nested
    class ManyUnreadableRecords {

        private static final int MANY = 5_000;

        @Test
        void areAllCountedButOnlySomeTracked() {
            for (int i = 0; i < MANY; i++) {
                store.set("worker/bad-" + i, BAD);
            }
            startFeed();
            assertEquals(MANY, unreadableCount());
            assertEquals(1_000, unreadable.snapshot().size());
            assertEquals(Set.of("w1", "w2"), listed());
        }
    }
}
