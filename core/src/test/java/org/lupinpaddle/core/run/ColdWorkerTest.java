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
package org.lupinpaddle.core.run;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.job.EndKind;
import org.lupinpaddle.core.job.JobKey;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.job.TaskId;
import org.lupinpaddle.core.placement.WorkerFacts;

/** Tests workers that are cold: slow for a while, but not faulty. */
class ColdWorkerTest {

    private static final TaskId FIRST = new TaskId(0, 0, 0);
    private static final long COLD_MILLIS = 60_000;

    private final SchedulerDriver d = new SchedulerDriver();
    private final List<StartOrder> running = new ArrayList<>();
    private int ends;

    private static WorkerFacts cold(String id) {
        return SchedulerDriver.coldWorker(id, 1, COLD_MILLIS);
    }

    private static WorkerFacts warm(String id) {
        return SchedulerDriver.coldWorker(id, 1, 0);
    }

    private static StepSpec step(int count, long estimateMillis) {
        return StepSpec.builder(count, SchedulerDriver.NEED)
                .estimateMillis(estimateMillis)
                .build();
    }

    private static RunStatus status(StartOrder o, int percent) {
        return new RunStatus(o.jobId(), o.task(), o.run(), "", percent, -1);
    }

    /** Submits a job and starts its tasks. */
    private List<StartOrder> start(String job, StepSpec step) {
        int before = d.port.starts.size();
        d.submit(job, step);
        d.completeSaves();
        if (d.port.starts.size() == before) {
            // The previous write was too recent.
            d.advance(50);
            d.completeSaves();
        }
        List<StartOrder> started = List.copyOf(d.port.starts.subList(before, d.port.starts.size()));
        started.forEach(o -> d.scheduler.onStarted(o, OrderOutcome.ACCEPTED));
        running.addAll(started);
        return started;
    }

    /** Runs a job of one task on its worker for some time. */
    private void run(String job, long estimateMillis, long millis, EndKind how) {
        StartOrder o = start(job, step(1, estimateMillis)).get(0);
        d.advance(millis);
        d.answerHold(o.worker().id(), List.of(), List.of(new RunResult(++ends, job, o.task(), o.run(), how, "")));
        d.completeSaves();
    }

    /** Lists workers, with answers of those that run nothing. */
    private void list(List<WorkerFacts> all, String... idle) {
        d.scheduler.onWorkers(all);
        d.advance(0);
        Stream.of(idle).forEach(w -> d.answerHold(w, List.of(), List.of()));
    }

    /** Lets time pass; these workers answer regularly, and records are saved. */
    private void pass(long millis, String... workers) {
        for (long t = 0; t < millis; t += 20) {
            d.advance(20);
            for (String w : workers) {
                List<RunStatus> runs = running.stream()
                        .filter(o -> o.worker().id().equals(w))
                        .map(o -> status(o, 1))
                        .toList();
                d.answerHold(w, runs, List.of());
            }
            d.completeSaves();
        }
    }

    private List<String> details(SchedulerEvent.Kind kind) {
        return d.port.events(kind).stream().map(SchedulerEvent::detail).toList();
    }

    @Nested
    class TheColdPeriod {

        private int coldWorkers() {
            d.advance(0);
            return d.scheduler.load().cold();
        }

        private void list(long bornMillis, long coldMillis) {
            d.scheduler.onWorkers(List.of(SchedulerDriver.coldWorker("w1", bornMillis, coldMillis)));
        }

        /** Guards against a worker that stays cold forever, because its record is rewritten regularly. */
        @Test
        void isNotExtendedByTheSameValue() {
            list(1, 1_000);
            d.advance(900);
            list(1, 1_000);
            assertEquals(1, coldWorkers());
            d.advance(100);
            assertEquals(0, coldWorkers());
        }

        @Test
        void restartsWithAnotherValueAndEndsWithZero() {
            list(1, 1_000);
            d.advance(900);
            list(1, 500);
            d.advance(499);
            assertEquals(1, coldWorkers());
            list(1, 0);
            assertEquals(0, coldWorkers());
        }

        /** Guards against a restarted worker that counts as warm, because its record states the same value. */
        @Test
        void ofANewIncarnationStartsAnewByItsOwnRecord() {
            list(1, 1_000);
            d.advance(0);
            d.answerHoldAs("w1", 1, 100, List.of(), List.of());
            d.advance(2_000);
            list(2, 1_000);
            d.advance(600);
            d.answerHoldAs("w1", 2, 10, List.of(), List.of());
            assertEquals(1, coldWorkers());
            d.advance(400);
            assertEquals(0, coldWorkers(), "counted from when its record was seen, not from its answer");
        }

