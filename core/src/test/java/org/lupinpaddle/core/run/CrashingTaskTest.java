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

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.job.JobProgress;
import org.lupinpaddle.core.job.JobState;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.placement.WorkerFacts;

/**
 * Guards against restarting a task without limit that crashes every worker that runs it. A run lost with its worker
 * used up no attempt and was counted neither by the owner nor in the task's record. One owner alone started run after
 * run, more than 24, each on another worker that was gone within 10 ms; the tasks beside it were lost each time, and
 * the caller never learned that the job cannot complete. With the count saved before each start, there are never more
 * than five starts under one owner or under forty consecutive ones.
 */
class CrashingTaskTest {

    /** The number of starts allowed after three workers have crashed while running a task. */
    private static final int MAX_STARTS_AFTER_THIRD_CRASH = 2;

    private static final int CRASHES_UNTIL_SUSPECT_IS_CERTAIN = 3;
    private static final int MAX_STARTS = CRASHES_UNTIL_SUSPECT_IS_CERTAIN + MAX_STARTS_AFTER_THIRD_CRASH;
    private static final int ROUNDS = 40;
    private static final long SILENT_MILLIS = 2_800;
    private static final StepSpec ONE =
            StepSpec.builder(1, SchedulerDriver.NEED).build();

    /** Three addresses whose workers crash as soon as they start the task and return at once with another id. */
    private static final class CrashSimulation {
        SchedulerDriver d = new SchedulerDriver();
        private final Map<String, String> currentIds = new LinkedHashMap<>();
        private final Map<String, Integer> createdByAddress = new HashMap<>();
        private JobProgress savedProgress = JobProgress.none(0);
        private long now;
        int starts;

        CrashSimulation() {
            List.of("a", "b", "c").forEach(this::createWorker);
            begin();
        }

        private void createWorker(String address) {
            currentIds.put(address, address + createdByAddress.merge(address, 1, Integer::sum));
        }

        private void begin() {
            d.now = now;
            list();
            answer();
        }

        private void answer() {
            d.advance(10);
            currentIds.values().forEach(w -> d.answerHold(w, List.of(), List.of()));
        }

        private void list() {
            d.scheduler.onWorkers(
                    currentIds.values().stream().map(CrashSimulation::facts).toList());
        }

        private static WorkerFacts facts(String id) {
            return SchedulerDriver.worker(id);
        }

        /** Switches to a new owner that knows the saved progress and the platform's list. */
        void nextOwner() {
            now = d.now;
            d = new SchedulerDriver();
            begin();
            d.submit("guilty", savedProgress, ONE);
            d.advance(SILENT_MILLIS);
            answer();
            d.scheduler.onRunningWorkers(Set.copyOf(currentIds.values()), d.now);
            d.advance(10);
        }

        /** Saves all pending progress and makes each start crash its worker. */
        void round() {
            d.port.saves.forEach(batch -> batch.forEach(s -> savedProgress = s.progress()));
            d.completeSaves();
            List<StartOrder> sent = List.copyOf(d.port.starts);
            d.port.starts.clear();
            sent.forEach(this::crash);
            d.advance(100);
        }

        private void crash(StartOrder s) {
            starts++;
            String id = s.worker().id();
            d.scheduler.onStarted(s, OrderOutcome.ACCEPTED);
            createWorker(id.substring(0, 1));
            list();
            d.answerAsOtherIncarnation(id);
            answer();
        }

        void rounds(int n) {
            for (int i = 0; i < n; i++) {
                round();
            }
        }
    }

    @Nested
    class ATaskUnderOneOwner {

        @Test
        void isStartedAtMostTwiceAfterThreeCrashes() {
            CrashSimulation w = new CrashSimulation();
            w.d.submit("guilty", ONE);
            w.rounds(ROUNDS);
            assertTrue(w.starts <= MAX_STARTS, w.starts + " starts");
        }

        @Test
        void failsItsJob() {
            CrashSimulation w = new CrashSimulation();
            w.d.submit("guilty", ONE);
            w.rounds(ROUNDS);
            assertTrue(w.savedProgress.state() == JobState.FAILED, "the caller is told " + w.savedProgress.state());
        }
    }

    @Nested
    class ATaskUnderConsecutiveOwners {

        /** The crash count must survive a change of owner. */
        @Test
        void isStartedAtMostTwiceAfterThreeCrashes() {
            CrashSimulation w = new CrashSimulation();
            w.d.submit("guilty", ONE);
            for (int i = 0; i < ROUNDS; i++) {
                w.round();
                w.nextOwner();
            }
            assertTrue(w.starts <= MAX_STARTS, w.starts + " starts");
        }
    }
}
