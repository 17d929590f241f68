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
package org.lupinpaddle.daemon.trace;

import io.opentelemetry.sdk.common.CompletableResultCode;
import io.opentelemetry.sdk.trace.data.SpanData;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.function.Predicate;

/** Keeps the newest spans in memory. */
final class SpanKeeper implements SpanExporter {

    private final Deque<SpanData> spans = new ArrayDeque<>();
    private final int most;

    SpanKeeper(int most) {
        this.most = most;
    }

    @Override
    public synchronized CompletableResultCode export(Collection<SpanData> ended) {
        spans.addAll(ended);
        while (spans.size() > most) {
            spans.removeFirst();
        }
        return CompletableResultCode.ofSuccess();
    }

    synchronized List<SpanData> find(Predicate<SpanData> wanted) {
        return spans.stream()
                .filter(wanted)
                .sorted(Comparator.comparingLong(SpanData::getStartEpochNanos))
                .toList();
    }

    @Override
    public CompletableResultCode flush() {
        return CompletableResultCode.ofSuccess();
    }

    @Override
    public CompletableResultCode shutdown() {
        return CompletableResultCode.ofSuccess();
    }
}
