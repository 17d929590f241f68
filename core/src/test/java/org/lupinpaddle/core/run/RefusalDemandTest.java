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

import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.job.JobKey;
import org.lupinpaddle.core.job.StepSpec;

/** Tests how many workers are reported as needed if the advice service refuses some of them. */
class RefusalDemandTest {

    private static final long VALID_MILLIS = 60_000;
    private static final long SAVE_DELAY_MILLIS = 150;

    private final SchedulerDriver d = new SchedulerDriver();
    private final Set<String> refused = new HashSet<>();
    private final Set<String> answered = new HashSet<>();
    private int adviceAnswered;

    private static StepSpec.Builder longRunning(int count, long cpuMillis) {
        return StepSpec.builder(count, new StepSpec.Need(cpuMillis, 100, 0)).longRunning(true, 1);
    }

    /** Returns a step with tasks that must not share a worker. */
    private static StepSpec apart(int count) {
        return longRunning(count, 1_000).perWorkerMost(1).build();
    }

    private static StepSpec wholeWorkers(int count) {
        return longRunning(count, 4_000).build();
    }

    /** Lists these workers and answers a hold of the new ones. */
    private void listAndAnswer(String... workers) {
        d.listWorkers(workers);
        Arrays.stream(workers).filter(answered::add).forEach(w -> d.answerHold(w, List.of(), List.of()));
        answerAdvice();
    }

    private void submit(String id, StepSpec step) {
        d.advised = true;
        d.submit(id, step);
        answerAdvice();
    }

    private void refuse(String... workers) {
        refused.addAll(List.of(workers));
    }

    /** Answers all requests for advice and starts what is permitted. */
    private void answerAdvice() {
        while (adviceAnswered < d.port.advice.size()) {
            AdviceRequest r = d.port.advice.get(adviceAnswered++);
            Map<String, String> tickets = r.workers().stream()
                    .filter(w -> !refused.contains(w))
                    .collect(Collectors.toMap(Function.identity(), w -> "ticket"));
            d.scheduler.onAdvice(r, new AdviceResponse(tickets, VALID_MILLIS));
            d.advance(0);
        }
        startPlaced();
    }

    private void startPlaced() {
        int sent = d.port.starts.size();
        d.advance(SAVE_DELAY_MILLIS);
        while (!d.port.saves.isEmpty()) {
            d.completeSaves();
            while (sent < d.port.starts.size()) {
                d.scheduler.onStarted(d.port.starts.get(sent++), OrderOutcome.ACCEPTED);
            }
        }
    }

    private int needed() {
        int needed = d.scheduler.report().needed();
        assertEquals(needed, d.scheduler.report().firm(), "long-running work is firm");
        return needed;
    }

    @Nested
    class WorkersThatAreLacking {

        /** Guards against a task that waits for ever in a pool that looks large enough. */
        @Test
        void areNeededBesidesTheRefusedOnes() {
            refuse("w1", "w2");
            listAndAnswer("w1", "w2", "w3", "w4");
            submit("a", apart(3));
            assertEquals(2, d.port.starts.size());
            assertEquals(5, needed());
        }

        /** Guards against the same if the permitted workers are full with other tasks. */
        @Test
        void areNeededIfThePermittedOnesHaveNoRoom() {
            refuse("w1", "w2");
            listAndAnswer("w3");
            d.submit(
                    "other",
                    StepSpec.builder(3, SchedulerDriver.NEED)
                            .longRunning(true, 1)
                            .build());
            startPlaced();
            listAndAnswer("w1", "w2", "w3");
            submit("a", longRunning(1, 2_000).build());
            assertEquals(4, needed());
        }

        /** Guards against growth that stops when the next worker is refused as well. */
        @Test
        void areNeededAgainWhenANewOneIsRefused() {
            refuse("w1", "w2", "w5");
            listAndAnswer("w1", "w2", "w3", "w4");
            submit("a", apart(3));
            listAndAnswer("w1", "w2", "w3", "w4", "w5");
            assertEquals(6, needed());
            listAndAnswer("w1", "w2", "w3", "w4", "w5", "w6");
            assertEquals(3, d.port.starts.size());
            assertEquals(6, needed());
        }

        /** Guards against growth for each task where a worker takes several. */
        @Test
        void areCountedByTheTasksThatFitOnOne() {
            refuse("w1", "w2", "w3");
            listAndAnswer("w1", "w2", "w3");
            submit("a", longRunning(8, 1_000).build());
            assertEquals(5, needed());
        }
    }

    @Nested
    class NoWorkersAreLacking {

        private int neededWithoutAdvice(StepSpec step) {
            SchedulerDriver plain = new SchedulerDriver();
            plain.listAndAnswer(SchedulerDriver.worker("w1"));
            plain.submit("a", step);
            return plain.scheduler.report().needed();
        }

        /** Guards against growth because of workers that the step can do without. */
        @Test
        void whileAPermittedOneHasRoom() {
            refuse("w1", "w2");
            listAndAnswer("w1", "w2", "w3", "w4", "w5");
            submit("a", apart(3));
            assertEquals(3, d.port.starts.size());
            assertEquals(3, needed());
        }

        /** Guards against growth before the service has answered. */
        @Test
        void whileNoneIsKnownToBeRefused() {
            listAndAnswer("w1", "w2", "w3");
            d.advised = true;
            d.submit("a", apart(3));
            assertEquals(3, needed());
        }

        /** Guards against growth beyond the demand if no worker is refused. */
        @Test
        void ifTheTasksWaitForRoomOnly() {
            listAndAnswer("w1", "w2");
            submit("a", wholeWorkers(3));
            assertEquals(neededWithoutAdvice(wholeWorkers(3)), needed());
        }

        /** Guards against growth for a job that has ended. */
        @Test
        void afterTheEndOfTheJob() {
            refuse("w1", "w2");
            listAndAnswer("w1", "w2", "w3", "w4");
            submit("a", apart(3));
            assertEquals(5, needed());
            d.scheduler.onCancel(new JobKey("q", "a"));
            d.advance(0);
            assertEquals(0, needed());
        }
    }

    @Nested
    class ThePool {

        /** Guards against a pool that shrinks as soon as the task runs, so that the task is moved and waits again. */
        @Test
        void staysAsLargeWhileTheTasksRun() {
            refuse("w1", "w2");
            listAndAnswer("w1", "w2", "w3", "w4");
            submit("a", apart(3));
            needed();
            listAndAnswer("w1", "w2", "w3", "w4", "w5");
            assertEquals(3, d.port.starts.size());
            assertEquals(5, needed());
        }

        /** Guards against refused workers that count after they have left the pool. */
        @Test
        void needsOneLessWhenARefusedOneHasLeft() {
            refuse("w1", "w2");
            listAndAnswer("w1", "w2", "w3", "w4");
            submit("a", apart(3));
            needed();
            listAndAnswer("w2", "w3", "w4", "w5");
            assertEquals(4, needed());
        }

        /** Guards against growth without bound: as many permitted workers as the demand needs are enough. */
        @Test
        void needsAtMostTheRefusedOnesBesidesItsDemand() {
            Set<String> workers = new HashSet<>();
            for (int i = 1; i <= 12; i++) {
                workers.add("w" + i);
            }
            refuse(workers.toArray(String[]::new));
            listAndAnswer("w1");
            submit("a", apart(2));
            for (int i = 2; i <= 12; i++) {
                int at = i;
                listAndAnswer(workers.stream()
                        .filter(w -> Integer.parseInt(w.substring(1)) <= at)
                        .toArray(String[]::new));
                assertEquals(i + 2, needed());
            }
        }
    }
}
