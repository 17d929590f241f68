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

import java.util.concurrent.atomic.AtomicBoolean;
import org.lupinpaddle.daemon.common.EventLoop;
import org.lupinpaddle.daemon.common.Log;

/**
 * Detects that the event loop no longer advances, for example because a step runs without end. The loop itself reports its
 * progress; other threads, which still serve requests, ask whether it has stalled. Thread-safe.
 */
final class EventLoopMonitor {

    /** The time without progress after which the loop counts as stalled, in milliseconds. */
    static final long STALL_MILLIS = 1_500;

    private final EventLoop loop;
    private final AtomicBoolean reportedStalled = new AtomicBoolean();
    private volatile long advancedAt;

    EventLoopMonitor(EventLoop loop) {
        this.loop = loop;
        advancedAt = loop.clock().millis();
    }

    /** Reports progress; called on the loop several times within {@link #STALL_MILLIS}. */
    void onAdvanced() {
        advancedAt = loop.clock().millis();
    }

    /** Returns the time since the loop last reported progress, in milliseconds. */
    long ageMillis() {
        return loop.clock().millis() - advancedAt;
    }

    /** Returns whether the loop has stalled; logs each change. */
    boolean isStalled() {
        long age = ageMillis();
        boolean stalled = age > STALL_MILLIS;
        if (reportedStalled.compareAndSet(!stalled, stalled)) {
            if (stalled) {
                Log.warn("event-loop-stalled", "millis", age, "at", loop.position());
            } else {
                Log.info("event-loop-advances");
            }
        }
        return stalled;
    }
}
