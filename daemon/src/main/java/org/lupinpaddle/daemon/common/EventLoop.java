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
package org.lupinpaddle.daemon.common;

import org.lupinpaddle.core.common.Clock;

/**
 * The one thread on which decisions are taken, one after the other, so that they need no locks. The model runs
 * the same decisions on virtual time.
 */
public interface EventLoop extends AutoCloseable {

    /** Returns the clock by which decisions are taken. */
    Clock clock();

    /** Runs a step on the loop, soon. */
    void execute(Runnable step);

    /** Runs a step on the loop after a time; the returned handle cancels it. */
    Timer after(long millis, Runnable step);

    /** Runs a step on the loop again and again, with a time between the end of one run and the next. */
    Timer every(long millis, Runnable step);

    /** Returns the innermost calls of the step that is running, for the log; empty if not known. Thread-safe. */
    default String position() {
        return "";
    }

    @Override
    void close();

    /** A step that has been put off. */
    @FunctionalInterface
    interface Timer {
        /** Cancels the step if it has not begun. */
        void cancel();
    }
}
