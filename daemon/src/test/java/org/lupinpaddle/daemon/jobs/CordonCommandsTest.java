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
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.common.RecordCodec;
import org.lupinpaddle.core.job.JobKey;
import org.lupinpaddle.core.job.JobProgress;
import org.lupinpaddle.core.job.JobSpec;
import org.lupinpaddle.core.job.JobState;
import org.lupinpaddle.core.job.Policy;
import org.lupinpaddle.core.job.Repeat;
import org.lupinpaddle.core.job.SchedulerKeys;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.job.TaskRecord;
import org.lupinpaddle.core.placement.Resources;
import org.lupinpaddle.core.placement.WorkerFacts;

/** Tests what operators are told about cordoned data halls, which is read from the store alone. */
class CordonCommandsTest {

    private static final JobKey A = new JobKey("q", "a");
    private static final JobKey B = new JobKey("q", "b");
    private static final StepSpec.Need HALF_WORKER = new StepSpec.Need(500, 100, 0);
    private static final long WALL_MILLIS = 9_000;

    private final FakeKeyValueStore store = new FakeKeyValueStore();
    private final FakeRecords records = new FakeRecords();
    private final CordonRecords cordons = new CordonRecords(records, Set.of("north", "south"));

    private List<String> answer(String words, Optional<CordonRecords> deployed) {
        DirectLoop loop = new DirectLoop();
        UnreadableEntries unreadable = new UnreadableEntries(new JobMetrics());
        ConfigurationFeed feed = new ConfigurationFeed(
                store, loop, records, unreadable, new CordonFeed(cordons, unreadable, 0), () -> {});
        JobIntake intake = new JobIntake(store, loop, records, feed, () -> WALL_MILLIS, () -> true, isDue -> true);
        List<String> lines = new ArrayList<>();
        new JobCommandExecutor(store, records, intake, deployed, Set.of("north", "south"))
                .run(words, "operator", r -> lines.addAll(r.lines()));
        return lines;
    }

    private List<String> halls() {
        return answer("job halls", Optional.of(cordons));
    }

    private long cordon(String hall) {
        return store.set(FakeRecords.CORDONS + hall, "{}");
    }

    private void list(String id, String service, String hall, String... labels) {
        list(id, service, hall, false, labels);
    }

    private void list(String id, String service, String hall, boolean draining, String... labels) {
        store.set(
                "worker/" + id,
                RecordCodec.write(new WorkerFacts(
                        id,
                        service,
                        "127.0.0.1:1",
                        hall,
                        draining,
                        0,
                        new Resources(1_000, 1_000, 0),
                        List.of(labels))));
    }

    private void submit(JobKey key, String service, StepSpec step, TaskRecord... tasks) {
        JobSpec spec =
                new JobSpec(key, service, "text", List.of(step), Repeat.ONCE, new Policy(0, 3, 1.5, 500, false), 1_000);
        store.set(SchedulerKeys.job(service, key), RecordCodec.write(spec));
        store.set(
                SchedulerKeys.progress(service, key),
                RecordCodec.write(new JobProgress(JobState.RUNNING, List.of(tasks), "", 1_500)));
    }

    private static TaskRecord on(String worker, int index) {
        return new TaskRecord(0, 0, index, 1, 0, false, worker, "");
    }

    private static StepSpec.Builder step(int count) {
        return StepSpec.builder(count, HALF_WORKER);
    }

    @Nested
    class Halls {

        @Test
        void showTasksByServiceAndLongRunningOnes() {
            list("w1", "clips", "north");
            list("w2", "film", "north");
            list("w3", "clips", "south");
            submit(A, "clips", step(2).longRunning(true, 1).build(), on("w1", 0), on("w1", 1));
            submit(B, "film", step(1).build(), on("w2", 0));
            long revision = cordon("north");
            List<String> lines = halls();
            assertEquals(
                    "hall north  cordoned at revision " + revision
                            + "  2 workers  3 tasks: clips 2 (2 long-running), film 1",
                    lines.get(0));
            assertEquals("hall south  open  1 worker  empty", lines.get(1));
        }

        @Test
        void doNotCountTasksThatAreDoneOrWait() {
            list("w1", "clips", "north");
            TaskRecord done = new TaskRecord(0, 0, 0, 1, 0, true, "w1", "");
            submit(A, "clips", step(2).build(), done, on("", 1));
            assertEquals("hall north  open  1 worker  empty", halls().get(0));
        }

