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
package org.lupinpaddle.model;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.lupinpaddle.model.RuleAssertions.assertRulesHold;

import java.util.stream.LongStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Histories in which workers crash and start again under their ids. */
class WorkerRestartsTest {

    /**
     * With this seed a job that causes no crash was given up: two of the three workers that it lost had crashed while
     * unreachable, after its runs had ended.
     */
    private static final long SEED_WITH_JOB_GIVEN_UP = 76;

    @Nested
    class SeededHistories {

        /** Guards against attributing the results of a later incarnation of a worker to an earlier one. */
        @Test
        void satisfyRulesWithoutOtherFaults() {
            LongStream.range(0, 100)
                    .filter(seed -> seed != SEED_WITH_JOB_GIVEN_UP)
                    .parallel()
                    .forEach(seed -> assertRulesHold(seed, 0, new World(seed, 0).withRestarts(seed)));
        }

        /** Guards against giving up a job whose workers crashed for other reasons. */
        @Test
        void doNotGiveUpJobsForCrashesOfUnreachableWorkers() {
            long seed = SEED_WITH_JOB_GIVEN_UP;
            assertRulesHold(seed, 0, new World(seed, 0).withRestarts(seed));
        }

        /** Guards against the same faults while owners change, halls are cut off and the store is unavailable. */
        @Test
        void satisfyRulesUnderOtherFaults() {
            LongStream.range(0, 200)
                    .parallel()
                    .forEach(seed -> assertRulesHold(seed, 6, new World(seed, 6).withRestarts(seed)));
        }

        /** Guards against starting crashing tasks without end because their workers return under their ids. */
        @Test
        void satisfyRulesWithCrashingTasks() {
            LongStream.range(0, 100)
                    .parallel()
                    .forEach(seed -> assertRulesHold(
                            seed, 6, new World(seed, 6).withCrashingTasks(seed).withRestarts(seed)));
        }
    }

    /**
     * Histories in which an unanswered start is executed by the next incarnation of its worker, after its run has ended or
     * was started elsewhere.
     */
    @Nested
    class StartExecutedAfterARestart {

        private static final long SEED_WITH_RUN_ELSEWHERE = 8804219;
        private static final long SEED_WITH_COMPLETED_RUN = 8804828;

        private static World world(long seed, int faults, Sabotage sabotage) {
            return new World(seed, faults, sabotage).withRestarts(seed);
        }

        /** Guards against a second run beside the one that the task was given elsewhere. */
        @Test
        void isRejectedWhileTheTaskRunsElsewhere() {
            long seed = SEED_WITH_RUN_ELSEWHERE;
            assertRulesHold(seed, 0, world(seed, 0, Sabotage.NONE));
        }

        /** Guards against repeating a run that is done. */
        @Test
        void isRejectedAfterItsRunIsDone() {
            long seed = SEED_WITH_COMPLETED_RUN;
            assertRulesHold(seed, 6, world(seed, 6, Sabotage.NONE).withCrashingTasks(seed));
        }

        /** Guards against rules that do not notice the start if its worker still accepts it. */
        @ParameterizedTest
        @ValueSource(longs = {8801002, 8801032, 8807003})
        void isDetectedIfTheFenceIsNotRaised(long seed) {
            assertRulesHold(seed, 0, world(seed, 0, Sabotage.NONE));
            assertThrows(
                    RuleViolationException.class,
                    () -> world(seed, 0, Sabotage.FENCES_NOT_RAISED).run());
        }
    }

    /** Histories in which a worker that has restarted under its id executes an unanswered start as its first order. */
    @Nested
    class StartExecutedFirst {

        private static void assertRulesHoldWithLateFirstStarts(long seed, int faults) {
            World w = new World(seed, faults).withRestarts(seed).withLateFirstStarts();
            assertRulesHold(seed, faults, w);
        }

        /** Guards against a second run on another worker, begun because the list of instances shows the first one down. */
        @Test
        void isNotFollowedByARunElsewhere() {
            assertRulesHoldWithLateFirstStarts(5101062, 0);
            LongStream.of(5100260, 5100882, 5101254).forEach(seed -> assertRulesHoldWithLateFirstStarts(seed, 6));
        }

        @Test
        void satisfiesRulesUnderOtherFaults() {
            LongStream.range(0, 60).parallel().forEach(seed -> assertRulesHoldWithLateFirstStarts(seed, 6));
        }
    }

    /** Histories in which an unanswered start is executed late by the incarnation that it was meant for. */
    @Nested
    class LateStart {

        private static final long SEED_WITH_CRASHING_TASKS = 8802256;
        private static final long SEED_WITHOUT_CRASHING_TASKS = 9400366;

        /** Guards against stopping a run that began late, while another task of its step is away. */
        @Test
        void isNotStoppedWhileItIsAtWork() {
            long seed = SEED_WITHOUT_CRASHING_TASKS;
            assertRulesHold(seed, 6, new World(seed, 6).withRestarts(seed));
        }

        /** Guards against the same failure while the other task has been given up for crashing workers. */
        @Test
        void isNotStoppedWhileACrashingTaskIsAway() {
            long seed = SEED_WITH_CRASHING_TASKS;
            World w = new World(seed, 6).withCrashingTasks(seed).withRestarts(seed);
            assertRulesHold(seed, 6, w);
        }
    }

    /** Histories in which workers that execute orders late do so with holds as well. */
    @Nested
    class LateHold {

        private static final long SEED_WITH_UNSEEN_RESULT = 9501159;

        private static void assertRulesHoldWithLateHolds(long seed, int faults) {
            World w = new World(seed, faults).withRestarts(seed).withLateHolds(seed);
            assertRulesHold(seed, faults, w);
        }

        /** Guards against repeating a run whose result its worker discards before an owner has seen it. */
        @Test
        void doesNotAcknowledgeResultsOfTheNextIncarnation() {
            assertRulesHoldWithLateHolds(SEED_WITH_UNSEEN_RESULT, 0);
        }

        /** Guards against the same fault at other moments. */
        @Test
        void breaksNoRule() {
            LongStream.range(0, 60).parallel().forEach(seed -> assertRulesHoldWithLateHolds(seed, 6));
        }
    }
}
