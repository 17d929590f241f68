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
package org.lupinpaddle.daemon.common;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class BoundedWriterTest {

    private final List<String> output = new ArrayList<>();
    private long now;

    private final BoundedWriter writer = new BoundedWriter(() -> now, l -> output.add(l.text()));

    private void offer(String kind, int lines) {
        for (int i = 0; i < lines; i++) {
            writer.offer(kind, new BoundedWriter.Line(BoundedWriter.Level.INFO, kind + i));
        }
    }

    @Nested
    class UnderLoad {

        @Test
        void leavesOutWhatIsBeyondTheRateAndSaysHowMuch() {
            offer("start", 2_000);
            assertEquals(800, writer.leftOut());
            writer.tellLeftOut();
            assertEquals(List.of("event=log-lines-left-out kind=start count=800"), output);
        }

        @Test
        void keepsRareKindsApartFromFrequentOnes() {
            offer("start", 2_000);
            long before = writer.leftOut();
            offer("ownership", 3);
            assertEquals(before, writer.leftOut());
        }

        @Test
        void takesMoreAsTimePasses() {
            offer("start", 2_000);
            now += 1_000;
            long before = writer.leftOut();
            offer("start", 600);
            assertEquals(before, writer.leftOut());
        }
    }

    @Nested
    class WithAReaderThatStandsStill {

        @Test
        @Timeout(10)
        void neverHoldsUpWhoeverLogs() throws InterruptedException {
            CountDownLatch begun = new CountDownLatch(1);
            CountDownLatch never = new CountDownLatch(1);
            BoundedWriter stuck = new BoundedWriter(() -> now, l -> {
                begun.countDown();
                waitFor(never);
            });
            Thread t = new Thread(stuck::run);
            t.start();
            for (int kind = 0; kind < 20; kind++) {
                for (int i = 0; i < 1_000; i++) {
                    stuck.offer("kind" + kind, new BoundedWriter.Line(BoundedWriter.Level.INFO, "line"));
                }
            }
            assertTrue(begun.await(5, TimeUnit.SECONDS));
            assertTrue(stuck.leftOut() > 10_000, "the queue is full and the rest is counted");
            t.interrupt();
            t.join();
        }

        private void waitFor(CountDownLatch latch) {
            try {
                latch.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