        /** Guards against a worker that counts as cold again after it was given up and answers again. */
        @Test
        void isNotRestartedWhenTheWorkerWasSilent() {
            list(1, 1_000);
            d.advance(0);
            d.answerHold("w1", List.of(), List.of());
            start("a", step(1, 1_000));
            d.advance(40_000);
            assertFalse(d.port.events(SchedulerEvent.Kind.WORKER_GONE).isEmpty());
            list(1, 1_000);
            assertEquals(0, coldWorkers());
        }
    }

    @Nested
    class Placement {

        @Test
        void prefersWarmWorkers() {
            d.listAndAnswer(cold("w1"), warm("w2"));
            start("a", step(4, 1_000))
                    .forEach(o -> assertEquals("w2", o.worker().id()));
            assertTrue(details(SchedulerEvent.Kind.TASK_PLACED).stream().noneMatch(p -> p.contains("cold")));
        }

        /** Guards against packing the tasks on the first of many cold workers, and against waiting for a warm one. */
        @Test
        void spreadsTasksOverColdWorkers() {
            d.listAndAnswer(cold("w1"), cold("w2"), cold("w3"), cold("w4"));
            Set<String> used = new HashSet<>();
            start("a", step(4, 1_000)).forEach(o -> used.add(o.worker().id()));
            assertEquals(4, used.size());
            assertTrue(details(SchedulerEvent.Kind.TASK_PLACED).stream().allMatch(p -> p.endsWith(" cold=true")));
        }

        /** Guards against a common rack of cold workers where warm ones have room. */
        @Test
        void prefersAWarmRackForTasksThatShareOne() {
            WorkerFacts two = SchedulerDriver.workerOnRack("w2", "r2");
            d.listAndAnswer(two, cold("w1"));
            start("other", step(1, 1_000));
            StepSpec together =
                    StepSpec.builder(2, SchedulerDriver.NEED).gang(false, true).build();
            start("a", together).forEach(o -> assertEquals("w2", o.worker().id()));
        }
    }

    @Nested
    class TheRateLimit {

        private static final long PERIOD_MILLIS = 500;

        private void listLimited(WorkerFacts... all) {
            d.scheduler.onColdStartsPerSecond(2);
            d.listAndAnswer(all);
        }

        /** Returns when each start was sent, while time passes. The starts stay unanswered. */
        private List<Long> startTimes(long millis, String... workers) {
            List<Long> times = new ArrayList<>();
            for (long t = 0; t < millis; t += 20) {
                int before = d.port.starts.size();
                pass(20, workers);
                d.port.starts.subList(before, d.port.starts.size()).forEach(o -> times.add(d.now));
            }
            return times;
        }

        /** Guards against a burst of starts on a worker that returns cold. */
        @Test
        void keepsStartsOnePeriodApart() {
            listLimited(cold("w1"));
            d.submit("a", step(4, 60_000));
            assertEquals(List.of(500L, 1_000L, 1_500L, 2_000L), startTimes(3_000, "w1"));
        }

        /** Guards against a second start within the period after a change of owner: the earlier one is unknown. */
        @Test
        void delaysTheFirstStartOfANewOwnerByOnePeriodFromTheWorkersFirstAnswer() {
            d.scheduler.onColdStartsPerSecond(2);
            d.listWorkers("w0");
            d.advance(2_000);
            d.listAndAnswer(cold("w1"));
            d.submit("a", step(1, 60_000));
            assertEquals(List.of(2_500L), startTimes(1_000, "w1"));
        }

        @Test
        void doesNotDelayAWorkerThatJoinsLater() {
            d.scheduler.onColdStartsPerSecond(2);
            d.advance(SchedulerDriver.INHERITED_MILLIS + 1);
            d.listAndAnswer(cold("w1"));
            assertEquals(1, start("a", step(2, 60_000)).size());
        }

        /** Guards against two starts within a period where the worker receives only the repetition of the first. */
        @Test
        void appliesAfterARepeatedStart() {
            startWithoutAnswer(0);
            assertEquals(List.of(700L, 1_200L), startTimes(1_000, "w1"));
        }

        /** Guards against a start that is sent just before the repetition of an earlier one. */
        @Test
        void countsAStartThatWillBeRepeated() {
            startWithoutAnswer(480);
            assertEquals(List.of(1_180L, 1_680L), startTimes(1_000, "w1"));
        }

