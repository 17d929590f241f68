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
package org.lupinpaddle.daemon.slot;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Virtual time with an event queue. Events run in the order of their times; ties run in the order of scheduling. */
final class SimTime {

    private record Event(long at, long number, Runnable action) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
    private long now;
    private long scheduledCount;

    long now() {
        return now;
    }

    void after(long millis, Runnable action) {
        events.add(new Event(now + millis, scheduledCount++, action));
    }

    void every(long millis, Runnable action) {
        after(millis, () -> {
            action.run();
            every(millis, action);
        });
    }

    void runUntil(long end) {
        while (!events.isEmpty() && events.peek().at <= end) {
            Event event = events.poll();
            now = event.at;
            event.action.run();
        }
        now = end;
    }
}
