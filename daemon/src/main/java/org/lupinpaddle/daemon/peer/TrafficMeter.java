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
package org.lupinpaddle.daemon.peer;

import com.codahale.metrics.MetricRegistry;
import org.lupinpaddle.daemon.peer.proto.Frame;

/** Counts frames and their bytes between entries, by kind and direction; TCP and IP headers aside. */
final class TrafficMeter {

    // The length in front of a frame takes one byte up to 127 and two up to 16,383.
    private static final int PREFIX_BYTES = 2;

    private final MetricRegistry metrics;

    TrafficMeter(MetricRegistry metrics) {
        this.metrics = metrics;
    }

    void sent(Frame frame) {
        metrics.counter("peer.sent.frames." + kind(frame)).inc();
        metrics.counter("peer.sent.bytes").inc(frame.getSerializedSize() + PREFIX_BYTES);
    }

    void received(Frame frame) {
        metrics.counter("peer.received.bytes").inc(frame.getSerializedSize() + PREFIX_BYTES);
    }

    private static String kind(Frame frame) {
        return frame.getBodyCase().name().toLowerCase(java.util.Locale.ROOT);
    }
}
