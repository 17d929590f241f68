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
import org.lupinpaddle.core.job.JobKeys;

/**
 * An entry that is stopped as planned owns a service, and has heard some milliseconds ago that a task is done. The write
 * of that is under way. It used to end its lease at once: with the lease goes the key on which the write depends, so the
 * store refuses it, the record goes on saying that the task runs, and the next owner runs it again if the task's worker has
 * left before it was asked. The log showed {@code lease-given-back} in the millisecond of {@code stopping}, with a
 * {@code RUN_ENDED} before it whose record no owner ever wrote.
 */
class HandOverTest {

    /** An entry that stops serves callers on for so long in any case: what a hand-over takes beyond it delays the stop. */
    private static final long SHUTDOWN_SERVING_MILLIS = 3_000;

    private final NodeFixture f = new NodeFixture();

    @Nested
    class OfAService {

        /** One write of an end got no answer and was not made. */
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
            assertTrue(f.isRecordedAsFinished(f.jobOn("w1")), "the next owner would run it again");
            assertFalse(f.owns("clips"));
        }

        /** The write was made and only its answer was lost: what lies in the store is newer than what was last known. */
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
            assertTrue(f.isRecordedAsFinished(f.jobOn("w2")), "heard before the stop");
            assertFalse(f.owns("clips"));
        }

        /** Its worker leaves within the 2 s of its notice: whoever follows may come too late to ask it. */
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
            assertTrue(f.isRecordedAsFinished(f.jobOn("w2")), "it ended while the hand-over waited for the other write");
            assertFalse(f.owns("clips"));
        }

        /** What the next owner finds out by asking workers takes time; what begins now would be begun under both. */
        @Test
        void startsNoTaskOnceInProgress() {
            f.startServing("w1");
            f.node.stop();
            f.listWorker("w2", false);
            f.submit("late");
            f.advance(2_000);
            assertEquals(1, f.workers.starts.size());
        }

        /** Nobody starts the callers' jobs meanwhile, and while the store answers nobody there is no use in waiting. */
        @Test
        void doesNotWaitLongerForTheStoreThanTheEntryServes() {
            f.startServing("w1");
            f.endRunOn("w1");
            f.store.dropsCommitAnswers = true;
            f.advance(30);
            f.node.stop();
            assertTrue(f.millisUntilFree("clips", NodeFixture.GRACE_SECONDS * 1_000) < SHUTDOWN_SERVING_MILLIS);
        }

        /** Without anything to write a service has a free key as soon as before: what callers wait for is the next owner. */
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
            f.store.set(JobKeys.report("clips"), RecordCodec.write(new ServiceReport(Map.of(), 1, 1, 0, List.of())));
        }

        /**
         * The record of what has been ordered was being written as the stop came: the successor has to be told what became
         * of it, or leaves the instance alone for seconds while jobs wait for it.
         */
        @Test
        void recordsTheFateOfOrdersWhoseRecordWasBeingWritten() {
            f.startServing("w1");
            requestInstance();
            f.store.delaysCommits = true;
            for (int i = 0; i < 40 && !f.store.hasDelayedRecentOrders(); i++) {
                f.advance(NodeFixture.STEP_MILLIS);
            }
            assertTrue(f.store.hasDelayedRecentOrders(), "the order's record waits for its answer");
            f.node.stop();
            f.advance(NodeFixture.STEP_MILLIS);
            f.store.delaysCommits = false;
            while (f.store.answerNext()) {
                f.advance(NodeFixture.STEP_MILLIS);
            }
            f.advance(500);
            assertTrue(f.instances.orders.isEmpty(), "a stopping owner orders nothing");
            assertFalse(f.store.value(JobKeys.recentOrders()).contains("m1"), "nothing was ordered after all");
            assertFalse(f.owns(DUTY));
        }
    }
}
