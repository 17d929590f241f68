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

import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ThreadEventLoopTest {

    private static final long WAIT_SECONDS = 20;

    private final ThreadEventLoop loop = new ThreadEventLoop();

    @AfterEach
    void close() {
        loop.close();
    }

    /** Guards against a repeated step that ends for ever, without a log line, when it overflows the stack once. */
    @Test
    void repeatsAStepThatOverflowedTheStack() throws Exception {
        CountDownLatch runs = new CountDownLatch(3);
        loop.every(1, () -> {
            runs.countDown();
            throw new StackOverflowError();
        });
        assertTrue(runs.await(WAIT_SECONDS, TimeUnit.SECONDS));
    }

    /** Guards against an entry that keeps its duties although an error has ended one of their watches for good. */
    @Test
    void reportsAFatalErrorOfAStep() throws Exception {
        CompletableFuture<Error> reported = new CompletableFuture<>();
        OutOfMemoryError error = new OutOfMemoryError("thrown by a test");
        try (ThreadEventLoop failing = new ThreadEventLoop(reported::complete)) {
            failing.execute(() -> {
                throw error;
            });
            assertSame(error, reported.get(WAIT_SECONDS, TimeUnit.SECONDS));
        }
    }
}