        /** Submits two tasks; the start of the first, sent after one period, turns out to be unanswered some time later. */
        private void startWithoutAnswer(long millis) {
            listLimited(cold("w1"));
            pass(PERIOD_MILLIS, "w1");
            d.submit("a", step(2, 60_000));
            d.completeSaves();
            pass(millis, "w1");
            assertEquals(1, d.port.starts.size());
            d.scheduler.onStarted(d.lastStart(), OrderOutcome.UNKNOWN);
        }

        /** Guards against tasks that are bound to a cold worker although another one is free. */
        @Test
        void letsHeldTasksGoToOtherWorkers() {
            listLimited(cold("w1"));
            pass(PERIOD_MILLIS, "w1");
            assertEquals(1, start("a", step(2, 60_000)).size());
            list(List.of(cold("w1"), warm("w2")), "w2");
            pass(100);
            assertEquals("w2", d.lastStart().worker().id());
        }

        /** Guards against members that start while the rate of another member's worker holds it back. */
        @Test
        void holdsAGangUntilAllItsMembersMayStart() {
            listLimited(cold("w1"), cold("w2"));
            pass(PERIOD_MILLIS, "w1", "w2");
            assertEquals(1, start("a", step(1, 60_000)).size());
            d.submit(
                    "b",
                    StepSpec.builder(2, SchedulerDriver.NEED).gang(true, false).build());
            List<Long> times = startTimes(PERIOD_MILLIS, "w1", "w2");
            assertEquals(List.of(2 * PERIOD_MILLIS, 2 * PERIOD_MILLIS), times);
            Set<String> used = new HashSet<>();
            d.port.starts.subList(1, 3).forEach(o -> used.add(o.worker().id()));
            assertEquals(Set.of("w1", "w2"), used, "two starts on one cold worker exceed its rate");
        }

        /** Guards against less urgent tasks that take each start as it becomes permitted, while a gang needs several. */
        @Test
        void isNotUsedUpByLessUrgentTasksWhileAGangWaits() {
            listLimited(cold("w1"), cold("w2"));
            pass(PERIOD_MILLIS, "w1", "w2");
            assertEquals(1, start("a", step(1, 60_000)).size());
            d.submit(
                    "b",
                    StepSpec.builder(2, SchedulerDriver.NEED)
                            .gang(true, false)
                            .estimateMillis(60_000)
                            .build());
            d.submit("c", step(1, 60_000));
            assertEquals(
                    List.of(2 * PERIOD_MILLIS, 2 * PERIOD_MILLIS, 3 * PERIOD_MILLIS),
                    startTimes(3 * PERIOD_MILLIS, "w1", "w2"));
            assertEquals(
                    List.of("b", "b", "c"),
                    d.port.starts.stream().skip(1).map(StartOrder::jobId).toList());
        }

        /** Guards against a burst of starts that were placed while the worker was warm. */
        @Test
        void withdrawsPlacementsOnAWorkerThatHasBecomeCold() {
            listLimited(warm("w1"));
            pass(PERIOD_MILLIS, "w1");
            d.submit("a", step(4, 60_000));
            d.scheduler.onWorkers(List.of(cold("w1")));
            d.completeSaves();
            assertEquals(1, d.port.starts.size());
        }

        @Test
        void doesNotApplyToWarmWorkers() {
            listLimited(warm("w1"));
            assertEquals(4, start("a", step(4, 60_000)).size());
        }
    }

    @Nested
    class ARunOnAColdWorker {

        /** Guards against moving the tasks of a cold worker and avoiding it, as if it were faulty. */
        @Test
        void isNoSignOfASlowWorker() {
            d.listAndAnswer(cold("w1"));
            StartOrder a = start("a", step(1, 1_000)).get(0);
            StartOrder b = start("b", step(1, 1_000)).get(0);
            list(List.of(cold("w1"), warm("w2")), "w2");
            d.advance(1_000);
            d.answerHold("w1", List.of(status(a, 1), status(b, 1)), List.of());
            assertTrue(d.port.stops.isEmpty());
            assertTrue(d.port.events(SchedulerEvent.Kind.WORKER_AVOIDED).isEmpty());
        }

