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
package org.lupinpaddle.core.fleet;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The maximum of a pool's share over a short time window. A pool does not give away what it needed a moment ago.
 */
final class SlidingMaximum {

    // Jobs arrive one by one and end in groups, so a single share is not representative for some hundreds of
    // milliseconds.
    private static final long WINDOW_MILLIS = 800;

    private final Deque<Sample> samples = new ArrayDeque<>();

    private record Sample(long at, int share) {}

    /** Adds the current share and returns the maximum of the window. */
    int update(long now, int share) {
        while (!samples.isEmpty() && now - samples.getFirst().at() > WINDOW_MILLIS) {
            samples.removeFirst();
        }
        while (!samples.isEmpty() && samples.getLast().share() <= share) {
            samples.removeLast();
        }
        samples.addLast(new Sample(now, share));
        return samples.getFirst().share();
    }
}
