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

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.lupinpaddle.daemon.port.StoreChanges;

class PrefixWatchTest {

    private final FakeKeyValueStore store = new FakeKeyValueStore();
    private final TimedLoop loop = new TimedLoop();
    private final List<String> seen = new ArrayList<>();
    private boolean fails;
    private boolean overflows;
    private boolean runsOutOfMemory;

    private final PrefixWatch watch = new PrefixWatch(store, loop, "p/", new PrefixWatch.Listener() {
        @Override
        public void onRead() {
            failIfAsked();
        }

        @Override
        public void onChanges(List<StoreChanges.Change> changes) {
            failIfAsked();
            changes.forEach(c -> seen.add(c.key()));
        }
    });

    private void failIfAsked() {
        if (fails) {
            fails = false;
            throw new IllegalStateException("unexpected");
        }
        if (overflows) {
            overflows = false;
            throw new StackOverflowError();
        }
        if (runsOutOfMemory) {
            throw new OutOfMemoryError("thrown by a test");
        }
    }

    private void set(String key) {
        store.set(key, "value");
        store.notifyWatches();
        loop.advance(100);
    }

    /** Guards against a watch that ends with the first change that its listener cannot handle. */
    @Test
    void continuesAfterItsListenerFailed() {
        fails = true;
        watch.start();
        loop.advance(100);
        set("p/a");
        fails = true;
        set("p/b");
        set("p/c");
        assertEquals(List.of("p/a", "p/c"), seen);
    }

    /** Guards against a watch that ends with a value so deeply nested that its listener overflows the stack. */
    @Test
    void continuesAfterItsListenerOverflowedTheStack() {
        overflows = true;
        watch.start();
        loop.advance(100);
        set("p/a");
        overflows = true;
        set("p/b");
        set("p/c");
        assertEquals(List.of("p/a", "p/c"), seen);
    }

    /** Guards against a watch that has ended for good without the event loop, which ends the process, being told. */
    @Test
    void passesALackOfMemoryOnToTheEventLoop() {
        watch.start();
        loop.advance(100);
        runsOutOfMemory = true;
        assertThrows(OutOfMemoryError.class, () -> set("p/a"));
    }
}