        /** Guards against a run that counts as slow because its worker turned cold only after it had started. */
        @Test
        void isAlsoOneThatStartedBefore() {
            d.listAndAnswer(warm("w1"));
            StartOrder a = start("a", step(1, 1_000)).get(0);
            StartOrder b = start("b", step(1, 1_000)).get(0);
            list(List.of(cold("w1")));
            list(List.of(warm("w1"), warm("w2")), "w2");
            d.advance(1_000);
            d.answerHold("w1", List.of(status(a, 1), status(b, 1)), List.of());
            assertTrue(d.port.stops.isEmpty());
        }

        /** Guards against expected run times, and thus demand and urgency, that follow cold runs. */
        @Test
        void isNotLearned() {
            d.listAndAnswer(cold("w1"));
            for (int i = 0; i < 6; i++) {
                run("a" + i, 1_000, 2_500, EndKind.DONE);
            }
            List<String> ended = details(SchedulerEvent.Kind.RUN_ENDED);
            assertEquals(6, ended.size());
            ended.forEach(e -> assertTrue(e.endsWith("expected-millis=1000"), e));
        }

        /**
         * Guards against siblings that count as slow or fast compared with a cold run, and against a ratio of the longest
         * to the mean run time that holds only for a mix of cold and warm workers.
         */
        @Test
        void isNotComparedWithItsSiblings() {
            d.listAndAnswer(warm("w1"));
            List<StartOrder> all = start("a", step(3, 1_000));
            end(all.get(0), 100, all.get(1), all.get(2));
            end(all.get(1), 800, all.get(2));
            list(List.of(cold("w1")));
            end(all.get(2), 1_000);
            assertTrue(details(SchedulerEvent.Kind.RUN_ENDED).get(2).endsWith("expected-millis=500"));
            d.submit("b", step(2, 1_000));
            String objective = details(SchedulerEvent.Kind.JOB_TAKEN).get(1);
            assertTrue(objective.contains("objective-millis=2000"), objective);
        }

        private void end(StartOrder o, long millis, StartOrder... others) {
            d.advance(millis);
            RunResult done = new RunResult(++ends, o.jobId(), o.task(), o.run(), EndKind.DONE, "");
            d.answerHold("w1", Stream.of(others).map(s -> status(s, 50)).toList(), List.of(done));
        }

        /** Guards against a worker that is avoided after few failures because its successes count as slow. */
        @Test
        void countsInFavourOfItsWorkerWhenItSucceeds() {
            d.listAndAnswer(cold("w1"));
            run("a", 100, 50, EndKind.FAILED);
            cancel("a");
            run("b", 100, 50, EndKind.FAILED);
            cancel("b");
            run("c", 100, 2_000, EndKind.DONE);
            run("e", 100, 50, EndKind.FAILED);
            assertTrue(d.port.events(SchedulerEvent.Kind.WORKER_AVOIDED).isEmpty());
        }

        private void cancel(String job) {
            d.scheduler.onCancel(new JobKey("q", job));
            d.advance(0);
            d.completeSaves();
        }

        /** Guards against stopping a run whose slow worker needs seconds for one percent, and against never doing so. */
        @Test
        void isStalledOnlyAfterMuchLongerThanElsewhere() {
            d.listAndAnswer(cold("w1"));
            StartOrder a = start("a", step(1, 20_000)).get(0);
            list(List.of(cold("w1"), warm("w2")), "w2");
            for (int s = 1; s <= 9; s++) {
                stand(a);
            }
            assertTrue(d.port.stops.isEmpty());
            stand(a);
            stand(a);
            assertEquals(1, d.port.stops.size());
        }

        private void stand(StartOrder o) {
            d.advance(1_000);
            d.answerHold("w2", List.of(), List.of());
            d.answerHold("w1", List.of(status(o, 0)), List.of());
        }

        /** Guards against a demand that takes cold workers for as fast as warm ones. */
        @Test
        void needsAsLongAsItsOwnProgressShows() {
            assertEquals(2, needed(0));
            assertEquals(3, needed(COLD_MILLIS));
        }

        private int needed(long coldMillis) {
            SchedulerDriver own = new SchedulerDriver();
            own.listAndAnswer(SchedulerDriver.coldWorker("w1", 1, coldMillis));
            own.submit("a", step(8, 10_000));
            own.completeSaves();
            own.port.starts.forEach(o -> own.scheduler.onStarted(o, OrderOutcome.ACCEPTED));
            own.advance(1_000);
            own.answerHold("w1", own.port.starts.stream().map(o -> status(o, 1)).toList(), List.of());
            return own.scheduler.report().needed();
        }
    }
}
