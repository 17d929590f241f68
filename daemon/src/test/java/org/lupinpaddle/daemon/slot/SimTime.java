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

/** Virtual time: steps run in the order of their times, and of their making where times are equal. */
final class SimTime {

    private record Step(long at, long number, Runnable what) {}

    private final PriorityQueue<Step> steps =
            new PriorityQueue<>(Comparator.comparingLong(Step::at).thenComparingLong(Step::number));
    private long now;
    private long made;

    long now() {
        return now;
    }

    void after(long millis, Runnable what) {
        steps.add(new Step(now + millis, made++, what));
    }

    void every(long millis, Runnable what) {
        after(millis, () -> {
            what.run();
            every(millis, what);
        });
    }

    void runUntil(long end) {
        while (!steps.isEmpty() && steps.peek().at <= end) {
            Step s = steps.poll();
            now = s.at;
            s.what.run();
        }
        now = end;
    }
}
