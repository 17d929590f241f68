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

import java.util.Comparator;
import java.util.PriorityQueue;
import org.lupinpaddle.core.common.Clock;
import org.lupinpaddle.daemon.common.EventLoop;

/** Runs steps in order of their times on a clock that the test advances. */
final class TimedLoop implements EventLoop {

    private final PriorityQueue<Step> steps =
            new PriorityQueue<>(Comparator.comparingLong(Step::at).thenComparingLong(Step::number));
    private long now;
    private long number;

    private record Step(long at, long number, Runnable what) {}

    /** Advances the clock and runs the steps that become due. */
    void advance(long millis) {
        long until = now + millis;
        while (!steps.isEmpty() && steps.peek().at <= until) {
            Step next = steps.remove();
            now = Math.max(now, next.at);
            next.what.run();
        }
        now = until;
    }

    /** Advances the clock while the loop is busy: steps that become due run with the next {@link #advance}. */
    void stall(long millis) {
        now += millis;
    }

    @Override
    public Clock clock() {
        return () -> now;
    }

    @Override
    public void execute(Runnable step) {
        steps.add(new Step(now, number++, step));
    }

    @Override
    public Timer after(long millis, Runnable step) {
        Step s = new Step(now + millis, number++, step);
        steps.add(s);
        return () -> steps.remove(s);
    }

    @Override
    public Timer every(long millis, Runnable step) {
        boolean[] cancelled = new boolean[1];
        again(millis, step, cancelled);
        return () -> cancelled[0] = true;
    }

    private void again(long millis, Runnable step, boolean[] cancelled) {
        after(millis, () -> {
            if (!cancelled[0]) {
                step.run();
                again(millis, step, cancelled);
            }
        });
    }

    @Override
    public void close() {
        steps.clear();
    }
}
