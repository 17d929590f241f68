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

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.capacity.ServiceReport;
import org.lupinpaddle.core.common.RecordCodec;
import org.lupinpaddle.core.fleet.PlatformInstance;
import org.lupinpaddle.core.job.SchedulerKeys;

/**
 * Guards against losing a received result in a planned stop. An entry that ended its lease at once also removed the
 * key that its writes depend on. A write in progress was then refused, the record still showed the task as running,
 * and the next owner ran the task again if its worker had left. The log showed {@code lease-given-back} in the same
 * millisecond as {@code stopping}, after a {@code RUN_ENDED} whose record no owner ever wrote.
 */
class HandOverTest {

    /** The time for which a stopping entry serves callers in any case; a longer hand-over delays the stop. */
    private static final long SHUTDOWN_SERVING_MILLIS = 3_000;

    private final NodeFixture f = new NodeFixture();

    @Nested
    class OfAService {

        /** The write of a result got no answer and was not applied. */
        @Test
        void waitsUntilReceivedResultsAreWritten() {
            f.startServing("w1");
            f.store.dropsCommitAnswers = true;
            f.endRunOn("w1");
            f.advance(30);
            f.node.stop();
            f.advance(20);
            f.store.dropsCommitAnswers = false;
            f.advance(1_000);
            assertTrue(f.isRecordedAsFinished(f.jobOn("w1")), "the next owner would run the task again");
            assertFalse(f.owns("clips"));
        }

        /**
         * The write was applied but its answer was lost, so the stored record is newer than the last known revision.
         */
        @Test
        void waitsUntilAnUnansweredWriteIsConfirmed() {
            f.startServing("w1", "w2");
            f.store.dropsCommitAnswers = true;
            f.endRunOn("w1");
            f.advance(30);
            f.store.applyDroppedCommits();
            f.endRunOn("w2");
            f.advance(30);
            f.node.stop();
            f.store.dropsCommitAnswers = false;
            f.advance(1_000);
            assertTrue(f.isRecordedAsFinished(f.jobOn("w1")));
            assertTrue(f.isRecordedAsFinished(f.jobOn("w2")), "the result was received before the stop");
            assertFalse(f.owns("clips"));
        }

        /** The worker leaves after a notice of 2 s, so the next owner may be too late to contact it. */
        @Test
        void waitsForAResultOfADrainingWorkerThatArrivesMeanwhile() {
            f.startServing("w1", "w2");
            f.listWorker("w2", true);
            f.advance(600);
            f.store.dropsCommitAnswers = true;
            f.endRunOn("w1");
            f.advance(30);
            f.node.stop();
            f.endRunOn("w2");
            f.advance(60);
            f.store.dropsCommitAnswers = false;
            f.advance(1_000);
            assertTrue(
                    f.isRecordedAsFinished(f.jobOn("w2")),
                    "the task ended while the hand-over waited for the other write");
            assertFalse(f.owns("clips"));
        }

        /** The next owner needs time to contact the workers; a task started now would be started by both owners. */
        @Test
        void startsNoTaskOnceInProgress() {
            f.startServing("w1");
            f.node.stop();
            f.listWorker("w2", false);
            f.submit("late");
            f.advance(2_000);
            assertEquals(1, f.workers.starts.size());
        }

        /** No jobs start during a hand-over, and waiting is useless while the store answers nobody. */
        @Test
        void doesNotWaitLongerForTheStoreThanTheEntryServes() {
            f.startServing("w1");
            f.endRunOn("w1");
            f.store.dropsCommitAnswers = true;
            f.advance(30);
            f.node.stop();
            assertTrue(f.millisUntilFree("clips", NodeFixture.GRACE_SECONDS * 1_000) < SHUTDOWN_SERVING_MILLIS);
        }

        /** Without pending writes the key is released at once, since callers wait for the next owner. */
        @Test
        void isImmediateWithoutPendingWrites() {
            f.startServing("w1");
            f.node.stop();
            assertTrue(f.millisUntilFree("clips", 1_000) <= 2 * NodeFixture.STEP_MILLIS);
        }
    }

    @Nested
    class OfTheFleet {

        private static final String DUTY = JobNode.FLEET;

        private void requestInstance() {
            f.instances.all = List.of(new PlatformInstance("m1", "spare", PlatformInstance.State.UP, "north", ""));
            f.store.set(
                    SchedulerKeys.report("clips"), RecordCodec.write(new ServiceReport(Map.of(), 1, 1, 0, List.of())));
        }

        /**
         * The record of orders was being written when the stop was requested. The successor must learn the outcome;
         * otherwise it leaves the instance alone for seconds while jobs wait for it.
         */
        @Test
        void recordsTheFateOfOrdersWhoseRecordWasBeingWritten() {
            f.startServing("w1");
            requestInstance();
            f.store.delaysCommits = true;
            for (int i = 0; i < 40 && !f.store.hasDelayedRecentOrders(); i++) {
                f.advance(NodeFixture.STEP_MILLIS);
            }
            assertTrue(f.store.hasDelayedRecentOrders(), "the write of the order's record must be unanswered");
            f.node.stop();
            f.advance(NodeFixture.STEP_MILLIS);
            f.store.delaysCommits = false;
            while (f.store.answerNext()) {
                f.advance(NodeFixture.STEP_MILLIS);
            }
            f.advance(500);
            assertTrue(f.instances.orders.isEmpty(), "a stopping owner must not order instances");
            assertFalse(f.store.value(SchedulerKeys.recentOrders()).contains("m1"), "the instance was not ordered");
            assertFalse(f.owns(DUTY));
        }
    }
}
