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
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.common.RecordCodec;
import org.lupinpaddle.core.job.JobKey;
import org.lupinpaddle.core.job.JobProgress;
import org.lupinpaddle.core.job.JobState;
import org.lupinpaddle.core.job.SchedulerKeys;

/** Tests the answers to operators' commands about jobs, which are read from the store alone. */
class JobCommandExecutorTest {

    private static final JobKey A = new JobKey("q", "a");
    private static final long WALL_MILLIS = 9_000;

    private final FakeKeyValueStore store = new FakeKeyValueStore();
    private final DirectLoop loop = new DirectLoop();
    private final FakeRecords records = new FakeRecords();
    private final UnreadableEntries unreadable = new UnreadableEntries(new JobMetrics());
    private final CordonFeed cordons = new CordonFeed(new CordonRecords(records, Set.of()), unreadable, 0);
    private final ConfigurationFeed feed = new ConfigurationFeed(store, loop, records, unreadable, cordons, () -> {});
    private final JobCommandExecutor questions = new JobCommandExecutor(
            store,
            records,
            new JobIntake(store, loop, records, feed, () -> WALL_MILLIS, () -> true, isDue -> true),
            Optional.empty(),
            Set.of());

    private List<String> answer(String words) {
        List<String> lines = new ArrayList<>();
        questions.run(words, "operator", r -> lines.addAll(r.lines()));
        return lines;
    }

    @Nested
    class UnreadableRecord {

        @Test
        void isListedWithItsError() {
            store.set(SchedulerKeys.job("clips", A), "{}");
            store.setNonText(SchedulerKeys.progress("clips", A));
            List<String> lines = answer("job list");
            assertEquals(2, lines.size(), lines.toString());
            assertTrue(lines.get(0).startsWith(SchedulerKeys.job("clips", A) + "  unreadable: missing:"), lines.get(0));
            assertTrue(
                    lines.get(1).startsWith(SchedulerKeys.progress("clips", A) + "  unreadable: not-text"),
                    lines.get(1));
        }

        @Test
        void ofAnyKindIsListed() {
            assertEquals(List.of("all entries can be read"), answer("job unreadable"));
            List<String> keys = List.of(
                    FakeRecords.CONFIGURATION,
                    "worker/w1",
                    "wave/1",
                    SchedulerKeys.evacuation("clips", "w1"),
                    SchedulerKeys.report("clips"),
                    SchedulerKeys.upkeep(1),
                    SchedulerKeys.recentOrders(),
                    SchedulerKeys.job("clips", A),
                    SchedulerKeys.progress("clips", A));
            keys.forEach(k -> store.set(k, "[]"));
            store.set(SchedulerKeys.cancel("clips", A), "");
            List<String> lines = answer("job unreadable");
            assertEquals(
                    new TreeSet<>(keys),
                    lines.stream()
                            .map(l -> l.substring(0, l.indexOf("  unreadable: ")))
                            .collect(Collectors.toCollection(TreeSet::new)));
        }
    }

    @Nested
    class FinishedJob {

        private void isOver(JobProgress p) {
            store.set(SchedulerKeys.job("clips", A), "over");
            store.set(SchedulerKeys.progress("clips", A), RecordCodec.write(p));
        }

        @Test
        void isExplainedWithoutSteps() {
            isOver(new JobProgress(JobState.FAILED, List.of(), "task 0.0.1 failed 3 times", 2_000));
            List<String> lines = answer("job explain a");
            assertEquals("job a of queue q on service clips: FAILED, task 0.0.1 failed 3 times", lines.get(0));
            assertEquals("over for 7000 ms; its steps are not kept any more", lines.get(1));
        }

        @Test
        void showsACancellationByItsCaller() {
            isOver(new JobProgress(JobState.CANCELLED, List.of(), "", 2_000));
            store.set(SchedulerKeys.cancel("clips", A), A.toString());
            assertTrue(answer("job explain a").get(1).startsWith("over for 7000 ms, cancelled by its caller"));
        }

        @Test
        void isListedWithItsLastState() {
            isOver(new JobProgress(JobState.COMPLETED, List.of(), "", 2_000));
            assertEquals(List.of("a  COMPLETED  queue q  service clips"), answer("job list"));
        }

        @Test
        void isUnknownOnceItsProgressIsGone() {
            store.set(SchedulerKeys.job("clips", A), "over");
            assertEquals(List.of("no jobs"), answer("job list"));
            assertTrue(answer("job explain a").get(0).startsWith("no such job"));
        }
    }
}
