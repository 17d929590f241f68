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

import org.lupinpaddle.core.common.Clock;
import org.lupinpaddle.daemon.common.EventLoop;

/** Runs each step immediately and never runs scheduled steps. */
final class DirectLoop implements EventLoop {

    private long now;

    /** Advances the clock without running scheduled steps. */
    void advance(long millis) {
        now += millis;
    }

    @Override
    public Clock clock() {
        return () -> now;
    }

    @Override
    public void execute(Runnable step) {
        step.run();
    }

    @Override
    public Timer after(long millis, Runnable step) {
        return () -> {};
    }

    @Override
    public Timer every(long millis, Runnable step) {
        return () -> {};
    }

    @Override
    public void close() {}
}
