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
package org.lupinpaddle.daemon.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.core.view.StoredRecord;
import org.lupinpaddle.daemon.common.EventLoop;
import org.lupinpaddle.daemon.common.ThreadEventLoop;

class StoreWriterTest {

    private final EventLoop loop = new ThreadEventLoop();

    @AfterEach
    void close() {
        loop.close();
    }

    /** What the store does with one swap. */
    private enum Doing {
        TAKE,
        TAKE_AND_LOSE_THE_REPLY,
        LOSE_THE_CALL,
        TAKE_LOSE_AND_BE_WRITTEN_OVER
    }

    /** One key of a store that does as it is told. */
    private static final class FakePlatform implements Platform {
        private final Deque<Doing> script = new ArrayDeque<>();
        private StoredRecord held = new StoredRecord("k", "", 0);
        private long revision = 1;
        private int writes;

        @Override
        public CompletableFuture<RangeResult> range(String prefix, long fromRevision) {
            return CompletableFuture.completedFuture(
                    new RangeResult(held.revision() == 0 ? List.of() : List.of(held), revision));
        }

        @Override
        public CompletableFuture<SwapResult> swap(Swap swap) {
            Doing d = script.isEmpty() ? Doing.TAKE : script.poll();
            if (d == Doing.LOSE_THE_CALL) {
                return lost();
            }
            boolean ok = held.revision() == swap.expectedRevision();
            if (ok) {
                put(swap.value());
            }
            if (d == Doing.TAKE_LOSE_AND_BE_WRITTEN_OVER) {
                put("somebody else");
            }
            return d == Doing.TAKE ? CompletableFuture.completedFuture(new SwapResult(ok, revision)) : lost();
        }

        private void put(String value) {
            revision++;
            writes++;
            held = new StoredRecord("k", value, revision);
        }

        private static <T> CompletableFuture<T> lost() {
            return CompletableFuture.failedFuture(new PlatformAwayException("lost on purpose"));
        }

        @Override
        public CompletableFuture<Long> grantLease(long ttlSeconds) {
            return lost();
        }

        @Override
        public CompletableFuture<Boolean> keepAlive(long lease) {
            return lost();
        }

        @Override
        public CompletableFuture<Void> revoke(long lease) {
            return lost();
        }

        @Override
        public Watch watch(String prefix, long from, Consumer<RangeResult> onEvents, Runnable onEnd) {
            return () -> {};
        }

        @Override
        public CompletableFuture<List<LeavingInstance>> leavingInstances(String hall) {
            return lost();
        }

        @Override
        public CompletableFuture<MaintenanceResult> maintain(
                MaintenanceStep step, String instance, long incarnation, long fence) {
            return lost();
        }
    }

    private WriteResult write(FakePlatform p, long expected) throws Exception {
        StoreWriter w = new StoreWriter(p, loop, new MetricRegistry());
        CompletableFuture<WriteResult> result = new CompletableFuture<>();
        loop.execute(() -> w.write(new Platform.Swap("k", "mine id-1", expected, 0), "id-1", result::complete));
        return result.get(20, TimeUnit.SECONDS);
    }

    @Nested
    class ALostReply {

        @Test
        void toAWriteThatTookEffectIsAcceptedAndNotWrittenAgain() throws Exception {
            FakePlatform p = new FakePlatform();
            p.script.add(Doing.TAKE_AND_LOSE_THE_REPLY);
            assertEquals(WriteResult.Fate.ACCEPTED, write(p, 0).fate());
            assertEquals(1, p.writes);
        }

        @Test
        void toAWriteThatTookNoEffectIsWrittenOnce() throws Exception {
            FakePlatform p = new FakePlatform();
            p.script.add(Doing.LOSE_THE_CALL);
            p.script.add(Doing.LOSE_THE_CALL);
            assertEquals(WriteResult.Fate.ACCEPTED, write(p, 0).fate());
            assertEquals(1, p.writes);
        }

        @Test
        void toAWriteThatWasWrittenOverIsUnknownAndNotGuessed() throws Exception {
            FakePlatform p = new FakePlatform();
            p.script.add(Doing.TAKE_LOSE_AND_BE_WRITTEN_OVER);
            assertEquals(WriteResult.Fate.UNKNOWN, write(p, 0).fate());
        }
    }

    @Nested
    class ALostRace {

        @Test
        void isRefusedAndHasNoEffect() throws Exception {
            FakePlatform p = new FakePlatform();
            p.put("somebody else");
            assertEquals(WriteResult.Fate.REFUSED, write(p, 0).fate());
            assertEquals(1, p.writes);
        }
    }
}
