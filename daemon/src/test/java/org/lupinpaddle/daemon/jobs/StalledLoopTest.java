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

import java.util.Objects;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.daemon.common.ThreadEventLoop;

/** Guards against sending callers to an entry whose event loop is stuck in a step: it answered that it was ready. */
class StalledLoopTest {

    private final NodeFixture f = new NodeFixture();

    @Test
    void makesTheEntryNotReady() {
        f.startServing("w1");
        f.advance(1_000);
        assertTrue(f.node.isReady());
        f.loop.stall(EventLoopMonitor.STALL_MILLIS + 1);
        assertFalse(f.node.isReady());
        assertEquals(
                0,
                Objects.requireNonNull(f.meters.registry().getGauges().get("ready"))
                        .getValue());
    }

    @Test
    void ofAShortTimeLeavesTheEntryReady() {
        f.startServing("w1");
        f.advance(1_000);
        f.loop.stall(500);
        assertTrue(f.node.isReady());
    }

    @Test
    void isOverOnceTheLoopAdvances() {
        f.startServing("w1");
        f.advance(1_000);
        f.loop.stall(EventLoopMonitor.STALL_MILLIS + 1);
        f.advance(2_000);
        assertTrue(f.node.isReady());
    }

    /** Guards against a log line that does not show which step is stuck. */
    @Test
    void showsTheCallsOfTheRunningStep() throws InterruptedException {
        CountDownLatch running = new CountDownLatch(1);
        CountDownLatch end = new CountDownLatch(1);
        try (ThreadEventLoop loop = new ThreadEventLoop()) {
            loop.execute(() -> awaitEnd(running, end));
            running.await();
            // The step may not have reached the wait yet, but it is in the method that contains it.
            assertTrue(loop.position().contains("StalledLoopTest.awaitEnd"), loop.position());
            end.countDown();
        }
    }

    private static void awaitEnd(CountDownLatch running, CountDownLatch end) {
        running.countDown();
        while (end.getCount() > 0) {
            Thread.onSpinWait();
        }
    }
}
