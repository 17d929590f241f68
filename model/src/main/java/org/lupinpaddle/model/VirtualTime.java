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
package org.lupinpaddle.model;

import java.util.PriorityQueue;

/**
 * A discrete-event scheduler: time advances directly to the next scheduled action. Actions run in order of their time,
 * and in order of scheduling at the same time.
 */
final class VirtualTime {

    private final PriorityQueue<ScheduledAction> queue = new PriorityQueue<>();
    private long now;
    private long sequence;

    private record ScheduledAction(long atMillis, long sequence, Runnable action)
            implements Comparable<ScheduledAction> {
        @Override
        public int compareTo(ScheduledAction o) {
            int c = Long.compare(atMillis, o.atMillis);
            return c != 0 ? c : Long.compare(sequence, o.sequence);
        }
    }

    long now() {
        return now;
    }

    /** Schedules an action a number of milliseconds from now. */
    void schedule(long millis, Runnable action) {
        queue.add(new ScheduledAction(now + Math.max(0, millis), sequence++, action));
    }

    /** Runs all actions up to a time and sets the clock to it. */
    void runUntil(long end) {
        while (!queue.isEmpty() && queue.peek().atMillis <= end) {
            ScheduledAction next = queue.poll();
            now = next.atMillis;
            next.action.run();
        }
        now = end;
    }
}
