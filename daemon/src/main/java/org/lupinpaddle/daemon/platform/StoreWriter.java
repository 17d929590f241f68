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

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.lupinpaddle.core.common.Clock;
import org.lupinpaddle.core.view.StoredRecord;
import org.lupinpaddle.daemon.common.EventLoop;
import org.lupinpaddle.daemon.platform.Platform.Swap;
import org.lupinpaddle.daemon.platform.Platform.SwapResult;

/**
 * Writes to the store and says truly what became of it. Each value carries an id of its own write. When a
 * reply is lost the key is read back: our id there means accepted; the old revision means that the write
 * has not happened yet, and the same swap, which can take effect only once, is sent again; anything else
 * can not be told apart from our value having been written over, and is reported as unknown.
 */
public final class StoreWriter {

    private static final long PATIENCE_MILLIS = 6_000;
    private static final long PAUSE_MILLIS = 200;

    private final Platform platform;
    private final EventLoop loop;
    private final Clock clock;
    private final MetricRegistry metrics;

    /** Makes the writer; results are given on the loop. */
    public StoreWriter(Platform platform, EventLoop loop, MetricRegistry metrics) {
        this.platform = platform;
        this.loop = loop;
        this.clock = loop.clock();
        this.metrics = metrics;
    }

    /** Writes a value that holds {@code writeId} somewhere in its text. */
    public void write(Swap swap, String writeId, Consumer<WriteResult> onResult) {
        write(swap, writeId, PATIENCE_MILLIS, onResult);
    }

    /** Writes a value and gives up asking what became of it after {@code patienceMillis}. */
    public void write(Swap swap, String writeId, long patienceMillis, Consumer<WriteResult> onResult) {
        send(new Write(swap, writeId, clock.millis() + patienceMillis, onResult), false);
    }

    private record Write(Swap swap, String writeId, long until, Consumer<WriteResult> onResult) {}

    private void send(Write w, boolean sentBefore) {
        CompletableFuture<SwapResult> reply = platform.swap(w.swap);
        var unused = reply.whenComplete((r, failure) -> loop.execute(() -> {
            if (failure != null) {
                metrics.counter("store.replies.lost").inc();
                later(w);
            } else if (r.swapped()) {
                finish(w, WriteResult.Fate.ACCEPTED, r.revision());
            } else if (sentBefore) {
                // Our first sending may be what moved the revision.
                readBack(w);
            } else {
                finish(w, WriteResult.Fate.REFUSED, 0);
            }
        }));
    }

    private void later(Write w) {
        if (clock.millis() >= w.until) {
            finish(w, WriteResult.Fate.UNKNOWN, 0);
        } else {
            loop.after(PAUSE_MILLIS, () -> readBack(w));
        }
    }

    private void readBack(Write w) {
        var unused = platform.range(w.swap.key(), 0)
                .whenComplete((r, failure) -> loop.execute(() -> {
                    if (failure != null) {
                        later(w);
                    } else {
                        judge(w, r.records());
                    }
                }));
    }

    private void judge(Write w, List<StoredRecord> records) {
        StoredRecord held = records.stream()
                .filter(r -> r.key().equals(w.swap.key()))
                .findFirst()
                .orElse(new StoredRecord(w.swap.key(), "", 0));
        if (held.value().contains(w.writeId)) {
            finish(w, WriteResult.Fate.ACCEPTED, held.revision());
        } else if (held.revision() == w.swap.expectedRevision() && clock.millis() < w.until) {
            send(w, true);
        } else {
            finish(w, WriteResult.Fate.UNKNOWN, 0);
        }
    }

    private void finish(Write w, WriteResult.Fate fate, long revision) {
        metrics.counter("store.writes." + fate.wireName()).inc();
        w.onResult.accept(new WriteResult(fate, revision));
    }
}