        /** Guards against a hall that is taken for empty while a worker that it has lost may still run a task. */
        @Test
        void showTasksOfWorkersThatAreNotListed() {
            submit(A, "clips", step(1).build(), on("w9", 0));
            List<String> lines = halls();
            assertTrue(
                    lines.contains("workers that are not listed, in unknown halls  1 task: clips 1"), lines.toString());
        }

        /** Guards against a hall that is taken for empty because a record of its tasks cannot be read. */
        @Test
        void showThatRecordsCanNotBeRead() {
            store.set("worker/w1", "[]");
            store.setNonText(SchedulerKeys.progress("clips", A));
            List<String> lines = halls();
            assertTrue(
                    lines.contains(
                            "records that can not be read, and whose tasks are not counted: 2; see job unreadable"),
                    lines.toString());
        }

        @Test
        void showTheOwnersOfServices() {
            list("w1", "clips", "north");
            store.set(SchedulerKeys.owner("film"), "entry-1");
            store.set(SchedulerKeys.owner(JobNode.FLEET), "entry-2");
            List<String> lines = halls();
            assertEquals(
                    List.of("service clips  owned by nobody", "service film  owned by entry-1"),
                    lines.subList(2, lines.size()));
        }

        @Test
        void includeHallsThatOnlyWorkersName() {
            list("w1", "clips", "west");
            assertTrue(halls().contains("hall west  open  1 worker  empty"));
        }

        @Test
        void areListedWithoutCordons() {
            cordon("north");
            assertEquals(
                    List.of(
                            "this deployment has no cordons",
                            "hall north  open  0 workers  empty",
                            "hall south  open  0 workers  empty"),
                    answer("job halls", Optional.empty()));
        }
    }

    @Nested
    class WaitingStep {

        private static final String NEED = " with 500 thousandths of a core and 100 MB";

        private String explain() {
            return answer("job explain a", Optional.of(cordons)).get(3);
        }

        private void assertBlocked(String reason) {
            String line = explain();
            assertTrue(line.endsWith(" wait for a worker outside of the cordoned " + reason), line);
        }

        private void assertNotBlocked() {
            String line = explain();
            assertTrue(line.contains(" wait for a worker with 500"), line);
        }

        @Test
        void showsThatOnlyCordonedHallsHaveItsLabel() {
            list("w1", "clips", "north", "fast");
            list("w2", "clips", "south");
            submit(A, "clips", step(1).place("fast", "").build());
            cordon("north");
            assertBlocked("hall north" + NEED + " and the label fast; the other halls have too few");
        }

        @Test
        void showsThatAllHallsAreCordoned() {
            list("w1", "clips", "north");
            list("w2", "clips", "south");
            submit(A, "clips", step(1).build());
            cordon("north");
            cordon("south");
            assertBlocked("halls north, south" + NEED + "; the other halls have too few");
        }

        @Test
        void showsThatWorkersElsewhereAreFull() {
            list("w1", "clips", "north");
            list("w2", "clips", "south");
            submit(A, "clips", step(1).build());
            submit(B, "clips", step(2).build(), on("w2", 0), on("w2", 1));
            cordon("north");
            assertBlocked("hall north" + NEED + "; the other halls have too little free room");
        }

        @Test
        void showsThatTheLimitPerWorkerIsReachedElsewhere() {
            list("w1", "clips", "north");
            list("w2", "clips", "south");
            submit(A, "clips", step(2).perWorkerMost(1).build(), on("w2", 0));
            cordon("north");
            assertBlocked("hall north" + NEED + "; the other halls have too little free room");
        }

        @Test
        void showsThatAGangFindsRoomOnlyWithCordonedHalls() {
            list("w1", "clips", "north");
            list("w2", "clips", "south");
            submit(A, "clips", step(3).gang(true, false).build());
            cordon("north");
            assertBlocked("hall north" + NEED + "; the other halls have too few");
        }

        /** Guards against blaming a cordon for a step that would wait without it as well. */
        @Test
        void doesNotBlameCordonsThatDoNotMatter() {
            list("w1", "clips", "north", true);
            list("w2", "film", "north");
            list("w3", "clips", "south");
            submit(A, "clips", step(1).build());
            submit(B, "clips", step(2).build(), on("w3", 0), on("w3", 1));
            cordon("north");
            assertNotBlocked();
        }

        @Test
        void doesNotBlameCordonsOnceLifted() {
            list("w1", "clips", "north");
            submit(A, "clips", step(1).build());
            cordon("north");
            store.remove(FakeRecords.CORDONS + "north");
            assertNotBlocked();
        }
    }
}
