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
package org.lupinpaddle.daemon;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/** Waits for an event itself; the limit only ends a test whose event never comes. */
final class Await {

    private static final long LOOK_NANOS = 20_000_000;

    private Await() {}

    static void until(String what, long seconds, BooleanSupplier condition) {
        value(what, seconds, () -> condition.getAsBoolean() ? Boolean.TRUE : null);
    }

    static <T> T value(String what, long seconds, Supplier<@Nullable T> supplier) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (System.nanoTime() < end) {
            T v = supplier.get();
            if (v != null) {
                return v;
            }
            LockSupport.parkNanos(LOOK_NANOS);
        }
        throw new AssertionError("did not come within " + seconds + " s: " + what);
    }
}
