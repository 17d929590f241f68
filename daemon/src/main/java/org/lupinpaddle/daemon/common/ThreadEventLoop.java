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

import java.util.Arrays;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.common.Clock;

/**
 * The one thread on which all decisions of an entry are taken. Every part of {@code core} is used on this
 * thread only, so the daemon needs no locks around decisions. Work given to it must not block.
 */
public final class ThreadEventLoop implements EventLoop {

    private static final int POSITION_FRAMES = 6;
    private static final int EXIT_FATAL = 3;

    private final ScheduledThreadPoolExecutor executor;
    private final Clock clock;
    private volatile @Nullable Thread thread;

    private final Consumer<Error> onFatal;

    /** Makes the loop and starts its thread. The process ends at once if a step fails with a fatal error. */
    public ThreadEventLoop() {
        this(e -> Runtime.getRuntime().halt(EXIT_FATAL));
    }

    /**
     * Makes the loop and starts its thread.
     *
     * @param onFatal called on the loop after an error, such as a lack of memory, that may have ended a step halfway
     */
    public ThreadEventLoop(Consumer<Error> onFatal) {
        this.onFatal = onFatal;
        long origin = System.nanoTime();
        clock = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - origin);
        executor = new ScheduledThreadPoolExecutor(1, r -> {
            Thread t = new Thread(r, "decisions");
            t.setDaemon(true);
            thread = t;
            return t;
        });
        executor.setRemoveOnCancelPolicy(true);
        executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    }

    @Override
    public Clock clock() {
        return clock;
    }

    @Override
    public void execute(Runnable step) {
        if (!executor.isShutdown()) {
            executor.execute(() -> guarded(step));
        }
    }

    @Override
    public Timer after(long millis, Runnable step) {
        var f = executor.schedule(() -> guarded(step), millis, TimeUnit.MILLISECONDS);
        return () -> f.cancel(false);
    }

    @Override
    public Timer every(long millis, Runnable step) {
        var f = executor.scheduleWithFixedDelay(() -> guarded(step), millis, millis, TimeUnit.MILLISECONDS);
        return () -> f.cancel(false);
    }

    private void guarded(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | StackOverflowError e) {
            // One bad step must not end the loop, nor a repeated step its repetition.
            Log.error("step-failed", e);
        } catch (Error e) {
            // A watch or a duty may lack its next call now, so the process must not go on owning them.
            fatal(e);
        }
    }

    private void fatal(Error e) {
        try {
            Log.error("step-failed-fatally", e);
            Log.flush();
        } finally {
            onFatal.accept(e);
        }
    }

    @Override
    public String position() {
        Thread t = thread;
        return t == null
                ? ""
                : Arrays.stream(t.getStackTrace())
                        .limit(POSITION_FRAMES)
                        .map(f -> f.getClassName().substring(f.getClassName().lastIndexOf('.') + 1) + "."
                                + f.getMethodName() + ":" + f.getLineNumber())
                        .collect(Collectors.joining(" "));
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
