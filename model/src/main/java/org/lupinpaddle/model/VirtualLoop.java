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

import java.util.ArrayDeque;
import java.util.Deque;
import org.lupinpaddle.core.common.Clock;
import org.lupinpaddle.daemon.common.EventLoop;

/** The event loop of one process of an entry. While frozen it queues its tasks; once closed it discards them. */
final class VirtualLoop implements EventLoop {

    private final VirtualTime time;
    private final Deque<Runnable> deferred = new ArrayDeque<>();
    private boolean frozen;
    private boolean dead;

    VirtualLoop(VirtualTime time) {
        this.time = time;
    }

    @Override
    public Clock clock() {
        return time::now;
    }

    @Override
    public void execute(Runnable step) {
        time.schedule(0, () -> run(step));
    }

    @Override
    public Timer after(long millis, Runnable step) {
        boolean[] cancelled = new boolean[1];
        time.schedule(
                millis,
                () -> run(() -> {
                    if (!cancelled[0]) {
                        step.run();
                    }
                }));
        return () -> cancelled[0] = true;
    }

    @Override
    public Timer every(long millis, Runnable step) {
        boolean[] cancelled = new boolean[1];
        repeat(millis, step, cancelled);
        return () -> cancelled[0] = true;
    }

    private void repeat(long millis, Runnable step, boolean[] cancelled) {
        after(millis, () -> {
            if (!cancelled[0]) {
                step.run();
                repeat(millis, step, cancelled);
            }
        });
    }

    private void run(Runnable step) {
        if (dead) {
            return;
        }
        if (frozen) {
            deferred.add(step);
        } else {
            step.run();
        }
    }

    boolean isDead() {
        return dead;
    }

    boolean isFrozen() {
        return frozen;
    }

    void freeze() {
        frozen = true;
    }

    void thaw() {
        frozen = false;
        while (!deferred.isEmpty() && !frozen && !dead) {
            deferred.poll().run();
        }
    }

    @Override
    public void close() {
        dead = true;
    }
}
