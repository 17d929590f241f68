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
package org.lupinpaddle.daemon.port;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Tests that the pages already read are kept when the store refuses the next one. */
class PageReaderTest {

    private static final int PAGES = 4;
    private static final int REFUSED_AT = 3;

    private final List<String> asked = new ArrayList<>();
    private int refusals = 1;

    /** A store that refuses the third page once, as when its rate limit is exceeded for a moment. */
    private final KeyValueStore store = (KeyValueStore) Proxy.newProxyInstance(
            getClass().getClassLoader(), new Class<?>[] {KeyValueStore.class}, (p, m, args) -> {
                if (!m.getName().equals("page")) {
                    throw new UnsupportedOperationException(m.getName());
                }
                return page((String) args[1]);
            });

    private CompletableFuture<StorePage> page(String after) {
        asked.add(after);
        int number = after.isEmpty() ? 1 : Integer.parseInt(after) + 1;
        if (number == REFUSED_AT && refusals > 0) {
            refusals--;
            return CompletableFuture.failedFuture(new StoreException(StoreException.Kind.REFUSED, "answered 429"));
        }
        StoreItem item = new StoreItem(Integer.toString(number), "value", number, 0);
        return CompletableFuture.completedFuture(new StorePage(List.of(item), number, number < PAGES));
    }

    @Test
    void asksAgainForAPageThatWasRefused() {
        CompletableFuture<StoreRange> read = new PageReader(store, "", () -> {}).read();
        assertFalse(read.isCompletedExceptionally(), "given up after " + asked);
        assertEquals(PAGES, read.join().items().size());
    }
}
