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

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.common.RecordCodec;
import org.lupinpaddle.core.job.SchedulerKeys;
import org.lupinpaddle.core.upkeep.EvacuationRecord;

class EvacuationFeedTest {

    private static final String KEY = SchedulerKeys.evacuation("clips", "w1");
    private static final String REQUEST = RecordCodec.write(new EvacuationRecord("w1", "m1", "UPKEEP:1", false, false));

    private final FakeKeyValueStore store = new FakeKeyValueStore();
    private final long fence = store.set(SchedulerKeys.owner("clips"), "entry-1");
    private final DirectLoop loop = new DirectLoop();
    private final Set<String> wanted = new HashSet<>();
    private final EvacuationFeed feed = new EvacuationFeed(
            store,
            loop,
            "clips",
            new FencedRecordWriter(store, loop, "clips", fence),
            new UnreadableEntries(new JobMetrics()),
            (workers, urgent) -> {
                wanted.clear();
                wanted.addAll(workers);
            });

    private boolean isReportedEmpty() {
        return EvacuationRecord.read(store.value(KEY), "w1").get().empty();
    }

    @Nested
    class UnreadableRequest {

        private static final String BAD = "{\"worker\":1}";

        @Test
        void isIgnored() {
            store.set(KEY, BAD);
            feed.start();
            assertEquals(Set.of(), wanted);
        }

        @Test
        void keepsThePreviousRequestAndIsNotAnswered() {
            store.set(KEY, REQUEST);
            feed.start();
            store.set(KEY, BAD);
            store.notifyWatches();
            assertEquals(Set.of("w1"), wanted);
            feed.answerEmpty("w1");
            assertEquals(BAD, store.value(KEY));
            store.set(KEY, REQUEST);
            store.notifyWatches();
            feed.answerEmpty("w1");
            assertEquals(true, isReportedEmpty());
        }

        @Test
        void endsWithTheRemovalOfItsKey() {
            store.set(KEY, REQUEST);
            feed.start();
            store.set(KEY, BAD);
            store.notifyWatches();
            store.remove(KEY);
            store.notifyWatches();
            assertEquals(Set.of(), wanted);
        }

        @Test
        void underTheKeyOfAnotherWorkerIsIgnored() {
            store.set(SchedulerKeys.evacuation("clips", "w2"), REQUEST);
            feed.start();
            assertEquals(Set.of(), wanted);
        }
    }

    @Nested
    class Answer {

        @Test
        void isWrittenOnce() {
            store.set(KEY, REQUEST);
            feed.start();
            assertEquals(Set.of("w1"), wanted);
            feed.answerEmpty("w1");
            assertEquals(true, isReportedEmpty());
            String answer = store.value(KEY);
            store.notifyWatches();
            feed.answerEmpty("w1");
            assertEquals(answer, store.value(KEY));
        }

        @Test
        void isRepeatedForARepeatedRequest() {
            store.set(KEY, REQUEST);
            feed.start();
            feed.answerEmpty("w1");
            store.notifyWatches();
            // The fleet's owner got no answer to its first write and writes the request again.
            store.set(KEY, REQUEST);
            store.notifyWatches();
            feed.answerEmpty("w1");
            assertEquals(true, isReportedEmpty());
        }
    }
}
